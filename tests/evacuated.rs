//! Evacuation of data centres, and heartbeats of restarted, misplaced and foreign targets,
//! with daemons as processes.

mod common;

use std::time::Duration;

use common::eventually;
use common::hosted::{HostedFleet, SAFE_PREFIX, SERVICE, UNSAFE_PREFIX};
use railspan_standins::{HostedTarget, PlatformFaults};
use serde_json::{Value, json};

const SERVICE_TIME: Duration = Duration::from_millis(5);

fn evacuate(fleet: &HostedFleet, centre: &str) {
    fleet.platform.write_operator_row(&format!("evacuate/{centre}"), Some(b"{}"));
}

fn end_evacuation(fleet: &HostedFleet, centre: &str) {
    fleet.platform.write_operator_row(&format!("evacuate/{centre}"), None);
}

fn evacuated_data_centres(fleet: &HostedFleet, index: usize) -> Value {
    fleet.state(index)["entry"]["evacuated"].clone()
}

/// Makes ten calls through each of three daemons and returns how many succeeded.
fn count_successful_calls(fleet: &HostedFleet, id_prefix: &str) -> usize {
    let answers =
        (0..30).map(|number| fleet.call(number % 3, SAFE_PREFIX, &format!("{id_prefix}{number}")));
    answers.flatten().filter(|answer| answer.status == 200).count()
}

#[test]
fn an_evacuated_data_centre_gets_no_calls_until_the_evacuation_ends() {
    let fleet = HostedFleet::spawn(3, SERVICE_TIME);
    evacuate(&fleet, "ba-norte-1");
    for index in 0..3 {
        eventually("the data centre is evacuated", || {
            evacuated_data_centres(&fleet, index) == json!(["ba-norte-1"])
        });
    }
    let before = fleet.targets[0].runs().len();
    assert_eq!(count_successful_calls(&fleet, "away"), 30);
    assert_eq!(fleet.targets[0].runs().len(), before);
    end_evacuation(&fleet, "ba-norte-1");
    for index in 0..3 {
        eventually("the evacuation has ended", || {
            evacuated_data_centres(&fleet, index) == json!([])
        });
    }
    eventually("the data centre gets calls again", || {
        count_successful_calls(&fleet, "back");
        fleet.targets[0].runs().len() > before
    });
}

#[test]
fn an_evacuation_stays_in_force_when_all_daemons_are_killed() {
    let mut fleet = HostedFleet::spawn(3, SERVICE_TIME);
    evacuate(&fleet, "ba-norte-2");
    for index in 0..3 {
        eventually("the data centre is evacuated", || {
            evacuated_data_centres(&fleet, index) == json!(["ba-norte-2"])
        });
    }
    for daemon in &mut fleet.daemons {
        daemon.kill().expect("kill");
    }
    // The new daemons are on other hosts of the same data centres, with new addresses, as a
    // process of another test may have got one of the old addresses by now.
    for index in 0..3 {
        fleet.daemons[index] = fleet.start_daemon(index + 3);
        fleet.targets[index].send_heartbeats_to(fleet.control(index));
    }
    for index in 0..3 {
        eventually("evacuated after the restart", || {
            evacuated_data_centres(&fleet, index) == json!(["ba-norte-2"])
        });
    }
    let before = fleet.targets[1].runs().len();
    eventually("all daemons serve", || count_successful_calls(&fleet, "anew") == 30);
    assert_eq!(fleet.targets[1].runs().len(), before);
}

/// The evacuation ends while the store has dropped its history of changes. A daemon that
/// reads the whole table again must conclude the end from the missing row.
#[test]
fn the_end_of_an_evacuation_is_found_without_the_stores_history() {
    let fleet = HostedFleet::spawn(2, SERVICE_TIME);
    evacuate(&fleet, "ba-norte-1");
    eventually("the data centre is evacuated", || {
        evacuated_data_centres(&fleet, 1) == json!(["ba-norte-1"])
    });
    fleet.platform.set_faults(PlatformFaults { history_gone: true, ..PlatformFaults::default() });
    end_evacuation(&fleet, "ba-norte-1");
    for index in 0..2 {
        eventually("the evacuation has ended", || {
            evacuated_data_centres(&fleet, index) == json!([])
        });
    }
}

#[test]
fn with_all_data_centres_evacuated_calls_are_refused_at_once() {
    let fleet = HostedFleet::spawn(2, SERVICE_TIME);
    evacuate(&fleet, "ba-norte-1");
    evacuate(&fleet, "ba-norte-2");
    for index in 0..2 {
        let both = json!(["ba-norte-1", "ba-norte-2"]);
        eventually("both data centres are evacuated", || {
            evacuated_data_centres(&fleet, index) == both
        });
    }
    let answer = fleet.call(0, UNSAFE_PREFIX, "nowhere").expect("answer");
    assert_eq!(answer.status, 503);
    assert_eq!(fleet.run_count("nowhere"), 0);
}

#[test]
fn malformed_rows_of_other_writers_leave_valid_rows_in_force() {
    let fleet = HostedFleet::spawn(2, SERVICE_TIME);
    fleet.platform.write_system_row("fleet-member-nobody", b"\xff\x00 no text");
    fleet.platform.write_system_row("fleet-member-host-9", b"{\"host\":7}");
    fleet.platform.write_operator_row("config", Some(b"{\"version\":\"r9"));
    evacuate(&fleet, "no-such-place");
    for index in 0..2 {
        eventually("the valid row is in force", || {
            evacuated_data_centres(&fleet, index) == json!(["no-such-place"])
        });
    }
    let late_daemon = fleet.start_daemon(2);
    drop(late_daemon);
    for number in 0..10 {
        let answer =
            fleet.call(number % 2, SAFE_PREFIX, &format!("foreign{number}")).expect("answer");
        assert_eq!(answer.status, 200);
    }
}

/// Sends a heartbeat to the first daemon and returns the status of the answer.
fn send_heartbeat(fleet: &HostedFleet, name: &str, body: &Value) -> u16 {
    let path = format!("/instances/{name}/heartbeat");
    let bytes = body.to_string();
    let answer =
        railspan_standins::hosted_call(fleet.control(0), "POST", &path, &[], bytes.as_bytes());
    answer.expect("answer").status
}

/// Returns the state of the first target that a daemon's guard knows, or null.
fn first_target_state(fleet: &HostedFleet, index: usize) -> Value {
    let targets = fleet.state(index)["guard"]["targets"].clone();
    targets.as_array().and_then(|targets| targets.first().cloned()).unwrap_or_default()
}

/// A target that restarts under its name is accepted by its first heartbeat, although the
/// sequence numbers start again; a late message of its former incarnation has no effect.
#[test]
fn a_restarted_target_is_accepted_at_once() {
    let fleet = HostedFleet::spawn(1, SERVICE_TIME);
    let (target, control) = (&fleet.targets[0], fleet.control(0));
    target.restart(1_000);
    eventually("the first incarnation is known", || {
        first_target_state(&fleet, 0)["life"]["born"] == 1_000
    });
    target.restart(2_000);
    eventually("the second incarnation is known", || {
        first_target_state(&fleet, 0)["life"]["born"] == 2_000
    });
    // The notice that the first incarnation leaves arrives late.
    let name = target.name();
    let path = format!("/instances/{name}/leave");
    let leave = railspan_standins::hosted_call(control, "POST", &path, &[], b"{\"born\":1000}");
    assert_eq!(leave.expect("leave").status, 200);
    let answer = fleet.call(0, SAFE_PREFIX, "reborn").expect("answer");
    assert_eq!(answer.status, 200);
    assert_eq!(first_target_state(&fleet, 0)["ready"], true);
}

#[test]
fn a_call_that_a_target_ran_before_its_restart_does_not_run_again() {
    let fleet = HostedFleet::spawn(1, Duration::from_millis(800));
    let target = &fleet.targets[0];
    target.restart(1_000);
    eventually("the first incarnation is known", || {
        first_target_state(&fleet, 0)["life"]["born"] == 1_000
    });
    let answer = std::thread::scope(|scope| {
        let call = scope.spawn(|| fleet.call(0, UNSAFE_PREFIX, "once"));
        eventually("the call runs", || fleet.run_count("once") == 1);
        target.restart(2_000);
        eventually("the second incarnation is known", || {
            first_target_state(&fleet, 0)["life"]["born"] == 2_000
        });
        call.join().expect("thread")
    });
    // The connection to the target is still open, so that its answer arrives and is delivered.
    assert_eq!(answer.expect("answer").status, 200);
    assert_eq!(fleet.run_count("once"), 1);
    assert_eq!(first_target_state(&fleet, 0)["running"], 0);
}

#[test]
fn invalid_heartbeats_and_those_of_unknown_services_add_no_target() {
    let fleet = HostedFleet::spawn(1, SERVICE_TIME);
    let other_target = HostedTarget::spawn(SERVICE, "i-other", SERVICE_TIME).expect("target");
    let send = |change: &dyn Fn(&mut Value)| {
        let mut body = json!({
            "address": other_target.address(), "born": 7,
            "info": {"service": SERVICE, "version": "v1", "zone": "z", "slots": 4},
            "status": {"state": "ready", "sequence": 1, "cold_remaining": "0ms"},
        });
        change(&mut body);
        send_heartbeat(&fleet, "i-other", &body)
    };
    for field in ["address", "info", "status"] {
        assert_eq!(send(&|body| _ = body.as_object_mut().expect("object").remove(field)), 400);
    }
    for (part, field) in [
        ("info", "service"),
        ("info", "slots"),
        ("status", "state"),
        ("status", "sequence"),
        ("status", "cold_remaining"),
    ] {
        assert_eq!(send(&|body| body[part][field] = json!([])), 400);
        assert_eq!(
            send(&|body| _ = body[part].as_object_mut().expect("object").remove(field)),
            400
        );
    }
    assert_eq!(send(&|body| body["status"]["state"] = json!("asleep")), 400);
    assert_eq!(send(&|body| body["born"] = json!("yesterday")), 400);
    assert_eq!(send(&|body| body["info"]["service"] = json!("nobody")), 200);
    for number in 0..20 {
        let answer = fleet.call(0, SAFE_PREFIX, &format!("forged{number}")).expect("answer");
        assert_eq!(answer.status, 200);
    }
    assert!(other_target.runs().is_empty());
    let targets = fleet.state(0)["guard"]["targets"].as_array().map_or(0, Vec::len);
    assert_eq!(targets, 1);
}

/// A delayed heartbeat may arrive when a later target has its sender's address: it adds no
/// target. The heartbeat of a later target ends the earlier one at the same address.
#[test]
fn of_two_targets_at_one_address_the_one_started_later_is_kept() {
    let fleet = HostedFleet::spawn(1, SERVICE_TIME);
    let target = &fleet.targets[0];
    target.restart(2_000);
    eventually("the incarnation is known", || {
        first_target_state(&fleet, 0)["life"]["born"] == 2_000
    });
    let send = |name: &str, born: u64| {
        let body = json!({
            "address": target.address(), "born": born,
            "info": {"service": SERVICE, "version": "v1", "zone": "z", "slots": 4},
            "status": {"state": "ready", "sequence": 9, "cold_remaining": "0ms"},
        });
        assert_eq!(send_heartbeat(&fleet, name, &body), 200);
    };
    let ready = |fleet: &HostedFleet, name: &str| {
        let targets = fleet.state(0)["guard"]["targets"].clone();
        let targets = targets.as_array().cloned().unwrap_or_default();
        let known = targets.iter().find(|target| target["announcement"]["target"] == name);
        known.map(|target| target["ready"] == true)
    };
    send("i-before", 1_000);
    assert_eq!(ready(&fleet, "i-before"), None);
    send("i-after", 3_000);
    assert_eq!(ready(&fleet, "i-after"), Some(true));
    assert_eq!(ready(&fleet, target.name()), Some(false));
}
