//! Refusals of calls to the host's own target whose runs would make calls that can't be served.

use std::rc::Rc;

use slog::info;

use super::GuardDuty;
use crate::base::clock::MicroTime;
use crate::base::ids::ServiceName;
use crate::base::wire::{AnswerHead, CallHead, RefusalReason};
use crate::call::guard::served_call::ServedCall;
use crate::decide::downstream::StartDecision;
use crate::duty::events::NestedEnd;

/// A run at the host's own target; ends when dropped.
pub(super) struct OwnRun {
    duty: Rc<GuardDuty>,
    route: String,
    /// Whether the run failed; `None` if it was cancelled.
    failed: Option<bool>,
}

impl OwnRun {
    /// Ends the run; `failed` is `None` if its caller cancelled it.
    pub(super) fn finish(mut self, failed: Option<bool>) {
        self.failed = failed;
    }
}

impl Drop for OwnRun {
    fn drop(&mut self) {
        let now = self.duty.clock.now();
        self.duty.downstream.borrow_mut().end_run(now, &self.route, self.failed);
    }
}

impl GuardDuty {
    /// Handles the end of a call that the host's own target made.
    pub(super) fn handle_nested_end(&self, end: &NestedEnd) {
        let mut downstream = self.downstream.borrow_mut();
        downstream.record_call(self.clock.now(), &end.service, end.answered);
    }

    /// Decides whether a call may start, given the calls that its run would make.
    ///
    /// # Errors
    ///
    /// Returns the answer to a call that is refused; it is never dispatched.
    pub(super) fn check_downstream(
        &self,
        call: &ServedCall,
        head: &CallHead,
    ) -> Result<(), AnswerHead> {
        if !self.refuse_failing_runs || !self.is_own_service(&head.service) {
            return Ok(());
        }
        let now = self.clock.now();
        let decision = self.downstream.borrow_mut().request_start(
            now,
            &head.route,
            head.priority,
            call.nested,
        );
        let StartDecision::Refuse { retry_after } = decision else { return Ok(()) };
        self.metrics.downstream_refusals.inc();
        self.prevent_dispatch(call);
        let retry_after_ms = retry_after.ceil_millis() as u32;
        Err(self.refusal(call, RefusalReason::Downstream, retry_after_ms))
    }

    /// Records that a call runs at the host's own target until the result is dropped; `None` for
    /// a call of another service.
    pub(super) fn begin_own_run(self: &Rc<Self>, head: &CallHead) -> Option<OwnRun> {
        if !self.is_own_service(&head.service) {
            return None;
        }
        self.downstream.borrow_mut().begin_run(self.clock.now(), &head.route);
        Some(OwnRun { duty: Rc::clone(self), route: head.route.clone(), failed: None })
    }

    /// Logs considerable changes of the share of calls that are refused.
    pub(super) fn log_downstream_changes(&self, now: MicroTime) {
        for change in self.downstream.borrow_mut().take_changes(now) {
            info!(self.logger, "downstream refusals changed"; "service" => %change.service,
                "refused_permille" => (change.share * 1_000.0) as u32,
                "before_permille" => (change.before * 1_000.0) as u32,
                "made" => change.made, "answered" => change.answered);
        }
    }

    pub(crate) fn is_own_service(&self, service: &ServiceName) -> bool {
        self.own_service.as_ref() == Some(service)
    }
}
