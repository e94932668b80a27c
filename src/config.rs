//! Templates of services and parameters of client accounts.
//!
//! This is what operators publish; one revision is in force in a daemon at a
//! time.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::consts::{DEFAULT_DEADLINE_MS, MAX_DEADLINE_MS};
use crate::findings::FindingList;
use crate::ids::{AccountName, ServiceName};
use crate::schema::{CheckedText, FieldKind, FieldRule};
use crate::wire::CallPriority;

/// Everything that one revision sets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// One template for each service.
    #[serde(default)]
    pub services: Vec<ServiceTemplate>,
    /// One set of parameters for each client account.
    #[serde(default)]
    pub accounts: Vec<AccountParameters>,
}

/// The template of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTemplate {
    /// The service; callers name it as the first part of the path.
    pub name: ServiceName,
    /// Name of a registered selection policy.
    #[serde(default)]
    pub policy: Option<String>,
    /// Time a call has, in milliseconds, unless it says otherwise.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u32,
    /// Kinds of request; the first that matches holds.
    #[serde(default)]
    pub kinds: Vec<RequestKind>,
}

/// One kind of request in a template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestKind {
    /// The kind's name, for parameters to refer to.
    pub name: String,
    /// HTTP method; any where missing.
    #[serde(default)]
    pub method: Option<String>,
    /// Start of the path.
    pub path: String,
    /// What an account that sets nothing gets.
    #[serde(flatten)]
    pub terms: KindTerms,
}

/// Terms of a kind, as a template or an account sets them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindTerms {
    /// Whether calls go ahead of all that are not urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub urgent: Option<bool>,
    /// Worth, 1 to 100.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worth: Option<u8>,
    /// Whether a call may run twice. If not, it needs an idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// Time a call has, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u32>,
}

/// The parameters of one client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountParameters {
    /// The account.
    pub name: AccountName,
    /// BLAKE3 of the account's bearer token, in hexadecimal.
    pub token_blake3: String,
    /// The account's share of a busy target, relative to the others'.
    #[serde(default = "default_share")]
    pub share: u16,
    /// What the account sets differently from the templates.
    #[serde(default)]
    pub parameters: Vec<KindParameters>,
}

/// What one account sets for one kind of request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindParameters {
    /// The service.
    pub service: ServiceName,
    /// The kind, as the template names it.
    pub kind: String,
    /// What is set.
    #[serde(flatten)]
    pub terms: KindTerms,
}

/// The terms on which one call is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallTerms {
    /// Name of the kind, or `other`.
    pub kind: String,
    /// How the call competes.
    pub priority: CallPriority,
    /// Whether the call may run twice.
    pub repeatable: bool,
    /// Time the call has, in milliseconds.
    pub deadline_ms: u32,
}

const fn default_deadline() -> u32 {
    DEFAULT_DEADLINE_MS
}

const fn default_share() -> u16 {
    1
}

const TERMS: [FieldRule; 4] = [
    FieldRule { name: "urgent", kind: FieldKind::Flag, required: false },
    FieldRule { name: "worth", kind: FieldKind::Whole(1, 100), required: false },
    FieldRule { name: "repeatable", kind: FieldKind::Flag, required: false },
    FieldRule {
        name: "deadline_ms",
        kind: FieldKind::Whole(1, MAX_DEADLINE_MS as u64),
        required: false,
    },
];

const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

const KIND_RULES: &[FieldRule] = &[
    FieldRule { name: "name", kind: FieldKind::Name, required: true },
    FieldRule { name: "method", kind: FieldKind::Choice(METHODS), required: false },
    FieldRule { name: "path", kind: FieldKind::Text(200), required: true },
    TERMS[0].copy(),
    TERMS[1].copy(),
    TERMS[2].copy(),
    TERMS[3].copy(),
];

const SERVICE_RULES: &[FieldRule] = &[
    FieldRule { name: "name", kind: FieldKind::Name, required: true },
    FieldRule { name: "policy", kind: FieldKind::Name, required: false },
    TERMS[3].copy(),
    FieldRule { name: "kinds", kind: FieldKind::List(KIND_RULES), required: false },
];

const PARAMETER_RULES: &[FieldRule] = &[
    FieldRule { name: "service", kind: FieldKind::Name, required: true },
    FieldRule { name: "kind", kind: FieldKind::Name, required: true },
    TERMS[0].copy(),
    TERMS[1].copy(),
    TERMS[2].copy(),
    TERMS[3].copy(),
];

const ACCOUNT_RULES: &[FieldRule] = &[
    FieldRule { name: "name", kind: FieldKind::Name, required: true },
    FieldRule { name: "token_blake3", kind: FieldKind::Hex(64), required: true },
    FieldRule { name: "share", kind: FieldKind::Whole(1, 1_000), required: false },
    FieldRule { name: "parameters", kind: FieldKind::List(PARAMETER_RULES), required: false },
];

const RULES: &[FieldRule] = &[
    FieldRule { name: "services", kind: FieldKind::List(SERVICE_RULES), required: false },
    FieldRule { name: "accounts", kind: FieldKind::List(ACCOUNT_RULES), required: false },
];

impl FleetConfig {
    /// Reads one file of templates and parameters.
    ///
    /// # Errors
    ///
    /// Returns every finding, each with its place.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        Self::parse_all(&[(file.to_owned(), text.to_owned())])
    }

    /// Reads several files, as `(name, text)`, into one configuration.
    ///
    /// # Errors
    ///
    /// Returns every finding of every file.
    pub fn parse_all(files: &[(String, String)]) -> Result<Self, FindingList> {
        let mut checked: Vec<CheckedText<'_>> =
            files.iter().map(|(file, text)| CheckedText::open(file, text, RULES)).collect();
        let parts: Vec<Self> = files
            .iter()
            .zip(&mut checked)
            .map(|((_, text), checked)| read(text, checked))
            .collect();
        let whole = merge(&parts);
        for (part, text) in parts.iter().zip(&mut checked) {
            cross_check(part, &whole, text);
        }
        let findings: Vec<_> = checked.into_iter().flat_map(|text| text.findings).collect();
        if findings.is_empty() { Ok(whole) } else { Err(FindingList(findings)) }
    }

    /// Returns a service's template.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceTemplate> {
        self.services.iter().find(|service| service.name.as_str() == name)
    }

    /// Returns the account that owns a bearer token.
    #[must_use]
    pub fn account(&self, token: &[u8]) -> Option<&AccountParameters> {
        let hash = blake3::hash(token).to_hex();
        self.accounts.iter().find(|account| account.token_blake3.eq_ignore_ascii_case(&hash))
    }

    /// Returns the terms of a call.
    #[must_use]
    pub fn terms(
        &self,
        service: &ServiceTemplate,
        account: &AccountParameters,
        method: &str,
        path: &str,
    ) -> CallTerms {
        let kind = service.kinds.iter().find(|kind| kind.matches(method, path));
        let name = kind.map_or("other", |kind| kind.name.as_str());
        let own = account
            .parameters
            .iter()
            .find(|own| own.service == service.name && own.kind == name)
            .map(|own| &own.terms);
        let base = kind.map(|kind| &kind.terms);
        let safe = matches!(method, "GET" | "HEAD");
        CallTerms {
            kind: name.to_owned(),
            priority: CallPriority {
                urgent: pick(own, base, |terms| terms.urgent).unwrap_or(false),
                worth: pick(own, base, |terms| terms.worth).unwrap_or(1),
            },
            repeatable: pick(own, base, |terms| terms.repeatable).unwrap_or(safe),
            deadline_ms: pick(own, base, |terms| terms.deadline_ms).unwrap_or(service.deadline_ms),
        }
    }
}

impl RequestKind {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.method.as_deref().is_none_or(|own| own == method);
        method_fits && path.starts_with(&self.path)
    }
}

impl FieldRule {
    const fn copy(&self) -> Self {
        Self { name: self.name, kind: self.kind, required: self.required }
    }
}

fn pick<T>(
    own: Option<&KindTerms>,
    base: Option<&KindTerms>,
    field: impl Fn(&KindTerms) -> Option<T>,
) -> Option<T> {
    own.and_then(&field).or_else(|| base.and_then(&field))
}

/// Reads what can be read; most faults are the checker's to report.
fn read(text: &str, checked: &mut CheckedText<'_>) -> FleetConfig {
    let options = jsonc_parser::ParseOptions::default();
    match jsonc_parser::parse_to_serde_value::<FleetConfig>(text, &options) {
        Ok(config) => config,
        Err(error) => {
            if checked.findings.is_empty() {
                checked.add_at("", &error.to_string());
            }
            FleetConfig::default()
        }
    }
}

fn merge(parts: &[FleetConfig]) -> FleetConfig {
    let mut whole = FleetConfig::default();
    for part in parts {
        whole.services.extend(part.services.iter().cloned());
        whole.accounts.extend(part.accounts.iter().cloned());
    }
    whole
}

/// Checks what spans several fields: doubles and dangling references.
fn cross_check(part: &FleetConfig, whole: &FleetConfig, text: &mut CheckedText<'_>) {
    for (index, service) in part.services.iter().enumerate() {
        let path = format!("services[{index}].name");
        if whole.services.iter().filter(|other| other.name == service.name).count() > 1 {
            text.add_at(&path, &format!("service `{}` stands twice", service.name));
        }
        let known =
            service.policy.as_deref().is_none_or(|name| crate::selection::policy(name).is_some());
        if !known {
            let names = crate::selection::policy_names().join(", ");
            text.add_at(&format!("services[{index}].policy"), &format!("expected one of: {names}"));
        }
        let mut seen = HashSet::new();
        for (kind_index, kind) in service.kinds.iter().enumerate() {
            let path = format!("services[{index}].kinds[{kind_index}]");
            if !seen.insert(kind.name.as_str()) {
                text.add_at(&format!("{path}.name"), &format!("kind `{}` stands twice", kind.name));
            }
            if !kind.path.starts_with('/') {
                text.add_at(&format!("{path}.path"), "a path starts with `/`");
            }
        }
    }
    for (index, account) in part.accounts.iter().enumerate() {
        if whole.accounts.iter().filter(|other| other.name == account.name).count() > 1 {
            let path = format!("accounts[{index}].name");
            text.add_at(&path, &format!("account `{}` stands twice", account.name));
        }
        let token = |other: &&AccountParameters| other.token_blake3 == account.token_blake3;
        if whole.accounts.iter().filter(token).count() > 1 {
            let path = format!("accounts[{index}].token_blake3");
            text.add_at(&path, "another account has the same token");
        }
        for (own_index, own) in account.parameters.iter().enumerate() {
            let path = format!("accounts[{index}].parameters[{own_index}]");
            check_reference(own, whole, &path, text);
        }
    }
}

fn check_reference(
    own: &KindParameters,
    whole: &FleetConfig,
    path: &str,
    text: &mut CheckedText<'_>,
) {
    let Some(service) = whole.service(own.service.as_str()) else {
        text.add_at(&format!("{path}.service"), &format!("no template for `{}`", own.service));
        return;
    };
    if !service.kinds.iter().any(|kind| kind.name == own.kind) {
        let wrong = format!("service `{}` has no kind `{}`", own.service, own.kind);
        text.add_at(&format!("{path}.kind"), &wrong);
    }
}
