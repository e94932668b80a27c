//! Calls whose runs call a service that is gone: daemons must refuse them at once instead of
//! letting their runs fail.

mod common;

use std::time::Duration;

use common::eventually;
use common::hosted::{
    HostedFleet, SAFE_PREFIX, SERVICE, UNSAFE_PREFIX, VIRTUAL_HOST, platform_config,
};
use railspan_standins::{HostedBehaviour, HostedResponse, hosted_call};
use serde_json::{Value, json};

const KEY: &str = "n2ftimaj3nr26tta828m";

/// Service that the runs of the safe route call.
const DOWNSTREAM: &str = "ledgers";

const DOWNSTREAM_PREFIX: &str = "/ledger/";

/// Builds a configuration with a client account, so that calls without its key come from
/// targets, and with a route to the downstream service.
fn config() -> String {
    let mut config: Value = serde_json::from_str(&platform_config(9, SERVICE)).expect("json");
    config["tenants"] = json!([{"name": "riga", "api_keys": [KEY], "priority": 0}]);
    let services = config["services"].as_array_mut().expect("services");
    let mut downstream = services[0].clone();
    downstream["name"] = json!(DOWNSTREAM);
    services.push(downstream);
    let paths = config["virtual_hosts"][0]["paths"].as_array_mut().expect("paths");
    let mut route = paths[0].clone();
    for (name, value) in
        [("name", "ledger"), ("prefix", DOWNSTREAM_PREFIX), ("service", DOWNSTREAM)]
    {
        route[name] = json!(value);
    }
    paths.push(route);
    config.to_string()
}

fn call(fleet: &HostedFleet, prefix: &str, id: &str, key: Option<&str>) -> HostedResponse {
    let method = if prefix == UNSAFE_PREFIX { "POST" } else { "GET" };
    let bearer = key.map(|key| format!("Bearer {key}"));
    let mut headers = vec![("Host", VIRTUAL_HOST), ("X-Request-Id", id), ("X-Deadline-Ms", "2000")];
    headers.extend(bearer.as_deref().map(|bearer| ("Authorization", bearer)));
    let caller = fleet.daemons[0].endpoints().caller;
    hosted_call(caller, method, &format!("{prefix}{id}"), &headers, b"").expect("answer")
}

/// Makes a call whose run calls the downstream service; returns the response to the caller.
fn call_with_nested(fleet: &HostedFleet, id: &str) -> HostedResponse {
    std::thread::scope(|scope| {
        let outer = scope.spawn(|| call(fleet, SAFE_PREFIX, id, Some(KEY)));
        eventually("the call runs or has ended", || fleet.run_count(id) > 0 || outer.is_finished());
        if !outer.is_finished() {
            call(fleet, DOWNSTREAM_PREFIX, &format!("nested-{id}"), None);
        }
        outer.join().expect("call")
    })
}

/// Guards against runs that take slots and fail while the service that they call has no guard,
/// against refusals of calls that need no other service, and against refusals that go on after
/// the service has come back.
#[test]
fn callers_are_refused_at_once_while_the_downstream_service_is_gone() {
    let fleet = HostedFleet::spawn(1, Duration::from_millis(100));
    let downstream = fleet.start_host_of(1, DOWNSTREAM);
    fleet.platform.write_config(&config());
    eventually("nested calls are served", || {
        call(&fleet, DOWNSTREAM_PREFIX, "first", None).status == 200
    });
    for number in 0..10 {
        assert_eq!(call_with_nested(&fleet, &format!("served{number}")).status, 200);
    }
    drop(downstream);
    // A run whose call is not answered fails.
    fleet.targets[0].set_behaviour(HostedBehaviour::ServerError);
    let mut number = 0;
    eventually("a call is refused", || {
        number += 1;
        let id = format!("gone{number}");
        let answer = call_with_nested(&fleet, &id);
        if answer.status == 500 {
            return false;
        }
        assert_eq!(answer.status, 503);
        assert_eq!(fleet.run_count(&id), 0, "a refused call ran");
        assert!(answer.headers.contains_key("retry-after"));
        true
    });
    let state = fleet.state(0);
    let throttle = &state["guard"]["downstream"];
    let share = throttle["services"][DOWNSTREAM]["refused_share"].as_f64();
    assert!(share.is_some_and(|share| share > 0.0), "{throttle}");
    assert!(throttle["routes"]["read"]["calls_per_run"][DOWNSTREAM].is_number(), "{throttle}");
    let admin = fleet.daemons[0].endpoints().admin;
    let metrics = hosted_call(admin, "GET", "/metrics", &[], b"").expect("metrics").body;
    let metrics = String::from_utf8(metrics).expect("text");
    let count = metrics.lines().find_map(|line| {
        line.strip_prefix("railspan_downstream_refusals_total ")?.parse::<u64>().ok()
    });
    assert!(count.is_some_and(|count| count > 0), "{count:?}");
    fleet.targets[0].set_behaviour(HostedBehaviour::Answer);
    for number in 0..5 {
        let answer = call(&fleet, UNSAFE_PREFIX, &format!("alone{number}"), Some(KEY));
        assert_eq!(answer.status, 200, "a call that needs no other service was refused");
    }
    let _downstream = fleet.start_host_of(2, DOWNSTREAM);
    eventually("nested calls are served again", || {
        call(&fleet, DOWNSTREAM_PREFIX, "again", None).status == 200
    });
    let mut served = 0;
    eventually("twenty calls in a row are served", || {
        number += 1;
        let answer = call_with_nested(&fleet, &format!("back{number}"));
        served = if answer.status == 200 { served + 1 } else { 0 };
        served == 20
    });
}
