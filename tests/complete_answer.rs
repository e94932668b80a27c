//! Promise: the complete answer to one's own request, or a visible error.

mod common;

use common::{FleetPlan, TestFleet, eventually};
use railspan_standins::Verdict;

#[test]
fn answers_never_cross_while_others_are_cancelled() {
    let fleet = TestFleet::spawn(FleetPlan { service: "grillas", ..FleetPlan::default() });
    let calls: Vec<_> = (0..300)
        .map(|number| {
            let size = [10, 5_000, 200_000][number % 3];
            let call = fleet.read(&format!("/item/{number}?size={size}"));
            (number, fleet.start(number % 3, call))
        })
        .collect();
    for (number, call) in calls {
        // Every fifth caller goes away in the middle.
        if number % 5 == 0 {
            call.abort();
            continue;
        }
        let report = fleet.join(call);
        assert!(
            matches!(report.verdict, Verdict::Complete | Verdict::NotRun),
            "call {number}: {report:?}"
        );
    }
    let report = fleet.call(0, &fleet.read("/after?size=1000"));
    assert_eq!(report.verdict, Verdict::Complete);
}

#[test]
fn a_body_cut_by_the_target_is_visibly_broken() {
    let fleet =
        TestFleet::spawn(FleetPlan { hosts: 2, service: "grillas", ..FleetPlan::default() });
    for target in &fleet.targets {
        target.behave(|behaviour| behaviour.cut_after = Some(20_000));
    }
    for number in 0..10 {
        let report = fleet.call(0, &fleet.read(&format!("/cut/{number}?size=100000")));
        // Which of the two depends on how much left the guard before the cut.
        let visible = matches!(report.verdict, Verdict::Broken | Verdict::Unknown);
        assert!(visible, "{report:?}");
    }
    for target in &fleet.targets {
        target.behave(|behaviour| behaviour.cut_after = None);
    }
    eventually("whole answers again", || {
        fleet.call(0, &fleet.read("/whole?size=100000")).verdict == Verdict::Complete
    });
}

#[test]
fn bytes_beyond_the_length_are_never_part_of_an_answer() {
    let fleet =
        TestFleet::spawn(FleetPlan { hosts: 1, service: "grillas", ..FleetPlan::default() });
    fleet.targets[0].behave(|behaviour| behaviour.extra_bytes = 50);
    for number in 0..20 {
        let report = fleet.call(0, &fleet.read(&format!("/extra/{number}?size=500")));
        assert_ne!(report.verdict, Verdict::Wrong, "{report:?}");
    }
    fleet.targets[0].behave(|behaviour| behaviour.extra_bytes = 0);
    for number in 0..20 {
        let report = fleet.call(0, &fleet.read(&format!("/clean/{number}?size=500")));
        assert_ne!(report.verdict, Verdict::Wrong, "{report:?}");
    }
}

#[test]
fn a_guard_killed_in_the_middle_of_a_body_breaks_the_answer() {
    let mut fleet =
        TestFleet::spawn(FleetPlan { hosts: 2, service: "grillas", ..FleetPlan::default() });
    // The answers stream while the guard of the second host dies.
    let calls: Vec<_> = (0..40)
        .map(|number| fleet.start(0, fleet.read(&format!("/big/{number}?size=900000&us=30000"))))
        .collect();
    std::thread::sleep(std::time::Duration::from_millis(40));
    fleet.daemons[1].kill().expect("kill");
    for call in calls {
        let report = fleet.join(call);
        assert_ne!(report.verdict, Verdict::Wrong, "{report:?}");
    }
}
