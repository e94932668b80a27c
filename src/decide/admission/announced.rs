//! Calls whose body is announced: whether one would be refused on arrival.

use super::{AdmissionAction, AdmissionEvent, AdmissionQueue, WaitingCall};
use crate::base::clock::MicroTime;
use crate::base::wire::RefusalReason;

impl AdmissionQueue {
    /// Returns the reason and the retry delay in milliseconds with which the queue would refuse
    /// a call that arrived now, or `None` if the call would start or wait.
    ///
    /// The arrival is played on a copy, so that it takes every rule into account and leaves the
    /// queue as it is: the call takes no slot and evicts no other while its body is sent. Of the
    /// accounts only those that compete now are copied, since there may be thousands.
    pub fn check_arrival(
        &mut self,
        now: MicroTime,
        call: &WaitingCall,
    ) -> Option<(RefusalReason, u32)> {
        let accounts = std::mem::take(&mut self.accounts);
        let mut copy = self.clone();
        let running = self.running.values().map(|running| &running.account);
        let competing = self.waiting.iter().map(|waiting| &waiting.account).chain(running);
        copy.accounts = accounts.copy_of(competing.chain([&call.account]));
        self.accounts = accounts;
        let mut actions = Vec::new();
        copy.step(now, AdmissionEvent::Arrive(call.clone()), &mut actions);
        actions.into_iter().find_map(|action| match action {
            AdmissionAction::Refuse { call: refused, reason, retry_after_ms }
                if refused == call.call =>
            {
                Some((reason, retry_after_ms))
            }
            _ => None,
        })
    }
}
