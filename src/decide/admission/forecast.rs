//! Estimates when a slot becomes free, and from it when a refused caller may retry.
//!
//! The estimate adds up single calls: the expected work of each running call and the
//! speed its host had when the call started.

use super::{AdmissionQueue, RunningCall, WaitingCall};
use crate::base::clock::MicroTime;
use crate::decide::rate_limit::MAX_RETRY_AFTER;

/// Remaining time assumed for a call that has already taken its expected time, as a
/// fraction of that time.
const OVERDUE_FRACTION: f64 = 0.2;

/// Lower bound of the retry delay that refused callers get, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 5;

impl AdmissionQueue {
    /// Returns the expected service time of a waiting call.
    pub(super) fn expected_time(&self, call: &WaitingCall) -> MicroTime {
        if call.work_us == 0 {
            return MicroTime(self.service_us as u64);
        }
        MicroTime(self.speed.expected_us(f64::from(call.work_us)) as u64)
    }

    /// Returns the expected remaining time of a running call.
    pub(super) fn remaining_time(&self, call: &RunningCall) -> MicroTime {
        if call.work_us == 0 {
            let remaining = self.service_us - self.now.since(call.started_at).0 as f64;
            return MicroTime(remaining.max(self.service_us * OVERDUE_FRACTION) as u64);
        }
        let total = f64::from(call.work_us) * call.slowness;
        let remaining = total - self.now.since(call.started_at).0 as f64;
        MicroTime(remaining.max(total * OVERDUE_FRACTION) as u64)
    }

    /// Returns the expected time until a call that may start while fewer than `limit` calls
    /// run gets a slot if the calls in `ahead` get theirs first.
    pub(super) fn wait_behind<'a>(
        &self,
        limit: usize,
        ahead: impl Iterator<Item = &'a WaitingCall>,
    ) -> MicroTime {
        let mut free_in: Vec<MicroTime> =
            self.running.values().map(|running| self.remaining_time(running)).collect();
        // After a decrease of the limit, or with nested calls in the reserved slots, more
        // calls run than it allows: the first ones to end free no slot.
        free_in.sort_unstable();
        free_in.drain(..free_in.len().saturating_sub(limit));
        free_in.resize(limit, MicroTime(0));
        for call in ahead {
            let first = minimum(&mut free_in);
            *first = *first + self.expected_time(call);
        }
        *minimum(&mut free_in)
    }

    /// Returns the time after which a refused caller may retry, in milliseconds: when the
    /// current queue has been served, the host's slow period is over, and a cold target
    /// or one with a limited rate may start further calls.
    ///
    /// Without the slow period in this estimate, a caller refused while slots are free
    /// would get the minimum of 5 ms, retry during the same slow period and be refused
    /// again.
    #[must_use]
    pub fn retry_after_ms(&self) -> u32 {
        let queue = self.wait_behind(self.limit(), self.waiting.iter());
        let cold = self.cold_start.wait_behind(self.now, self.waiting.len());
        let rate = self.rate_limit.wait_behind(self.now, self.waiting.len());
        let slow = self.speed.slow_period_left(self.now);
        let wait = queue.max(slow).max(cold).max(rate).ceil_millis();
        wait.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER.ceil_millis()) as u32
    }
}

/// Returns the smallest of `times`, which must not be empty.
fn minimum(times: &mut [MicroTime]) -> &mut MicroTime {
    let mut first = 0;
    for index in 1..times.len() {
        if times[index] < times[first] {
            first = index;
        }
    }
    &mut times[first]
}
