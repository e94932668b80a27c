//! The parts of the model: calls, attempts, entries, targets, and events.

use railspan::{
    AdmissionQueue, CallAttempts, CallPriority, LoadReport, MicroTime, ProbeBudget, RetryBudget,
    ServiceTargets, TargetName, TargetRecord,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenarios::Scenario;

/// An event in virtual time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ModelEvent {
    CallArrival,
    AtGuard { attempt: u64 },
    ServiceEnd { attempt: u64 },
    AtEntry { attempt: u64, end: AttemptEnd },
    Hedge { call: u64, attempt: u64 },
    Cancel { attempt: u64 },
    Probe { entry: usize, target: usize },
    ProbeReply { entry: usize, target: usize, load: OrderedLoad },
    GuardTick { target: usize },
    BurstStart { target: usize },
    BurstEnd { target: usize },
    DisturbanceStart,
    DisturbanceEnd,
}

/// A load report in an event. In their ordering all reports are equal, so that they have
/// no influence on the order of events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OrderedLoad(pub(super) LoadReport);

impl PartialOrd for OrderedLoad {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for OrderedLoad {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

/// How an attempt ended at the guard.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum AttemptEnd {
    Answered { failed: bool, load: OrderedLoad },
    Refused { load: OrderedLoad, leaving: bool },
}

pub(super) struct ModelCall {
    pub(super) entry: usize,
    pub(super) call_attempts: CallAttempts,
    /// Targets that earlier attempts were sent to.
    pub(super) tried: Vec<TargetName>,
    /// Targets that refused an attempt because they are leaving.
    pub(super) leaving_targets: Vec<TargetName>,
    pub(super) priority: CallPriority,
    pub(super) started: MicroTime,
    pub(super) deadline: MicroTime,
    pub(super) account: u8,
    /// Attempts without a result so far.
    pub(super) open_attempts: Vec<u64>,
}

pub(super) struct ModelAttempt {
    pub(super) call: u64,
    pub(super) target: usize,
    pub(super) sent: MicroTime,
    /// When the guard passed it to the target, if it did.
    pub(super) started: Option<MicroTime>,
    /// Whether the guard has sent its reply, which may not have reached the entry.
    pub(super) answered: bool,
}

pub(super) struct ModelEntry {
    pub(super) service: ServiceTargets,
    pub(super) retry_budget: RetryBudget,
    pub(super) probe_budget: ProbeBudget,
    pub(super) hedge_budget: RetryBudget,
}

pub(super) struct ModelTarget {
    pub(super) queue: AdmissionQueue,
    /// True number of slots.
    pub(super) slots: u16,
    /// Factor on service times due to the age of the host.
    pub(super) host_factor: f64,
    /// Factor on service times due to a burst or a cold start.
    pub(super) burst_factor: f64,
    /// Whether it quickly responds with errors.
    pub(super) failing: bool,
    /// True slots in use.
    pub(super) running: u16,
    /// Attempts that the guard has started but that wait for one of the true slots.
    pub(super) backlog: Vec<u64>,
}

/// Random numbers with a separate stream for each use, so that the number of draws by
/// a policy changes neither the arrivals of calls nor the bursts.
pub(super) struct ModelStreams {
    pub(super) calls: Pcg64Mcg,
    pub(super) bursts: Pcg64Mcg,
    pub(super) service: Pcg64Mcg,
    pub(super) network: Pcg64Mcg,
    pub(super) policy: Pcg64Mcg,
}

impl ModelStreams {
    pub(super) fn open(seed: u64) -> Self {
        let stream = |number| Pcg64Mcg::seed_from_u64(seed * 10 + number);
        Self {
            calls: stream(0),
            bursts: stream(1),
            service: stream(2),
            network: stream(3),
            policy: stream(4),
        }
    }
}

/// Draws from the exponential distribution.
pub(super) fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    let uniform: f64 = rng.random_range(1e-9..1.0);
    -uniform.ln() * mean
}

/// Returns the arrival rate of the scenario's load, in calls per microsecond.
pub(super) fn arrival_rate_per_us(scenario: &Scenario) -> f64 {
    let speed =
        |index: usize| if index.is_multiple_of(2) { 1.0 } else { 1.0 / scenario.old_host_factor };
    let speeds: f64 = (0..scenario.targets).map(speed).sum();
    let capacity = speeds * f64::from(scenario.slots) / scenario.service_us;
    capacity * f64::from(scenario.load) / 100.0
}

/// Creates an entry's record of a target.
pub(super) fn target_record(scenario: &Scenario, index: usize, joined_us: u64) -> TargetRecord {
    TargetRecord::new(target_name(index), None, scenario.slots, MicroTime(joined_us))
}

pub(super) fn target_name(index: usize) -> TargetName {
    format!("{index}").as_str().into()
}

pub(super) fn target_index(name: &TargetName) -> usize {
    name.as_str().parse().unwrap_or(0)
}
