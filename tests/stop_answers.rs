//! A planned stop leaves no request without an answer: calls that wait are told that they did not
//! run while their callers can still go elsewhere, and calls that run are finished if they can be.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::eventually;
use common::hosted::{HostedFleet, SAFE_PREFIX, UNSAFE_PREFIX, VIRTUAL_HOST};
use railspan_standins::HostedResponse;
use test_case::test_case;

/// Time from the stop signal to the kill, in the terms of [`spawn_fleet`].
const GRACE: Duration = Duration::from_secs(6);

/// Deadline of the calls, longer than [`GRACE`].
const DEADLINE_MS: u32 = 12_000;

/// Number of calls at once: more than two targets with four slots each run.
const CALLS: usize = 20;

/// Starts a fleet whose routes let calls wait for as long as [`DEADLINE_MS`].
fn spawn_fleet(hosts: usize, service_time: Duration, terms: &str) -> HostedFleet {
    let fleet = HostedFleet::spawn_with_terms(hosts, service_time, terms);
    fleet.set_timeout("12s");
    fleet
}

fn terms(grace: Duration) -> String {
    let millis = grace.as_millis();
    format!("heartbeat=500ms,retry_budget_ratio=0.2,budget_slack=58,grace={millis}ms")
}

/// A call as its caller saw it.
struct CallEnd {
    id: String,
    answer: Option<HostedResponse>,
    /// Time from the stop signal to the end of the call.
    after_stop: Duration,
}

/// Makes [`CALLS`] calls at once through host `entry`, and stops the daemons `stopped` once calls
/// wait; each daemon gets `signals` stop signals.
fn calls_around_stop(
    fleet: &HostedFleet,
    entry: usize,
    prefix: &'static str,
    stopped: &[usize],
    signals: usize,
) -> Vec<CallEnd> {
    let runs_before: usize = fleet.targets.iter().map(|target| target.runs().len()).sum();
    let slots = 4 * fleet.targets.len();
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..CALLS)
            .map(|number| {
                scope.spawn(move || {
                    let id = format!("waiting{number}");
                    let answer = fleet.call_with_deadline(entry, prefix, &id, DEADLINE_MS);
                    (id, answer, Instant::now())
                })
            })
            .collect();
        eventually("all slots are taken", || {
            let runs: usize = fleet.targets.iter().map(|target| target.runs().len()).sum();
            runs - runs_before >= slots
        });
        std::thread::sleep(Duration::from_millis(300));
        let stopped_at = Instant::now();
        for _ in 0..signals {
            for host in stopped {
                fleet.daemons[*host].terminate().expect("terminate");
            }
        }
        let ends = calls.into_iter().map(|call| call.join().expect("call"));
        ends.map(|(id, answer, ended)| {
            let after_stop = ended.saturating_duration_since(stopped_at);
            CallEnd { id, answer, after_stop }
        })
        .collect()
    })
}

/// Checks that every call was answered, and that no call ran whose answer says that it did not.
#[track_caller]
fn assert_answered(fleet: &HostedFleet, ends: &[CallEnd], allowed: &[u16], last_refusal: Duration) {
    for CallEnd { id, answer, after_stop } in ends {
        let Some(answer) = answer else { panic!("{id}: no answer, {after_stop:?} after the stop") };
        assert!(allowed.contains(&answer.status), "{id}: {}", answer.status);
        if answer.status == 503 {
            assert_eq!(fleet.run_count(id), 0, "{id} was refused and ran");
            assert!(answer.headers.contains_key("retry-after"), "{id}: no time to come back");
            assert!(*after_stop < last_refusal, "{id}: refused {after_stop:?} after the stop");
        }
    }
}

/// Calls that waited for a slot were cut off when the daemon exited.
#[test_case(UNSAFE_PREFIX, 1; "writes")]
#[test_case(SAFE_PREFIX, 1; "reads")]
#[test_case(UNSAFE_PREFIX, 2; "a second signal")]
fn calls_that_wait_at_a_stopping_entry_are_answered(prefix: &'static str, signals: usize) {
    let mut fleet = spawn_fleet(3, Duration::from_secs(2), &terms(GRACE));
    // The entry's own target has gone with its host, as when a whole machine is stopped.
    fleet.targets[0].crash();
    fleet.targets.remove(0);
    std::thread::sleep(Duration::from_secs(3));
    let ends = calls_around_stop(&fleet, 0, prefix, &[0], signals);
    assert_answered(&fleet, &ends, &[200, 503], GRACE.mul_f64(0.6));
    let served = ends.iter().filter(|end| end.answer.as_ref().is_some_and(|a| a.status == 200));
    assert!(served.count() >= 8, "calls that ran were not finished");
    let status = fleet.daemons[0].wait(GRACE).expect("wait").expect("the daemon exits in time");
    assert!(status.success(), "{status}");
}

#[test_case(&[0]; "one guard of two")]
#[test_case(&[0, 1]; "both guards, the entry among them")]
fn calls_that_wait_at_a_stopping_guard_are_answered(stopped: &[usize]) {
    let fleet = spawn_fleet(2, Duration::from_secs(2), &terms(GRACE));
    let ends = calls_around_stop(&fleet, 1, UNSAFE_PREFIX, stopped, 1);
    assert_answered(&fleet, &ends, &[200, 503], Duration::from_millis(u64::from(DEADLINE_MS)));
}

/// What an upstream still works on at the end is answered as unknown, and not cut off.
#[test_case(Duration::from_secs(1); "a short grace")]
#[test_case(Duration::from_secs(4); "a longer grace")]
fn calls_that_run_at_the_end_of_the_stop_are_answered_as_unknown(grace: Duration) {
    let mut fleet = spawn_fleet(2, Duration::from_millis(20), &terms(grace));
    for number in 0..20 {
        let answer = fleet.call(0, SAFE_PREFIX, &format!("warm{number}"));
        assert_eq!(answer.expect("answer").status, 200);
    }
    for target in &fleet.targets {
        target.set_service_time(Duration::from_secs(7));
    }
    let ends = calls_around_stop(&fleet, 0, UNSAFE_PREFIX, &[0], 1);
    assert_answered(&fleet, &ends, &[503, 504], grace);
    for end in &ends {
        let was_running = end.answer.as_ref().is_some_and(|answer| answer.status == 504);
        let early = end.after_stop < grace.mul_f64(5.0 / 6.0);
        assert!(!(was_running && early), "{} was broken off early", end.id);
    }
    let status = fleet.daemons[0].wait(grace).expect("wait").expect("the daemon exits in time");
    assert!(status.success(), "{status}");
}

/// A request that is received only in part gets its answer, too.
#[test]
fn a_body_that_is_incomplete_at_the_stop_is_answered() {
    let grace = Duration::from_secs(2);
    let fleet = spawn_fleet(2, Duration::from_millis(5), &terms(grace));
    let mut socket = TcpStream::connect(fleet.daemons[0].endpoints().caller).expect("connect");
    let head = format!(
        "POST {UNSAFE_PREFIX}half HTTP/1.1\r\nHost: {VIRTUAL_HOST}\r\nX-Request-Id: half\r\n\
         X-Deadline-Ms: 9000\r\nContent-Length: 100000\r\n\r\nthe first bytes"
    );
    socket.write_all(head.as_bytes()).expect("head");
    std::thread::sleep(Duration::from_millis(300));
    fleet.daemons[0].terminate().expect("terminate");
    socket.set_read_timeout(Some(Duration::from_secs(9))).expect("timeout");
    let mut answer = String::new();
    drop(socket.read_to_string(&mut answer));
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert_eq!(fleet.run_count("half"), 0);
}
