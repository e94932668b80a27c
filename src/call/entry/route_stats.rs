//! Work times and sizes of earlier calls by route, from which targets are chosen for later calls.

use std::collections::HashMap;

use crate::base::clock::MicroTime;
use crate::decide::selection::CallEstimate;
use crate::rules::options::CallOptions;

/// Weight of the newest call in the moving averages of its route.
const NEWEST_WEIGHT: f64 = 0.1;

/// Maximum number of routes that are tracked; an operator has some hundreds.
const MAX_ROUTES: usize = 4_096;

/// Assumed work time of an unknown route, as a fraction of its latency objective: operators
/// set objectives of a few times the work time.
const DEFAULT_WORK_FRACTION: f64 = 1.0 / 3.0;

/// Size of the heads of a request and its response between two daemons, in bytes.
const HEAD_BYTES: f64 = 600.0;

/// Moving averages of one route.
#[derive(Clone, Copy, Debug)]
struct RouteAverages {
    /// Work time at a target of normal speed, in microseconds.
    work_us: f64,
    /// Size of a request and its response without heads, in bytes.
    bytes: f64,
}

/// Moving averages of all routes that this entry served.
#[derive(Debug, Default)]
pub(crate) struct RouteStats {
    routes: HashMap<String, RouteAverages>,
}

impl RouteStats {
    /// Records an answered call: its work time at the normal speed of its target in microseconds,
    /// and its size in bytes without heads.
    pub(crate) fn record(&mut self, route: &str, work_us: u32, bytes: u64) {
        let newest = RouteAverages { work_us: f64::from(work_us), bytes: bytes as f64 };
        if let Some(known) = self.routes.get_mut(route) {
            known.work_us += NEWEST_WEIGHT * (newest.work_us - known.work_us);
            known.bytes += NEWEST_WEIGHT * (newest.bytes - known.bytes);
        } else if self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.to_owned(), newest);
        }
    }

    /// Returns the average work time of a call's route, in microseconds.
    ///
    /// The work time of an unknown route, as after a restart, is derived from its objective.
    pub(crate) fn work_us(&self, options: &CallOptions) -> f64 {
        self.routes
            .get(&options.kind)
            .map_or_else(|| default_work_us(options), |known| known.work_us)
    }

    /// Returns whether calls of a route were answered before.
    pub(crate) fn knows(&self, route: &str) -> bool {
        self.routes.contains_key(route)
    }

    /// Returns the estimate of a call by which its target is chosen.
    ///
    /// `remaining` is the time left until its objective, `crossing_cost` the cost of sending 1000
    /// bytes between data centres, as a fraction of one call's benefit.
    pub(crate) fn estimate(
        &self,
        options: &CallOptions,
        remaining: MicroTime,
        crossing_cost: f64,
    ) -> CallEstimate {
        self.estimate_with_body(options, remaining, crossing_cost, 0)
    }

    /// Returns the same estimate as [`Self::estimate`], with at least the bytes of the call's own
    /// body.
    pub(crate) fn estimate_with_body(
        &self,
        options: &CallOptions,
        remaining: MicroTime,
        crossing_cost: f64,
        body_len: usize,
    ) -> CallEstimate {
        let known = self.routes.get(&options.kind);
        let bytes = known.map_or(0.0, |known| known.bytes).max(body_len as f64) + HEAD_BYTES;
        CallEstimate {
            work_us: known.map_or_else(|| default_work_us(options), |known| known.work_us),
            objective_us: remaining.0 as f64,
            crossing_cost: crossing_cost * bytes / 1_000.0,
        }
    }
}

/// Returns the assumed work time of a call whose route is unknown, in microseconds.
fn default_work_us(options: &CallOptions) -> f64 {
    f64::from(options.objective_ms) * 1_000.0 * DEFAULT_WORK_FRACTION
}
