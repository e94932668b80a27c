//! Order of the waiting calls: which one starts next, and which one a full queue drops.

use super::{AdmissionAction, AdmissionQueue, WaitingCall};
use crate::base::clock::MicroTime;
use crate::base::wire::RefusalReason;

/// Time for which the target counts as overloaded after a call has waited until its queue
/// deadline: a few times as long as calls wait.
const OVERLOAD_DURATION: MicroTime = MicroTime::from_millis(1_000);

impl AdmissionQueue {
    /// Refuses the call that goes last, which may be the newest arrival.
    pub(super) fn evict_last(&mut self, out: &mut Vec<AdmissionAction>) {
        let newest = self.waiting.len() - 1;
        let mut last = newest;
        for index in 0..newest {
            if self.outlasts(&self.waiting[last], &self.waiting[index]) {
                last = index;
            }
        }
        let reason = if last == newest { RefusalReason::Full } else { RefusalReason::Outranked };
        let call = self.waiting.swap_remove(last);
        out.push(self.refuse(&call, reason));
    }

    /// Returns whether a full queue evicts `right` before `left`.
    ///
    /// Among calls that are equally urgent, those of accounts far above their share are evicted
    /// first whatever their worth, so that no account fills the queue before others arrive.
    fn outlasts(&self, left: &WaitingCall, right: &WaitingCall) -> bool {
        let overuses = |call: &WaitingCall| self.accounts.is_overusing(self.now, &call.account);
        if left.priority.urgent == right.priority.urgent && overuses(left) != overuses(right) {
            return overuses(right);
        }
        self.goes_before(left, right)
    }

    /// Returns whether `right` goes behind `left` because of its account alone.
    pub(super) fn goes_before_by_account(&self, left: &WaitingCall, right: &WaitingCall) -> bool {
        left.priority == right.priority && self.usage_level(left) < self.usage_level(right)
    }

    /// Returns whether `left` starts before `right`.
    pub(super) fn goes_before(&self, left: &WaitingCall, right: &WaitingCall) -> bool {
        if left.priority != right.priority {
            return left.priority > right.priority;
        }
        if left.nested != right.nested {
            return left.nested;
        }
        let (left_level, right_level) = (self.usage_level(left), self.usage_level(right));
        if left_level != right_level {
            return left_level < right_level;
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

    /// Returns how far the account of a call is above its share, in coarse steps.
    fn usage_level(&self, call: &WaitingCall) -> i32 {
        self.accounts.level(self.now, &call.account)
    }
}
