//! Limit on the calls that start at a cold target.
//!
//! A cold target that gets more calls per second than it sustains crashes, restarts and is cold
//! again. The limit must hold for any order of heartbeats, health checks and restarts.

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

/// Calls per second that the simulated cold target sustains.
const MAX_RATE: usize = 32;

/// Maximum number of calls that a limit of [`MAX_RATE`] lets start within [`COLD_RATE_WINDOW`].
const MAX_STARTS: usize = 30;

const SECOND: MicroTime = MicroTime::from_millis(1_000);

/// One step of a random sequence; `left_ms` is the reported remaining cold time.
#[derive(Clone, Debug)]
enum Step {
    HealthAnswer { left_ms: u64 },
    Heartbeat { left_ms: u64 },
    AssumeCold,
    StartCall,
    AdvanceTime { us: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => prop_oneof![Just(0_u64), 0_u64..4_000].prop_map(|left_ms| Step::HealthAnswer { left_ms }),
        1 => prop_oneof![Just(0_u64), 0_u64..4_000].prop_map(|left_ms| Step::Heartbeat { left_ms }),
        1 => Just(Step::AssumeCold),
        60 => Just(Step::StartCall),
        30 => (0_u64..60_000).prop_map(|us| Step::AdvanceTime { us }),
    ]
}

fn cold_limit(max_rate: u32) -> ColdStartLimit {
    let mut limit = ColdStartLimit::default();
    limit.set_max_rate(Some(max_rate));
    limit
}

proptest! {
    #![proptest_config(seeded(200))]

    /// Within any window, no more calls start at a target that counts as cold than its limit
    /// permits.
    #[test]
    fn a_cold_target_gets_no_more_calls_than_it_sustains(max_rate in 1_u32..80, steps in proptest::collection::vec(step(), 1..600)) {
        let mut limit = cold_limit(max_rate);
        let max_starts = max_rate.saturating_sub(2).max(1) as usize;
        let mut now = MicroTime(0);
        let mut starts: Vec<MicroTime> = Vec::new();
        for step in steps {
            match step {
                Step::HealthAnswer { left_ms } => limit.note_health_answer(now, MicroTime::from_millis(left_ms)),
                Step::Heartbeat { left_ms } => limit.note_heartbeat(now, MicroTime::from_millis(left_ms)),
                Step::AssumeCold => limit.assume_cold(now),
                Step::AdvanceTime { us } => now = now + MicroTime(us),
                Step::StartCall if limit.may_start(now) => {
                    limit.record_start(now);
                    starts.push(now);
                    let counted = starts.iter().filter(|start| now.since(**start) < COLD_RATE_WINDOW).count();
                    prop_assert!(counted <= max_starts || !limit.is_cold(now), "{counted} of {max_starts} starts");
                }
                Step::StartCall => {
                    // The announced wait is exact: a call may start then, and not before.
                    let wait = limit.wait_behind(now, 0);
                    prop_assert!(!limit.may_start(now + wait - MicroTime(1)));
                    prop_assert!(limit.may_start(now + wait));
                }
            }
        }
    }

    /// The wait estimated for the last call of a queue is the time until it can start.
    #[test]
    fn the_estimated_wait_for_a_cold_target_is_exact(starts_ms in proptest::collection::vec(0_u64..1_000, 0..30), ahead in 0_usize..100) {
        let mut limit = cold_limit(MAX_RATE as u32);
        limit.note_health_answer(MicroTime(0), MicroTime::from_millis(30_000));
        let mut starts = starts_ms;
        starts.sort_unstable();
        for ms in &starts {
            limit.record_start(MicroTime::from_millis(*ms));
        }
        let mut now = MicroTime::from_millis(1_000);
        let expected = now + limit.wait_behind(now, ahead);
        for _ in 0..ahead {
            now = now + limit.wait_behind(now, 0);
            limit.record_start(now);
        }
        now = now + limit.wait_behind(now, 0);
        prop_assert_eq!(expected, now);
    }
}

/// Plays a busy target that is warm until `cold_at`, asked as the guard does; an answer takes
/// `answer_ms`. Returns the start times of its calls, `interval_us` apart where they may start.
fn play_busy_target(cold_at: MicroTime, interval_us: u64, answer_ms: u64) -> Vec<MicroTime> {
    let mut limit = cold_limit(MAX_RATE as u32);
    limit.set_can_be_asked(true);
    let mut starts = Vec::new();
    let mut answers: VecDeque<(MicroTime, MicroTime, MicroTime)> = VecDeque::new();
    let mut now = MicroTime(0);
    while now < cold_at + SECOND + SECOND {
        if let Some((_, asked_at, left)) = answers.front().copied().filter(|(due, ..)| *due <= now)
        {
            answers.pop_front();
            if left == MicroTime(0) {
                limit.confirm_warm(asked_at);
            }
            limit.note_health_answer(now, left);
        }
        // The guard looks each 20 ms.
        if now.0.is_multiple_of(20_000) && limit.should_ask(now) {
            limit.note_asked(now);
            let left = if now < cold_at { MicroTime(0) } else { MicroTime::from_millis(5_000) };
            answers.push_back((now + MicroTime::from_millis(answer_ms), now, left));
        }
        if now.0.is_multiple_of(interval_us) && limit.may_start(now) {
            limit.record_start(now);
            starts.push(now);
        }
        now = now + MicroTime(500);
    }
    starts
}

/// A busy target was not asked between its heartbeats, and overrun when it turned cold.
#[test_case(5_000, 2; "two hundred calls a second")]
#[test_case(1_000, 2; "a thousand calls a second")]
#[test_case(5_000, 60; "answers that take long")]
#[test_case(5_000, 10_000; "no answers in time")]
fn a_busy_target_gets_no_more_than_it_sustains_when_it_turns_cold(
    interval_us: u64,
    answer_ms: u64,
) {
    for offset_ms in 0..40 {
        let cold_at = MicroTime::from_millis(3_000 + 7 * offset_ms);
        let starts = play_busy_target(cold_at, interval_us, answer_ms);
        let cold: Vec<MicroTime> = starts.into_iter().filter(|at| *at >= cold_at).collect();
        for start in &cold {
            let count = cold.iter().filter(|at| **at >= *start && **at < *start + SECOND).count();
            assert!(
                count <= MAX_RATE,
                "{count} calls in a second from {start:?}, cold {cold_at:?}"
            );
        }
    }
}

#[test]
fn asking_a_busy_target_does_not_slow_it_down() {
    let end = MicroTime::from_millis(10_000);
    let starts = play_busy_target(end, 5_000, 2);
    let warm = starts.iter().filter(|at| **at < end).count();
    assert_eq!(warm, 2_000, "calls of a warm target waited");
}

#[test]
fn a_target_that_gets_few_calls_is_not_asked() {
    let mut limit = cold_limit(MAX_RATE as u32);
    limit.set_can_be_asked(true);
    for number in 0..200 {
        let now = MicroTime::from_millis(100 * number);
        assert!(limit.may_start(now) && !limit.should_ask(now));
        limit.record_start(now);
    }
}

#[test]
fn a_target_that_restarted_counts_as_warm_only_once_it_says_so() {
    let mut limit = cold_limit(MAX_RATE as u32);
    limit.set_can_be_asked(true);
    let start_until_refused = |limit: &mut ColdStartLimit| {
        let starts = (0..100).take_while(|_| {
            let may_start = limit.may_start(SECOND);
            if may_start {
                limit.record_start(SECOND);
            }
            may_start
        });
        starts.count()
    };
    assert_eq!(start_until_refused(&mut limit), MAX_STARTS);
    limit.confirm_warm(SECOND + MicroTime(1));
    assert!(limit.may_start(SECOND + MicroTime(1)));
    limit.forget_confirmation();
    assert!(!limit.may_start(SECOND + MicroTime(1)));
}

#[test]
fn a_late_heartbeat_does_not_end_a_cold_period() {
    let mut limit = cold_limit(32);
    limit.note_health_answer(SECOND, MicroTime::from_millis(3_000));
    limit.note_heartbeat(SECOND, MicroTime(0));
    assert!(limit.is_cold(SECOND + MicroTime::from_millis(2_999)));
    limit.note_health_answer(SECOND, MicroTime(0));
    assert!(!limit.is_cold(SECOND));
}

#[test]
fn a_target_assumed_cold_is_cold_until_it_answers_a_health_check() {
    let mut limit = cold_limit(32);
    limit.assume_cold(SECOND);
    assert!(limit.is_cold(SECOND) && limit.is_assumed_cold());
    limit.note_heartbeat(SECOND, MicroTime(0));
    assert!(limit.is_cold(SECOND), "the heartbeat may have been sent before the restart");
    limit.note_health_answer(SECOND, MicroTime(0));
    assert!(!limit.is_cold(SECOND));
    limit.assume_cold(SECOND);
    let later = SECOND + MicroTime::from_millis(5_000);
    assert!(!limit.is_cold(later), "a target without a health check is not assumed cold for ever");
}

#[test]
fn calls_that_an_earlier_guard_may_have_started_count() {
    let mut limit = cold_limit(32);
    limit.block_for_predecessor(MicroTime(0));
    limit.note_health_answer(MicroTime(0), MicroTime::from_millis(2_000));
    assert!(!limit.may_start(MicroTime::from_millis(1_099)));
    assert!(limit.may_start(COLD_RATE_WINDOW));
    // A target that reports more cold time left than a cold start lasts may have been cold for
    // any time.
    let cold_duration = MicroTime::from_millis(1_500);
    let limit_after_report = |now_ms: u64, left_ms: u64| {
        let mut limit = cold_limit(32);
        limit.block_for_predecessor(MicroTime(0));
        let (now, left) = (MicroTime::from_millis(now_ms), MicroTime::from_millis(left_ms));
        limit.note_cold_start(now, left, cold_duration);
        limit.note_health_answer(now, left);
        limit
    };
    assert!(!limit_after_report(0, 2_000).may_start(MicroTime(0)));
    // The target had been cold for 0.4 s when this guard had run for 0.1 s.
    assert!(!limit_after_report(100, 1_100).may_start(MicroTime::from_millis(100)));
    assert!(limit_after_report(300, 1_100).may_start(MicroTime::from_millis(300)));
    // The same cold period, first reported before this guard knew how long a cold start lasts.
    let mut limit = cold_limit(32);
    limit.block_for_predecessor(MicroTime(0));
    limit.note_heartbeat(MicroTime::from_millis(100), MicroTime::from_millis(1_400));
    limit.note_cold_start(
        MicroTime::from_millis(300),
        MicroTime::from_millis(1_200),
        cold_duration,
    );
    assert!(limit.may_start(MicroTime::from_millis(300)));
    // The target was cold before this guard started, restarts, and is cold again.
    let mut limit = limit_after_report(0, 1_000);
    limit.note_cold_start(MicroTime::from_millis(300), cold_duration, cold_duration);
    limit.note_health_answer(MicroTime::from_millis(300), cold_duration);
    assert!(!limit.may_start(MicroTime::from_millis(300)));
    assert!(limit.may_start(COLD_RATE_WINDOW));
}

#[test]
fn a_target_without_a_maximum_rate_is_not_limited() {
    let mut limit = ColdStartLimit::default();
    limit.note_health_answer(MicroTime(0), SECOND);
    assert!(limit.may_start(MicroTime(0)) && limit.allowance(MicroTime(0)).is_none());
}

#[test]
fn an_absurd_cold_time_does_not_limit_a_target_for_good() {
    let mut limit = cold_limit(32);
    limit.note_heartbeat(SECOND, MicroTime(u64::MAX));
    assert!(!limit.is_cold(SECOND + MicroTime::from_millis(61_000)));
}

#[test_case(16.0, 1.5, 8.0, 32)]
#[test_case(2.5, 1.0, 0.0, 2)]
#[test_case(0.0, 1.0, 0.0, 0)]
fn the_maximum_rate_follows_from_the_rate_and_the_terms(
    per_s: f64,
    over: f64,
    slack: f64,
    max_rate: u32,
) {
    assert_eq!(ColdTerms { over, slack }.max_rate(per_s), max_rate);
}

/// A target that is cold for [`COLD_MS`] after its start. While cold, it takes twice as long for
/// each call and crashes above [`MAX_RATE`]; it restarts after [`DOWN_MS`] and is cold again.
struct ColdTarget {
    /// Time until which it is down, in milliseconds.
    up_at: u64,
    /// Time until which it is cold, in milliseconds.
    cold_until: u64,
    /// Arrival times of the calls in the last second, in milliseconds.
    arrivals: VecDeque<u64>,
    crashes: u32,
}

/// Time for which a [`ColdTarget`] is cold after a start.
const COLD_MS: u64 = 3_000;
/// Time from a crash of a [`ColdTarget`] to its restart.
const DOWN_MS: u64 = 1_000;
/// Duration of a call at a warm [`ColdTarget`].
const WORK_MS: u64 = 60;

/// Outcomes of the calls to one target.
#[derive(Debug, Default)]
struct CallCounts {
    in_time: u32,
    refused: u32,
    lost: u32,
    /// Longest time until a refusal, in milliseconds.
    max_refusal_ms: u64,
}

impl ColdTarget {
    fn open() -> Self {
        Self { up_at: 0, cold_until: COLD_MS, arrivals: VecDeque::new(), crashes: 0 }
    }

    /// Receives a call; returns its duration in milliseconds, or `None` if it is lost.
    fn receive(&mut self, now_ms: u64) -> Option<u64> {
        if now_ms < self.up_at {
            return None;
        }
        if now_ms >= self.cold_until {
            return Some(WORK_MS);
        }
        self.arrivals.retain(|at| now_ms - at < 1_000);
        self.arrivals.push_back(now_ms);
        if self.arrivals.len() > MAX_RATE {
            self.crashes += 1;
            self.arrivals.clear();
            self.up_at = now_ms + DOWN_MS;
            self.cold_until = self.up_at + COLD_MS;
            return None;
        }
        Some(2 * WORK_MS)
    }
}

/// Simulates `per_s` calls per second for six seconds to a target that is cold at first.
fn simulate(per_s: u64, max_rate: Option<u32>) -> (ColdTarget, CallCounts) {
    let mut target = ColdTarget::open();
    let mut queue = AdmissionQueue::open(11);
    queue.cold_start_mut().set_max_rate(max_rate);
    queue.cold_start_mut().note_health_answer(MicroTime(0), MicroTime::from_millis(COLD_MS));
    let mut counts = CallCounts::default();
    // End time, id and start time of the running calls.
    let mut running: Vec<(u64, CallId, u64)> = Vec::new();
    let mut arrived: Vec<u64> = Vec::new();
    for now_ms in 0..6_000_u64 {
        let now = MicroTime::from_millis(now_ms);
        let mut out = Vec::new();
        if now_ms.is_multiple_of(40) && now_ms >= target.up_at {
            let left = MicroTime::from_millis(target.cold_until.saturating_sub(now_ms));
            queue.cold_start_mut().note_health_answer(now, left);
        }
        running.retain(|(end, call, started_ms)| {
            let over = *end <= now_ms;
            if over {
                let took = Some(MicroTime::from_millis(now_ms - started_ms));
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
                nested: false,
            };
            arrived.push(now_ms);
            queue.step(now, AdmissionEvent::Arrive(call), &mut out);
        }
        queue.step(now, AdmissionEvent::Tick, &mut out);
        for action in out {
            match action {
                AdmissionAction::Start(call) => {
                    if let Some(took) = target.receive(now_ms) {
                        running.push((now_ms + took, call, now_ms));
                    } else {
                        counts.lost += 1;
                        let event = AdmissionEvent::Finish { call, took: None, failed: true };
                        queue.step(now, event, &mut Vec::new());
                    }
                }
                AdmissionAction::Refuse { call, .. } => {
                    counts.refused += 1;
                    let waited = now_ms - arrived[call.0 as usize];
                    counts.max_refusal_ms = counts.max_refusal_ms.max(waited);
                }
            }
        }
    }
    (target, counts)
}

/// 60 calls per second are about twice what the target sustains while it is cold. Without a limit
/// it crashes four times and 128 of 360 calls are in time; with the limit 209 are.
#[test]
fn a_cold_target_under_overload_warms_up_without_a_crash() {
    let (target, counts) = simulate(60, Some(MAX_RATE as u32));
    assert_eq!((target.crashes, counts.lost), (0, 0), "{counts:?}");
    assert!(counts.in_time > 200, "{counts:?}");
    assert!(counts.max_refusal_ms <= 100, "{counts:?}");
    let (unlimited_target, unlimited_counts) = simulate(60, None);
    assert!(unlimited_target.crashes >= 2, "the load must crash a cold target that is not limited");
    assert!(
        unlimited_counts.in_time * 3 < counts.in_time * 2,
        "without a limit {unlimited_counts:?}, with it {counts:?}"
    );
}

/// Load that the cold target sustains is not limited.
#[test]
fn a_cold_target_gets_the_load_that_it_sustains() {
    let (target, counts) = simulate(20, Some(MAX_RATE as u32));
    assert_eq!((target.crashes, counts.refused, counts.lost), (0, 0, 0), "{counts:?}");
}

/// Creates the queue of a cold target at which all permitted calls start at time zero.
fn exhausted_queue() -> AdmissionQueue {
    let mut queue = AdmissionQueue::open(64);
    queue.cold_start_mut().set_max_rate(Some(MAX_RATE as u32));
    queue.cold_start_mut().note_health_answer(MicroTime(0), SECOND + SECOND);
    for id in 0..MAX_STARTS as u128 {
        let started = offer(&mut queue, id, 0, true);
        assert_eq!(started, [AdmissionAction::Start(CallId(id))]);
    }
    queue
}

/// Offers a call that may wait for 300 ms and returns the resulting actions.
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
        nested: false,
    };
    let mut out = Vec::new();
    queue.step(now, AdmissionEvent::Arrive(call), &mut out);
    out
}

#[test]
fn a_call_with_another_target_is_refused_at_an_exhausted_cold_target() {
    let mut queue = exhausted_queue();
    let refused = offer(&mut queue, 100, 10, false);
    assert!(matches!(refused[..], [AdmissionAction::Refuse { reason: RefusalReason::Cold, .. }]));
}

/// A call that can't start in time is refused at once, with the time at which a call may start.
#[test]
fn a_refusal_at_a_cold_target_states_when_a_call_may_start() {
    let mut queue = exhausted_queue();
    let refused = offer(&mut queue, 100, 500, true);
    let [AdmissionAction::Refuse { reason: RefusalReason::TooLate, retry_after_ms, .. }] =
        refused[..]
    else {
        panic!("{refused:?}")
    };
    assert_eq!(retry_after_ms, 600);
    // A call that can wait until then does, and starts then.
    assert!(offer(&mut queue, 101, 900, true).is_empty());
    let mut out = Vec::new();
    queue.step(MicroTime::from_millis(1_099), AdmissionEvent::Tick, &mut out);
    assert!(out.is_empty());
    queue.step(COLD_RATE_WINDOW, AdmissionEvent::Tick, &mut out);
    assert_eq!(out, [AdmissionAction::Start(CallId(101))]);
}
