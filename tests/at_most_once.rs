//! A call that was reported as not run never runs, and a call with an idempotency key
//! runs at most once: while entries, guards or the store fail between the claim of the
//! key, the run and the record of its answer.

mod common;

use std::time::Duration;

use common::{FleetPlan, OTHER_TOKEN, TestFleet, eventually};
use railspan_standins::Verdict;

/// Time that a target takes for a call during which a process fails, in microseconds.
const LONG_CALL_US: u64 = 400_000;

fn long_call_path(key: &str) -> String {
    format!("/long/{key}?size=100&us={LONG_CALL_US}")
}

#[test]
fn a_repeated_call_gets_the_recorded_answer() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    let call = fleet.post_request("k", "/bulletin?size=700");
    let first = fleet.call(0, &call);
    assert_eq!((first.verdict, first.recorded), (Verdict::Complete, false));
    for index in 0..3 {
        let repeat = fleet.call(index, &call);
        assert_eq!((repeat.verdict, repeat.recorded), (Verdict::Complete, true), "{repeat:?}");
    }
    assert_eq!(fleet.runs("k").len(), 1);
}

#[test]
fn a_repeat_is_refused_where_the_answer_was_too_long_to_record() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    let call = fleet.post_request("k", "/bulletin?size=50000");
    assert_eq!(fleet.call(0, &call).verdict, Verdict::Complete);
    eventually("the outcome is recorded", || {
        let repeat = fleet.call(1, &call);
        // An empty body would be taken for the complete answer.
        assert_ne!(repeat.verdict, Verdict::Wrong, "{repeat:?}");
        repeat.status == 409 && repeat.reason == "body_not_recorded"
    });
    assert_eq!(fleet.runs("k").len(), 1);
}

#[test]
fn an_idempotency_key_belongs_to_one_account_and_one_request() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    let call = fleet.post_request("k", "/bulletin?size=700");
    assert_eq!(fleet.call(0, &call).verdict, Verdict::Complete);
    // The same key of another account is another call, which doesn't get the record.
    let mut other_account = call.clone();
    OTHER_TOKEN.clone_into(&mut other_account.token);
    let report = fleet.call(1, &other_account);
    assert_eq!((report.verdict, report.recorded), (Verdict::Complete, false));
    // The same account can't use the key for another request.
    let mut changed = call;
    changed.body = b"something else".to_vec();
    let report = fleet.call(1, &changed);
    assert_eq!((report.status, report.verdict), (422, Verdict::NotRun));
    assert_eq!(fleet.runs("k").len(), 2);
}

#[test]
fn a_post_without_a_valid_idempotency_key_is_refused() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 1, ..FleetPlan::default() });
    let mut call = fleet.post_request("k", "/bulletin?size=10");
    call.key = None;
    let report = fleet.call(0, &call);
    assert_eq!((report.status, report.verdict), (400, Verdict::NotRun));
    call.key = Some("x".repeat(201));
    assert_eq!(fleet.call(0, &call).status, 400);
    assert!(fleet.targets[0].runs().iter().all(|run| run.key.is_none()));
}

#[test]
fn a_repeat_after_a_crash_of_the_entry_gets_the_recorded_answer() {
    let mut fleet = TestFleet::spawn(FleetPlan::default());
    for round in 0..3 {
        let key = format!("k{round}");
        let call = fleet.post_request(&key, &long_call_path(&key));
        let first = fleet.start_call(0, call.clone());
        eventually("the call runs", || fleet.target_that_ran(&key).is_some());
        if fleet.target_that_ran(&key) == Some(0) {
            // The guard of the same daemon ran it and would crash with the entry.
            assert_eq!(fleet.join_call(first).verdict, Verdict::Complete);
            continue;
        }
        fleet.daemons[0].kill().expect("kill");
        assert_eq!(fleet.join_call(first).verdict, Verdict::Broken);
        let repeat = fleet.repeat_until_final(1, &call);
        assert_eq!((repeat.verdict, repeat.recorded), (Verdict::Complete, true), "{repeat:?}");
        assert_eq!(fleet.runs(&key).len(), 1);
        return;
    }
}

#[test]
fn a_repeat_after_a_crash_of_the_guard_does_not_run_again() {
    let mut fleet = TestFleet::spawn(FleetPlan::default());
    let call = fleet.post_request("k", &long_call_path("k"));
    let first = fleet.start_call(0, call.clone());
    eventually("the call runs", || fleet.target_that_ran("k").is_some());
    let guard = fleet.target_that_ran("k").expect("ran");
    fleet.daemons[guard].kill().expect("kill");
    let report = fleet.join_call(first);
    assert_ne!(report.verdict, Verdict::NotRun, "{report:?}");
    let other = (guard + 1) % 3;
    let mut repeat = call;
    repeat.deadline_ms = 2_000;
    let report = fleet.call(other, &repeat);
    assert_eq!(report.verdict, Verdict::Unknown, "{report:?}");
    assert_eq!(fleet.runs("k").len(), 1);
}

#[test]
fn concurrent_calls_with_one_key_through_several_entries_run_once() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    for round in 0..20 {
        let key = format!("k{round}");
        let call = fleet.post_request(&key, &format!("/race/{round}?size=100&us=20000"));
        let calls: Vec<_> = (0..6).map(|n| fleet.start_call(n % 3, call.clone())).collect();
        for call in calls {
            let report = fleet.join_call(call);
            assert!(
                matches!(report.verdict, Verdict::Complete | Verdict::Unknown | Verdict::NotRun),
                "{report:?}"
            );
        }
        let report = fleet.repeat_until_final(round % 3, &call);
        assert_eq!(report.verdict, Verdict::Complete, "{report:?}");
        assert_eq!(fleet.runs(&key).len(), 1, "round {round}");
    }
}

#[test]
fn while_the_store_is_down_posts_do_not_run_and_reads_are_served() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    fleet.set_faults(|faults| faults.down = true);
    for number in 0..5 {
        let key = format!("k{number}");
        let report = fleet.call(number % 3, &fleet.post_request(&key, "/bulletin?size=100"));
        assert_eq!(report.verdict, Verdict::NotRun, "{report:?}");
        assert!(report.retry_after_ms.is_some());
        assert!(fleet.runs(&key).is_empty());
        assert_eq!(fleet.call(0, &fleet.get_request("/r?size=9")).verdict, Verdict::Complete);
    }
    fleet.set_faults(|_| {});
    for number in 0..5 {
        let key = format!("k{number}");
        let call = fleet.post_request(&key, "/bulletin?size=100");
        assert_eq!(fleet.repeat_until_final(0, &call).verdict, Verdict::Complete);
        assert_eq!(fleet.runs(&key).len(), 1);
    }
}

#[test]
fn a_slow_store_neither_loses_nor_duplicates_a_call() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    fleet.set_faults(|faults| faults.slow_ms = 1_000);
    let call = fleet.post_request("k", "/bulletin?size=100");
    let report = fleet.call(0, &call);
    assert_eq!(report.verdict, Verdict::NotRun, "{report:?}");
    assert!(fleet.runs("k").is_empty());
    fleet.set_faults(|_| {});
    assert_eq!(fleet.repeat_until_final(1, &call).verdict, Verdict::Complete);
    assert_eq!(fleet.runs("k").len(), 1);
}

#[test]
fn a_claim_whose_answer_from_the_store_is_lost_runs_once() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    for round in 0..6 {
        let key = format!("k{round}");
        fleet.set_faults(|faults| faults.unanswered_writes = 1);
        let call = fleet.post_request(&key, "/bulletin?size=100");
        let report = fleet.repeat_until_final(round % 3, &call);
        assert_eq!(report.verdict, Verdict::Complete, "{report:?}");
        assert_eq!(fleet.runs(&key).len(), 1);
    }
}

#[test]
fn a_resumed_guard_does_not_run_calls_reported_as_not_run() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 2, slots: 1, ..FleetPlan::default() });
    // One long call occupies each target, so that the next calls wait in the guards.
    let busy: Vec<_> = (0..2)
        .map(|n| fleet.start_call(0, fleet.get_request(&format!("/busy/{n}?size=10&us=1500000"))))
        .collect();
    std::thread::sleep(Duration::from_millis(100));
    let calls: Vec<_> = (0..4)
        .map(|number| {
            let mut call = fleet.post_request(&format!("k{number}"), "/bulletin?size=100");
            call.deadline_ms = 900;
            (number, fleet.start_call(0, call))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(100));
    fleet.daemons[1].freeze().expect("freeze");
    let reports: Vec<_> =
        calls.into_iter().map(|(number, call)| (number, fleet.join_call(call))).collect();
    fleet.daemons[1].thaw().expect("thaw");
    for call in busy {
        fleet.join_call(call);
    }
    std::thread::sleep(Duration::from_millis(500));
    for (number, report) in reports {
        let runs = fleet.runs(&format!("k{number}")).len();
        if report.verdict == Verdict::NotRun {
            assert_eq!(runs, 0, "call {number} ran in spite of its report: {report:?}");
        }
        assert!(runs <= 1);
    }
}

#[test]
fn a_suspended_claim_holder_keeps_its_claim() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    let mut call = fleet.post_request("k", &long_call_path("k"));
    call.deadline_ms = 1_000;
    let first = fleet.start_call(0, call.clone());
    eventually("the call runs", || fleet.target_that_ran("k").is_some());
    let guard = fleet.target_that_ran("k").expect("ran");
    fleet.daemons[guard].freeze().expect("freeze");
    let other = (guard + 1) % 3;
    // The others consider the suspended daemon dead before it is resumed.
    for _ in 0..5 {
        let report = fleet.call(other, &call);
        assert_eq!(report.verdict, Verdict::Unknown, "{report:?}");
        std::thread::sleep(Duration::from_secs(1));
    }
    fleet.daemons[guard].thaw().expect("thaw");
    drop(first);
    let report = fleet.repeat_until_final(other, &call);
    assert_eq!((report.verdict, report.recorded), (Verdict::Complete, true), "{report:?}");
    assert_eq!(fleet.runs("k").len(), 1);
}

#[test]
fn calls_meant_for_a_former_incarnation_of_a_daemon_run_at_most_once() {
    let mut fleet = TestFleet::spawn(FleetPlan { hosts: 2, ..FleetPlan::default() });
    fleet.daemons[1].kill().expect("kill");
    // The daemon comes back as a new incarnation, at other addresses.
    fleet.daemons[1] = fleet.start_daemon(1, &[]);
    for number in 0..10 {
        let key = format!("k{number}");
        let call = fleet.post_request(&key, "/bulletin?size=100");
        let report = fleet.repeat_until_final(0, &call);
        assert!(matches!(report.verdict, Verdict::Complete | Verdict::Unknown), "{report:?}");
        assert!(fleet.runs(&key).len() <= 1);
    }
}
