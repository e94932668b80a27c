//! Entries that another writer left: among the heartbeats of targets, the rows of the system and those
//! of the operator. No daemon ends or stops following because of them.

mod common;

use std::time::Duration;

use common::hosted::{HostedFleet, SAFE_PREFIX, SERVICE, platform_config};
use railspan_standins::hosted_call;
use serde_json::{Value, json};
use test_case::test_case;

const SERVICE_TIME: Duration = Duration::from_millis(2);

/// Returns values that a reader may fail on: very deep, too large, out of range, or no text.
fn odd_values() -> Vec<Vec<u8>> {
    let mut values: Vec<Vec<u8>> = Vec::new();
    for depth in [100, 127, 128, 129, 1_000, 3_000, 100_000] {
        values.push(format!("{}{}", "[".repeat(depth), "]".repeat(depth)).into_bytes());
        values.push(format!("{}1{}", "{\"a\":".repeat(depth), "}".repeat(depth)).into_bytes());
        values.push("[".repeat(depth).into_bytes());
    }
    let numbers = [
        "1e308",
        "1e400",
        "-1e400",
        "18446744073709551615",
        "18446744073709551616",
        "-1",
        "0",
        "9223372036854775808",
        "1e-400",
        "70000",
        "65536",
        "0.5",
        "00",
        "NaN",
    ];
    values.extend(numbers.map(|number| number.as_bytes().to_vec()));
    let texts = [
        "\"127.0.0.1:70000\"",
        "\"127.0.0.1:-1\"",
        "\"127.0.0.1:0\"",
        "\"[::1\"",
        "\"\"",
        "null",
        "{}",
        "",
    ];
    values.extend(texts.map(|text| text.as_bytes().to_vec()));
    values.extend([b"\xff\xfe\x00\x80".to_vec(), b"\"\xff\"".to_vec(), b"\"\\ud800\"".to_vec()]);
    values
}

/// Puts a value into the place of `@` in a text.
fn fill(text: &str, value: &[u8]) -> Vec<u8> {
    let (start, end) = text.split_once('@').expect("place");
    [start.as_bytes(), value, end.as_bytes()].concat()
}

/// Checks that all daemons run, serve, and follow the next configuration, a new one among them.
fn assert_following(fleet: &mut HostedFleet) {
    fleet.daemons.push(fleet.start_daemon(2));
    let targets = fleet.targets.len();
    fleet.put_in_force(20, &platform_config(20, SERVICE));
    for host in 0..fleet.daemons.len() {
        fleet.wait_for_targets(host, targets);
        let answer = fleet.call(host, SAFE_PREFIX, &format!("after{host}")).expect("answer");
        assert_eq!(answer.status, 200, "host {host}");
        let ended = fleet.daemons[host].wait(Duration::ZERO).expect("wait");
        assert_eq!(ended, None, "host {host} ended by itself");
    }
}

const HEARTBEATS: [&str; 11] = [
    "@",
    r#"{"address":@,"info":{"service":"grillas","version":"v","zone":"z","slots":4},"status":{"state":"ready","sequence":4,"cold_remaining":"0ms"}}"#,
    r#"{"address":"127.0.0.1:1","info":@,"status":{"state":"ready","sequence":4,"cold_remaining":"0ms"}}"#,
    r#"{"address":"127.0.0.1:1","info":{"service":@,"version":"v","zone":"z","slots":4},"status":{"state":"ready","sequence":4,"cold_remaining":"0ms"}}"#,
    r#"{"address":"127.0.0.1:1","info":{"service":"grillas","version":"v","zone":"z","slots":@},"status":{"state":"ready","sequence":4,"cold_remaining":"0ms"}}"#,
    r#"{"address":"127.0.0.1:1","info":{"service":"grillas","version":"v","zone":"z","slots":4},"status":@}"#,
    r#"{"address":"127.0.0.1:1","info":{"service":"grillas","version":"v","zone":"z","slots":4},"status":{"state":@,"sequence":4,"cold_remaining":"0ms"}}"#,
    r#"{"address":"127.0.0.1:1","info":{"service":"grillas","version":"v","zone":"z","slots":4},"status":{"state":"ready","sequence":@,"cold_remaining":"0ms"}}"#,
    r#"{"address":"127.0.0.1:1","info":{"service":"grillas","version":"v","zone":"z","slots":4},"status":{"state":"ready","sequence":4,"cold_remaining":@}}"#,
    r#"{"address":"127.0.0.1:1","info":{"service":"grillas","version":"v","zone":"z","slots":4},"status":{"state":"ready","sequence":4,"cold_remaining":"0ms"},"born":@}"#,
    r#"{"address":"127.0.0.1:1","more":@,"info":{"service":"grillas"},"status":{}}"#,
];

#[test]
fn odd_heartbeats_end_no_daemon() {
    let mut fleet = HostedFleet::spawn(2, SERVICE_TIME);
    let control = fleet.control(0);
    for (number, text) in HEARTBEATS.iter().enumerate() {
        for (index, value) in odd_values().iter().enumerate() {
            let path = format!("/instances/odd-{number}-{index}/heartbeat");
            let answer = hosted_call(control, "POST", &path, &[], &fill(text, value));
            let status = answer.expect("answer").status;
            assert!(status == 200 || (400..500).contains(&status), "{number}, {index}: {status}");
            // What was accepted goes again.
            let path = format!("/instances/odd-{number}-{index}/leave");
            hosted_call(control, "POST", &path, &[], b"").expect("answer");
        }
    }
    assert_following(&mut fleet);
}

#[test_case("fleet-member-odd"; "a member")]
#[test_case("fleet-blame-0123456789abcdef0123456789abcdef"; "a blamed request")]
#[test_case("fleet-other"; "another row of the fleet")]
#[test_case("config-head"; "the head of the revisions")]
#[test_case("claim-odd"; "a claim")]
fn odd_rows_of_the_system_end_no_daemon(key: &str) {
    let mut fleet = HostedFleet::spawn(2, SERVICE_TIME);
    let mut started = Vec::new();
    let members = fleet.platform.rows("fleet-member-");
    assert!(!members.is_empty());
    for (index, value) in odd_values().iter().enumerate() {
        fleet.platform.write_system_row(key, value);
        fleet.platform.write_system_row(&format!("{key}-{index}"), value);
        // A row as the daemons write it, with an odd value in the place of each of its numbers.
        for (name, row) in members.iter().filter(|_| key.starts_with("fleet-member-")) {
            for (place, _) in row.match_indices(|byte: char| byte.is_ascii_digit()).take(40) {
                let mut text = row.clone();
                text.replace_range(place..=place, "@");
                let value = fill(&text, value);
                fleet.platform.write_system_row(&format!("{name}-odd-{place}"), &value);
            }
        }
        // Daemons read these rows when they start.
        if index % 8 == 0 {
            started.push(fleet.start_daemon(3 + index));
        }
    }
    for daemon in &mut started {
        assert_eq!(daemon.wait(Duration::ZERO).expect("wait"), None, "a new daemon ended");
    }
    assert_following(&mut fleet);
}

/// A row of a running daemon with a version that it never had must not keep its later records out.
#[test_case(70_000; "a large version")]
#[test_case(u64::MAX / 2; "the largest version that is read")]
#[test_case(u64::MAX; "the largest version of all")]
fn a_row_with_a_wrong_version_hides_no_target(version: u64) {
    let mut fleet = HostedFleet::spawn(2, SERVICE_TIME);
    let (key, row) = fleet.platform.rows("fleet-member-").remove(0);
    let mut record: Value = serde_json::from_str(&row).expect("record");
    record["version"] = json!(version);
    fleet.platform.write_system_row(&format!("{key}-odd"), record.to_string().as_bytes());
    assert_following(&mut fleet);
}

#[test]
fn odd_rows_of_the_operator_end_no_daemon() {
    let mut fleet = HostedFleet::spawn(2, SERVICE_TIME);
    let config = platform_config(9, SERVICE);
    let places = [
        "\"r9\"",
        "\"3s\"",
        "\"1500ms\"",
        "16384",
        "67108864",
        "220",
        "\"safe\"",
        "\"/health\"",
        "\"/read/\"",
    ];
    for value in odd_values() {
        fleet.platform.write_operator_row("config", Some(&value));
        fleet.platform.write_operator_row("evacuate/odd", Some(&value));
        fleet.platform.write_operator_row("other", Some(&value));
        for place in places {
            let text = config.replacen(place, "@", 1);
            fleet.platform.write_operator_row("config", Some(&fill(&text, &value)));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    fleet.platform.write_operator_row("evacuate/odd", None);
    assert_following(&mut fleet);
}
