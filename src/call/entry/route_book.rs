//! What earlier calls of a route took, to choose a target for the next.

use std::collections::HashMap;

use crate::base::clock::MicroTime;
use crate::decide::selection::CallOutlook;
use crate::rules::options::CallOptions;

/// Weight of the newest call in the smoothed figures of its route.
const NEWEST: f64 = 0.1;

/// Routes remembered at most; an operator has some hundreds.
const MAX_ROUTES: usize = 4_096;

/// Usual work of a route that nothing is known of, as a part of its objective:
/// operators leave room for a few times the work.
const UNKNOWN_PART: f64 = 1.0 / 3.0;

/// Bytes of the heads of a request and its answer between two daemons.
const HEAD_BYTES: f64 = 600.0;

/// The figures of one route.
#[derive(Clone, Copy, Debug)]
struct RouteFigures {
    /// Time at a target of usual speed, in microseconds.
    work_us: f64,
    /// Bytes of a request and its answer, without heads.
    bytes: f64,
}

/// The figures of all routes that this entry served.
#[derive(Debug, Default)]
pub(crate) struct RouteBook {
    routes: HashMap<String, RouteFigures>,
}

impl RouteBook {
    /// Notes an answered call: the work that its target did, and its bytes.
    pub(crate) fn note(&mut self, route: &str, work_us: u32, bytes: u64) {
        let newest = RouteFigures { work_us: f64::from(work_us), bytes: bytes as f64 };
        if let Some(known) = self.routes.get_mut(route) {
            known.work_us += NEWEST * (newest.work_us - known.work_us);
            known.bytes += NEWEST * (newest.bytes - known.bytes);
        } else if self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.to_owned(), newest);
        }
    }

    /// Returns the usual time of the work of a call's route, in microseconds.
    ///
    /// That of a route that nothing is known of, as after a restart, is guessed
    /// from its objective.
    pub(crate) fn work_us(&self, options: &CallOptions) -> f64 {
        self.routes.get(&options.kind).map_or_else(|| guess_us(options), |known| known.work_us)
    }

    /// Tells whether calls of a route were answered before.
    pub(crate) fn knows(&self, route: &str) -> bool {
        self.routes.contains_key(route)
    }

    /// Returns what is known of a call before a target is chosen.
    ///
    /// `left` is the time to its objective, `crossing_cost` what a thousand bytes
    /// between data centres cost.
    pub(crate) fn outlook(
        &self,
        options: &CallOptions,
        left: MicroTime,
        crossing_cost: f64,
    ) -> CallOutlook {
        let known = self.routes.get(&options.kind);
        let bytes = known.map_or(0.0, |known| known.bytes) + HEAD_BYTES;
        CallOutlook {
            work_us: known.map_or_else(|| guess_us(options), |known| known.work_us),
            objective_us: left.0 as f64,
            crossing_cost: crossing_cost * bytes / 1_000.0,
        }
    }
}

/// Returns the usual work that is assumed of a call whose route is not known yet,
/// in microseconds.
fn guess_us(options: &CallOptions) -> f64 {
    f64::from(options.objective_ms) * 1_000.0 * UNKNOWN_PART
}
