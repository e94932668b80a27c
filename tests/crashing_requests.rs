//! A request that crashes the targets that run it must soon reach no more targets.
//!
//! Without blame, copies of one read with the same path, caller and body, sent through any
//! host, crashed one target after another, each copy a second one with its retry: 17 in
//! eight seconds, 10 of them later than three seconds after the third. All other callers
//! of a service of four targets were refused meanwhile. Each lost call was only the end of
//! one attempt: no daemon kept a record of the requests that ran on the crashed target, or
//! told the others.
//!
//! The digests in the log identify such a request: it is among the lost calls of every
//! target that crashed, through several entries; any other request is in one at most.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::hosted::{CrashingFleet, HostedFleet, SAFE_PREFIX};

/// Crashes after which a request is blamed: three distinguish it from the requests that
/// only ran beside it.
const CRASHES_UNTIL_BLAMED: usize = 3;

/// Time after the third crash in which any number of copies may still reach targets; a
/// bound that the users set.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Copies that may reach targets after [`SETTLING_TIME`]; a bound that the users set.
const MAX_LATE_COPIES: usize = 3;

/// Time during which copies are sent.
const SENDING_TIME: Duration = Duration::from_secs(9);

const SERVICE_TIME: Duration = Duration::from_millis(30);

#[test]
fn a_request_that_crashes_targets_reaches_few_of_them() {
    let fleet = CrashingFleet::spawn(4, SERVICE_TIME);
    let stop = AtomicBool::new(false);
    let (mut others_served, mut others_denied) = (0, 0);
    std::thread::scope(|scope| {
        scope.spawn(|| fleet.restart_crashed_targets(&stop));
        let copies = scope.spawn(|| {
            let stop_at = Instant::now() + SENDING_TIME;
            for host in (0..4).cycle() {
                if Instant::now() >= stop_at {
                    break;
                }
                let answer = fleet.send_crashing_request(host, &format!("copy-{host}"));
                assert!(
                    answer.is_none_or(|answer| answer.status != 200),
                    "a crashing request succeeded"
                );
                std::thread::sleep(Duration::from_millis(60));
            }
        });
        let mut number = 0;
        while !copies.is_finished() {
            number += 1;
            let answer = fleet.call(number % 4, SAFE_PREFIX, &format!("read{number}"));
            let status = answer.map_or(0, |answer| answer.status);
            others_served += usize::from(status == 200);
            others_denied += usize::from((400..500).contains(&status));
            std::thread::sleep(Duration::from_millis(10));
        }
        stop.store(true, Ordering::Relaxed);
    });
    let runs = fleet.crashing_run_times();
    assert!(runs.len() >= CRASHES_UNTIL_BLAMED, "only {} copies reached targets", runs.len());
    let third_crash = runs[CRASHES_UNTIL_BLAMED - 1] + SERVICE_TIME;
    let late = runs.iter().filter(|at| **at > third_crash + SETTLING_TIME).count();
    assert!(late <= MAX_LATE_COPIES, "{late} of {} copies reached targets too late", runs.len());
    assert!(others_served > 0, "no other call was served");
    assert_eq!(others_denied, 0, "other calls that were denied");
}

#[test]
fn no_target_crashes_after_the_request_is_blamed() {
    let fleet = CrashingFleet::spawn(4, SERVICE_TIME);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| fleet.restart_crashed_targets(&stop));
        // One copy at a time, so that the fleet has learned of the crash before it gets the
        // next copy.
        for round in 0..40 {
            fleet.send_crashing_request(round % 4, &format!("copy-{round}"));
            std::thread::sleep(Duration::from_millis(150));
        }
        stop.store(true, Ordering::Relaxed);
    });
    assert_eq!(fleet.crash_count(), CRASHES_UNTIL_BLAMED, "targets that crashed");
}

/// Calls that are lost with a target that crashes for another reason are not blamed.
#[test]
fn calls_that_ran_during_a_crash_are_served_afterwards() {
    let fleet = HostedFleet::spawn(3, SERVICE_TIME);
    let paths = ["popular", "rare"];
    for round in 0..2 {
        std::thread::scope(|scope| {
            for host in 0..3 {
                for path in paths {
                    let fleet = &fleet;
                    scope.spawn(move || drop(fleet.call(host, SAFE_PREFIX, path)));
                }
            }
            std::thread::sleep(SERVICE_TIME / 2);
            fleet.targets[round].crash();
        });
    }
    for path in paths {
        common::eventually("the call is served", || {
            fleet.call(2, SAFE_PREFIX, path).is_some_and(|answer| answer.status == 200)
        });
    }
}

/// Sends copies one after the other until every daemon blames the request.
fn send_copies_until_blamed(fleet: &CrashingFleet) {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| fleet.restart_crashed_targets(&stop));
        let mut copy = 0;
        common::eventually("every daemon blames the request", || {
            copy += 1;
            let answer = fleet.send_crashing_request(copy % 4, &format!("copy-{copy}"));
            answer.is_some_and(|answer| answer.status == 503)
                && (0..4).all(|host| fleet.blamed_count(host) == 1)
        });
        stop.store(true, Ordering::Relaxed);
    });
}

#[test]
fn a_blamed_request_is_refused_without_a_run_until_an_operator_forgives_it() {
    let fleet = CrashingFleet::spawn(4, SERVICE_TIME);
    send_copies_until_blamed(&fleet);
    let run_count = fleet.crashing_run_times().len();
    let answer = fleet.send_crashing_request(1, "late").expect("answer");
    assert_eq!(answer.status, 503);
    assert!(!answer.headers.contains_key("retry-after"), "a retry cannot help");
    assert_eq!(fleet.crashing_run_times().len(), run_count, "the refused request ran");
    common::eventually("a request with another path is served", || {
        fleet.call(1, SAFE_PREFIX, "other").is_some_and(|answer| answer.status == 200)
    });

    let admin = fleet.daemons[2].endpoints().admin.to_string();
    let railspan = |arguments: &[&str]| {
        let command = std::process::Command::new(env!("CARGO_BIN_EXE_railspan"))
            .args(arguments)
            .args(["--daemon", &*admin])
            .output();
        String::from_utf8(command.expect("run").stdout).expect("text")
    };
    let status = railspan(&["status"]);
    let line = status.lines().find(|line| line.contains("ends targets")).expect("line");
    let digest = line.split([' ', ',']).find(|word| word.len() == 32).expect("digest");
    assert!(railspan(&["forgive", digest]).contains("may reach targets again"));
    for host in 0..4 {
        common::eventually("the request is forgiven", || fleet.blamed_count(host) == 0);
    }
    drop(fleet.send_crashing_request(0, "again"));
    assert!(fleet.crashing_run_times().len() > run_count, "the forgiven request did not run");
}

#[test]
fn a_blamed_request_stays_blamed_when_all_daemons_are_killed() {
    let mut fleet = CrashingFleet::spawn(4, SERVICE_TIME);
    send_copies_until_blamed(&fleet);
    let run_count = fleet.crashing_run_times().len();
    common::eventually("the blame is stored", || fleet.stored_row_count("fleet-blame-") == 1);
    fleet.restart_daemons();
    for host in 0..4 {
        common::eventually("the restarted daemon blames the request", || {
            fleet.blamed_count(host) == 1
        });
        let answer = fleet.send_crashing_request(host, &format!("after-{host}"));
        assert!(answer.is_none_or(|answer| answer.status == 503), "host-{host}");
    }
    assert_eq!(fleet.crashing_run_times().len(), run_count, "copies ran after the restart");
}

/// A guard that waited for the heartbeats to lapse accepted calls for a crashed target and
/// refused each of them. Here heartbeats stay valid for minutes, so that only the guard's
/// own observation of the broken connection can mark the target as not ready.
#[test]
fn a_crashed_target_gets_no_calls_while_its_heartbeat_is_still_valid() {
    let terms = "heartbeat=60s,retry_budget_ratio=0.2,budget_slack=58,grace=6s";
    let fleet = HostedFleet::spawn_with_terms(2, SERVICE_TIME, terms);
    fleet.targets[0].crash_on_path(SAFE_PREFIX);
    common::eventually("the crashed target is not ready", || {
        drop(fleet.call(1, SAFE_PREFIX, "any"));
        fleet.state(0)["guard"]["targets"][0]["ready"] == false
    });
    assert!(fleet.targets[0].has_crashed());
    for number in 0..20 {
        let answer = fleet.call(1, SAFE_PREFIX, &format!("read{number}"));
        assert!(answer.is_some_and(|answer| answer.status == 200), "read{number}");
    }
}
