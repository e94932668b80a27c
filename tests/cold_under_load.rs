//! A busy target that turns cold again gets no more requests in any second than it bears, although
//! its heartbeats say so only later.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::hosted::{
    HostedFleet, SAFE_PREFIX, SERVICE, UNSAFE_PREFIX, VIRTUAL_HOST, platform_config,
};
use railspan_standins::HostedConnection;
use serde_json::{Value, json};

/// Terms with the tolerance of cold targets.
const TERMS: &str = "heartbeat=1500ms,retry_budget_ratio=0.2,budget_slack=58,grace=6s,\
                     cold_over=1.5,cold_slack=8";

/// Requests a second that a cold target sustains, as the operator configures it, and the number
/// that it may get in one second by [`TERMS`].
const COLD_PER_S: u64 = 16;
const MAX_COLD_REQUESTS: usize = 32;

/// Time for which a target stays cold, and number of times that one turns cold.
const COLD_TIME: Duration = Duration::from_secs(2);
const COLD_PERIODS: usize = 4;

/// Number of clients that send one request after the other.
const CLIENTS: usize = 6;

/// Starts a fleet whose targets report every 1.5 s and are limited while they are cold.
fn spawn_fleet(hosts: usize) -> HostedFleet {
    let fleet = HostedFleet::spawn_with_terms(hosts, Duration::from_millis(15), TERMS);
    let mut config: Value = serde_json::from_str(&platform_config(8, SERVICE)).expect("json");
    config["services"][0]["cold_start"] = json!("2s");
    config["services"][0]["cold_per_s"] = json!(COLD_PER_S);
    fleet.put_in_force(8, &config.to_string());
    for host in 0..hosts {
        fleet.targets[host].set_heartbeat_interval(Duration::from_millis(1_500));
        // Answers to calls state the load, and not that the target is cold.
        fleet.targets[host].set_answer_headers("X-Server-Load: 4,0,4,100\r\n");
    }
    fleet
}

fn send_requests(fleet: &HostedFleet, client: usize, stop: &AtomicBool) {
    let caller = fleet.daemons[client % fleet.daemons.len()].endpoints().caller;
    let mut connection = HostedConnection::open(caller, Duration::from_secs(5)).expect("connect");
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let id = format!("c{client}-{number}");
        let headers = [("Host", VIRTUAL_HOST), ("X-Request-Id", &*id), ("X-Deadline-Ms", "600")];
        let (method, prefix) =
            if number % 3 == 0 { ("POST", UNSAFE_PREFIX) } else { ("GET", SAFE_PREFIX) };
        let path = format!("{prefix}{id}");
        let answer = connection.call(method, &path, &headers, b"").expect("answer");
        if answer.status != 200 {
            std::thread::sleep(Duration::from_millis(20));
        }
        number += 1;
    }
}

/// Returns the largest number of requests that a target got within one second of a period.
fn busiest_second(fleet: &HostedFleet, target: usize, from: Instant) -> usize {
    let runs = fleet.targets[target].runs();
    let times = runs.iter().map(|run| run.received_at);
    let times: Vec<Instant> = times.filter(|at| *at >= from && *at < from + COLD_TIME).collect();
    let second = Duration::from_secs(1);
    let count = |start: &Instant| {
        let within = |at: &&Instant| **at >= *start && **at < *start + second;
        times.iter().filter(within).count()
    };
    times.iter().map(count).max().unwrap_or_default()
}

/// The guard asked only targets that had not answered lately, and a busy one always had.
#[test]
fn a_busy_target_that_turns_cold_gets_no_more_than_it_bears() {
    let fleet = spawn_fleet(2);
    let stop = AtomicBool::new(false);
    let peaks: Vec<usize> = std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (fleet, stop) = (&fleet, &stop);
            scope.spawn(move || send_requests(fleet, client, stop));
        }
        std::thread::sleep(Duration::from_secs(2));
        let peaks = (0..COLD_PERIODS).map(|period| {
            let target = period % fleet.targets.len();
            let runs_before = fleet.targets[target].runs().len();
            let from = Instant::now();
            fleet.targets[target].set_cold_for(COLD_TIME);
            std::thread::sleep(COLD_TIME + Duration::from_secs(2));
            assert!(runs_before > 0, "the target was not busy");
            busiest_second(&fleet, target, from)
        });
        let peaks = peaks.collect();
        stop.store(true, Ordering::Relaxed);
        peaks
    });
    assert!(peaks.iter().all(|peak| *peak <= MAX_COLD_REQUESTS), "requests in a second: {peaks:?}");
}

/// Asking a busy target must not slow it down, nor use up the health checks that are allowed.
#[test]
fn a_busy_warm_target_is_served_as_before() {
    let fleet = spawn_fleet(1);
    let stop = AtomicBool::new(false);
    let checks = || -> f64 {
        let text = fleet.metrics(0);
        let line = text.lines().find(|line| line.starts_with("railspan_health_asks_total"));
        line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).expect("counter")
    };
    let (runs, checks) = std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (fleet, stop) = (&fleet, &stop);
            scope.spawn(move || send_requests(fleet, client, stop));
        }
        std::thread::sleep(Duration::from_secs(2));
        let before = (fleet.targets[0].runs().len(), checks());
        std::thread::sleep(Duration::from_secs(4));
        let after = (fleet.targets[0].runs().len(), checks());
        stop.store(true, Ordering::Relaxed);
        (after.0 - before.0, after.1 - before.1)
    });
    // Four slots with 15 ms of work each serve up to 266 requests a second.
    assert!(runs > 4 * 130, "{runs} requests in 4 s");
    assert!(checks < 4.0 * 60.0, "{checks} health checks in 4 s");
}
