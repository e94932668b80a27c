//! Budgets of probes and retries, and the lease of a target.
//!
//! Probes never exceed their budget, and the attempts of nested calls never multiply.

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

    /// The clock may run slowly, stand still, jump ahead or go back.
    #[test]
    fn no_second_exceeds_the_probe_budget(
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
        for (elapsed, messages, bytes) in steps {
            clock = (clock + elapsed).max(0);
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

    /// Retries are limited to a tenth of the successes, plus ten at once.
    #[test]
    fn retries_stay_a_fraction_of_the_successes(steps in proptest::collection::vec(any::<bool>(), 0..2_000)) {
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

    /// Once an attempt may have run, the caller is never told that the call did not run.
    #[test]
    fn a_call_that_may_have_run_is_never_reported_as_not_run(
        repeatable: bool,
        results in proptest::collection::vec((0_u8..4, any::<bool>()), 1..10),
    ) {
        let mut budget = RetryBudget::open();
        let mut call_attempts = CallAttempts::open(repeatable, MAX_ATTEMPTS);
        let mut lost = false;
        for (attempt, (result, in_time)) in results.into_iter().enumerate() {
            let result = [AttemptResult::Answered, AttemptResult::Refused, AttemptResult::Lost, AttemptResult::TakeOver][usize::from(result)];
            lost |= result == AttemptResult::Lost;
            let decision = call_attempts.record(result, in_time, &mut budget);
            prop_assert!(!(lost && decision == RetryDecision::ReportNotRun));
            prop_assert!(!(lost && !repeatable && decision == RetryDecision::Retry));
            if decision != RetryDecision::Retry {
                break;
            }
            prop_assert!(attempt + 1 < MAX_ATTEMPTS as usize);
        }
    }

    /// The attempts of nested calls add up over the levels; they never multiply.
    #[test]
    fn attempts_of_nested_calls_never_multiply(
        depth in 1_usize..26,
        failing in proptest::collection::vec(any::<bool>(), 26),
        lost: bool,
    ) {
        let mut budgets = vec![RetryBudget::open(); depth];
        let mut attempts = 0;
        call_level(0, &failing, lost, &mut budgets, &mut attempts);
        // Only the level next to the failure retries; each other level makes one attempt.
        prop_assert!(attempts < depth + MAX_ATTEMPTS as usize, "{attempts} attempts at depth {depth}");
    }

    /// After its last heartbeat a target is ready until its lease ends, and no longer.
    #[test]
    fn a_target_is_ready_until_its_lease_ends(
        heartbeats in proptest::collection::vec((0_u64..5_000_000, 0_u8..3), 1..50),
        drained: bool,
        since_heartbeat in 0_u64..10_000_000,
    ) {
        let conditions = [TargetCondition::Warming, TargetCondition::Ready, TargetCondition::Draining];
        let mut lease = TargetLease::open(MicroTime(0), TargetCondition::Warming, TARGET_LEASE);
        lease.set_drained(drained);
        let (mut last_heartbeat, mut condition) = (MicroTime(0), TargetCondition::Warming);
        for (at, index) in heartbeats {
            condition = conditions[usize::from(index)];
            lease.renew(MicroTime(at), condition);
            last_heartbeat = last_heartbeat.max(MicroTime(at));
        }
        let now = last_heartbeat + MicroTime(since_heartbeat);
        let lease_valid = MicroTime(since_heartbeat) < MicroTime::from(TARGET_LEASE);
        let expected = lease_valid && !drained && condition == TargetCondition::Ready;
        prop_assert_eq!(lease.is_ready(now), expected);
    }
}

/// Makes the call of one level, which calls the next one, and counts all attempts.
///
/// A failing level fails on every attempt. The levels above it get an answer from their target,
/// which is final even if it reports a failure.
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
        let result = match (failing[level], lost) {
            (true, true) => AttemptResult::Lost,
            (true, false) => AttemptResult::Refused,
            (false, _) => {
                call_level(level + 1, failing, lost, budgets, attempts);
                AttemptResult::Answered
            }
        };
        if call_attempts.record(result, true, &mut budgets[level]) != RetryDecision::Retry {
            return;
        }
    }
}
