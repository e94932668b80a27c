//! Limit on the rate of calls at a target that states how many it takes.
//!
//! The limit must hold for any order of statements, answers that state none, restarts of the
//! guard and reports of entries.

#[path = "common/seeded.rs"]
mod seeded;

use proptest::prelude::*;
use railspan::{
    AdmissionAction, AdmissionEvent, AdmissionQueue, CallId, CallPriority, DaemonIncarnation,
    KnownStatements, MicroTime, RateLimit, RateSource, RefusalReason, ServiceName, StatedRate,
    TargetName, TargetStatement, WaitingCall,
};
use seeded::seeded;
use test_case::test_case;

/// Window over which the users count the calls that reach a target, in seconds.
const WINDOW_S: u64 = 4;

/// Longest wait that a limit announces.
const MAX_WAIT: MicroTime = MicroTime::from_millis(60_000);

const SECOND: MicroTime = MicroTime::from_millis(1_000);

fn rate(per_1000_s: u32) -> StatedRate {
    StatedRate { per_1000_s }
}

fn millis(ms: u64) -> MicroTime {
    MicroTime::from_millis(ms)
}

/// Returns the most starts within any window of [`WINDOW_S`]; `starts` are in order.
fn most_starts(starts: &[MicroTime]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (index, start) in starts.iter().enumerate() {
        while start.since(starts[first]) >= millis(WINDOW_S * 1_000) {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

/// Returns the most calls within [`WINDOW_S`] that the users accept.
fn accepted(rate: StatedRate) -> f64 {
    1.5 * rate.per_s() * WINDOW_S as f64 + 5.0
}

/// One step of a random sequence at a target that states a rate throughout.
#[derive(Clone, Debug)]
enum Step {
    /// An answer to a call states `permille` of the greatest rate.
    Answer {
        permille: u32,
    },
    /// The answer to a health check, which states the rate at some targets only.
    Health,
    /// An entry reports a rate.
    EntryReport {
        permille: u32,
    },
    /// The guard restarts and learns the rate from the next call of an entry.
    Restart,
    StartCall,
    CheckHealth,
    AdvanceTime {
        us: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1_u32..=1_000).prop_map(|permille| Step::Answer { permille }),
        2 => Just(Step::Health),
        2 => (1_u32..=1_000).prop_map(|permille| Step::EntryReport { permille }),
        1 => Just(Step::Restart),
        60 => Just(Step::StartCall),
        1 => Just(Step::CheckHealth),
        40 => (0_u64..200_000).prop_map(|us| Step::AdvanceTime { us }),
    ]
}

proptest! {
    #![proptest_config(seeded(200))]

    /// Whatever happens to its guard, a target gets no more calls than the users accept.
    #[test]
    fn a_target_gets_no_more_than_the_rate_it_states(max_per_1000_s in 300_u32..60_000, health_states in any::<bool>(), steps in proptest::collection::vec(step(), 1..500)) {
        let max = rate(max_per_1000_s);
        let scaled = |permille: u32| rate((max_per_1000_s * permille / 1_000).max(1));
        let mut limit = RateLimit::default();
        limit.note_rate(MicroTime(0), Some(max), RateSource::Call);
        let mut now = MicroTime(0);
        let mut starts = Vec::new();
        for step in steps {
            match step {
                Step::Answer { permille } => limit.note_rate(now, Some(scaled(permille)), RateSource::Call),
                Step::Health => limit.note_rate(now, health_states.then_some(max), RateSource::HealthCheck),
                Step::EntryReport { permille } => limit.note_rate(now, Some(scaled(permille)), RateSource::Entry),
                Step::Restart => {
                    limit = RateLimit::default();
                    limit.note_rate(now, Some(max), RateSource::Entry);
                }
                Step::AdvanceTime { us } => now = now + MicroTime(us),
                Step::CheckHealth => {
                    limit.record_health_check(now);
                    starts.push(now);
                }
                Step::StartCall if limit.may_start(now) => {
                    limit.record_start(now);
                    starts.push(now);
                }
                Step::StartCall => {
                    let wait = limit.wait_behind(now, 0);
                    let is_exact = limit.may_start(now + wait) || wait == MAX_WAIT;
                    prop_assert!(is_exact, "the announced wait is too short");
                }
            }
        }
        let most = most_starts(&starts);
        prop_assert!(most as f64 <= accepted(max), "{most} of {} starts", accepted(max));
    }

    /// A rate that is gone for single answers lets no burst start.
    #[test]
    fn a_rate_that_is_gone_for_one_answer_lets_no_burst_start(per_1000_s in 1_000_u32..20_000, gaps_ms in proptest::collection::vec(1_u64..140, 1..60)) {
        let stated = rate(per_1000_s);
        let mut limit = RateLimit::default();
        limit.note_rate(MicroTime(0), Some(stated), RateSource::Call);
        let mut starts = Vec::new();
        let mut now = MicroTime(0);
        for (index, gap_ms) in gaps_ms.iter().enumerate() {
            for _ in 0..*gap_ms {
                now = now + millis(1);
                if limit.may_start(now) {
                    limit.record_start(now);
                    starts.push(now);
                }
            }
            let missing = index % 4 == 1;
            limit.note_rate(now, (!missing).then_some(stated), RateSource::Call);
        }
        let most = most_starts(&starts);
        prop_assert!(most as f64 <= accepted(stated), "{most} of {} starts", accepted(stated));
    }
}

/// Plays attempts to start a call every millisecond; returns the times of the starts.
fn start_all(limit: &mut RateLimit, from_ms: u64, until_ms: u64) -> Vec<MicroTime> {
    let mut starts = Vec::new();
    for now in (from_ms..until_ms).map(millis) {
        if limit.may_start(now) {
            limit.record_start(now);
            starts.push(now);
        }
    }
    starts
}

#[test_case(300; "0.3 a second")]
#[test_case(2_500; "2.5 a second")]
#[test_case(7_100; "7.1 a second")]
#[test_case(90_000; "90 a second")]
fn a_target_with_waiting_calls_gets_what_it_takes(per_1000_s: u32) {
    let mut limit = RateLimit::default();
    limit.note_rate(MicroTime(0), Some(rate(per_1000_s)), RateSource::Call);
    let starts = start_all(&mut limit, 0, 100_000).len() as f64;
    let taken = rate(per_1000_s).per_s() * 100.0;
    assert!(starts >= 0.95 * taken - 1.0 && starts <= taken + 1.0, "{starts} of {taken}");
}

#[test]
fn a_rate_that_ends_is_released_step_by_step() {
    let mut limit = RateLimit::default();
    limit.note_rate(MicroTime(0), Some(rate(2_500)), RateSource::Call);
    start_all(&mut limit, 0, 4_000);
    limit.note_rate(millis(4_000), None, RateSource::Call);
    let first_half_second = start_all(&mut limit, 4_000, 4_500).len();
    assert!((1..=6).contains(&first_half_second), "{first_half_second} starts");
    assert!(!limit.is_limited(millis(6_000)));
    assert_eq!(limit.wait_behind(millis(6_000), 1_000), MicroTime(0));
}

#[test]
fn a_rate_of_zero_is_kept_until_a_health_check_states_none() {
    let mut limit = RateLimit::default();
    limit.note_rate(MicroTime(0), Some(rate(0)), RateSource::HealthCheck);
    assert_eq!(start_all(&mut limit, 0, 30_000), []);
    assert!(limit.check_interval().is_some_and(|interval| interval <= millis(2_000)));
    limit.note_rate(millis(30_000), None, RateSource::HealthCheck);
    assert!(!start_all(&mut limit, 30_000, 31_000).is_empty());
}

#[test]
fn a_rate_of_zero_that_only_calls_state_is_tried_again_now_and_then() {
    let mut limit = RateLimit::default();
    limit.note_rate(MicroTime(0), Some(rate(0)), RateSource::Call);
    let starts = start_all(&mut limit, 0, 40_000).len();
    assert!((3..=4).contains(&starts), "{starts} trials in 40 s");
}

#[test]
fn a_health_check_that_never_states_the_rate_does_not_end_it() {
    let mut limit = RateLimit::default();
    limit.note_rate(MicroTime(0), Some(rate(7_100)), RateSource::Call);
    limit.note_rate(SECOND, None, RateSource::HealthCheck);
    assert_eq!(limit.stated_rate(), Some(rate(7_100)));
}

#[test]
fn reports_of_entries_count_only_until_the_target_has_answered() {
    let mut limit = RateLimit::default();
    limit.note_rate(MicroTime(0), Some(rate(7_100)), RateSource::Entry);
    limit.note_rate(MicroTime(0), Some(rate(6_400)), RateSource::Entry);
    assert_eq!(limit.stated_rate(), Some(rate(6_400)));
    limit.note_rate(SECOND, Some(rate(9_000)), RateSource::Call);
    limit.note_rate(SECOND, Some(rate(6_400)), RateSource::Entry);
    assert_eq!(limit.stated_rate(), Some(rate(9_000)));
}

#[test]
fn refused_callers_are_told_to_return_one_after_the_other() {
    let mut limit = RateLimit::default();
    limit.note_rate(MicroTime(0), Some(rate(10_000)), RateSource::Call);
    let returns: Vec<MicroTime> = (0..40).map(|_| limit.reserve_return(SECOND, 0)).collect();
    for pair in returns.windows(2) {
        let apart = pair[1].since(pair[0]);
        assert!(apart >= millis(99) && apart <= millis(101), "{apart:?} apart");
    }
}

#[test]
fn more_refused_callers_than_starts_do_not_return_together() {
    let mut limit = RateLimit::default();
    limit.note_rate(MicroTime(0), Some(rate(1_500)), RateSource::Call);
    let mut returns: Vec<MicroTime> = (0..60).map(|_| limit.reserve_return(SECOND, 0)).collect();
    returns.sort_unstable();
    let within = |from: &MicroTime| {
        returns.iter().filter(|time| *time >= from && time.since(*from) < millis(500)).count()
    };
    // Evenly spread over 4.3 s they are 7 in half a second.
    let most = returns.iter().map(within).max();
    assert!(most <= Some(14), "{most:?} of 60 return within half a second");
    assert!(returns.last() <= Some(&millis(5_000)));
}

#[test_case("7.1", Some(7_100); "a decimal number")]
#[test_case("0", Some(0); "zero")]
#[test_case("0.3", Some(300); "below one")]
#[test_case("1000000000", Some(u32::MAX); "a rate over the representable one")]
#[test_case("", None; "nothing")]
#[test_case("-1", None; "a negative number")]
#[test_case("NaN", None; "not a number")]
#[test_case("inf", None; "infinite")]
#[test_case("1e9", None; "an exponent")]
#[test_case("7,1", None; "a comma")]
#[test_case("7.1, 6.4", None; "a list")]
#[test_case(".", None; "a point")]
#[test_case("seven", None; "a word")]
fn a_stated_rate_is_a_decimal_number(text: &str, per_1000_s: Option<u32>) {
    assert_eq!(StatedRate::parse(text), per_1000_s.map(rate));
}

fn waiting_call(number: u128, urgent: bool, queue_deadline_ms: u64, last: bool) -> WaitingCall {
    WaitingCall {
        call: CallId(number),
        account: "rio-pilots".into(),
        share: 1,
        priority: CallPriority { urgent, worth: 1 },
        deadline: millis(queue_deadline_ms + 1_000),
        queue_deadline: millis(queue_deadline_ms),
        work_us: 0,
        last_target: last,
        nested: false,
    }
}

/// Returns the reason and the return time of a refusal among `actions`.
fn refusals(actions: &[AdmissionAction]) -> Vec<(RefusalReason, u32)> {
    let refusal = |action: &AdmissionAction| match action {
        AdmissionAction::Refuse { reason, retry_after_ms, .. } => Some((*reason, *retry_after_ms)),
        AdmissionAction::Start(_) => None,
    };
    actions.iter().filter_map(refusal).collect()
}

#[test]
fn calls_beyond_the_rate_are_refused_at_once_and_return_spread_out() {
    let mut queue = AdmissionQueue::open(8);
    queue.rate_limit_mut().note_rate(MicroTime(0), Some(rate(2_000)), RateSource::Call);
    let mut actions = Vec::new();
    for number in 0..10 {
        let call = waiting_call(number, false, 1_200, true);
        queue.step(millis(1), AdmissionEvent::Arrive(call), &mut actions);
    }
    let refused = refusals(&actions);
    // Two may start before the queue deadline; the others know at once.
    assert_eq!(queue.waiting(), 2);
    assert_eq!(refused.len(), 8);
    assert!(refused.iter().all(|(reason, _)| *reason == RefusalReason::RateLimited));
    let mut returns: Vec<u32> = refused.iter().map(|(_, retry_after_ms)| *retry_after_ms).collect();
    returns.dedup();
    assert!(returns.len() >= 6, "{returns:?}");
}

#[test]
fn a_call_that_may_go_elsewhere_does_not_wait_for_the_rate() {
    let mut queue = AdmissionQueue::open(8);
    queue.rate_limit_mut().note_rate(MicroTime(0), Some(rate(2_000)), RateSource::Call);
    let mut actions = Vec::new();
    let call = waiting_call(1, false, 5_000, false);
    queue.step(millis(1), AdmissionEvent::Arrive(call), &mut actions);
    assert_eq!(
        refusals(&actions).first().map(|refusal| refusal.0),
        Some(RefusalReason::RateLimited)
    );
}

#[test]
fn urgent_calls_go_first_at_a_target_with_a_limited_rate() {
    let mut queue = AdmissionQueue::open(8);
    queue.rate_limit_mut().note_rate(MicroTime(0), Some(rate(1_000)), RateSource::Call);
    let mut actions = Vec::new();
    for (number, urgent) in [(1, false), (2, true)] {
        let call = waiting_call(number, urgent, 10_000, true);
        queue.step(millis(1), AdmissionEvent::Arrive(call), &mut actions);
    }
    queue.step(millis(1_010), AdmissionEvent::Tick, &mut actions);
    assert_eq!(actions, [AdmissionAction::Start(CallId(2))]);
}

#[test]
fn a_limit_that_is_lifted_beside_the_rate_sets_free_no_burst() {
    let mut queue = AdmissionQueue::open(8);
    queue.cold_start_mut().set_max_rate(Some(3));
    queue.cold_start_mut().note_health_answer(MicroTime(0), millis(5_000));
    queue.rate_limit_mut().note_rate(MicroTime(0), Some(rate(2_000)), RateSource::Call);
    let mut actions = Vec::new();
    for number in 0..16 {
        let call = waiting_call(number, false, 60_000, true);
        queue.step(millis(1), AdmissionEvent::Arrive(call), &mut actions);
    }
    queue.step(millis(5_000), AdmissionEvent::Tick, &mut actions);
    queue.cold_start_mut().note_health_answer(millis(5_000), MicroTime(0));
    let before = queue.running();
    queue.step(millis(5_020), AdmissionEvent::Tick, &mut actions);
    assert!(queue.running() <= before + 1, "{} calls start at once", queue.running() - before);
}

#[test]
fn entries_remember_a_statement_over_the_restart_of_a_guard() {
    let (service, target): (ServiceName, TargetName) = ("grillas".into(), "i-1".into());
    let (first, second) = (DaemonIncarnation(1), DaemonIncarnation(2));
    let stated = TargetStatement { rate: Some(rate(2_500)), leaving: true };
    let mut known = KnownStatements::default();
    known.record(SECOND, &service, &target, first, Some(stated));
    assert_eq!(known.earlier(&service, &target, first), None);
    // The next guard has not heard its target yet.
    known.record(SECOND, &service, &target, second, None);
    assert_eq!(known.earlier(&service, &target, second), Some(stated));
    known.record(SECOND, &service, &target, second, Some(TargetStatement::default()));
    assert_eq!(
        known.earlier(&service, &target, DaemonIncarnation(3)),
        Some(TargetStatement::default())
    );
}

#[test]
fn a_target_that_restarts_under_its_guard_has_stated_nothing() {
    let (service, target): (ServiceName, TargetName) = ("grillas".into(), "i-1".into());
    let (first, second) = (DaemonIncarnation(1), DaemonIncarnation(2));
    let mut known = KnownStatements::default();
    let stated = TargetStatement { rate: Some(rate(2_500)), leaving: true };
    known.record(SECOND, &service, &target, first, Some(stated));
    known.record(SECOND, &service, &target, first, None);
    known.expire(SECOND);
    assert_eq!(known.earlier(&service, &target, second), None);
}
