//! Nested calls on the users' platform: calls that targets make while they serve others.

mod common;

use std::path::Path;
use std::time::Duration;

use common::eventually;
use common::hosted::{HostedFleet, SAFE_PREFIX, SERVICE, UNSAFE_PREFIX, platform_config};
use railspan_standins::HostedTarget;
use serde_json::{Value, json};

/// Service that the targets of the first host call.
const CALLED: &str = "rollos";

/// Builds a configuration in which the safe route leads to [`CALLED`] and the other to [`SERVICE`].
fn config_with_two_services() -> String {
    let mut config: Value = serde_json::from_str(&platform_config(7, SERVICE)).expect("json");
    let mut called = config["services"][0].clone();
    called["name"] = json!(CALLED);
    config["services"].as_array_mut().expect("services").push(called);
    let paths = &mut config["virtual_hosts"][0]["paths"];
    paths[0]["service"] = json!(CALLED);
    paths[0]["priority"] = json!(3);
    config.to_string()
}

/// Returns what the guard of a daemon finds about a route, if there was a call of it.
fn is_nested(fleet: &HostedFleet, index: usize, route: &str) -> Option<bool> {
    let state = fleet.state(index);
    let routes = state["guard"]["nested_routes"].as_array()?;
    routes.iter().find(|state| state["route"] == route)?["nested"].as_bool()
}

/// Returns the worth that a call had when its target was chosen, if the log has the choice.
fn worth_at_choice(log: &Path, id: &str) -> Option<u64> {
    let text = std::fs::read_to_string(log).ok()?;
    let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let mut choices = lines.filter(|line| line["msg"] == "chosen" && line["id"] == id);
    choices.next()?["worth"].as_u64()
}

/// A guard that doesn't know which calls targets make would refuse them behind those of clients,
/// and one that takes clients' calls for them would give these the reserved slots. A nested call
/// at the rank of its own route would wait behind calls less urgent than its run.
#[test]
fn a_guard_finds_a_route_that_targets_call_and_gives_it_up_when_a_client_calls_it() {
    let logs = tempfile::tempdir().expect("folder");
    let log_of = |index: usize| logs.path().join(format!("host-{index}.log"));
    let mut fleet = HostedFleet::spawn(0, Duration::ZERO);
    fleet.platform.write_config(&config_with_two_services());
    for (index, service) in [SERVICE, CALLED].into_iter().enumerate() {
        let daemon = fleet.start_daemon_of(index, service, log_of(index));
        let target = HostedTarget::spawn(service, &format!("i-{index}"), Duration::from_millis(20));
        let target = target.expect("target");
        target.send_heartbeats_to(daemon.endpoints().control.expect("control"));
        fleet.daemons.push(daemon);
        fleet.targets.push(target);
    }
    let knows = |index: usize, service: &str| {
        let state = fleet.state(index);
        state["entry"]["services"][service]["targets"].as_array().map_or(0, Vec::len) == 1
    };
    eventually("both targets known", || {
        (0..2).all(|index| knows(index, SERVICE) && knows(index, CALLED))
    });
    // The run goes on after the deadline of its call, far longer than the test takes.
    fleet.targets[0].set_service_time(Duration::from_secs(50));
    std::thread::scope(|scope| {
        scope.spawn(|| fleet.call(1, UNSAFE_PREFIX, "run"));
        eventually("the run started", || !fleet.targets[0].runs().is_empty());
        let mut numbers = 0..;
        eventually("the route found", || {
            let number: u32 = numbers.next().expect("number");
            fleet.call(0, SAFE_PREFIX, &format!("nested{number}")).expect("answer");
            is_nested(&fleet, 1, "read") == Some(true)
        });
        fleet.call(0, SAFE_PREFIX, "known").expect("answer");
        fleet.call(0, SAFE_PREFIX, "prioritised").expect("answer");
    });
    // The entry knows the route from the answer to the first of the two calls.
    let worth_of = |id| worth_at_choice(&log_of(0), id);
    eventually("the choice in the log", || worth_of("prioritised").is_some());
    assert_eq!((worth_of("nested0"), worth_of("prioritised")), (Some(97), Some(99)));
    // The target of the second host is idle, so this is a client's call.
    fleet.call(1, SAFE_PREFIX, "client").expect("answer");
    assert_eq!(is_nested(&fleet, 1, "read"), Some(false));
}
