//! Slots reserved for nested calls, the calls that targets make for their runs.
//!
//! The run that made a nested call holds a slot of another target until the call ends, so the
//! call may start beyond the concurrency limit. The number of slots reserved for that is the mean
//! concurrency of the nested calls here: the rate at which they start, times their duration.

use serde::Serialize;

use super::{AdmissionQueue, WaitingCall};
use crate::base::clock::MicroTime;
use crate::base::wire::CallPriority;
use crate::decide::selection::decay;

/// Half-life of the mean concurrency, in microseconds, at a time constant of 2 s: some tens of
/// durations of a nested call, and less than most bursts last.
const HALF_LIFE_US: f64 = 2_000_000.0 * std::f64::consts::LN_2;

/// Mean concurrency below which no slot is reserved: a few nested calls within seconds find a
/// slot without that.
const MIN_CONCURRENCY: f64 = 0.05;

/// Distance by which the mean concurrency must be below the lower number of slots before a
/// reserved slot is given up, so that the number doesn't alternate.
const RELEASE_MARGIN: f64 = 0.25;

/// Concurrency of a target's nested calls, and the slots reserved for them.
///
/// Calls that were refused don't count: callers try again at other targets, so that a shortage
/// would reserve slots for the same call everywhere.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct NestedLoad {
    /// Mean number of running nested calls, with exponential decay.
    concurrency: f64,
    /// Number of reserved slots.
    reserved: usize,
}

impl NestedLoad {
    /// Records that `running` nested calls ran for `elapsed`, and updates the number of reserved
    /// slots of `slots` in all.
    pub(super) fn advance(&mut self, elapsed: MicroTime, running: usize, slots: usize) {
        let kept = decay(elapsed.0 as f64, HALF_LIFE_US);
        self.concurrency = running as f64 + (self.concurrency - running as f64) * kept;
        if self.concurrency < MIN_CONCURRENCY {
            self.reserved = 0;
            return;
        }
        let highest = (self.concurrency + RELEASE_MARGIN).ceil() as usize;
        let lowest = self.concurrency.ceil() as usize;
        self.reserved = self.reserved.clamp(lowest, highest).min(slots);
    }
}

impl AdmissionQueue {
    /// Returns the number of slots reserved for nested calls, beyond the concurrency limit.
    #[must_use]
    pub const fn reserved_slots(&self) -> usize {
        self.nested_load.reserved
    }

    /// Returns the load with nested calls, for operators.
    pub(crate) const fn nested_load(&self) -> &NestedLoad {
        &self.nested_load
    }

    /// Returns the highest priority among the running calls, or `None` if none runs.
    pub(crate) fn highest_priority(&self) -> Option<CallPriority> {
        self.running.values().map(|running| running.priority).max()
    }

    /// Returns the number of calls below which a call may start.
    ///
    /// While a more urgent outer call waits for a slot, no nested call starts beyond the limit:
    /// the outer call has to wait until fewer calls run than the limit.
    pub(super) fn limit_for(&self, call: &WaitingCall) -> usize {
        let limit = self.limit();
        let reserved = self.reserved_slots();
        if !call.nested || reserved == 0 || self.has_more_urgent_outer(call) {
            return limit;
        }
        (limit + reserved).min(self.limit.slots())
    }

    /// Returns whether an outer call of higher priority waits for a slot, and not for the end of
    /// the host's slow period.
    fn has_more_urgent_outer(&self, call: &WaitingCall) -> bool {
        let goes_before = |other: &WaitingCall| !other.nested && other.priority > call.priority;
        self.waiting.iter().any(|other| goes_before(other) && !self.should_wait(other))
    }

    /// Returns whether the concurrency, cold-start and rate limits permit a call to start.
    pub(super) fn has_capacity_for(&self, call: &WaitingCall) -> bool {
        self.running.len() < self.limit_for(call) && self.may_start_now()
    }

    /// Returns whether a call may start now: the limits permit it, and the end of the host's
    /// slow period is not worth waiting for.
    pub(super) fn may_start(&self, call: &WaitingCall) -> bool {
        self.has_capacity_for(call) && !self.should_wait(call)
    }

    /// Returns whether an arriving call is next if the limits permit it to start. Outer calls
    /// that wait for the limit don't hold back a nested call that goes before them.
    pub(super) fn is_next(&self, call: &WaitingCall) -> bool {
        self.waiting.is_empty()
            || call.nested && !self.waiting.iter().any(|other| self.goes_before(other, call))
    }
}
