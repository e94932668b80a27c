//! Schema of files of templates and parameters, and the checks that span several fields:
//! duplicates and dangling references.

use std::collections::HashSet;

use serde_json::Value;

use crate::base::consts::MAX_DEADLINE_MS;
use crate::base::findings::closest_name;
use crate::decide::selection;
use crate::rules::file_schema::{CheckedFile, FieldKind, FieldSchema};

const OPTION_FIELDS: [FieldSchema; 5] = [
    FieldSchema { name: "urgent", kind: FieldKind::Flag, required: false },
    FieldSchema { name: "worth", kind: FieldKind::Integer(1, 100), required: false },
    FieldSchema { name: "repeatable", kind: FieldKind::Flag, required: false },
    FieldSchema {
        name: "deadline_ms",
        kind: FieldKind::Integer(1, MAX_DEADLINE_MS as u64),
        required: false,
    },
    FieldSchema { name: "hedge", kind: FieldKind::Flag, required: false },
];

const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

const KIND_FIELDS: &[FieldSchema] = &[
    FieldSchema { name: "name", kind: FieldKind::Name, required: true },
    FieldSchema { name: "method", kind: FieldKind::Choice(METHODS), required: false },
    FieldSchema { name: "path", kind: FieldKind::Text(200), required: true },
    OPTION_FIELDS[0].copy(),
    OPTION_FIELDS[1].copy(),
    OPTION_FIELDS[2].copy(),
    OPTION_FIELDS[3].copy(),
    OPTION_FIELDS[4].copy(),
];

const SERVICE_FIELDS: &[FieldSchema] = &[
    FieldSchema { name: "name", kind: FieldKind::Name, required: true },
    FieldSchema { name: "policy", kind: FieldKind::Name, required: false },
    OPTION_FIELDS[3].copy(),
    FieldSchema { name: "kinds", kind: FieldKind::List(KIND_FIELDS), required: false },
];

const PARAMETER_FIELDS: &[FieldSchema] = &[
    FieldSchema { name: "service", kind: FieldKind::Name, required: true },
    FieldSchema { name: "kind", kind: FieldKind::Name, required: true },
    OPTION_FIELDS[0].copy(),
    OPTION_FIELDS[1].copy(),
    OPTION_FIELDS[2].copy(),
    OPTION_FIELDS[3].copy(),
    OPTION_FIELDS[4].copy(),
];

const QUOTA_FIELDS: &[FieldSchema] = &[
    FieldSchema { name: "per_1000_s", kind: FieldKind::Integer(1, 1_000_000_000), required: true },
    FieldSchema { name: "burst", kind: FieldKind::Integer(1, 1_000_000), required: true },
];

const ACCOUNT_FIELDS: &[FieldSchema] = &[
    FieldSchema { name: "name", kind: FieldKind::Name, required: true },
    FieldSchema { name: "token_blake3", kind: FieldKind::Hex(64), required: true },
    FieldSchema { name: "share", kind: FieldKind::Integer(1, 1_000), required: false },
    FieldSchema { name: "quota", kind: FieldKind::Object(QUOTA_FIELDS), required: false },
    FieldSchema { name: "parameters", kind: FieldKind::List(PARAMETER_FIELDS), required: false },
];

pub(crate) const CONFIG_FIELDS: &[FieldSchema] = &[
    FieldSchema { name: "services", kind: FieldKind::List(SERVICE_FIELDS), required: false },
    FieldSchema { name: "accounts", kind: FieldKind::List(ACCOUNT_FIELDS), required: false },
];

impl FieldSchema {
    const fn copy(&self) -> Self {
        Self { name: self.name, kind: self.kind, required: self.required }
    }
}

/// Parses a file without its schema, so that one error does not hide others.
pub(crate) fn parse_leniently(text: &str) -> Value {
    let options = jsonc_parser::ParseOptions::default();
    jsonc_parser::parse_to_serde_value(text, &options).unwrap_or_default()
}

/// Names that all files together define.
#[derive(Debug, Default)]
pub(crate) struct ConfigNames<'a> {
    /// Services with the names of their kinds; a duplicate service has two entries.
    services: Vec<(&'a str, Vec<&'a str>)>,
    accounts: Vec<&'a str>,
    /// Hashes of the accounts' tokens.
    token_hashes: Vec<&'a str>,
}

impl<'a> ConfigNames<'a> {
    pub(crate) fn collect(values: &'a [Value]) -> Self {
        let mut names = Self::default();
        for value in values {
            for service in items(value, "services") {
                let kinds = items(service, "kinds").iter().map(|kind| field(kind, "name"));
                names.services.push((field(service, "name"), kinds.collect()));
            }
            for account in items(value, "accounts") {
                names.accounts.push(field(account, "name"));
                names.token_hashes.push(field(account, "token_blake3"));
            }
        }
        names
    }

    /// Checks one file for duplicates and dangling references.
    pub(crate) fn check(&self, value: &Value, file: &mut CheckedFile<'_>) {
        for (index, service) in items(value, "services").iter().enumerate() {
            self.check_service(service, &format!("services[{index}]"), file);
        }
        for (index, account) in items(value, "accounts").iter().enumerate() {
            self.check_account(account, &format!("accounts[{index}]"), file);
        }
    }

    fn check_service(&self, service: &Value, path: &str, file: &mut CheckedFile<'_>) {
        let name = field(service, "name");
        if self.services.iter().filter(|(other, _)| *other == name).count() > 1 {
            file.add_at(&format!("{path}.name"), &format!("duplicate service `{name}`"));
        }
        let policy = field(service, "policy");
        if !policy.is_empty() && selection::policy(policy).is_none() {
            let known = selection::policy_names().join(", ");
            file.add_at(&format!("{path}.policy"), &format!("expected one of: {known}"));
        }
        let mut seen = HashSet::new();
        for (index, kind) in items(service, "kinds").iter().enumerate() {
            let path = format!("{path}.kinds[{index}]");
            let name = field(kind, "name");
            if !seen.insert(name) {
                file.add_at(&format!("{path}.name"), &format!("duplicate kind `{name}`"));
            }
            let prefix = field(kind, "path");
            if !prefix.is_empty() && !prefix.starts_with('/') {
                file.add_at(&format!("{path}.path"), "expected a path that starts with `/`");
            }
        }
    }

    fn check_account(&self, account: &Value, path: &str, file: &mut CheckedFile<'_>) {
        let name = field(account, "name");
        if self.accounts.iter().filter(|other| **other == name).count() > 1 {
            file.add_at(&format!("{path}.name"), &format!("duplicate account `{name}`"));
        }
        let token_hash = field(account, "token_blake3");
        if self.token_hashes.iter().filter(|other| **other == token_hash).count() > 1 {
            let message = "another account has the same token";
            file.add_at(&format!("{path}.token_blake3"), message);
        }
        for (index, parameters) in items(account, "parameters").iter().enumerate() {
            self.check_reference(parameters, &format!("{path}.parameters[{index}]"), file);
        }
    }

    fn check_reference(&self, parameters: &Value, path: &str, file: &mut CheckedFile<'_>) {
        let (service, kind) = (field(parameters, "service"), field(parameters, "kind"));
        let Some((_, kinds)) = self.services.iter().find(|(name, _)| *name == service) else {
            let known = self.services.iter().map(|(name, _)| *name);
            let hint = suggest_name(service, known);
            file.add_at(&format!("{path}.service"), &format!("no template for `{service}`{hint}"));
            return;
        };
        if !kinds.contains(&kind) {
            let hint = suggest_name(kind, kinds.iter().copied());
            let message = format!("service `{service}` has no kind `{kind}`{hint}");
            file.add_at(&format!("{path}.kind"), &message);
        }
    }
}

fn items<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

fn field<'a>(value: &'a Value, key: &str) -> &'a str {
    value.get(key).and_then(Value::as_str).unwrap_or_default()
}

fn suggest_name<'a>(wrong: &str, known: impl Iterator<Item = &'a str>) -> String {
    closest_name(wrong, known).map(|name| format!("; did you mean `{name}`?")).unwrap_or_default()
}
