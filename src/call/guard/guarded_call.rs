//! A call's way through a guard, from the entry's stream to its dispatch.
//!
//! Must hold: a call is dispatched at most once, and one that was told not to have
//! run never will be.

use std::future::poll_fn;
use std::rc::Rc;

use bytes::Bytes;
use h2::Reason;
use h2::server::SendResponse;
use http::Response;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::base::call_status::{CallStatus, ClaimRow, ClaimState};
use crate::base::consts::{CLAIM_TIMEOUT, SENDER_TIMEOUT};
use crate::base::h2io::{self, HeadReader, StreamError};
use crate::base::ids::CallId;
use crate::base::suspect::SuspectUpdate;
use crate::base::wire::{AnswerHead, CallHead, KeyClaim, RefusalReason, RevokeHead, RevokeReply};
use crate::call::guard::crashes::RunEnd;
use crate::call::guard::served::{ClaimPlace, HeldClaim, ServedCall};
use crate::call::guard::{GuardDuty, LEAVING_RETRY_MS, StartSignal};
use crate::decide::admission::{AdmissionAction, AdmissionEvent, WaitingCall};
use crate::duty::events::PlatformEvent;
use crate::store::claim::{ClaimReply, ClaimRequest};
use crate::store::table::TableWrite;

/// When to come back after the table did not accept a claim, in milliseconds.
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
            self.revoke(head.call)
        } else {
            CallStatus::Unknown
        };
        let Ok(mut stream) = respond.send_response(Response::new(()), false) else { return };
        if let Ok(bytes) = h2io::encode_frame(&RevokeReply { status }) {
            drop(h2io::send_all(&mut stream, bytes, true).await);
        }
    }

    /// Makes sure that a call does not run, or tells what became of it.
    fn revoke(&self, call: CallId) -> CallStatus {
        let status = self.ledger.borrow_mut().revoke(self.clock.now(), call);
        if status == CallStatus::NotRun {
            let refusal = AdmissionAction::Refuse {
                call,
                reason: RefusalReason::Revoked,
                retry_after_ms: LEAVING_RETRY_MS,
            };
            self.carry_out(vec![refusal]);
        }
        status
    }

    pub(crate) async fn serve_call(
        self: &Rc<Self>,
        mut reader: HeadReader,
        mut respond: SendResponse<Bytes>,
    ) {
        let received = timeout(SENDER_TIMEOUT, receive_call(&mut reader, self.max_body)).await;
        let Ok(Ok((head, body))) = received else {
            respond.send_reset(Reason::PROTOCOL_ERROR);
            return;
        };
        let call = ServedCall::open(self, &head);
        let reply = match self.admit(&call, &head, &mut respond).await {
            Ok(claim) => {
                call.run(&head, body, claim, respond).await;
                return;
            }
            Err(Some(reply)) => reply,
            Err(None) => return,
        };
        drop(call);
        let Ok(mut stream) = respond.send_response(Response::new(()), false) else { return };
        if let Ok(bytes) = h2io::encode_frame(&reply) {
            drop(h2io::send_all(&mut stream, bytes, true).await);
        }
    }

    /// Brings a call to the point of dispatch, or to an answer that it did not run.
    ///
    /// `Err(None)` is a caller that has gone.
    async fn admit(
        &self,
        call: &ServedCall,
        head: &CallHead,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<Option<HeldClaim>, Option<AnswerHead>> {
        if head.incarnation != self.incarnation || !self.targets.borrow().contains_key(&call.key) {
            return Err(Some(self.refusal(call, RefusalReason::Absent, LEAVING_RETRY_MS)));
        }
        if !self.ledger.borrow_mut().arrive(self.clock.now(), head.call) {
            return Err(Some(self.refusal(call, RefusalReason::Revoked, LEAVING_RETRY_MS)));
        }
        self.learn_suspects(&[SuspectUpdate { digest: head.digest, record: head.suspect }]);
        let turn = self.wait_alone(call).await;
        let turn = turn.map_err(|reason| {
            self.bury(call);
            Some(self.refusal(call, reason, LEAVING_RETRY_MS))
        })?;
        call.turn.replace(turn);
        let signal = self.enqueue(call, head);
        let started = tokio::select! {
            signal = signal => signal.unwrap_or(Err((RefusalReason::Leaving, LEAVING_RETRY_MS))),
            _ = poll_fn(|cx| respond.poll_reset(cx)) => {
                self.bury(call);
                return Err(None);
            }
        };
        if let Err((reason, retry_after_ms)) = started {
            self.bury(call);
            return Err(Some(self.refusal(call, reason, retry_after_ms)));
        }
        call.started.set(Some(self.clock.now()));
        let claim = match &head.claim {
            Some(claim) => Some(self.claim(call, head, claim).await.map_err(|reply| {
                self.bury(call);
                Some(reply)
            })?),
            None => None,
        };
        let in_time = self.clock.now() < call.deadline;
        // The last look: what became known while the call waited holds for it, too.
        let harmless = self.begin_run(call);
        if harmless.is_ok() && in_time && self.ledger.borrow_mut().dispatch(head.call) {
            return Ok(claim);
        }
        self.end_run(call, RunEnd::NotRun);
        if let Some(claim) = claim {
            self.write(TableWrite { key: claim.key, expect: Some(claim.version), value: None });
        }
        self.bury(call);
        let late = if in_time { RefusalReason::Revoked } else { RefusalReason::TooLate };
        let reason = harmless.err().unwrap_or(late);
        Err(Some(self.refusal(call, reason, LEAVING_RETRY_MS)))
    }

    fn enqueue(&self, call: &ServedCall, head: &CallHead) -> oneshot::Receiver<StartSignal> {
        let (waiter, signal) = oneshot::channel();
        self.waiters.borrow_mut().insert(head.call, waiter);
        call.entered.set(true);
        let waiting = WaitingCall {
            call: head.call,
            account: head.account.clone(),
            share: head.share,
            priority: head.priority,
            deadline: call.deadline,
            give_up: call.deadline.min(call.give_up),
            work_us: head.work_us,
            last: head.last,
        };
        if let Some(target) = self.targets.borrow_mut().get_mut(&call.key) {
            target.used = self.clock.now();
        }
        self.step_queue(&call.key, AdmissionEvent::Arrive(waiting));
        signal
    }

    /// Makes sure that a call that was not dispatched never will be.
    fn bury(&self, call: &ServedCall) {
        self.waiters.borrow_mut().remove(&call.call);
        self.ledger.borrow_mut().revoke(self.clock.now(), call.call);
    }

    /// Writes the claim of a keyed call; the call holds its slot meanwhile.
    async fn claim(
        &self,
        call: &ServedCall,
        head: &CallHead,
        claim: &KeyClaim,
    ) -> Result<HeldClaim, AnswerHead> {
        let Some(place) = ClaimPlace::take(call) else {
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
        let (reply, answer) = oneshot::channel();
        let request = ClaimRequest {
            key: claim.row.clone(),
            row: row.clone(),
            expect: claim.takeover.unwrap_or(0),
            reply,
        };
        let down = || self.refusal(call, RefusalReason::PlatformDown, PLATFORM_RETRY_MS);
        self.rings.platform.push(PlatformEvent::Claim(request)).map_err(|_full| down())?;
        let left = call.deadline.since(self.clock.now()).duration();
        let answer = timeout(CLAIM_TIMEOUT.min(left), answer).await;
        drop(place);
        match answer {
            Ok(Ok(ClaimReply::Held(version))) => {
                Ok(HeldClaim { key: claim.row.clone(), version, row })
            }
            Ok(Ok(ClaimReply::Found { row, version })) => {
                Err(AnswerHead::Claimed { call: head.call, row, version })
            }
            _ => Err(down()),
        }
    }
}

async fn receive_call(
    reader: &mut HeadReader,
    max_body: usize,
) -> Result<(CallHead, Bytes), StreamError> {
    let head: CallHead = reader.head().await?;
    let length = head.body_len as usize;
    if length > max_body {
        return Err(StreamError::EndedEarly);
    }
    let body = reader.body(length).await?;
    Ok((head, body))
}
