//! Targets that state in their answers which rate of calls they take, or that they leave.

mod common;

use std::sync::Mutex;
use std::time::{Duration, Instant};

use common::hosted::{HostedFleet, SAFE_PREFIX};
use common::{WAIT_TIMEOUT, eventually};
use railspan_standins::{HostedResponse, HostedTarget};

const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Window over which the calls that reach a target are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Time from a statement until calls of hosts that have passed it on count.
const STATEMENT_DELAY: Duration = Duration::from_millis(500);

/// Time after which a host that has passed on that a target leaves sends it no calls.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// Time between two calls of one client.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the most calls that a target may get within [`RATE_WINDOW`].
fn max_calls(per_s: f64) -> f64 {
    1.5 * per_s * RATE_WINDOW.as_secs_f64() + 5.0
}

/// Returns the most calls that a target got within [`RATE_WINDOW`], of those since `from`.
fn most_calls(target: &HostedTarget, from: Instant) -> usize {
    let runs = target.runs();
    let arrivals: Vec<Instant> =
        runs.iter().map(|run| run.received_at).filter(|arrival| *arrival >= from).collect();
    let within = |start: &Instant| {
        arrivals.iter().filter(|other| **other >= *start && **other < *start + RATE_WINDOW).count()
    };
    arrivals.iter().map(within).max().unwrap_or_default()
}

/// Makes calls through each daemon in `entries` for some time; returns how many were answered
/// with status 200, and how many there were.
fn make_calls(fleet: &HostedFleet, entries: &[usize], lasts: Duration) -> (usize, usize) {
    make_calls_with(fleet, entries, 2, lasts)
}

/// Makes calls as [`make_calls`] does, with `clients` at each daemon.
fn make_calls_with(
    fleet: &HostedFleet,
    entries: &[usize],
    clients: usize,
    lasts: Duration,
) -> (usize, usize) {
    let counts = Mutex::new((0, 0));
    let end = Instant::now() + lasts;
    std::thread::scope(|scope| {
        for &entry in entries {
            for client in 0..clients {
                let counts = &counts;
                scope.spawn(move || {
                    let mut number = 0;
                    while Instant::now() < end {
                        let id = format!("c{entry}x{client}x{number}x{:?}", Instant::now());
                        let id: String = id.chars().filter(char::is_ascii_alphanumeric).collect();
                        let answer = fleet.call(entry, SAFE_PREFIX, &id);
                        let mut counts = counts.lock().expect("counts");
                        counts.0 += usize::from(answer.is_some_and(|answer| answer.status == 200));
                        counts.1 += 1;
                        drop(counts);
                        number += 1;
                        std::thread::sleep(CALL_INTERVAL);
                    }
                });
            }
        }
    });
    counts.into_inner().expect("counts")
}

/// Returns whether a target gets any call while calls are made through all daemons for a second.
fn gets_calls(fleet: &HostedFleet, target: usize) -> bool {
    let before = fleet.targets[target].runs().len();
    let entries: Vec<usize> = (0..fleet.daemons.len()).collect();
    make_calls(fleet, &entries, Duration::from_secs(1));
    fleet.targets[target].runs().len() > before
}

#[test]
fn a_target_gets_no_more_calls_than_the_rate_it_states() {
    let fleet = HostedFleet::spawn(3, SERVICE_TIME);
    make_calls(&fleet, &[0, 1, 2], Duration::from_secs(1));
    fleet.targets[0].set_answer_headers("Server-Limit: 2.5\r\n");
    let stated_at = Instant::now();
    let (served, made) = make_calls(&fleet, &[0, 1, 2], Duration::from_secs(7));
    let most = most_calls(&fleet.targets[0], stated_at + STATEMENT_DELAY);
    assert!(most as f64 <= max_calls(2.5), "{most} calls in {RATE_WINDOW:?}");
    assert!(most > 0, "the target gets no calls at all");
    assert!(served * 100 >= made * 99, "{served} of {made} calls served");
}

#[test]
fn calls_beyond_the_rates_of_all_targets_are_refused_at_once() {
    let fleet = HostedFleet::spawn(2, SERVICE_TIME);
    for target in &fleet.targets {
        target.set_answer_headers("Server-Limit: 1.5\r\n");
    }
    make_calls(&fleet, &[0, 1], Duration::from_secs(1));
    let call = |number: usize| {
        fleet.call_with_deadline(number % 2, SAFE_PREFIX, &format!("beyond{number}"), 20_000)
    };
    let answers: Vec<HostedResponse> = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..60).map(|number| scope.spawn(move || call(number))).collect();
        calls.into_iter().filter_map(|call| call.join().expect("thread")).collect()
    });
    let refusals: Vec<&HostedResponse> =
        answers.iter().filter(|answer| answer.status != 200).collect();
    assert!(refusals.len() > 20, "{} of 60 calls refused", refusals.len());
    for refusal in &refusals {
        assert_eq!(refusal.status, 503);
        assert!(refusal.headers.contains_key("retry-after"));
        // A call that waits for the rate may be refused at its objective; nothing takes longer.
        assert!(refusal.took < WAIT_TIMEOUT, "a refusal waited for the deadline");
    }
    let runs: usize = (0..60).map(|number| fleet.run_count(&format!("beyond{number}"))).sum();
    assert_eq!(runs + refusals.len(), 60, "a refused call ran");
    let mut returns: Vec<&String> =
        refusals.iter().map(|refusal| &refusal.headers["retry-after"]).collect();
    returns.sort_unstable();
    returns.dedup();
    assert!(returns.len() * 2 > refusals.len(), "callers return together: {returns:?}");
}

#[test]
fn a_stated_rate_holds_after_restarts_of_the_daemon_beside_the_target() {
    // Calls that take long start before the restarted guard gets an answer of its target.
    let mut fleet = HostedFleet::spawn(3, Duration::from_millis(800));
    fleet.targets[0].set_answer_headers("Server-Limit: 0\r\n");
    make_calls(&fleet, &[1, 2], Duration::from_secs(2));
    let stated_at = Instant::now();
    for _ in 0..3 {
        let place = *fleet.daemons[0].endpoints();
        fleet.daemons[0].kill().expect("kill");
        fleet.daemons[0] = fleet.start_daemon_at(0, &place);
        fleet.wait_for_targets(0, 3);
        make_calls_with(&fleet, &[1, 2], 8, Duration::from_millis(500));
    }
    let most = most_calls(&fleet.targets[0], stated_at);
    assert!(most as f64 <= max_calls(0.0), "{most} calls in {RATE_WINDOW:?}");
}

#[test]
fn a_target_that_states_a_rate_of_zero_gets_calls_again_once_it_states_none() {
    let fleet = HostedFleet::spawn(2, SERVICE_TIME);
    fleet.targets[0].set_answer_headers("Server-Limit: 0\r\n");
    fleet.targets[0].set_health_headers("Server-Limit: 0\r\n");
    make_calls(&fleet, &[0, 1], Duration::from_secs(1));
    assert!(!gets_calls(&fleet, 0), "calls in spite of a rate of zero");
    fleet.targets[0].set_answer_headers("");
    fleet.targets[0].set_health_headers("");
    eventually("the target gets calls again", || gets_calls(&fleet, 0));
}

#[test]
fn a_target_whose_answers_say_that_it_leaves_gets_no_more_calls() {
    let fleet = HostedFleet::spawn(3, SERVICE_TIME);
    fleet.targets[0].set_answer_headers("Server-Leaving: 1\r\n");
    make_calls(&fleet, &[0, 1, 2], DRAIN_BOUND);
    assert!(!gets_calls(&fleet, 0), "calls after the drain");
}

#[test]
fn a_host_that_was_told_that_a_target_leaves_remembers_it_when_the_guard_restarts() {
    let mut fleet = HostedFleet::spawn(3, SERVICE_TIME);
    fleet.targets[0].set_answer_headers("Server-Leaving: 1\r\n");
    make_calls(&fleet, &[1], DRAIN_BOUND);
    let before = fleet.targets[0].runs().len();
    assert!(before > 0, "the host was not told");
    let place = *fleet.daemons[0].endpoints();
    fleet.daemons[0].kill().expect("kill");
    fleet.daemons[0] = fleet.start_daemon_at(0, &place);
    fleet.wait_for_targets(1, 3);
    make_calls(&fleet, &[1], Duration::from_secs(2));
    assert_eq!(fleet.targets[0].runs().len(), before, "calls after the restart");
}

#[test]
fn calls_are_refused_at_once_while_all_targets_leave() {
    let fleet = HostedFleet::spawn(2, SERVICE_TIME);
    for target in &fleet.targets {
        target.set_answer_headers("Server-Leaving: 1\r\n");
    }
    make_calls(&fleet, &[0, 1], DRAIN_BOUND);
    let refused = fleet.call_with_deadline(0, SAFE_PREFIX, "none-left", 20_000).expect("answer");
    assert_eq!(refused.status, 503);
    assert!(refused.headers.contains_key("retry-after"));
    assert!(refused.took < WAIT_TIMEOUT, "the refusal waited for the deadline");
}

#[test]
fn a_target_that_restarts_after_it_left_gets_calls_again() {
    let fleet = HostedFleet::spawn(2, SERVICE_TIME);
    fleet.targets[0].restart(1);
    fleet.targets[0].set_answer_headers("Server-Leaving: 1\r\n");
    make_calls(&fleet, &[0, 1], DRAIN_BOUND);
    assert!(!gets_calls(&fleet, 0), "calls after the drain");
    fleet.targets[0].set_answer_headers("");
    fleet.targets[0].restart(2);
    eventually("the target gets calls again", || gets_calls(&fleet, 0));
}
