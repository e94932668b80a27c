//! Routes of a deployment: where requests go by host and path.

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

/// Rank of a route from which on it is not urgent; zero is the most urgent.
const FIRST_ROUTINE_RANK: u8 = 1;

/// Worth of the most urgent rank, on the scale of [`CallPriority`].
const TOP_WORTH: u8 = 100;

/// Requests that go to the same services on the same terms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The operator's name for it.
    pub name: String,
    /// Host that the request names, in lower case.
    pub host: String,
    /// Start of the path; the longest one of a host holds.
    pub prefix: String,
    /// Services that share the requests by weight; never empty.
    #[serde(rename = "targets")]
    pub services: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Longest time a caller is kept waiting, in milliseconds.
    #[serde(default)]
    pub timeout_ms: Option<u32>,
    /// Time within which an answer is worth most, in milliseconds.
    #[serde(default)]
    pub objective_ms: Option<u32>,
    /// Rank among requests; zero is the most urgent.
    #[serde(default)]
    pub rank: u8,
    /// Targets that one request may be sent to, at most.
    #[serde(default)]
    pub attempts: Option<u32>,
    /// Whether a request needs no account.
    #[serde(rename = "open", default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the others'.
    pub weight: u32,
}

/// How the health of a service's targets is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthCheck {
    /// The service.
    pub service: ServiceName,
    /// Path at its targets.
    pub path: String,
}

/// How the targets of a service start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// The service.
    pub service: ServiceName,
    /// Time for which a target is cold after its start, in milliseconds.
    pub lasts_ms: u32,
    /// Calls that a cold target bears in a thousand seconds.
    pub per_1000_s: u32,
}

/// What callers may send, and how long they may take; unset where unlimited.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub head_bytes: Option<u32>,
    /// Longest body of a request, in bytes.
    pub body_bytes: Option<u64>,
    /// Longest time over a request's head, in milliseconds.
    pub head_timeout_ms: Option<u32>,
    /// Longest time a kept connection stays unused, in milliseconds.
    pub idle_timeout_ms: Option<u32>,
}

/// The routes of each host, the longest prefix first.
///
/// An operator may have more than a thousand routes, and each request looks for
/// its own.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex(OnceLock<HashMap<String, Vec<usize>>>);

impl PartialEq for RouteIndex {
    /// It follows from the routes, which are compared themselves.
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for RouteIndex {}

impl RouteIndex {
    /// Returns the places of a host's routes in `routes`.
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
        for places in hosts.values_mut() {
            places.sort_by_key(|index| Reverse(routes[*index].prefix.len()));
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
    /// Draws the service of one request, by weight: once for all its tries, so that what
    /// one part has no room for is refused, not moved to another.
    pub fn choose_service(&self, rng: &mut Pcg64Mcg) -> &ServiceName {
        let whole: u64 = self.services.iter().map(|service| u64::from(service.weight)).sum();
        let mut left = if whole == 0 { 0 } else { rng.random_range(0..whole) };
        for service in &self.services {
            match left.checked_sub(u64::from(service.weight)) {
                Some(rest) => left = rest,
                None => return &service.service,
            }
        }
        &self.services[0].service
    }

    /// Returns the terms of a request that names `asked_ms` as its time; `rank` is that
    /// of its account, where it has one of its own.
    pub(crate) fn call_options(&self, asked_ms: Option<u32>, rank: Option<u8>) -> CallOptions {
        let rank = rank.unwrap_or(self.rank);
        let limit_ms = self.timeout_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(MAX_DEADLINE_MS);
        let deadline_ms = asked_ms.unwrap_or(limit_ms).min(limit_ms);
        let attempts = self.attempts.unwrap_or(MAX_ATTEMPTS);
        CallOptions {
            kind: self.name.clone(),
            priority: CallPriority {
                urgent: rank < FIRST_ROUTINE_RANK,
                worth: TOP_WORTH.saturating_sub(rank),
            },
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
