//! Changes of the configuration in quick succession beside faults of the store and of all that read
//! it, for seeds from [`FIRST_SEED`] on, and the check that a configuration is in force in time.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::client::{self, RequestKind, RequestOutcome, RequestRecord};
use super::fleet::{SERVICES, SoakFleet};
use super::host::lock;

/// First seed whose plan has such events.
pub const FIRST_SEED: u64 = 8_000;

/// Number of versions whose routes a configuration has: each adds one and drops the oldest.
pub const KEPT_VERSIONS: u64 = 4;

/// Time after its acknowledgement in which a version has to be in force, by the deployment's terms.
pub const CONFIG_DEADLINE: Duration = Duration::from_secs(2);

/// Time without harm after which a host is bound by [`CONFIG_DEADLINE`], as the platform states it.
const STABILITY: Duration = Duration::from_secs(3);

/// Duration of a short run with such events: some spans without harm must fit.
pub const CI_DURATION: Duration = Duration::from_secs(20);

/// One in this many other disruptions is kept, so that hosts are bound for most of the time.
const KEPT_DISRUPTION_ODDS: u32 = 4;

/// Time between two changes, and between two probes of a host, in milliseconds.
const CHANGE_MS: std::ops::Range<u64> = 250..2_500;
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two faults of the store and their duration, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 2_000..6_500;
const FAULT_MS: std::ops::Range<u64> = 200..4_500;

/// Share of a run in which faults begin.
const FAULTY_SHARE: f64 = 0.8;

/// Deadline of a probe.
const PROBE_DEADLINE: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum StoreFault {
    /// All open connections of all hosts fall silent.
    SilenceConnections,
    /// So do all that are opened for a time.
    Silence,
    /// The store refuses all requests for a time.
    Refuse,
    /// The store resets the connections of some hosts, and refuses new ones.
    TurnAway(Vec<usize>),
    /// Some hosts are turned away for a moment; then the others are cut off from the store.
    CutOthers(Vec<usize>),
}

/// The events of a run.
#[derive(Clone, Debug, Default)]
pub struct ConfigPlan {
    changes: Vec<Duration>,
    faults: Vec<(Duration, Duration, StoreFault)>,
}

impl ConfigPlan {
    pub fn draw(seed: u64, hosts: usize, duration: Duration) -> Self {
        if seed < FIRST_SEED {
            return Self::default();
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xc0f1);
        let end = duration.as_millis() as u64;
        let mut plan = Self::default();
        let mut at = rng.random_range(CHANGE_MS);
        while at < end {
            plan.changes.push(Duration::from_millis(at));
            at += rng.random_range(CHANGE_MS);
        }
        let mut at = rng.random_range(FAULT_INTERVAL_MS) / 2;
        while at < (end as f64 * FAULTY_SHARE) as u64 {
            let lasts = rng.random_range(FAULT_MS);
            let fault = draw_fault(&mut rng, hosts);
            plan.faults.push((Duration::from_millis(at), Duration::from_millis(lasts), fault));
            at += lasts + rng.random_range(FAULT_INTERVAL_MS);
        }
        plan
    }

    pub const fn is_active(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Whether another disruption of the run is kept.
    pub fn keeps(&self, rng: &mut Pcg64Mcg) -> bool {
        !self.is_active() || rng.random_ratio(1, KEPT_DISRUPTION_ODDS)
    }
}

fn draw_fault(rng: &mut Pcg64Mcg, hosts: usize) -> StoreFault {
    let mut some: Vec<usize> = (0..hosts).collect();
    some.shuffle(rng);
    some.truncate(rng.random_range(hosts / 2..hosts));
    match rng.random_range(0..6) {
        0 | 1 => StoreFault::SilenceConnections,
        2 => StoreFault::Silence,
        3 => StoreFault::Refuse,
        4 => StoreFault::TurnAway(some),
        _ => StoreFault::CutOthers(some),
    }
}

/// Plays the faults of the store; returns when they have ended.
pub fn run_faults(fleet: &SoakFleet, plan: &ConfigPlan, start: Instant) {
    for (at, lasts, fault) in &plan.faults {
        std::thread::sleep((start + *at).saturating_duration_since(Instant::now()));
        inject(fleet, *lasts, fault);
    }
}

fn inject(fleet: &SoakFleet, lasts: Duration, fault: &StoreFault) {
    let all: Vec<usize> = (0..fleet.hosts.len()).collect();
    match fault {
        StoreFault::SilenceConnections => {
            harm(fleet, &all, || {
                for host in &fleet.hosts {
                    host.links.store.silence();
                }
            });
        }
        StoreFault::Silence => harm(fleet, &all, || {
            mute(fleet, &all, true);
            std::thread::sleep(lasts);
            mute(fleet, &all, false);
        }),
        StoreFault::Refuse => fleet.with_store_faults(lasts, |faults| faults.down = true),
        StoreFault::TurnAway(hosts) => turn_away(fleet, hosts, lasts),
        StoreFault::CutOthers(hosts) => {
            turn_away(fleet, hosts, Duration::from_millis(300));
            let others: Vec<usize> = all.into_iter().filter(|host| !hosts.contains(host)).collect();
            harm(fleet, &others, || {
                mute(fleet, &others, true);
                std::thread::sleep(lasts);
                mute(fleet, &others, false);
            });
        }
    }
}

fn mute(fleet: &SoakFleet, hosts: &[usize], mute: bool) {
    for host in hosts {
        fleet.hosts[*host].links.store.mute(mute);
    }
}

fn turn_away(fleet: &SoakFleet, hosts: &[usize], lasts: Duration) {
    harm(fleet, hosts, || {
        for host in hosts {
            fleet.refuse_store(*host, true);
        }
        std::thread::sleep(lasts);
        for host in hosts {
            fleet.refuse_store(*host, false);
        }
    });
}

/// Records a fault of the links of some hosts.
fn harm(fleet: &SoakFleet, hosts: &[usize], fault: impl FnOnce()) {
    let from = Instant::now();
    fault();
    for host in hosts {
        lock(&fleet.hosts[*host].link_faults).push((from, Instant::now()));
    }
}

/// Publishes the changes.
pub fn run_changes(fleet: &SoakFleet, plan: &ConfigPlan, start: Instant) {
    for at in &plan.changes {
        std::thread::sleep((start + *at).saturating_duration_since(Instant::now()));
        fleet.publish_config(false);
    }
}

/// Asks one host again and again for the routes of the newest version that has to be in force, of
/// the newest one at all and of the newest one whose route was dropped.
pub fn run_probes(fleet: &SoakFleet, host: usize, stop: &AtomicBool) -> Vec<RequestRecord> {
    let mut records = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let newest = fleet.config_version.load(Ordering::Relaxed);
        let dropped = newest.saturating_sub(KEPT_VERSIONS);
        let due = fleet.newest_due_at(Instant::now());
        for version in [newest, dropped, due] {
            if version == 0 {
                continue;
            }
            let id = format!("p{host}-{}", records.len());
            let service = SERVICES[records.len() % SERVICES.len()];
            let line = format!("GET /v{version}/{id} HTTP/1.1");
            let kind = RequestKind::Versioned(version);
            let record =
                client::new_record(id, kind, host, service, line, Vec::new(), PROBE_DEADLINE);
            records.push(client::send_request(fleet, record, false, &mut None));
        }
        std::thread::sleep(PROBE_INTERVAL);
    }
    records
}

/// Checks that hosts without harm handle requests as each version that has to be in force demands.
pub fn check_deadlines(fleet: &SoakFleet, records: &[RequestRecord], findings: &mut Vec<String>) {
    let mut checked = 0;
    for record in records {
        let (RequestKind::Versioned(version), RequestOutcome::Answered { status, .. }) =
            (&record.kind, &record.outcome)
        else {
            continue;
        };
        // The start of the process is a harm as well.
        let Some(from) = record.sent.checked_sub(STABILITY) else { continue };
        if fleet.was_harmed(record.host, from, record.ended) {
            continue;
        }
        checked += 1;
        let age = |version: u64| {
            let acknowledged = fleet.acknowledged_at(version)?;
            let age = record.sent.saturating_duration_since(acknowledged);
            (age >= CONFIG_DEADLINE).then_some(age)
        };
        let dropped_by = version + KEPT_VERSIONS;
        let may_be_dropped = fleet.sent_at(dropped_by).is_some_and(|sent| sent < record.ended);
        if let Some(age) = age(*version).filter(|_age| *status == 404 && !may_be_dropped) {
            findings.push(format!(
                "{}: host-{} refused a route of version {version}, acknowledged {age:?} before",
                record.id, record.host
            ));
        }
        if let Some(age) = age(dropped_by).filter(|_age| *status == 200) {
            findings.push(format!(
                "{}: host-{} served a route that version {dropped_by} dropped, {age:?} before",
                record.id, record.host
            ));
        }
    }
    println!("{checked} answers at hosts that are bound by the deadline of configurations");
}
