//! A target that drains, lapses or isn't ready gets no new calls, and the planned stop of a
//! daemon interrupts no call within its bound.

mod common;

use std::time::Duration;

use common::{FleetPlan, TestFleet, WAIT_TIMEOUT, eventually};
use railspan_standins::{Verdict, fetch};
use test_case::test_case;

/// Longest time for which a target may get new calls after it stopped being ready: the sum
/// of its lease of 3 s, the guard's tick, and the heartbeat interval of the stand-in.
const REMOVAL_BOUND: Duration = Duration::from_secs(4);

/// Makes 60 calls through all entries and returns whether a target ran any of them.
fn gets_calls(fleet: &TestFleet, target: usize) -> bool {
    let before = fleet.targets[target].runs().len();
    let calls: Vec<_> = (0..60)
        .map(|number| {
            fleet.start_call(number % fleet.daemons.len(), fleet.get_request("/w?size=10&us=5000"))
        })
        .collect();
    for call in calls {
        fleet.join_call(call);
    }
    fleet.targets[target].runs().len() > before
}

#[test]
fn a_target_drained_by_an_operator_gets_no_new_calls() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    assert!(gets_calls(&fleet, 1));
    let running = fleet.start_call(0, fleet.get_request("/long?size=1000&us=800000"));
    let admin = fleet.addresses(1).admin;
    let drain = |on| {
        fleet.runtime.block_on(fetch("POST", admin, &format!("/drain?target=target-1&on={on}")))
    };
    assert_eq!(drain(true).expect("drain").0, 200);
    // The guard refuses calls from this moment on, whether or not the entries know of the drain.
    assert!(!gets_calls(&fleet, 1));
    assert_eq!(fleet.join_call(running).verdict, Verdict::Complete);
    assert_eq!(drain(false).expect("undo").0, 200);
    eventually("the target gets calls again", || gets_calls(&fleet, 1));
}

#[test]
fn a_target_that_reports_that_it_drains_gets_no_new_calls() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    let running: Vec<_> = (0..3)
        .map(|_| fleet.start_call(0, fleet.get_request("/long?size=1000&us=3000000")))
        .collect();
    std::thread::sleep(Duration::from_millis(100));
    fleet.targets[2].behave(|behaviour| "draining".clone_into(&mut behaviour.condition));
    std::thread::sleep(REMOVAL_BOUND);
    assert!(!gets_calls(&fleet, 2));
    for call in running {
        assert_eq!(fleet.join_call(call).verdict, Verdict::Complete);
    }
}

#[test]
fn a_target_without_heartbeats_gets_no_new_calls() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    fleet.targets[0].behave(|behaviour| behaviour.heartbeat = false);
    std::thread::sleep(REMOVAL_BOUND);
    assert!(!gets_calls(&fleet, 0));
    fleet.targets[0].behave(|behaviour| behaviour.heartbeat = true);
    eventually("the target gets calls again", || gets_calls(&fleet, 0));
}

#[test]
fn a_warming_target_gets_no_calls_before_it_is_ready() {
    let mut fleet = TestFleet::spawn(FleetPlan { hosts: 2, ..FleetPlan::default() });
    fleet.add_host(2);
    fleet.targets[2].behave(|behaviour| "warming".clone_into(&mut behaviour.condition));
    std::thread::sleep(REMOVAL_BOUND);
    assert!(!gets_calls(&fleet, 2));
    fleet.targets[2].behave(|behaviour| "ready".clone_into(&mut behaviour.condition));
    fleet.wait_ready();
}

#[test]
fn consecutive_planned_stops_interrupt_no_call() {
    let mut fleet = TestFleet::spawn(FleetPlan { slots: 8, ..FleetPlan::default() });
    for stopped in 0..2 {
        // These calls are running when the daemon stops, some through it, some at its target.
        let calls: Vec<_> = (0..24)
            .map(|number| {
                let path = format!("/stop/{stopped}/{number}?size=300000&us=300000");
                fleet.start_call(stopped + number % (3 - stopped), fleet.get_request(&path))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(150));
        fleet.daemons[stopped].terminate().expect("terminate");
        for call in calls {
            let report = fleet.join_call(call);
            assert!(matches!(report.verdict, Verdict::Complete | Verdict::NotRun), "{report:?}");
        }
        let status = fleet.daemons[stopped].wait(WAIT_TIMEOUT).expect("wait");
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
        let report = fleet.call(2, &fleet.get_request("/after?size=100"));
        assert_eq!(report.verdict, Verdict::Complete, "{report:?}");
    }
}

#[test_case(0; "the store answers at once")]
#[test_case(300; "the store is slow")]
fn a_stopping_guard_finishes_and_records_a_call_with_an_idempotency_key(store_delay_ms: u64) {
    let mut fleet = TestFleet::spawn(FleetPlan::default());
    let call = fleet.post_request("k", "/bulletin?size=100&us=500000");
    let first = fleet.start_call(0, call.clone());
    eventually("the call runs", || fleet.target_that_ran("k").is_some());
    let guard = fleet.target_that_ran("k").expect("ran");
    fleet.set_faults(|faults| faults.slow_ms = store_delay_ms);
    fleet.daemons[guard].terminate().expect("terminate");
    assert_eq!(fleet.join_call(first).verdict, Verdict::Complete);
    fleet.daemons[guard].wait(WAIT_TIMEOUT).expect("wait").expect("stopped");
    let repeat = fleet.call((guard + 1) % 3, &call);
    assert_eq!((repeat.verdict, repeat.recorded), (Verdict::Complete, true), "{repeat:?}");
}

#[test]
fn a_planned_stop_ends_within_the_operators_bound() {
    let mut fleet =
        TestFleet::spawn(FleetPlan { hosts: 1, stop_bound_ms: 300, ..FleetPlan::default() });
    let call = fleet.start_call(0, fleet.get_request("/endless?size=10&us=30000000"));
    std::thread::sleep(Duration::from_millis(100));
    fleet.daemons[0].terminate().expect("terminate");
    let status = fleet.daemons[0].wait(WAIT_TIMEOUT).expect("wait");
    assert!(status.is_some(), "the stop waited for an endless call");
    assert_ne!(fleet.join_call(call).verdict, Verdict::NotRun);
}
