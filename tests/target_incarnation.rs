//! Incarnations of a target: heartbeats and ends may arrive in any order, only those of the newest
//! incarnation count, and an ended incarnation never becomes current again.

#[path = "common/seeded.rs"]
mod seeded;

use proptest::prelude::*;
use railspan::{HeartbeatVerdict, TargetIncarnation};
use seeded::seeded;

/// A message about a target; `started_ms` is the start time of its incarnation.
#[derive(Clone, Debug)]
enum Message {
    Heartbeat { started_ms: u64, sequence: u64 },
    End { started_ms: u64 },
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        5 => (1_u64..6, 1_u64..8).prop_map(|(started_ms, sequence)| Message::Heartbeat { started_ms, sequence }),
        1 => (1_u64..6).prop_map(|started_ms| Message::End { started_ms }),
    ]
}

proptest! {
    #![proptest_config(seeded(500))]

    #[test]
    fn only_messages_of_the_newest_incarnation_count(messages in proptest::collection::vec(message(), 1..60)) {
        let mut incarnation = TargetIncarnation::open(Some(1), 0);
        // Start time of the newest incarnation, its greatest sequence number, and whether it ended.
        let mut newest = (1, 0, false);
        for message in messages {
            match message {
                Message::Heartbeat { started_ms, sequence } => {
                    let expected = match started_ms.cmp(&newest.0) {
                        std::cmp::Ordering::Greater => HeartbeatVerdict::Restarted,
                        std::cmp::Ordering::Equal if !newest.2 && sequence > newest.1 => HeartbeatVerdict::Current,
                        _ => HeartbeatVerdict::Stale,
                    };
                    prop_assert_eq!(incarnation.note_heartbeat(Some(started_ms), Some(sequence)), expected);
                    if expected != HeartbeatVerdict::Stale {
                        newest = (started_ms, sequence, false);
                    }
                }
                Message::End { started_ms } => {
                    prop_assert_eq!(incarnation.end(Some(started_ms)), started_ms >= newest.0);
                    if started_ms >= newest.0 {
                        newest = (started_ms, newest.1, true);
                    }
                }
            }
            prop_assert_eq!(incarnation.is_ended(), newest.2);
        }
    }
}

/// An incarnation that is known only from the answer to a health check has no start time yet.
#[test]
fn an_incarnation_without_start_time_takes_the_one_of_the_first_heartbeat() {
    let mut incarnation = TargetIncarnation::open(None, 0);
    assert_eq!(incarnation.note_heartbeat(Some(700), Some(1)), HeartbeatVerdict::Current);
    assert_eq!(incarnation.note_heartbeat(Some(701), Some(1)), HeartbeatVerdict::Restarted);
}

/// A target that reports its start time does so in every heartbeat.
#[test]
fn a_heartbeat_without_start_time_is_stale_if_the_start_time_is_known() {
    let mut incarnation = TargetIncarnation::open(Some(700), 3);
    assert_eq!(incarnation.note_heartbeat(None, Some(9)), HeartbeatVerdict::Stale);
}

#[test]
fn targets_without_start_time_are_judged_by_sequence_number() {
    let mut incarnation = TargetIncarnation::open(None, 3);
    assert_eq!(incarnation.note_heartbeat(None, Some(3)), HeartbeatVerdict::Stale);
    assert_eq!(incarnation.note_heartbeat(None, Some(4)), HeartbeatVerdict::Current);
    assert!(incarnation.end(None));
    assert_eq!(incarnation.note_heartbeat(None, Some(5)), HeartbeatVerdict::Stale);
}
