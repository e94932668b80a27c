//! Order of the waiting calls: which one starts next, and which one a full queue drops.

use super::{AdmissionAction, AdmissionQueue, RunningCall, WaitingCall};
use crate::base::clock::MicroTime;
use crate::base::wire::RefusalReason;

/// Time for which the target counts as overloaded after a call has waited until its queue
/// deadline: a few times as long as calls wait.
const OVERLOAD_DURATION: MicroTime = MicroTime::from_millis(1_000);

impl AdmissionQueue {
    /// Refuses the last call of the queue order, which may be the newest arrival.
    pub(super) fn evict_last(&mut self, out: &mut Vec<AdmissionAction>) {
        let newest = self.waiting.len() - 1;
        let mut last = newest;
        for index in 0..newest {
            if self.goes_before(&self.waiting[last], &self.waiting[index]) {
                last = index;
            }
        }
        let reason = if last == newest { RefusalReason::Full } else { RefusalReason::Outranked };
        let call = self.waiting.swap_remove(last);
        out.push(self.refuse(&call, reason));
    }

    /// Returns whether `left` starts before `right`.
    pub(super) fn goes_before(&self, left: &WaitingCall, right: &WaitingCall) -> bool {
        if left.priority != right.priority {
            return left.priority > right.priority;
        }
        if left.nested != right.nested {
            return left.nested;
        }
        let (left_usage, right_usage) = (self.share_usage(left), self.share_usage(right));
        if left.account != right.account && left_usage != right_usage {
            return left_usage < right_usage;
        }
        if self.is_overloaded() {
            return left.deadline > right.deadline;
        }
        left.deadline < right.deadline
    }

    /// Returns whether a call has recently waited until its queue deadline.
    ///
    /// In overload not all calls can be answered in time, and those that have waited
    /// longest would be the latest. Among otherwise equal calls the newest therefore goes
    /// first, since it has most of its time left.
    fn is_overloaded(&self) -> bool {
        self.last_expiry.is_some_and(|expiry| self.now.since(expiry) < OVERLOAD_DURATION)
    }

    /// Returns the number of calls the account is running here, per thousand shares.
    fn share_usage(&self, call: &WaitingCall) -> usize {
        let is_of_account = |running: &&RunningCall| running.account == call.account;
        let running = self.running.values().filter(is_of_account).count();
        running * 1_000 / usize::from(call.share.max(1))
    }
}
