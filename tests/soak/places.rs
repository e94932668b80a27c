//! Cold and reborn targets and evacuations, for seeds from [`FIRST_SEED`] on; those
//! before keep the plans that they were found with.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::check::Arrival;
use super::fleet::SoakFleet;
use super::host::lock;

/// The first seed that has them.
pub const FIRST_SEED: u64 = 1_000;

/// Data centres of a fleet.
pub const CENTRES: usize = 3;

/// Calls that a cold target bears in a second, as the operator and the terms say it.
pub const COLD_PER_S: f64 = 6.0;
pub const COLD_OVER: f64 = 1.5;
pub const COLD_SLACK: f64 = 4.0;

/// Time from which on a target that turned cold is known to be: its heartbeats come
/// every 100 ms, and a guard may stand still for longer than that.
const COLD_KNOWN_AFTER: Duration = Duration::from_millis(500);

/// Time after an evacuation's acknowledgement from which on nothing may arrive: five
/// seconds, and the longest trouble that keeps a daemon from hearing of it.
const EVACUATED_AFTER: Duration = Duration::from_secs(8);

/// Time after a daemon's start in which it need not know of an evacuation.
const FRESH: Duration = Duration::from_secs(3);

/// Time between two of them, and how long one lasts, in milliseconds.
const EVERY_MS: std::ops::Range<u64> = 500..2_500;
const COLD_LASTS_MS: std::ops::Range<u64> = 1_500..4_000;

/// What happens to a target.
#[derive(Clone, Copy, Debug)]
pub enum TargetTurn {
    /// It is cold from now on.
    Cold(Duration),
    /// It starts again under its name.
    Reborn,
}

/// What happens at which time, beside the troubles of a run.
#[derive(Clone, Debug, Default)]
pub struct PlacePlan {
    pub turns: Vec<(Duration, usize, TargetTurn)>,
    /// When a data centre is evacuated and taken back.
    pub evacuations: Vec<(Duration, Duration, usize)>,
}

/// A target that was cold, from and to.
pub struct ColdNote {
    pub target: String,
    pub host: usize,
    pub from: Instant,
    pub to: Instant,
}

/// An evacuation that the store acknowledged, and when it was taken back.
pub struct EvacuationNote {
    pub centre: usize,
    pub from: Instant,
    pub to: Instant,
}

impl PlacePlan {
    pub fn draw(seed: u64, hosts: usize, length: Duration) -> Self {
        if seed < FIRST_SEED {
            return Self::default();
        }
        let mut rng = Pcg64Mcg::seed_from_u64(!seed);
        let mut plan = Self::default();
        let end_ms = length.mul_f64(0.75).as_millis() as u64;
        let mut at_ms = rng.random_range(EVERY_MS);
        while at_ms < end_ms {
            let turn = if rng.random_ratio(1, 4) {
                TargetTurn::Reborn
            } else {
                TargetTurn::Cold(Duration::from_millis(rng.random_range(COLD_LASTS_MS)))
            };
            plan.turns.push((Duration::from_millis(at_ms), rng.random_range(0..hosts), turn));
            at_ms += rng.random_range(EVERY_MS);
        }
        let from = length.mul_f64(rng.random_range(0.05..0.15));
        plan.evacuations.push((from, length.mul_f64(0.75), rng.random_range(0..CENTRES)));
        plan
    }
}

/// Lets everything of a plan happen; returns when the last of it is over.
pub fn play(fleet: &SoakFleet, plan: &PlacePlan, start: Instant) {
    let wait = |at: Duration| {
        std::thread::sleep((start + at).saturating_duration_since(Instant::now()));
    };
    std::thread::scope(|scope| {
        for (from, to, centre) in &plan.evacuations {
            scope.spawn(move || {
                wait(*from);
                fleet.evacuate(*centre, true);
                let from = Instant::now();
                wait(*to);
                let to = Instant::now();
                fleet.evacuate(*centre, false);
                lock(&fleet.evacuations).push(EvacuationNote { centre: *centre, from, to });
            });
        }
        for (at, host, turn) in &plan.turns {
            wait(*at);
            fleet.turn_target(*host, *turn);
        }
    });
}

/// Judges what reached cold targets and evacuated data centres.
pub fn judge(fleet: &SoakFleet, arrivals: &[Arrival], findings: &mut Vec<String>) {
    for cold in lock(&fleet.colds).iter() {
        judge_cold(cold, arrivals, findings);
    }
    for note in lock(&fleet.evacuations).iter() {
        judge_evacuation(fleet, note, arrivals, findings);
    }
}

fn judge_cold(cold: &ColdNote, arrivals: &[Arrival], findings: &mut Vec<String>) {
    let bound = (COLD_PER_S * COLD_OVER + COLD_SLACK) as usize;
    let from = cold.from + COLD_KNOWN_AFTER;
    let own = |arrival: &&Arrival| {
        arrival.target == cold.target
            && arrival.run.received_at >= from
            && arrival.run.received_at < cold.to
    };
    let times: Vec<Instant> =
        arrivals.iter().filter(own).map(|arrival| arrival.run.received_at).collect();
    let most = times.iter().map(|start| {
        let within = |at: &&Instant| **at >= *start && **at < *start + Duration::from_secs(1);
        times.iter().filter(within).count()
    });
    let most = most.max().unwrap_or_default();
    if most > bound {
        let (target, host) = (&cold.target, cold.host);
        findings.push(format!("{target} at host-{host}: cold, and got {most} in a second"));
    }
}

fn judge_evacuation(
    fleet: &SoakFleet,
    note: &EvacuationNote,
    arrivals: &[Arrival],
    findings: &mut Vec<String>,
) {
    let late = arrivals.iter().filter(|arrival| {
        let host = &fleet.hosts[arrival.host];
        let at = arrival.run.received_at;
        arrival.host % CENTRES == note.centre
            && at > note.from + EVACUATED_AFTER
            && at < note.to
            && !host.started_within(at.checked_sub(FRESH).unwrap_or(at), at)
    });
    let late = late.count();
    if late > 0 {
        findings.push(format!("centre-{}: {late} requests while evacuated", note.centre));
    }
}
