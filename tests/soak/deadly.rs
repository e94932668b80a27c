//! A request that ends each target that runs it, for seeds from [`FIRST_SEED`] on.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::caller::{self, RequestEnd, RequestKind, RequestNote};
use super::check::Arrival;
use super::fleet::{SERVICES, SoakFleet};
use super::host::lock;

/// The first seed that has it.
pub const FIRST_SEED: u64 = 2_000;

/// Path of the request.
pub const DEADLY: &str = "/read/deadly";

/// Crashes that tell it from what ran beside it, the time from the third on in which
/// copies may still arrive, and how many may later: the users' bound.
const CRASHES: usize = 3;
const STABILITY: Duration = Duration::from_secs(3);
const LATER_COPIES: usize = 3;

/// Time between two copies, and until a target that ended is back, in milliseconds.
const EVERY_MS: std::ops::Range<u64> = 50..400;
const BACK_MS: std::ops::Range<u64> = 400..1_500;

/// Time that the caller of a copy has.
const DEADLINE: Duration = Duration::from_secs(1);

/// Sends copies at any host until told to stop.
pub fn send_copies(fleet: &SoakFleet, seed: u64, stop: &AtomicBool) -> Vec<RequestNote> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x00de_ad1e);
    let mut notes = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let now = Instant::now();
        let note = RequestNote {
            id: format!("deadly-{}", notes.len()),
            kind: RequestKind::Deadly,
            host: rng.random_range(0..fleet.hosts.len()),
            service: SERVICES[0],
            line: format!("GET {DEADLY} HTTP/1.1"),
            body: Vec::new(),
            deadline: DEADLINE,
            sent: now,
            ended: now,
            life: None,
            end: RequestEnd::Unsent,
        };
        notes.push(caller::send(fleet, note, false, &mut None));
        std::thread::sleep(Duration::from_millis(rng.random_range(EVERY_MS)));
    }
    notes
}

/// Starts a target in the place of each that ended, until told to stop.
pub fn revive(fleet: &SoakFleet, seed: u64, stop: &AtomicBool) {
    let mut rng = Pcg64Mcg::seed_from_u64(!seed);
    let mut back: Vec<Option<Instant>> = vec![None; fleet.hosts.len()];
    while !stop.load(Ordering::Relaxed) {
        for (host, back) in fleet.hosts.iter().zip(&mut back) {
            // One that is being replaced is in other hands.
            let Ok(mut target) = host.target.try_lock() else { continue };
            if !target.has_crashed() {
                *back = None;
                continue;
            }
            let after = Duration::from_millis(rng.random_range(BACK_MS));
            if *back.get_or_insert_with(|| Instant::now() + after) <= Instant::now() {
                fleet.start_target(host, &mut target);
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Judges over the whole fleet what arrived after the third crash.
pub fn judge(fleet: &SoakFleet, arrivals: &[Arrival], findings: &mut Vec<String>) {
    let own = |arrival: &&Arrival| arrival.run.request_line.contains(DEADLY);
    let mut runs: Vec<&Arrival> = arrivals.iter().filter(own).collect();
    runs.sort_unstable_by_key(|arrival| arrival.run.received_at);
    println!("{} copies ran", runs.len());
    let Some(third) = runs.get(CRASHES - 1).map(|arrival| arrival.run.received_at) else { return };
    // A daemon that was started, stood still or lost its links is not in touch.
    let in_touch = |arrival: &&Arrival| {
        let at = arrival.run.received_at;
        let since = at.checked_sub(STABILITY).unwrap_or(at);
        !fleet.was_troubled(arrival.host, since, at)
    };
    let late = runs.iter().copied().filter(|arrival| arrival.run.received_at > third + STABILITY);
    let late = late.filter(in_touch).count();
    if late > LATER_COPIES {
        findings.push(format!("{late} copies arrived late, of {}", runs.len()));
    }
    let ended = lock(&fleet.targets).iter().filter(|ran| ran.target.has_crashed()).count();
    println!("{ended} targets ended");
}
