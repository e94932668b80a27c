//! Selection policy that weighs the probability of a timely answer against its cost.
//!
//! A call is worth most if it is answered within its latency objective. The policy estimates
//! the probability of that for each target, from its load and the current slowness of its
//! host, and subtracts the cost of the bytes that would be sent between data centres. A local
//! target wins against an equally good remote one; a remote target wins where the local ones
//! would be late.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::base::clock::MicroTime;
use crate::decide::host_speed::NORMAL_PERCENT;
use crate::decide::selection::{
    CallEstimate, SelectionInput, SelectionPolicy, TargetRecord, decay,
};

/// Name of the policy.
pub const BENEFIT_POLICY: &str = "expected_benefit";

/// Half-life of the information in a host's reported slowness, in microseconds: slowness
/// changes within some hundred milliseconds.
const SLOWNESS_HALF_LIFE_US: f64 = 250_000.0;

/// Half-life of the reported number of other entries' calls, in microseconds.
const OTHERS_HALF_LIFE_US: f64 = 300_000.0;

/// Expected slowness of a host without a recent report, in percent: the mean of a host that
/// is four times slower a fifth of the time.
const UNKNOWN_SLOWNESS: f64 = 160.0;

/// Utilisation of the slots from which on each call takes longer.
const SLOWDOWN_THRESHOLD: f64 = 0.8;

/// Fraction by which a call takes longer if all slots are in use.
const SLOWDOWN_AT_FULL: f64 = 0.8;

/// Steepness of the probability of a timely answer around the expected time, which models
/// the variation of call times: at 4, an expected time of half the objective is in time with
/// a probability of 0.94.
const STEEPNESS: i32 = 4;

/// Benefit subtracted for an expected time equal to the objective: of two targets that both
/// are in time, the faster one is better.
const LATENCY_WEIGHT: f64 = 0.1;

/// Multiple of the objective beyond which a longer expected time subtracts no more benefit.
const MAX_LATENESS: f64 = 10.0;

/// One in this many calls competes for the starts left at a target with a limited rate, so that
/// it is used although others are free, and few calls of many entries are refused there.
const COMPETING_CALLS_DIVISOR: u32 = 4;

/// Difference in benefit below which targets are chosen among at random, so that entries with
/// the same reports do not all choose the same target.
const TIE_TOLERANCE: f64 = 0.005;

/// Time after joining during which a target's expected time is increased, in microseconds.
const SLOW_START_US: f64 = 2_000_000.0;

inventory::submit! { EXPECTED_BENEFIT }

/// The policy used for calls that match a route.
pub(crate) const EXPECTED_BENEFIT: SelectionPolicy =
    SelectionPolicy { name: BENEFIT_POLICY, choose: choose_expected_benefit };

fn choose_expected_benefit(input: &SelectionInput<'_>, rng: &mut Pcg64Mcg) -> usize {
    let estimate = CallEstimate {
        crossing_cost: input.estimate.crossing_cost * local_choice_factor(input),
        ..*input.estimate
    };
    let is_limited = |&index: &usize| input.targets[index].load.rate.is_some();
    let competes =
        input.eligible.iter().any(is_limited) && rng.random_ratio(1, COMPETING_CALLS_DIVISOR);
    let benefits: Vec<(usize, f64)> = input
        .eligible
        .iter()
        .map(|&index| (index, benefit(&input.targets[index], input.now, &estimate, competes)))
        .collect();
    let best = benefits.iter().fold(f64::NEG_INFINITY, |best, (_, benefit)| best.max(*benefit));
    let tied: Vec<usize> = benefits
        .iter()
        .filter(|(_, benefit)| *benefit >= best - TIE_TOLERANCE)
        .map(|(index, _)| *index)
        .collect();
    tied[rng.random_range(0..tied.len())]
}

/// Returns the factor applied to the crossing cost: smaller the fewer targets the local data
/// centre has, since the calls kept there would wait for each other.
fn local_choice_factor(input: &SelectionInput<'_>) -> f64 {
    let local = input.eligible.iter().filter(|&&index| !input.targets[index].remote).count() as f64;
    local / (local + 1.0)
}

/// Returns the expected benefit of sending a call to a target now; `competes` if the call may
/// compete for the last starts at a target with a limited rate.
fn benefit(record: &TargetRecord, now: MicroTime, estimate: &CallEstimate, competes: bool) -> f64 {
    let expected = expected_us(record, now, estimate);
    let lateness = expected / estimate.objective_us.max(1.0);
    let in_time = 1.0 / (1.0 + lateness.powi(STEEPNESS));
    let success = 1.0 - f64::from(record.load.failure_permille) / 1_000.0;
    let crossing_cost = if record.remote { estimate.crossing_cost } else { 0.0 };
    in_time * success
        - LATENCY_WEIGHT * lateness.min(MAX_LATENESS)
        - crossing_cost
        - record.contention_cost(competes)
}

/// Returns whether a call sent now would likely be in time, at a target with spare slots that
/// is not avoided.
pub(crate) fn is_promising(record: &TargetRecord, now: MicroTime, estimate: &CallEstimate) -> bool {
    let load = &record.load;
    let utilisation = f64::from(load.in_flight + load.queued + 1) / f64::from(load.slots.max(1));
    let has_spare = utilisation <= SLOWDOWN_THRESHOLD && !record.is_avoided(now);
    has_spare && expected_us(record, now, estimate) < estimate.objective_us
}

/// Returns whether a call that may wait at a target would likely be in time, if the target is
/// open: it gets calls and is not avoided.
pub(crate) fn can_queue(record: &TargetRecord, now: MicroTime, estimate: &CallEstimate) -> bool {
    let is_open = !record.left_before() && !record.is_avoided(now);
    is_open && expected_us(record, now, estimate) < estimate.objective_us
}

/// Returns the expected time to the answer of a call sent now, in microseconds.
fn expected_us(record: &TargetRecord, now: MicroTime, estimate: &CallEstimate) -> f64 {
    let load = &record.load;
    let slowness = slowness_now(record, now);
    let work = if estimate.work_us > 0.0 { estimate.work_us } else { record.service_us() };
    let slots = f64::from(load.slots.max(1));
    let ahead = record.calls_ahead(now, OTHERS_HALF_LIFE_US);
    let utilisation = (ahead + 1.0) / slots;
    let slowdown =
        ((utilisation - SLOWDOWN_THRESHOLD) / (1.0 - SLOWDOWN_THRESHOLD)).clamp(0.0, 1.0);
    let wait = (ahead + 1.0 - slots).max(0.0) / slots;
    let ramp = now.since(record.joined_at).0 as f64 / SLOW_START_US;
    let slow_start = 2.0 - ramp.min(1.0);
    work * slowness * slow_start * (1.0 + SLOWDOWN_AT_FULL * slowdown + wait)
        + record.start_wait_us(now)
}

/// Returns the factor by which work is expected to be slower than normal at a target now.
pub(crate) fn slowness_now(record: &TargetRecord, now: MicroTime) -> f64 {
    expected_slowness(record.load.slowness, now.since(record.reported_at).0 as f64)
}

/// Returns the expected slowness factor, given a reported one in percent (zero if unknown)
/// and the age of the report.
fn expected_slowness(reported: u16, age_us: f64) -> f64 {
    let reported = if reported == 0 { NORMAL_PERCENT } else { f64::from(reported) };
    let weight = decay(age_us, SLOWNESS_HALF_LIFE_US);
    (UNKNOWN_SLOWNESS + (reported - UNKNOWN_SLOWNESS) * weight) / NORMAL_PERCENT
}
