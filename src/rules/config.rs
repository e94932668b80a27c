//! Templates of services and parameters of client accounts.
//!
//! This is what operators publish; one revision is in force in a daemon at a
//! time.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::base::consts::{DEFAULT_DEADLINE_MS, MAX_ATTEMPTS, MAX_DEADLINE_MS};
use crate::base::findings::{FindingList, nearest};
use crate::base::ids::{AccountName, ServiceName};
use crate::base::wire::CallPriority;
use crate::decide::selection::{self, SelectionPolicy};
use crate::rules::route::{CallerLimits, HealthCheck, RouteIndex, RouteRule};
use crate::rules::schema::{CheckedText, FieldKind, FieldRule};

/// Everything that one revision sets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// One template for each service.
    #[serde(default)]
    pub services: Vec<ServiceTemplate>,
    /// One set of parameters for each client account.
    #[serde(default)]
    pub accounts: Vec<AccountParameters>,
    /// Where requests go that name no account, by host and path.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<RouteRule>,
    /// How the health of routed services' targets is asked for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub checks: Vec<HealthCheck>,
    /// What callers may send, and how long they may take.
    #[serde(default, skip_serializing_if = "CallerLimits::is_unset")]
    pub limits: CallerLimits,
    /// Finds a request's route; made from `routes` when first asked, so these do
    /// not change after that.
    #[serde(skip)]
    pub route_index: RouteIndex,
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
    /// Whether a slow call gets a second try beside the first; only for
    /// repeatable calls that make no calls of their own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hedge: Option<bool>,
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
    /// Time within which an answer is worth most, in milliseconds.
    pub objective_ms: u32,
    /// Targets that one call may be sent to, at most.
    pub attempts: u32,
    /// Whether a slow call gets a second try beside the first.
    pub hedge: HedgeRule,
}

/// Whether a slow call gets a second try beside the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeRule {
    /// Never.
    Never,
    /// When it takes long for its target, from the budget of hedges.
    BesideSlow,
    /// While the second can still be within the latency objective, from the
    /// budget of all further tries.
    WithinObjective,
}

const fn default_deadline() -> u32 {
    DEFAULT_DEADLINE_MS
}

const fn default_share() -> u16 {
    1
}

const TERMS: [FieldRule; 5] = [
    FieldRule { name: "urgent", kind: FieldKind::Flag, required: false },
    FieldRule { name: "worth", kind: FieldKind::Whole(1, 100), required: false },
    FieldRule { name: "repeatable", kind: FieldKind::Flag, required: false },
    FieldRule {
        name: "deadline_ms",
        kind: FieldKind::Whole(1, MAX_DEADLINE_MS as u64),
        required: false,
    },
    FieldRule { name: "hedge", kind: FieldKind::Flag, required: false },
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
    TERMS[4].copy(),
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
    TERMS[4].copy(),
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
        let values: Vec<Value> = files.iter().map(|(_, text)| read_value(text)).collect();
        let names = ConfigNames::collect(&values);
        for (value, text) in values.iter().zip(&mut checked) {
            names.check(value, text);
        }
        let mut whole = Self::default();
        for ((_, text), checked) in files.iter().zip(&mut checked) {
            whole.extend(read(text, checked));
        }
        let findings: Vec<_> = checked.into_iter().flat_map(|text| text.findings).collect();
        if findings.is_empty() { Ok(whole) } else { Err(FindingList(findings)) }
    }

    fn extend(&mut self, part: Self) {
        self.services.extend(part.services);
        self.accounts.extend(part.accounts);
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
        let deadline_ms = pick(own, base, |terms| terms.deadline_ms).unwrap_or(service.deadline_ms);
        CallTerms {
            kind: name.to_owned(),
            priority: CallPriority {
                urgent: pick(own, base, |terms| terms.urgent).unwrap_or(false),
                worth: pick(own, base, |terms| terms.worth).unwrap_or(1),
            },
            repeatable: pick(own, base, |terms| terms.repeatable).unwrap_or(safe),
            deadline_ms,
            objective_ms: deadline_ms,
            attempts: MAX_ATTEMPTS,
            hedge: match pick(own, base, |terms| terms.hedge) {
                Some(true) => HedgeRule::BesideSlow,
                Some(false) | None => HedgeRule::Never,
            },
        }
    }
}

impl ServiceTemplate {
    /// Returns the policy that chooses among the service's targets.
    pub(crate) fn selection_policy(&self) -> &'static SelectionPolicy {
        let named = self.policy.as_deref().and_then(selection::policy);
        named.unwrap_or_else(selection::default_policy)
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

/// Reads a file loosely, so that one fault does not hide another.
fn read_value(text: &str) -> Value {
    let options = jsonc_parser::ParseOptions::default();
    jsonc_parser::parse_to_serde_value(text, &options).unwrap_or_default()
}

/// The names that all files together define.
#[derive(Debug, Default)]
struct ConfigNames<'a> {
    /// Kinds of each service; a service that stands twice has two lists.
    services: Vec<(&'a str, Vec<&'a str>)>,
    accounts: Vec<&'a str>,
    tokens: Vec<&'a str>,
}

impl<'a> ConfigNames<'a> {
    fn collect(values: &'a [Value]) -> Self {
        let mut names = Self::default();
        for value in values {
            for service in items(value, "services") {
                let kinds = items(service, "kinds").iter().map(|kind| field(kind, "name"));
                names.services.push((field(service, "name"), kinds.collect()));
            }
            for account in items(value, "accounts") {
                names.accounts.push(field(account, "name"));
                names.tokens.push(field(account, "token_blake3"));
            }
        }
        names
    }

    /// Checks what spans several fields: doubles and dangling references.
    fn check(&self, value: &Value, text: &mut CheckedText<'_>) {
        for (index, service) in items(value, "services").iter().enumerate() {
            self.check_service(service, &format!("services[{index}]"), text);
        }
        for (index, account) in items(value, "accounts").iter().enumerate() {
            self.check_account(account, &format!("accounts[{index}]"), text);
        }
    }

    fn check_service(&self, service: &Value, path: &str, text: &mut CheckedText<'_>) {
        let name = field(service, "name");
        if self.services.iter().filter(|(other, _)| *other == name).count() > 1 {
            text.add_at(&format!("{path}.name"), &format!("service `{name}` stands twice"));
        }
        let policy = field(service, "policy");
        if !policy.is_empty() && selection::policy(policy).is_none() {
            let known = selection::policy_names().join(", ");
            text.add_at(&format!("{path}.policy"), &format!("expected one of: {known}"));
        }
        let mut seen = HashSet::new();
        for (index, kind) in items(service, "kinds").iter().enumerate() {
            let path = format!("{path}.kinds[{index}]");
            let name = field(kind, "name");
            if !seen.insert(name) {
                text.add_at(&format!("{path}.name"), &format!("kind `{name}` stands twice"));
            }
            let start = field(kind, "path");
            if !start.is_empty() && !start.starts_with('/') {
                text.add_at(&format!("{path}.path"), "a path starts with `/`");
            }
        }
    }

    fn check_account(&self, account: &Value, path: &str, text: &mut CheckedText<'_>) {
        let name = field(account, "name");
        if self.accounts.iter().filter(|other| **other == name).count() > 1 {
            text.add_at(&format!("{path}.name"), &format!("account `{name}` stands twice"));
        }
        let token = field(account, "token_blake3");
        if self.tokens.iter().filter(|other| **other == token).count() > 1 {
            let wrong = "another account has the same token";
            text.add_at(&format!("{path}.token_blake3"), wrong);
        }
        for (index, own) in items(account, "parameters").iter().enumerate() {
            self.check_reference(own, &format!("{path}.parameters[{index}]"), text);
        }
    }

    fn check_reference(&self, own: &Value, path: &str, text: &mut CheckedText<'_>) {
        let (service, kind) = (field(own, "service"), field(own, "kind"));
        let Some((_, kinds)) = self.services.iter().find(|(name, _)| *name == service) else {
            let known = self.services.iter().map(|(name, _)| *name);
            let hint = hint_nearest(service, known);
            text.add_at(&format!("{path}.service"), &format!("no template for `{service}`{hint}"));
            return;
        };
        if !kinds.contains(&kind) {
            let hint = hint_nearest(kind, kinds.iter().copied());
            let wrong = format!("service `{service}` has no kind `{kind}`{hint}");
            text.add_at(&format!("{path}.kind"), &wrong);
        }
    }
}

fn items<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

fn field<'a>(value: &'a Value, key: &str) -> &'a str {
    value.get(key).and_then(Value::as_str).unwrap_or_default()
}

fn hint_nearest<'a>(wrong: &str, known: impl Iterator<Item = &'a str>) -> String {
    nearest(wrong, known).map(|name| format!("; did you mean `{name}`?")).unwrap_or_default()
}
