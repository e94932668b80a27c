//! An entry reports a call as not run, with a time to retry, whenever its guard provably kept it
//! from every target, and as unknown otherwise. The test plays the guard of the only target.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use common::guard_wire::{FrameReader, frame};
use common::hosted::{HostedFleet, SAFE_PREFIX, SERVICE, UNSAFE_PREFIX, VIRTUAL_HOST};
use common::{ephemeral_address, eventually};
use h2::Reason;
use h2::server::SendResponse;
use http::{Request, Response};
use railspan::{
    AnswerHead, CallHead, CallStatus, LoadReport, RefusalReason, RevokeHead, RevokeReply,
    SuspectRecord,
};
use railspan_standins::{FaultyLink, HostedResponse, HostedTarget, hosted_call};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::Notify;

/// Length of a body that an entry announces, in bytes.
const ANNOUNCED: usize = 200_000;

/// Length of a body that an entry sends with the head of its call, in bytes.
const INLINE: usize = 1_000;

/// Time to the deadline of a call, in milliseconds.
const DEADLINE_MS: u64 = 1_000;

/// Time to the deadline of a call whose target's load is reported late, in milliseconds; an
/// entry waits longer than this for the report.
const SHORT_DEADLINE_MS: u64 = 140;

/// What the fake guard does with each call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Conduct {
    /// Reports its target's load only after the deadline of the call.
    ReportLate,
    /// Resets the stream as refused, without reading it.
    RefuseStream,
    /// Closes the connection once it has the head.
    BreakAfterHead,
    /// Requests the body and closes the connection.
    BreakAfterRequest,
    /// Requests the body and refuses the call without reading it.
    RefuseAfterRequest,
    /// Closes the connection once it has the whole call; answers revocations.
    BreakAfterCall(RevokeStatus),
    /// Never answers the call; answers revocations.
    StaySilent(RevokeStatus),
    /// Requests the body, never reads it, and never answers revocations.
    Stall,
}

/// What the fake guard has seen.
#[derive(Debug, Default)]
struct GuardCounters {
    /// Calls whose head arrived, or whose stream was reset instead.
    heads: AtomicUsize,
    /// Calls that arrived whole.
    received: AtomicUsize,
    revocations: AtomicUsize,
}

/// The reply of the fake guard to revocations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RevokeStatus {
    NotRun,
    Running,
    Unknown,
}

impl RevokeStatus {
    fn status(self) -> CallStatus {
        match self {
            Self::NotRun => CallStatus::NotRun,
            Self::Running => CallStatus::Running,
            Self::Unknown => CallStatus::Unknown,
        }
    }
}

/// Serves the connections of a listener as a guard that behaves as `conduct` says.
async fn serve_guard(listener: TcpListener, conduct: Conduct, counters: Arc<GuardCounters>) {
    loop {
        let (socket, _) = listener.accept().await.expect("accept");
        tokio::spawn(serve_connection(socket, conduct, Arc::clone(&counters)));
    }
}

/// Serves a connection until a stream asks to close it.
async fn serve_connection(socket: TcpStream, conduct: Conduct, counters: Arc<GuardCounters>) {
    let close = Arc::new(Notify::new());
    let Ok(mut connection) = h2::server::handshake(socket).await else { return };
    loop {
        tokio::select! {
            accepted = connection.accept() => {
                let Some(Ok((request, respond))) = accepted else { return };
                let signals = (Arc::clone(&close), Arc::clone(&counters));
                tokio::spawn(serve_stream(request, respond, conduct, signals));
            }
            () = close.notified() => return,
        }
    }
}

async fn serve_stream(
    request: Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    conduct: Conduct,
    (close, counters): (Arc<Notify>, Arc<GuardCounters>),
) {
    let path = request.uri().path().to_owned();
    let mut reader = FrameReader::open(request.into_body());
    let answer = |respond: &mut SendResponse<Bytes>, bytes: Bytes, end: bool| {
        let mut stream = respond.send_response(Response::new(()), false).expect("response");
        stream.send_data(bytes, end).expect("data");
        stream
    };
    if path == "/watch" {
        if conduct == Conduct::ReportLate {
            tokio::time::sleep(Duration::from_millis(SHORT_DEADLINE_MS + 50)).await;
        }
        let load = LoadReport { slots: 4, sequence: 1, ..LoadReport::default() };
        let _stream = answer(&mut respond, frame(&load), false);
        return std::future::pending().await;
    }
    if path == "/revoke" {
        let _head: Option<RevokeHead> = reader.head().await;
        counters.revocations.fetch_add(1, Ordering::Relaxed);
        match conduct {
            Conduct::BreakAfterCall(reply) | Conduct::StaySilent(reply) => {
                drop(answer(&mut respond, frame(&RevokeReply { status: reply.status() }), true));
            }
            _ => std::future::pending().await,
        }
        return;
    }
    if conduct == Conduct::RefuseStream {
        counters.heads.fetch_add(1, Ordering::Relaxed);
        return respond.send_reset(Reason::REFUSED_STREAM);
    }
    let Some(head) = reader.head::<CallHead>().await else { return };
    counters.heads.fetch_add(1, Ordering::Relaxed);
    let call = head.call;
    if conduct == Conduct::BreakAfterHead {
        close.notify_one();
        return std::future::pending().await;
    }
    let request_body = frame(&AnswerHead::SendBody { call });
    let mut stream = head.body_follows.then(|| answer(&mut respond, request_body, false));
    match conduct {
        Conduct::BreakAfterRequest => {
            tokio::time::sleep(Duration::from_millis(100)).await;
            close.notify_one();
        }
        Conduct::RefuseAfterRequest => {
            let refused = AnswerHead::Refused {
                call,
                reason: RefusalReason::Leaving,
                retry_after_ms: 7_000,
                load: LoadReport::default(),
                suspect: SuspectRecord::default(),
                nested: false,
            };
            let stream = stream.as_mut().expect("announced");
            stream.send_data(frame(&refused), true).expect("refusal");
        }
        Conduct::BreakAfterCall(_) => {
            reader.bytes(head.body_len as usize).await;
            counters.received.fetch_add(1, Ordering::Relaxed);
            close.notify_one();
        }
        Conduct::StaySilent(_) => {
            reader.bytes(head.body_len as usize).await;
            counters.received.fetch_add(1, Ordering::Relaxed);
        }
        _ => {}
    }
    // An end of this task would reset the stream before the connection is closed.
    std::future::pending::<()>().await;
}

/// Plays a guard that answers `/watch` and closes the connection when a call arrives, stating that
/// it processed only the first stream, as a daemon that stops does to a stream it did not accept.
///
/// Speaks in raw frames, since `h2` accepts each stream that it reads.
async fn serve_going_away(listener: TcpListener, counters: Arc<GuardCounters>) {
    const DATA: u8 = 0;
    const HEADERS: u8 = 1;
    const SETTINGS: u8 = 4;
    const GOAWAY: u8 = 7;
    /// Length above which a message is a call with its body and not a watch, in bytes.
    const CALL_BYTES: usize = 500;
    let raw = |kind: u8, flags: u8, stream: u32, payload: &[u8]| {
        let length = (payload.len() as u32).to_be_bytes();
        [&length[1..], &[kind, flags], &stream.to_be_bytes(), payload].concat()
    };
    loop {
        let (mut socket, _) = listener.accept().await.expect("accept");
        let mut preface = [0; 24];
        socket.read_exact(&mut preface).await.expect("preface");
        socket.write_all(&raw(SETTINGS, 0, 0, &[])).await.expect("settings");
        loop {
            let mut head = [0; 9];
            if socket.read_exact(&mut head).await.is_err() {
                break;
            }
            let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
            let stream = u32::from_be_bytes(head[5..].try_into().expect("stream"));
            let mut payload = vec![0; length];
            socket.read_exact(&mut payload).await.expect("payload");
            if head[3] == DATA && length > CALL_BYTES {
                counters.heads.fetch_add(1, Ordering::Relaxed);
                let last_stream_and_reason = [0, 0, 0, 1, 0, 0, 0, 0];
                let goaway = raw(GOAWAY, 0, 0, &last_stream_and_reason);
                socket.write_all(&goaway).await.expect("goaway");
                break;
            }
            if head[3] == DATA && stream == 1 {
                // The byte is the header field `:status: 200`.
                let load = LoadReport { slots: 4, sequence: 1, ..LoadReport::default() };
                let status = raw(HEADERS, 4, stream, &[0x88]);
                let report = raw(DATA, 0, stream, &frame(&load));
                socket.write_all(&[status, report].concat()).await.expect("report");
            }
        }
    }
}

/// A fleet whose only targets are behind a guard that the test plays.
struct EntryFleet {
    fleet: HostedFleet,
    /// What the guard has seen.
    counters: Arc<GuardCounters>,
    /// Runs the guard.
    _runtime: Runtime,
}

impl EntryFleet {
    /// Starts a fleet of an entry and `targets` targets, whose guard is at `guard`.
    fn spawn(runtime: Runtime, guard: SocketAddr, targets: usize) -> Self {
        let mut fleet = HostedFleet::spawn(targets + 1, Duration::from_millis(5));
        for index in 1..=targets {
            let peer_link = FaultyLink::bind(runtime.handle(), true).expect("link");
            fleet.daemons[index].kill().expect("kill");
            let daemon = fleet.start_daemon_advertising(index, guard, peer_link.address());
            peer_link.set_upstream(daemon.endpoints().peer);
            fleet.daemons[index] = daemon;
            fleet.targets[index].send_heartbeats_to(fleet.control(index));
        }
        fleet.wait_for_targets(0, targets + 1);
        assert_eq!(fleet.targets[0].leave(fleet.control(0)).expect("leave"), 200);
        fleet.wait_for_targets(0, targets);
        Self { fleet, counters: Arc::default(), _runtime: runtime }
    }

    /// Starts a fleet whose only target has a guard that behaves as `conduct` says.
    fn with_guard(conduct: Conduct) -> Self {
        Self::with_targets(conduct, 1)
    }

    /// Starts a fleet whose targets have a guard that behaves as `conduct` says.
    fn with_targets(conduct: Conduct, targets: usize) -> Self {
        let runtime = Runtime::new().expect("runtime");
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("listener");
        let guard = listener.local_addr().expect("address");
        let counters = Arc::<GuardCounters>::default();
        runtime.spawn(serve_guard(listener, conduct, Arc::clone(&counters)));
        Self { counters, ..Self::spawn(runtime, guard, targets) }
    }

    /// Sends a call that must not be repeated, with a body of `length` bytes.
    fn call(&self, length: usize, deadline_ms: u64) -> HostedResponse {
        let deadline = deadline_ms.to_string();
        let headers =
            [("Host", VIRTUAL_HOST), ("X-Request-Id", "call"), ("X-Deadline-Ms", &deadline)];
        let caller = self.fleet.daemons[0].endpoints().caller;
        let path = format!("{UNSAFE_PREFIX}call");
        hosted_call(caller, "POST", &path, &headers, &vec![b'x'; length]).expect("answer")
    }

    /// Sends calls until one arrives at the guard; returns its answer.
    ///
    /// The entry may still have the address of the guard that was replaced, and on a busy machine
    /// it may give up a call before it sends it.
    fn call_that_arrives(&self, length: usize) -> HostedResponse {
        let mut answer = None;
        eventually("a call arrives at the guard", || {
            answer = Some(self.call(length, DEADLINE_MS));
            self.counters.heads.load(Ordering::Relaxed) > 0
        });
        assert_eq!(self.counters.heads.load(Ordering::Relaxed), 1, "a call arrives once");
        answer.expect("answer")
    }
}

/// Returns whether an answer states a reason.
fn has_reason(answer: &HostedResponse, reason: &str) -> bool {
    String::from_utf8_lossy(&answer.body).contains(&format!("\"reason\":\"{reason}\""))
}

#[track_caller]
fn assert_not_run(answer: &HostedResponse, reason: &str) {
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(has_reason(answer, reason), "not {reason}: {answer:?}");
    assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
}

#[test_case(Conduct::RefuseStream, INLINE, "unreachable"; "reset before the head was read")]
#[test_case(Conduct::BreakAfterHead, ANNOUNCED, "unreachable"; "connection lost before the body was requested")]
#[test_case(Conduct::BreakAfterRequest, ANNOUNCED, "unreachable"; "connection lost within the body")]
#[test_case(Conduct::Stall, ANNOUNCED, "revoked"; "deadline passed within the body")]
#[test_case(Conduct::BreakAfterCall(RevokeStatus::NotRun), INLINE, "revoked"; "connection lost while waiting")]
fn a_call_that_its_guard_did_not_dispatch_is_not_run(
    conduct: Conduct,
    length: usize,
    reason: &str,
) {
    let fleet = EntryFleet::with_guard(conduct);
    assert_not_run(&fleet.call_that_arrives(length), reason);
}

#[test]
fn a_call_whose_deadline_passes_before_it_is_sent_is_not_run() {
    let fleet = EntryFleet::with_guard(Conduct::ReportLate);
    eventually("the load is requested and not reported in time", || {
        let answer = fleet.call(INLINE, SHORT_DEADLINE_MS);
        assert_eq!(fleet.counters.heads.load(Ordering::Relaxed), 0, "the call was not sent");
        answer.status == 503
            && answer.headers.contains_key("retry-after")
            && has_reason(&answer, "too_late")
    });
}

/// Repeats the call: the reply has 40 ms, within which a busy machine may delay it.
#[test]
fn a_call_whose_deadline_passes_while_it_waits_is_not_run() {
    let fleet = EntryFleet::with_guard(Conduct::StaySilent(RevokeStatus::NotRun));
    eventually("a revocation is confirmed before the deadline", || {
        let answer = fleet.call(INLINE, DEADLINE_MS);
        answer.status == 503 && answer.headers.contains_key("retry-after")
    });
}

/// The revocation of a later attempt could not be confirmed before the deadline.
#[test]
fn a_call_that_was_revoked_at_its_deadline_is_not_sent_again() {
    let fleet = EntryFleet::with_targets(Conduct::StaySilent(RevokeStatus::NotRun), 2);
    fleet.call_that_arrives(INLINE);
    assert_eq!(fleet.counters.received.load(Ordering::Relaxed), 1);
}

/// To ask whether a call ran delays its retry, so it is asked only after the last attempt.
#[test]
fn a_repeatable_call_is_retried_before_its_revocation() {
    let conduct = Conduct::BreakAfterCall(RevokeStatus::Unknown);
    let fleet = EntryFleet::with_targets(conduct, 2);
    let counted = |counter: &AtomicUsize| counter.swap(0, Ordering::Relaxed);
    eventually("both targets receive a call", || {
        let deadline_ms = DEADLINE_MS as u32;
        let answer = fleet.fleet.call_with_deadline(0, SAFE_PREFIX, "call", deadline_ms);
        let (received, revocations) =
            (counted(&fleet.counters.received), counted(&fleet.counters.revocations));
        if received == 2 {
            assert_eq!((answer.expect("answer").status, revocations), (504, 1));
        }
        received == 2
    });
}

#[test]
fn a_refusal_within_the_body_states_the_time_to_retry_of_the_guard() {
    let fleet = EntryFleet::with_guard(Conduct::RefuseAfterRequest);
    // On a busy machine the entry may refuse a call itself before it sends it.
    eventually("the refusal of the guard is delivered", || {
        let answer = fleet.call(ANNOUNCED, DEADLINE_MS);
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
        has_reason(&answer, "leaving") && answer.headers["retry-after"].starts_with('7')
    });
}

/// Repeats the call: the refusal has 40 ms, within which a busy machine may delay it.
#[test]
fn a_call_whose_target_accepts_no_connection_is_not_run() {
    let runtime = Runtime::new().expect("runtime");
    let (full, _connections) = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().expect("socket");
        socket.bind("127.0.0.2:0".parse().expect("address")).expect("bind");
        let listener = socket.listen(1).expect("listen");
        let address = listener.local_addr().expect("address");
        let mut connections = Vec::new();
        // The system drops connection requests once the queue of the listener is full.
        let limit = Duration::from_millis(300);
        while let Ok(open) = tokio::time::timeout(limit, TcpStream::connect(address)).await {
            connections.push(open.expect("connect"));
        }
        (address, (listener, connections))
    });
    let fleet = HostedFleet::spawn(1, Duration::from_millis(5));
    assert_eq!(fleet.targets[0].leave(fleet.control(0)).expect("leave"), 200);
    fleet.wait_for_targets(0, 0);
    let target = HostedTarget::spawn(SERVICE, "full", Duration::from_millis(5)).expect("target");
    target.send_heartbeats_as(full, fleet.control(0));
    fleet.wait_for_targets(0, 1);
    eventually("the guard gives the call up before the deadline", || {
        let answer = fleet.call_with_deadline(0, UNSAFE_PREFIX, "call", 200).expect("answer");
        answer.status == 503 && answer.headers.contains_key("retry-after")
    });
}

#[test]
fn a_call_that_a_stopping_guard_did_not_accept_is_not_run() {
    let runtime = Runtime::new().expect("runtime");
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("listener");
    let guard = listener.local_addr().expect("address");
    let counters = Arc::<GuardCounters>::default();
    runtime.spawn(serve_going_away(listener, Arc::clone(&counters)));
    let fleet = EntryFleet { counters, ..EntryFleet::spawn(runtime, guard, 1) };
    assert_not_run(&fleet.call_that_arrives(INLINE), "unreachable");
}

#[test]
fn a_call_whose_guard_is_gone_before_the_start_is_not_run() {
    // Nothing listens at the address.
    let fleet = EntryFleet::spawn(Runtime::new().expect("runtime"), ephemeral_address(), 1);
    assert_not_run(&fleet.call(INLINE, DEADLINE_MS), "unreachable");
}

#[test_case(Conduct::StaySilent(RevokeStatus::Running); "still running at the deadline")]
#[test_case(Conduct::BreakAfterCall(RevokeStatus::Unknown); "guard replaced after the whole call")]
fn a_call_that_its_guard_received_whole_is_unknown(conduct: Conduct) {
    let fleet = EntryFleet::with_guard(conduct);
    // On a busy machine the entry may give up a call before it sends it.
    eventually("a call reaches the guard", || {
        let received = fleet.counters.received.load(Ordering::Relaxed);
        let answer = fleet.call(INLINE, DEADLINE_MS);
        let was_received = fleet.counters.received.load(Ordering::Relaxed) > received;
        assert!(!was_received || answer.status == 504, "{answer:?}");
        was_received
    });
}
