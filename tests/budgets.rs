//! Promise: measuring never costs more than its budget; retries never multiply.

#[path = "common/seeded.rs"]
mod seeded;

use proptest::prelude::*;
use railspan::{
    AttemptResult, CallAttempts, MAX_ATTEMPTS, MicroTime, ProbeBudget, RetryBudget, RetryDecision,
    TARGET_LEASE, TargetCondition, TargetLease,
};
use seeded::seeded;

const SECOND: u64 = 1_000_000;

proptest! {
    #![proptest_config(seeded(300))]

    /// The clock may crawl, stand still, jump ahead or go back.
    #[test]
    fn no_second_is_ever_over_the_probe_budget(
        messages_per_s in 0_u32..40,
        bytes_per_s in 0_u32..4_000,
        steps in proptest::collection::vec(
            (prop_oneof![0_i64..20_000, 0_i64..3_000_000, -2_000_000_i64..0, Just(0_i64)], 1_u32..4, 0_u32..300),
            1..400,
        ),
    ) {
        let mut budget = ProbeBudget::open(messages_per_s, bytes_per_s);
        let mut clock = 0_i64;
        let mut latest = 0_u64;
        let mut granted: Vec<(u64, u64, u64)> = Vec::new();
        for (passed, messages, bytes) in steps {
            clock = (clock + passed).max(0);
            latest = latest.max(clock as u64);
            if budget.try_take(MicroTime(clock as u64), messages, bytes) {
                granted.push((latest, u64::from(messages), u64::from(bytes)));
            }
        }
        for (index, (start, _, _)) in granted.iter().enumerate() {
            let window = || granted[index..].iter().take_while(|(at, _, _)| at - start < SECOND);
            let messages: u64 = window().map(|(_, messages, _)| messages).sum();
            let bytes: u64 = window().map(|(_, _, bytes)| bytes).sum();
            prop_assert!(messages <= u64::from(messages_per_s), "{messages} messages in a second");
            prop_assert!(bytes <= u64::from(bytes_per_s), "{bytes} bytes in a second");
        }
    }

    #[test]
    fn retries_stay_a_share_of_successes(steps in proptest::collection::vec(any::<bool>(), 0..2_000)) {
        let mut budget = RetryBudget::open();
        let (mut successes, mut retries) = (0_u32, 0_u32);
        for success in steps {
            if success {
                successes += 1;
                budget.record_success();
            } else {
                retries += u32::from(budget.try_take());
            }
        }
        prop_assert!(f64::from(retries) <= 10.0 + 0.1 * f64::from(successes) + 1e-6);
    }

    /// Once a try may have run, the caller is never told that it did not.
    #[test]
    fn a_course_never_denies_a_try_that_may_have_run(
        repeatable: bool,
        ends in proptest::collection::vec((0_u8..4, any::<bool>()), 1..10),
    ) {
        let mut budget = RetryBudget::open();
        let mut call_attempts = CallAttempts::open(repeatable, MAX_ATTEMPTS);
        let mut lost = false;
        for (tries, (end, in_time)) in ends.into_iter().enumerate() {
            let end = [AttemptResult::Answered, AttemptResult::Refused, AttemptResult::Lost, AttemptResult::TakeOver][usize::from(end)];
            lost |= end == AttemptResult::Lost;
            let next = call_attempts.record(end, in_time, &mut budget);
            prop_assert!(!(lost && next == RetryDecision::ReportNotRun));
            prop_assert!(!(lost && !repeatable && next == RetryDecision::Retry));
            if next != RetryDecision::Retry {
                break;
            }
            prop_assert!(tries + 1 < MAX_ATTEMPTS as usize);
        }
    }

    /// The attempts of a call tree add up over its levels; they never multiply.
    #[test]
    fn attempts_of_a_deep_call_stay_bounded(
        depth in 1_usize..26,
        failing in proptest::collection::vec(any::<bool>(), 26),
        lost: bool,
    ) {
        let mut budgets = vec![RetryBudget::open(); depth];
        let mut attempts = 0;
        call_level(0, &failing, lost, &mut budgets, &mut attempts);
        // Only one level can be next to the failure; each other one tries once.
        prop_assert!(attempts < depth + MAX_ATTEMPTS as usize, "{attempts} at depth {depth}");
    }

    /// After the last heartbeat a target is ready for its lease and no longer.
    #[test]
    fn a_lease_ends_in_time(
        beats in proptest::collection::vec((0_u64..5_000_000, 0_u8..3), 1..50),
        drained: bool,
        probe in 0_u64..10_000_000,
    ) {
        let conditions = [TargetCondition::Warming, TargetCondition::Ready, TargetCondition::Draining];
        let mut lease = TargetLease::open(MicroTime(0), TargetCondition::Warming, TARGET_LEASE);
        lease.set_drained(drained);
        let (mut last, mut condition) = (MicroTime(0), TargetCondition::Warming);
        for (at, index) in beats {
            condition = conditions[usize::from(index)];
            lease.renew(MicroTime(at), condition);
            last = last.max(MicroTime(at));
        }
        let now = last + MicroTime(probe);
        let fresh = MicroTime(probe) < MicroTime::from(TARGET_LEASE);
        let expected = fresh && !drained && condition == TargetCondition::Ready;
        prop_assert_eq!(lease.is_ready(now), expected);
    }
}

/// Calls one level, which calls the next; returns whether it was answered.
///
/// A level that fails does so on every attempt. What lies above it gets an
/// answer from its target, which is final however bad it is.
fn call_level(
    level: usize,
    failing: &[bool],
    lost: bool,
    budgets: &mut [RetryBudget],
    attempts: &mut usize,
) {
    if level == budgets.len() {
        return;
    }
    let mut call_attempts = CallAttempts::open(true, MAX_ATTEMPTS);
    loop {
        *attempts += 1;
        let end = match (failing[level], lost) {
            (true, true) => AttemptResult::Lost,
            (true, false) => AttemptResult::Refused,
            (false, _) => {
                call_level(level + 1, failing, lost, budgets, attempts);
                AttemptResult::Answered
            }
        };
        if call_attempts.record(end, true, &mut budgets[level]) != RetryDecision::Retry {
            return;
        }
    }
}
