//! What the model is made of: calls, tries, entries, targets, and what happens to them.

use railspan::{
    AdmissionQueue, CallAttempts, CallPriority, LoadReport, MicroTime, ProbeBudget, RetryBudget,
    ServiceTargets, TargetName, TargetRecord,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenarios::Scenario;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ModelEvent {
    Call,
    AtGuard { attempt: u64 },
    Done { attempt: u64 },
    AtEntry { attempt: u64, end: AttemptEnd },
    Hedge { call: u64, attempt: u64 },
    Cancel { attempt: u64 },
    Probe { entry: usize, target: usize },
    ProbeReply { entry: usize, target: usize, load: OrderedLoad },
    GuardTick { target: usize },
    BurstStart { target: usize },
    BurstEnd { target: usize },
    TroubleStart,
    TroubleEnd,
}

/// A load report as part of an event; its order has no meaning.
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

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum AttemptEnd {
    Answered { failed: bool, load: OrderedLoad },
    Refused { load: OrderedLoad, leaving: bool },
}

pub(super) struct ModelCall {
    pub(super) entry: usize,
    pub(super) call_attempts: CallAttempts,
    pub(super) tried: Vec<TargetName>,
    /// Of those, the ones that are leaving.
    pub(super) gone: Vec<TargetName>,
    pub(super) priority: CallPriority,
    pub(super) began: MicroTime,
    pub(super) deadline: MicroTime,
    pub(super) account: u8,
    /// Attempts under way.
    pub(super) open: Vec<u64>,
}

pub(super) struct ModelAttempt {
    pub(super) call: u64,
    pub(super) target: usize,
    pub(super) sent: MicroTime,
    /// When the target began it, if it did.
    pub(super) started: Option<MicroTime>,
    /// Whether the guard has answered; the answer may still be on its way.
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
    pub(super) slots: u16,
    pub(super) factor: f64,
    pub(super) burst: f64,
    pub(super) failing: bool,
    pub(super) running: u16,
    /// Started calls that wait for a true slot.
    pub(super) backlog: Vec<u64>,
}

/// Random numbers, a stream for each use, so that a policy's draws change
/// neither the calls that come nor the bursts that hit.
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

pub(super) fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    let uniform: f64 = rng.random_range(1e-9..1.0);
    -uniform.ln() * mean
}

/// Returns the calls in a microsecond that make the scenario's load.
pub(super) fn rate_per_us(scenario: &Scenario) -> f64 {
    let speed =
        |index: usize| if index.is_multiple_of(2) { 1.0 } else { 1.0 / scenario.old_factor };
    let speeds: f64 = (0..scenario.targets).map(speed).sum();
    let capacity = speeds * f64::from(scenario.slots) / scenario.service_us;
    capacity * f64::from(scenario.load) / 100.0
}

pub(super) fn record(scenario: &Scenario, index: usize, joined: u64) -> TargetRecord {
    TargetRecord::new(target_name(index), None, scenario.slots, MicroTime(joined))
}

pub(super) fn target_name(index: usize) -> TargetName {
    format!("{index}").as_str().into()
}

pub(super) fn target_index(name: &TargetName) -> usize {
    name.as_str().parse().unwrap_or(0)
}
