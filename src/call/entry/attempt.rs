//! One attempt of a call at one target.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use http::{Request, Response};
use slog::info;
use tokio::time::{Instant, timeout, timeout_at};

use crate::base::call_status::{CallStatus, ClaimRow};
use crate::base::clock::MicroTime;
use crate::base::consts::REVOKE_MARGIN;
use crate::base::h2io::{self, HeadReader};
use crate::base::ids::{CallId, DaemonIncarnation, ServiceName, TargetName};
use crate::base::load_report::LoadReport;
use crate::base::wire::{AnswerHead, CallHead, RefusalReason, RevokeHead, RevokeReply};
use crate::call::entry::EntryDuty;
use crate::call::entry::intake::CallerCall;
use crate::call::entry::load_watch;
use crate::call::responses::{self, GuardBody, ResponseBody};
use crate::decide::selection::TargetLocation;

/// Retry delay after an attempt that the entry itself counts as refused, in milliseconds.
const ENTRY_REFUSAL_RETRY_MS: u32 = 100;

/// Maximum wait for a guard's reply to a revocation.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a body that is sent in one write with its head, in bytes.
const MAX_INLINE_BODY: usize = 64 << 10;

/// Time reserved for a call's work, as a multiple of the average of its route: shared hosts take
/// about a quarter longer, and the times of single calls vary by half.
const WORK_MARGIN: f64 = 1.5;

/// End of an attempt.
pub(crate) enum AttemptEnd {
    /// The target answered.
    Answered(Response<ResponseBody>),
    /// The call did not run at the target.
    Refused { reason: RefusalReason, retry_after_ms: u32 },
    /// The call may have run at the target.
    Lost,
    /// An earlier call claimed the idempotency key; the call did not run.
    Claimed { row: Box<ClaimRow>, version: u64 },
}

impl AttemptEnd {
    const fn unreachable() -> Self {
        Self::Refused { reason: RefusalReason::Unreachable, retry_after_ms: ENTRY_REFUSAL_RETRY_MS }
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
    let remaining = call.deadline.since(now).duration();
    if remaining.is_zero() {
        let reason = RefusalReason::TooLate;
        return AttemptEnd::Refused { reason, retry_after_ms: ENTRY_REFUSAL_RETRY_MS };
    }
    let deadline = Instant::now() + remaining;
    let Some(sender) = connect(duty, location, deadline).await else {
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
        let reason = RefusalReason::Unconfirmed;
        return AttemptEnd::Refused { reason, retry_after_ms: ENTRY_REFUSAL_RETRY_MS };
    }
    let remaining = call.deadline.since(duty.clock.now()).duration();
    let head = make_head(duty, call, target, location, guard_time, remaining, last_target);
    let sent = timeout_at(deadline, send(sender, &head, &call.body)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(SendFailure::NotSent)) => {
            outstanding.failed = true;
            return AttemptEnd::unreachable();
        }
        Ok(Err(SendFailure::MaybeSent)) | Err(_) => {
            outstanding.failed = true;
            return AttemptEnd::Lost;
        }
    };
    let mut answer_future = Box::pin(read_answer(response));
    let answer_timeout = remaining.saturating_sub(REVOKE_MARGIN.min(remaining / 4));
    let answer = match timeout(answer_timeout, &mut answer_future).await {
        Ok(answer) => answer,
        Err(_elapsed) => {
            let status =
                revoke(duty, location.guard, location.incarnation, head.call, call.deadline).await;
            if status == Some(CallStatus::NotRun) {
                return AttemptEnd::Refused {
                    reason: RefusalReason::Revoked,
                    retry_after_ms: ENTRY_REFUSAL_RETRY_MS,
                };
            }
            if status.is_none() {
                // Neither the call nor the revocation was answered; the connection may
                // be dead while the guard is not.
                duty.pool.remove(location.guard, location.incarnation);
                duty.report_unreachable(&location.host);
                info!(duty.logger, "guard not responding"; "id" => &*call.request_id,
                    "at" => %location.host);
            }
            let Ok(answer) = timeout_at(deadline, &mut answer_future).await else {
                outstanding.failed = status.is_none();
                return AttemptEnd::Lost;
            };
            answer
        }
    };
    if let Some((answer, reader)) = answer {
        if let AnswerHead::Answered { status, length, work_us, .. } = &answer
            && *status < 400
        {
            let bytes = call.body.len() as u64 + length.unwrap_or_default();
            duty.route_stats.borrow_mut().record(&call.options.kind, *work_us, bytes);
        }
        if let AnswerHead::Answered { nested, .. } | AnswerHead::Refused { nested, .. } = &answer {
            duty.record_nested_route(call, *nested);
        }
        if let AnswerHead::Refused { suspect, .. } | AnswerHead::Lost { suspect, .. } = &answer {
            duty.merge_suspect(call, *suspect);
        }
        return end_attempt(outstanding, head.call, &answer, reader);
    }
    // The connection broke, as it does some time after its host has failed.
    outstanding.failed = true;
    duty.report_unreachable(&location.host);
    AttemptEnd::Lost
}

/// Returns how long a call may still wait for a slot.
///
/// The call is refused once it would probably miss its latency objective, while another
/// target or a later attempt may still serve it. A call without an objective shorter than
/// its deadline may wait until the deadline.
fn max_wait(call: &CallerCall, work_us: f64, now: MicroTime) -> MicroTime {
    if call.options.objective_ms >= call.options.deadline_ms {
        return call.deadline.since(now);
    }
    call.objective().since(now).since(MicroTime((work_us * WORK_MARGIN) as u64))
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
    let max_wait_ms = max_wait(call, work_us, duty.clock.now()).ceil_millis() as u32;
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
        caller_service: duty.own_service.clone(),
        caller_busy: call.caller_busy,
        nested: call.nested,
        account_usage: 0,
        body_follows: false,
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
) -> Option<SendRequest<Bytes>> {
    let connecting = duty.pool.connect(location.guard, location.incarnation);
    timeout_at(deadline, connecting).await.ok()?
}

/// Failure to send a call.
enum SendFailure {
    /// The guard did not receive the whole call, so it can't run it.
    NotSent,
    /// The guard may have received the whole call.
    MaybeSent,
}

/// Sends a call; a guard can run it only once it has received the last byte.
async fn send(
    mut sender: SendRequest<Bytes>,
    head: &CallHead,
    body: &Bytes,
) -> Result<ResponseFuture, SendFailure> {
    let inline = body.len() <= MAX_INLINE_BODY;
    let first_part = if inline { body.as_ref() } else { &[] };
    let framed =
        h2io::encode_frame_with_body(head, first_part).map_err(|_too_long| SendFailure::NotSent)?;
    let request = Request::post("http://guard/call").body(());
    let request = request.map_err(|_never| SendFailure::NotSent)?;
    let sent = sender.send_request(request, false).map_err(|_closed| SendFailure::NotSent);
    let (response, mut stream) = sent?;
    let first_sent = h2io::send_all(&mut stream, framed, inline).await;
    if inline {
        first_sent.map_err(|_broken| SendFailure::MaybeSent)?;
        return Ok(response);
    }
    first_sent.map_err(|_broken| SendFailure::NotSent)?;
    let rest_sent = h2io::send_all(&mut stream, body.clone(), true).await;
    rest_sent.map_err(|_broken| SendFailure::MaybeSent)?;
    Ok(response)
}

/// Reads the head of a guard's answer; returns `None` if the stream broke.
async fn read_answer(response: ResponseFuture) -> Option<(AnswerHead, HeadReader)> {
    let response = response.await.ok()?;
    let mut reader = HeadReader::open(response.into_body());
    let head = reader.head().await.ok()?;
    Some((head, reader))
}

/// Converts a guard's answer to the end of the attempt.
fn end_attempt(
    mut outstanding: OutstandingCall,
    call: CallId,
    answer: &AnswerHead,
    reader: HeadReader,
) -> AttemptEnd {
    let latency = outstanding.duty.clock.now().since(outstanding.started_at);
    match answer {
        AnswerHead::Answered { call: echoed, .. }
        | AnswerHead::Refused { call: echoed, .. }
        | AnswerHead::Lost { call: echoed, .. }
        | AnswerHead::Claimed { call: echoed, .. }
            if *echoed != call =>
        {
            outstanding.failed = true;
            AttemptEnd::Lost
        }
        AnswerHead::SendBody { .. } => {
            // The guard asks only for bodies that were announced to follow.
            outstanding.failed = true;
            AttemptEnd::Lost
        }
        AnswerHead::Answered { status, length, load, .. } => {
            outstanding.update_load(*load);
            outstanding.failed = *status >= 500;
            outstanding.latency = Some(latency);
            let (buffered, stream) = reader.into_parts();
            let target = outstanding.target.to_string();
            let length = *length;
            let on_end = Box::new(move |_complete| drop(outstanding));
            let body = GuardBody::open(buffered, stream, length, on_end);
            AttemptEnd::Answered(responses::answered(answer, &target, body))
        }
        AnswerHead::Refused { reason, retry_after_ms, load, .. } => {
            outstanding.update_load(*load);
            let unavailable = matches!(reason, RefusalReason::Unreachable | RefusalReason::Absent);
            outstanding.failed = unavailable || *reason == RefusalReason::Leaving;
            AttemptEnd::Refused { reason: *reason, retry_after_ms: *retry_after_ms }
        }
        AnswerHead::Lost { load, .. } => {
            outstanding.update_load(*load);
            outstanding.failed = true;
            AttemptEnd::Lost
        }
        AnswerHead::Claimed { row, version, .. } => {
            AttemptEnd::Claimed { row: row.clone(), version: *version }
        }
    }
}

/// Asks a guard to ensure that a call never runs; returns the call's status, or `None` if
/// the guard does not reply in time.
pub(crate) async fn revoke(
    duty: &EntryDuty,
    guard: SocketAddr,
    incarnation: DaemonIncarnation,
    call: CallId,
    deadline: MicroTime,
) -> Option<CallStatus> {
    let reply_timeout = deadline.since(duty.clock.now()).duration().min(REVOKE_TIMEOUT);
    let status = request_revocation(duty, guard, incarnation, call);
    timeout(reply_timeout, status).await.ok()?
}

async fn request_revocation(
    duty: &EntryDuty,
    guard: SocketAddr,
    incarnation: DaemonIncarnation,
    call: CallId,
) -> Option<CallStatus> {
    let head = RevokeHead { call, incarnation };
    let mut reader = duty.pool.request(guard, incarnation, "/revoke", &head).await?;
    let reply: RevokeReply = reader.head().await.ok()?;
    Some(reply.status)
}
