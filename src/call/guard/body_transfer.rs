//! Receives the body of a call; one that is announced is requested only if the call could be
//! admitted.

use std::time::Duration;

use h2::Reason;
use slog::info;
use tokio::sync::SemaphorePermit;
use tokio::time::{Instant, timeout, timeout_at};

use crate::base::consts::SENDER_TIMEOUT;
use crate::base::h2io::{HeadReader, StreamError};
use crate::base::wire::{AnswerHead, CallHead, RefusalReason};
use crate::call::body_room::{BodyPermit, BodySize};
use crate::call::call_body::CallBody;
use crate::call::guard::answer_stream::AnswerStream;
use crate::call::guard::served_call::ServedCall;
use crate::call::guard::{GuardDuty, UNAVAILABLE_RETRY_MS};

/// Maximum number of announced bodies that a guard receives at once.
///
/// All bodies share the host's link with calls that have none. Two keep it busy; with more, a
/// small call would wait behind all of them.
pub(super) const MAX_BODY_TRANSFERS: usize = 2;

/// Maximum pause within a body, which its entry has as a whole.
const MAX_TRANSFER_PAUSE: Duration = Duration::from_secs(2);

/// Retry delay for calls for whose body the guard has no memory, in milliseconds.
const NO_MEMORY_RETRY_MS: u32 = 500;

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
    ) -> Result<CallBody, Option<AnswerHead>> {
        let length = head.body_len as usize;
        if length > self.max_body {
            let reason = RefusalReason::Malformed;
            return Err(Some(self.refusal(call, reason, UNAVAILABLE_RETRY_MS)));
        }
        // A call without a body needs no memory, so it waits for none.
        let permit = if length == 0 {
            None
        } else {
            let size = BodySize::of(length);
            let opened = self.body_room.open_body(size, length as u64, call.deadline);
            Some(opened.ok_or_else(|| Some(self.refuse_without_memory(call, length)))?)
        };
        let _transfer = match &permit {
            Some(permit) if head.body_follows => {
                let permitted = self.wait_for_transfer(call, head, permit, answer).await;
                let reply = if permitted.is_ok() { "requested" } else { "refused" };
                self.metrics.announced_bodies.with_label_values(&[reply]).inc();
                let transfer = permitted?;
                let request = AnswerHead::SendBody { call: head.call };
                answer.send_head(&request, false).await.map_err(|_broken| None)?;
                Some(transfer)
            }
            Some(permit) if !permit.try_take(length) => {
                return Err(Some(self.refuse_without_memory(call, length)));
            }
            _ => None,
        };
        let remaining = call.deadline.since(self.clock.now()).duration();
        let body = reader.last_body(length, MAX_TRANSFER_PAUSE);
        let received = tokio::select! {
            received = timeout(SENDER_TIMEOUT.min(remaining), body) => received,
            () = self.wait_for_stop(), if head.body_follows => {
                let reason = RefusalReason::Leaving;
                return Err(Some(self.refusal(call, reason, UNAVAILABLE_RETRY_MS)));
            }
        };
        let reason = match received {
            Ok(Ok(body)) => return Ok(CallBody::open(body, permit)),
            Ok(Err(StreamError::Broken { .. })) => {
                info!(self.logger, "call broken off"; "id" => &*call.request_id,
                    "body_len" => length);
                answer.reset(Reason::REFUSED_STREAM);
                return Err(None);
            }
            Ok(Err(StreamError::Paused)) | Err(_) => RefusalReason::TooLate,
            Ok(Err(_wrong_length)) => RefusalReason::Malformed,
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
        permit: &BodyPermit,
        answer: &mut AnswerStream,
    ) -> Result<SemaphorePermit<'_>, Option<AnswerHead>> {
        self.check_before_body(call, head).map_err(Some)?;
        let length = head.body_len as usize;
        if permit.try_take(length)
            && let Ok(transfer) = self.body_transfers.try_acquire()
        {
            return Ok(transfer);
        }
        if !head.last && permit.is_kept_out_by_other(length) {
            // The entry of this daemon may hold this very body; other guards have room.
            return Err(Some(self.refuse_without_memory(call, length)));
        }
        let max_wait = call.queue_deadline.since(self.clock.now()).duration();
        let wait_end = Instant::now() + max_wait;
        // Waits for memory first, so that a small body doesn't wait for a transfer permit of a
        // large one that has no memory.
        let acquire = async {
            if !permit.has_memory() && !permit.take(length, wait_end).await {
                return Err(self.refuse_without_memory(call, length));
            }
            let transfer = timeout_at(wait_end, self.body_transfers.acquire()).await;
            let too_late = || self.refusal(call, RefusalReason::TooLate, UNAVAILABLE_RETRY_MS);
            transfer.ok().and_then(Result::ok).ok_or_else(too_late)
        };
        let transfer = tokio::select! {
            acquired = acquire => acquired.map_err(Some)?,
            () = self.wait_for_stop() => {
                let reason = RefusalReason::Leaving;
                return Err(Some(self.refusal(call, reason, UNAVAILABLE_RETRY_MS)));
            }
            () = answer.wait_for_reset() => return Err(None),
        };
        self.check_before_body(call, head).map_err(Some)?;
        Ok(transfer)
    }

    /// Refuses a call for whose body there is no memory; other guards may have some.
    fn refuse_without_memory(&self, call: &ServedCall, length: usize) -> AnswerHead {
        info!(self.logger, "body not held"; "id" => &*call.request_id, "length" => length,
            "memory" => ?self.body_room.memory_use());
        self.refusal(call, RefusalReason::Full, NO_MEMORY_RETRY_MS)
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
