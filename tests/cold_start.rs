//! Calls at a target that is cold: never more in a second than it bears, whatever is
//! heard of it and in whichever order; and what callers get meanwhile.

#[path = "common/seeded.rs"]
mod seeded;

use std::collections::VecDeque;

use proptest::prelude::*;
use railspan::{
    AdmissionAction, AdmissionEvent, AdmissionQueue, COLD_RATE_WINDOW, CallId, CallPriority,
    ColdStartLimit, ColdTerms, MicroTime, RefusalReason, WaitingCall,
};
use seeded::seeded;
use test_case::test_case;

/// Calls in a second that the cold targets here bear, and the same as a bound.
const BEARS: usize = 32;

/// Most calls that a limit with that bound lets begin within [`COLD_RATE_WINDOW`].
const MOST: usize = 30;

const SECOND: MicroTime = MicroTime::from_millis(1_000);

#[derive(Clone, Debug)]
enum Step {
    Answer { left_ms: u64 },
    Heartbeat { left_ms: u64 },
    Doubt,
    Try,
    Pass { us: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => prop_oneof![Just(0_u64), 0_u64..4_000].prop_map(|left_ms| Step::Answer { left_ms }),
        1 => prop_oneof![Just(0_u64), 0_u64..4_000].prop_map(|left_ms| Step::Heartbeat { left_ms }),
        1 => Just(Step::Doubt),
        60 => Just(Step::Try),
        30 => (0_u64..60_000).prop_map(|us| Step::Pass { us }),
    ]
}

fn cold_limit(bound: u32) -> ColdStartLimit {
    let mut limit = ColdStartLimit::default();
    limit.set_max_rate(Some(bound));
    limit
}

proptest! {
    #![proptest_config(seeded(200))]

    /// Whenever a call begins at a target that counts as cold, it is one of few.
    #[test]
    fn a_cold_target_is_given_no_more_than_it_bears(bound in 1_u32..80, steps in proptest::collection::vec(step(), 1..600)) {
        let mut limit = cold_limit(bound);
        let most = bound.saturating_sub(2).max(1) as usize;
        let mut now = MicroTime(0);
        let mut begun: Vec<MicroTime> = Vec::new();
        for step in steps {
            match step {
                Step::Answer { left_ms } => limit.note_health_answer(now, MicroTime::from_millis(left_ms)),
                Step::Heartbeat { left_ms } => limit.note_heartbeat(now, MicroTime::from_millis(left_ms)),
                Step::Doubt => limit.assume_cold(now),
                Step::Pass { us } => now = now + MicroTime(us),
                Step::Try if limit.may_start(now) => {
                    limit.record_start(now);
                    begun.push(now);
                    let counted = begun.iter().filter(|begun| now.since(**begun) < COLD_RATE_WINDOW).count();
                    prop_assert!(counted <= most || !limit.is_cold(now), "{counted} of {most}");
                }
                Step::Try => {
                    // There is room once the limit says so, and not before.
                    let wait = limit.wait_behind(now, 0);
                    prop_assert!(!limit.may_start(now + wait - MicroTime(1)));
                    prop_assert!(limit.may_start(now + wait));
                }
            }
        }
    }

    /// What is foreseen for the calls in a queue is when they can begin.
    #[test]
    fn a_queue_before_a_cold_target_moves_as_foreseen(begun_ms in proptest::collection::vec(0_u64..1_000, 0..30), ahead in 0_usize..100) {
        let mut limit = cold_limit(BEARS as u32);
        limit.note_health_answer(MicroTime(0), MicroTime::from_millis(30_000));
        let mut begun = begun_ms;
        begun.sort_unstable();
        for ms in &begun {
            limit.record_start(MicroTime::from_millis(*ms));
        }
        let mut now = MicroTime::from_millis(1_000);
        let foreseen = now + limit.wait_behind(now, ahead);
        for _ in 0..ahead {
            now = now + limit.wait_behind(now, 0);
            limit.record_start(now);
        }
        now = now + limit.wait_behind(now, 0);
        prop_assert_eq!(foreseen, now);
    }
}

#[test]
fn a_late_heartbeat_makes_no_target_warm() {
    let mut limit = cold_limit(32);
    limit.note_health_answer(SECOND, MicroTime::from_millis(3_000));
    limit.note_heartbeat(SECOND, MicroTime(0));
    assert!(limit.is_cold(SECOND + MicroTime::from_millis(2_999)));
    limit.note_health_answer(SECOND, MicroTime(0));
    assert!(!limit.is_cold(SECOND));
}

#[test]
fn a_target_that_could_not_be_reached_counts_as_cold_until_it_answers() {
    let mut limit = cold_limit(32);
    limit.assume_cold(SECOND);
    assert!(limit.is_cold(SECOND) && limit.is_assumed_cold());
    limit.note_heartbeat(SECOND, MicroTime(0));
    assert!(limit.is_cold(SECOND), "the heartbeat may be of before");
    limit.note_health_answer(SECOND, MicroTime(0));
    assert!(!limit.is_cold(SECOND));
    limit.assume_cold(SECOND);
    let later = SECOND + MicroTime::from_millis(5_000);
    assert!(!limit.is_cold(later), "a target without a path for health is not doubted for ever");
}

#[test]
fn what_an_earlier_guard_began_counts() {
    let mut limit = cold_limit(32);
    limit.block_for_predecessor(MicroTime(0));
    limit.note_health_answer(MicroTime(0), MicroTime::from_millis(2_000));
    assert!(!limit.may_start(MicroTime::from_millis(1_099)));
    assert!(limit.may_start(COLD_RATE_WINDOW));
    // What is cold for longer than a start lasts may have been so for any time.
    let lasts = MicroTime::from_millis(1_500);
    let first_told = |now_ms: u64, left_ms: u64| {
        let mut limit = cold_limit(32);
        limit.block_for_predecessor(MicroTime(0));
        let (now, left) = (MicroTime::from_millis(now_ms), MicroTime::from_millis(left_ms));
        limit.note_cold_start(now, left, lasts);
        limit.note_health_answer(now, left);
        limit
    };
    assert!(!first_told(0, 2_000).may_start(MicroTime(0)));
    // It was cold for 0.4 s when this guard had run for 0.1 s.
    assert!(!first_told(100, 1_100).may_start(MicroTime::from_millis(100)));
    assert!(first_told(300, 1_100).may_start(MicroTime::from_millis(300)));
    // The same cold time, told before this guard knew how long a start lasts.
    let mut limit = cold_limit(32);
    limit.block_for_predecessor(MicroTime(0));
    limit.note_heartbeat(MicroTime::from_millis(100), MicroTime::from_millis(1_400));
    limit.note_cold_start(MicroTime::from_millis(300), MicroTime::from_millis(1_200), lasts);
    assert!(limit.may_start(MicroTime::from_millis(300)));
    // It was cold before this guard's start, and turns so anew.
    let mut limit = first_told(0, 1_000);
    limit.note_cold_start(MicroTime::from_millis(300), lasts, lasts);
    limit.note_health_answer(MicroTime::from_millis(300), lasts);
    assert!(!limit.may_start(MicroTime::from_millis(300)));
    assert!(limit.may_start(COLD_RATE_WINDOW));
}

#[test]
fn a_target_without_a_bound_takes_what_comes() {
    let mut limit = ColdStartLimit::default();
    limit.note_health_answer(MicroTime(0), SECOND);
    assert!(limit.may_start(MicroTime(0)) && limit.allowance(MicroTime(0)).is_none());
}

#[test]
fn a_writer_of_nonsense_closes_no_target_for_good() {
    let mut limit = cold_limit(32);
    limit.note_heartbeat(SECOND, MicroTime(u64::MAX));
    assert!(!limit.is_cold(SECOND + MicroTime::from_millis(61_000)));
}

#[test_case(16.0, 1.5, 8.0, 32)]
#[test_case(2.5, 1.0, 0.0, 2)]
#[test_case(0.0, 1.0, 0.0, 0)]
fn the_bound_is_of_the_rate_and_the_terms(per_s: f64, over: f64, slack: f64, bound: u32) {
    assert_eq!(ColdTerms { over, slack }.max_rate(per_s), bound);
}

/// A target that is cold for some seconds, takes twice its time meanwhile, and falls
/// over above what it bears; then it starts again, cold again, after a second.
struct ColdTarget {
    /// It is down until then, and cold for some time after.
    up_at: u64,
    cold_until: u64,
    reached: VecDeque<u64>,
    falls: u32,
}

const COLD_MS: u64 = 3_000;
const DOWN_MS: u64 = 1_000;
const WORK_MS: u64 = 60;

/// What callers of one target got.
#[derive(Debug, Default)]
struct CallerCounts {
    in_time: u32,
    refused: u32,
    lost: u32,
    /// Longest time until a refusal, in milliseconds.
    refused_after: u64,
}

impl ColdTarget {
    fn open() -> Self {
        Self { up_at: 0, cold_until: COLD_MS, reached: VecDeque::new(), falls: 0 }
    }

    /// Takes a call; returns how long it takes, or nothing if it is lost.
    fn take(&mut self, now_ms: u64) -> Option<u64> {
        if now_ms < self.up_at {
            return None;
        }
        if now_ms >= self.cold_until {
            return Some(WORK_MS);
        }
        self.reached.retain(|at| now_ms - at < 1_000);
        self.reached.push_back(now_ms);
        if self.reached.len() > BEARS {
            self.falls += 1;
            self.reached.clear();
            self.up_at = now_ms + DOWN_MS;
            self.cold_until = self.up_at + COLD_MS;
            return None;
        }
        Some(2 * WORK_MS)
    }
}

/// Plays `per_s` calls a second for six seconds at a target that is cold at first.
fn play(per_s: u64, bound: Option<u32>) -> (ColdTarget, CallerCounts) {
    let mut target = ColdTarget::open();
    let mut queue = AdmissionQueue::open(11);
    queue.cold_start_mut().set_max_rate(bound);
    queue.cold_start_mut().note_health_answer(MicroTime(0), MicroTime::from_millis(COLD_MS));
    let mut counts = CallerCounts::default();
    let mut ends: Vec<(u64, CallId, u64)> = Vec::new();
    let mut arrived: Vec<u64> = Vec::new();
    for now_ms in 0..6_000_u64 {
        let now = MicroTime::from_millis(now_ms);
        let mut out = Vec::new();
        if now_ms.is_multiple_of(40) && now_ms >= target.up_at {
            let left = MicroTime::from_millis(target.cold_until.saturating_sub(now_ms));
            queue.cold_start_mut().note_health_answer(now, left);
        }
        ends.retain(|(end, call, began)| {
            let over = *end <= now_ms;
            if over {
                let took = Some(MicroTime::from_millis(now_ms - began));
                let event = AdmissionEvent::Finish { call: *call, took, failed: false };
                queue.step(now, event, &mut out);
                counts.in_time += u32::from(now_ms - arrived[call.0 as usize] <= 200);
            }
            !over
        });
        if (now_ms * per_s) % 1_000 < per_s {
            let call = WaitingCall {
                call: CallId(arrived.len() as u128),
                account: "".into(),
                share: 1,
                priority: CallPriority::default(),
                deadline: now + MicroTime::from_millis(600),
                queue_deadline: now + MicroTime::from_millis(100),
                work_us: WORK_MS as u32 * 1_000,
                last_target: true,
            };
            arrived.push(now_ms);
            queue.step(now, AdmissionEvent::Arrive(call), &mut out);
        }
        queue.step(now, AdmissionEvent::Tick, &mut out);
        for action in out {
            match action {
                AdmissionAction::Start(call) => {
                    if let Some(took) = target.take(now_ms) {
                        ends.push((now_ms + took, call, now_ms));
                    } else {
                        counts.lost += 1;
                        let event = AdmissionEvent::Finish { call, took: None, failed: true };
                        queue.step(now, event, &mut Vec::new());
                    }
                }
                AdmissionAction::Refuse { call, .. } => {
                    counts.refused += 1;
                    let waited = now_ms - arrived[call.0 as usize];
                    counts.refused_after = counts.refused_after.max(waited);
                }
            }
        }
    }
    (target, counts)
}

/// 60 calls a second, twice what the target bears while it is cold. Let through, it
/// falls over four times and 128 of 360 are in time; with the bound 209.
#[test]
fn a_cold_target_under_load_gets_warm() {
    let (target, counts) = play(60, Some(BEARS as u32));
    assert_eq!((target.falls, counts.lost), (0, 0), "{counts:?}");
    assert!(counts.in_time > 200, "{counts:?}");
    assert!(counts.refused_after <= 100, "{counts:?}");
    let (fallen, without) = play(60, None);
    assert!(fallen.falls >= 2, "the load is none that a cold target falls over under");
    assert!(without.in_time * 3 < counts.in_time * 2, "{without:?} of {counts:?}");
}

/// Load that the target bears is not held back.
#[test]
fn a_cold_target_takes_what_it_bears() {
    let (target, counts) = play(20, Some(BEARS as u32));
    assert_eq!((target.falls, counts.refused, counts.lost), (0, 0, 0), "{counts:?}");
}

/// A queue before a cold target of which all room is taken at the start.
fn queue_without_room() -> AdmissionQueue {
    let mut queue = AdmissionQueue::open(64);
    queue.cold_start_mut().set_max_rate(Some(BEARS as u32));
    queue.cold_start_mut().note_health_answer(MicroTime(0), SECOND + SECOND);
    for id in 0..MOST as u128 {
        let started = offer(&mut queue, id, 0, true);
        assert_eq!(started, [AdmissionAction::Start(CallId(id))]);
    }
    queue
}

fn offer(
    queue: &mut AdmissionQueue,
    id: u128,
    now_ms: u64,
    last_target: bool,
) -> Vec<AdmissionAction> {
    let now = MicroTime::from_millis(now_ms);
    let call = WaitingCall {
        call: CallId(id),
        account: "".into(),
        share: 1,
        priority: CallPriority::default(),
        deadline: now + SECOND,
        queue_deadline: now + MicroTime::from_millis(300),
        work_us: 40_000,
        last_target,
    };
    let mut out = Vec::new();
    queue.step(now, AdmissionEvent::Arrive(call), &mut out);
    out
}

#[test]
fn a_call_that_may_go_elsewhere_is_sent_on_from_a_cold_target() {
    let mut queue = queue_without_room();
    let refused = offer(&mut queue, 100, 10, false);
    assert!(matches!(refused[..], [AdmissionAction::Refuse { reason: RefusalReason::Cold, .. }]));
}

/// What can't begin in time is refused at once, and told when room comes.
#[test]
fn a_refused_caller_is_told_when_a_cold_target_has_room() {
    let mut queue = queue_without_room();
    let refused = offer(&mut queue, 100, 500, true);
    let [AdmissionAction::Refuse { reason: RefusalReason::TooLate, retry_after_ms, .. }] =
        refused[..]
    else {
        panic!("{refused:?}")
    };
    assert_eq!(retry_after_ms, 600);
    // One that may wait for it does, and begins then.
    assert!(offer(&mut queue, 101, 900, true).is_empty());
    let mut out = Vec::new();
    queue.step(MicroTime::from_millis(1_099), AdmissionEvent::Tick, &mut out);
    assert!(out.is_empty());
    queue.step(COLD_RATE_WINDOW, AdmissionEvent::Tick, &mut out);
    assert_eq!(out, [AdmissionAction::Start(CallId(101))]);
}
