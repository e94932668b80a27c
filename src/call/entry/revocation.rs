//! Revocation of attempts that were not answered in time.

use std::time::Duration;

use slog::info;
use tokio::time::{Instant, sleep_until};

use super::EntryDuty;
use crate::base::call_status::CallStatus;
use crate::base::clock::MicroTime;
use crate::base::consts::REVOKE_MARGIN;
use crate::base::wire::{CallHead, RefusalReason, RevokeHead};
use crate::call::entry::exchange;
use crate::call::entry::intake::CallerCall;
use crate::decide::selection::TargetLocation;

/// Returns the time before the deadline at which an unanswered attempt of a call is revoked.
pub(super) fn revoke_margin(call: &CallerCall) -> Duration {
    REVOKE_MARGIN.min(call.deadline.since(call.arrived_at).duration() / 4)
}

/// Returns whether an attempt of a call may start: later, its revocation could not be confirmed
/// before the deadline, and the call would be reported as unknown, or it would not end before a
/// planned stop.
pub(super) fn has_time_left(duty: &EntryDuty, call: &CallerCall, now: MicroTime) -> bool {
    let ends_before_stop = duty.time_to_start(call).is_none_or(|time| !time.is_zero());
    ends_before_stop && call.deadline.since(now).duration() > revoke_margin(call)
}

/// Performs a step of an attempt; the error is the reason to revoke the attempt, if the step does
/// not end in time.
pub(super) async fn until_due<T>(
    duty: &EntryDuty,
    call: &CallerCall,
    revoke_at: Instant,
    step: impl Future<Output = T>,
) -> Result<T, RefusalReason> {
    tokio::select! {
        biased;
        result = step => Ok(result),
        () = sleep_until(revoke_at) => Err(RefusalReason::Revoked),
        () = duty.wait_for_latest_start(call) => Err(RefusalReason::Leaving),
    }
}

/// Asks a guard to ensure that an attempt never runs; returns the attempt's status, or `None` if
/// the guard does not reply in time. `connection` is the number of the attempt's connection.
pub(super) async fn revoke(
    duty: &EntryDuty,
    call: &CallerCall,
    location: &TargetLocation,
    head: &CallHead,
    connection: u64,
) -> Option<CallStatus> {
    let (guard, incarnation) = (location.guard, location.incarnation);
    let revocation = RevokeHead { call: head.call, incarnation, sent: head.sent };
    let status = exchange::revoke(duty, guard, revocation, call.deadline).await;
    if status.is_none() {
        // Neither the call nor the revocation was answered; the connection may be dead while
        // the guard is not.
        duty.pool.remove(guard, incarnation, connection);
        duty.report_unreachable(&location.host);
        info!(duty.logger, "guard not responding"; "id" => &*call.request_id,
            "at" => %location.host);
    }
    status
}
