//! Routes of a deployment, which map requests to services by host and path.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::OnceLock;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::base::consts::{DEFAULT_DEADLINE_MS, MAX_ATTEMPTS, MAX_DEADLINE_MS};
use crate::base::ids::ServiceName;
use crate::base::wire::CallPriority;
use crate::rules::options::{CallOptions, HedgeRule};

/// Smallest rank that is not urgent; rank zero is the most urgent.
const FIRST_ROUTINE_RANK: u8 = 1;

/// Worth of rank zero, on the scale of [`CallPriority`].
const TOP_WORTH: u8 = 100;

/// Returns the rank that a priority stands for.
pub(crate) const fn rank_of(priority: CallPriority) -> u8 {
    TOP_WORTH.saturating_sub(priority.worth)
}

/// Route of the requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name that the operator gave to the route.
    pub name: String,
    /// Host name in the request, in lower case.
    pub host: String,
    /// Prefix of the path; of several matching routes, the one with the longest prefix is used.
    pub prefix: String,
    /// Services among which the requests are split by weight; never empty.
    #[serde(rename = "targets")]
    pub services: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Maximum time for which a caller waits for an answer, in milliseconds.
    #[serde(default)]
    pub timeout_ms: Option<u32>,
    /// Latency objective, in milliseconds; an answer within this time is worth most.
    #[serde(default)]
    pub objective_ms: Option<u32>,
    /// Rank of the requests; zero is the most urgent.
    #[serde(default)]
    pub rank: u8,
    /// Maximum number of targets that one request may be sent to.
    #[serde(default)]
    pub attempts: Option<u32>,
    /// Whether requests need no account.
    #[serde(rename = "open", default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// Service of a route, with its weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of the route's requests, relative to the weights of its other services.
    pub weight: u32,
}

/// Health check of a service's targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthCheck {
    /// Name of the service.
    pub service: ServiceName,
    /// Path of the health check at the targets.
    pub path: String,
}

/// Capacity of a service's targets after their start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Name of the service.
    pub service: ServiceName,
    /// Time for which a target is cold after its start, in milliseconds.
    pub lasts_ms: u32,
    /// Number of calls that a cold target can serve in a thousand seconds.
    pub per_1000_s: u32,
}

/// Limits on what callers send and on the time they take; `None` is unlimited.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallerLimits {
    /// Maximum size of the head of a request, in bytes.
    pub head_bytes: Option<u32>,
    /// Maximum size of the body of a request, in bytes.
    pub body_bytes: Option<u64>,
    /// Maximum time for receiving the head of a request, in milliseconds.
    pub head_timeout_ms: Option<u32>,
    /// Maximum time for which a connection is kept open without a request, in milliseconds.
    pub idle_timeout_ms: Option<u32>,
}

/// Index of the routes of each host, longest prefix first.
///
/// A linear search would be slow: an operator may have more than a thousand routes, and
/// every request looks one up.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex(OnceLock<HashMap<String, Vec<usize>>>);

impl PartialEq for RouteIndex {
    /// Always equal: the index is derived from the routes, which are compared themselves.
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for RouteIndex {}

impl RouteIndex {
    /// Returns the positions in `routes` of the routes of a host.
    pub(crate) fn of_host(&self, routes: &[RouteRule], host: &str) -> &[usize] {
        let hosts = self.0.get_or_init(|| Self::build(routes));
        let found = hosts.get(host).or_else(|| hosts.get(&host.to_ascii_lowercase()));
        found.map_or(&[], Vec::as_slice)
    }

    fn build(routes: &[RouteRule]) -> HashMap<String, Vec<usize>> {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for indexes in hosts.values_mut() {
            indexes.sort_by_key(|index| Reverse(routes[*index].prefix.len()));
        }
        hosts
    }
}

impl CallerLimits {
    pub(crate) fn is_unset(&self) -> bool {
        *self == Self::default()
    }
}

impl RouteRule {
    /// Chooses the service of a request at random, by weight.
    ///
    /// The choice is made once for all attempts of the request, so that a request for which
    /// its service has no capacity is refused and not moved to another service.
    pub fn choose_service(&self, rng: &mut Pcg64Mcg) -> &ServiceName {
        let total: u64 = self.services.iter().map(|weighted| u64::from(weighted.weight)).sum();
        let mut left = if total == 0 { 0 } else { rng.random_range(0..total) };
        for weighted in &self.services {
            match left.checked_sub(u64::from(weighted.weight)) {
                Some(rest) => left = rest,
                None => return &weighted.service,
            }
        }
        &self.services[0].service
    }

    /// Returns the priority of a call on this route; `rank` is that of the account, if it has its
    /// own.
    pub(crate) fn priority(&self, rank: Option<u8>) -> CallPriority {
        let rank = rank.unwrap_or(self.rank);
        CallPriority { urgent: rank < FIRST_ROUTINE_RANK, worth: TOP_WORTH.saturating_sub(rank) }
    }

    /// Returns the options of a call on this route.
    ///
    /// `requested_ms` is the time to the deadline that the caller requested, and `rank` that
    /// of the account, if it has its own.
    pub(crate) fn call_options(&self, requested_ms: Option<u32>, rank: Option<u8>) -> CallOptions {
        let limit_ms = self.timeout_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(MAX_DEADLINE_MS);
        let deadline_ms = requested_ms.unwrap_or(limit_ms).min(limit_ms);
        let attempts = self.attempts.unwrap_or(MAX_ATTEMPTS);
        CallOptions {
            kind: self.name.clone(),
            priority: self.priority(rank),
            repeatable: self.repeatable,
            deadline_ms,
            objective_ms: self.objective_ms.unwrap_or(deadline_ms),
            attempts,
            hedge: if self.repeatable && attempts > 1 {
                HedgeRule::WithinObjective
            } else {
                HedgeRule::Never
            },
        }
    }
}
