//! One call in a guard, from its slot to the record of its outcome.

use std::cell::Cell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, SendStream};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{sleep_until, timeout};

use crate::admission::AdmissionEvent;
use crate::clock::MicroTime;
use crate::consts::{BODY_STALL, MAX_DEADLINE_MS, MAX_RECORDED_BODY};
use crate::guard::{GuardDuty, LEAVING_RETRY_MS};
use crate::h2io;
use crate::headers;
use crate::ids::{CallId, ServiceName, TargetName};
use crate::outcome::{CallFate, ClaimRow, ClaimState, RecordedAnswer};
use crate::table::TableWrite;
use crate::wire::{AnswerHead, CallHead, RefusalReason};

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
            target.claiming -= 1;
        }
    }
}

/// One call in this guard; leaves the door when dropped, however it ends.
pub(crate) struct ServedCall {
    duty: Rc<GuardDuty>,
    pub(crate) call: CallId,
    pub(crate) key: (ServiceName, TargetName),
    pub(crate) deadline: MicroTime,
    /// Whether the call is in the door's care; a copy of another call never is.
    pub(crate) entered: Cell<bool>,
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
        self.duty.step_door(&self.key, event);
    }
}

impl ServedCall {
    pub(crate) fn open(duty: &Rc<GuardDuty>, head: &CallHead) -> Self {
        let remaining = u64::from(head.remaining_ms.min(MAX_DEADLINE_MS));
        Self {
            duty: Rc::clone(duty),
            call: head.call,
            key: (head.service.clone(), head.target.clone()),
            deadline: duty.clock.now() + MicroTime::from_millis(remaining),
            entered: Cell::default(),
            started: Cell::default(),
            dispatched: Cell::default(),
            failed: Cell::default(),
        }
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
        let fate = if let Some(answered) = answered {
            pump.forward(answered).await
        } else {
            pump.lose().await;
            if head.repeatable {
                CallFate::Unknown
            } else {
                let late = timeout(OVERTIME, asked).await;
                pump.forward(late.unwrap_or(Err(TargetFailure::Broken))).await
            }
        };
        let cancelled = answered_nothing && duty.clock.now() < self.deadline;
        if cancelled {
            // The caller left; that says nothing of the target.
            self.dispatched.set(None);
        } else if fate == CallFate::Unknown {
            self.failed.set(true);
        }
        self.record(claim, &fate);
        let mut ledger = duty.ledger.borrow_mut();
        if head.repeatable {
            ledger.release(self.call);
        } else {
            ledger.finish(duty.clock.now(), self.call, fate);
        }
    }

    async fn ask_target(
        &self,
        head: &CallHead,
        body: Bytes,
    ) -> Result<Response<Incoming>, TargetFailure> {
        let address = {
            let targets = self.duty.targets.borrow();
            targets.get(&self.key).map(|target| target.announcement.address)
        };
        let address = address.ok_or(TargetFailure::NotSent)?;
        let request = build_request(head, body, address).ok_or(TargetFailure::NotSent)?;
        self.duty.client.request(request).await.map_err(|error| {
            if error.is_connect() { TargetFailure::NotSent } else { TargetFailure::Broken }
        })
    }

    /// Records the outcome for repeats; a call that did not run frees its key.
    fn record(&self, claim: Option<HeldClaim>, fate: &CallFate) {
        let Some(HeldClaim { key, version, mut row }) = claim else { return };
        row.state = match fate {
            CallFate::Answered(answer) => ClaimState::Answered(answer.clone()),
            CallFate::NotRun => {
                self.duty.write(TableWrite { key, expect: Some(version), value: None });
                return;
            }
            CallFate::Running | CallFate::Unknown => ClaimState::Unknown,
        };
        let value = serde_json::to_string(&row).ok();
        self.duty.write(TableWrite { key, expect: Some(version), value });
    }
}

/// Why a target gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetFailure {
    /// Not a byte of the call went to it.
    NotSent,
    /// It may have run the call.
    Broken,
}

/// Moves a target's answer to the entry, and keeps what has to be recorded.
struct AnswerPump<'a> {
    call: &'a ServedCall,
    head: &'a CallHead,
    /// Taken when the answer's head goes out.
    respond: Option<SendResponse<Bytes>>,
    /// Nothing once the entry has gone.
    stream: Option<SendStream<Bytes>>,
}

impl AnswerPump<'_> {
    /// Tells the entry that no answer will come.
    async fn lose(&mut self) {
        let load = self.call.duty.load(&self.call.key);
        self.send_head(&AnswerHead::Lost { call: self.call.call, load }, true).await;
        self.stream = None;
    }

    /// Sends the answer; returns what became of the call.
    async fn forward(&mut self, answered: Result<Response<Incoming>, TargetFailure>) -> CallFate {
        match answered {
            Ok(response) => self.forward_response(response).await,
            Err(TargetFailure::NotSent) => {
                let duty = &self.call.duty;
                self.call.dispatched.set(None);
                let refusal = duty.refusal(self.call, RefusalReason::Unreachable, LEAVING_RETRY_MS);
                self.send_head(&refusal, true).await;
                CallFate::NotRun
            }
            Err(TargetFailure::Broken) => {
                self.lose().await;
                CallFate::Unknown
            }
        }
    }

    async fn forward_response(&mut self, response: Response<Incoming>) -> CallFate {
        let (parts, mut body) = response.into_parts();
        self.call.failed.set(parts.status.is_server_error());
        let mut recorded = RecordedAnswer {
            status: parts.status.as_u16(),
            content_type: content_type(&parts.headers),
            body: Some(Vec::new()),
        };
        let length = answer_length(self.head, parts.status, &parts.headers);
        let answer = AnswerHead::Answered {
            call: self.call.call,
            status: parts.status.as_u16(),
            headers: headers::forward_answer(&parts.headers),
            length,
            load: self.call.duty.load(&self.call.key),
        };
        self.send_head(&answer, false).await;
        loop {
            let Ok(next) = timeout(BODY_STALL, body.frame()).await else {
                self.reset();
                return CallFate::Unknown;
            };
            let Some(frame) = next else { break };
            let Ok(frame) = frame else {
                self.reset();
                return CallFate::Unknown;
            };
            let Ok(data) = frame.into_data() else { continue };
            keep(&mut recorded, &data);
            if !self.send_data(data).await && self.head.repeatable {
                return CallFate::Unknown;
            }
        }
        if let Some(mut stream) = self.stream.take() {
            drop(h2io::send_all(&mut stream, Bytes::new(), true).await);
        }
        CallFate::Answered(recorded)
    }

    async fn send_head(&mut self, answer: &AnswerHead, end: bool) {
        let Some(mut respond) = self.respond.take() else { return };
        let Ok(bytes) = h2io::frame(answer) else {
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
        let sent = timeout(BODY_STALL, h2io::send_all(stream, data, false)).await;
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

fn build_request(
    head: &CallHead,
    body: Bytes,
    address: SocketAddr,
) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(head.method.as_str())
        .uri(format!("http://{address}{}", head.path))
        .header(headers::CALL, head.call.to_string())
        .header(headers::DEADLINE_MS, head.remaining_ms)
        .header(headers::ACCOUNT, head.account.as_str())
        .header(headers::WORTH, u16::from(head.priority.worth))
        .header(headers::URGENT, u16::from(head.priority.urgent));
    for (name, value) in &head.headers {
        builder = builder.header(name.as_str(), value.as_slice());
    }
    builder.body(Full::new(body)).ok()
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
