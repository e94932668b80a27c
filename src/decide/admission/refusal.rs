//! Refusals of an admission queue: on arrival, and when the caller should return.

use super::{AdmissionAction, AdmissionQueue, WaitingCall};
use crate::base::clock::MicroTime;
use crate::base::wire::RefusalReason;

/// A call that may still try another target waits only if fewer calls wait than the
/// concurrency limit divided by this number.
const SHORT_QUEUE_DIVISOR: usize = 4;

/// Longest wait for the rate of a target of a call that may still try another one: about the
/// time to go to the other.
const SHORT_RATE_WAIT: MicroTime = MicroTime::from_millis(5);

impl AdmissionQueue {
    /// Returns the reason to refuse a call that can't start on arrival, or `None` if it waits.
    pub(super) fn refusal_on_arrival(&self, call: &WaitingCall) -> Option<RefusalReason> {
        let ahead = self.waiting.iter().filter(|other| !self.goes_before(call, other));
        let ahead_count = ahead.clone().count();
        let cold_wait = self.cold_start.wait_behind(self.now, ahead_count);
        let rate_wait = self.rate_limit.wait_behind(self.now, ahead_count);
        if !call.last_target && cold_wait > MicroTime(0) {
            return Some(RefusalReason::Cold);
        }
        let rate_is_too_late =
            rate_wait > MicroTime(0) && self.now + rate_wait >= call.queue_deadline;
        if rate_is_too_late || !call.last_target && rate_wait > SHORT_RATE_WAIT {
            return Some(RefusalReason::RateLimited);
        }
        if self.now + self.wait_behind(self.limit_for(call), ahead).max(cold_wait)
            >= call.queue_deadline
        {
            return Some(RefusalReason::TooLate);
        }
        // Calls of accounts that use more of their share don't keep this one from waiting.
        let competing =
            self.waiting.iter().filter(|other| !self.goes_before_by_account(call, other));
        let queued = if call.nested { ahead_count } else { competing.count() };
        let is_full = queued >= self.limit() / SHORT_QUEUE_DIVISOR;
        // A short wait for the rate is no sign of a queue that drains slowly.
        (!call.last_target && is_full && rate_wait == MicroTime(0)).then_some(RefusalReason::Full)
    }

    /// Returns the refusal of a call. A caller that has no other target left gets a return time
    /// of its own, so that the callers of a target with a limited rate don't return at once.
    pub(super) fn refuse(&mut self, call: &WaitingCall, reason: RefusalReason) -> AdmissionAction {
        let shared_ms = self.retry_after_ms();
        let retry_after_ms = if call.last_target && !self.closed {
            let own = self.rate_limit.reserve_return(self.now, self.waiting.len());
            shared_ms.max(own.ceil_millis() as u32)
        } else {
            shared_ms
        };
        AdmissionAction::Refuse { call: call.call, reason, retry_after_ms }
    }

    /// Returns whether the cold-start and rate limits permit a call to start now.
    pub(super) fn may_start_now(&self) -> bool {
        self.cold_start.may_start(self.now) && self.rate_limit.may_start(self.now)
    }
}
