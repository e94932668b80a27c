//! When a slot will be free, and so when a refused caller may come back.
//!
//! Answers load that is known call by call: each running call's work and the speed
//! that its host had when it began.

use super::{AdmissionQueue, RunningCall, WaitingCall};
use crate::base::clock::MicroTime;

/// Time left to a call that has taken as long as foreseen, as a part of that.
const OVERDUE_PART: f64 = 0.2;

/// Retry times told to callers, in milliseconds.
const RETRY_AFTER_BOUNDS: (u64, u64) = (5, 5_000);

impl AdmissionQueue {
    /// Returns the time that a waiting call is expected to take once it starts.
    pub(super) fn expected_time(&self, call: &WaitingCall) -> MicroTime {
        if call.work_us == 0 {
            return MicroTime(self.service_us as u64);
        }
        MicroTime(self.speed.expected_us(f64::from(call.work_us)) as u64)
    }

    /// Returns the time after which a running call is expected to end.
    pub(super) fn expected_end(&self, call: &RunningCall) -> MicroTime {
        if call.work_us == 0 {
            let left = self.service_us - self.now.since(call.since).0 as f64;
            return MicroTime(left.max(self.service_us * OVERDUE_PART) as u64);
        }
        let whole = f64::from(call.work_us) * call.slowness;
        let left = whole - self.now.since(call.since).0 as f64;
        MicroTime(left.max(whole * OVERDUE_PART) as u64)
    }

    /// Returns the time until a call behind some others gets a slot.
    pub(super) fn wait_behind<'a>(
        &self,
        ahead: impl Iterator<Item = &'a WaitingCall>,
    ) -> MicroTime {
        let mut free: Vec<MicroTime> =
            self.running.values().map(|running| self.expected_end(running)).collect();
        // A limit that has just fallen leaves more calls running than may start.
        free.sort_unstable();
        free.drain(..free.len().saturating_sub(self.limit()));
        free.resize(self.limit(), MicroTime(0));
        for call in ahead {
            let first = least(&mut free);
            *first = *first + self.expected_time(call);
        }
        *least(&mut free)
    }

    /// Returns when a refused caller may come back: once the present queue has been
    /// served and the host's slow spell is over.
    ///
    /// Guards a caller that comes back into the spell that it was refused for, and is
    /// refused again: with free slots it was told the least wait, 5 ms.
    #[must_use]
    pub fn retry_after_ms(&self) -> u32 {
        let served = self.wait_behind(self.waiting.iter());
        let room = self.cold.wait_behind(self.now, self.waiting.len());
        let wait = served.max(self.speed.slow_period_left(self.now)).max(room).ceil_millis();
        wait.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1) as u32
    }
}

/// Returns the least of some times; there is at least one.
fn least(times: &mut [MicroTime]) -> &mut MicroTime {
    let mut first = 0;
    for index in 1..times.len() {
        if times[index] < times[first] {
            first = index;
        }
    }
    &mut times[first]
}
