//! Client accounts of a deployment: who a request is from, and how many it may make.

mod common;

use std::time::Duration;

use common::eventually;
use common::hosted::{HOST, HostedFleet, SAFE, SERVICE, config};
use railspan_standins::{HostedResponse, hosted_call};
use serde_json::{Value, json};

const KEY: &str = "n2ftimaj3nr26tta828m";
const OTHER_KEY: &str = "82thhkmgjqnirth5mgjy";
const FORMER_KEY: &str = "k31qqa9vv0c7d2mmz4xw";

/// Terms under which a quota is kept to the request.
const TERMS: &str =
    "heartbeat=500ms,retry_budget_ratio=0.2,budget_slack=58,grace=6s,quota_window=5s";

/// Makes a configuration with accounts and an open route beside the usual ones.
fn with_accounts(version: u64, keys: &[&str], per_s: u64, burst: u64) -> String {
    let mut written: Value = serde_json::from_str(&config(version, SERVICE)).expect("json");
    written["tenants"] = json!([
        {"name": "riga", "api_keys": keys, "priority": 0, "rate_per_s": per_s, "burst": burst},
        {"name": "jelgava", "api_keys": ["another key"]},
        {"name": "without any key", "api_keys": []},
        {"name": "without any key either", "api_keys": []},
    ]);
    let paths = written["virtual_hosts"][0]["paths"].as_array_mut().expect("paths");
    let mut open = paths[0].clone();
    open["name"] = json!("open");
    open["prefix"] = json!("/open/");
    open["public"] = json!(true);
    paths.push(open);
    written.to_string()
}

fn ask(
    fleet: &HostedFleet,
    index: usize,
    path: &str,
    key: Option<&str>,
    id: &str,
) -> HostedResponse {
    let bearer = key.map(|key| format!("Bearer {key}"));
    let mut headers =
        vec![("Host", HOST), ("X-Request-Id", id), ("X-Deadline-Ms", "2000"), ("X-Tenant-Id", "x")];
    headers.extend(bearer.as_deref().map(|bearer| ("Authorization", bearer)));
    let caller = fleet.daemons[index].endpoints().caller;
    hosted_call(caller, "GET", &format!("{path}{id}"), &headers, b"").expect("answer")
}

/// Returns a header of the run of a request, if it ran and had it.
fn header_of_run(fleet: &HostedFleet, id: &str, name: &str) -> Option<String> {
    let runs = fleet.targets.iter().flat_map(railspan_standins::HostedTarget::runs);
    let mut own = runs.filter(|run| run.headers.get("x-request-id").is_some_and(|own| own == id));
    own.next()?.headers.get(name).cloned()
}

fn spawn(per_s: u64, burst: u64) -> HostedFleet {
    let fleet = HostedFleet::spawn_on(3, Duration::from_millis(2), TERMS);
    fleet.platform.write_config(&with_accounts(8, &[KEY, FORMER_KEY], per_s, burst));
    for index in 0..3 {
        eventually("the configuration in force", || {
            ask(&fleet, index, "/open/", None, "warm").status == 200
        });
    }
    fleet
}

#[test]
fn a_target_learns_the_account_and_never_the_key() {
    let fleet = spawn(0, 0);
    assert_eq!(ask(&fleet, 0, SAFE, Some(KEY), "with-key").status, 200);
    let account = header_of_run(&fleet, "with-key", "x-tenant-id");
    assert_eq!(account.as_deref(), Some("riga"), "whatever the caller says of itself");
    assert_eq!(header_of_run(&fleet, "with-key", "authorization"), None);
    assert_eq!(ask(&fleet, 0, "/open/", Some(KEY), "open").status, 200);
    assert_eq!(header_of_run(&fleet, "open", "authorization"), None);
    assert_eq!(ask(&fleet, 1, SAFE, Some("no such key"), "unknown").status, 401);
    assert_eq!(fleet.runs("unknown"), 0);
    // A target's own calls bear no key, and so no account.
    assert_eq!(ask(&fleet, 1, SAFE, None, "inner").status, 200);
    assert_eq!(header_of_run(&fleet, "inner", "x-tenant-id"), None);
}

#[test]
fn a_key_that_a_revision_took_away_is_soon_good_nowhere() {
    let fleet = spawn(0, 0);
    assert_eq!(ask(&fleet, 0, SAFE, Some(FORMER_KEY), "before").status, 200);
    fleet.platform.write_config(&with_accounts(9, &[KEY, OTHER_KEY], 0, 0));
    for index in 0..3 {
        eventually("the key is not good", || {
            ask(&fleet, index, SAFE, Some(FORMER_KEY), "after").status == 401
        });
        assert_eq!(ask(&fleet, index, SAFE, Some(OTHER_KEY), "new").status, 200);
    }
}

#[test]
fn two_accounts_with_one_key_are_refused_and_the_key_is_not_told() {
    let fleet = spawn(0, 0);
    fleet.platform.write_config(&with_accounts(9, &["another key"], 0, 0));
    fleet.platform.write_config(&with_accounts(10, &[OTHER_KEY], 0, 0));
    eventually("the next one is in force", || {
        ask(&fleet, 0, SAFE, Some(OTHER_KEY), "after").status == 200
    });
    for index in 0..3 {
        let state = fleet.state(index).to_string();
        assert!(!state.contains("another key") && !state.contains(OTHER_KEY), "{state}");
    }
}

/// Two hundred requests at once against sixty: those over the quota are told so at once,
/// and when to come back.
#[test]
fn an_account_gets_its_quota_over_all_daemons_together() {
    let fleet = spawn(1, 60);
    // The burst gathers a request a second; until then little may pass.
    let mut passed = 0;
    for number in 0..200 {
        let answer = ask(&fleet, number % 3, SAFE, Some(KEY), &format!("of-{number}"));
        match answer.status {
            200 => passed += 1,
            429 => assert!(answer.headers.contains_key("retry-after"), "when to come back"),
            other => panic!("status {other}"),
        }
    }
    let since_start = 60;
    assert!(passed <= since_start + 60, "{passed} passed");
    assert_eq!(ask(&fleet, 0, "/open/", Some(KEY), "not-counted").status, 200);
}
