//! Heartbeats and ends of a target's lives, in any order: only the newest life counts,
//! and an ended one never comes back.

#[path = "common/seeded.rs"]
mod seeded;

use proptest::prelude::*;
use railspan::{HeartbeatVerdict, TargetIncarnation};
use seeded::seeded;

#[derive(Clone, Debug)]
enum Word {
    Beat { born: u64, sequence: u64 },
    End { born: u64 },
}

fn word() -> impl Strategy<Value = Word> {
    prop_oneof![
        5 => (1_u64..6, 1_u64..8).prop_map(|(born, sequence)| Word::Beat { born, sequence }),
        1 => (1_u64..6).prop_map(|born| Word::End { born }),
    ]
}

proptest! {
    #![proptest_config(seeded(500))]

    #[test]
    fn only_what_is_newer_counts(words in proptest::collection::vec(word(), 1..60)) {
        let mut incarnation = TargetIncarnation::open(Some(1), 0);
        // The newest life heard of, its newest number, and whether it ended.
        let mut newest = (1, 0, false);
        for word in words {
            match word {
                Word::Beat { born, sequence } => {
                    let expected = match born.cmp(&newest.0) {
                        std::cmp::Ordering::Greater => HeartbeatVerdict::Restarted,
                        std::cmp::Ordering::Equal if !newest.2 && sequence > newest.1 => HeartbeatVerdict::Current,
                        _ => HeartbeatVerdict::Stale,
                    };
                    prop_assert_eq!(incarnation.note_heartbeat(Some(born), Some(sequence)), expected);
                    if expected != HeartbeatVerdict::Stale {
                        newest = (born, sequence, false);
                    }
                }
                Word::End { born } => {
                    prop_assert_eq!(incarnation.end(Some(born)), born >= newest.0);
                    if born >= newest.0 {
                        newest = (born, newest.1, true);
                    }
                }
            }
            prop_assert_eq!(incarnation.is_ended(), newest.2);
        }
    }
}

#[test]
fn a_life_found_by_asking_takes_the_first_heartbeat() {
    let mut incarnation = TargetIncarnation::open(None, 0);
    assert_eq!(incarnation.note_heartbeat(Some(700), Some(1)), HeartbeatVerdict::Current);
    assert_eq!(incarnation.note_heartbeat(Some(701), Some(1)), HeartbeatVerdict::Restarted);
}

#[test]
fn who_told_its_birth_tells_it_always() {
    let mut incarnation = TargetIncarnation::open(Some(700), 3);
    assert_eq!(incarnation.note_heartbeat(None, Some(9)), HeartbeatVerdict::Stale);
}

#[test]
fn targets_without_births_go_by_their_numbers() {
    let mut incarnation = TargetIncarnation::open(None, 3);
    assert_eq!(incarnation.note_heartbeat(None, Some(3)), HeartbeatVerdict::Stale);
    assert_eq!(incarnation.note_heartbeat(None, Some(4)), HeartbeatVerdict::Current);
    assert!(incarnation.end(None));
    assert_eq!(incarnation.note_heartbeat(None, Some(5)), HeartbeatVerdict::Stale);
}
