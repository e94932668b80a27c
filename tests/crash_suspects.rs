//! Requests suspected of crashing targets: crash records, their merging, and blame.

use proptest::prelude::*;
use railspan::{
    BLAMED_AFTER_CRASHES, CallId, CrashSuspects, MAX_SUSPECTS, MergeEffect, MicroTime,
    RequestDigest, RunningRequests, SuspectRecord, SuspectUpdate, TrackedRequest,
};

/// Digest of the request that crashes targets.
const CRASHING: RequestDigest = RequestDigest(7);

fn notice(digest: u128, clearances: u32, crashes: u8) -> SuspectUpdate {
    let record = SuspectRecord { clearances, crashes };
    SuspectUpdate { digest: RequestDigest(digest), record }
}

/// Crashes a target that runs some requests, at a guard that knows `suspects`; returns the notices.
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
fn three_consecutive_crashes_blame_only_the_request_common_to_them() {
    let mut suspects = CrashSuspects::default();
    for round in 0..u128::from(BLAMED_AFTER_CRASHES) {
        assert!(!suspects.record(CRASHING).is_blamed(), "blamed before round {round}");
        let concurrent: Vec<RequestDigest> =
            (0..10).map(|number| RequestDigest(100 + round * 10 + number)).collect();
        crash(&mut suspects, &[&*concurrent, &[CRASHING]].concat());
    }
    assert!(suspects.record(CRASHING).is_blamed());
    assert_eq!(suspects.blamed().len(), 1);
}

#[test]
fn targets_that_crash_at_once_count_as_one_crash() {
    // A frequent read runs at all targets of a rack when the rack loses power.
    let mut suspects = CrashSuspects::default();
    let before = suspects.clone();
    for _ in 0..20 {
        let notices = crash(&mut before.clone(), &[CRASHING]);
        suspects.merge(MicroTime(0), notices[0]);
    }
    assert_eq!(suspects.record(CRASHING).crashes, 1);
}

#[test]
fn a_clearance_outranks_earlier_crashes() {
    let mut suspects = CrashSuspects::default();
    let earlier = crash(&mut suspects, &[CRASHING])[0];
    let record = crash(&mut suspects, &[CRASHING])[0].record.after_clearance();
    assert_eq!(
        suspects.merge(MicroTime(0), SuspectUpdate { digest: CRASHING, record }),
        MergeEffect::New
    );
    assert_eq!(suspects.merge(MicroTime(0), earlier), MergeEffect::Outdated);
    assert!(!suspects.record(CRASHING).is_suspected());
}

#[test]
fn an_abandoned_call_is_suspected_for_a_limited_time() {
    let run = TrackedRequest { digest: CRASHING, record_at_start: SuspectRecord::default() };
    let mut runs = RunningRequests::default();
    runs.start(CallId(1), run);
    runs.abandon(MicroTime::from_millis(10), CallId(1));
    assert_eq!(runs.clone().target_ended(MicroTime::from_millis(400)).len(), 1);
    assert!(runs.target_ended(MicroTime::from_millis(5_000)).is_empty());
    runs.start(CallId(2), run);
    runs.finish(CallId(2));
    assert!(
        runs.target_ended(MicroTime(0)).is_empty(),
        "an answered request can't have crashed the target"
    );
}

#[test]
fn a_flood_of_suspects_does_not_evict_a_blamed_request() {
    let mut suspects = CrashSuspects::default();
    suspects.merge(MicroTime(0), notice(CRASHING.0, 0, BLAMED_AFTER_CRASHES));
    let hash = suspects.blamed_hash();
    for number in 0..3 * MAX_SUSPECTS as u128 {
        suspects.merge(MicroTime::from_millis(number as u64), notice(1_000 + number, 5, 1));
    }
    assert!(suspects.len() <= MAX_SUSPECTS);
    assert!(suspects.record(CRASHING).is_blamed());
    assert_eq!(suspects.blamed_hash(), hash);
}

#[test]
fn a_digest_depends_on_each_part_of_a_request_and_can_be_parsed() {
    let parts: [&[u8]; 5] = [b"account", b"grillas.example", b"GET", b"/read/1?q=2", b"body"];
    let digest = RequestDigest::of(&parts);
    for index in 0..parts.len() {
        let mut other = parts;
        other[index] = b"another";
        assert_ne!(RequestDigest::of(&other), digest, "part {index}");
    }
    assert_eq!(RequestDigest::parse(&digest.to_string()), Some(digest));
    for invalid in ["", "12", "g".repeat(32).as_str(), "-0000000000000000000000000000001"] {
        assert_eq!(RequestDigest::parse(invalid), None, "{invalid}");
    }
}

fn any_notice() -> impl Strategy<Value = SuspectUpdate> {
    (0..4_u128, 0..3_u32, 0..=BLAMED_AFTER_CRASHES)
        .prop_map(|(digest, clearances, crashes)| notice(digest, clearances, crashes))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Gossip repeats, delays and reorders notices: two daemons that received the same ones in any
    /// order, and any number of times, have the same records.
    #[test]
    fn order_and_repetition_of_notices_make_no_difference(
        notices in proptest::collection::vec(any_notice(), 0..20),
        repeated in proptest::collection::vec(0..20_usize, 0..20),
    ) {
        let mut first = CrashSuspects::default();
        let mut other = CrashSuspects::default();
        for notice in &notices {
            first.merge(MicroTime(0), *notice);
        }
        for index in repeated {
            if let Some(notice) = notices.get(index) {
                other.merge(MicroTime(0), *notice);
            }
        }
        for notice in notices.iter().rev() {
            other.merge(MicroTime(0), *notice);
        }
        prop_assert_eq!(first.updates(), other.updates());
        prop_assert_eq!(first.blamed_hash(), other.blamed_hash());
        prop_assert_eq!(first.blamed_hash() == 0, first.blamed().is_empty());
    }

    /// Whatever runs beside it, a request that crashes each target is blamed after three runs that
    /// each began with the crash before known, and not if an answer came in between.
    #[test]
    fn blame_needs_three_crashes_without_an_answer(
        events in proptest::collection::vec(0..4_u8, 0..40),
    ) {
        let mut suspects = CrashSuspects::default();
        let mut consecutive_crashes = 0;
        for event in events {
            if suspects.record(CRASHING).is_blamed() {
                break;
            }
            if event == 0 {
                let record = suspects.record(CRASHING);
                if record.is_suspected() {
                    let record = record.after_clearance();
                    suspects.merge(MicroTime(0), SuspectUpdate { digest: CRASHING, record });
                }
                consecutive_crashes = 0;
            } else {
                crash(&mut suspects, &[CRASHING, RequestDigest(u128::from(event))]);
                consecutive_crashes += 1;
            }
            prop_assert_eq!(suspects.record(CRASHING).is_blamed(), consecutive_crashes >= BLAMED_AFTER_CRASHES);
        }
    }
}
