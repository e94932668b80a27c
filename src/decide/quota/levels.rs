//! Division of one holder's part of a quota between the priorities of an account's requests.

use std::collections::VecDeque;

use serde::Serialize;

use super::demand::{DEMAND_HORIZON, RequestDemand};
use crate::base::clock::MicroTime;
use crate::base::wire::CallPriority;

/// Maximum number of priorities that are told apart; a configuration has a few.
const MAX_LEVELS: usize = 8;

/// Standard deviations of the expected number of more urgent requests that are kept free beyond
/// it, so that urgent requests are rarely refused by chance.
const RESERVE_DEVIATIONS: f64 = 2.0;

/// Maximum fraction of the part that is kept free beyond the expected number: it stays unused
/// in every window of an overload in which it is not asked for.
const MAX_RESERVE: f64 = 0.1;

/// Standard deviations by which the requests of the last second have to exceed the part, so that
/// an account within its quota is not limited by chance.
const EXCESS_DEVIATIONS: f64 = 2.0;

/// Number of steps in which the time up to the latest promise is divided at least. Callers that
/// were all told the latest time would all come back at it.
const APPROACH_STEPS: u64 = 32;

/// Requests of one priority at one holder.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct PriorityLevel {
    priority: CallPriority,
    demand: RequestDemand,
    /// Time at which granted requests leave the window and their number, oldest first.
    #[serde(skip)]
    grants: VecDeque<(MicroTime, f64)>,
    /// Sum of the requests in `grants`.
    granted: f64,
    /// Time up to which freed requests have been promised to refused callers.
    #[serde(skip)]
    promised_until: MicroTime,
}

/// Requests of an account at one holder, by priority.
///
/// Invariants: sorted, the most urgent first; at most [`MAX_LEVELS`].
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(transparent)]
pub(super) struct PriorityLevels {
    levels: Vec<PriorityLevel>,
}

/// Limit on what all priorities below one that is more urgent may use in a window.
struct UrgencyCap {
    /// First of the levels that are limited.
    first: usize,
    /// Number of requests that they may use together.
    limit: f64,
    /// Number of requests that they have used.
    granted: f64,
}

impl PriorityLevels {
    /// Returns the position of a priority, which is added if necessary.
    ///
    /// A priority beyond the maximum number takes the place of one without requests in the
    /// last window, or is treated like the next less urgent one.
    pub(super) fn find(&mut self, priority: CallPriority) -> usize {
        let is_absent = self.levels.iter().all(|level| level.priority != priority);
        if is_absent && self.levels.len() >= MAX_LEVELS {
            let idle = |level: &PriorityLevel| level.grants.is_empty() && level.demand.is_empty();
            if let Some(index) = self.levels.iter().position(idle) {
                self.levels.remove(index);
            }
        }
        let index = self.levels.partition_point(|level| level.priority > priority);
        if is_absent && self.levels.len() < MAX_LEVELS {
            let level = PriorityLevel {
                priority,
                demand: RequestDemand::default(),
                grants: VecDeque::new(),
                granted: 0.0,
                promised_until: MicroTime::default(),
            };
            self.levels.insert(index, level);
        }
        index.min(self.levels.len() - 1)
    }

    /// Drops what has left the window.
    pub(super) fn drop_expired(&mut self, now: MicroTime, span: MicroTime) {
        for level in &mut self.levels {
            level.demand.drop_expired(now, span);
            while let Some((leaves, count)) = level.grants.front().copied() {
                if leaves > now {
                    break;
                }
                level.granted = (level.granted - count).max(0.0);
                level.grants.pop_front();
            }
            if level.grants.is_empty() {
                level.granted = 0.0;
            }
        }
    }

    /// Counts requests that were asked for.
    pub(super) fn record_demand(
        &mut self,
        now: MicroTime,
        span: MicroTime,
        index: usize,
        requests: f64,
    ) {
        self.levels[index].demand.record(now, span, requests);
    }

    /// Counts granted requests, which leave the window at `leaves`.
    pub(super) fn record_grant(&mut self, index: usize, leaves: MicroTime, granted: f64) {
        let level = &mut self.levels[index];
        level.granted += granted;
        match level.grants.back_mut() {
            Some((last, count)) if *last >= leaves => *count += granted,
            _ => level.grants.push_back((leaves, granted)),
        }
    }

    /// Subtracts returned requests that would have left the window at `leaves`.
    pub(super) fn take_back(&mut self, priority: CallPriority, leaves: MicroTime, count: f64) {
        let mut levels = self.levels.iter_mut();
        let Some(level) = levels.find(|level| level.priority == priority) else { return };
        let found = level.grants.binary_search_by_key(&leaves, |(leaves, _)| *leaves);
        if let Ok(index) = found {
            let returned = count.min(level.grants[index].1);
            level.grants[index].1 -= returned;
            level.granted = (level.granted - returned).max(0.0);
        }
    }

    /// Returns the number of requests granted in the window.
    pub(super) fn granted(&self) -> f64 {
        self.levels.iter().map(|level| level.granted).sum()
    }

    /// Returns the priority of a level.
    pub(super) fn priority(&self, index: usize) -> CallPriority {
        self.levels[index].priority
    }

    /// Returns whether more requests were asked for in the last second than `limit` permits, by
    /// more than chance.
    pub(super) fn exceed(&self, now: MicroTime, span: MicroTime, limit: f64) -> bool {
        let recent = self.levels.iter().map(|level| level.demand.recent(now, span));
        let (recent, scale) =
            recent.fold((0.0, 1.0), |(sum, _), (recent, scale)| (sum + recent, scale));
        (recent - EXCESS_DEVIATIONS * recent.sqrt()) * scale > limit
    }

    /// Returns the limits that apply to a level: for each more urgent one, what is left of
    /// `limit` beyond the requests expected from there up.
    fn caps(
        &self,
        now: MicroTime,
        span: MicroTime,
        index: usize,
        limit: f64,
    ) -> impl Iterator<Item = UrgencyCap> {
        let mut expected = 0.0;
        let levels = self.levels[..index].iter().enumerate();
        levels.map(move |(above, level)| {
            expected += level.demand.expected(now, span);
            let reserve = (RESERVE_DEVIATIONS * f64::sqrt(expected)).min(limit * MAX_RESERVE);
            let granted = self.levels[above + 1..].iter().map(|level| level.granted).sum();
            UrgencyCap { first: above + 1, limit: limit - expected - reserve, granted }
        })
    }

    /// Returns the number of requests that a level may use now, apart from the bound on the sum.
    pub(super) fn allowance(
        &self,
        now: MicroTime,
        span: MicroTime,
        index: usize,
        limit: f64,
    ) -> f64 {
        let caps = self.caps(now, span, index, limit);
        caps.map(|cap| cap.limit - cap.granted).fold(f64::INFINITY, f64::min)
    }

    /// Returns the number of requests that a level may use in a window.
    pub(super) fn share(&self, now: MicroTime, span: MicroTime, index: usize, limit: f64) -> f64 {
        self.caps(now, span, index, limit).map(|cap| cap.limit).fold(limit, f64::min)
    }

    /// Returns when a level may use a request again by its limits.
    pub(super) fn next_room(
        &self,
        now: MicroTime,
        span: MicroTime,
        index: usize,
        limit: f64,
    ) -> MicroTime {
        let caps = self.caps(now, span, index, limit);
        caps.map(|cap| self.room_below(now, &cap)).max().unwrap_or(now)
    }

    /// Returns when enough requests have left the window for a limit to permit one more.
    ///
    /// A limit below one request permits none until fewer requests are expected, which shows
    /// within [`DEMAND_HORIZON`].
    fn room_below(&self, now: MicroTime, cap: &UrgencyCap) -> MicroTime {
        if cap.limit < 1.0 {
            return now + DEMAND_HORIZON;
        }
        let limited = &self.levels[cap.first..];
        let mut grants: Vec<_> = limited.iter().flat_map(|level| &level.grants).copied().collect();
        grants.sort_unstable_by_key(|(leaves, _)| *leaves);
        freed_at(now, grants.into_iter(), cap.granted + 1.0 - cap.limit)
    }

    /// Promises a refused caller of a level the next request that is free at `room` or later and
    /// not promised yet; returns the time of it. Requests are freed one per `interval`, and
    /// promised no later than `latest`, which is after `room`:
    /// close to it the intervals shrink, so that the times stay distinct.
    pub(super) fn promise(
        &mut self,
        index: usize,
        room: MicroTime,
        interval: MicroTime,
        latest: MicroTime,
    ) -> MicroTime {
        let promised = &mut self.levels[index].promised_until;
        let last = (*promised).max(room).min(latest);
        *promised = last + interval.min(MicroTime(latest.since(last).0 / APPROACH_STEPS));
        *promised
    }
}

/// Returns when `needed` requests of `grants`, oldest first, have left the window.
pub(super) fn freed_at(
    now: MicroTime,
    grants: impl Iterator<Item = (MicroTime, f64)>,
    needed: f64,
) -> MicroTime {
    let mut freed = 0.0;
    let mut last = now;
    for (leaves, count) in grants {
        if freed >= needed {
            break;
        }
        freed += count;
        last = leaves.max(now);
    }
    last
}
