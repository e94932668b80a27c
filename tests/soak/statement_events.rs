//! Targets that state in their answers which rate they take, or that they leave, for seeds from
//! [`FIRST_SEED`] on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::check::Arrival;
use super::client::{RequestOutcome, RequestRecord};
use super::fleet::SoakFleet;
use super::held_events;
use super::host::lock;

/// First seed whose plan has statements of targets.
pub const FIRST_SEED: u64 = 3_000;

/// Window over which the requests that reach a target are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Factor and number of requests by which a target may get more than the rate it states.
const RATE_FACTOR: f64 = 1.5;
const RATE_SLACK: f64 = 5.0;

/// Time after a host passed on a statement from which its requests count.
const STATEMENT_DELAY: Duration = Duration::from_millis(500);

/// Time after a host passed on that a target leaves in which clients' requests may still be
/// sent there.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// Header by which clients tell which target stated something.
const STATED_BY: &str = "x-stated-by";

/// Times between two events, and durations of a statement, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 800..3_000;
const DURATION_MS: std::ops::Range<u64> = 2_000..8_000;

/// Longest time between two changes of a stated rate, in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 400;

/// What a target states.
#[derive(Clone, Copy, Debug)]
pub enum StatementEvent {
    /// At most this many requests per second; it changes below that meanwhile.
    Rate(f64),
    /// The target leaves, and is replaced by another one.
    Leaving,
}

/// An event, with times counted from the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStatement {
    at: Duration,
    duration: Duration,
    pub host: usize,
    event: StatementEvent,
    /// Whether answers to health checks state the same.
    by_health: bool,
    /// Whether the daemon beside the target is killed and restarted meanwhile.
    pub kills_guard: bool,
}

impl PlannedStatement {
    /// Returns the time at which the daemon is killed, if it is.
    pub fn kill_at(&self) -> Duration {
        self.at + self.duration / 2
    }
}

/// A period in which a target stated something.
pub struct StatementPeriod {
    target: String,
    event: StatementEvent,
    from: Instant,
    to: Instant,
}

/// Draws the statements of a run.
pub fn draw(
    seed: u64,
    hosts: usize,
    duration: Duration,
    planned_only: bool,
) -> Vec<PlannedStatement> {
    let mut statements = Vec::new();
    if !(FIRST_SEED..held_events::FIRST_SEED).contains(&seed) {
        return statements;
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(17));
    let end = duration.mul_f64(0.75);
    let mut at = Duration::from_millis(rng.random_range(0..1_000));
    while at < end {
        let event = match rng.random_range(0..8) {
            0 | 1 => StatementEvent::Leaving,
            2 => StatementEvent::Rate(0.0),
            3 => StatementEvent::Rate(0.3),
            _ => StatementEvent::Rate(f64::from(rng.random_range(10..200_u32)) / 10.0),
        };
        statements.push(PlannedStatement {
            at,
            duration: Duration::from_millis(rng.random_range(DURATION_MS)),
            host: rng.random_range(0..hosts),
            event,
            by_health: rng.random(),
            kills_guard: rng.random() && !planned_only,
        });
        at += Duration::from_millis(rng.random_range(INTERVAL_MS));
    }
    statements
}

/// Runs all events; returns when the last one has ended.
pub fn run(fleet: &SoakFleet, statements: &[PlannedStatement], seed: u64, start: Instant) {
    std::thread::scope(|scope| {
        for (index, planned) in statements.iter().enumerate() {
            std::thread::sleep((start + planned.at).saturating_duration_since(Instant::now()));
            let mut rng = Pcg64Mcg::seed_from_u64(seed ^ ((index as u64) << 40));
            if planned.kills_guard {
                scope.spawn(move || {
                    std::thread::sleep(planned.duration / 2);
                    fleet.kill(&fleet.hosts[planned.host]);
                });
            }
            scope.spawn(move || match planned.event {
                StatementEvent::Rate(rate) => state_rate(fleet, planned, rate, &mut rng),
                StatementEvent::Leaving => leave(fleet, planned),
            });
        }
    });
}

/// Lets a target state a rate, unless it states something already.
fn state_rate(fleet: &SoakFleet, planned: &PlannedStatement, max: f64, rng: &mut Pcg64Mcg) {
    let host = &fleet.hosts[planned.host];
    let Ok(_stating) = host.stating.try_lock() else { return };
    let target = Arc::clone(&lock(&host.target));
    let name = target.name().to_owned();
    let from = Instant::now();
    let end = from + planned.duration;
    while Instant::now() < end {
        let rate = if rng.random_ratio(1, 3) { max } else { max * rng.random_range(0.8..1.0) };
        let lines = format!("Server-Limit: {rate:.3}\r\nX-Stated-By: {name}\r\n");
        target.set_answer_headers(&lines);
        target.set_health_headers(if planned.by_health { &lines } else { "" });
        std::thread::sleep(Duration::from_millis(rng.random_range(20..CHANGE_INTERVAL_MS)));
    }
    let to = Instant::now();
    target.set_answer_headers("");
    target.set_health_headers("");
    lock(&fleet.statements).push(StatementPeriod { target: name, event: planned.event, from, to });
}

/// Lets a target leave that says so in its answers alone, and replaces it.
fn leave(fleet: &SoakFleet, planned: &PlannedStatement) {
    let host = &fleet.hosts[planned.host];
    let Ok(_stating) = host.stating.try_lock() else { return };
    let target = Arc::clone(&lock(&host.target));
    let name = target.name().to_owned();
    let from = Instant::now();
    target.set_answer_headers(&format!("Server-Leaving: 1\r\nX-Stated-By: {name}\r\n"));
    std::thread::sleep(planned.duration);
    let to = Instant::now();
    lock(&fleet.statements).push(StatementPeriod { target: name, event: planned.event, from, to });
    let mut current = lock(&host.target);
    // Another disruption may have replaced it meanwhile.
    if Arc::ptr_eq(&current, &target) {
        current.crash();
        fleet.start_target(host, &mut current);
    }
}

/// Checks what arrived at targets after they had stated something.
pub fn check_arrivals(
    fleet: &SoakFleet,
    records: &[RequestRecord],
    arrivals: &[Arrival],
    findings: &mut Vec<String>,
) {
    for period in lock(&fleet.statements).iter() {
        let counted: Vec<Instant> = arrivals
            .iter()
            .filter(|arrival| arrival.target == period.target)
            .filter_map(|arrival| counted_arrival(fleet, records, period, arrival))
            .collect();
        match period.event {
            StatementEvent::Rate(rate) => check_rate(period, rate, &counted, findings),
            StatementEvent::Leaving if counted.is_empty() => {}
            StatementEvent::Leaving => {
                let (target, late) = (&period.target, counted.len());
                findings.push(format!("{target}: {late} requests after it said that it leaves"));
            }
        }
    }
}

/// Returns the time of an arrival if its host had passed on the statement long enough before,
/// and has neither been started nor suspended since. Cuts excuse a host for rates alone.
fn counted_arrival(
    fleet: &SoakFleet,
    records: &[RequestRecord],
    period: &StatementPeriod,
    arrival: &Arrival,
) -> Option<Instant> {
    let at = arrival.run.received_at;
    if at < period.from || at > period.to {
        return None;
    }
    let id = arrival.run.headers.get("x-request-id")?;
    let record = records.iter().find(|record| record.id == *id)?;
    let host = &fleet.hosts[record.host];
    let since = match period.event {
        StatementEvent::Rate(_) => at.checked_sub(STATEMENT_DELAY)?,
        StatementEvent::Leaving => record.sent.checked_sub(DRAIN_BOUND)?,
    };
    let told_at = first_told(records, period, record.host, host.starts_before(at))?;
    let excused = match period.event {
        StatementEvent::Rate(_) => host.was_disrupted(told_at, at),
        StatementEvent::Leaving => host.was_frozen(told_at, at) || host.started_within(told_at, at),
    };
    (told_at <= since && !excused).then_some(at)
}

/// Returns when a host first passed on a statement of a target in a period, after its last
/// start.
fn first_told(
    records: &[RequestRecord],
    period: &StatementPeriod,
    host: usize,
    started_at: Instant,
) -> Option<Instant> {
    let told = records.iter().filter(|record| {
        record.host == host
            && record.ended >= period.from.max(started_at)
            && states(record, &period.target)
    });
    told.map(|record| record.ended).min()
}

fn states(record: &RequestRecord, target: &str) -> bool {
    let RequestOutcome::Answered { headers, .. } = &record.outcome else { return false };
    headers.get(STATED_BY).is_some_and(|name| name == target)
}

fn check_rate(
    period: &StatementPeriod,
    rate: f64,
    counted: &[Instant],
    findings: &mut Vec<String>,
) {
    let allowed = RATE_FACTOR * rate * RATE_WINDOW.as_secs_f64() + RATE_SLACK;
    let within = |start: &Instant| {
        counted.iter().filter(|at| **at >= *start && **at < *start + RATE_WINDOW).count()
    };
    let most = counted.iter().map(within).max().unwrap_or_default();
    if most as f64 > allowed {
        findings.push(format!(
            "{}: {most} requests within {RATE_WINDOW:?} at a stated rate of {rate}",
            period.target
        ));
    }
}
