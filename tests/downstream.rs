//! Throttling of starts whose downstream calls are not answered, in virtual time.

#[path = "common/call_graph.rs"]
mod call_graph;
#[path = "common/seeded.rs"]
mod seeded;

use call_graph::{CallGraph, ServiceOutcome, ServicePlan};
use proptest::prelude::*;
use railspan::{
    AttemptResult, CallAttempts, CallPriority, DownstreamThrottle, MicroTime, RetryBudget,
    RetryDecision, ServiceName, StartDecision,
};
use seeded::seeded;

const SECOND: u64 = 1_000_000;

const URGENT: CallPriority = CallPriority { urgent: true, worth: 9 };
const ROUTINE: CallPriority = CallPriority { urgent: false, worth: 1 };

/// The chained services of docs/design/hard-load.md, from the least urgent outer calls inwards, with
/// `per_s` calls a second from callers, of which the share `calling` makes calls at each service.
fn chain(calling: f64, per_s: f64) -> Vec<ServicePlan> {
    let plan = |targets, work_us, calls: Option<(usize, u32)>, part, worth| ServicePlan {
        targets,
        slots: 4,
        work_us,
        nested_work_us: 29_000,
        calls: calls.map(|(callee, count)| (callee, count, calling)),
        concurrent: work_us == 130_000,
        per_s: per_s * part,
        worth,
    };
    vec![
        plan(33, 94_000, Some((1, 1)), 0.51, 1),
        plan(24, 130_000, Some((2, 2)), 0.31, 2),
        plan(8, 120_000, Some((3, 2)), 0.06, 2),
        plan(4, 39_000, None, 0.12, 2),
    ]
}

/// Plays half a minute in which work takes five times as long during a quarter of the time, and
/// returns what callers got of all services together.
fn play(plans: &[ServicePlan], throttles: bool) -> ServiceOutcome {
    let mut total = ServiceOutcome::default();
    for seed in 1..4 {
        let mut graph = CallGraph::open(plans, throttles, seed);
        graph.slowness = |service, target, now| {
            let period = (now / 150_000) as usize;
            let hash = (period * 31 + service * 7 + target).wrapping_mul(0x9e37_79b9) >> 16;
            if hash.is_multiple_of(4) { 5 } else { 1 }
        };
        graph.run_until(30 * SECOND);
        for outcome in &graph.outcomes {
            total.offered += outcome.offered;
            total.served += outcome.served;
            total.failed += outcome.failed;
            total.throttled += outcome.throttled;
        }
    }
    total
}

/// Guards against a throttle that costs answers where runs need their calls.
#[test]
fn callers_of_chained_services_get_more_answers_with_the_throttle() {
    for per_s in [150.0, 250.0, 500.0] {
        let plans = chain(1.0, per_s);
        let (without, with) = (play(&plans, false), play(&plans, true));
        assert!(with.served > without.served, "{without:?} {with:?}");
        assert!(with.failed < without.failed, "{without:?} {with:?}");
    }
}

/// Guards against answers lost where three in ten runs need no call and most runs succeed: those
/// that need none can't be told apart beforehand and would be refused in vain.
#[test]
fn callers_keep_their_answers_where_most_runs_succeed() {
    for per_s in [250.0, 360.0, 430.0] {
        let plans = chain(0.7, per_s);
        let (without, with) = (play(&plans, false), play(&plans, true));
        let answers_kept = f64::from(with.served) / f64::from(without.served);
        assert!(answers_kept > 0.98, "{answers_kept} of the answers: {without:?} {with:?}");
    }
}

/// Guards against refusals that go on after the downstream service has room again, and against a
/// throttle that lets all runs fail while it has none.
#[test]
fn starts_stop_while_the_downstream_service_hangs_and_go_on_after_it() {
    let caller = ServicePlan {
        targets: 4,
        slots: 8,
        work_us: 40_000,
        nested_work_us: 20_000,
        calls: Some((1, 1, 1.0)),
        concurrent: false,
        per_s: 100.0,
        worth: 1,
    };
    let hanging = ServicePlan { targets: 2, slots: 4, calls: None, per_s: 0.0, ..caller.clone() };
    let mut graph = CallGraph::open(&[caller, hanging], true, 3);
    graph.slowness =
        |service, _, now| if service == 1 && (5..10).contains(&(now / SECOND)) { 40 } else { 1 };
    graph.run_until(20 * SECOND);
    for sample in &graph.shares[0] {
        match sample.at / 100_000 {
            0..50 | 120.. => assert!(sample.share <= 0.0, "{sample:?}"),
            70..100 => assert!(sample.share > 0.9, "{sample:?}"),
            _ => {}
        }
    }
}

/// A target whose runs each take 10 ms and make one call, requested every 20 ms.
struct SteadyTarget {
    throttle: DownstreamThrottle,
    now: u64,
    /// Whether all runs fail, also those whose call is answered.
    runs_fail: bool,
}

impl SteadyTarget {
    fn open() -> Self {
        Self { throttle: DownstreamThrottle::default(), now: 0, runs_fail: false }
    }

    /// Requests a start and, if it is permitted, runs it; its call goes to `service`, if any.
    fn request(
        &mut self,
        route: &str,
        priority: CallPriority,
        service: Option<(&str, bool)>,
    ) -> StartDecision {
        self.now += 10_000;
        let decision = self.throttle.request_start(MicroTime(self.now), route, priority, false);
        let permitted = decision == StartDecision::Permit;
        if permitted {
            self.throttle.begin_run(MicroTime(self.now), route);
        }
        self.now += 10_000;
        if permitted {
            if let Some((service, answered)) = service {
                let service = ServiceName::from(service);
                self.throttle.record_call(MicroTime(self.now), &service, answered);
            }
            let failed = self.runs_fail || service.is_some_and(|(_, answered)| !answered);
            self.throttle.end_run(MicroTime(self.now), route, Some(failed));
        }
        decision
    }

    /// Requests starts for some seconds; returns the number of refused ones.
    fn count_refused(&mut self, seconds: u64, route: &str, service: (&str, bool)) -> usize {
        (0..seconds * 50)
            .filter(|_| self.request(route, ROUTINE, Some(service)) != StartDecision::Permit)
            .count()
    }
}

#[test]
fn nothing_is_refused_where_calls_are_answered_or_none_are_made() {
    let mut target = SteadyTarget::open();
    for _ in 0..500 {
        assert_eq!(
            target.request("order", ROUTINE, Some(("ledgers", true))),
            StartDecision::Permit
        );
        assert_eq!(target.request("view", ROUTINE, None), StartDecision::Permit);
    }
}

/// Guards against refusals of a route that never runs while calls end.
#[test]
fn a_route_without_calls_is_not_refused_beside_one_whose_calls_fail() {
    let mut target = SteadyTarget::open();
    let mut refused = 0;
    for _ in 0..500 {
        let order = target.request("order", ROUTINE, Some(("ledgers", false)));
        refused += u32::from(order != StartDecision::Permit);
        assert_eq!(target.request("view", ROUTINE, None), StartDecision::Permit);
    }
    assert!(refused > 400, "{refused} refused");
}

/// Guards against refusals where runs get by without the answers to their calls.
#[test]
fn runs_that_succeed_without_their_calls_are_not_refused() {
    let mut throttle = DownstreamThrottle::default();
    for round in 0..1_000 {
        let now = MicroTime::from_millis(round * 20);
        let decision = throttle.request_start(now, "order", ROUTINE, false);
        assert_eq!(decision, StartDecision::Permit);
        throttle.begin_run(now, "order");
        throttle.record_call(now, &"ledgers".into(), false);
        throttle.end_run(now, "order", Some(false));
    }
}

#[test]
fn a_target_that_calls_another_service_starts_again() {
    let mut target = SteadyTarget::open();
    assert_eq!(target.count_refused(5, "order", ("ledgers", true)), 0);
    assert!(target.count_refused(3, "order", ("ledgers", false)) > 50);
    target.count_refused(2, "order", ("pools", true));
    assert_eq!(target.count_refused(3, "order", ("pools", true)), 0);
    // And it learns a service that it did not call before.
    target.count_refused(2, "order", ("pools", false));
    assert!(target.count_refused(1, "order", ("pools", false)) > 40);
}

#[test]
fn the_least_urgent_starts_are_refused_first() {
    let mut target = SteadyTarget { runs_fail: true, ..SteadyTarget::open() };
    let mut refused = [0, 0];
    for round in 0..1_000 {
        for (index, priority) in [ROUTINE, URGENT].into_iter().enumerate() {
            // Three of four calls are answered.
            let answered = round % 4 > 0;
            let decision = target.request("order", priority, Some(("ledgers", answered)));
            refused[index] += u32::from(decision != StartDecision::Permit);
        }
    }
    assert!(refused[0] > 100 && refused[1] == 0, "{refused:?} refused");
}

/// Guards against a log line for each refusal, and against changes that are not logged.
#[test]
fn a_considerable_change_of_the_share_is_reported_once() {
    let mut target = SteadyTarget::open();
    let mut changes = Vec::new();
    for (seconds, answered) in [(2, true), (10, false), (5, true)] {
        for _ in 0..seconds * 50 {
            target.request("order", ROUTINE, Some(("ledgers", answered)));
            changes.extend(target.throttle.take_changes(MicroTime(target.now)));
        }
    }
    assert!((2..10).contains(&changes.len()), "{changes:?}");
    assert!(changes.iter().any(|change| change.share > 0.8), "{changes:?}");
    assert!(changes.last().is_some_and(|change| change.share <= 0.0), "{changes:?}");
}

/// Guards against refused callers that all return at once.
#[test]
fn refused_callers_get_different_retry_delays() {
    let mut target = SteadyTarget::open();
    target.count_refused(3, "order", ("ledgers", false));
    let now = MicroTime(target.now);
    let delay = |decision| match decision {
        StartDecision::Refuse { retry_after } => Some(retry_after),
        StartDecision::Permit => None,
    };
    let delays: Vec<MicroTime> = (0..4)
        .filter_map(|_| delay(target.throttle.request_start(now, "order", ROUTINE, false)))
        .collect();
    assert!(delays.len() >= 3, "{delays:?}");
    assert!(delays.windows(2).all(|pair| pair[0] != pair[1]), "{delays:?}");
    assert!(delays.iter().all(|delay| *delay <= MicroTime(2 * SECOND)), "{delays:?}");
}

/// Guards against calls that ask target after target of a service whose targets all call the
/// same full service.
#[test]
fn a_call_refused_downstream_tries_one_more_target_and_was_not_run() {
    for second in [AttemptResult::Downstream, AttemptResult::Refused] {
        let mut budget = RetryBudget::open();
        let mut attempts = CallAttempts::open(true, 3);
        let first = attempts.record(AttemptResult::Downstream, true, &mut budget);
        assert_eq!(first, RetryDecision::Retry);
        assert!(attempts.is_last_attempt());
        assert_eq!(attempts.record(second, true, &mut budget), RetryDecision::ReportNotRun);
    }
}

/// Services that call each other at random, also in cycles.
fn random_graph() -> impl Strategy<Value = Vec<ServicePlan>> {
    let plan = (1..4_usize, 1..8_usize, 2_000..30_000_u64, 0..5_usize, 1..3_u32, 0.0..1.0)
        .prop_flat_map(|plan| (Just(plan), any::<bool>(), 0.0..300.0));
    proptest::collection::vec(plan, 2..6).prop_map(|plans| {
        let count = plans.len();
        let plan = |((targets, slots, work_us, callee, calls, share), concurrent, per_s)| {
            // Fewer than one call per run, so that cycles don't multiply calls by themselves.
            let share = f64::min(share, 0.9 / f64::from(calls));
            ServicePlan {
                targets,
                slots,
                work_us,
                nested_work_us: work_us / 2,
                calls: Some((callee % count, calls, share)),
                concurrent,
                per_s,
                worth: 1,
            }
        };
        plans.into_iter().map(plan).collect()
    })
}

proptest! {
    #![proptest_config(seeded(60))]

    /// Starts never stop for good, and none is refused where all calls were answered: the model
    /// checks that at each decision. The refused share has a cause, and doesn't oscillate between
    /// none and nearly all.
    #[test]
    fn throttles_of_services_in_any_call_graph_neither_block_nor_amplify(
        plans in random_graph(),
        seed: u64,
    ) {
        let mut graph = CallGraph::open(&plans, true, seed);
        graph.run_until(10 * SECOND);
        for samples in &graph.shares {
            for target in 0..3 {
                let mut closed = false;
                let mut openings = 0;
                for sample in samples.iter().filter(|sample| sample.target == target) {
                    let has_cause = sample.quiet_us < 3 * SECOND;
                    prop_assert!(sample.share <= 0.0 || has_cause, "{:?}", sample);
                    closed |= sample.share > 0.9;
                    if closed && sample.share <= 0.0 {
                        closed = false;
                        openings += 1;
                    }
                }
                prop_assert!(openings <= 3, "{} openings in 10 s", openings);
            }
        }
    }
}
