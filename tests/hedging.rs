//! Hedging: a slow read gets a second attempt at another target, and only in services whose
//! template allows it.

mod common;

use common::{FleetPlan, TestFleet, eventually};
use railspan_standins::{Verdict, fetch};

/// Reads the number of hedges that the first daemon's entry sent.
fn hedge_count(fleet: &TestFleet) -> f64 {
    let page = fleet.runtime.block_on(fetch("GET", fleet.addresses(0).admin, "/metrics"));
    let text = String::from_utf8_lossy(&page.expect("metrics").1).into_owned();
    let line = text.lines().find(|line| line.contains("cause=\"hedge\""));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}

/// Makes one target slow after a number of fast reads, and reads until it was chosen often.
fn read_with_one_slow_target(service: &'static str) -> TestFleet {
    let fleet = TestFleet::spawn(FleetPlan { service, ..FleetPlan::default() });
    for number in 0..60 {
        let report = fleet.call(0, &fleet.get_request(&format!("/warm/{number}?size=100")));
        assert_eq!(report.verdict, Verdict::Complete, "{report:?}");
    }
    fleet.targets[0].behave(|behaviour| behaviour.slowdown = 100.0);
    // Several reads at a time, so that every target gets some.
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
fn a_slow_read_is_hedged_and_the_slower_attempt_is_cancelled() {
    let fleet = read_with_one_slow_target("grillas");
    assert!(hedge_count(&fleet) > 0.0);
    eventually("the cancelled calls have left the guard", || {
        let state = fleet.state(fleet.addresses(0).admin);
        state["guard"]["targets"][0]["running"] == 0
    });
    let cancelled = fleet.targets[0].runs().iter().filter(|run| !run.done).count();
    assert!(cancelled > 0, "no call was cancelled at its target");
}

#[test]
fn a_service_whose_template_does_not_allow_hedges_is_never_hedged() {
    let fleet = read_with_one_slow_target("avisos");
    assert!(hedge_count(&fleet) == 0.0);
}
