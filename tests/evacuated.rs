//! An evacuated data centre, and cold and reborn targets, with real daemons.

mod common;

use std::time::Duration;

use common::eventually;
use common::hosted::{HostedFleet, SAFE, SERVICE, UNSAFE};
use railspan_standins::{HostedTarget, PlatformFaults};
use serde_json::{Value, json};

const WORK: Duration = Duration::from_millis(5);

fn evacuate(fleet: &HostedFleet, centre: &str) {
    fleet.platform.write_operator_row(&format!("evacuate/{centre}"), Some(b"{}"));
}

fn take_back(fleet: &HostedFleet, centre: &str) {
    fleet.platform.write_operator_row(&format!("evacuate/{centre}"), None);
}

fn evacuated(fleet: &HostedFleet, index: usize) -> Value {
    fleet.state(index)["entry"]["evacuated"].clone()
}

/// Makes some calls through each daemon and returns how many were answered.
fn call_all(fleet: &HostedFleet, start: &str) -> usize {
    let all = (0..30).map(|number| fleet.call(number % 3, SAFE, &format!("{start}{number}")));
    all.flatten().filter(|answer| answer.status == 200).count()
}

#[test]
fn an_evacuated_data_centre_gets_nothing_until_it_is_taken_back() {
    let fleet = HostedFleet::spawn(3, WORK);
    evacuate(&fleet, "ba-norte-1");
    for index in 0..3 {
        eventually("evacuated", || evacuated(&fleet, index) == json!(["ba-norte-1"]));
    }
    let before = fleet.targets[0].runs().len();
    assert_eq!(call_all(&fleet, "away"), 30);
    assert_eq!(fleet.targets[0].runs().len(), before);
    take_back(&fleet, "ba-norte-1");
    for index in 0..3 {
        eventually("taken back", || evacuated(&fleet, index) == json!([]));
    }
    eventually("calls again", || {
        call_all(&fleet, "back");
        fleet.targets[0].runs().len() > before
    });
}

#[test]
fn an_evacuation_outlives_the_loss_of_every_daemon() {
    let mut fleet = HostedFleet::spawn(3, WORK);
    evacuate(&fleet, "ba-norte-2");
    for index in 0..3 {
        eventually("evacuated", || evacuated(&fleet, index) == json!(["ba-norte-2"]));
    }
    for daemon in &mut fleet.daemons {
        daemon.kill().expect("kill");
    }
    // On other hosts of the same data centres: another test's process may have got one of
    // the old addresses by now.
    for index in 0..3 {
        fleet.daemons[index] = fleet.start_daemon(index + 3);
        fleet.targets[index].send_heartbeats_to(fleet.control(index));
    }
    for index in 0..3 {
        eventually("evacuated anew", || evacuated(&fleet, index) == json!(["ba-norte-2"]));
    }
    let before = fleet.targets[1].runs().len();
    eventually("all serve", || call_all(&fleet, "anew") == 30);
    assert_eq!(fleet.targets[1].runs().len(), before);
}

/// The history of changes is gone when the evacuation ends: who reads anew hears it.
#[test]
fn an_end_that_nobody_could_follow_is_heard_all_the_same() {
    let fleet = HostedFleet::spawn(2, WORK);
    evacuate(&fleet, "ba-norte-1");
    eventually("evacuated", || evacuated(&fleet, 1) == json!(["ba-norte-1"]));
    fleet.platform.set_faults(PlatformFaults { history_gone: true, ..PlatformFaults::default() });
    take_back(&fleet, "ba-norte-1");
    for index in 0..2 {
        eventually("taken back", || evacuated(&fleet, index) == json!([]));
    }
}

#[test]
fn with_all_data_centres_evacuated_calls_are_refused_at_once() {
    let fleet = HostedFleet::spawn(2, WORK);
    evacuate(&fleet, "ba-norte-1");
    evacuate(&fleet, "ba-norte-2");
    for index in 0..2 {
        let both = json!(["ba-norte-1", "ba-norte-2"]);
        eventually("evacuated", || evacuated(&fleet, index) == both);
    }
    let answer = fleet.call(0, UNSAFE, "nowhere").expect("answer");
    assert_eq!(answer.status, 503);
    assert_eq!(fleet.runs("nowhere"), 0);
}

#[test]
fn rows_of_another_writer_leave_the_others_in_force() {
    let fleet = HostedFleet::spawn(2, WORK);
    fleet.platform.write_system_row("fleet-member-nobody", b"\xff\x00 no text");
    fleet.platform.write_system_row("fleet-member-host-9", b"{\"host\":7}");
    fleet.platform.write_operator_row("config", Some(b"{\"version\":\"r9"));
    evacuate(&fleet, "no-such-place");
    for index in 0..2 {
        eventually("heard", || evacuated(&fleet, index) == json!(["no-such-place"]));
    }
    let late = fleet.start_daemon(2);
    drop(late);
    for number in 0..10 {
        let answer = fleet.call(number % 2, SAFE, &format!("foreign{number}")).expect("answer");
        assert_eq!(answer.status, 200);
    }
}

/// Sends a heartbeat to the first daemon; returns the status.
fn send_beat(fleet: &HostedFleet, name: &str, body: &Value) -> u16 {
    let path = format!("/instances/{name}/heartbeat");
    let bytes = body.to_string();
    let sent =
        railspan_standins::hosted_call(fleet.control(0), "POST", &path, &[], bytes.as_bytes());
    sent.expect("answer").status
}

fn target_state(fleet: &HostedFleet, index: usize) -> Value {
    let targets = fleet.state(index)["guard"]["targets"].clone();
    targets.as_array().and_then(|targets| targets.first().cloned()).unwrap_or_default()
}

/// A target that starts again under its name is taken up by its first heartbeat,
/// though the numbers of these begin anew; what is of its earlier life changes nothing.
#[test]
fn a_reborn_target_is_taken_up_at_once() {
    let fleet = HostedFleet::spawn(1, WORK);
    let (target, control) = (&fleet.targets[0], fleet.control(0));
    target.restart(1_000);
    eventually("born", || target_state(&fleet, 0)["life"]["born"] == 1_000);
    target.restart(2_000);
    eventually("born again", || target_state(&fleet, 0)["life"]["born"] == 2_000);
    // The end of the earlier life comes late.
    let name = target.name();
    let path = format!("/instances/{name}/leave");
    let leave = railspan_standins::hosted_call(control, "POST", &path, &[], b"{\"born\":1000}");
    assert_eq!(leave.expect("leave").status, 200);
    let answer = fleet.call(0, SAFE, "reborn").expect("answer");
    assert_eq!(answer.status, 200);
    assert_eq!(target_state(&fleet, 0)["ready"], true);
}

#[test]
fn a_reborn_target_runs_no_call_of_its_earlier_life_again() {
    let fleet = HostedFleet::spawn(1, Duration::from_millis(800));
    let target = &fleet.targets[0];
    target.restart(1_000);
    eventually("born", || target_state(&fleet, 0)["life"]["born"] == 1_000);
    let answer = std::thread::scope(|scope| {
        let call = scope.spawn(|| fleet.call(0, UNSAFE, "once"));
        eventually("runs", || fleet.runs("once") == 1);
        target.restart(2_000);
        eventually("born again", || target_state(&fleet, 0)["life"]["born"] == 2_000);
        call.join().expect("thread")
    });
    // Its connection still stands, so the answer comes: it ran, and that is said.
    assert_eq!(answer.expect("answer").status, 200);
    assert_eq!(fleet.runs("once"), 1);
    assert_eq!(target_state(&fleet, 0)["running"], 0);
}

#[test]
fn heartbeats_of_another_writer_name_no_target() {
    let fleet = HostedFleet::spawn(1, WORK);
    let other = HostedTarget::spawn(SERVICE, "i-other", WORK).expect("target");
    let beat = |change: &dyn Fn(&mut Value)| {
        let mut body = json!({
            "address": other.address(), "born": 7,
            "info": {"service": SERVICE, "version": "v1", "zone": "z", "slots": 4},
            "status": {"state": "ready", "sequence": 1, "cold_remaining": "0ms"},
        });
        change(&mut body);
        send_beat(&fleet, "i-other", &body)
    };
    for pointer in ["address", "info", "status"] {
        assert_eq!(beat(&|body| _ = body.as_object_mut().expect("object").remove(pointer)), 400);
    }
    for (part, field) in [
        ("info", "service"),
        ("info", "slots"),
        ("status", "state"),
        ("status", "sequence"),
        ("status", "cold_remaining"),
    ] {
        assert_eq!(beat(&|body| body[part][field] = json!([])), 400);
        assert_eq!(
            beat(&|body| _ = body[part].as_object_mut().expect("object").remove(field)),
            400
        );
    }
    assert_eq!(beat(&|body| body["status"]["state"] = json!("asleep")), 400);
    assert_eq!(beat(&|body| body["born"] = json!("yesterday")), 400);
    assert_eq!(beat(&|body| body["info"]["service"] = json!("nobody")), 200);
    for number in 0..20 {
        let answer = fleet.call(0, SAFE, &format!("forged{number}")).expect("answer");
        assert_eq!(answer.status, 200);
    }
    assert!(other.runs().is_empty());
    let targets = fleet.state(0)["guard"]["targets"].as_array().map_or(0, Vec::len);
    assert_eq!(targets, 1);
}

/// A heartbeat that was held up comes after another target has the address: it names
/// none, and the later one ends the earlier.
#[test]
fn of_two_targets_at_one_address_the_later_born_holds() {
    let fleet = HostedFleet::spawn(1, WORK);
    let target = &fleet.targets[0];
    target.restart(2_000);
    eventually("born", || target_state(&fleet, 0)["life"]["born"] == 2_000);
    let beat = |name: &str, born: u64| {
        let body = json!({
            "address": target.address(), "born": born,
            "info": {"service": SERVICE, "version": "v1", "zone": "z", "slots": 4},
            "status": {"state": "ready", "sequence": 9, "cold_remaining": "0ms"},
        });
        assert_eq!(send_beat(&fleet, name, &body), 200);
    };
    let ready = |fleet: &HostedFleet, name: &str| {
        let targets = fleet.state(0)["guard"]["targets"].clone();
        let all = targets.as_array().cloned().unwrap_or_default();
        let known = all.iter().find(|target| target["announcement"]["target"] == name);
        known.map(|target| target["ready"] == true)
    };
    beat("i-before", 1_000);
    assert_eq!(ready(&fleet, "i-before"), None);
    beat("i-after", 3_000);
    assert_eq!(ready(&fleet, "i-after"), Some(true));
    assert_eq!(ready(&fleet, target.name()), Some(false));
}
