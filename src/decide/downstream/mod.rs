//! Decides which calls may start at a target whose runs make calls to other services.
//!
//! A run whose calls are not answered may end with a failure: its work is lost and its slot was
//! held in vain. While most runs of a route fail, adaptive throttling starts only about as many
//! of them as the calls to each service are answered for, and refuses the rest before they take a
//! slot. Runs that get by without an answer, or fail now and then, are not held back. The platform
//! doesn't tell which run made a call; a call is attributed to the routes that run when it ends,
//! in proportion to their runs in progress and to the calls attributed to them so far.
//!
//! Everything is counted at one target from its own calls, so the decisions of several targets
//! can't amplify each other; and every route starts now and then, so that none stops for good.

mod routes;
mod service;
mod window;

use std::collections::{BTreeMap, HashMap};

use serde_json::{Value, json};

use self::routes::RouteRuns;
use self::service::CalledService;
use crate::base::clock::MicroTime;
use crate::base::ids::ServiceName;
use crate::base::wire::CallPriority;

/// Maximum time between two permitted starts of a route that is requested all the time.
const MAX_START_INTERVAL: MicroTime = MicroTime::from_millis(500);

/// Maximum number of routes; calls of further ones are not throttled.
const MAX_ROUTES: usize = 256;

/// Maximum number of called services; calls to further ones are not counted.
const MAX_SERVICES: usize = 64;

/// Time after the last event of a route or a service when it is forgotten.
const RETENTION: MicroTime = MicroTime::from_millis(30_000);

/// Change of a refused share that is reported.
const REPORTED_CHANGE: f64 = 0.15;

/// Minimum time between two reports about a service.
const REPORT_INTERVAL: MicroTime = MicroTime::from_millis(1_000);

/// Decision about a requested start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// The call may wait for a slot and start.
    Permit,
    /// The call is refused; its caller may return after the delay.
    Refuse {
        /// Time after which the caller should return.
        retry_after: MicroTime,
    },
}

/// Considerable change of the share of starts that are refused because of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// Service that is called.
    pub service: ServiceName,
    /// Refused share of the starts whose runs call the service.
    pub share: f64,
    /// Share of the previous report.
    pub before: f64,
    /// Number of calls in the window.
    pub made: f64,
    /// Number of these that were answered.
    pub answered: f64,
}

/// Throttle of the starts at one target.
///
/// Invariants: a nested run is never refused; a route most of whose runs succeed is never refused;
/// of a route that is requested, at least one start is permitted in each 500 ms.
#[derive(Clone, Debug, Default)]
pub struct DownstreamThrottle {
    routes: HashMap<String, RouteRuns>,
    services: BTreeMap<ServiceName, CalledService>,
}

impl DownstreamThrottle {
    /// Decides about a requested start. `nested` says that another target makes the call.
    pub fn request_start(
        &mut self,
        now: MicroTime,
        route: &str,
        priority: CallPriority,
        nested: bool,
    ) -> StartDecision {
        let Some(runs) = self.routes.get_mut(route) else { return StartDecision::Permit };
        runs.used_at = now;
        let services = &mut self.services;
        if nested {
            for (name, calls) in runs.needs(now) {
                if let Some(service) = services.get_mut(name) {
                    service.count_exempt(now, calls);
                }
            }
            return StartDecision::Permit;
        }
        let fails_mostly = runs.fails_mostly(now);
        let shares = runs.needs(now).filter(|_| fails_mostly).filter_map(|(name, calls)| {
            let share = services.get(name)?.refused_share_of(now, priority);
            (share > 0.0).then(|| (name.clone(), calls, share))
        });
        let strictest = shares.max_by(|left, right| left.2.total_cmp(&right.2));
        let refused = strictest.filter(|(name, _, share)| {
            let service = services.get_mut(name);
            let is_due = service.is_some_and(|service| service.is_refusal_due(priority, *share));
            let permitted_lately =
                runs.permitted_at.is_some_and(|at| now.since(at) < MAX_START_INTERVAL);
            is_due && permitted_lately
        });
        for (name, calls) in runs.needs(now) {
            if let Some(service) = services.get_mut(name) {
                service.count_start(now, priority, calls, refused.is_none());
            }
        }
        let Some((name, calls, share)) = refused else {
            runs.permitted_at = Some(now);
            return StartDecision::Permit;
        };
        let service = services.entry(name).or_default();
        let retry_after = service.reserve_return(now, priority, share, calls);
        StartDecision::Refuse { retry_after }
    }

    /// Records the start of a run.
    pub fn begin_run(&mut self, now: MicroTime, route: &str) {
        if let Some(runs) = self.routes.get_mut(route) {
            runs.begin(now);
        } else if self.routes.len() < MAX_ROUTES {
            self.routes.entry(route.to_owned()).or_default().begin(now);
        }
    }

    /// Records the end of a run; `failed` is `None` if nobody waited for its result.
    pub fn end_run(&mut self, now: MicroTime, route: &str, failed: Option<bool>) {
        if let Some(runs) = self.routes.get_mut(route) {
            runs.end(now, failed);
        }
    }

    /// Records the end of a call that the target made.
    pub fn record_call(&mut self, now: MicroTime, service: &ServiceName, answered: bool) {
        if !self.services.contains_key(service) && self.services.len() >= MAX_SERVICES {
            return;
        }
        self.services.entry(service.clone()).or_default().record(now, answered);
        let running = self.routes.values_mut().filter(|runs| runs.running > 0);
        let mut rates: Vec<(&mut RouteRuns, f64)> = running
            .map(|runs| {
                runs.advance(now);
                let rate = runs.call_rate(now, service);
                (runs, rate)
            })
            .collect();
        let total: f64 = rates.iter().map(|(_, rate)| rate).sum();
        for (runs, rate) in &mut rates {
            runs.attribute(now, service, *rate / total);
        }
    }

    /// Returns the share of the starts needing a service that are refused.
    #[must_use]
    pub fn refused_share(&self, now: MicroTime, service: &ServiceName) -> f64 {
        self.services.get(service).map_or(0.0, |service| service.refused_share(now))
    }

    /// Returns the shares that changed considerably since they were last returned, and forgets
    /// what was not used for long.
    pub fn take_changes(&mut self, now: MicroTime) -> Vec<ShareChange> {
        let mut changes = Vec::new();
        for (name, service) in &mut self.services {
            let share = service.refused_share(now);
            let (before, reported_at) = service.reported;
            let is_considerable =
                (share - before).abs() >= REPORTED_CHANGE || (share > 0.0) != (before > 0.0);
            if is_considerable && now.since(reported_at) >= REPORT_INTERVAL {
                service.reported = (share, now);
                let (made, answered) = service.calls(now);
                changes.push(ShareChange { service: name.clone(), share, before, made, answered });
            }
        }
        self.services.retain(|_, service| now.since(service.used_at) < RETENTION);
        self.routes.retain(|_, runs| runs.running > 0 || now.since(runs.used_at) < RETENTION);
        changes
    }

    /// Returns the state on which the decisions are based, as JSON.
    #[must_use]
    pub fn dump(&self, now: MicroTime) -> Value {
        let services = self.services.iter().map(|(name, service)| {
            let (made, answered) = service.calls(now);
            let state = json!({
                "made": made, "answered": answered, "refused_share": service.refused_share(now),
            });
            (name.to_string(), state)
        });
        let routes = self.routes.iter().map(|(name, runs)| {
            let needs: BTreeMap<String, f64> =
                runs.needs(now).map(|(service, calls)| (service.to_string(), calls)).collect();
            (name.clone(), json!({ "running": runs.running, "calls_per_run": needs }))
        });
        json!({
            "services": services.collect::<BTreeMap<String, Value>>(),
            "routes": routes.collect::<BTreeMap<String, Value>>(),
        })
    }
}
