//! One attempt of a call at one target.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use slog::info;
use tokio::time::{Instant, timeout_at};

use crate::base::call_status::{CallStatus, ClaimRow};
use crate::base::clock::MicroTime;
use crate::base::consts::{ANSWER_MARGIN, WORK_MARGIN};
use crate::base::h2io::HeadReader;
use crate::base::ids::{CallId, ServiceName, TargetName};
use crate::base::load_report::LoadReport;
use crate::base::wire::{AnswerHead, CallHead, CallOrigin, RefusalReason};
use crate::call::entry::EntryDuty;
use crate::call::entry::exchange::{self, AnswerFailure, NotSent, SentCall};
use crate::call::entry::intake::CallerCall;
use crate::call::entry::load_watch;
use crate::call::entry::pool::GuardConnection;
use crate::call::entry::revocation::{has_time_left, revoke, revoke_margin, until_due};
use crate::call::guard_body::{AnswerEnd, AnswerLimits, GuardBody};
use crate::call::responses::{self, ResponseBody};
use crate::decide::selection::TargetLocation;

/// Retry delay after an attempt that the entry itself counts as refused, in milliseconds.
const ENTRY_REFUSAL_RETRY_MS: u32 = 100;

/// End of an attempt.
pub(crate) enum AttemptEnd {
    /// The target answered.
    Answered(Response<ResponseBody>),
    /// The call did not run at the target.
    Refused { reason: RefusalReason, retry_after_ms: u32 },
    /// The call may have run at the target.
    Lost(LossCause),
    /// An earlier call claimed the idempotency key; the call did not run.
    Claimed { row: Box<ClaimRow>, version: u64 },
}

/// Why there is no answer to a call that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossCause {
    /// No answer came, or not in time.
    NoAnswer,
    /// The target sent something that is no answer to the call.
    InvalidAnswer,
}

impl AttemptEnd {
    const LOST: Self = Self::Lost(LossCause::NoAnswer);

    const fn unreachable() -> Self {
        Self::not_run(RefusalReason::Unreachable)
    }

    /// Ends an attempt that the entry itself knows not to run.
    const fn not_run(reason: RefusalReason) -> Self {
        Self::Refused { reason, retry_after_ms: ENTRY_REFUSAL_RETRY_MS }
    }
}

/// A call that counts as outstanding at its target until this is dropped.
struct OutstandingCall {
    duty: Rc<EntryDuty>,
    service: ServiceName,
    target: TargetName,
    started_at: MicroTime,
    /// Time from the start of the attempt to the head of the answer, if there is one.
    latency: Option<MicroTime>,
    failed: bool,
    /// Whether the guard could not be reached.
    unreachable: bool,
}

impl OutstandingCall {
    /// Records that the guard could not be reached.
    fn mark_unreachable(&mut self, location: &TargetLocation) {
        self.unreachable = true;
        self.duty.report_unreachable(&location.host);
    }

    fn update_load(&self, load: LoadReport) {
        self.duty.update_load(&self.service, &self.target, load);
    }
}

impl Drop for OutstandingCall {
    fn drop(&mut self) {
        let now = self.duty.clock.now();
        let mut registry = self.duty.registry.borrow_mut();
        if let Some(record) = registry.find(&self.service, &self.target) {
            let previous = record.ejected_until;
            record.finish(now, self.latency, self.failed);
            if self.unreachable {
                record.eject(now);
            }
            if record.ejected_until > previous {
                info!(self.duty.logger, "target ejected"; "target" => %self.target,
                    "failures" => record.failures, "reached" => !self.unreachable,
                    "for_us" => record.ejected_until.since(now).0);
            }
        }
    }
}

/// Attempts a call at a target.
///
/// `last_target` is true if no other target is tried afterwards.
pub(crate) async fn run(
    duty: &Rc<EntryDuty>,
    call: &CallerCall,
    target: &TargetName,
    location: &TargetLocation,
    last_target: bool,
) -> AttemptEnd {
    let now = duty.clock.now();
    let mut outstanding = OutstandingCall {
        duty: Rc::clone(duty),
        service: call.service.clone(),
        target: target.clone(),
        started_at: now,
        latency: None,
        failed: false,
        unreachable: false,
    };
    if !has_time_left(duty, call, now) {
        return AttemptEnd::not_run(RefusalReason::TooLate);
    }
    let remaining = call.deadline.since(now).duration();
    let deadline = Instant::now() + remaining;
    let Some(connection) = connect(duty, location, deadline).await else {
        outstanding.mark_unreachable(location);
        return AttemptEnd::unreachable();
    };
    // Before the first load report the offset of the guard's clock is unknown, so the guard
    // could not tell how long the call was in transit.
    let mut guard_time = duty.guard_time(&call.service, target);
    if guard_time.is_none() {
        if !load_watch::fetch_first_report(duty, &call.service, target, location).await {
            outstanding.mark_unreachable(location);
            return AttemptEnd::unreachable();
        }
        guard_time = duty.guard_time(&call.service, target);
    }
    load_watch::watch_target(duty, &call.service, target, location);
    if !duty.may_send(call) {
        return AttemptEnd::not_run(RefusalReason::Unconfirmed);
    }
    let now = duty.clock.now();
    if !has_time_left(duty, call, now) {
        return AttemptEnd::not_run(RefusalReason::TooLate);
    }
    let remaining = call.deadline.since(now).duration();
    let revoke_at = Instant::now() + remaining.saturating_sub(revoke_margin(call));
    let head = make_head(duty, call, target, location, guard_time, remaining, last_target);
    let GuardConnection { sender, number } = connection;
    let sending = exchange::send(sender, &head, &call.body);
    let pending = match until_due(duty, call, revoke_at, sending).await {
        Ok(Ok(SentCall::Complete(pending))) => pending,
        Ok(Ok(SentCall::Refused(answer, reader))) => {
            record_answer(duty, call, &answer);
            return end_attempt(outstanding, call, head.call, deadline, &answer, reader);
        }
        Ok(Err(NotSent)) => {
            outstanding.failed = true;
            duty.report_unreachable(&location.host);
            return AttemptEnd::unreachable();
        }
        Err(reason) => {
            // The guard lacks the end of the call; the revocation shows whether it responds.
            outstanding.failed = revoke(duty, call, location, &head, number).await.is_none();
            return AttemptEnd::not_run(reason);
        }
    };
    let mut answer_future = Box::pin(pending.read());
    let answer = match until_due(duty, call, revoke_at, &mut answer_future).await {
        Ok(answer) => answer,
        Err(reason) => {
            let status = revoke(duty, call, location, &head, number).await;
            if status == Some(CallStatus::NotRun) {
                return AttemptEnd::not_run(reason);
            }
            let Ok(answer) = timeout_at(deadline, &mut answer_future).await else {
                outstanding.failed = status.is_none();
                return AttemptEnd::LOST;
            };
            answer
        }
    };
    let failure = match answer {
        Ok((answer, reader)) => {
            record_answer(duty, call, &answer);
            return end_attempt(outstanding, call, head.call, deadline, &answer, reader);
        }
        Err(failure) => failure,
    };
    // The connection broke, as it does some time after its host has failed.
    outstanding.failed = true;
    duty.report_unreachable(&location.host);
    if failure == AnswerFailure::NotRun {
        return AttemptEnd::unreachable();
    }
    // A guard that is still up knows whether the call was kept from its target. The connection
    // may be about to close, so a new one is opened.
    duty.pool.remove(location.guard, location.incarnation, number);
    if call.options.repeatable && !last_target {
        // Another target is tried, whether or not the call ran: the reply would only delay it.
        return AttemptEnd::LOST;
    }
    if revoke(duty, call, location, &head, number).await == Some(CallStatus::NotRun) {
        return AttemptEnd::not_run(RefusalReason::Revoked);
    }
    AttemptEnd::LOST
}

/// Records what a guard's answer says about the call, apart from its target's load.
fn record_answer(duty: &EntryDuty, call: &CallerCall, answer: &AnswerHead) {
    if let AnswerHead::Answered { status, length, work_us, .. } = answer
        && *status < 400
    {
        let bytes = call.body.len() as u64 + length.unwrap_or_default();
        duty.route_stats.borrow_mut().record(&call.options.kind, *work_us, bytes);
    }
    if let AnswerHead::Answered { nested, .. } | AnswerHead::Refused { nested, .. } = answer {
        duty.record_nested_route(call, *nested);
    }
    if let AnswerHead::Refused { suspect, .. } | AnswerHead::Lost { suspect, .. } = answer {
        duty.merge_suspect(call, *suspect);
    }
    if let AnswerHead::Refused { reason: RefusalReason::Declined, .. } = answer
        && let Some(grant) = &call.grant
    {
        grant.mark_reached_target();
    }
}

/// Returns how long a call may still wait for a slot.
///
/// The call is refused once it would probably miss its latency objective, while another
/// target or a later attempt may still serve it. A call without an objective shorter than
/// its deadline may wait until the deadline. With `nested_first`, a nested call may wait
/// until its deadline less its work, since its run can use a late answer.
fn max_wait(call: &CallerCall, nested_first: bool, work_us: f64, now: MicroTime) -> MicroTime {
    let work = MicroTime((work_us * WORK_MARGIN) as u64);
    if call.nested && nested_first {
        return call.deadline.since(now).since(work);
    }
    if call.options.objective_ms >= call.options.deadline_ms {
        return call.deadline.since(now);
    }
    call.objective().since(now).since(work)
}

fn make_head(
    duty: &EntryDuty,
    call: &CallerCall,
    target: &TargetName,
    location: &TargetLocation,
    sent: Option<MicroTime>,
    remaining: Duration,
    last_target: bool,
) -> CallHead {
    let work_us = duty.route_stats.borrow().work_us(&call.options);
    let max_wait = max_wait(call, duty.nested_first, work_us, duty.clock.now());
    let before_stop = duty.time_to_start(call).map_or(max_wait, MicroTime::from);
    let max_wait_ms = max_wait.min(before_stop).ceil_millis() as u32;
    CallHead {
        call: CallId::random(),
        digest: call.digest,
        suspect: duty.suspect_record(call),
        incarnation: location.incarnation,
        service: call.service.clone(),
        target: target.clone(),
        account: call.account.clone(),
        share: call.share,
        priority: call.options.priority,
        remaining_ms: remaining.as_millis() as u32,
        sent,
        max_wait_ms,
        work_us: work_us as u32,
        repeatable: call.options.repeatable,
        last: last_target,
        route: call.options.kind.clone(),
        origin: CallOrigin {
            service: duty.own_service.clone(),
            busy: call.caller_busy,
            nested: call.nested,
        },
        account_usage: duty.account_usage(&call.account),
        body_follows: exchange::body_follows(&call.body),
        stated_rate: duty.rate_stated_earlier(&call.service, target, location.incarnation),
        claim: call.claim.clone(),
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        body_len: call.body.len() as u32,
    }
}

async fn connect(
    duty: &EntryDuty,
    location: &TargetLocation,
    deadline: Instant,
) -> Option<GuardConnection> {
    let connecting = duty.pool.connect(location.guard, location.incarnation);
    timeout_at(deadline, connecting).await.ok()?
}

/// Logs and counts an answer that its caller did not get as a whole.
fn record_answer_end(duty: &EntryDuty, request_id: &str, end: AnswerEnd) {
    if !matches!(end, AnswerEnd::Complete | AnswerEnd::Unused) {
        duty.metrics.memory.cut_answers.with_label_values(&[end.label()]).inc();
        info!(duty.logger, "answer cut off"; "id" => request_id, "reason" => end.label());
    }
}

/// Converts a guard's answer to the end of the attempt.
fn end_attempt(
    mut outstanding: OutstandingCall,
    call: &CallerCall,
    attempt: CallId,
    deadline: Instant,
    answer: &AnswerHead,
    reader: HeadReader,
) -> AttemptEnd {
    let latency = outstanding.duty.clock.now().since(outstanding.started_at);
    match answer {
        AnswerHead::Answered { call: echoed, .. }
        | AnswerHead::Refused { call: echoed, .. }
        | AnswerHead::Lost { call: echoed, .. }
        | AnswerHead::Claimed { call: echoed, .. }
            if *echoed != attempt =>
        {
            outstanding.failed = true;
            AttemptEnd::LOST
        }
        AnswerHead::SendBody { .. } => {
            // `exchange::send` has answered the request for the body.
            outstanding.failed = true;
            AttemptEnd::LOST
        }
        AnswerHead::Answered { status, length, load, .. } => {
            outstanding.update_load(*load);
            outstanding.failed = *status >= 500;
            outstanding.latency = Some(latency);
            let (buffered, stream) = reader.into_parts();
            let target = outstanding.target.to_string();
            let length = *length;
            let limits = AnswerLimits {
                ends_at: deadline + ANSWER_MARGIN,
                room: Rc::clone(&outstanding.duty.answer_room),
            };
            let (request_id, duty) = (Arc::clone(&call.request_id), Rc::clone(&outstanding.duty));
            let on_end = Box::new(move |end| {
                drop(outstanding);
                record_answer_end(&duty, &request_id, end);
            });
            let body = GuardBody::open(buffered, stream, length, limits, on_end);
            AttemptEnd::Answered(responses::answered(answer, &target, body))
        }
        AnswerHead::Refused { reason, retry_after_ms, load, .. } => {
            outstanding.update_load(*load);
            let unavailable = matches!(reason, RefusalReason::Unreachable | RefusalReason::Absent);
            outstanding.failed = unavailable || *reason == RefusalReason::Leaving;
            AttemptEnd::Refused { reason: *reason, retry_after_ms: *retry_after_ms }
        }
        AnswerHead::Lost { load, invalid_answer, .. } => {
            outstanding.update_load(*load);
            outstanding.failed = true;
            let is_invalid = *invalid_answer;
            AttemptEnd::Lost(if is_invalid {
                LossCause::InvalidAnswer
            } else {
                LossCause::NoAnswer
            })
        }
        AnswerHead::Claimed { row, version, .. } => {
            AttemptEnd::Claimed { row: row.clone(), version: *version }
        }
    }
}
