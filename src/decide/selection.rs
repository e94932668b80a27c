//! Which target an entry sends a call to.
//!
//! Pure: policies see one service's candidates and choose an index. They are
//! rows that register themselves; a template names the one it wants.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::base::ids::{CentreName, DaemonIncarnation, HostName, TargetName};
use crate::base::wire::LoadReport;
use crate::decide::clock_lead::ClockLead;

/// Name of the policy of a template that names none.
pub const DEFAULT_POLICY: &str = "expected_completion";

/// Weight of the newest latency in an entry's own smoothed one.
const LATENCY_WEIGHT: f64 = 0.2;

/// Age at which a load report has lost half its weight, in microseconds.
const LOAD_HALF_LIFE_US: f64 = 50_000.0;

/// Age at which a service time is half forgotten, in microseconds.
const SERVICE_HALF_LIFE_US: f64 = 4_000_000.0;

/// What a target not heard of for long is hoped to take, as a part of the best.
const PRIOR_PART: f64 = 0.9;

/// Service time assumed of a target never heard of, in microseconds.
const UNKNOWN_SERVICE_US: f64 = 5_000.0;

/// Candidates that the expected-completion policy compares.
const COMPARED: usize = 3;

/// Weight of the part of a target's slots in use, before any call waits.
///
/// Greater spreads calls wider and survives bursts better, smaller keeps them
/// on the fast hosts; docs/design/policy.md has the table.
const CROWDING: f64 = 1.5;

/// Time over which a target that joined gets its full part of the load.
const SLOW_START_US: f64 = 5_000_000.0;

/// How many times the service time a failed answer is taken to cost.
const FAILURE_COST: f64 = 8.0;

/// Failures in a row after which a target is left alone for a while.
const EJECT_AFTER: u32 = 5;

/// First time a target is left alone; doubles up to 32 times as long.
const EJECT_FOR: MicroTime = MicroTime::from_millis(250);

/// Time since the last report of a target after which the fleet's doubt counts for more:
/// one that is in use here tells of itself several times as often.
const HEARD_LATELY: MicroTime = MicroTime::from_millis(500);

/// Where a target is, and whose.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TargetPlace {
    /// Its host.
    pub host: HostName,
    /// The host's data centre.
    pub data_centre: CentreName,
    /// The life of its guard.
    pub incarnation: DaemonIncarnation,
    /// Where its guard listens.
    pub guard: std::net::SocketAddr,
}

/// What an entry knows of one target.
#[derive(Clone, Debug, Serialize)]
pub struct TargetRecord {
    /// The target's name.
    pub name: TargetName,
    /// Where it is; nothing in a bench.
    pub place: Option<TargetPlace>,
    /// Calls this entry has under way there. Exact.
    pub outstanding: u32,
    /// The newest load report.
    pub load: LoadReport,
    /// When that report came; zero if none came yet.
    pub heard: MicroTime,
    /// Own calls under way when that report came.
    pub outstanding_then: u32,
    /// Smoothed latency of this entry's calls, in microseconds.
    pub latency_us: f64,
    /// Failures in a row.
    pub failures: u32,
    /// Not chosen before this time.
    pub ejected_until: MicroTime,
    /// Whether the fleet doubts that its host is alive.
    pub suspect: bool,
    /// When the target joined, for its slow start.
    pub joined: MicroTime,
    /// Whether its host is in another data centre than the entry's.
    pub far: bool,
    /// Whether its guard tells this entry each change of its load.
    pub watched: bool,
    /// The lead of its guard's clock; nothing before the first report.
    pub clock_lead: Option<ClockLead>,
}

impl TargetRecord {
    /// Makes the record of a target that joins now.
    #[must_use]
    pub fn new(
        name: TargetName,
        place: Option<TargetPlace>,
        slots: u16,
        joined: MicroTime,
    ) -> Self {
        Self {
            name,
            place,
            outstanding: 0,
            load: LoadReport { slots, ..LoadReport::default() },
            heard: MicroTime(0),
            outstanding_then: 0,
            latency_us: 0.0,
            failures: 0,
            ejected_until: MicroTime(0),
            suspect: false,
            joined,
            far: false,
            watched: false,
            clock_lead: None,
        }
    }

    /// Notes a load report, unless a newer one is known.
    pub fn hear(&mut self, now: MicroTime, load: LoadReport) {
        if load.sequence <= self.load.sequence {
            return;
        }
        let clock = self.clock_lead.get_or_insert_with(|| ClockLead::open(now, load.reported_at));
        let held_up = clock.note(now, load.reported_at);
        self.load = load;
        // Held up on its way, a report is as old as that.
        self.heard = now - held_up;
        self.outstanding_then = self.outstanding;
    }

    /// Notes how a call of this entry ended; `latency` only if it was answered.
    pub fn finish(&mut self, now: MicroTime, latency: Option<MicroTime>, failed: bool) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if failed {
            self.fail(now);
            return;
        }
        if let Some(latency) = latency {
            self.failures = 0;
            let newest = latency.0 as f64;
            let weight = if self.latency_us == 0.0 { 1.0 } else { LATENCY_WEIGHT };
            self.latency_us += weight * (newest - self.latency_us);
        }
    }

    /// Leaves a target alone at once whose guard can't be reached.
    pub fn lose_contact(&mut self, now: MicroTime) {
        self.failures = self.failures.max(EJECT_AFTER - 1);
        self.fail(now);
    }

    /// Tells whether it is left alone while there are others: its calls failed here,
    /// or the fleet doubts its host and nothing was heard of it here for a while.
    pub(crate) fn is_avoided(&self, now: MicroTime) -> bool {
        let silent = now.since(self.heard) >= HEARD_LATELY;
        self.ejected_until > now || (self.suspect && silent)
    }

    fn fail(&mut self, now: MicroTime) {
        self.failures += 1;
        if self.failures >= EJECT_AFTER {
            let doublings = (self.failures - EJECT_AFTER).min(5);
            self.ejected_until = now + MicroTime(EJECT_FOR.0 << doublings);
        }
    }

    /// Returns the time the target takes for a call, in microseconds.
    #[must_use]
    pub fn service_us(&self) -> f64 {
        match self.load.service_us {
            0 => UNKNOWN_SERVICE_US,
            known => f64::from(known),
        }
    }

    /// Estimates how many calls a call sent now would find there: the own ones,
    /// and of the others what was told, halved every `half_life_us` since.
    pub(crate) fn ahead(&self, now: MicroTime, half_life_us: f64) -> f64 {
        let age = now.since(self.heard).0 as f64;
        let told = f64::from(self.load.in_flight + self.load.queued);
        let others = (told - f64::from(self.outstanding_then)).max(0.0);
        others * half_life(age, half_life_us) + f64::from(self.outstanding)
    }

    /// Estimates when a call sent now would be answered, in microseconds.
    ///
    /// `best_us` is the least service time of all candidates: what was slow long
    /// ago is hoped to beat the best by now, or it would never be tried again.
    fn expected_us(&self, now: MicroTime, best_us: f64) -> f64 {
        let slots = f64::from(self.load.slots.max(1));
        let age = now.since(self.heard).0 as f64;
        let known = half_life(age, SERVICE_HALF_LIFE_US);
        let hoped = PRIOR_PART * best_us;
        let service = hoped + (self.service_us() - hoped) * known;
        let ahead = self.ahead(now, LOAD_HALF_LIFE_US);
        let wait = (ahead + 1.0 - slots).max(0.0) / slots;
        let crowding = ahead / slots;
        let failing = f64::from(self.load.failure_permille) / 1_000.0;
        let cost = service * (1.0 + wait + CROWDING * crowding) * (1.0 + FAILURE_COST * failing);
        let ramp = now.since(self.joined).0 as f64 / SLOW_START_US;
        cost / ramp.clamp(0.1, 1.0)
    }
}

/// What an entry knows of a call before it chooses a target.
#[derive(Clone, Copy, Debug)]
pub struct CallOutlook {
    /// Time a target at its usual speed takes, in microseconds; zero if unknown.
    pub work_us: f64,
    /// Time left to the latency objective, in microseconds.
    pub objective_us: f64,
    /// What its bytes cost if they cross to another data centre, as a part of
    /// the benefit of one call.
    pub crossing_cost: f64,
}

impl Default for CallOutlook {
    fn default() -> Self {
        Self { work_us: 0.0, objective_us: 1_000_000.0, crossing_cost: 0.0 }
    }
}

/// The input of one choice.
#[derive(Debug)]
pub struct SelectionInput<'a> {
    /// The time.
    pub now: MicroTime,
    /// All targets of the service.
    pub targets: &'a [TargetRecord],
    /// Indices that may be chosen; never empty.
    pub eligible: &'a [usize],
    /// Calls chosen so far, for policies that take turns.
    pub turn: usize,
    /// What is known of the call.
    pub outlook: &'a CallOutlook,
}

/// One way to choose, as plug-ins register it.
#[derive(Debug)]
pub struct SelectionPolicy {
    /// The name that templates use.
    pub name: &'static str,
    /// Chooses one of `eligible`.
    pub choose: fn(&SelectionInput<'_>, &mut Pcg64Mcg) -> usize,
}

inventory::collect!(SelectionPolicy);

/// Returns a registered policy by name.
#[must_use]
pub fn policy(name: &str) -> Option<&'static SelectionPolicy> {
    inventory::iter::<SelectionPolicy>.into_iter().find(|policy| policy.name == name)
}

/// Returns the policy of a template that names none.
#[must_use]
pub fn default_policy() -> &'static SelectionPolicy {
    &EXPECTED_COMPLETION
}

/// Returns the names of all registered policies, sorted.
#[must_use]
pub fn policy_names() -> Vec<&'static str> {
    let mut names: Vec<_> =
        inventory::iter::<SelectionPolicy>.into_iter().map(|policy| policy.name).collect();
    names.sort_unstable();
    names
}

inventory::submit! { SelectionPolicy { name: "random", choose: choose_random } }
inventory::submit! { SelectionPolicy { name: "round_robin", choose: choose_in_turn } }
inventory::submit! { SelectionPolicy { name: "least_outstanding", choose: choose_idlest } }
inventory::submit! { SelectionPolicy { name: "two_choices", choose: choose_of_two } }
inventory::submit! { SelectionPolicy { name: "latency", choose: choose_fastest } }
inventory::submit! { EXPECTED_COMPLETION }

const EXPECTED_COMPLETION: SelectionPolicy =
    SelectionPolicy { name: DEFAULT_POLICY, choose: choose_soonest };

fn choose_random(input: &SelectionInput<'_>, rng: &mut Pcg64Mcg) -> usize {
    input.eligible[rng.random_range(0..input.eligible.len())]
}

fn choose_in_turn(input: &SelectionInput<'_>, _: &mut Pcg64Mcg) -> usize {
    input.eligible[input.turn % input.eligible.len()]
}

fn choose_idlest(input: &SelectionInput<'_>, rng: &mut Pcg64Mcg) -> usize {
    least(input.eligible, rng, |index| f64::from(input.targets[index].outstanding))
}

fn choose_of_two(input: &SelectionInput<'_>, rng: &mut Pcg64Mcg) -> usize {
    let pair = sample(input.eligible, 2, rng);
    least(&pair, rng, |index| f64::from(input.targets[index].outstanding))
}

fn choose_fastest(input: &SelectionInput<'_>, rng: &mut Pcg64Mcg) -> usize {
    let pair = sample(input.eligible, 2, rng);
    least(&pair, rng, |index| input.targets[index].latency_us)
}

fn choose_soonest(input: &SelectionInput<'_>, rng: &mut Pcg64Mcg) -> usize {
    let some = sample(input.eligible, COMPARED, rng);
    let services = input.eligible.iter().map(|&index| input.targets[index].service_us());
    let best_us = services.fold(f64::INFINITY, f64::min);
    least(&some, rng, |index| input.targets[index].expected_us(input.now, best_us))
}

/// Returns what is left after `age` of something that halves in `half_life`.
pub(crate) fn half_life(age: f64, half_life: f64) -> f64 {
    (-age / half_life * std::f64::consts::LN_2).exp()
}

/// Draws up to `count` different indices.
fn sample(eligible: &[usize], count: usize, rng: &mut Pcg64Mcg) -> Vec<usize> {
    let mut drawn: Vec<usize> = Vec::with_capacity(count);
    if eligible.len() <= count {
        return eligible.to_vec();
    }
    while drawn.len() < count {
        let index = eligible[rng.random_range(0..eligible.len())];
        if !drawn.contains(&index) {
            drawn.push(index);
        }
    }
    drawn
}

/// Returns the index of least cost; ties are drawn.
fn least(indices: &[usize], rng: &mut Pcg64Mcg, cost: impl Fn(usize) -> f64) -> usize {
    let mut best = indices[0];
    let mut best_cost = cost(best);
    let mut ties = 1;
    for &index in &indices[1..] {
        let cost = cost(index);
        if cost < best_cost {
            (best, best_cost, ties) = (index, cost, 1);
        } else if cost <= best_cost {
            ties += 1;
            if rng.random_range(0..ties) == 0 {
                best = index;
            }
        }
    }
    best
}
