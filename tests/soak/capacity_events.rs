//! Cold targets, target restarts and evacuations, for seeds from [`FIRST_SEED`] on.
//!
//! Smaller seeds have none, so that they keep the plans under which they found faults.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::check::Arrival;
use super::fleet::SoakFleet;
use super::host::lock;

/// First seed whose plan has capacity events.
pub const FIRST_SEED: u64 = 1_000;

/// Number of data centres of a fleet.
pub const DATA_CENTRES: usize = 3;

/// Allowance of a cold target: calls per second as the operator configures it, and the
/// factor and the number of calls by which the terms let the fleet exceed it.
pub const COLD_PER_S: f64 = 6.0;
pub const COLD_OVER: f64 = 1.5;
pub const COLD_SLACK: f64 = 4.0;

/// Time after which the guard of a target must know that it turned cold: heartbeats are
/// sent every 100 ms, and the guard may be suspended for longer than that.
const COLD_REPORT_DELAY: Duration = Duration::from_millis(500);

/// Time after the acknowledgement of an evacuation from which no request may reach the
/// data centre: 5 s, plus the longest disruption that can keep the news from a daemon.
const EVACUATION_DELAY: Duration = Duration::from_secs(8);

/// Time after the start of a daemon in which it need not know of an evacuation.
const START_GRACE: Duration = Duration::from_secs(3);

/// Time between two target events, and the duration of a cold period, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 500..2_500;
const COLD_DURATION_MS: std::ops::Range<u64> = 1_500..4_000;

/// An event at a target.
#[derive(Clone, Copy, Debug)]
pub enum TargetEvent {
    /// The target is cold for this time.
    Cold(Duration),
    /// The target restarts under the same name.
    Restart,
}

/// The capacity events of a run, with times counted from its start.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlan {
    /// Time, index of the host, and event.
    pub target_events: Vec<(Duration, usize, TargetEvent)>,
    /// Start and end of an evacuation, and the number of the data centre.
    pub evacuations: Vec<(Duration, Duration, usize)>,
}

/// A period in which a target was cold.
pub struct ColdPeriod {
    pub target: String,
    pub host: usize,
    pub from: Instant,
    pub to: Instant,
}

/// A period in which a data centre was evacuated: from the acknowledgement of the store
/// until the operator ended the evacuation.
pub struct EvacuationPeriod {
    pub data_centre: usize,
    pub from: Instant,
    pub to: Instant,
}

impl CapacityPlan {
    pub fn draw(seed: u64, hosts: usize, duration: Duration) -> Self {
        if seed < FIRST_SEED {
            return Self::default();
        }
        let mut rng = Pcg64Mcg::seed_from_u64(!seed);
        let mut plan = Self::default();
        let end_ms = duration.mul_f64(0.75).as_millis() as u64;
        let mut at_ms = rng.random_range(INTERVAL_MS);
        while at_ms < end_ms {
            let event = if rng.random_ratio(1, 4) {
                TargetEvent::Restart
            } else {
                TargetEvent::Cold(Duration::from_millis(rng.random_range(COLD_DURATION_MS)))
            };
            plan.target_events.push((
                Duration::from_millis(at_ms),
                rng.random_range(0..hosts),
                event,
            ));
            at_ms += rng.random_range(INTERVAL_MS);
        }
        let from = duration.mul_f64(rng.random_range(0.05..0.15));
        plan.evacuations.push((from, duration.mul_f64(0.75), rng.random_range(0..DATA_CENTRES)));
        plan
    }
}

/// Runs all events of a plan; returns when the last evacuation has ended.
pub fn run(fleet: &SoakFleet, plan: &CapacityPlan, start: Instant) {
    let wait = |at: Duration| {
        std::thread::sleep((start + at).saturating_duration_since(Instant::now()));
    };
    std::thread::scope(|scope| {
        for (from, to, data_centre) in &plan.evacuations {
            scope.spawn(move || {
                wait(*from);
                fleet.evacuate(*data_centre, true);
                let from = Instant::now();
                wait(*to);
                let to = Instant::now();
                fleet.evacuate(*data_centre, false);
                lock(&fleet.evacuations).push(EvacuationPeriod {
                    data_centre: *data_centre,
                    from,
                    to,
                });
            });
        }
        for (at, host, event) in &plan.target_events {
            wait(*at);
            fleet.apply_target_event(*host, *event);
        }
    });
}

/// Checks what arrived at cold targets and in evacuated data centres.
pub fn check_arrivals(fleet: &SoakFleet, arrivals: &[Arrival], findings: &mut Vec<String>) {
    for period in lock(&fleet.cold_periods).iter() {
        check_cold_period(period, arrivals, findings);
    }
    for evacuation in lock(&fleet.evacuations).iter() {
        check_evacuation(fleet, evacuation, arrivals, findings);
    }
}

fn check_cold_period(period: &ColdPeriod, arrivals: &[Arrival], findings: &mut Vec<String>) {
    let bound = (COLD_PER_S * COLD_OVER + COLD_SLACK) as usize;
    let from = period.from + COLD_REPORT_DELAY;
    let in_period = |arrival: &&Arrival| {
        arrival.target == period.target
            && arrival.run.received_at >= from
            && arrival.run.received_at < period.to
    };
    let times: Vec<Instant> =
        arrivals.iter().filter(in_period).map(|arrival| arrival.run.received_at).collect();
    let peak = times.iter().map(|start| {
        let within = |at: &&Instant| **at >= *start && **at < *start + Duration::from_secs(1);
        times.iter().filter(within).count()
    });
    let peak = peak.max().unwrap_or_default();
    if peak > bound {
        let (target, host) = (&period.target, period.host);
        findings.push(format!("{target} at host-{host}: {peak} requests within 1 s while cold"));
    }
}

fn check_evacuation(
    fleet: &SoakFleet,
    evacuation: &EvacuationPeriod,
    arrivals: &[Arrival],
    findings: &mut Vec<String>,
) {
    let late = arrivals.iter().filter(|arrival| {
        let host = &fleet.hosts[arrival.host];
        let at = arrival.run.received_at;
        arrival.host % DATA_CENTRES == evacuation.data_centre
            && at > evacuation.from + EVACUATION_DELAY
            && at < evacuation.to
            && !host.started_within(at.checked_sub(START_GRACE).unwrap_or(at), at)
    });
    let late = late.count();
    if late > 0 {
        findings.push(format!(
            "centre-{}: {late} requests arrived during its evacuation",
            evacuation.data_centre
        ));
    }
}
