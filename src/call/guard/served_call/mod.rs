//! A call at its guard, from its arrival to the record of its outcome.

mod answer_relay;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::sync::OwnedMutexGuard;
use tokio::time::{Instant, sleep_until, timeout_at};

use self::answer_relay::AnswerRelay;
use crate::base::call_status::{CallStatus, ClaimRow, ClaimState};
use crate::base::clock::MicroTime;
use crate::base::consts::{ANSWER_MARGIN, MAX_DEADLINE_MS, REVOKE_MARGIN};
use crate::base::digest::RequestDigest;
use crate::base::ids::{AccountName, CallId, ServiceName, TargetName};
use crate::base::wire::{CallHead, RefusalReason};
use crate::call::call_body::CallBody;
use crate::call::guard::GuardDuty;
use crate::call::guard::answer_stream::AnswerStream;
use crate::call::guard::crash_detection::RunOutcome;
use crate::call::guard::nested::CallFinding;
use crate::call::guard::target_call::{self, AnswerClass, TargetAnswer};
use crate::call::guard::target_connections::TargetFailure;
use crate::call::headers;
use crate::decide::admission::AdmissionEvent;
use crate::decide::rate_limit::RateSource;
use crate::store::table::TableWrite;

/// Time for which the answer to a non-repeatable call is awaited after its deadline, and for which
/// the call holds its slot and its memory then.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Divisor for the number of a target's slots that may wait for the table: one in three, but at
/// least two.
const CLAIM_SLOTS_DIVISOR: usize = 3;

/// A claim that the table accepted.
pub(crate) struct HeldClaim {
    pub(crate) key: String,
    pub(crate) version: u64,
    pub(crate) row: ClaimRow,
}

/// Permit to hold a slot while waiting for the table; released when dropped.
pub(crate) struct ClaimPermit<'a>(&'a ServedCall);

impl<'a> ClaimPermit<'a> {
    /// Returns a permit, or `None` if too many of the target's slots wait for the table.
    pub(crate) fn acquire(call: &'a ServedCall) -> Option<Self> {
        let mut targets = call.duty.targets.borrow_mut();
        let target = targets.get_mut(&call.target_key)?;
        let permits = usize::from(target.announcement.slots).div_ceil(CLAIM_SLOTS_DIVISOR).max(2);
        (target.claiming < permits).then(|| {
            target.claiming += 1;
            Self(call)
        })
    }
}

impl Drop for ClaimPermit<'_> {
    fn drop(&mut self) {
        if let Some(target) = self.0.duty.targets.borrow_mut().get_mut(&self.0.target_key) {
            // Can't underflow, since `LocalTarget::restart` keeps the count when the target
            // restarts; saturates as a precaution.
            target.claiming = target.claiming.saturating_sub(1);
        }
    }
}

/// A call at this guard; dropping it removes it from the admission queue.
pub(crate) struct ServedCall {
    pub(super) duty: Rc<GuardDuty>,
    pub(crate) call_id: CallId,
    pub(crate) digest: RequestDigest,
    /// The caller's request id; empty if the caller gave none.
    pub(crate) request_id: String,
    pub(crate) target_key: (ServiceName, TargetName),
    /// Client account that the call competes for; empty if there is none.
    pub(crate) account: AccountName,
    /// Whether a target made the call.
    pub(crate) nested: bool,
    /// Whether only targets call the route of this call, as far as known.
    pub(crate) nested_route: bool,
    arrived_at: MicroTime,
    /// Time at which the entry sent the call, as it stated it.
    pub(crate) sent: Option<MicroTime>,
    pub(crate) deadline: MicroTime,
    /// Time at which the call is refused if it has no slot by then.
    pub(crate) queue_deadline: MicroTime,
    /// Whether the call was put in the admission queue. A late copy of an earlier call never is,
    /// so that dropping the copy doesn't remove the earlier call.
    pub(crate) enqueued: Cell<bool>,
    /// Lock of the target's exclusive run, if the call needs it.
    pub(crate) exclusive_lock: RefCell<Option<OwnedMutexGuard<()>>>,
    /// Time at which the call got its slot.
    pub(crate) started_at: Cell<Option<MicroTime>>,
    /// Time at which the call was sent to the target.
    dispatched_at: Cell<Option<MicroTime>>,
    /// Whether the request for the target was made, so that the target may get it.
    request_made: Cell<bool>,
    /// Whether the call failed at the target, which counts against the target.
    failed: Cell<bool>,
}

impl Drop for ServedCall {
    fn drop(&mut self) {
        if !self.enqueued.get() {
            return;
        }
        let now = self.duty.clock.now();
        let event = match self.started_at.get() {
            Some(_) => AdmissionEvent::Finish {
                call: self.call_id,
                took: self.dispatched_at.get().map(|since| now.since(since)),
                failed: self.failed.get(),
            },
            None => AdmissionEvent::Cancel(self.call_id),
        };
        self.duty.step_queue(&self.target_key, event);
    }
}

impl ServedCall {
    pub(crate) fn open(duty: &Rc<GuardDuty>, head: &CallHead) -> Self {
        let request_id =
            duty.header_names.request_id.and_then(|name| headers::find_str(&head.headers, name));
        let now = duty.clock.now();
        let remaining = u64::from(head.remaining_ms.min(MAX_DEADLINE_MS));
        // The time until the deadline counts from when the entry sent the call, not from
        // its arrival.
        let sent_at = head.sent.map_or(now, |sent| sent.min(now));
        let deadline = sent_at + MicroTime::from_millis(remaining);
        let queue_deadline = sent_at + MicroTime::from_millis(u64::from(head.max_wait_ms));
        let CallFinding { nested, nested_route } = duty.find_nested(head);
        Self {
            duty: Rc::clone(duty),
            call_id: head.call,
            digest: head.digest,
            request_id: request_id.unwrap_or_default().to_owned(),
            target_key: (head.service.clone(), head.target.clone()),
            account: head.account.clone(),
            nested,
            nested_route,
            arrived_at: now,
            sent: head.sent,
            deadline,
            queue_deadline: if nested && duty.nested_first {
                queue_deadline.max(GuardDuty::nested_queue_deadline(head, deadline))
            } else {
                queue_deadline
            },
            enqueued: Cell::default(),
            exclusive_lock: RefCell::default(),
            started_at: Cell::default(),
            dispatched_at: Cell::default(),
            request_made: Cell::default(),
            failed: Cell::default(),
        }
    }

    /// Returns the work that the target did for the call, in microseconds at its normal
    /// speed.
    fn work_us(&self) -> u32 {
        let now = self.duty.clock.now();
        let targets = self.duty.targets.borrow();
        let slowness = targets
            .get(&self.target_key)
            .map_or(1.0, |target| target.queue.slowness_of(self.call_id));
        let ran = self.dispatched_at.get().map_or(MicroTime(0), |since| now.since(since));
        (ran.0 as f64 / slowness) as u32
    }

    /// Returns whether the call failed at the target; `None` if it was not sent or its caller
    /// cancelled it.
    pub(crate) fn failure(&self) -> Option<bool> {
        self.dispatched_at.get().map(|_sent| self.failed.get())
    }

    /// Sends the call to the target, relays its answer, and records the outcome.
    pub(crate) async fn run(
        &self,
        head: &CallHead,
        body: CallBody,
        claim: Option<HeldClaim>,
        mut answer: AnswerStream,
    ) {
        let duty = &self.duty;
        duty.metrics.dispatched.inc();
        self.dispatched_at.set(Some(duty.clock.now()));
        info!(duty.logger, "call sent to target"; "id" => &*self.request_id,
            "target" => %self.target_key.1,
            "waited_us" => duty.clock.now().since(self.arrived_at).0,
            "left_us" => self.deadline.since(duty.clock.now()).0);
        let remaining = self.deadline.since(duty.clock.now()).duration();
        let deadline = Instant::now() + remaining;
        // A call for which no connection is open by then is given up early enough that the entry
        // learns before the deadline that it did not run.
        let unsent_deadline =
            Instant::now() + remaining.saturating_sub(REVOKE_MARGIN.min(remaining / 4));
        let mut exchange = Box::pin(self.call_target(head, body));
        let answered = tokio::select! {
            answered = &mut exchange => Some(answered),
            () = answer.wait_for_reset(), if head.repeatable => None,
            () = async {
                sleep_until(unsent_deadline).await;
                if self.request_made.get() {
                    sleep_until(deadline).await;
                }
            } => None,
        };
        let unanswered = answered.is_none();
        if unanswered && self.request_made.get() && duty.is_own_service(&self.target_key.0) {
            duty.record_abandoned_run();
        }
        let mut relay = AnswerRelay {
            call: self,
            head,
            unsent: Some(answer),
            stream: None,
            ends_at: deadline + ANSWER_MARGIN,
        };
        let status = if let Some(answered) = answered {
            relay.forward(answered).await
        } else if !self.request_made.get() {
            // No connection to the target was open in time.
            drop(exchange);
            relay.refuse(RefusalReason::TooLate).await
        } else {
            relay.report_lost().await;
            if head.repeatable {
                CallStatus::Unknown
            } else {
                // Counted from now: the guard may have been suspended past the deadline.
                relay.ends_at = Instant::now() + LATE_ANSWER_TIMEOUT;
                let late = timeout_at(relay.ends_at, exchange).await;
                relay.forward(late.unwrap_or(Err(TargetFailure::Broken))).await
            }
        };
        let cancelled = unanswered && duty.clock.now() < self.deadline;
        if cancelled {
            // The caller cancelled the call, which says nothing about the target.
            self.dispatched_at.set(None);
        } else if status == CallStatus::Unknown {
            self.failed.set(true);
        }
        info!(duty.logger, "call ended"; "id" => &*self.request_id, "digest" => %self.digest,
            "target" => %self.target_key.1, "status" => status.label(),
            "failed" => self.failed.get(),
            "cancelled" => cancelled, "took_us" => duty.clock.now().since(self.arrived_at).0);
        self.duty.end_run(self, Self::run_outcome(&status));
        self.record(claim, &status);
        let mut ledger = duty.ledger.borrow_mut();
        if head.repeatable {
            ledger.finish_repeatable(duty.clock.now(), self.call_id, status, self.deadline);
        } else {
            ledger.finish(duty.clock.now(), self.call_id, status);
        }
    }

    /// Returns the run's outcome as it matters for suspicion of the request.
    ///
    /// A server error doesn't clear the request: the target may have aborted the call at
    /// its deadline, before the call could crash it.
    const fn run_outcome(status: &CallStatus) -> RunOutcome {
        match status {
            CallStatus::Answered(answer) if answer.status < 500 => RunOutcome::Answered,
            CallStatus::NotRun => RunOutcome::NotRun,
            _ => RunOutcome::Unanswered,
        }
    }

    /// Sends the call to the target and reads the start of its answer.
    async fn call_target(
        &self,
        head: &CallHead,
        body: CallBody,
    ) -> Result<TargetAnswer, TargetFailure> {
        let duty = &self.duty;
        let address = {
            let targets = duty.targets.borrow();
            targets.get(&self.target_key).map(|target| target.announcement.address)
        };
        let address = address.ok_or(TargetFailure::NotSent)?;
        let make_request = || {
            self.request_made.set(true);
            let remaining_ms = self.deadline.since(duty.clock.now()).duration().as_millis() as u32;
            target_call::make_request(head, &body, address, remaining_ms, duty.header_names)
        };
        let sent = duty.connections.send(address, make_request, head.repeatable).await;
        if matches!(sent, Err(TargetFailure::NotSent)) {
            duty.assume_cold(&self.target_key);
            duty.check_for_crash(&self.target_key);
        }
        let (response, connection) = sent?;
        let class = target_call::classify_answer(
            head,
            response.status(),
            response.headers(),
            duty.header_names,
        );
        if matches!(class, AnswerClass::Answer | AnswerClass::NotRun) {
            let headers = response.headers();
            if let Some(percent) = target_call::parse_slowness(headers, duty.header_names) {
                duty.update_slowness(&self.target_key, percent);
            }
            duty.note_statements(&self.target_key, headers, RateSource::Call);
        }
        target_call::read_start(response, connection, &duty.answer_room).await
    }

    /// Writes the outcome of a call with an idempotency key to its claim, for repeats of the
    /// call; a call that did not run releases its key.
    fn record(&self, claim: Option<HeldClaim>, status: &CallStatus) {
        let Some(HeldClaim { key, version, mut row }) = claim else { return };
        row.state = match status {
            CallStatus::Answered(answer) => ClaimState::Answered(answer.clone()),
            CallStatus::NotRun => {
                self.duty.write_row(TableWrite {
                    key,
                    expected_version: Some(version),
                    value: None,
                });
                return;
            }
            CallStatus::Running | CallStatus::Unknown => ClaimState::Unknown,
        };
        let value = serde_json::to_string(&row).ok();
        self.duty.write_row(TableWrite { key, expected_version: Some(version), value });
    }
}
