//! Which requests are suspected of ending targets: kernels alone.

use proptest::prelude::*;
use railspan::{
    BLAMED_AFTER_CRASHES, CallId, CrashSuspects, MAX_SUSPECTS, MergeEffect, MicroTime,
    RequestDigest, RunningRequests, SuspectRecord, SuspectUpdate, TrackedRequest,
};

const DEADLY: RequestDigest = RequestDigest(7);

fn notice(digest: u128, clearances: u32, crashes: u8) -> SuspectUpdate {
    let record = SuspectRecord { clearances, crashes };
    SuspectUpdate { digest: RequestDigest(digest), record }
}

/// Lets a target end under some requests, as a guard does that knows `suspects`.
fn crash(suspects: &mut CrashSuspects, running: &[RequestDigest]) -> Vec<SuspectUpdate> {
    let mut runs = RunningRequests::default();
    for (number, digest) in running.iter().enumerate() {
        let run = TrackedRequest { digest: *digest, record_at_start: suspects.record(*digest) };
        runs.start(CallId(number as u128), run);
    }
    let notices = runs.target_ended(MicroTime(0));
    for notice in &notices {
        suspects.merge(MicroTime(0), *notice);
    }
    notices
}

#[test]
fn three_crashes_in_a_row_blame_a_request_and_nothing_beside_it() {
    let mut suspects = CrashSuspects::default();
    for round in 0..u128::from(BLAMED_AFTER_CRASHES) {
        assert!(!suspects.record(DEADLY).is_blamed(), "blamed before round {round}");
        let beside: Vec<RequestDigest> =
            (0..10).map(|number| RequestDigest(100 + round * 10 + number)).collect();
        crash(&mut suspects, &[&*beside, &[DEADLY]].concat());
    }
    assert!(suspects.record(DEADLY).is_blamed());
    assert_eq!(suspects.blamed().len(), 1);
}

#[test]
fn targets_that_end_at_once_count_as_one_crash() {
    // A read that many callers make runs everywhere when a rack loses its power.
    let mut suspects = CrashSuspects::default();
    let before = suspects.clone();
    for _ in 0..20 {
        let notices = crash(&mut before.clone(), &[DEADLY]);
        suspects.merge(MicroTime(0), notices[0]);
    }
    assert_eq!(suspects.record(DEADLY).crashes, 1);
}

#[test]
fn an_answer_clears_a_request_for_all_who_hear_of_it() {
    let mut suspects = CrashSuspects::default();
    let early = crash(&mut suspects, &[DEADLY])[0];
    let record = crash(&mut suspects, &[DEADLY])[0].record.after_clearance();
    assert_eq!(
        suspects.merge(MicroTime(0), SuspectUpdate { digest: DEADLY, record }),
        MergeEffect::New
    );
    assert_eq!(suspects.merge(MicroTime(0), early), MergeEffect::Outdated);
    assert!(!suspects.record(DEADLY).is_suspected());
}

#[test]
fn a_call_whose_caller_left_is_suspected_for_a_while() {
    let run = TrackedRequest { digest: DEADLY, record_at_start: SuspectRecord::default() };
    let mut runs = RunningRequests::default();
    runs.start(CallId(1), run);
    runs.abandon(MicroTime::from_millis(10), CallId(1));
    assert_eq!(runs.clone().target_ended(MicroTime::from_millis(400)).len(), 1);
    assert!(runs.target_ended(MicroTime::from_millis(5_000)).is_empty());
    runs.start(CallId(2), run);
    runs.finish(CallId(2));
    assert!(runs.target_ended(MicroTime(0)).is_empty(), "what was answered ended nothing");
}

#[test]
fn a_flood_of_suspects_does_not_push_out_what_is_blamed() {
    let mut suspects = CrashSuspects::default();
    suspects.merge(MicroTime(0), notice(DEADLY.0, 0, BLAMED_AFTER_CRASHES));
    let hash = suspects.blamed_hash();
    for number in 0..3 * MAX_SUSPECTS as u128 {
        suspects.merge(MicroTime::from_millis(number as u64), notice(1_000 + number, 5, 1));
    }
    assert!(suspects.len() <= MAX_SUSPECTS);
    assert!(suspects.record(DEADLY).is_blamed());
    assert_eq!(suspects.blamed_hash(), hash);
}

#[test]
fn a_digest_tells_what_is_asked_apart_and_reads_back() {
    let parts: [&[u8]; 5] = [b"account", b"grillas.example", b"GET", b"/read/1?q=2", b"body"];
    let digest = RequestDigest::of(&parts);
    for index in 0..parts.len() {
        let mut other = parts;
        other[index] = b"another";
        assert_ne!(RequestDigest::of(&other), digest, "part {index}");
    }
    assert_eq!(RequestDigest::parse(&digest.to_string()), Some(digest));
    for wrong in ["", "12", "g".repeat(32).as_str(), "-0000000000000000000000000000001"] {
        assert_eq!(RequestDigest::parse(wrong), None, "{wrong}");
    }
}

fn any_notice() -> impl Strategy<Value = SuspectUpdate> {
    (0..4_u128, 0..3_u32, 0..=BLAMED_AFTER_CRASHES)
        .prop_map(|(digest, clearances, crashes)| notice(digest, clearances, crashes))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Gossip repeats, delays and reorders: what two daemons heard in any order, and any
    /// number of times, leaves them with the same beliefs.
    #[test]
    fn order_and_repetition_make_no_difference(
        notices in proptest::collection::vec(any_notice(), 0..20),
        again in proptest::collection::vec(0..20_usize, 0..20),
    ) {
        let mut one = CrashSuspects::default();
        let mut other = CrashSuspects::default();
        for notice in &notices {
            one.merge(MicroTime(0), *notice);
        }
        for index in again {
            if let Some(notice) = notices.get(index) {
                other.merge(MicroTime(0), *notice);
            }
        }
        for notice in notices.iter().rev() {
            other.merge(MicroTime(0), *notice);
        }
        prop_assert_eq!(one.updates(), other.updates());
        prop_assert_eq!(one.blamed_hash(), other.blamed_hash());
        prop_assert_eq!(one.blamed_hash() == 0, one.blamed().is_empty());
    }

    /// Whatever runs beside it, a request that ends each target is blamed after three
    /// runs that knew of each other, and one that is ever answered in between is not.
    #[test]
    fn blame_needs_three_crashes_without_an_answer(
        events in proptest::collection::vec(0..4_u8, 0..40),
    ) {
        let mut suspects = CrashSuspects::default();
        let mut in_a_row = 0;
        for event in events {
            if suspects.record(DEADLY).is_blamed() {
                break;
            }
            if event == 0 {
                let record = suspects.record(DEADLY);
                if record.is_suspected() {
                    let record = record.after_clearance();
                    suspects.merge(MicroTime(0), SuspectUpdate { digest: DEADLY, record });
                }
                in_a_row = 0;
            } else {
                crash(&mut suspects, &[DEADLY, RequestDigest(u128::from(event))]);
                in_a_row += 1;
            }
            prop_assert_eq!(suspects.record(DEADLY).is_blamed(), in_a_row >= BLAMED_AFTER_CRASHES);
        }
    }
}
