//! Which of the waiting calls starts first, and which is refused for lack of room.

use super::{AdmissionAction, AdmissionQueue, RunningCall, WaitingCall};
use crate::base::clock::MicroTime;
use crate::base::wire::RefusalReason;

/// Time after a call waited in vain for which the target counts as overloaded:
/// a few times as long as calls wait.
const OVERLOAD_LASTS: MicroTime = MicroTime::from_millis(1_000);

impl AdmissionQueue {
    /// Refuses the last in the queue, which may be the newcomer.
    pub(super) fn evict(&mut self, out: &mut Vec<AdmissionAction>) {
        let newcomer = self.waiting.len() - 1;
        let mut last = newcomer;
        for index in 0..newcomer {
            if self.goes_before(&self.waiting[last], &self.waiting[index]) {
                last = index;
            }
        }
        let reason = if last == newcomer { RefusalReason::Full } else { RefusalReason::Outranked };
        let call = self.waiting.swap_remove(last).call;
        out.push(self.refuse(call, reason));
    }

    pub(super) fn goes_before(&self, left: &WaitingCall, right: &WaitingCall) -> bool {
        if left.priority != right.priority {
            return left.priority > right.priority;
        }
        let (left_use, right_use) = (self.use_of(left), self.use_of(right));
        if left.account != right.account && left_use != right_use {
            return left_use < right_use;
        }
        if self.is_overloaded() {
            return left.deadline > right.deadline;
        }
        left.deadline < right.deadline
    }

    /// Tells whether calls waited in vain of late.
    ///
    /// Then not all can be in time, and those that waited longest would be the
    /// latest: of calls alike the newest goes first, with all of its time left.
    fn is_overloaded(&self) -> bool {
        self.in_vain.is_some_and(|in_vain| self.now.since(in_vain) < OVERLOAD_LASTS)
    }

    /// Returns the calls an account runs here, per thousand shares.
    fn use_of(&self, call: &WaitingCall) -> usize {
        let same = |running: &&RunningCall| running.account == call.account;
        let own = self.running.values().filter(same).count();
        own * 1_000 / usize::from(call.share.max(1))
    }
}
