//! Receives a call from an entry's stream and admits it, up to its dispatch.
//!
//! Invariants: a call is dispatched at most once; a call that was reported as not run is
//! never dispatched.

use std::rc::Rc;

use bytes::Bytes;
use h2::Reason;
use h2::server::SendResponse;
use http::Response;
use slog::info;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::base::call_status::{CallStatus, ClaimRow, ClaimState};
use crate::base::consts::{CLAIM_TIMEOUT, SENDER_TIMEOUT};
use crate::base::h2io::{self, HeadReader};
use crate::base::suspect::SuspectUpdate;
use crate::base::wire::{AnswerHead, CallHead, KeyClaim, RefusalReason, RevokeHead, RevokeReply};
use crate::call::guard::answer_stream::AnswerStream;
use crate::call::guard::crash_detection::RunOutcome;
use crate::call::guard::served_call::{ClaimPermit, HeldClaim, ServedCall};
use crate::call::guard::{AdmissionDecision, GuardDuty, UNAVAILABLE_RETRY_MS};
use crate::call::head_room::{self, HeadPermit};
use crate::decide::admission::{AdmissionEvent, WaitingCall};
use crate::decide::rate_limit::RateSource;
use crate::duty::events::PlatformEvent;
use crate::store::claim::{ClaimReply, ClaimRequest};
use crate::store::table::TableWrite;

/// Retry delay for calls whose claim the table did not accept, in milliseconds.
const PLATFORM_RETRY_MS: u32 = 1_000;

impl GuardDuty {
    pub(crate) async fn serve_revoke(
        &self,
        mut reader: HeadReader,
        mut respond: SendResponse<Bytes>,
    ) {
        let Ok(Ok(head)) = timeout(SENDER_TIMEOUT, reader.head::<RevokeHead>()).await else {
            return;
        };
        let status = if head.incarnation == self.incarnation {
            self.revoke(&head)
        } else {
            CallStatus::Unknown
        };
        let Ok(mut stream) = respond.send_response(Response::new(()), false) else { return };
        if let Ok(bytes) = h2io::encode_frame(&RevokeReply { status }) {
            drop(h2io::send_all(&mut stream, bytes, true).await);
        }
    }

    pub(crate) async fn serve_call(
        self: &Rc<Self>,
        mut reader: HeadReader,
        respond: SendResponse<Bytes>,
    ) {
        let mut answer = AnswerStream::open(respond);
        let Ok(Ok(head)) = timeout(SENDER_TIMEOUT, reader.head::<CallHead>()).await else {
            answer.reset(Reason::REFUSED_STREAM);
            return;
        };
        // Opened before the body arrives: the time that the call waits counts from its head.
        let call = ServedCall::open(self, &head);
        let checked = self.check_downstream(&call, &head);
        let head_memory = checked.and_then(|()| self.take_head_memory(&call, &head));
        let received = match &head_memory {
            Ok(_held) => self.receive_body(&call, &head, &mut reader, &mut answer).await,
            Err(refusal) => Err(Some(refusal.clone())),
        };
        let admitted = match received {
            Ok(body) => self.admit(&call, &head, &mut answer).await.map(|claim| (body, claim)),
            Err(reply) => Err(reply),
        };
        let reply = match admitted {
            Ok((body, claim)) => {
                let own_run = self.begin_own_run(&head);
                call.run(&head, body, claim, answer).await;
                if let Some(run) = own_run {
                    run.finish(call.failure());
                }
                return;
            }
            Err(Some(reply)) => reply,
            Err(None) => return,
        };
        drop(call);
        drop(answer.send_head(&reply, true).await);
    }

    /// Takes the memory of a call's head, until the call has ended.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a call for whose head there is no memory; other guards may have some.
    fn take_head_memory(
        &self,
        call: &ServedCall,
        head: &CallHead,
    ) -> Result<HeadPermit, AnswerHead> {
        let permit = self.head_room.take(head_room::call_cost(head));
        permit.ok_or_else(|| {
            info!(self.logger, "head not held"; "id" => &*call.request_id,
                "fields" => head.headers.len(), "memory" => ?self.head_room.memory_use());
            self.refusal(call, RefusalReason::Full, UNAVAILABLE_RETRY_MS)
        })
    }

    /// Refuses a call that is for another incarnation of this guard or for an unknown target.
    pub(super) fn check_presence(
        &self,
        call: &ServedCall,
        head: &CallHead,
    ) -> Result<(), AnswerHead> {
        let known = self.targets.borrow().contains_key(&call.target_key);
        if head.incarnation == self.incarnation && known {
            return Ok(());
        }
        Err(self.refusal(call, RefusalReason::Absent, UNAVAILABLE_RETRY_MS))
    }

    /// Admits a call up to its dispatch; returns the claim of its idempotency key, if it has one.
    ///
    /// # Errors
    ///
    /// Returns the answer to a call that did not run, or `None` if the entry reset the stream,
    /// so that no answer is needed.
    async fn admit(
        &self,
        call: &ServedCall,
        head: &CallHead,
        answer: &mut AnswerStream,
    ) -> Result<Option<HeldClaim>, Option<AnswerHead>> {
        self.check_presence(call, head).map_err(Some)?;
        if !self.ledger.borrow_mut().register(self.clock.now(), head.call, head.sent) {
            return Err(Some(self.refusal(call, RefusalReason::Revoked, UNAVAILABLE_RETRY_MS)));
        }
        self.merge_suspects(&[SuspectUpdate { digest: head.digest, record: head.suspect }]);
        let lock = self.wait_for_exclusive_run(call).await;
        let lock = lock.map_err(|reason| {
            self.prevent_dispatch(call);
            Some(self.refusal(call, reason, UNAVAILABLE_RETRY_MS))
        })?;
        call.exclusive_lock.replace(lock);
        let decision = self.enqueue(call, head);
        let admitted = tokio::select! {
            decision = decision => decision.unwrap_or(Err((RefusalReason::Leaving, UNAVAILABLE_RETRY_MS))),
            () = answer.wait_for_reset() => {
                self.prevent_dispatch(call);
                return Err(None);
            }
        };
        if let Err((reason, retry_after_ms)) = admitted {
            self.prevent_dispatch(call);
            return Err(Some(self.refusal(call, reason, retry_after_ms)));
        }
        call.started_at.set(Some(self.clock.now()));
        let claim = match &head.claim {
            Some(claim) => Some(self.claim(call, head, claim).await.map_err(|reply| {
                self.prevent_dispatch(call);
                Some(reply)
            })?),
            None => None,
        };
        let in_time = self.clock.now() < call.deadline && self.ends_before_stop(head.work_us);
        // Checks the request's crash record again: it may have changed while the call waited.
        let run_begun = self.begin_run(call);
        if run_begun.is_ok() && in_time && self.ledger.borrow_mut().try_dispatch(head.call) {
            return Ok(claim);
        }
        self.end_run(call, RunOutcome::NotRun);
        if let Some(claim) = claim {
            self.write_row(TableWrite {
                key: claim.key,
                expected_version: Some(claim.version),
                value: None,
            });
        }
        self.prevent_dispatch(call);
        let other_reason = if in_time { RefusalReason::Revoked } else { RefusalReason::TooLate };
        let reason = run_begun.err().unwrap_or(other_reason);
        Err(Some(self.refusal(call, reason, UNAVAILABLE_RETRY_MS)))
    }

    /// Puts a call in its target's admission queue; the receiver gets the admission decision.
    fn enqueue(&self, call: &ServedCall, head: &CallHead) -> oneshot::Receiver<AdmissionDecision> {
        let (waiter, decision) = oneshot::channel();
        self.waiters.borrow_mut().insert(head.call, waiter);
        call.enqueued.set(true);
        let waiting = Self::waiting_call(call, head);
        if let Some(target) = self.targets.borrow_mut().get_mut(&call.target_key) {
            let now = self.clock.now();
            target.last_call_at = now;
            target.queue.note_account(now, &head.account, head.share, head.account_usage);
        }
        if head.stated_rate.is_some() {
            self.note_rate(&call.target_key, head.stated_rate, RateSource::Entry);
        }
        self.step_queue(&call.target_key, AdmissionEvent::Arrive(waiting));
        decision
    }

    /// Returns a call as its target's admission queue gets it.
    pub(super) fn waiting_call(call: &ServedCall, head: &CallHead) -> WaitingCall {
        let latest_start = call.duty.latest_start(head.work_us);
        let queue_deadline = call.deadline.min(call.queue_deadline);
        WaitingCall {
            call: head.call,
            account: head.account.clone(),
            share: head.share,
            priority: head.priority,
            deadline: call.deadline,
            queue_deadline: latest_start.map_or(queue_deadline, |at| at.min(queue_deadline)),
            work_us: head.work_us,
            last_target: head.last,
            nested: call.nested && call.duty.nested_first,
        }
    }

    /// Writes the claim of a call with an idempotency key; the call keeps its slot meanwhile.
    ///
    /// # Errors
    ///
    /// Returns the answer to the call if the key is claimed by an earlier call, or if the claim
    /// could not be written.
    async fn claim(
        &self,
        call: &ServedCall,
        head: &CallHead,
        claim: &KeyClaim,
    ) -> Result<HeldClaim, AnswerHead> {
        let Some(permit) = ClaimPermit::acquire(call) else {
            return Err(self.refusal(call, RefusalReason::Full, PLATFORM_RETRY_MS));
        };
        let row = ClaimRow {
            call: head.call,
            host: self.host.clone(),
            guard: self.address,
            incarnation: self.incarnation,
            fingerprint: claim.fingerprint.clone(),
            state: ClaimState::Started,
        };
        let (reply, claim_reply) = oneshot::channel();
        let request = ClaimRequest {
            key: claim.row.clone(),
            row: row.clone(),
            expected_version: claim.takeover.unwrap_or(0),
            reply,
        };
        let unavailable = || self.refusal(call, RefusalReason::PlatformDown, PLATFORM_RETRY_MS);
        self.rings.platform.push(PlatformEvent::Claim(request)).map_err(|_full| unavailable())?;
        let remaining = call.deadline.since(self.clock.now()).duration();
        let claim_reply = timeout(CLAIM_TIMEOUT.min(remaining), claim_reply).await;
        drop(permit);
        match claim_reply {
            Ok(Ok(ClaimReply::Acquired(version))) => {
                Ok(HeldClaim { key: claim.row.clone(), version, row })
            }
            Ok(Ok(ClaimReply::HeldByOther { row, version })) => {
                Err(AnswerHead::Claimed { call: head.call, row, version })
            }
            _ => Err(unavailable()),
        }
    }
}
