//! Expected-benefit policy: it prefers local targets unless a remote one is better by more than the
//! cost of crossing between data centres.

#[path = "common/seeded.rs"]
mod seeded;

use proptest::prelude::*;
use railspan::{
    BENEFIT_POLICY, CallEstimate, LoadReport, MicroTime, ServiceTargets, TargetRecord, policy,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use seeded::seeded;
use test_case::test_case;

const NOW: MicroTime = MicroTime::from_millis(60_000);

/// A call with 50 ms of work and an objective of 150 ms.
const ESTIMATE: CallEstimate =
    CallEstimate { work_us: 50_000.0, objective_us: 150_000.0, crossing_cost: 0.2 };

/// Creates the record of a target with six slots that reported its load just now.
fn record(name: &str, remote: bool, slowness: u16, in_flight: u16) -> TargetRecord {
    let mut record = TargetRecord::new(name.into(), None, 6, MicroTime(0));
    record.remote = remote;
    let report = LoadReport { slots: 6, slowness, in_flight, sequence: 1, ..LoadReport::default() };
    record.record_report(NOW, report);
    record
}

/// Returns the name of the target that the policy chooses.
fn chosen(records: Vec<TargetRecord>, estimate: &CallEstimate) -> String {
    let mut targets = ServiceTargets::new(records);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let policy = policy(BENEFIT_POLICY).expect("policy");
    let index = targets.choose_for(NOW, policy, &[], estimate, &mut rng).expect("a target");
    targets.targets[index].name.to_string()
}

#[test_case(100, 0, "local"; "both hosts at their normal speed")]
#[test_case(120, 2, "local"; "local host slightly slower")]
#[test_case(400, 0, "remote"; "local host in a slow period")]
#[test_case(100, 12, "remote"; "local target full, with as many calls waiting")]
fn a_remote_target_is_chosen_only_if_it_is_clearly_better(
    slowness: u16,
    in_flight: u16,
    expected: &str,
) {
    let local = record("local", false, slowness, in_flight);
    let remote = record("remote", true, 100, 0);
    assert_eq!(chosen(vec![local, remote], &ESTIMATE), expected);
}

/// The crossing cost is a fraction of the benefit of one call.
#[test]
fn no_call_crosses_at_a_cost_above_its_benefit() {
    let estimate = CallEstimate { crossing_cost: 5.0, ..ESTIMATE };
    let local = record("local", false, 400, 6);
    assert_eq!(chosen(vec![local, record("remote", true, 100, 0)], &estimate), "local");
}

/// Calls kept in a data centre with few targets would wait for each other.
#[test_case(1, "remote"; "one local target")]
#[test_case(5, "local"; "several local targets")]
fn the_crossing_cost_counts_less_with_few_local_targets(local_count: usize, expected: &str) {
    let estimate = CallEstimate { crossing_cost: 0.4, ..ESTIMATE };
    let mut records: Vec<_> = (0..local_count).map(|_| record("local", false, 220, 0)).collect();
    records.push(record("remote", true, 100, 0));
    assert_eq!(chosen(records, &estimate), expected);
}

proptest! {
    #![proptest_config(seeded(200))]

    /// Of two targets in one data centre, the slower and busier one is not chosen.
    #[test]
    fn a_slower_and_busier_target_is_not_chosen(
        slowness in 100_u16..300, extra_slowness in 60_u16..300, in_flight in 0_u16..4,
    ) {
        let better = record("better", false, slowness, in_flight);
        let worse = record("worse", false, slowness + extra_slowness, in_flight + 2);
        prop_assert_eq!(chosen(vec![worse, better], &ESTIMATE), "better");
    }
}
