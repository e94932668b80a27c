//! Evidence on whether only targets call one route.

use serde::Serialize;

use super::{RouteCall, RouteFinding, ServiceShares};
use crate::base::clock::MicroTime;
use crate::base::ids::ServiceName;

/// Logarithm of the likelihood ratio from which on a route counts as nested: calls of clients
/// would all come from busy hosts of one service once in ten thousand times.
const NESTED_SCORE: f64 = 9.21;

/// Minimum number of calls for that: those of one client may use one entry, so that a few calls
/// from a service with few hosts say less than its share of the hosts.
const MIN_CALLS: f64 = 12.0;

/// Time for which a route is not nested after a single call that disproves it. A target's call
/// may itself seem to disprove it, since the target may still be running a call that its guard
/// no longer waits for.
const FIRST_DISPROOF: MicroTime = MicroTime::from_millis(5_000);

/// Maximum of that time after further such calls, each of which doubles it.
const MAX_DISPROOF: MicroTime = MicroTime::from_millis(640_000);

/// Calls that disprove a route within this time count as one: a run makes its calls within that.
const SAME_DISPROOF: MicroTime = MicroTime::from_millis(1_000);

/// Evidence on one route.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct RouteEvidence {
    /// Service from whose hosts the latest calls came.
    service: Option<ServiceName>,
    /// Sum of the logarithms of the likelihood ratios of these calls.
    score: f64,
    /// Whether an entry reported another guard's finding that the route is nested.
    reported: bool,
    /// Finding at the latest call.
    #[serde(skip)]
    found: bool,
    last_call: MicroTime,
    /// Time of the last call that disproved that the route is nested.
    disproved_at: MicroTime,
    /// Time from then for which the route is not nested; zero if nothing disproved it.
    disproof: MicroTime,
}

impl RouteEvidence {
    pub(super) const fn last_call(&self) -> MicroTime {
        self.last_call
    }

    pub(super) fn is_nested(&self, now: MicroTime) -> bool {
        !self.is_disproved(now) && (self.reported || self.score >= NESTED_SCORE)
    }

    fn is_disproved(&self, now: MicroTime) -> bool {
        self.disproof > MicroTime(0) && now < self.disproved_at + self.disproof
    }

    /// Records a call; returns what follows.
    pub(super) fn record(
        &mut self,
        now: MicroTime,
        call: &RouteCall<'_>,
        shares: &ServiceShares,
    ) -> RouteFinding {
        self.last_call = now;
        self.weigh(now, call, shares);
        let nested = self.is_nested(now);
        let before = std::mem::replace(&mut self.found, nested);
        RouteFinding { nested, changed: nested != before }
    }

    fn weigh(&mut self, now: MicroTime, call: &RouteCall<'_>, shares: &ServiceShares) {
        let is_of_target = call.caller_service.is_some() && call.caller_busy;
        if !is_of_target || self.service.is_some() && self.service.as_ref() != call.caller_service {
            self.disprove(now);
        }
        self.service = call.caller_service.cloned();
        if !is_of_target {
            return;
        }
        let share = call.caller_service.map_or(1.0, |service| shares.share(service));
        self.score = (self.score - share.ln().max(-NESTED_SCORE / MIN_CALLS)).min(NESTED_SCORE);
        self.reported |= call.nested && !self.is_disproved(now);
    }

    fn disprove(&mut self, now: MicroTime) {
        self.score = 0.0;
        self.reported = false;
        let since = now.since(self.disproved_at);
        let is_known = self.disproof > MicroTime(0);
        if is_known && since < SAME_DISPROOF {
            return;
        }
        let doubled = self.disproof + self.disproof;
        let is_recent = is_known && since <= doubled;
        self.disproof = if is_recent { doubled.min(MAX_DISPROOF) } else { FIRST_DISPROOF };
        self.disproved_at = now;
    }
}
