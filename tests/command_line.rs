//! The operator's commands: findings, exit codes, and their effects on a running fleet.

mod common;

use std::process::{Command, Output};

use common::{FleetPlan, TestFleet, eventually};
use test_case::test_case;

fn railspan(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_railspan")).args(arguments).output().expect("run")
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().expect("code")
}

#[test]
fn check_prints_every_finding_with_its_position() {
    let output = railspan(&["check", "tests/cases/four_faults.jsonc"]);
    assert_eq!(exit_code(&output), 2);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    let expected = [
        ":5:7: unknown key `deadline`; did you mean `deadline_ms`?",
        ":6:74: expected a whole number from 1 to 100",
        ":10:38: expected 64 hexadecimal digits",
        ":11:38: no template for `grilas`; did you mean `grillas`?",
    ];
    assert_eq!(text.lines().count(), expected.len(), "{text}");
    for finding in expected {
        assert!(text.contains(finding), "no `{finding}` in:\n{text}");
    }
    let json = railspan(&["check", "--json", "tests/cases/four_faults.jsonc"]);
    let findings: serde_json::Value = serde_json::from_slice(&json.stderr).expect("json");
    assert_eq!(findings[0]["place"]["line"], 5);
}

#[test_case(&["check", "examples/settings.jsonc", "examples/fundacion.jsonc", "examples/consortium.jsonc"], 0; "the samples are valid")]
#[test_case(&["check", "tests/cases/no_such_file.jsonc"], 2; "a missing file is a finding")]
#[test_case(&["check", "tests/cases/not_json.jsonc"], 2; "a file that is not JSON")]
#[test_case(&["check", "tests/cases/bad_settings.jsonc"], 2; "invalid settings")]
#[test_case(&["check"], 2; "no file argument")]
#[test_case(&["publish", "tests/cases/not_json.jsonc"], 2; "no platform argument")]
#[test_case(&["publish", "--platform", "127.0.0.1:1", "tests/cases/four_faults.jsonc"], 2; "an invalid template")]
#[test_case(&["publish", "--platform", "127.0.0.1:1", "examples/fundacion.jsonc"], 3; "an unreachable platform")]
#[test_case(&["status", "--daemon", "127.0.0.1:1"], 3; "an unreachable daemon")]
#[test_case(&["targets", "--daemon", "127.0.0.1:1", "--state", "asleep"], 2; "an unknown state")]
#[test_case(&["targets", "--daemon", "127.0.0.1:1", "--state", "down"], 3; "an unreachable daemon to list targets")]
#[test_case(&["accounts", "--daemon", "127.0.0.1:1"], 3; "an unreachable daemon to list accounts")]
#[test_case(&["dump", "--daemon", "127.0.0.1:1", "--part", "cellar"], 2; "an unknown part")]
#[test_case(&["dump", "--daemon", "nowhere"], 2; "an invalid address")]
#[test_case(&["trace", "some-id", "tests/cases/no_such_file.jsonc"], 2; "a missing log file")]
#[test_case(&["trace", "some-id", "examples/settings.jsonc"], 1; "a log without the request")]
#[test_case(&["forgive", "--daemon", "127.0.0.1:1", "no-digest"], 2; "an invalid digest")]
#[test_case(&["forgive", "--daemon", "127.0.0.1:1", "0123456789abcdef0123456789abcdef"], 3; "an unreachable daemon to forgive a request")]
#[test_case(&["publsh"], 2; "an unknown command")]
#[test_case(&["--help"], 0; "help")]
fn exit_codes_are_as_documented(arguments: &[&str], expected: i32) {
    assert_eq!(exit_code(&railspan(arguments)), expected);
}

#[test]
fn a_daemon_without_a_sensible_memory_does_not_start() {
    let output = Command::new(env!("CARGO_BIN_EXE_railspand"))
        .args(["--memory-mb", "3", "examples/settings.jsonc"])
        .output()
        .expect("run");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("--memory-mb: expected 16 to 1048576, not 3"), "{text}");
}

#[test]
fn a_daemon_with_invalid_settings_does_not_start() {
    let output = Command::new(env!("CARGO_BIN_EXE_railspand"))
        .arg("tests/cases/bad_settings.jsonc")
        .output()
        .expect("run");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("unknown key `hots`; did you mean `host`?"), "{text}");
    assert!(text.contains("key `data_centre` is missing"), "{text}");
    assert!(text.contains("expected an address"), "{text}");
    assert!(output.stdout.is_empty());
}

#[test]
fn operator_commands_show_and_change_a_running_fleet() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 2, ..FleetPlan::default() });
    let admin = fleet.addresses(0).admin.to_string();
    let platform = fleet.platform.address().to_string();
    let publish = ["publish", "--platform", &platform, "--daemon", &admin, "--base"];

    let published = railspan(&[&publish[..], &["1", "examples/fundacion.jsonc"]].concat());
    assert_eq!(exit_code(&published), 0, "{published:?}");
    let conflict = railspan(&[&publish[..], &["1", "examples/fundacion.jsonc"]].concat());
    assert_eq!(exit_code(&conflict), 1, "{conflict:?}");
    eventually("status shows revision 2 everywhere", || {
        let status = railspan(&["status", "--daemon", &admin, "--json"]);
        let status: serde_json::Value = serde_json::from_slice(&status.stdout).expect("json");
        let hosts = status["hosts"].as_array().expect("hosts").clone();
        hosts.len() == 2 && hosts.iter().all(|host| host["revision"] == 2)
    });

    let ready = |expected: bool| {
        let targets = railspan(&["targets", "--daemon", &admin, "--json"]);
        let targets: serde_json::Value = serde_json::from_slice(&targets.stdout).expect("json");
        targets.as_array().is_some_and(|lines| {
            lines.iter().any(|line| line["target"] == "target-1" && line["ready"] == expected)
        })
    };
    assert!(ready(true));
    assert_eq!(exit_code(&railspan(&["drain", "--daemon", &admin, "target-1"])), 0);
    eventually("targets shows the drain", || ready(false));
    assert_eq!(exit_code(&railspan(&["drain", "--daemon", &admin, "--undo", "target-1"])), 0);
    eventually("targets shows the end of the drain", || ready(true));
    assert_eq!(exit_code(&railspan(&["drain", "--daemon", &admin, "target-x"])), 1);

    let filtered = |filter: &[&str]| {
        let listed = railspan(&[&["targets", "--daemon", &admin, "--json"], filter].concat());
        let lines: Result<Vec<serde_json::Value>, _> = serde_json::from_slice(&listed.stdout);
        (exit_code(&listed), lines.map_or(0, |lines| lines.len()))
    };
    assert_eq!(filtered(&["--service", "fundacion"]).0, 1);
    assert_eq!(filtered(&["--data-centre", "nowhere"]).0, 1);
    assert_eq!(filtered(&["--state", "ready"]), (0, 2));
    assert_eq!(filtered(&["--state", "down"]), (0, 0));
    let status = railspan(&["status", "--daemon", &admin]);
    let text = String::from_utf8_lossy(&status.stdout);
    assert!(
        text.starts_with("2 of 2 hosts serve calls\nrevision 2 is in force at 2 of 2"),
        "{text}"
    );
    let nowhere = railspan(&["status", "--daemon", &admin, "--data-centre", "nowhere"]);
    assert_eq!(exit_code(&nowhere), 1, "{nowhere:?}");

    let guard = railspan(&["dump", "--daemon", &admin, "--part", "guard"]);
    let guard: serde_json::Value = serde_json::from_slice(&guard.stdout).expect("json");
    assert!(guard["targets"].is_array(), "{guard}");
    let nothing = railspan(&["dump", "--daemon", &admin, "--service", "nothing"]);
    assert_eq!(exit_code(&nothing), 1, "{nothing:?}");
    let dump = railspan(&["dump", "--daemon", &admin]);
    let dump: serde_json::Value = serde_json::from_slice(&dump.stdout).expect("json");
    for part in ["entry", "guard", "peers", "platform"] {
        assert!(dump[part].is_object(), "{part} is missing");
    }
}

/// A suspended daemon still counts as alive for some seconds, in which it gives no answer.
#[test]
fn a_status_that_lacks_an_answer_is_marked_partial_and_ends() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 3, ..FleetPlan::default() });
    let admin = fleet.addresses(0).admin.to_string();
    fleet.daemons[2].freeze().expect("freeze");
    let status = railspan(&["status", "--daemon", &admin]);
    fleet.daemons[2].thaw().expect("thaw");
    assert_eq!(exit_code(&status), 0, "{status:?}");
    let text = String::from_utf8_lossy(&status.stdout).into_owned();
    assert!(text.starts_with("2 of 3 hosts serve calls, no answer: 1"), "{text}");
    assert!(text.contains("\npartial: "), "{text}");
}
