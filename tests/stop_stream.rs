//! A planned stop under a stream of new requests that goes on until the process is gone: every request
//! that was passed on gets its answer, and one that gets none never ran.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::hosted::{HostedFleet, SAFE_PREFIX, UNSAFE_PREFIX, VIRTUAL_HOST};
use railspan_standins::HostedConnection;
use test_case::test_case;

/// Time from the stop signal to the kill.
const GRACE: Duration = Duration::from_secs(6);

/// Time within which a connection that does not pass a request on is closed.
const CLOSE_SLACK: Duration = Duration::from_secs(1);

const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// A request as its client saw it.
struct StreamRequest {
    id: String,
    is_write: bool,
    sent_at: Instant,
    ended_at: Instant,
    /// Status of the answer; `None` if the connection ended without one.
    status: Option<u16>,
}

/// What a client does with its connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientKind {
    /// It keeps the connection until the daemon closes it, and ignores `Connection: close`.
    Stubborn,
    /// It keeps the connection until an answer says that it will be closed.
    Polite,
    /// It opens a connection for each request.
    Fresh,
}

/// Sends one request after the other until `stop` is set or the daemon accepts no connection.
fn send_stream(
    caller: SocketAddr,
    name: &str,
    kind: ClientKind,
    pause: Duration,
    stop: &AtomicBool,
) -> Vec<StreamRequest> {
    let mut requests = Vec::new();
    let mut connection: Option<HostedConnection> = None;
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(pause);
        if connection.is_none() {
            connection = HostedConnection::open(caller, READ_TIMEOUT).ok();
        }
        // Nothing listens any more, or not yet again: the fleet has one daemon less.
        let Some(open) = &mut connection else { continue };
        let id = format!("{name}-{number}");
        number += 1;
        let is_write = number % 2 == 0;
        let (method, prefix, body): (_, _, &[u8]) = if is_write {
            ("POST", UNSAFE_PREFIX, b"some bytes")
        } else {
            ("GET", SAFE_PREFIX, b"")
        };
        let headers = [("Host", VIRTUAL_HOST), ("X-Request-Id", &*id), ("X-Deadline-Ms", "12000")];
        let sent_at = Instant::now();
        let answer = open.call(method, &format!("{prefix}{id}"), &headers, body);
        let ended_at = Instant::now();
        let closes = answer.as_ref().is_ok_and(|answer| {
            answer.headers.get("connection").is_some_and(|value| value == "close")
        });
        let status = answer.ok().map(|answer| answer.status);
        if status.is_none() || kind == ClientKind::Fresh || (kind == ClientKind::Polite && closes) {
            connection = None;
        }
        requests.push(StreamRequest { id, is_write, sent_at, ended_at, status });
    }
    requests
}

/// Returns what is wrong with the end of a request.
fn find_fault(fleet: &HostedFleet, request: &StreamRequest, stopped_at: Instant) -> Option<String> {
    let runs = fleet.run_count(&request.id);
    let after_stop = request.sent_at.saturating_duration_since(stopped_at);
    let fault = match request.status {
        None if runs > 0 => "passed on and cut".to_owned(),
        None if request.ended_at - request.sent_at > CLOSE_SLACK => "held and cut".to_owned(),
        Some(503) if runs > 0 => "refused and run".to_owned(),
        // What could not be finished any more must not be started.
        Some(504) if after_stop > GRACE / 2 => "started late and broken off".to_owned(),
        Some(status) if ![200, 503, 504].contains(&status) => format!("status {status}"),
        _ if runs > 1 && request.is_write => "ran twice".to_owned(),
        _ => return None,
    };
    Some(format!("{}: {fault}, sent {after_stop:?} after the stop", request.id))
}

#[test_case(Duration::from_millis(10), Duration::from_millis(5), 0; "short work, the entry")]
#[test_case(Duration::from_millis(10), Duration::from_millis(5), 1; "short work, the guard of the target")]
#[test_case(Duration::from_millis(400), Duration::from_millis(20), 0; "longer work, the entry")]
#[test_case(Duration::from_millis(1_500), Duration::from_millis(100), 0; "long work, the entry")]
#[test_case(Duration::from_millis(1_500), Duration::from_millis(100), 1; "long work, the guard of the target")]
fn a_stream_of_requests_around_a_stop_is_answered(
    service_time: Duration,
    pause: Duration,
    stopped: usize,
) {
    let mut fleet = HostedFleet::spawn(2, service_time);
    fleet.set_timeout("12s");
    for host in 0..2 {
        for number in 0..4 {
            fleet.call(host, SAFE_PREFIX, &format!("warm{host}-{number}")).expect("answer");
        }
    }
    let stop = AtomicBool::new(false);
    let callers = [0, 1].map(|host| fleet.daemons[host].endpoints().caller);
    let (requests, stopped_at, status) = std::thread::scope(|scope| {
        let kinds = [ClientKind::Stubborn, ClientKind::Polite, ClientKind::Fresh];
        let clients: Vec<_> = (0..12)
            .map(|number| {
                let (caller, kind) = (callers[usize::from(number % 4 == 3)], kinds[number % 3]);
                let stop = &stop;
                let name = format!("c{number}");
                scope.spawn(move || send_stream(caller, &name, kind, pause, stop))
            })
            .collect();
        std::thread::sleep(Duration::from_secs(1));
        fleet.daemons[stopped].terminate().expect("terminate");
        let stopped_at = Instant::now();
        let status = fleet.daemons[stopped].wait(GRACE).expect("wait");
        std::thread::sleep(Duration::from_millis(300));
        stop.store(true, Ordering::Relaxed);
        let streams = clients.into_iter().flat_map(|client| client.join().expect("client"));
        (streams.collect::<Vec<_>>(), stopped_at, status)
    });
    assert!(status.expect("exits within the grace").success());
    let faults: Vec<String> =
        requests.iter().filter_map(|request| find_fault(&fleet, request, stopped_at)).collect();
    assert!(faults.is_empty(), "{} of {}:\n{}", faults.len(), requests.len(), faults.join("\n"));
    let during: Vec<_> = requests.iter().filter(|request| request.sent_at > stopped_at).collect();
    let served = during.iter().filter(|request| request.status == Some(200)).count();
    // The slots of the target that stays, at least.
    assert!(served >= 4, "{served} of {} requests served during the stop", during.len());
}
