//! The way of a target's answer from its guard to the entry.

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, SendStream};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use tokio::time::timeout;

use super::ServedCall;
use crate::base::call_status::{CallStatus, RecordedAnswer};
use crate::base::consts::{BODY_STALL_TIMEOUT, MAX_RECORDED_BODY};
use crate::base::h2io;
use crate::base::wire::{AnswerHead, CallHead, RefusalReason};
use crate::call::guard::LEAVING_RETRY_MS;
use crate::call::guard::target_call::{self, AnswerMeaning, TargetAnswer};
use crate::call::guard::target_pool::TargetFailure;
use crate::call::headers;

/// Moves a target's answer to the entry, and keeps what has to be recorded.
pub(super) struct AnswerPump<'a> {
    pub(super) call: &'a ServedCall,
    pub(super) head: &'a CallHead,
    /// Taken when the answer's head goes out.
    pub(super) respond: Option<SendResponse<Bytes>>,
    /// Nothing once the entry has gone.
    pub(super) stream: Option<SendStream<Bytes>>,
}

impl AnswerPump<'_> {
    /// Tells the entry that no answer will come.
    pub(super) async fn lose(&mut self) {
        let load = self.call.duty.load(&self.call.key);
        let suspect = self.call.duty.standing(self.call.digest);
        self.send_head(&AnswerHead::Lost { call: self.call.call, load, suspect }, true).await;
        self.stream = None;
    }

    /// Sends the answer; returns what became of the call.
    pub(super) async fn forward(
        &mut self,
        answered: Result<TargetAnswer, TargetFailure>,
    ) -> CallStatus {
        let answer = match answered {
            Ok(answer) => answer,
            Err(TargetFailure::NotSent) => return self.refuse(RefusalReason::Unreachable).await,
            Err(TargetFailure::Broken) => {
                // The entry must not try again before it knows whether a target ended.
                self.call.duty.examine(&self.call.key).await;
                self.lose().await;
                return CallStatus::Unknown;
            }
        };
        let names = self.call.duty.names;
        let reason = match target_call::meaning(self.head, answer.status, &answer.headers, names) {
            AnswerMeaning::Answer => return self.forward_answer(answer).await,
            AnswerMeaning::NotRun => RefusalReason::Declined,
            AnswerMeaning::OtherTarget => {
                // Its address is another target's now: it is gone for good.
                self.call.duty.end_target(&self.call.key.1, None);
                RefusalReason::Absent
            }
            AnswerMeaning::Foreign => {
                // What follows on this connection is out of step: it is closed.
                self.lose().await;
                return CallStatus::Unknown;
            }
        };
        if answer.rest.is_none() {
            answer.connection.release(&answer.headers);
        }
        self.refuse(reason).await
    }

    /// Tells the entry that the call did not run and never will.
    async fn refuse(&mut self, reason: RefusalReason) -> CallStatus {
        self.call.dispatched.set(None);
        let refusal = self.call.duty.refusal(self.call, reason, LEAVING_RETRY_MS);
        self.send_head(&refusal, true).await;
        CallStatus::NotRun
    }

    async fn forward_answer(&mut self, answer: TargetAnswer) -> CallStatus {
        self.call.failed.set(answer.status.is_server_error());
        let mut recorded = RecordedAnswer {
            status: answer.status.as_u16(),
            content_type: content_type(&answer.headers),
            // Only the answer to a keyed call is ever asked for again.
            body: self.head.claim.as_ref().map(|_claim| Vec::new()),
        };
        keep(&mut recorded, &answer.start);
        let length = match &answer.rest {
            None => Some(answer.start.len() as u64),
            Some(_more) => answer_length(self.head, answer.status, &answer.headers),
        };
        let answered = AnswerHead::Answered {
            call: self.call.call,
            status: answer.status.as_u16(),
            headers: headers::forward_answer(&answer.headers, self.call.duty.names),
            length,
            work_us: self.call.work_us(),
            load: self.call.duty.load(&self.call.key),
        };
        let Some(mut rest) = answer.rest else {
            answer.connection.release(&answer.headers);
            self.send_whole(&answered, answer.start).await;
            return CallStatus::Answered(recorded);
        };
        self.send_head(&answered, false).await;
        if !self.send_data(answer.start).await && self.head.repeatable {
            return CallStatus::Unknown;
        }
        loop {
            let Ok(next) = timeout(BODY_STALL_TIMEOUT, rest.frame()).await else {
                self.reset();
                return CallStatus::Unknown;
            };
            let Some(frame) = next else { break };
            let Ok(frame) = frame else {
                self.reset();
                return CallStatus::Unknown;
            };
            let Ok(data) = frame.into_data() else { continue };
            keep(&mut recorded, &data);
            if !self.send_data(data).await && self.head.repeatable {
                return CallStatus::Unknown;
            }
        }
        answer.connection.release(&answer.headers);
        if let Some(mut stream) = self.stream.take() {
            drop(h2io::send_all(&mut stream, Bytes::new(), true).await);
        }
        CallStatus::Answered(recorded)
    }

    /// Sends an answer that is at hand, in one piece where the window allows.
    async fn send_whole(&mut self, answer: &AnswerHead, body: Bytes) {
        let Some(mut respond) = self.respond.take() else { return };
        let Ok(bytes) = h2io::encode_frame_with_body(answer, &body) else {
            respond.send_reset(Reason::INTERNAL_ERROR);
            return;
        };
        let Ok(mut stream) = respond.send_response(Response::new(()), false) else { return };
        let sent = timeout(BODY_STALL_TIMEOUT, h2io::send_all(&mut stream, bytes, true)).await;
        if !sent.is_ok_and(|sent| sent.is_ok()) {
            stream.send_reset(Reason::INTERNAL_ERROR);
        }
    }

    async fn send_head(&mut self, answer: &AnswerHead, end: bool) {
        let Some(mut respond) = self.respond.take() else { return };
        let Ok(bytes) = h2io::encode_frame(answer) else {
            respond.send_reset(Reason::INTERNAL_ERROR);
            return;
        };
        let Ok(mut stream) = respond.send_response(Response::new(()), false) else { return };
        if h2io::send_all(&mut stream, bytes, end).await.is_ok() {
            self.stream = Some(stream);
        }
    }

    /// Sends a part of the body; `false` once the entry has gone.
    async fn send_data(&mut self, data: Bytes) -> bool {
        let Some(stream) = &mut self.stream else { return false };
        let sent = timeout(BODY_STALL_TIMEOUT, h2io::send_all(stream, data, false)).await;
        let sent = sent.is_ok_and(|sent| sent.is_ok());
        if !sent {
            self.reset();
        }
        sent
    }

    /// Breaks the stream, so that nobody takes a cut body for a whole one.
    fn reset(&mut self) {
        if let Some(mut stream) = self.stream.take() {
            stream.send_reset(Reason::INTERNAL_ERROR);
        }
    }
}

/// Returns the length the body must have, where it is known.
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

/// Keeps a part of a body for the record, unless it grows over the limit.
fn keep(recorded: &mut RecordedAnswer, data: &[u8]) {
    let fits = |body: &Vec<u8>| body.len() + data.len() <= MAX_RECORDED_BODY;
    match &mut recorded.body {
        Some(body) if fits(body) => body.extend_from_slice(data),
        body => *body = None,
    }
}
