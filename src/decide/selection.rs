//! Target selection: which target an entry sends a call to.
//!
//! A policy sees the eligible targets of one service and returns the index of one. Policies
//! register themselves by name; a service template names the one it uses.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::base::ids::{CentreName, DaemonIncarnation, HostName, TargetName};
use crate::base::load_report::{LoadReport, TargetStatement};
use crate::decide::clock_offset::ClockOffset;

/// Name of the policy used by a template that names none.
pub const DEFAULT_POLICY: &str = "expected_completion";

/// Weight of the newest latency in an entry's moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// Half-life of the information in a load report, in microseconds.
const LOAD_HALF_LIFE_US: f64 = 50_000.0;

/// Half-life of the information in a reported service time, in microseconds.
const SERVICE_HALF_LIFE_US: f64 = 4_000_000.0;

/// Service time expected of a target without a recent report, as a fraction of the best one.
const PRIOR_FACTOR: f64 = 0.9;

/// Service time assumed for a target without any report, in microseconds.
const UNKNOWN_SERVICE_US: f64 = 5_000.0;

/// Number of random candidates that the expected-completion policy compares.
const COMPARED_TARGETS: usize = 3;

/// Weight of the utilisation of a target's slots, apart from the wait for a slot.
///
/// A greater weight spreads calls more widely and handles bursts better; a smaller one keeps
/// them on the fast hosts. docs/design/policy.md has a table.
const UTILISATION_WEIGHT: f64 = 1.5;

/// Time after joining in which a target's share of the load rises to its full value, in
/// microseconds.
const SLOW_START_US: f64 = 5_000_000.0;

/// Cost of a failed answer, in service times.
const FAILURE_COST: f64 = 8.0;

/// Number of consecutive failures after which a target is ejected, that is, not chosen until
/// [`TargetRecord::ejected_until`].
const EJECT_AFTER_FAILURES: u32 = 5;

/// Duration of the first ejection; it doubles with each further failure, up to 32 times.
const EJECTION_DURATION: MicroTime = MicroTime::from_millis(250);

/// Age of a target's latest report from which on the fleet's suspicion of its host counts for
/// more than the report. A target in use here reports several times within this time.
const RECENT_REPORT_AGE: MicroTime = MicroTime::from_millis(500);

/// Age of a target's report that it leaves from which on a call is tried there again, since the
/// target may have restarted. Gossip of a restart reaches all hosts within this time.
const LEAVING_REPORT_AGE: MicroTime = MicroTime::from_millis(2_000);

/// Location of a target and its guard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TargetLocation {
    /// Host of the target.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: CentreName,
    /// Incarnation of its guard.
    pub incarnation: DaemonIncarnation,
    /// Address at which its guard listens.
    pub guard: std::net::SocketAddr,
}

/// Information of an entry about one target.
#[derive(Clone, Debug, Serialize)]
pub struct TargetRecord {
    /// Name of the target.
    pub name: TargetName,
    /// Location of the target; `None` in benchmarks.
    #[serde(rename = "place")]
    pub location: Option<TargetLocation>,
    /// Exact number of calls of this entry that are in progress at the target.
    pub outstanding: u32,
    /// Newest load report.
    pub load: LoadReport,
    /// Arrival time of the newest report, minus its delay in transit. Zero before the first
    /// report.
    #[serde(rename = "heard")]
    pub reported_at: MicroTime,
    /// Value of `outstanding` when the newest report arrived.
    #[serde(rename = "outstanding_then")]
    pub outstanding_at_report: u32,
    /// Moving average of the latency of this entry's calls, in microseconds.
    pub latency_us: f64,
    /// Number of consecutive failures.
    pub failures: u32,
    /// Time until which the target is ejected.
    pub ejected_until: MicroTime,
    /// Whether the fleet suspects that its host is down.
    pub suspect: bool,
    /// Time at which the target joined, for its slow start.
    #[serde(rename = "joined")]
    pub joined_at: MicroTime,
    /// What the target stated to an earlier guard of its host, of which the present one may not
    /// know.
    pub earlier_statement: Option<TargetStatement>,
    /// Whether its host is in another data centre than the entry.
    #[serde(rename = "far")]
    pub remote: bool,
    /// Whether its guard sends this entry a report whenever the target's load changes.
    pub watched: bool,
    /// Offset of its guard's clock; `None` before the first report.
    #[serde(rename = "clock_lead")]
    pub clock_offset: Option<ClockOffset>,
}

impl TargetRecord {
    /// Creates the record of a target that joins at `joined_at`.
    #[must_use]
    pub fn new(
        name: TargetName,
        location: Option<TargetLocation>,
        slots: u16,
        joined_at: MicroTime,
    ) -> Self {
        Self {
            name,
            location,
            outstanding: 0,
            load: LoadReport { slots, ..LoadReport::default() },
            reported_at: MicroTime(0),
            outstanding_at_report: 0,
            latency_us: 0.0,
            failures: 0,
            ejected_until: MicroTime(0),
            suspect: false,
            earlier_statement: None,
            joined_at,
            remote: false,
            watched: false,
            clock_offset: None,
        }
    }

    /// Records a load report, unless a newer one is known; returns whether it was recorded.
    pub fn record_report(&mut self, now: MicroTime, load: LoadReport) -> bool {
        if load.sequence <= self.load.sequence {
            return false;
        }
        let offset =
            self.clock_offset.get_or_insert_with(|| ClockOffset::open(now, load.reported_at));
        let delay = offset.update(now, load.reported_at);
        self.load = load;
        // A report that was delayed in transit is that much older.
        self.reported_at = now - delay;
        self.outstanding_at_report = self.outstanding;
        true
    }

    /// Records the end of a call of this entry; `latency` is given only if it was answered.
    pub fn finish(&mut self, now: MicroTime, latency: Option<MicroTime>, failed: bool) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if failed {
            self.record_failure(now);
            return;
        }
        if let Some(latency) = latency {
            self.failures = 0;
            let newest = latency.0 as f64;
            let weight = if self.latency_us == 0.0 { 1.0 } else { LATENCY_WEIGHT };
            self.latency_us += weight * (newest - self.latency_us);
        }
    }

    /// Ejects a target at once whose guard can't be reached.
    pub fn eject(&mut self, now: MicroTime) {
        self.failures = self.failures.max(EJECT_AFTER_FAILURES - 1);
        self.record_failure(now);
    }

    /// Returns whether the target is avoided while there are others: it is ejected or leaves, or
    /// its host is suspect and there is no recent report.
    pub(crate) fn is_avoided(&self, now: MicroTime) -> bool {
        let lacks_recent_report = now.since(self.reported_at) >= RECENT_REPORT_AGE;
        self.ejected_until > now
            || (self.suspect && lacks_recent_report)
            || (self.states_leaving() && now.since(self.reported_at) < LEAVING_REPORT_AGE)
    }

    fn states_leaving(&self) -> bool {
        self.load.statement.is_some_and(|statement| statement.leaving)
    }

    /// Returns whether the target stated to an earlier guard that it leaves; then it gets no
    /// calls. The present guard refuses them itself once an answer of the target told it.
    pub(crate) fn left_before(&self) -> bool {
        self.earlier_statement.is_some_and(|statement| statement.leaving)
    }

    fn record_failure(&mut self, now: MicroTime) {
        self.failures += 1;
        if self.failures >= EJECT_AFTER_FAILURES {
            let doublings = (self.failures - EJECT_AFTER_FAILURES).min(5);
            self.ejected_until = now + MicroTime(EJECTION_DURATION.0 << doublings);
        }
    }

    /// Returns the reported service time of a call, or an assumed one, in microseconds.
    #[must_use]
    pub fn service_us(&self) -> f64 {
        match self.load.service_us {
            0 => UNKNOWN_SERVICE_US,
            known => f64::from(known),
        }
    }

    /// Returns the expected number of calls at the target when a call sent now arrives: this
    /// entry's own, plus the reported number of others, halved for every `half_life_us` of the
    /// report's age.
    pub(crate) fn calls_ahead(&self, now: MicroTime, half_life_us: f64) -> f64 {
        let age = now.since(self.reported_at).0 as f64;
        let reported = f64::from(self.load.in_flight + self.load.queued);
        let others = (reported - f64::from(self.outstanding_at_report)).max(0.0);
        others * decay(age, half_life_us) + f64::from(self.outstanding)
    }

    /// Returns the expected time to the answer of a call sent now, weighted by the risk of a
    /// failure, in microseconds.
    ///
    /// `best_us` is the shortest service time of all candidates. A reported service time loses
    /// weight with age in favour of one slightly better than the best; otherwise a target that
    /// was once slow would never be tried again.
    fn expected_us(&self, now: MicroTime, best_us: f64) -> f64 {
        let slots = f64::from(self.load.slots.max(1));
        let age = now.since(self.reported_at).0 as f64;
        let weight = decay(age, SERVICE_HALF_LIFE_US);
        let prior = PRIOR_FACTOR * best_us;
        let service = prior + (self.service_us() - prior) * weight;
        let ahead = self.calls_ahead(now, LOAD_HALF_LIFE_US);
        let wait = (ahead + 1.0 - slots).max(0.0) / slots;
        let utilisation = ahead / slots;
        let failure_rate = f64::from(self.load.failure_permille) / 1_000.0;
        let cost = service
            * (1.0 + wait + UTILISATION_WEIGHT * utilisation)
            * (1.0 + FAILURE_COST * failure_rate);
        let ramp = now.since(self.joined_at).0 as f64 / SLOW_START_US;
        cost / ramp.clamp(0.1, 1.0) + self.rate_wait_us(now)
    }
}

/// Properties of a call that are estimated before a target is chosen.
#[derive(Clone, Copy, Debug)]
pub struct CallEstimate {
    /// Expected service time on a host of normal speed, in microseconds; zero if unknown.
    pub work_us: f64,
    /// Time left to the latency objective, in microseconds.
    pub objective_us: f64,
    /// Cost of sending its bytes to another data centre, as a fraction of the benefit of one
    /// call.
    pub crossing_cost: f64,
}

impl Default for CallEstimate {
    fn default() -> Self {
        Self { work_us: 0.0, objective_us: 1_000_000.0, crossing_cost: 0.0 }
    }
}

/// Input of a policy.
#[derive(Debug)]
pub struct SelectionInput<'a> {
    /// Current time.
    pub now: MicroTime,
    /// All targets of the service.
    pub targets: &'a [TargetRecord],
    /// Indices of the targets that may be chosen; never empty.
    pub eligible: &'a [usize],
    /// Number of choices made so far, for round-robin policies.
    pub choices_made: usize,
    /// Estimated properties of the call.
    pub estimate: &'a CallEstimate,
}

/// A selection policy, as plug-ins register it.
#[derive(Debug)]
pub struct SelectionPolicy {
    /// Name by which templates refer to the policy.
    pub name: &'static str,
    /// Function that returns one of the `eligible` indices.
    pub choose: fn(&SelectionInput<'_>, &mut Pcg64Mcg) -> usize,
}

inventory::collect!(SelectionPolicy);

/// Returns the registered policy with a name.
#[must_use]
pub fn policy(name: &str) -> Option<&'static SelectionPolicy> {
    inventory::iter::<SelectionPolicy>.into_iter().find(|policy| policy.name == name)
}

/// Returns the policy used by a template that names none.
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
inventory::submit! { SelectionPolicy { name: "round_robin", choose: choose_round_robin } }
inventory::submit! {
    SelectionPolicy { name: "least_outstanding", choose: choose_least_outstanding }
}
inventory::submit! { SelectionPolicy { name: "two_choices", choose: choose_two_choices } }
inventory::submit! { SelectionPolicy { name: "latency", choose: choose_lowest_latency } }
inventory::submit! { EXPECTED_COMPLETION }

const EXPECTED_COMPLETION: SelectionPolicy =
    SelectionPolicy { name: DEFAULT_POLICY, choose: choose_expected_completion };

fn choose_random(input: &SelectionInput<'_>, rng: &mut Pcg64Mcg) -> usize {
    input.eligible[rng.random_range(0..input.eligible.len())]
}

fn choose_round_robin(input: &SelectionInput<'_>, _: &mut Pcg64Mcg) -> usize {
    input.eligible[input.choices_made % input.eligible.len()]
}

fn choose_least_outstanding(input: &SelectionInput<'_>, rng: &mut Pcg64Mcg) -> usize {
    lowest_cost(input.eligible, rng, |index| f64::from(input.targets[index].outstanding))
}

fn choose_two_choices(input: &SelectionInput<'_>, rng: &mut Pcg64Mcg) -> usize {
    let pair = sample(input.eligible, 2, rng);
    lowest_cost(&pair, rng, |index| f64::from(input.targets[index].outstanding))
}

fn choose_lowest_latency(input: &SelectionInput<'_>, rng: &mut Pcg64Mcg) -> usize {
    let pair = sample(input.eligible, 2, rng);
    lowest_cost(&pair, rng, |index| input.targets[index].latency_us)
}

fn choose_expected_completion(input: &SelectionInput<'_>, rng: &mut Pcg64Mcg) -> usize {
    let candidates = sample(input.eligible, COMPARED_TARGETS, rng);
    let services = input.eligible.iter().map(|&index| input.targets[index].service_us());
    let best_us = services.fold(f64::INFINITY, f64::min);
    lowest_cost(&candidates, rng, |index| input.targets[index].expected_us(input.now, best_us))
}

/// Returns the fraction left after `age` of a quantity that halves every `half_life`.
pub(crate) fn decay(age: f64, half_life: f64) -> f64 {
    (-age / half_life * std::f64::consts::LN_2).exp()
}

/// Draws up to `count` different indices at random.
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

/// Returns the index of the lowest cost; ties are broken at random.
fn lowest_cost(indices: &[usize], rng: &mut Pcg64Mcg, cost: impl Fn(usize) -> f64) -> usize {
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
