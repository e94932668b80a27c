//! One call in a guard, from its slot to the record of its outcome.

mod answer_pump;

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use slog::info;
use tokio::sync::OwnedMutexGuard;
use tokio::time::{sleep_until, timeout};

use self::answer_pump::AnswerPump;
use crate::base::call_status::{CallStatus, ClaimRow, ClaimState};
use crate::base::clock::MicroTime;
use crate::base::consts::MAX_DEADLINE_MS;
use crate::base::digest::RequestDigest;
use crate::base::ids::{CallId, ServiceName, TargetName};
use crate::base::wire::CallHead;
use crate::call::guard::GuardDuty;
use crate::call::guard::crashes::RunEnd;
use crate::call::guard::target_call::{self, TargetAnswer};
use crate::call::guard::target_pool::TargetFailure;
use crate::call::headers;
use crate::decide::admission::AdmissionEvent;
use crate::store::table::TableWrite;

/// Time a call that must not repeat may run on after its deadline.
const OVERTIME: Duration = Duration::from_secs(60);

/// One part in this many of a target's slots may wait for the table.
const CLAIM_PART: usize = 3;

/// A claim that the table accepted.
pub(crate) struct HeldClaim {
    pub(crate) key: String,
    pub(crate) version: u64,
    pub(crate) row: ClaimRow,
}

/// Leave to wait for the table while holding a slot; returned when dropped.
pub(crate) struct ClaimPlace<'a>(&'a ServedCall);

impl<'a> ClaimPlace<'a> {
    pub(crate) fn take(call: &'a ServedCall) -> Option<Self> {
        let mut targets = call.duty.targets.borrow_mut();
        let target = targets.get_mut(&call.key)?;
        let places = usize::from(target.announcement.slots).div_ceil(CLAIM_PART).max(2);
        (target.claiming < places).then(|| {
            target.claiming += 1;
            Self(call)
        })
    }
}

impl Drop for ClaimPlace<'_> {
    fn drop(&mut self) {
        if let Some(target) = self.0.duty.targets.borrow_mut().get_mut(&self.0.key) {
            // A target that started again holds nothing of its earlier life.
            target.claiming = target.claiming.saturating_sub(1);
        }
    }
}

/// One call in this guard; leaves the queue when dropped, however it ends.
pub(crate) struct ServedCall {
    duty: Rc<GuardDuty>,
    pub(crate) call: CallId,
    pub(crate) digest: RequestDigest,
    /// The caller's id of the request; empty where callers give none.
    pub(crate) id: String,
    pub(crate) key: (ServiceName, TargetName),
    arrived: MicroTime,
    pub(crate) deadline: MicroTime,
    /// When it is refused if it has no slot yet.
    pub(crate) give_up: MicroTime,
    /// Whether the call is in the queue's care; a copy of another call never is.
    pub(crate) entered: Cell<bool>,
    /// Held while the call is the only one of its kind at its target.
    pub(crate) turn: RefCell<Option<OwnedMutexGuard<()>>>,
    /// When the call got its slot.
    pub(crate) started: Cell<Option<MicroTime>>,
    /// When the target had it, and whether it failed there.
    dispatched: Cell<Option<MicroTime>>,
    failed: Cell<bool>,
}

impl Drop for ServedCall {
    fn drop(&mut self) {
        if !self.entered.get() {
            return;
        }
        let now = self.duty.clock.now();
        let event = match self.started.get() {
            Some(_) => AdmissionEvent::Finish {
                call: self.call,
                took: self.dispatched.get().map(|since| now.since(since)),
                failed: self.failed.get(),
            },
            None => AdmissionEvent::Cancel(self.call),
        };
        self.duty.step_queue(&self.key, event);
    }
}

impl ServedCall {
    pub(crate) fn open(duty: &Rc<GuardDuty>, head: &CallHead) -> Self {
        let id = duty.names.request_id.and_then(|name| headers::find(&head.headers, name));
        let now = duty.clock.now();
        let remaining = u64::from(head.remaining_ms.min(MAX_DEADLINE_MS));
        // Its time began to run when it was sent, not when it came.
        let sent = head.sent.map_or(now, |sent| sent.min(now));
        Self {
            duty: Rc::clone(duty),
            call: head.call,
            digest: head.digest,
            id: id.unwrap_or_default().to_owned(),
            key: (head.service.clone(), head.target.clone()),
            arrived: now,
            deadline: sent + MicroTime::from_millis(remaining),
            give_up: sent + MicroTime::from_millis(u64::from(head.max_wait_ms)),
            entered: Cell::default(),
            turn: RefCell::default(),
            started: Cell::default(),
            dispatched: Cell::default(),
            failed: Cell::default(),
        }
    }

    /// Returns the work that the target did for the call, in microseconds at its
    /// usual speed.
    fn work_us(&self) -> u32 {
        let now = self.duty.clock.now();
        let targets = self.duty.targets.borrow();
        let slowness = targets.get(&self.key).map_or(1.0, |own| own.queue.slowness_of(self.call));
        let ran = self.dispatched.get().map_or(MicroTime(0), |since| now.since(since));
        (ran.0 as f64 / slowness) as u32
    }

    /// Sends the call to the target and its answer back.
    pub(crate) async fn run(
        &self,
        head: &CallHead,
        body: Bytes,
        claim: Option<HeldClaim>,
        mut respond: SendResponse<Bytes>,
    ) {
        let duty = &self.duty;
        duty.metrics.dispatched.inc();
        self.dispatched.set(Some(duty.clock.now()));
        info!(duty.logger, "sent"; "id" => &*self.id, "target" => %self.key.1,
            "waited_us" => duty.clock.now().since(self.arrived).0, "left_us" => self.deadline.since(duty.clock.now()).0);
        let left = self.deadline.since(duty.clock.now()).duration();
        let deadline = tokio::time::Instant::now() + left;
        let mut asked = Box::pin(self.ask_target(head, body));
        let answered = tokio::select! {
            answered = &mut asked => Some(answered),
            _ = poll_fn(|cx| respond.poll_reset(cx)), if head.repeatable => None,
            () = sleep_until(deadline) => None,
        };
        let answered_nothing = answered.is_none();
        let mut pump = AnswerPump { call: self, head, respond: Some(respond), stream: None };
        let status = if let Some(answered) = answered {
            pump.forward(answered).await
        } else {
            pump.lose().await;
            if head.repeatable {
                CallStatus::Unknown
            } else {
                let late = timeout(OVERTIME, asked).await;
                pump.forward(late.unwrap_or(Err(TargetFailure::Broken))).await
            }
        };
        let cancelled = answered_nothing && duty.clock.now() < self.deadline;
        if cancelled {
            // The caller left; that says nothing of the target.
            self.dispatched.set(None);
        } else if status == CallStatus::Unknown {
            self.failed.set(true);
        }
        info!(duty.logger, "ended"; "id" => &*self.id, "digest" => %self.digest, "target" => %self.key.1,
            "status" => status.label(), "failed" => self.failed.get(), "cancelled" => cancelled,
            "took_us" => duty.clock.now().since(self.arrived).0);
        self.duty.end_run(self, Self::run_end(&status));
        self.record(claim, &status);
        let mut ledger = duty.ledger.borrow_mut();
        if head.repeatable {
            ledger.release(duty.clock.now(), self.call, status, self.deadline);
        } else {
            ledger.finish(duty.clock.now(), self.call, status);
        }
    }

    /// Returns what the run's end tells of its request. A target's own failure tells
    /// nothing: it may give up a call at its deadline that would have ended it.
    const fn run_end(status: &CallStatus) -> RunEnd {
        match status {
            CallStatus::Answered(answer) if answer.status < 500 => RunEnd::Answered,
            CallStatus::NotRun => RunEnd::NotRun,
            _ => RunEnd::Unanswered,
        }
    }

    /// Sends the call to the target and reads the start of its answer.
    async fn ask_target(
        &self,
        head: &CallHead,
        body: Bytes,
    ) -> Result<TargetAnswer, TargetFailure> {
        let duty = &self.duty;
        let address = {
            let targets = duty.targets.borrow();
            targets.get(&self.key).map(|target| target.announcement.address)
        };
        let address = address.ok_or(TargetFailure::NotSent)?;
        let make_request = || {
            let left_ms = self.deadline.since(duty.clock.now()).duration().as_millis() as u32;
            target_call::make_request(head, body.clone(), address, left_ms, duty.names)
        };
        let sent = duty.pool.send(address, make_request, head.repeatable).await;
        if matches!(sent, Err(TargetFailure::NotSent)) {
            duty.doubt(&self.key);
            duty.look_after(&self.key);
        }
        let (response, connection) = sent?;
        if let Some(percent) = target_call::slowness(response.headers(), duty.names) {
            duty.note_slowness(&self.key, percent);
        }
        target_call::read_start(response, connection).await
    }

    /// Records the outcome for repeats; a call that did not run frees its key.
    fn record(&self, claim: Option<HeldClaim>, status: &CallStatus) {
        let Some(HeldClaim { key, version, mut row }) = claim else { return };
        row.state = match status {
            CallStatus::Answered(answer) => ClaimState::Answered(answer.clone()),
            CallStatus::NotRun => {
                self.duty.write(TableWrite { key, expect: Some(version), value: None });
                return;
            }
            CallStatus::Running | CallStatus::Unknown => ClaimState::Unknown,
        };
        let value = serde_json::to_string(&row).ok();
        self.duty.write(TableWrite { key, expect: Some(version), value });
    }
}
