//! Templates of services and parameters of client accounts.
//!
//! This is what operators publish; one revision is in force in a daemon at a
//! time.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::base::consts::{DEFAULT_DEADLINE_MS, MAX_ATTEMPTS};
use crate::base::findings::FindingList;
use crate::base::ids::ServiceName;
use crate::base::wire::CallPriority;
use crate::decide::selection::{self, SelectionPolicy};
use crate::rules::account::{AccountIndex, AccountParameters};
use crate::rules::config_checks::{CONFIG_RULES, ConfigNames, parse_leniently};
use crate::rules::file_schema::CheckedFile;
use crate::rules::options::{CallOptions, HedgeRule, KindOptions};
use crate::rules::route::{CallerLimits, ColdStart, HealthCheck, RouteIndex, RouteRule};

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
    /// How the targets of routed services start, where that is known.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cold_starts: Vec<ColdStart>,
    /// What callers may send, and how long they may take.
    #[serde(default, skip_serializing_if = "CallerLimits::is_unset")]
    pub limits: CallerLimits,
    /// Finds a request's route; made from `routes` when first asked, so these do
    /// not change after that.
    #[serde(skip)]
    pub route_index: RouteIndex,
    /// Finds the account of a token, likewise.
    #[serde(skip)]
    pub account_index: AccountIndex,
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
    pub options: KindOptions,
}

const fn default_deadline() -> u32 {
    DEFAULT_DEADLINE_MS
}

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
        let mut checked: Vec<CheckedFile<'_>> =
            files.iter().map(|(file, text)| CheckedFile::open(file, text, CONFIG_RULES)).collect();
        let values: Vec<Value> = files.iter().map(|(_, text)| parse_leniently(text)).collect();
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
        self.account_index.of_token(&self.accounts, token).map(|index| &self.accounts[index])
    }

    /// Returns the terms of a call.
    #[must_use]
    pub fn call_options(
        &self,
        service: &ServiceTemplate,
        account: &AccountParameters,
        method: &str,
        path: &str,
    ) -> CallOptions {
        let kind = service.kinds.iter().find(|kind| kind.matches(method, path));
        let name = kind.map_or("other", |kind| kind.name.as_str());
        let own = account
            .parameters
            .iter()
            .find(|own| own.service == service.name && own.kind == name)
            .map(|own| &own.options);
        let base = kind.map(|kind| &kind.options);
        let safe = matches!(method, "GET" | "HEAD");
        let deadline_ms =
            pick(own, base, |options| options.deadline_ms).unwrap_or(service.deadline_ms);
        CallOptions {
            kind: name.to_owned(),
            priority: CallPriority {
                urgent: pick(own, base, |options| options.urgent).unwrap_or(false),
                worth: pick(own, base, |options| options.worth).unwrap_or(1),
            },
            repeatable: pick(own, base, |options| options.repeatable).unwrap_or(safe),
            deadline_ms,
            objective_ms: deadline_ms,
            attempts: MAX_ATTEMPTS,
            hedge: match pick(own, base, |options| options.hedge) {
                Some(true) => HedgeRule::SlowCalls,
                Some(false) | None => HedgeRule::Never,
            },
        }
    }
}

impl FleetConfig {
    /// Returns the path at which a service's targets tell their health.
    #[must_use]
    pub fn health_path(&self, service: &ServiceName) -> Option<&str> {
        let check = self.checks.iter().find(|check| check.service == *service);
        check.map(|check| check.path.as_str())
    }

    /// Returns how the targets of a service start, where that is known.
    #[must_use]
    pub fn cold_start(&self, service: &ServiceName) -> Option<&ColdStart> {
        self.cold_starts.iter().find(|start| start.service == *service)
    }

    /// Tells whether the configuration names a service.
    #[must_use]
    pub fn has_service(&self, service: &ServiceName) -> bool {
        let routed = |route: &RouteRule| route.services.iter().any(|part| part.service == *service);
        self.health_path(service).is_some()
            || self.cold_start(service).is_some()
            || self.service(service.as_str()).is_some()
            || self.routes.iter().any(routed)
    }

    /// Returns the route of a request: the longest prefix of its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let of_host = self.route_index.of_host(&self.routes, host);
        let mut routes = of_host.iter().map(|index| &self.routes[*index]);
        routes.find(|route| path.starts_with(&route.prefix))
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

fn pick<T>(
    own: Option<&KindOptions>,
    base: Option<&KindOptions>,
    field: impl Fn(&KindOptions) -> Option<T>,
) -> Option<T> {
    own.and_then(&field).or_else(|| base.and_then(&field))
}

/// Reads what can be read; most faults are the checker's to report.
fn read(text: &str, checked: &mut CheckedFile<'_>) -> FleetConfig {
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
