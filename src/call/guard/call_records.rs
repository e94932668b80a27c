//! Records of the calls at a guard, which keep late copies and revoked calls from running.

use slog::warn;

use super::{GuardDuty, UNAVAILABLE_RETRY_MS};
use crate::base::call_status::CallStatus;
use crate::base::wire::{RefusalReason, RevokeHead};
use crate::call::guard::served_call::ServedCall;
use crate::decide::admission::AdmissionAction;

impl GuardDuty {
    /// Revokes a call that was not dispatched yet; returns the call's status.
    pub(super) fn revoke(&self, head: &RevokeHead) -> CallStatus {
        let status = self.ledger.borrow_mut().revoke(self.clock.now(), head.call, head.sent);
        if status == CallStatus::NotRun {
            let refusal = AdmissionAction::Refuse {
                call: head.call,
                reason: RefusalReason::Revoked,
                retry_after_ms: UNAVAILABLE_RETRY_MS,
            };
            self.execute_actions(vec![refusal]);
        }
        status
    }

    /// Makes sure that a call which was not dispatched never will be.
    pub(super) fn prevent_dispatch(&self, call: &ServedCall) {
        self.waiters.borrow_mut().remove(&call.call_id);
        self.ledger.borrow_mut().revoke(self.clock.now(), call.call_id, call.sent);
    }

    /// Logs and counts the records that were dropped early for lack of memory since the last call.
    pub(super) fn log_forgotten_records(&self) {
        let memory_use = self.ledger.borrow().memory_use();
        let counter = &self.metrics.memory.forgotten_records;
        let forgotten = memory_use.forgotten_early.saturating_sub(counter.get());
        if forgotten > 0 {
            counter.inc_by(forgotten);
            warn!(self.logger, "call records forgotten early"; "forgotten" => forgotten,
                "calls" => memory_use.calls, "limit_bytes" => memory_use.limit_bytes,
                "age_us" => memory_use.forgotten_until.map(|until| self.clock.now().since(until).0));
        }
    }
}
