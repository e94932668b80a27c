//! An entry's side of requests that end targets.

use http::{Response, StatusCode};
use slog::warn;

use super::EntryDuty;
use crate::base::suspect::{SuspectRecord, SuspectUpdate};
use crate::call::entry::intake::CallerCall;
use crate::call::reply::{self, EntryBody};
use crate::decide::retry::NextStep;

/// Why such a call is turned away.
const REASON: &str = "ends_targets";

impl EntryDuty {
    pub(super) fn learn_suspects(&self, notices: &[SuspectUpdate]) {
        let now = self.clock.now();
        let mut suspects = self.suspects.borrow_mut();
        for notice in notices {
            suspects.learn(now, *notice);
        }
    }

    /// Takes over what a guard knows of a call's request.
    pub(crate) fn learn_suspect(&self, call: &CallerCall, record: SuspectRecord) {
        self.learn_suspects(&[SuspectUpdate { digest: call.digest, record }]);
    }

    /// Returns what is known of a call's request.
    pub(crate) fn standing(&self, call: &CallerCall) -> SuspectRecord {
        self.suspects.borrow().standing(call.digest)
    }

    /// Ends a call whose request reaches no target, if it is one.
    ///
    /// No time to come back is told, since coming back does not help. A call that ran
    /// before it was known is not said not to have run.
    pub(super) fn hold_back(
        &self,
        call: &CallerCall,
        give_up: NextStep,
    ) -> Option<Response<EntryBody>> {
        let record = self.standing(call);
        if !record.is_blamed() {
            return None;
        }
        self.metrics.blamed_calls.inc();
        warn!(self.logger, "held back"; "id" => &*call.id, "digest" => %call.digest,
            "crashes" => record.crashes, "ran" => give_up == NextStep::TellUnknown);
        Some(match give_up {
            NextStep::TellUnknown => reply::unknown(REASON, None),
            _ => reply::not_run_ever(StatusCode::SERVICE_UNAVAILABLE, REASON),
        })
    }
}
