//! The policy that weighs how likely a target is in time against what it costs.
//!
//! A call is worth most within its latency objective. So each target's chance to
//! be in time is estimated from its load and from how slow its host is at this
//! moment, and what the bytes cost that would cross between data centres is
//! taken off. A near target that is as good as a far one wins; a far one wins
//! where the near one would be late.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::base::clock::MicroTime;
use crate::decide::host_speed::USUAL_PERCENT;
use crate::decide::selection::{
    CallOutlook, SelectionInput, SelectionPolicy, TargetRecord, half_life,
};

/// Name of the policy.
pub const BENEFIT_POLICY: &str = "expected_benefit";

/// Age at which a host's slowness at a moment says half as much, in
/// microseconds: slowness shifts within some hundred milliseconds.
const SLOWNESS_HALF_LIFE_US: f64 = 250_000.0;

/// Age at which what others have under way says half as much, in microseconds.
const OTHERS_HALF_LIFE_US: f64 = 300_000.0;

/// Slowness expected of a host that was not heard of for long, in percent: the
/// mean of hosts that are four times slower a fifth of the time.
const UNHEARD_SLOWNESS: f64 = 160.0;

/// Part of the slots in use from which on each call takes longer.
const CROWDED_FROM: f64 = 0.8;

/// How much longer a call takes where all slots are in use.
const CROWDED_FACTOR: f64 = 0.8;

/// Spread of the time a call takes, as the steepness of the chance to be in
/// time around its expected time: at 4, half the objective means 94 of 100.
const STEEPNESS: i32 = 4;

/// What an expected time of the whole objective takes off, as a part of the
/// benefit: of two targets that are both in time, the faster one is better.
const SPEED_PART: f64 = 0.1;

/// Multiple of the objective from which on later makes no difference.
const MOST_LATE: f64 = 10.0;

/// What the last place at a cold target takes off, as a part of the benefit: a refusal
/// costs a way to another target and back.
const CONTENDED_PART: f64 = 0.05;

/// Targets whose benefits differ by less are drawn among, so that entries which
/// see the same reports do not all choose the same one.
const DRAWN_WITHIN: f64 = 0.005;

/// Time over which a target that joined gets its full part, in microseconds.
const SLOW_START_US: f64 = 2_000_000.0;

inventory::submit! { EXPECTED_BENEFIT }

/// The policy of calls that go by routes.
pub(crate) const EXPECTED_BENEFIT: SelectionPolicy =
    SelectionPolicy { name: BENEFIT_POLICY, choose: choose_worthwhile };

fn choose_worthwhile(input: &SelectionInput<'_>, rng: &mut Pcg64Mcg) -> usize {
    let outlook = CallOutlook {
        crossing_cost: input.outlook.crossing_cost * near_choice(input),
        ..*input.outlook
    };
    let values: Vec<(usize, f64)> = input
        .eligible
        .iter()
        .map(|&index| (index, benefit(&input.targets[index], input.now, &outlook)))
        .collect();
    let best = values.iter().fold(f64::NEG_INFINITY, |best, (_, value)| best.max(*value));
    let near: Vec<usize> = values
        .iter()
        .filter(|(_, value)| *value >= best - DRAWN_WITHIN)
        .map(|(index, _)| *index)
        .collect();
    near[rng.random_range(0..near.len())]
}

/// Returns how much of the crossing cost counts: little where the near data centre
/// offers no choice, since calls kept there would wait for each other.
fn near_choice(input: &SelectionInput<'_>) -> f64 {
    let near = input.eligible.iter().filter(|&&index| !input.targets[index].far).count() as f64;
    near / (near + 1.0)
}

/// Estimates what a call sent to a target now would be worth.
fn benefit(record: &TargetRecord, now: MicroTime, outlook: &CallOutlook) -> f64 {
    let expected = expected_us(record, now, outlook);
    let part_used = expected / outlook.objective_us.max(1.0);
    let in_time = 1.0 / (1.0 + part_used.powi(STEEPNESS));
    let sound = 1.0 - f64::from(record.load.failure_permille) / 1_000.0;
    let crossing = if record.far { outlook.crossing_cost } else { 0.0 };
    in_time * sound - SPEED_PART * part_used.min(MOST_LATE) - crossing - contended(record)
}

/// Tells whether a call sent now would likely be in time, at a target that has
/// slots to spare.
pub(crate) fn is_promising(record: &TargetRecord, now: MicroTime, outlook: &CallOutlook) -> bool {
    let load = &record.load;
    let used = f64::from(load.in_flight + load.queued + 1) / f64::from(load.slots.max(1));
    let spare = used <= CROWDED_FROM && !record.is_avoided(now);
    spare && expected_us(record, now, outlook) < outlook.objective_us
}

/// Estimates when a call sent now would be answered, in microseconds.
fn expected_us(record: &TargetRecord, now: MicroTime, outlook: &CallOutlook) -> f64 {
    let load = &record.load;
    let slowness = slowness_now(record, now);
    let work = if outlook.work_us > 0.0 { outlook.work_us } else { record.service_us() };
    let slots = f64::from(load.slots.max(1));
    let ahead = record.ahead(now, OTHERS_HALF_LIFE_US);
    let used = (ahead + 1.0) / slots;
    let crowded = ((used - CROWDED_FROM) / (1.0 - CROWDED_FROM)).clamp(0.0, 1.0);
    let wait = (ahead + 1.0 - slots).max(0.0) / slots;
    let ramp = now.since(record.joined).0 as f64 / SLOW_START_US;
    let start = 2.0 - ramp.min(1.0);
    work * slowness * start * (1.0 + CROWDED_FACTOR * crowded + wait) + cold_wait_us(record, now)
}

/// Returns how many calls a cold target may still be given, as far as known here, and
/// nothing for one that takes all that comes.
fn cold_room(record: &TargetRecord) -> Option<f64> {
    let cold = record.load.cold?;
    let sent = record.outstanding.saturating_sub(record.outstanding_then);
    Some((f64::from(cold.available) - f64::from(sent)).max(0.0))
}

/// Estimates how long a call sent now would wait for the room of a cold target.
fn cold_wait_us(record: &TargetRecord, now: MicroTime) -> f64 {
    let Some(cold) = record.load.cold.filter(|_| cold_room(record) < Some(1.0)) else { return 0.0 };
    let age = now.since(record.heard).0 as f64;
    (f64::from(cold.next_ms) * 1_000.0 - age).max(0.0)
}

/// Returns what the chance takes off that others fill a cold target's room first: the
/// less of it is left, the more entries that know of it want the same.
fn contended(record: &TargetRecord) -> f64 {
    cold_room(record).map_or(0.0, |room| CONTENDED_PART / (1.0 + room))
}

/// Returns the factor by which work is slower than usual at a target now.
pub(crate) fn slowness_now(record: &TargetRecord, now: MicroTime) -> f64 {
    slowness(record.load.slowness, now.since(record.heard).0 as f64)
}

/// Returns the factor by which work is slower than usual, as far as known.
fn slowness(told: u16, age_us: f64) -> f64 {
    let told = if told == 0 { USUAL_PERCENT } else { f64::from(told) };
    let known = half_life(age_us, SLOWNESS_HALF_LIFE_US);
    (UNHEARD_SLOWNESS + (told - UNHEARD_SLOWNESS) * known) / USUAL_PERCENT
}
