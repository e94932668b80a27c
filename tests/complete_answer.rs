//! A caller gets the complete answer to its own request or a visible error, also while
//! other calls are cancelled, a target cuts or overruns its body, or a guard crashes.

mod common;

use common::{FleetPlan, TestFleet, eventually};
use railspan_standins::Verdict;

#[test]
fn no_caller_gets_the_answer_to_another_call_while_calls_are_cancelled() {
    let fleet = TestFleet::spawn(FleetPlan { service: "grillas", ..FleetPlan::default() });
    let calls: Vec<_> = (0..300)
        .map(|number| {
            let size = [10, 5_000, 200_000][number % 3];
            let call = fleet.get_request(&format!("/item/{number}?size={size}"));
            (number, fleet.start_call(number % 3, call))
        })
        .collect();
    for (number, call) in calls {
        // Every fifth caller cancels its call.
        if number % 5 == 0 {
            call.abort();
            continue;
        }
        let report = fleet.join_call(call);
        assert!(
            matches!(report.verdict, Verdict::Complete | Verdict::NotRun),
            "call {number}: {report:?}"
        );
    }
    let report = fleet.call(0, &fleet.get_request("/after?size=1000"));
    assert_eq!(report.verdict, Verdict::Complete);
}

#[test]
fn a_body_that_the_target_cuts_off_is_a_visible_error() {
    let fleet =
        TestFleet::spawn(FleetPlan { hosts: 2, service: "grillas", ..FleetPlan::default() });
    for target in &fleet.targets {
        target.behave(|behaviour| behaviour.cut_after = Some(20_000));
    }
    for number in 0..10 {
        let report = fleet.call(0, &fleet.get_request(&format!("/cut/{number}?size=100000")));
        // Which of the two depends on how much the guard had sent before the cut.
        let is_visible_error = matches!(report.verdict, Verdict::Broken | Verdict::Unknown);
        assert!(is_visible_error, "{report:?}");
    }
    for target in &fleet.targets {
        target.behave(|behaviour| behaviour.cut_after = None);
    }
    eventually("answers are complete again", || {
        fleet.call(0, &fleet.get_request("/whole?size=100000")).verdict == Verdict::Complete
    });
}

#[test]
fn bytes_beyond_the_content_length_are_never_part_of_an_answer() {
    let fleet =
        TestFleet::spawn(FleetPlan { hosts: 1, service: "grillas", ..FleetPlan::default() });
    fleet.targets[0].behave(|behaviour| behaviour.extra_bytes = 50);
    for number in 0..20 {
        let report = fleet.call(0, &fleet.get_request(&format!("/extra/{number}?size=500")));
        assert_ne!(report.verdict, Verdict::Wrong, "{report:?}");
    }
    fleet.targets[0].behave(|behaviour| behaviour.extra_bytes = 0);
    for number in 0..20 {
        let report = fleet.call(0, &fleet.get_request(&format!("/clean/{number}?size=500")));
        assert_ne!(report.verdict, Verdict::Wrong, "{report:?}");
    }
}

#[test]
fn a_guard_killed_while_it_streams_leaves_no_answer_that_looks_complete() {
    let mut fleet =
        TestFleet::spawn(FleetPlan { hosts: 2, service: "grillas", ..FleetPlan::default() });
    // The guard of the second host is killed while answers are streamed.
    let calls: Vec<_> = (0..40)
        .map(|number| {
            fleet.start_call(0, fleet.get_request(&format!("/big/{number}?size=900000&us=30000")))
        })
        .collect();
    std::thread::sleep(std::time::Duration::from_millis(40));
    fleet.daemons[1].kill().expect("kill");
    for call in calls {
        let report = fleet.join_call(call);
        assert_ne!(report.verdict, Verdict::Wrong, "{report:?}");
    }
}
