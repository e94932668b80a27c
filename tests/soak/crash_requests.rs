//! A request that crashes each target that runs it, for seeds from [`FIRST_SEED`] on.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::check::Arrival;
use super::client::{self, RequestKind, RequestRecord};
use super::fleet::{SERVICES, SoakFleet};
use super::host::lock;

/// First seed whose run sends such requests.
pub const FIRST_SEED: u64 = 2_000;

/// Path of the request that crashes targets.
pub const CRASH_PATH: &str = "/read/deadly";

/// The users' bound on crashes: after this many crashes, which tell the request from those
/// that ran beside it, copies may arrive for the time given, and then only this many more.
const BLAME_CRASHES: usize = 3;
const BLAME_SPREAD_TIME: Duration = Duration::from_secs(3);
const MAX_LATE_COPIES: usize = 3;

/// Time between two copies, and until a crashed target is replaced, in milliseconds.
const COPY_INTERVAL_MS: std::ops::Range<u64> = 50..400;
const RESTART_DELAY_MS: std::ops::Range<u64> = 400..1_500;

/// Deadline of a copy.
const COPY_DEADLINE: Duration = Duration::from_secs(1);

/// Sends copies to random hosts until `stop` is set.
pub fn send_copies(fleet: &SoakFleet, seed: u64, stop: &AtomicBool) -> Vec<RequestRecord> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x00de_ad1e);
    let mut records = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let host = rng.random_range(0..fleet.hosts.len());
        let record = client::new_record(
            format!("deadly-{}", records.len()),
            RequestKind::Crash,
            host,
            SERVICES[0],
            format!("GET {CRASH_PATH} HTTP/1.1"),
            Vec::new(),
            COPY_DEADLINE,
        );
        records.push(client::send_request(fleet, record, false, &mut None));
        std::thread::sleep(Duration::from_millis(rng.random_range(COPY_INTERVAL_MS)));
    }
    records
}

/// Replaces each crashed target after a random delay, until `stop` is set.
pub fn restart_crashed_targets(fleet: &SoakFleet, seed: u64, stop: &AtomicBool) {
    let mut rng = Pcg64Mcg::seed_from_u64(!seed);
    let mut restart_at: Vec<Option<Instant>> = vec![None; fleet.hosts.len()];
    while !stop.load(Ordering::Relaxed) {
        for (host, restart_at) in fleet.hosts.iter().zip(&mut restart_at) {
            // A locked target is being replaced by a planned disruption.
            let Ok(mut target) = host.target.try_lock() else { continue };
            if !target.has_crashed() {
                *restart_at = None;
                continue;
            }
            let delay = Duration::from_millis(rng.random_range(RESTART_DELAY_MS));
            if *restart_at.get_or_insert_with(|| Instant::now() + delay) <= Instant::now() {
                fleet.start_target(host, &mut target);
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Checks how many copies reached targets of the whole fleet after the crash at which the
/// request had to be blamed.
pub fn check_arrivals(fleet: &SoakFleet, arrivals: &[Arrival], findings: &mut Vec<String>) {
    let is_copy = |arrival: &&Arrival| arrival.run.request_line.contains(CRASH_PATH);
    let mut copies: Vec<&Arrival> = arrivals.iter().filter(is_copy).collect();
    copies.sort_unstable_by_key(|arrival| arrival.run.received_at);
    println!("{} copies reached targets", copies.len());
    let Some(blamed_at) = copies.get(BLAME_CRASHES - 1).map(|arrival| arrival.run.received_at)
    else {
        return;
    };
    // A daemon that was started or suspended, or whose links were impaired, need not have
    // heard that the request is blamed.
    let was_connected = |arrival: &&Arrival| {
        let at = arrival.run.received_at;
        let since = at.checked_sub(BLAME_SPREAD_TIME).unwrap_or(at);
        !fleet.was_disrupted(arrival.host, since, at)
    };
    let late = copies
        .iter()
        .copied()
        .filter(|arrival| arrival.run.received_at > blamed_at + BLAME_SPREAD_TIME);
    let late = late.filter(was_connected).count();
    if late > MAX_LATE_COPIES {
        findings.push(format!(
            "{late} of {} copies arrived after the request had to be blamed",
            copies.len()
        ));
    }
    let crashed =
        lock(&fleet.targets).iter().filter(|soak_target| soak_target.target.has_crashed()).count();
    println!("{crashed} targets crashed");
}
