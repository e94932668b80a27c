//! The policy of expected benefit: near where it is as good, far where not.

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

const ESTIMATE: CallEstimate =
    CallEstimate { work_us: 50_000.0, objective_us: 150_000.0, crossing_cost: 0.2 };

fn record(name: &str, far: bool, slowness: u16, in_flight: u16) -> TargetRecord {
    let mut record = TargetRecord::new(name.into(), None, 6, MicroTime(0));
    record.remote = far;
    let word = LoadReport { slots: 6, slowness, in_flight, sequence: 1, ..LoadReport::default() };
    record.record_report(NOW, word);
    record
}

fn chosen(records: Vec<TargetRecord>, estimate: &CallEstimate) -> String {
    let mut targets = ServiceTargets::new(records);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let policy = policy(BENEFIT_POLICY).expect("policy");
    let index = targets.choose_for(NOW, policy, &[], estimate, &mut rng).expect("a target");
    targets.targets[index].name.to_string()
}

#[test_case(100, 0, "near"; "both at their usual speed")]
#[test_case(120, 2, "near"; "the near one a little slower")]
#[test_case(400, 0, "far"; "the near one slow at this moment")]
#[test_case(100, 12, "far"; "the near one full, with as many waiting")]
fn near_is_left_only_for_a_gain(slowness: u16, in_flight: u16, expected: &str) {
    let near = record("near", false, slowness, in_flight);
    let far = record("far", true, 100, 0);
    assert_eq!(chosen(vec![near, far], &ESTIMATE), expected);
}

#[test]
fn a_crossing_that_costs_more_than_the_call_is_never_made() {
    let estimate = CallEstimate { crossing_cost: 5.0, ..ESTIMATE };
    let near = record("near", false, 400, 6);
    assert_eq!(chosen(vec![near, record("far", true, 100, 0)], &estimate), "near");
}

#[test_case(1, "far"; "without a choice nearby")]
#[test_case(5, "near"; "with a choice nearby")]
fn a_crossing_counts_by_the_choice_nearby(near: usize, expected: &str) {
    let estimate = CallEstimate { crossing_cost: 0.4, ..ESTIMATE };
    let mut records: Vec<_> = (0..near).map(|_| record("near", false, 220, 0)).collect();
    records.push(record("far", true, 100, 0));
    assert_eq!(chosen(records, &estimate), expected);
}

proptest! {
    #![proptest_config(seeded(200))]

    /// Of two targets in one data centre, the one that is slower and fuller is
    /// not chosen.
    #[test]
    fn the_worse_of_two_is_not_chosen(
        slowness in 100_u16..300, more in 60_u16..300, in_flight in 0_u16..4,
    ) {
        let better = record("better", false, slowness, in_flight);
        let worse = record("worse", false, slowness + more, in_flight + 2);
        prop_assert_eq!(chosen(vec![worse, better], &ESTIMATE), "better");
    }
}
