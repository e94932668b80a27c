//! Receives the body of a call; one that is announced is requested only if the call could be
//! admitted.

use bytes::Bytes;
use h2::Reason;
use slog::info;
use tokio::time::timeout;

use crate::base::consts::SENDER_TIMEOUT;
use crate::base::h2io::{HeadReader, StreamError};
use crate::base::wire::{AnswerHead, CallHead, RefusalReason};
use crate::call::guard::answer_stream::AnswerStream;
use crate::call::guard::served_call::ServedCall;
use crate::call::guard::{GuardDuty, UNAVAILABLE_RETRY_MS};

impl GuardDuty {
    /// Receives the body of a call, which has no slot meanwhile and may still be refused.
    ///
    /// # Errors
    ///
    /// Returns the answer to a call that did not run, or `None` if the entry no longer waits for
    /// an answer.
    pub(super) async fn receive_body(
        &self,
        call: &ServedCall,
        head: &CallHead,
        reader: &mut HeadReader,
        answer: &mut AnswerStream,
    ) -> Result<Bytes, Option<AnswerHead>> {
        let length = head.body_len as usize;
        if length > self.max_body {
            let reason = RefusalReason::Malformed;
            return Err(Some(self.refusal(call, reason, UNAVAILABLE_RETRY_MS)));
        }
        if head.body_follows {
            let checked = self.check_before_body(call, head);
            let reply = if checked.is_ok() { "requested" } else { "refused" };
            self.metrics.announced_bodies.with_label_values(&[reply]).inc();
            checked.map_err(Some)?;
            let request = AnswerHead::SendBody { call: head.call };
            answer.send_head(&request, false).await.map_err(|_broken| None)?;
        }
        let remaining = call.deadline.since(self.clock.now()).duration();
        let mut stopping = self.stopping.subscribe();
        let received = tokio::select! {
            received = timeout(SENDER_TIMEOUT.min(remaining), reader.last_body(length)) => received,
            _ = stopping.wait_for(|stopping| *stopping), if head.body_follows => {
                let reason = RefusalReason::Leaving;
                return Err(Some(self.refusal(call, reason, UNAVAILABLE_RETRY_MS)));
            }
        };
        let reason = match received {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(StreamError::Broken { .. })) => {
                info!(self.logger, "call broken off"; "id" => &*call.request_id,
                    "body_len" => length);
                answer.reset(Reason::REFUSED_STREAM);
                return Err(None);
            }
            Ok(Err(_wrong_length)) => RefusalReason::Malformed,
            Err(_elapsed) => RefusalReason::TooLate,
        };
        Err(Some(self.refusal(call, reason, UNAVAILABLE_RETRY_MS)))
    }

    /// Refuses a call whose body is announced if the call would be refused on arrival now.
    fn check_before_body(&self, call: &ServedCall, head: &CallHead) -> Result<(), AnswerHead> {
        self.check_presence(call, head)?;
        let waiting = Self::waiting_call(call, head);
        let refused = {
            let targets = self.targets.borrow();
            let target = targets.get(&call.target_key);
            target.and_then(|target| target.queue.check_arrival(self.clock.now(), &waiting))
        };
        let Some((reason, retry_after_ms)) = refused else { return Ok(()) };
        Err(self.refusal(call, reason, retry_after_ms))
    }
}
