//! Which requests are suspected of ending targets: kernels alone.

use proptest::prelude::*;
use railspan::{
    BLAMED_AFTER_CRASHES, CallId, CrashBook, MAX_SUSPECTS, MicroTime, NoticeEffect, RequestDigest,
    RunRoster, SuspectRecord, SuspectUpdate, TrackedRun,
};

const DEADLY: RequestDigest = RequestDigest(7);

fn update(digest: u128, clearances: u32, crashes: u8) -> SuspectUpdate {
    let record = SuspectRecord { clearances, crashes };
    SuspectUpdate { digest: RequestDigest(digest), record }
}

/// Lets a target end under some requests, as a guard does that knows `book`.
fn crash(book: &mut CrashBook, running: &[RequestDigest]) -> Vec<SuspectUpdate> {
    let mut roster = RunRoster::default();
    for (number, digest) in running.iter().enumerate() {
        let run = TrackedRun { digest: *digest, began_with: book.standing(*digest) };
        roster.begin(CallId(number as u128), run);
    }
    let updates = roster.end(MicroTime(0));
    for update in &updates {
        book.learn(MicroTime(0), *update);
    }
    updates
}

#[test]
fn three_crashes_in_a_row_blame_a_request_and_nothing_beside_it() {
    let mut book = CrashBook::default();
    for round in 0..u128::from(BLAMED_AFTER_CRASHES) {
        assert!(!book.standing(DEADLY).is_blamed(), "blamed before round {round}");
        let beside: Vec<RequestDigest> =
            (0..10).map(|number| RequestDigest(100 + round * 10 + number)).collect();
        crash(&mut book, &[&*beside, &[DEADLY]].concat());
    }
    assert!(book.standing(DEADLY).is_blamed());
    assert_eq!(book.blamed().len(), 1);
}

#[test]
fn targets_that_end_at_once_count_as_one_crash() {
    // A read that many callers make runs everywhere when a rack loses its power.
    let mut book = CrashBook::default();
    let before = book.clone();
    for _ in 0..20 {
        let updates = crash(&mut before.clone(), &[DEADLY]);
        book.learn(MicroTime(0), updates[0]);
    }
    assert_eq!(book.standing(DEADLY).crashes, 1);
}

#[test]
fn an_answer_clears_a_request_for_all_who_hear_of_it() {
    let mut book = CrashBook::default();
    let early = crash(&mut book, &[DEADLY])[0];
    let record = crash(&mut book, &[DEADLY])[0].record.after_clearance();
    assert_eq!(
        book.learn(MicroTime(0), SuspectUpdate { digest: DEADLY, record }),
        NoticeEffect::New
    );
    assert_eq!(book.learn(MicroTime(0), early), NoticeEffect::Outdated);
    assert!(!book.standing(DEADLY).is_suspected());
}

#[test]
fn a_call_whose_caller_left_is_suspected_for_a_while() {
    let run = TrackedRun { digest: DEADLY, began_with: SuspectRecord::default() };
    let mut roster = RunRoster::default();
    roster.begin(CallId(1), run);
    roster.leave(MicroTime::from_millis(10), CallId(1));
    assert_eq!(roster.clone().end(MicroTime::from_millis(400)).len(), 1);
    assert!(roster.end(MicroTime::from_millis(5_000)).is_empty());
    roster.begin(CallId(2), run);
    roster.finish(CallId(2));
    assert!(roster.end(MicroTime(0)).is_empty(), "what was answered ended nothing");
}

#[test]
fn a_flood_of_suspects_does_not_push_out_what_is_blamed() {
    let mut book = CrashBook::default();
    book.learn(MicroTime(0), update(DEADLY.0, 0, BLAMED_AFTER_CRASHES));
    let hash = book.blamed_hash();
    for number in 0..3 * MAX_SUSPECTS as u128 {
        book.learn(MicroTime::from_millis(number as u64), update(1_000 + number, 5, 1));
    }
    assert!(book.len() <= MAX_SUSPECTS);
    assert!(book.standing(DEADLY).is_blamed());
    assert_eq!(book.blamed_hash(), hash);
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

fn any_update() -> impl Strategy<Value = SuspectUpdate> {
    (0..4_u128, 0..3_u32, 0..=BLAMED_AFTER_CRASHES)
        .prop_map(|(digest, clearances, crashes)| update(digest, clearances, crashes))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Gossip repeats, delays and reorders: what two daemons heard in any order, and any
    /// number of times, leaves them with the same beliefs.
    #[test]
    fn order_and_repetition_make_no_difference(
        updates in proptest::collection::vec(any_update(), 0..20),
        again in proptest::collection::vec(0..20_usize, 0..20),
    ) {
        let mut one = CrashBook::default();
        let mut other = CrashBook::default();
        for update in &updates {
            one.learn(MicroTime(0), *update);
        }
        for index in again {
            if let Some(update) = updates.get(index) {
                other.learn(MicroTime(0), *update);
            }
        }
        for update in updates.iter().rev() {
            other.learn(MicroTime(0), *update);
        }
        prop_assert_eq!(one.notices(), other.notices());
        prop_assert_eq!(one.blamed_hash(), other.blamed_hash());
        prop_assert_eq!(one.blamed_hash() == 0, one.blamed().is_empty());
    }

    /// Whatever runs beside it, a request that ends each target is blamed after three
    /// runs that knew of each other, and one that is ever answered in between is not.
    #[test]
    fn blame_needs_three_crashes_without_an_answer(
        events in proptest::collection::vec(0..4_u8, 0..40),
    ) {
        let mut book = CrashBook::default();
        let mut in_a_row = 0;
        for event in events {
            if book.standing(DEADLY).is_blamed() {
                break;
            }
            if event == 0 {
                let record = book.standing(DEADLY);
                if record.is_suspected() {
                    let record = record.after_clearance();
                    book.learn(MicroTime(0), SuspectUpdate { digest: DEADLY, record });
                }
                in_a_row = 0;
            } else {
                crash(&mut book, &[DEADLY, RequestDigest(u128::from(event))]);
                in_a_row += 1;
            }
            prop_assert_eq!(book.standing(DEADLY).is_blamed(), in_a_row >= BLAMED_AFTER_CRASHES);
        }
    }
}
