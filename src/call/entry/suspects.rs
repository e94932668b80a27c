//! Crash records at the entry, and the rejection of blamed requests.

use http::{Response, StatusCode};
use slog::warn;

use super::EntryDuty;
use crate::base::suspect::{SuspectRecord, SuspectUpdate};
use crate::call::entry::intake::CallerCall;
use crate::call::responses::{self, ResponseBody};
use crate::decide::retry::RetryDecision;

/// Reason in the response to a call whose request is blamed for crashes.
const BLAMED_REASON: &str = "ends_targets";

impl EntryDuty {
    /// Merges updates of crash records into this entry's records.
    pub(super) fn merge_suspects(&self, updates: &[SuspectUpdate]) {
        let now = self.clock.now();
        let mut suspects = self.suspects.borrow_mut();
        for update in updates {
            suspects.merge(now, *update);
        }
    }

    /// Merges a guard's crash record of a call's request into this entry's records.
    pub(crate) fn merge_suspect(&self, call: &CallerCall, record: SuspectRecord) {
        self.merge_suspects(&[SuspectUpdate { digest: call.digest, record }]);
    }

    /// Returns the crash record of a call's request.
    pub(crate) fn suspect_record(&self, call: &CallerCall) -> SuspectRecord {
        self.suspects.borrow().record(call.digest)
    }

    /// Returns the response to a call whose request is blamed for crashes, or `None` if the
    /// request may run.
    ///
    /// `failure_decision` is what the call would report if it ended now: the response doesn't
    /// claim that the call did not run if an attempt may have run before the request was blamed.
    /// It has no retry delay, since a retry would be rejected too.
    pub(super) fn reject_blamed(
        &self,
        call: &CallerCall,
        failure_decision: RetryDecision,
    ) -> Option<Response<ResponseBody>> {
        let record = self.suspect_record(call);
        if !record.is_blamed() {
            return None;
        }
        self.metrics.blamed_calls.inc();
        warn!(self.logger, "blamed request rejected"; "id" => &*call.request_id,
            "digest" => %call.digest,
            "crashes" => record.crashes, "ran" => failure_decision == RetryDecision::ReportUnknown);
        Some(match failure_decision {
            RetryDecision::ReportUnknown => responses::unknown(BLAMED_REASON, None),
            _ => responses::not_run_permanently(StatusCode::SERVICE_UNAVAILABLE, BLAMED_REASON),
        })
    }
}
