//! Choice of targets by an entry while some of them state the rate of calls that they take.

use railspan::{
    BENEFIT_POLICY, CallEstimate, LoadReport, MicroTime, ServiceTargets, StartAllowance,
    TargetName, TargetRecord, policy,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const NOW: MicroTime = MicroTime::from_millis(60_000);

/// A call with 50 ms of work and an objective of 150 ms.
const ESTIMATE: CallEstimate =
    CallEstimate { work_us: 50_000.0, objective_us: 150_000.0, crossing_cost: 0.0 };

/// Creates the record of a target with six slots; `rate` is what a limited one may still start
/// and the time until the next start, in milliseconds.
fn record(name: &str, slowness: u16, rate: Option<(u16, u16)>) -> TargetRecord {
    let mut record = TargetRecord::new(name.into(), None, 6, MicroTime(0));
    let rate = rate.map(|(available, next_ms)| StartAllowance { available, next_ms });
    let report = LoadReport { slots: 6, slowness, rate, sequence: 1, ..LoadReport::default() };
    record.record_report(NOW, report);
    record
}

/// Returns how many of 1,000 calls go to the target called `limited`; each ends at once.
fn share_of_limited(mut targets: ServiceTargets) -> usize {
    let policy = policy(BENEFIT_POLICY).expect("policy");
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut chosen = || {
        let index = targets.choose_for(NOW, policy, &[], &ESTIMATE, &mut rng).expect("a target");
        targets.targets[index].outstanding = 0;
        targets.targets[index].name == TargetName::from("limited")
    };
    (0..1_000).filter(|_| chosen()).count()
}

#[test]
fn a_target_whose_rate_is_used_up_gets_no_calls_while_others_are_free() {
    let limited = record("limited", 100, Some((0, 140)));
    let targets = ServiceTargets::new(vec![limited, record("free", 100, None)]);
    assert_eq!(share_of_limited(targets), 0);
}

#[test]
fn a_target_with_starts_left_is_used_beside_free_ones() {
    let limited = record("limited", 100, Some((1, 140)));
    let targets = ServiceTargets::new(vec![limited, record("free", 100, None)]);
    let share = share_of_limited(targets);
    assert!((50..250).contains(&share), "{share} of 1000 calls");
}

#[test]
fn a_target_with_starts_left_is_preferred_to_slow_ones() {
    let limited = record("limited", 100, Some((1, 140)));
    let targets = ServiceTargets::new(vec![limited, record("slow", 400, None)]);
    assert_eq!(share_of_limited(targets), 1_000);
}

#[test]
fn targets_with_a_contested_start_are_left_out_of_the_last_round_while_others_are_left() {
    let targets = ServiceTargets::new(vec![
        record("used-up", 100, Some((0, 140))),
        record("slow", 400, None),
        record("last-start", 100, Some((1, 140))),
        record("several-starts", 100, Some((3, 140))),
    ]);
    let tried: [TargetName; 3] = ["slow".into(), "last-start".into(), "several-starts".into()];
    assert!(targets.only_limited_left(NOW, &tried));
    assert!(!targets.only_limited_left(NOW, &tried[..1]), "two have starts left");
    let limited: [TargetName; 2] = ["used-up".into(), "last-start".into()];
    assert_eq!(targets.left_out_of_last_round(&[]), limited);
    let unusable: [TargetName; 2] = ["slow".into(), "several-starts".into()];
    assert_eq!(targets.left_out_of_last_round(&unusable), unusable, "no other is left");
}

#[test]
fn a_call_waits_at_the_last_target_that_can_start_it_in_time() {
    let targets = ServiceTargets::new(vec![
        record("chosen", 100, Some((0, 100))),
        record("later", 100, Some((0, 400))),
        record("in-time", 100, Some((0, 140))),
    ]);
    assert_eq!(targets.count_with_room(NOW, &[], 0, &ESTIMATE), 1);
    assert_eq!(targets.count_with_room(NOW, &["in-time".into()], 0, &ESTIMATE), 0);
}
