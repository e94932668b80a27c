//! One try of a call at one target.

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
use crate::base::wire::{AnswerHead, CallHead, LoadReport, RefusalReason, RevokeHead, RevokeReply};
use crate::call::entry::EntryDuty;
use crate::call::entry::intake::CallerCall;
use crate::call::entry::watching;
use crate::call::reply::{self, EntryBody, GuardBody};
use crate::decide::selection::TargetPlace;

/// Wait told to a caller whose target could not be reached, in milliseconds.
const UNREACHABLE_RETRY_MS: u32 = 100;

/// Longest wait for a guard's answer about an earlier call.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest body that goes out in one piece with its head, in bytes.
const MAX_JOINED_BODY: usize = 64 << 10;

/// Time that is left for the work, as a multiple of its usual time: hosts that
/// are shared take about a quarter longer, and single calls spread by half.
const WORK_MARGIN: f64 = 1.5;

/// How a try ended.
pub(crate) enum AttemptEnd {
    /// The target answered.
    Answered(Response<EntryBody>),
    /// The call did not run there.
    Refused { reason: RefusalReason, retry_after_ms: u32 },
    /// The call may have run there.
    Lost,
    /// Its key is claimed by an earlier call; it did not run.
    Claimed { row: Box<ClaimRow>, version: u64 },
}

impl AttemptEnd {
    const fn unreachable() -> Self {
        Self::Refused { reason: RefusalReason::Unreachable, retry_after_ms: UNREACHABLE_RETRY_MS }
    }
}

/// A call under way at a target; takes itself off the books when dropped.
struct OutstandingCall {
    duty: Rc<EntryDuty>,
    service: ServiceName,
    target: TargetName,
    sent: MicroTime,
    latency: Option<MicroTime>,
    failed: bool,
    /// Whether the guard could not be reached at all.
    unreachable: bool,
}

impl OutstandingCall {
    /// Notes that the guard could not be reached at all.
    fn lose_contact(&mut self, place: &TargetPlace) {
        self.unreachable = true;
        self.duty.tell_unreached(&place.host);
    }

    fn hear(&self, load: LoadReport) {
        self.duty.hear_load(&self.service, &self.target, load);
    }
}

impl Drop for OutstandingCall {
    fn drop(&mut self) {
        let now = self.duty.clock.now();
        let mut registry = self.duty.registry.borrow_mut();
        if let Some(record) = registry.find(&self.service, &self.target) {
            let before = record.ejected_until;
            record.finish(now, self.latency, self.failed);
            if self.unreachable {
                record.lose_contact(now);
            }
            if record.ejected_until > before {
                info!(self.duty.logger, "target left alone"; "target" => %self.target,
                    "failures" => record.failures, "reached" => !self.unreachable,
                    "for_us" => record.ejected_until.since(now).0);
            }
        }
    }
}

/// Tries a call at a target.
pub(crate) async fn run(
    duty: &Rc<EntryDuty>,
    call: &CallerCall,
    target: &TargetName,
    place: &TargetPlace,
    last: bool,
) -> AttemptEnd {
    let now = duty.clock.now();
    let mut outstanding = OutstandingCall {
        duty: Rc::clone(duty),
        service: call.service.clone(),
        target: target.clone(),
        sent: now,
        latency: None,
        failed: false,
        unreachable: false,
    };
    let left = call.deadline.since(now).duration();
    if left.is_zero() {
        let reason = RefusalReason::TooLate;
        return AttemptEnd::Refused { reason, retry_after_ms: UNREACHABLE_RETRY_MS };
    }
    let deadline = Instant::now() + left;
    let Some(sender) = connect(duty, place, deadline).await else {
        outstanding.lose_contact(place);
        return AttemptEnd::unreachable();
    };
    // Before the first report nobody could tell how long a call was on its way.
    let mut guard_time = duty.time_at_guard(&call.service, target);
    if guard_time.is_none() {
        if !watching::hear_first(duty, &call.service, target, place).await {
            outstanding.lose_contact(place);
            return AttemptEnd::unreachable();
        }
        guard_time = duty.time_at_guard(&call.service, target);
    }
    watching::watch_target(duty, &call.service, target, place);
    let left = call.deadline.since(duty.clock.now()).duration();
    let head = make_head(duty, call, target, place, guard_time, left, last);
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
    let mut answer = Box::pin(read_answer(response));
    let patience = left.saturating_sub(REVOKE_MARGIN.min(left / 4));
    let answered = match timeout(patience, &mut answer).await {
        Ok(answered) => answered,
        Err(_elapsed) => {
            let status =
                revoke(duty, place.guard, place.incarnation, head.call, call.deadline).await;
            if status == Some(CallStatus::NotRun) {
                return AttemptEnd::Refused {
                    reason: RefusalReason::Revoked,
                    retry_after_ms: UNREACHABLE_RETRY_MS,
                };
            }
            if status.is_none() {
                // Neither the call nor the question got an answer: it may be the
                // connection alone that fell silent.
                duty.pool.forget(place.guard, place.incarnation);
                duty.tell_unreached(&place.host);
                info!(duty.logger, "guard silent"; "id" => &*call.id, "at" => %place.host);
            }
            let Ok(answered) = timeout_at(deadline, &mut answer).await else {
                outstanding.failed = status.is_none();
                return AttemptEnd::Lost;
            };
            answered
        }
    };
    if let Some((answer, reader)) = answered {
        if let AnswerHead::Answered { status, length, work_us, .. } = &answer
            && *status < 400
        {
            let bytes = call.body.len() as u64 + length.unwrap_or_default();
            duty.route_book.borrow_mut().note(&call.options.kind, *work_us, bytes);
        }
        if let AnswerHead::Refused { suspect, .. } | AnswerHead::Lost { suspect, .. } = &answer {
            duty.learn_suspect(call, *suspect);
        }
        return conclude(outstanding, head.call, &answer, reader);
    }
    // The connection broke, as those to a host that is gone do after a while.
    outstanding.failed = true;
    duty.tell_unreached(&place.host);
    AttemptEnd::Lost
}

/// Returns how long a call may still wait for a slot.
///
/// As long as it is likely to be in time if it starts then; once it isn't, it is
/// refused, while another target or a later try may serve it. A call without an
/// objective of its own waits to its deadline.
fn patience(call: &CallerCall, work_us: f64, now: MicroTime) -> MicroTime {
    if call.options.objective_ms >= call.options.deadline_ms {
        return call.deadline.since(now);
    }
    call.objective().since(now).since(MicroTime((work_us * WORK_MARGIN) as u64))
}

fn make_head(
    duty: &EntryDuty,
    call: &CallerCall,
    target: &TargetName,
    place: &TargetPlace,
    sent: Option<MicroTime>,
    left: Duration,
    last: bool,
) -> CallHead {
    let work_us = duty.route_book.borrow().work_us(&call.options);
    let max_wait_ms = patience(call, work_us, duty.clock.now()).ceil_millis() as u32;
    CallHead {
        call: CallId::random(),
        digest: call.digest,
        suspect: duty.standing(call),
        incarnation: place.incarnation,
        service: call.service.clone(),
        target: target.clone(),
        account: call.account.clone(),
        share: call.share,
        priority: call.options.priority,
        remaining_ms: left.as_millis() as u32,
        sent,
        max_wait_ms,
        work_us: work_us as u32,
        repeatable: call.options.repeatable,
        last,
        claim: call.claim.clone(),
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        body_len: call.body.len() as u32,
    }
}

async fn connect(
    duty: &EntryDuty,
    place: &TargetPlace,
    deadline: Instant,
) -> Option<SendRequest<Bytes>> {
    let connecting = duty.pool.connect(place.guard, place.incarnation);
    timeout_at(deadline, connecting).await.ok()?
}

/// How sending failed.
enum SendFailure {
    /// The guard can't have the whole call, so it can't run it.
    NotSent,
    /// The guard may have the whole call.
    MaybeSent,
}

/// Sends a call; the last byte decides whether a guard could run it.
async fn send(
    mut sender: SendRequest<Bytes>,
    head: &CallHead,
    body: &Bytes,
) -> Result<ResponseFuture, SendFailure> {
    let together = body.len() <= MAX_JOINED_BODY;
    let start = if together { body.as_ref() } else { &[] };
    let framed =
        h2io::encode_frame_with_body(head, start).map_err(|_too_long| SendFailure::NotSent)?;
    let request = Request::post("http://guard/call").body(());
    let request = request.map_err(|_never| SendFailure::NotSent)?;
    let sent = sender.send_request(request, false).map_err(|_closed| SendFailure::NotSent);
    let (response, mut stream) = sent?;
    let first = h2io::send_all(&mut stream, framed, together).await;
    if together {
        first.map_err(|_broken| SendFailure::MaybeSent)?;
        return Ok(response);
    }
    first.map_err(|_broken| SendFailure::NotSent)?;
    let rest = h2io::send_all(&mut stream, body.clone(), true).await;
    rest.map_err(|_broken| SendFailure::MaybeSent)?;
    Ok(response)
}

/// Reads the answer's head; nothing if the stream broke.
async fn read_answer(response: ResponseFuture) -> Option<(AnswerHead, HeadReader)> {
    let response = response.await.ok()?;
    let mut reader = HeadReader::open(response.into_body());
    let head = reader.head().await.ok()?;
    Some((head, reader))
}

/// Turns a guard's answer into the end of the try.
fn conclude(
    mut outstanding: OutstandingCall,
    call: CallId,
    answer: &AnswerHead,
    reader: HeadReader,
) -> AttemptEnd {
    let latency = outstanding.duty.clock.now().since(outstanding.sent);
    match answer {
        AnswerHead::Answered { call: own, .. }
        | AnswerHead::Refused { call: own, .. }
        | AnswerHead::Lost { call: own, .. }
        | AnswerHead::Claimed { call: own, .. }
            if *own != call =>
        {
            outstanding.failed = true;
            AttemptEnd::Lost
        }
        AnswerHead::Answered { status, length, load, .. } => {
            outstanding.hear(*load);
            outstanding.failed = *status >= 500;
            outstanding.latency = Some(latency);
            let (rest, stream) = reader.into_parts();
            let target = outstanding.target.to_string();
            let length = *length;
            let ended = Box::new(move |_whole| drop(outstanding));
            let body = GuardBody::open(rest, stream, length, ended);
            AttemptEnd::Answered(reply::answered(answer, &target, body))
        }
        AnswerHead::Refused { reason, retry_after_ms, load, .. } => {
            outstanding.hear(*load);
            let gone = matches!(reason, RefusalReason::Unreachable | RefusalReason::Absent);
            outstanding.failed = gone || *reason == RefusalReason::Leaving;
            AttemptEnd::Refused { reason: *reason, retry_after_ms: *retry_after_ms }
        }
        AnswerHead::Lost { load, .. } => {
            outstanding.hear(*load);
            outstanding.failed = true;
            AttemptEnd::Lost
        }
        AnswerHead::Claimed { row, version, .. } => {
            AttemptEnd::Claimed { row: row.clone(), version: *version }
        }
    }
}

/// Asks a guard to make sure that a call never runs; nothing if it is silent.
pub(crate) async fn revoke(
    duty: &EntryDuty,
    guard: SocketAddr,
    incarnation: DaemonIncarnation,
    call: CallId,
    deadline: MicroTime,
) -> Option<CallStatus> {
    let left = deadline.since(duty.clock.now()).duration().min(SETTLE_TIMEOUT);
    let asked = ask_status(duty, guard, incarnation, call);
    timeout(left, asked).await.ok()?
}

async fn ask_status(
    duty: &EntryDuty,
    guard: SocketAddr,
    incarnation: DaemonIncarnation,
    call: CallId,
) -> Option<CallStatus> {
    let head = RevokeHead { call, incarnation };
    let mut reader = duty.pool.ask(guard, incarnation, "/revoke", &head).await?;
    let reply: RevokeReply = reader.head().await.ok()?;
    Some(reply.status)
}
