//! What targets of this host send that is no answer.

use std::fmt::Display;

use slog::warn;

use super::GuardDuty;
use crate::decide::answer_check::AnswerFault;

impl GuardDuty {
    /// Counts and logs an invalid answer of a target, given by its name or its address. The request
    /// id is empty for a health check.
    pub(super) fn record_invalid_answer(
        &self,
        target: &dyn Display,
        request_id: &str,
        fault: AnswerFault,
    ) {
        self.metrics.invalid_answers.with_label_values(&[fault.label()]).inc();
        warn!(self.logger, "invalid answer"; "id" => request_id, "target" => %target,
            "reason" => fault.label());
    }
}
