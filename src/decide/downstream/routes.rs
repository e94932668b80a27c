//! Which routes of a target's runs make calls, and to which services.

use std::collections::BTreeMap;

use super::window::DecayingSum;
use crate::base::clock::MicroTime;
use crate::base::ids::ServiceName;

/// Number of calls and run time with which every route starts, so that a new route and a known
/// one get comparable parts of the calls that end while both run.
const PRIOR_CALLS: f64 = 0.5;

/// Run time of a route before its first run, in microseconds.
const PRIOR_RUN_US: f64 = 100_000.0;

/// Minimum number of calls per run from which on a route's runs count as needing a service.
///
/// Runs of a route that makes no calls get a small part of the calls that end beside them.
const MIN_CALLS_PER_RUN: f64 = 0.1;

/// Share of failed runs from which on the starts of a route are throttled. With fewer, the runs
/// that would have been answered are worth more than the slots that the others hold.
const FAILING_SHARE: f64 = 0.5;

/// Minimum number of ended runs, with decay, for a judgement of that share.
const MIN_ENDED: f64 = 2.0;

/// Maximum number of services whose calls are attributed to one route.
const MAX_SERVICES: usize = 16;

/// Runs of one route at a target, and the calls attributed to them.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteRuns {
    /// Number of runs in progress.
    pub(super) running: usize,
    /// Number of runs that started.
    starts: DecayingSum,
    /// Total time of the runs, in microseconds.
    run_us: DecayingSum,
    run_time_at: MicroTime,
    /// Number of calls attributed to the route's runs, by service.
    calls: BTreeMap<ServiceName, DecayingSum>,
    /// Number of runs that ended with an answer or a failure.
    ended: DecayingSum,
    /// Number of these that failed.
    failed: DecayingSum,
    /// Time of the last start that was permitted.
    pub(super) permitted_at: Option<MicroTime>,
    /// Time of the last event.
    pub(super) used_at: MicroTime,
}

impl RouteRuns {
    /// Adds the time that the runs in progress took since the last event.
    pub(super) fn advance(&mut self, now: MicroTime) {
        let passed_us = now.since(self.run_time_at).0 as f64;
        self.run_us.add(now, passed_us * self.running as f64);
        self.run_time_at = self.run_time_at.max(now);
        self.used_at = self.used_at.max(now);
    }

    /// Counts the start of a run.
    pub(super) fn begin(&mut self, now: MicroTime) {
        self.advance(now);
        self.running += 1;
        self.starts.add(now, 1.0);
    }

    /// Counts the end of a run; `failed` is `None` if nobody waited for its result.
    pub(super) fn end(&mut self, now: MicroTime, failed: Option<bool>) {
        self.advance(now);
        // Zero if the run began while the maximum number of routes was known.
        self.running = self.running.saturating_sub(1);
        let Some(failed) = failed else { return };
        self.ended.add(now, 1.0);
        if failed {
            self.failed.add(now, 1.0);
        }
    }

    /// Returns whether most runs failed lately.
    pub(super) fn fails_mostly(&self, now: MicroTime) -> bool {
        let ended = self.ended.at(now);
        ended >= MIN_ENDED && self.failed.at(now) >= FAILING_SHARE * ended
    }

    /// Returns the rate at which the runs in progress are expected to make calls to a service,
    /// in calls per microsecond.
    pub(super) fn call_rate(&self, now: MicroTime, service: &ServiceName) -> f64 {
        let calls = self.calls.get(service).map_or(0.0, |calls| calls.at(now));
        let per_run_us = (calls + PRIOR_CALLS) / (self.run_us.at(now) + PRIOR_RUN_US);
        self.running as f64 * per_run_us
    }

    /// Attributes a part of a call to the route's runs.
    pub(super) fn attribute(&mut self, now: MicroTime, service: &ServiceName, part: f64) {
        if let Some(calls) = self.calls.get_mut(service) {
            calls.add(now, part);
        } else if self.calls.len() < MAX_SERVICES {
            self.calls.entry(service.clone()).or_default().add(now, part);
        }
    }

    /// Returns the services that the route's runs need, with the number of calls per run.
    pub(super) fn needs(
        &self,
        now: MicroTime,
    ) -> impl Iterator<Item = (&ServiceName, f64)> + use<'_> {
        let starts = self.starts.at(now).max(1.0);
        let per_run = self.calls.iter().map(move |(name, calls)| (name, calls.at(now) / starts));
        per_run.filter(|(_, calls)| *calls >= MIN_CALLS_PER_RUN)
    }
}
