//! A second try beside a slow first one: only where the template allows it.

mod common;

use common::{FleetPlan, TestFleet, eventually};
use railspan_standins::{Verdict, fetch};

fn hedges(fleet: &TestFleet) -> f64 {
    let page = fleet.runtime.block_on(fetch("GET", fleet.addresses(0).admin, "/metrics"));
    let text = String::from_utf8_lossy(&page.expect("metrics").1).into_owned();
    let line = text.lines().find(|line| line.contains("cause=\"hedge\""));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}

/// Slows one target down and reads until it was chosen often enough.
fn read_beside_a_slow_target(service: &'static str) -> TestFleet {
    let fleet = TestFleet::spawn(FleetPlan { service, ..FleetPlan::default() });
    for number in 0..60 {
        let report = fleet.call(0, &fleet.get_request(&format!("/warm/{number}?size=100")));
        assert_eq!(report.verdict, Verdict::Complete, "{report:?}");
    }
    fleet.targets[0].behave(|behaviour| behaviour.slowdown = 100.0);
    // Several at once, so that every target gets some.
    for round in 0..10 {
        let calls: Vec<_> = (0..8)
            .map(|number| {
                fleet.start_call(0, fleet.get_request(&format!("/slow/{round}/{number}?size=100")))
            })
            .collect();
        for call in calls {
            let report = fleet.join_call(call);
            assert_eq!(report.verdict, Verdict::Complete, "{report:?}");
        }
    }
    fleet
}

#[test]
fn a_slow_leaf_read_is_tried_beside_and_the_loser_cancelled() {
    let fleet = read_beside_a_slow_target("grillas");
    assert!(hedges(&fleet) > 0.0);
    eventually("the cancelled calls have left the guard", || {
        let state = fleet.state(fleet.addresses(0).admin);
        state["guard"]["targets"][0]["running"] == 0
    });
    let cut = fleet.targets[0].runs().iter().filter(|run| !run.done).count();
    assert!(cut > 0, "no call was cancelled at its target");
}

#[test]
fn a_kind_that_does_not_say_so_is_never_hedged() {
    let fleet = read_beside_a_slow_target("avisos");
    assert!(hedges(&fleet) == 0.0);
}
