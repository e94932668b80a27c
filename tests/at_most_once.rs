//! Promises: not run means not run; what must not repeat runs at most once.

mod common;

use std::time::Duration;

use common::{FleetPlan, OTHER_TOKEN, TestFleet, eventually};
use railspan_standins::Verdict;

/// Time of a call that something is to happen to, in microseconds.
const LONG_US: u64 = 400_000;

fn long(key: &str) -> String {
    format!("/long/{key}?size=100&us={LONG_US}")
}

#[test]
fn a_repeat_gets_the_recorded_answer() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    let call = fleet.post("k", "/bulletin?size=700");
    let first = fleet.call(0, &call);
    assert_eq!((first.verdict, first.recorded), (Verdict::Complete, false));
    for index in 0..3 {
        let repeat = fleet.call(index, &call);
        assert_eq!((repeat.verdict, repeat.recorded), (Verdict::Complete, true), "{repeat:?}");
    }
    assert_eq!(fleet.runs("k").len(), 1);
}

#[test]
fn a_body_too_long_to_record_is_never_replaced_by_an_empty_one() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    let call = fleet.post("k", "/bulletin?size=50000");
    assert_eq!(fleet.call(0, &call).verdict, Verdict::Complete);
    eventually("the outcome is recorded", || {
        let repeat = fleet.call(1, &call);
        assert_ne!(repeat.verdict, Verdict::Wrong, "{repeat:?}");
        repeat.status == 409 && repeat.reason == "body_not_recorded"
    });
    assert_eq!(fleet.runs("k").len(), 1);
}

#[test]
fn a_key_is_of_one_account_and_one_request() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    let call = fleet.post("k", "/bulletin?size=700");
    assert_eq!(fleet.call(0, &call).verdict, Verdict::Complete);
    // Another account with the same key runs its own call and sees nothing.
    let mut foreign = call.clone();
    OTHER_TOKEN.clone_into(&mut foreign.token);
    let report = fleet.call(1, &foreign);
    assert_eq!((report.verdict, report.recorded), (Verdict::Complete, false));
    // The same account with another request is told so.
    let mut changed = call;
    changed.body = b"something else".to_vec();
    let report = fleet.call(1, &changed);
    assert_eq!((report.status, report.verdict), (422, Verdict::NotRun));
    assert_eq!(fleet.runs("k").len(), 2);
}

#[test]
fn what_must_not_repeat_needs_a_key() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 1, ..FleetPlan::default() });
    let mut call = fleet.post("k", "/bulletin?size=10");
    call.key = None;
    let report = fleet.call(0, &call);
    assert_eq!((report.status, report.verdict), (400, Verdict::NotRun));
    call.key = Some("x".repeat(201));
    assert_eq!(fleet.call(0, &call).status, 400);
    assert!(fleet.targets[0].runs().iter().all(|run| run.key.is_none()));
}

#[test]
fn a_repeat_after_the_entry_died_gets_the_outcome() {
    let mut fleet = TestFleet::spawn(FleetPlan::default());
    for round in 0..3 {
        let key = format!("k{round}");
        let call = fleet.post(&key, &long(&key));
        let first = fleet.start(0, call.clone());
        eventually("the call runs", || fleet.ran_on(&key).is_some());
        if fleet.ran_on(&key) == Some(0) {
            // Its own guard ran it: the entry's death is the guard's too.
            assert_eq!(fleet.join(first).verdict, Verdict::Complete);
            continue;
        }
        fleet.daemons[0].kill().expect("kill");
        assert_eq!(fleet.join(first).verdict, Verdict::Broken);
        let repeat = fleet.repeat_until_final(1, &call);
        assert_eq!((repeat.verdict, repeat.recorded), (Verdict::Complete, true), "{repeat:?}");
        assert_eq!(fleet.runs(&key).len(), 1);
        return;
    }
}

#[test]
fn a_repeat_after_the_guard_died_never_runs_twice() {
    let mut fleet = TestFleet::spawn(FleetPlan::default());
    let call = fleet.post("k", &long("k"));
    let first = fleet.start(0, call.clone());
    eventually("the call runs", || fleet.ran_on("k").is_some());
    let guard = fleet.ran_on("k").expect("ran");
    fleet.daemons[guard].kill().expect("kill");
    let report = fleet.join(first);
    assert_ne!(report.verdict, Verdict::NotRun, "{report:?}");
    let other = (guard + 1) % 3;
    let mut repeat = call;
    repeat.deadline_ms = 2_000;
    let report = fleet.call(other, &repeat);
    assert_eq!(report.verdict, Verdict::Unknown, "{report:?}");
    assert_eq!(fleet.runs("k").len(), 1);
}

#[test]
fn two_entries_with_one_key_run_it_once() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    for round in 0..20 {
        let key = format!("k{round}");
        let call = fleet.post(&key, &format!("/race/{round}?size=100&us=20000"));
        let calls: Vec<_> = (0..6).map(|n| fleet.start(n % 3, call.clone())).collect();
        for call in calls {
            let report = fleet.join(call);
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
fn while_the_table_is_down_nothing_runs_and_reads_go_on() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    fleet.faults(|faults| faults.down = true);
    for number in 0..5 {
        let key = format!("k{number}");
        let report = fleet.call(number % 3, &fleet.post(&key, "/bulletin?size=100"));
        assert_eq!(report.verdict, Verdict::NotRun, "{report:?}");
        assert!(report.retry_after_ms.is_some());
        assert!(fleet.runs(&key).is_empty());
        assert_eq!(fleet.call(0, &fleet.read("/r?size=9")).verdict, Verdict::Complete);
    }
    fleet.faults(|_| {});
    for number in 0..5 {
        let key = format!("k{number}");
        let call = fleet.post(&key, "/bulletin?size=100");
        assert_eq!(fleet.repeat_until_final(0, &call).verdict, Verdict::Complete);
        assert_eq!(fleet.runs(&key).len(), 1);
    }
}

#[test]
fn a_slow_table_loses_and_doubles_nothing() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    fleet.faults(|faults| faults.slow_ms = 1_000);
    let call = fleet.post("k", "/bulletin?size=100");
    let report = fleet.call(0, &call);
    assert_eq!(report.verdict, Verdict::NotRun, "{report:?}");
    assert!(fleet.runs("k").is_empty());
    fleet.faults(|_| {});
    assert_eq!(fleet.repeat_until_final(1, &call).verdict, Verdict::Complete);
    assert_eq!(fleet.runs("k").len(), 1);
}

#[test]
fn a_claim_whose_answer_is_lost_is_settled() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    for round in 0..6 {
        let key = format!("k{round}");
        fleet.faults(|faults| faults.unanswered_writes = 1);
        let call = fleet.post(&key, "/bulletin?size=100");
        let report = fleet.repeat_until_final(round % 3, &call);
        assert_eq!(report.verdict, Verdict::Complete, "{report:?}");
        assert_eq!(fleet.runs(&key).len(), 1);
    }
}

#[test]
fn a_frozen_guard_that_wakes_does_not_run_what_was_told_not_run() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 2, slots: 1, ..FleetPlan::default() });
    // One long call in each target, so that the next ones wait in the guards.
    let busy: Vec<_> = (0..2)
        .map(|n| fleet.start(0, fleet.read(&format!("/busy/{n}?size=10&us=1500000"))))
        .collect();
    std::thread::sleep(Duration::from_millis(100));
    let calls: Vec<_> = (0..4)
        .map(|number| {
            let mut call = fleet.post(&format!("k{number}"), "/bulletin?size=100");
            call.deadline_ms = 900;
            (number, fleet.start(0, call))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(100));
    fleet.daemons[1].freeze().expect("freeze");
    let reports: Vec<_> =
        calls.into_iter().map(|(number, call)| (number, fleet.join(call))).collect();
    fleet.daemons[1].thaw().expect("thaw");
    for call in busy {
        fleet.join(call);
    }
    std::thread::sleep(Duration::from_millis(500));
    for (number, report) in reports {
        let runs = fleet.runs(&format!("k{number}")).len();
        if report.verdict == Verdict::NotRun {
            assert_eq!(runs, 0, "call {number} ran although: {report:?}");
        }
        assert!(runs <= 1);
    }
}

#[test]
fn a_holder_frozen_long_after_its_claim_stays_the_only_one() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    let mut call = fleet.post("k", &long("k"));
    call.deadline_ms = 1_000;
    let first = fleet.start(0, call.clone());
    eventually("the call runs", || fleet.ran_on("k").is_some());
    let guard = fleet.ran_on("k").expect("ran");
    fleet.daemons[guard].freeze().expect("freeze");
    let other = (guard + 1) % 3;
    // Everybody else takes the frozen one for dead before it wakes.
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
fn a_restarted_daemon_refuses_what_was_meant_for_its_former_life() {
    let mut fleet = TestFleet::spawn(FleetPlan { hosts: 2, ..FleetPlan::default() });
    fleet.daemons[1].kill().expect("kill");
    // The new life has a new incarnation; its target announces itself again.
    fleet.daemons[1] = fleet.start_daemon(1, &[]);
    for number in 0..10 {
        let key = format!("k{number}");
        let call = fleet.post(&key, "/bulletin?size=100");
        let report = fleet.repeat_until_final(0, &call);
        assert!(matches!(report.verdict, Verdict::Complete | Verdict::Unknown), "{report:?}");
        assert!(fleet.runs(&key).len() <= 1);
    }
}
