//! Calls of a target to one service, and the share of starts to refuse because of them.

use std::collections::BTreeMap;

use super::window::{WINDOW, WindowSum};
use crate::base::clock::MicroTime;
use crate::base::wire::CallPriority;

/// Multiple of the starts whose calls were answered that may start: above 1, so that a service
/// that has room again is noticed, and little above, since calls beyond its capacity fail runs.
const START_FACTOR: f64 = 1.1;

/// Time without an unanswered call after which the start factor doubles.
const DOUBLING_TIME: MicroTime = MicroTime::from_millis(400);

/// Number of starts without an unanswered call after which the start factor doubles at the
/// earliest: at a few starts a second, time alone says little.
const STARTS_PER_DOUBLING: f64 = 2.0;

/// Maximum number of doublings of the start factor.
const MAX_DOUBLINGS: f64 = 8.0;

/// Maximum refused share as a multiple of the share of unanswered calls.
///
/// Calls that fail whatever the load would otherwise let the permitted starts shrink to the
/// minimum, since the start factor makes up for few failures only. Some runs of a route may need
/// no call and are refused in vain, so the bound is low.
const REFUSALS_PER_FAILURE: f64 = 1.5;

/// Maximum factor by which this bound raises the permitted share above that of the window, so
/// that a few answered calls don't open a throttled target at once.
const MAX_RISE: f64 = 1.5;

/// Minimum number of calls in the window before any start is refused.
const MIN_CALLS: f64 = 4.0;

/// Permitted share of starts above which nothing counts as refused lately.
const UNTHROTTLED_SHARE: f64 = 0.95;

/// Refused share below which no start is refused.
const MIN_REFUSED_SHARE: f64 = 0.02;

/// Minimum rate of permitted starts by which retry delays are spread, in starts per second.
const MIN_RETURNS_PER_S: f64 = 2.0;

/// Retry delay after which the delays of further callers begin again at the shortest.
const MAX_RETRY_DELAY: MicroTime = MicroTime::from_millis(2_000);

/// Minimum retry delay.
const MIN_RETRY_DELAY: MicroTime = MicroTime::from_millis(20);

/// Starts of one priority, each weighted by the calls that it needs.
#[derive(Clone, Debug, Default)]
struct StartClass {
    requested: WindowSum,
    permitted: WindowSum,
    /// Fractions of refusals that are due; a start is refused when they reach one.
    due: f64,
    /// Time at which the last refused caller was told to return.
    last_return: MicroTime,
}

/// Calls of a target to one service.
#[derive(Clone, Debug, Default)]
pub(super) struct CalledService {
    made: WindowSum,
    answered: WindowSum,
    /// Starts that are never refused, weighted by the calls that they need.
    exempt: WindowSum,
    classes: BTreeMap<CallPriority, StartClass>,
    /// Time of the last call that was not answered.
    failed_at: Option<MicroTime>,
    /// Number of permitted starts since then.
    starts_since_failure: f64,
    /// Time of the last event.
    pub(super) used_at: MicroTime,
    /// Refused share that was last reported, and when.
    pub(super) reported: (f64, MicroTime),
}

impl CalledService {
    /// Records the end of a call.
    pub(super) fn record(&mut self, now: MicroTime, answered: bool) {
        self.used_at = now;
        self.made.add(now, 1.0);
        if answered {
            self.answered.add(now, 1.0);
        } else {
            self.failed_at = Some(now);
            self.starts_since_failure = 0.0;
        }
    }

    /// Returns the numbers of calls made and answered in the window.
    pub(super) fn calls(&self, now: MicroTime) -> (f64, f64) {
        (self.made.total(now), self.answered.total(now))
    }

    /// Returns the sums over all starts in the window: requested and permitted.
    fn starts(&self, now: MicroTime) -> (f64, f64) {
        let exempt = self.exempt.total(now);
        self.classes.values().fold((exempt, exempt), |(requested, permitted), class| {
            (requested + class.requested.total(now), permitted + class.permitted.total(now))
        })
    }

    /// Returns the share of all starts that should be refused.
    pub(super) fn refused_share(&self, now: MicroTime) -> f64 {
        let Some(failed_at) = self.failed_at else { return 0.0 };
        let (requested, permitted) = self.starts(now);
        let permitted_share = if requested > 0.0 { permitted / requested } else { 1.0 };
        let (made, answered) = self.calls(now);
        if made < MIN_CALLS && permitted_share > UNTHROTTLED_SHARE {
            return 0.0;
        }
        let answered_share = (answered + 1.0) / (made + 1.0);
        let quiet = now.since(failed_at).0 as f64 / DOUBLING_TIME.0 as f64;
        let doublings =
            quiet.min(self.starts_since_failure / STARTS_PER_DOUBLING).min(MAX_DOUBLINGS);
        let factor = START_FACTOR * doublings.exp2();
        let bound = 1.0 - REFUSALS_PER_FAILURE * (1.0 - answered_share);
        let next = (factor * answered_share * permitted_share)
            .max(bound.min(permitted_share * MAX_RISE))
            .clamp(0.0, 1.0);
        let refused = 1.0 - next;
        if refused < MIN_REFUSED_SHARE { 0.0 } else { refused }
    }

    /// Returns the share of the starts of one priority that should be refused: those of lower
    /// priorities are refused first.
    pub(super) fn refused_share_of(&self, now: MicroTime, priority: CallPriority) -> f64 {
        let share = self.refused_share(now);
        if share <= 0.0 {
            return 0.0;
        }
        let total = share * self.starts(now).0;
        let lower: f64 =
            self.classes.range(..priority).map(|(_, class)| class.requested.total(now)).sum();
        let own = self.classes.get(&priority).map_or(0.0, |class| class.requested.total(now));
        if own <= 0.0 {
            // The first start of its priority in the window.
            return if total > lower { share } else { 0.0 };
        }
        ((total - lower) / own).clamp(0.0, 1.0)
    }

    /// Returns whether the next start of a priority should be refused if `share` are to be.
    pub(super) fn is_refusal_due(&mut self, priority: CallPriority, share: f64) -> bool {
        let class = self.classes.entry(priority).or_default();
        class.due += share;
        let is_due = class.due >= 1.0;
        if is_due {
            class.due -= 1.0;
        }
        is_due
    }

    /// Counts a start that is never refused.
    pub(super) fn count_exempt(&mut self, now: MicroTime, calls: f64) {
        self.used_at = now;
        self.exempt.add(now, calls);
        self.starts_since_failure += 1.0;
    }

    /// Counts a requested start whose run needs a number of calls.
    pub(super) fn count_start(
        &mut self,
        now: MicroTime,
        priority: CallPriority,
        calls: f64,
        permitted: bool,
    ) {
        self.used_at = now;
        let class = self.classes.entry(priority).or_default();
        class.requested.add(now, calls);
        if permitted {
            class.permitted.add(now, calls);
            self.starts_since_failure += 1.0;
        }
    }

    /// Returns when a refused caller should return: one caller for each start that the window
    /// permits, so that they don't return at once.
    pub(super) fn reserve_return(
        &mut self,
        now: MicroTime,
        priority: CallPriority,
        share: f64,
        calls: f64,
    ) -> MicroTime {
        let class = self.classes.entry(priority).or_default();
        let starts = class.requested.total(now) * (1.0 - share) / calls;
        let per_s = (starts / WINDOW.duration().as_secs_f64()).max(MIN_RETURNS_PER_S);
        let interval = MicroTime((1_000_000.0 / per_s) as u64);
        let mut at = class.last_return.max(now) + interval;
        if at.since(now) > MAX_RETRY_DELAY {
            at = now + interval;
        }
        class.last_return = at;
        at.since(now).max(MIN_RETRY_DELAY)
    }
}
