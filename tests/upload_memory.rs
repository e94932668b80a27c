//! Uploads within the configured limit take a daemon over its memory neither at its entry nor at
//! its guard, and large ones keep small calls waiting at neither.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::eventually;
use common::hosted::{HostedFleet, SAFE_PREFIX, UNSAFE_PREFIX, VIRTUAL_HOST};
use railspan_standins::{HostedResponse, HostedTarget, hosted_call};
use test_case::test_case;

/// Memory of a daemon, in MiB.
const MEMORY_MB: u64 = 96;

/// Memory of a daemon whose settings name none, in MiB.
const DEFAULT_MEMORY_MB: u64 = 256;

/// Length of a large upload, in bytes.
const UPLOAD_BYTES: usize = 8 << 20;

/// Longest body that a route accepts if the configuration sets no limit, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Interval between two small calls.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a fleet whose routes allow 20 s for a call.
fn spawn_fleet(hosts: usize, service_time: Duration, memory_mb: u64) -> HostedFleet {
    let fleet = HostedFleet::spawn_with_memory(hosts, service_time, memory_mb);
    fleet.set_timeout("20s");
    fleet
}

fn upload(fleet: &HostedFleet, host: usize, id: &str, body: &[u8]) -> Option<HostedResponse> {
    let headers = [("Host", VIRTUAL_HOST), ("X-Request-Id", id), ("X-Deadline-Ms", "20000")];
    let path = format!("{UNSAFE_PREFIX}{id}");
    hosted_call(fleet.daemons[host].endpoints().caller, "POST", &path, &headers, body).ok()
}

/// Sends the head of an upload and a part of its body, and then nothing.
fn send_part(caller: SocketAddr, id: &str, length: usize, sent: usize) -> TcpStream {
    let mut socket = TcpStream::connect(caller).expect("connect");
    let head = format!(
        "POST {UNSAFE_PREFIX}{id} HTTP/1.1\r\nHost: {VIRTUAL_HOST}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 15000\r\nContent-Length: {length}\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).expect("head");
    socket.set_write_timeout(Some(Duration::from_millis(500))).expect("timeout");
    // The daemon may stop reading when its memory is short.
    drop(socket.write_all(&vec![7; sent]));
    socket
}

/// Returns the greatest memory that any daemon had until `stop` was set, in kB.
fn watch_memory(fleet: &HostedFleet, stop: &AtomicBool) -> u64 {
    let mut peak_kb = 0;
    while !stop.load(Ordering::Relaxed) {
        let resident = fleet.daemons.iter().map(|daemon| daemon.resident_kb().expect("memory"));
        peak_kb = peak_kb.max(resident.max().unwrap_or_default());
        std::thread::sleep(Duration::from_millis(5));
    }
    peak_kb
}

/// Makes small calls through the first host until `stop` is set; returns the statuses of those
/// that failed.
fn make_small_calls(fleet: &HostedFleet, stop: &AtomicBool) -> Vec<u16> {
    let (mut failures, mut number) = (Vec::new(), 0);
    while !stop.load(Ordering::Relaxed) {
        let prefix = if number % 2 == 0 { SAFE_PREFIX } else { UNSAFE_PREFIX };
        let answer = fleet.call_with_deadline(0, prefix, &format!("small{number}"), 1_000);
        let status = answer.map_or(0, |answer| answer.status);
        failures.extend(Some(status).filter(|status| *status != 200));
        number += 1;
        std::thread::sleep(CALL_INTERVAL);
    }
    failures
}

/// Runs `load` beside small calls through the first host, and checks that all daemons keep to
/// their memory and that the calls are served.
#[track_caller]
fn assert_bounded(fleet: &HostedFleet, memory_mb: u64, load: impl FnOnce()) {
    let stop = AtomicBool::new(false);
    let (peak_kb, failures) = std::thread::scope(|scope| {
        let calls = scope.spawn(|| make_small_calls(fleet, &stop));
        let peak = scope.spawn(|| watch_memory(fleet, &stop));
        load();
        stop.store(true, Ordering::Relaxed);
        (peak.join().expect("memory"), calls.join().expect("small calls"))
    });
    assert!(peak_kb <= memory_mb << 10, "a daemon had {peak_kb} kB");
    assert!(failures.is_empty(), "small calls failed: {failures:?}");
}

/// A daemon kept every body whole and twice, and nothing bounded their sum.
#[test]
fn uploads_at_the_same_time_are_served_within_the_memory() {
    let fleet = spawn_fleet(2, Duration::from_millis(5), MEMORY_MB);
    let body = vec![7; UPLOAD_BYTES];
    assert_bounded(&fleet, MEMORY_MB, || {
        let statuses: Vec<u16> = std::thread::scope(|scope| {
            let uploads: Vec<_> = (0..10)
                .map(|number| {
                    let (fleet, body) = (&fleet, &body);
                    scope.spawn(move || upload(fleet, 0, &format!("large{number}"), body))
                })
                .collect();
            let join = |upload: std::thread::ScopedJoinHandle<'_, Option<HostedResponse>>| {
                upload.join().expect("upload").map_or(0, |answer| answer.status)
            };
            uploads.into_iter().map(join).collect()
        });
        assert_eq!(statuses, [200; 10]);
    });
}

/// A host with 160 MiB can't hold such a body at its entry and at its guard at the same time.
#[test_case(1, DEFAULT_MEMORY_MB; "one host")]
#[test_case(2, 160; "two small hosts")]
fn an_upload_of_the_greatest_length_is_served(hosts: usize, memory_mb: u64) {
    let fleet = spawn_fleet(hosts, Duration::from_millis(5), memory_mb);
    assert_bounded(&fleet, memory_mb, || {
        let answer = upload(&fleet, 0, "greatest", &vec![7; MAX_BODY_BYTES]).expect("answer");
        assert_eq!(answer.status, 200);
    });
    let runs: Vec<_> = fleet.targets.iter().flat_map(HostedTarget::runs).collect();
    let run = runs.iter().find(|run| run.headers["x-request-id"] == "greatest").expect("run");
    assert_eq!(run.body.len(), MAX_BODY_BYTES);
}

/// The length of a body in chunks is not known before its end.
#[test]
fn a_body_in_chunks_that_never_fits_is_refused() {
    let fleet = spawn_fleet(1, Duration::from_millis(5), 32);
    let caller = fleet.daemons[0].endpoints().caller;
    assert_bounded(&fleet, 32, || {
        let mut socket = TcpStream::connect(caller).expect("connect");
        let head = format!(
            "POST {UNSAFE_PREFIX}chunks HTTP/1.1\r\nHost: {VIRTUAL_HOST}\r\nX-Request-Id: chunks\r\n\
             X-Deadline-Ms: 15000\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        socket.write_all(head.as_bytes()).expect("head");
        let chunk = [b"10000\r\n".as_slice(), &vec![7; 64 << 10], b"\r\n"].concat();
        // 12 MiB, where 8 MiB fit.
        let sent = (0..192).try_for_each(|_| socket.write_all(&chunk));
        socket.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
        let mut answer = String::new();
        drop(socket.read_to_string(&mut answer));
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?} after {sent:?}");
    });
    assert_eq!(fleet.run_count("chunks"), 0);
}

/// Clients that stop halfway hold memory that others need.
#[test]
fn uploads_that_stop_halfway_are_given_up_for_others() {
    let fleet = spawn_fleet(1, Duration::from_millis(5), MEMORY_MB);
    let caller = fleet.daemons[0].endpoints().caller;
    let body = vec![7; UPLOAD_BYTES];
    assert_bounded(&fleet, MEMORY_MB, || {
        let halves: Vec<TcpStream> = (0..8)
            .map(|number| {
                send_part(caller, &format!("half{number}"), UPLOAD_BYTES, UPLOAD_BYTES / 3 * 2)
            })
            .collect();
        let answer = upload(&fleet, 0, "whole", &body).expect("answer");
        assert_eq!(answer.status, 200);
        drop(halves);
    });
    let held = || fleet.state(0)["entry"]["body_memory"]["large"]["held_bytes"].as_u64();
    eventually("all memory is returned", || held() == Some(0));
}

/// The uploads wait for a slot with their bodies at the guard.
#[test]
fn uploads_that_wait_for_a_slot_keep_the_guard_within_its_memory() {
    let fleet = spawn_fleet(1, Duration::from_millis(1_500), MEMORY_MB);
    let body = vec![7; UPLOAD_BYTES];
    let stop = AtomicBool::new(false);
    let (peak_kb, statuses) = std::thread::scope(|scope| {
        let uploads: Vec<_> = (0..12)
            .map(|number| {
                let (fleet, body) = (&fleet, &body);
                scope.spawn(move || upload(fleet, 0, &format!("queued{number}"), body))
            })
            .collect();
        let peak = scope.spawn(|| watch_memory(&fleet, &stop));
        let statuses = uploads.into_iter().map(|upload| upload.join().expect("upload"));
        let statuses: Vec<u16> =
            statuses.map(|answer| answer.map_or(0, |answer| answer.status)).collect();
        stop.store(true, Ordering::Relaxed);
        (peak.join().expect("memory"), statuses)
    });
    assert!(peak_kb <= MEMORY_MB << 10, "a daemon had {peak_kb} kB");
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503)), "{statuses:?}");
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served >= 8, "only {served} of 12 uploads were served");
}
