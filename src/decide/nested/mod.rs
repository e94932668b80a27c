//! Which routes only targets call, learned from the calls that arrive at a guard.
//!
//! Clients of a route use the entries of all hosts, while a target uses the entry of its own
//! host, during a run. So if all calls of a route come from hosts of one service, each while the
//! target of its host runs a call, the route is probably called by the targets of that service
//! alone. A call that comes otherwise disproves it.
//!
//! A guard's finding reaches other guards through the entries, and counts there as long as the
//! receiving guard's own evidence does not disprove it: so a guard that has just started needs no
//! evidence of its own.

mod evidence;
mod shares;

use std::collections::HashMap;

use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::base::ids::ServiceName;
use evidence::RouteEvidence;
pub use shares::ServiceShares;

/// Maximum number of routes with evidence: a target serves a few.
const MAX_ROUTES: usize = 256;

/// A call of a route as its guard sees it.
#[derive(Clone, Copy, Debug)]
pub struct RouteCall<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Service of the target on the entry's host, if there is one.
    pub caller_service: Option<&'a ServiceName>,
    /// Whether that target was running a call when this call arrived at the entry.
    pub caller_busy: bool,
    /// Whether the entry takes the call for a nested one.
    pub nested: bool,
}

/// What a guard finds about the route of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteFinding {
    /// Whether only targets call the route, as far as known.
    pub nested: bool,
    /// Whether that differs from the finding at the route's previous call.
    pub changed: bool,
}

/// State of a route, for operators.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct RouteState<'a> {
    route: &'a str,
    nested: bool,
    evidence: &'a RouteEvidence,
}

/// Classifier of the routes that a guard serves.
///
/// Invariant: holds evidence of at most [`MAX_ROUTES`] routes, those called last.
#[derive(Clone, Debug, Default)]
pub struct RouteClassifier {
    routes: HashMap<String, RouteEvidence>,
    shares: ServiceShares,
}

impl RouteClassifier {
    /// Sets each service's share of the hosts.
    pub fn set_shares(&mut self, shares: ServiceShares) {
        self.shares = shares;
    }

    /// Records a call of a route; returns what is known of the route, this call included.
    pub fn record(&mut self, now: MicroTime, call: &RouteCall<'_>) -> RouteFinding {
        if !self.routes.contains_key(call.route) {
            self.make_room();
            self.routes.insert(call.route.to_owned(), RouteEvidence::default());
        }
        let Some(evidence) = self.routes.get_mut(call.route) else {
            return RouteFinding { nested: false, changed: false };
        };
        evidence.record(now, call, &self.shares)
    }

    /// Returns whether only targets call a route, as far as known.
    #[must_use]
    pub fn is_nested(&self, now: MicroTime, route: &str) -> bool {
        self.routes.get(route).is_some_and(|evidence| evidence.is_nested(now))
    }

    /// Returns the state of each route, for operators.
    pub(crate) fn states(&self, now: MicroTime) -> Vec<RouteState<'_>> {
        let states = self.routes.iter().map(|(route, evidence)| RouteState {
            route,
            nested: evidence.is_nested(now),
            evidence,
        });
        states.collect()
    }

    /// Returns the number of routes with evidence.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there is evidence of no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Removes the route whose last call is the longest ago if there is no room for another.
    fn make_room(&mut self) {
        if self.routes.len() < MAX_ROUTES {
            return;
        }
        let oldest = self.routes.iter().min_by_key(|(_, evidence)| evidence.last_call());
        if let Some(route) = oldest.map(|(route, _)| route.clone()) {
            self.routes.remove(&route);
        }
    }
}
