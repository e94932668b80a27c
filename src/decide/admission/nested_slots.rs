//! Slots reserved for nested calls, the calls that targets make for their runs.
//!
//! The run that made a nested call holds a slot of another target until the call ends, so the
//! call may start beyond the concurrency limit. The number of slots reserved for that is the mean
//! concurrency that the nested calls ask for: the rate at which they arrive, times their duration.

use serde::Serialize;

use super::{AdmissionQueue, SERVICE_WEIGHT, WaitingCall};
use crate::base::clock::MicroTime;
use crate::base::wire::CallPriority;
use crate::decide::selection::decay;

/// Time constant with which arrivals of nested calls are forgotten, in microseconds: some tens
/// of their durations, and less than the duration of most bursts.
const MEMORY_US: f64 = 2_000_000.0;

/// Half-life that corresponds to [`MEMORY_US`].
const HALF_LIFE_US: f64 = MEMORY_US * std::f64::consts::LN_2;

/// Mean concurrency below which no slot is reserved: a few nested calls within seconds find a
/// slot without that.
const MIN_CONCURRENCY: f64 = 0.05;

/// Distance by which the mean concurrency must be below the lower number of slots before a
/// reserved slot is given up, so that the number doesn't alternate.
const RELEASE_MARGIN: f64 = 0.25;

/// Load of a target with nested calls, and the slots reserved for it.
///
/// Arrivals count, not starts: with too few slots most nested calls are refused, and the starts
/// would justify no further slot.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct NestedLoad {
    /// Sum of the expected durations of the nested calls that arrived, with exponential decay.
    offered_us: f64,
    /// Moving average of the duration of nested calls, in microseconds; zero before the first.
    duration_us: f64,
    /// Number of reserved slots.
    reserved: usize,
    /// Time up to which the decay is applied.
    decayed_at: MicroTime,
}

impl NestedLoad {
    /// Returns the mean number of nested calls that would run if all of them got a slot.
    fn concurrency(&self) -> f64 {
        self.offered_us / MEMORY_US
    }

    /// Applies the decay up to `now`, and updates the number of reserved slots of `slots` in all.
    pub(super) fn advance(&mut self, now: MicroTime, slots: usize) {
        if self.offered_us > 0.0 {
            self.offered_us *= decay(now.since(self.decayed_at).0 as f64, HALF_LIFE_US);
        }
        self.decayed_at = self.decayed_at.max(now);
        self.update_reserved(slots);
    }

    /// Records the arrival of a nested call; `expected` is its duration if no nested call has
    /// ended here yet.
    fn record_arrival(&mut self, expected: MicroTime, slots: usize) {
        let known = self.duration_us > 0.0;
        self.offered_us += if known { self.duration_us } else { expected.0 as f64 };
        self.update_reserved(slots);
    }

    /// Records the time that an answered nested call held its slot.
    pub(super) fn record_duration(&mut self, took: MicroTime) {
        let took = took.0 as f64;
        let known = self.duration_us > 0.0;
        let weight = if known { SERVICE_WEIGHT } else { 1.0 };
        self.duration_us += weight * (took - self.duration_us);
    }

    fn update_reserved(&mut self, slots: usize) {
        let concurrency = self.concurrency();
        if concurrency < MIN_CONCURRENCY {
            self.reserved = 0;
            return;
        }
        let highest = (concurrency + RELEASE_MARGIN).ceil() as usize;
        self.reserved = self.reserved.clamp(concurrency.ceil() as usize, highest).min(slots);
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

    pub(super) fn record_nested_arrival(&mut self, call: &WaitingCall) {
        let expected = self.expected_time(call);
        self.nested_load.record_arrival(expected, self.limit.slots());
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
