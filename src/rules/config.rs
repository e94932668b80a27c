//! Configuration of a fleet, mainly templates of services and parameters of client accounts.
//!
//! Operators publish it in revisions; one revision at a time is in force in a daemon.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::base::consts::{DEFAULT_DEADLINE_MS, MAX_ATTEMPTS};
use crate::base::findings::FindingList;
use crate::base::ids::ServiceName;
use crate::base::wire::CallPriority;
use crate::decide::selection::{self, SelectionPolicy};
use crate::rules::account::{AccountIndex, AccountParameters, TokenHash};
use crate::rules::config_checks::{CONFIG_FIELDS, ConfigNames, parse_leniently};
use crate::rules::file_schema::CheckedFile;
use crate::rules::options::{CallOptions, HedgeRule, KindOptions};
use crate::rules::route::{CallerLimits, ColdStart, HealthCheck, RouteIndex, RouteRule};

/// Contents of one revision of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// One template for each service.
    #[serde(default)]
    pub services: Vec<ServiceTemplate>,
    /// One set of parameters for each client account.
    #[serde(default)]
    pub accounts: Vec<AccountParameters>,
    /// Routes by host and path, for deployments in which the path does not name the service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<RouteRule>,
    /// Health checks of the targets of routed services.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub checks: Vec<HealthCheck>,
    /// Capacity of the targets of routed services after their start, where known.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cold_starts: Vec<ColdStart>,
    /// Limits on what callers send and on the time they take.
    #[serde(default, skip_serializing_if = "CallerLimits::is_unset")]
    pub limits: CallerLimits,
    /// Index of `routes`, built at the first look-up; `routes` must not change after that.
    #[serde(skip)]
    pub route_index: RouteIndex,
    /// Index of `accounts` by token, built at the first look-up like `route_index`.
    #[serde(skip)]
    pub account_index: AccountIndex,
}

/// Template of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTemplate {
    /// Name of the service; callers give it as the first segment of the path.
    pub name: ServiceName,
    /// Name of the selection policy that chooses among the service's targets.
    #[serde(default)]
    pub policy: Option<String>,
    /// Default time to the deadline of a call, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u32,
    /// Kinds of request; the first that matches a request is used.
    #[serde(default)]
    pub kinds: Vec<RequestKind>,
}

/// Kind of request in a template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestKind {
    /// Name of the kind, to which the parameters of accounts refer.
    pub name: String,
    /// HTTP method; any method if missing.
    #[serde(default)]
    pub method: Option<String>,
    /// Prefix of the path.
    pub path: String,
    /// Default options, for accounts that set none.
    #[serde(flatten)]
    pub options: KindOptions,
}

const fn default_deadline() -> u32 {
    DEFAULT_DEADLINE_MS
}

impl FleetConfig {
    /// Parses and checks one file of templates and parameters.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its position.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        Self::parse_all(&[(file.to_owned(), text.to_owned())])
    }

    /// Parses and checks several files, given as `(name, text)`, as one configuration.
    ///
    /// # Errors
    ///
    /// Returns all findings of all files.
    pub fn parse_all(files: &[(String, String)]) -> Result<Self, FindingList> {
        let mut checked: Vec<CheckedFile<'_>> =
            files.iter().map(|(file, text)| CheckedFile::open(file, text, CONFIG_FIELDS)).collect();
        let values: Vec<Value> = files.iter().map(|(_, text)| parse_leniently(text)).collect();
        let names = ConfigNames::collect(&values);
        for (value, file) in values.iter().zip(&mut checked) {
            names.check(value, file);
        }
        let mut config = Self::default();
        for ((_, text), file) in files.iter().zip(&mut checked) {
            config.extend(parse_checked(text, file));
        }
        let findings: Vec<_> = checked.into_iter().flat_map(|file| file.findings).collect();
        if findings.is_empty() { Ok(config) } else { Err(FindingList(findings)) }
    }

    fn extend(&mut self, part: Self) {
        self.services.extend(part.services);
        self.accounts.extend(part.accounts);
    }

    /// Returns the template of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceTemplate> {
        self.services.iter().find(|service| service.name.as_str() == name)
    }

    /// Returns the account that owns a bearer token.
    #[must_use]
    pub fn account(&self, token: &[u8]) -> Option<&AccountParameters> {
        self.account_of_hash(TokenHash::of(token))
    }

    /// Returns the account that owns the bearer token with the given hash.
    pub(crate) fn account_of_hash(&self, hash: TokenHash) -> Option<&AccountParameters> {
        self.account_index.of_hash(&self.accounts, hash).map(|index| &self.accounts[index])
    }

    /// Returns the options of a call, from its account's parameters and its service's
    /// template.
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
        let account_options = account
            .parameters
            .iter()
            .find(|parameters| parameters.service == service.name && parameters.kind == name)
            .map(|parameters| &parameters.options);
        let template_options = kind.map(|kind| &kind.options);
        let safe = matches!(method, "GET" | "HEAD");
        let deadline_ms =
            first_set(account_options, template_options, |options| options.deadline_ms)
                .unwrap_or(service.deadline_ms);
        CallOptions {
            kind: name.to_owned(),
            priority: CallPriority {
                urgent: first_set(account_options, template_options, |options| options.urgent)
                    .unwrap_or(false),
                worth: first_set(account_options, template_options, |options| options.worth)
                    .unwrap_or(1),
            },
            repeatable: first_set(account_options, template_options, |options| options.repeatable)
                .unwrap_or(safe),
            deadline_ms,
            objective_ms: deadline_ms,
            attempts: MAX_ATTEMPTS,
            hedge: match first_set(account_options, template_options, |options| options.hedge) {
                Some(true) => HedgeRule::SlowCalls,
                Some(false) | None => HedgeRule::Never,
            },
        }
    }
}

impl FleetConfig {
    /// Returns the path of the health check of a service's targets.
    #[must_use]
    pub fn health_path(&self, service: &ServiceName) -> Option<&str> {
        let check = self.checks.iter().find(|check| check.service == *service);
        check.map(|check| check.path.as_str())
    }

    /// Returns the capacity of a service's targets after their start, if known.
    #[must_use]
    pub fn cold_start(&self, service: &ServiceName) -> Option<&ColdStart> {
        self.cold_starts.iter().find(|start| start.service == *service)
    }

    /// Returns whether the configuration contains a service.
    #[must_use]
    pub fn has_service(&self, service: &ServiceName) -> bool {
        let routed =
            |route: &RouteRule| route.services.iter().any(|weighted| weighted.service == *service);
        self.health_path(service).is_some()
            || self.cold_start(service).is_some()
            || self.service(service.as_str()).is_some()
            || self.routes.iter().any(routed)
    }

    /// Returns the route of a request: the one of its host with the longest matching prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let of_host = self.route_index.of_host(&self.routes, host);
        let mut routes = of_host.iter().map(|index| &self.routes[*index]);
        routes.find(|route| path.starts_with(&route.prefix))
    }
}

impl ServiceTemplate {
    /// Returns the policy that chooses among the service's targets, or the default policy.
    pub(crate) fn selection_policy(&self) -> &'static SelectionPolicy {
        let named = self.policy.as_deref().and_then(selection::policy);
        named.unwrap_or_else(selection::default_policy)
    }
}

impl RequestKind {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method.as_deref().is_none_or(|expected| expected == method);
        method_matches && path.starts_with(&self.path)
    }
}

/// Returns an option of the account if it is set, otherwise the one of the template.
fn first_set<T>(
    account_options: Option<&KindOptions>,
    template_options: Option<&KindOptions>,
    field: impl Fn(&KindOptions) -> Option<T>,
) -> Option<T> {
    account_options.and_then(&field).or_else(|| template_options.and_then(&field))
}

/// Decodes a file; an error becomes a finding only if the checks found none, since they
/// report most errors more precisely.
fn parse_checked(text: &str, file: &mut CheckedFile<'_>) -> FleetConfig {
    let options = jsonc_parser::ParseOptions::default();
    match jsonc_parser::parse_to_serde_value::<FleetConfig>(text, &options) {
        Ok(config) => config,
        Err(error) => {
            if file.findings.is_empty() {
                file.add_at("", &error.to_string());
            }
            FleetConfig::default()
        }
    }
}
