//! Relays a target's answer from its guard to the entry.

use bytes::Bytes;
use h2::Reason;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::info;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::ServedCall;
use crate::base::call_status::{CallStatus, RecordedAnswer};
use crate::base::consts::{MAX_HELD_PAUSE, MAX_RECORDED_BODY};
use crate::base::h2io;
use crate::base::wire::{AnswerHead, CallHead, RefusalReason};
use crate::call::guard::UNAVAILABLE_RETRY_MS;
use crate::call::guard::answer_stream::AnswerStream;
use crate::call::guard::target_call::{self, AnswerClass, TargetAnswer};
use crate::call::guard::target_connections::TargetFailure;
use crate::call::headers;
use crate::decide::answer_check::AnswerFault;

/// Relays a target's answer to the entry and collects what has to be recorded of it.
pub(super) struct AnswerRelay<'a> {
    pub(super) call: &'a ServedCall,
    pub(super) head: &'a CallHead,
    /// The response before the answer's head is sent.
    pub(super) unsent: Option<AnswerStream>,
    /// The response while the answer's body is sent; `None` once it was ended or reset.
    pub(super) stream: Option<AnswerStream>,
    /// Time by which the answer must be passed on as a whole.
    pub(super) ends_at: Instant,
}

/// Result of sending a part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PartEnd {
    Sent,
    /// The entry no longer receives the answer.
    Gone,
    /// The entry did not take the part in time.
    Unread,
}

impl AnswerRelay<'_> {
    /// Reports to the entry that the call is lost: it may have run, and no answer will follow.
    pub(super) async fn report_lost(&mut self) {
        self.report_loss(false).await;
    }

    /// Reports likewise that the target sent something that is no answer to the call.
    async fn report_invalid(&mut self, fault: AnswerFault) {
        self.record_invalid(fault);
        self.report_loss(true).await;
    }

    async fn report_loss(&mut self, invalid_answer: bool) {
        let call = self.call.call_id;
        let load = self.call.duty.load(&self.call.target_key);
        let suspect = self.call.duty.suspect_record(self.call.digest);
        self.send_head(&AnswerHead::Lost { call, load, suspect, invalid_answer }, true).await;
        self.stream = None;
    }

    fn record_invalid(&self, fault: AnswerFault) {
        self.call.duty.record_invalid_answer(&self.call.target_key.1, &self.call.request_id, fault);
    }

    /// Relays the answer, or reports its absence; returns the call's status.
    pub(super) async fn forward(
        &mut self,
        answered: Result<TargetAnswer, TargetFailure>,
    ) -> CallStatus {
        let answer = match answered {
            Ok(answer) => answer,
            Err(TargetFailure::NotSent) => return self.refuse(RefusalReason::Unreachable).await,
            Err(TargetFailure::Broken) => {
                // The entry must not retry before it knows whether the target ended.
                self.call.duty.wait_for_crash_check(&self.call.target_key).await;
                self.report_lost().await;
                return CallStatus::Unknown;
            }
            Err(TargetFailure::Invalid(fault)) => {
                // A target that ends may send anything before its connections close.
                self.call.duty.wait_for_crash_check(&self.call.target_key).await;
                self.report_invalid(fault).await;
                return CallStatus::Unknown;
            }
        };
        let names = self.call.duty.header_names;
        let reason =
            match target_call::classify_answer(self.head, answer.status, &answer.headers, names) {
                AnswerClass::Answer => return self.forward_answer(answer).await,
                AnswerClass::NotRun => RefusalReason::Declined,
                AnswerClass::OtherTarget => {
                    // Another target uses the address now, so this one has ended.
                    self.call.duty.end_target(&self.call.target_key.1, None);
                    RefusalReason::Absent
                }
                AnswerClass::Invalid(fault) => {
                    // The answers on this connection may no longer match the calls, so it is
                    // dropped, which closes it.
                    self.report_invalid(fault).await;
                    return CallStatus::Unknown;
                }
            };
        if answer.rest.is_none() {
            answer.connection.release(&answer.headers);
        }
        self.refuse(reason).await
    }

    /// Reports to the entry that the call did not run and never will.
    pub(super) async fn refuse(&mut self, reason: RefusalReason) -> CallStatus {
        self.call.dispatched_at.set(None);
        let refusal = self.call.duty.refusal(self.call, reason, UNAVAILABLE_RETRY_MS);
        self.send_head(&refusal, true).await;
        CallStatus::NotRun
    }

    /// Relays an answer that belongs to the call.
    async fn forward_answer(&mut self, answer: TargetAnswer) -> CallStatus {
        self.call.failed.set(answer.status.is_server_error());
        // Only answers to calls with an idempotency key are ever requested again.
        let is_keyed = self.head.claim.is_some();
        let mut recorded = RecordedAnswer {
            status: answer.status.as_u16(),
            content_type: content_type(&answer.headers).filter(|_text| is_keyed),
            body: is_keyed.then(Vec::new),
        };
        append_recorded(&mut recorded, &answer.start);
        let length = match &answer.rest {
            None => Some(answer.start.len() as u64),
            Some(_more) => answer_length(self.head, answer.status, &answer.headers),
        };
        let answered = AnswerHead::Answered {
            call: self.call.call_id,
            status: answer.status.as_u16(),
            headers: headers::forward_response_headers(
                &answer.headers,
                self.call.duty.header_names,
            ),
            length,
            work_us: self.call.work_us(),
            load: self.call.duty.load(&self.call.target_key),
            nested: self.call.nested_route,
        };
        let Some(mut rest) = answer.rest else {
            answer.connection.release(&answer.headers);
            self.send_whole(&answered, answer.start).await;
            return CallStatus::Answered(recorded);
        };
        self.send_head(&answered, false).await;
        let mut data = answer.start;
        loop {
            match self.send_data(data).await {
                PartEnd::Sent => {}
                // A write runs on, and its answer may be asked for again.
                PartEnd::Gone if !self.head.repeatable => {}
                // The target has answered: that nobody reads it is not its failure.
                PartEnd::Gone => return self.answered_in_part(recorded, "abandoned"),
                PartEnd::Unread => return self.answered_in_part(recorded, "unread"),
            }
            let Ok(next) = timeout_at(self.ends_at, next_data(&mut rest)).await else {
                self.cut_off("late");
                return CallStatus::Unknown;
            };
            match next {
                Ok(Some(next)) => data = next,
                Ok(None) => break,
                Err(error) => {
                    if let TargetFailure::Invalid(fault) = TargetFailure::of_answer(&error) {
                        self.record_invalid(fault);
                    }
                    self.cut_off("broken");
                    return CallStatus::Unknown;
                }
            }
            append_recorded(&mut recorded, &data);
        }
        answer.connection.release(&answer.headers);
        if let Some(mut stream) = self.stream.take() {
            drop(stream.send(Bytes::new(), true).await);
        }
        CallStatus::Answered(recorded)
    }

    /// Ends an answer that its caller did not read as a whole.
    fn answered_in_part(&mut self, recorded: RecordedAnswer, reason: &str) -> CallStatus {
        self.cut_off(reason);
        CallStatus::Answered(RecordedAnswer { body: None, ..recorded })
    }

    /// Resets the stream, logs and counts why.
    fn cut_off(&mut self, reason: &str) {
        self.reset();
        let duty = &self.call.duty;
        duty.metrics.memory.cut_answers.with_label_values(&[reason]).inc();
        info!(duty.logger, "answer cut off"; "id" => &*self.call.request_id,
            "target" => %self.call.target_key.1, "reason" => reason);
    }

    /// Sends an answer that was read whole, in one frame if the flow-control window allows.
    async fn send_whole(&mut self, answer: &AnswerHead, body: Bytes) {
        let Some(mut stream) = self.unsent.take() else { return };
        let Ok(bytes) = h2io::encode_frame_with_body(answer, &[body]) else {
            stream.reset(Reason::INTERNAL_ERROR);
            return;
        };
        // The entry's window usually takes it at once.
        let sent_by = self.ends_at.max(Instant::now() + MAX_HELD_PAUSE);
        let sent = timeout_at(sent_by, stream.send(bytes, true)).await;
        if !sent.is_ok_and(|sent| sent.is_ok()) {
            stream.reset(Reason::INTERNAL_ERROR);
        }
    }

    async fn send_head(&mut self, answer: &AnswerHead, end: bool) {
        let Some(mut stream) = self.unsent.take() else { return };
        match stream.send_head(answer, end).await {
            Ok(()) => self.stream = Some(stream),
            Err(_broken) => stream.reset(Reason::INTERNAL_ERROR),
        }
    }

    /// Sends a part of the body.
    async fn send_data(&mut self, data: Bytes) -> PartEnd {
        let Some(stream) = &mut self.stream else { return PartEnd::Gone };
        let sent = tokio::select! {
            biased;
            sent = stream.send(data, false) => sent,
            () = sleep_until(self.ends_at) => return PartEnd::Unread,
            () = self.call.duty.answer_room.wait_until_given_up() => return PartEnd::Unread,
        };
        if sent.is_ok() {
            return PartEnd::Sent;
        }
        self.reset();
        PartEnd::Gone
    }

    /// Resets the stream, so that a truncated body isn't taken for a complete one.
    fn reset(&mut self) {
        if let Some(mut stream) = self.stream.take() {
            stream.reset(Reason::INTERNAL_ERROR);
        }
    }
}

/// Reads the next part of a body, or `None` at its end.
async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    loop {
        let Some(frame) = body.frame().await else { return Ok(None) };
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Returns the length that the body must have in bytes, if it is known.
fn answer_length(head: &CallHead, status: StatusCode, headers: &HeaderMap) -> Option<u64> {
    let empty = head.method == "HEAD"
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    if empty {
        return Some(0);
    }
    headers.get(http::header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn content_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(http::header::CONTENT_TYPE)?;
    value.to_str().ok().map(str::to_owned)
}

/// Adds a part of the body to the record; drops the recorded body once it is over
/// [`MAX_RECORDED_BODY`].
fn append_recorded(recorded: &mut RecordedAnswer, data: &[u8]) {
    let fits = |body: &Vec<u8>| body.len() + data.len() <= MAX_RECORDED_BODY;
    match &mut recorded.body {
        Some(body) if fits(body) => body.extend_from_slice(data),
        body => *body = None,
    }
}
