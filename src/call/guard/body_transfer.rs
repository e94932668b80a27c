//! Receives the body of a call; one that is announced is requested only if the call could be
//! admitted.

use bytes::Bytes;
use h2::Reason;
use slog::info;
use tokio::sync::SemaphorePermit;
use tokio::time::timeout;

use crate::base::consts::SENDER_TIMEOUT;
use crate::base::h2io::{HeadReader, StreamError};
use crate::base::wire::{AnswerHead, CallHead, RefusalReason};
use crate::call::guard::answer_stream::AnswerStream;
use crate::call::guard::served_call::ServedCall;
use crate::call::guard::{GuardDuty, UNAVAILABLE_RETRY_MS};

/// Maximum number of announced bodies that a guard receives at once.
///
/// All bodies share the host's link with calls that have none. Two keep it busy; with more, a
/// small call would wait behind all of them.
pub(super) const MAX_BODY_TRANSFERS: usize = 2;

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
        let _transfer = if head.body_follows {
            let permitted = self.wait_for_transfer(call, head, answer).await;
            let reply = if permitted.is_ok() { "requested" } else { "refused" };
            self.metrics.announced_bodies.with_label_values(&[reply]).inc();
            let permit = permitted?;
            let request = AnswerHead::SendBody { call: head.call };
            answer.send_head(&request, false).await.map_err(|_broken| None)?;
            Some(permit)
        } else {
            None
        };
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

    /// Waits until a body that was announced may be requested.
    ///
    /// # Errors
    ///
    /// Returns the answer to a call that would be refused now or has waited until its queue
    /// deadline, or `None` if the entry no longer waits for an answer.
    async fn wait_for_transfer(
        &self,
        call: &ServedCall,
        head: &CallHead,
        answer: &mut AnswerStream,
    ) -> Result<SemaphorePermit<'_>, Option<AnswerHead>> {
        self.check_before_body(call, head).map_err(Some)?;
        if let Ok(permit) = self.body_transfers.try_acquire() {
            return Ok(permit);
        }
        let max_wait = call.queue_deadline.since(self.clock.now()).duration();
        let acquired = tokio::select! {
            acquired = timeout(max_wait, self.body_transfers.acquire()) => acquired,
            () = answer.wait_for_reset() => return Err(None),
        };
        let Ok(Ok(permit)) = acquired else {
            return Err(Some(self.refusal(call, RefusalReason::TooLate, UNAVAILABLE_RETRY_MS)));
        };
        self.check_before_body(call, head).map_err(Some)?;
        Ok(permit)
    }

    /// Refuses a call whose body is announced if the call would be refused on arrival now.
    fn check_before_body(&self, call: &ServedCall, head: &CallHead) -> Result<(), AnswerHead> {
        self.check_presence(call, head)?;
        let waiting = Self::waiting_call(call, head);
        let refused = {
            let mut targets = self.targets.borrow_mut();
            let target = targets.get_mut(&call.target_key);
            target.and_then(|target| target.queue.check_arrival(self.clock.now(), &waiting))
        };
        let Some((reason, retry_after_ms)) = refused else { return Ok(()) };
        Err(self.refusal(call, reason, retry_after_ms))
    }
}
