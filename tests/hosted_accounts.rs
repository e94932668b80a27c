//! Client accounts on the users' platform: API keys identify the account of a request, and
//! its quota holds over all daemons together.

mod common;

use std::time::Duration;

use common::eventually;
use common::hosted::{HostedFleet, SAFE_PREFIX, SERVICE, VIRTUAL_HOST, platform_config};
use railspan_standins::{FaultyLink, HostedBehaviour, HostedResponse, LinkDirection, hosted_call};
use serde_json::{Value, json};
use test_case::test_case;
use tokio::runtime::Runtime;

const KEY: &str = "n2ftimaj3nr26tta828m";
const OTHER_KEY: &str = "82thhkmgjqnirth5mgjy";
const FORMER_KEY: &str = "k31qqa9vv0c7d2mmz4xw";

/// Deployment terms without slack on quotas, so that they hold to the request.
const TERMS: &str =
    "heartbeat=500ms,retry_budget_ratio=0.2,budget_slack=58,grace=6s,quota_window=5s";

/// Deployment terms with a bound on the use of removed keys.
const STRICT_TERMS: &str = "heartbeat=500ms,retry_budget_ratio=0.2,budget_slack=58,grace=6s,\
                            strict_revocation=true,revoke=5000ms";

/// Time longer than that bound.
const PAST_BOUND: Duration = Duration::from_secs(7);

/// Builds a configuration with client accounts, and with a public route besides the others.
fn config_with_accounts(version: u64, keys: &[&str], per_s: u64, burst: u64) -> String {
    let mut config: Value = serde_json::from_str(&platform_config(version, SERVICE)).expect("json");
    config["tenants"] = json!([
        {"name": "riga", "api_keys": keys, "priority": 0, "rate_per_s": per_s, "burst": burst},
        {"name": "jelgava", "api_keys": ["another key"]},
        {"name": "without any key", "api_keys": []},
        {"name": "without any key either", "api_keys": []},
    ]);
    let paths = config["virtual_hosts"][0]["paths"].as_array_mut().expect("paths");
    let mut public = paths[0].clone();
    public["name"] = json!("open");
    public["prefix"] = json!("/open/");
    public["public"] = json!(true);
    paths.push(public);
    config.to_string()
}

/// Makes a request under an API key, with a forged account, to `path` followed by `id`.
fn call_with_key(
    fleet: &HostedFleet,
    index: usize,
    path: &str,
    key: Option<&str>,
    id: &str,
) -> HostedResponse {
    let bearer = key.map(|key| format!("Bearer {key}"));
    let mut headers = vec![
        ("Host", VIRTUAL_HOST),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "2000"),
        ("X-Tenant-Id", "x"),
    ];
    headers.extend(bearer.as_deref().map(|bearer| ("Authorization", bearer)));
    let caller = fleet.daemons[index].endpoints().caller;
    hosted_call(caller, "GET", &format!("{path}{id}"), &headers, b"").expect("answer")
}

/// Returns a header that a request had at the target that ran it, if any did.
fn header_at_target(fleet: &HostedFleet, id: &str, name: &str) -> Option<String> {
    let runs = fleet.targets.iter().flat_map(railspan_standins::HostedTarget::runs);
    let mut runs =
        runs.filter(|run| run.headers.get("x-request-id").is_some_and(|run_id| run_id == id));
    runs.next()?.headers.get(name).cloned()
}

/// Starts a fleet whose last daemon reaches the store through the returned link, and waits until
/// that daemon serves requests with a key.
fn spawn_with_store_link(hosts: usize, terms: &str) -> (HostedFleet, FaultyLink, Runtime) {
    let runtime = Runtime::new().expect("runtime");
    let link = FaultyLink::bind(runtime.handle(), false).expect("link");
    let mut fleet = HostedFleet::spawn_with_terms(hosts, Duration::from_millis(2), terms);
    link.set_upstream(fleet.platform.address());
    let last = hosts - 1;
    fleet.daemons[last].kill().expect("kill");
    fleet.daemons[last] = fleet.start_daemon_with_store(last, link.address());
    fleet.targets[last].send_heartbeats_to(fleet.control(last));
    fleet.platform.write_config(&config_with_accounts(8, &[KEY, FORMER_KEY], 0, 0));
    eventually("requests with a key are served", || {
        call_with_key(&fleet, last, SAFE_PREFIX, Some(FORMER_KEY), "warm").status == 200
    });
    (fleet, link, runtime)
}

/// Stops all transfers through a link; open connections stay open.
fn cut(link: &FaultyLink) {
    link.cut(LinkDirection::Inbound, true);
    link.cut(LinkDirection::Outbound, true);
}

/// Starts a fleet and waits until a configuration with accounts is in force everywhere.
fn spawn_with_accounts(per_s: u64, burst: u64) -> HostedFleet {
    let fleet = HostedFleet::spawn_with_terms(3, Duration::from_millis(2), TERMS);
    fleet.platform.write_config(&config_with_accounts(8, &[KEY, FORMER_KEY], per_s, burst));
    for index in 0..3 {
        eventually("the configuration in force", || {
            call_with_key(&fleet, index, "/open/", None, "warm").status == 200
        });
    }
    fleet
}

#[test]
fn a_target_gets_the_account_and_never_the_key() {
    let fleet = spawn_with_accounts(0, 0);
    assert_eq!(call_with_key(&fleet, 0, SAFE_PREFIX, Some(KEY), "with-key").status, 200);
    let account = header_at_target(&fleet, "with-key", "x-tenant-id");
    assert_eq!(
        account.as_deref(),
        Some("riga"),
        "the account that the caller claims was passed on"
    );
    assert_eq!(header_at_target(&fleet, "with-key", "authorization"), None);
    assert_eq!(call_with_key(&fleet, 0, "/open/", Some(KEY), "open").status, 200);
    assert_eq!(header_at_target(&fleet, "open", "authorization"), None);
    assert_eq!(call_with_key(&fleet, 1, SAFE_PREFIX, Some("no such key"), "unknown").status, 401);
    assert_eq!(fleet.run_count("unknown"), 0);
    // A call that a target makes itself has no key, and therefore no account.
    assert_eq!(call_with_key(&fleet, 1, SAFE_PREFIX, None, "inner").status, 200);
    assert_eq!(header_at_target(&fleet, "inner", "x-tenant-id"), None);
}

#[test]
fn a_key_that_a_revision_removes_is_soon_refused_everywhere() {
    let fleet = spawn_with_accounts(0, 0);
    assert_eq!(call_with_key(&fleet, 0, SAFE_PREFIX, Some(FORMER_KEY), "before").status, 200);
    fleet.platform.write_config(&config_with_accounts(9, &[KEY, OTHER_KEY], 0, 0));
    for index in 0..3 {
        eventually("the removed key is refused", || {
            call_with_key(&fleet, index, SAFE_PREFIX, Some(FORMER_KEY), "after").status == 401
        });
        assert_eq!(call_with_key(&fleet, index, SAFE_PREFIX, Some(OTHER_KEY), "new").status, 200);
    }
}

/// A daemon that reaches neither the store nor another daemon must not serve a key for good that
/// may have been removed without its knowledge.
#[test]
fn a_daemon_that_is_cut_off_refuses_keys_after_the_bound() {
    let (fleet, link, _runtime) = spawn_with_store_link(1, STRICT_TERMS);
    cut(&link);
    fleet.platform.write_config(&config_with_accounts(9, &[KEY], 0, 0));
    let mut refusal = None;
    eventually("the removed key is refused", || {
        let answer = call_with_key(&fleet, 0, SAFE_PREFIX, Some(FORMER_KEY), "probe");
        refusal = (answer.status != 200).then_some(answer);
        refusal.is_some()
    });
    let refusal = refusal.expect("refusal");
    assert_eq!(refusal.status, 503);
    assert!(refusal.headers.contains_key("retry-after"), "no retry-after header");
    assert!(String::from_utf8_lossy(&refusal.body).contains("unconfirmed"), "{refusal:?}");
    assert_eq!(call_with_key(&fleet, 0, SAFE_PREFIX, Some(FORMER_KEY), "late").status, 503);
    assert_eq!(fleet.run_count("late"), 0);
    // The daemon can't know that a newer revision has not added a key.
    assert_eq!(call_with_key(&fleet, 0, SAFE_PREFIX, Some(OTHER_KEY), "unknown").status, 503);
    // Requests that no revision can revoke are served as before.
    assert_eq!(call_with_key(&fleet, 0, SAFE_PREFIX, None, "without").status, 200);
    assert_eq!(call_with_key(&fleet, 0, "/open/", Some(FORMER_KEY), "public").status, 200);
    link.heal();
    eventually("the kept key is served", || {
        call_with_key(&fleet, 0, SAFE_PREFIX, Some(KEY), "healed").status == 200
    });
    assert_eq!(call_with_key(&fleet, 0, SAFE_PREFIX, Some(FORMER_KEY), "gone").status, 401);
}

/// A daemon that resumes after a suspension must not serve a key by what it knew before, not even
/// for the first request.
#[test]
fn a_suspended_daemon_serves_no_removed_key_when_it_resumes() {
    let (fleet, link, _runtime) = spawn_with_store_link(1, STRICT_TERMS);
    cut(&link);
    fleet.daemons[0].freeze().expect("freeze");
    fleet.platform.write_config(&config_with_accounts(9, &[KEY], 0, 0));
    std::thread::sleep(PAST_BOUND);
    fleet.daemons[0].thaw().expect("thaw");
    assert_eq!(call_with_key(&fleet, 0, SAFE_PREFIX, Some(FORMER_KEY), "resumed").status, 503);
    assert_eq!(fleet.run_count("resumed"), 0);
}

/// Without the term, daemons that are cut off must go on serving.
#[test]
fn a_daemon_that_is_cut_off_keeps_serving_where_revocations_have_no_bound() {
    let (fleet, link, _runtime) = spawn_with_store_link(1, TERMS);
    cut(&link);
    std::thread::sleep(PAST_BOUND);
    assert_eq!(call_with_key(&fleet, 0, SAFE_PREFIX, Some(KEY), "after").status, 200);
}

/// A daemon that lost the store alone must learn from the others that no key was removed.
#[test]
fn a_daemon_without_the_store_serves_keys_as_the_others_confirm_them() {
    let (fleet, link, _runtime) = spawn_with_store_link(3, STRICT_TERMS);
    cut(&link);
    fleet.platform.write_config(&config_with_accounts(9, &[KEY], 0, 0));
    std::thread::sleep(PAST_BOUND);
    assert_eq!(call_with_key(&fleet, 2, SAFE_PREFIX, Some(KEY), "kept").status, 200);
    assert_eq!(call_with_key(&fleet, 2, SAFE_PREFIX, Some(FORMER_KEY), "gone").status, 401);
}

/// With the term or without it, a daemon that lost the store alone must know from the others that no
/// newer configuration has to be in force.
#[test_case(TERMS; "without a bound on revocations")]
#[test_case(STRICT_TERMS; "with a bound on revocations")]
fn a_daemon_without_the_store_asks_the_others_how_old_its_configuration_is(terms: &str) {
    let (fleet, link, _runtime) = spawn_with_store_link(2, terms);
    cut(&link);
    std::thread::sleep(Duration::from_secs(4));
    let revocation = fleet.state(1)["entry"]["revocation"].clone();
    assert!(revocation["requests"]["last"].is_object(), "{revocation}");
    // Two seconds, as the deployment states no other deadline, and a request on its way.
    let age_us = revocation["age_us"].as_u64().expect("age");
    assert!(age_us <= 2_300_000, "{revocation}");
}

#[test]
fn a_configuration_with_one_key_for_two_accounts_is_refused_and_no_key_is_shown() {
    let fleet = spawn_with_accounts(0, 0);
    fleet.platform.write_config(&config_with_accounts(9, &["another key"], 0, 0));
    fleet.platform.write_config(&config_with_accounts(10, &[OTHER_KEY], 0, 0));
    eventually("the next configuration is in force", || {
        call_with_key(&fleet, 0, SAFE_PREFIX, Some(OTHER_KEY), "after").status == 200
    });
    for index in 0..3 {
        let state = fleet.state(index).to_string();
        assert!(!state.contains("another key") && !state.contains(OTHER_KEY), "{state}");
    }
}

/// The account makes 200 requests against a burst of 60. Requests over the quota are refused
/// at once, with the time after which to retry.
#[test]
fn an_account_gets_its_quota_over_all_daemons_together() {
    let fleet = spawn_with_accounts(1, 60);
    // New quota windows count as used up, so that few requests may pass at first.
    let mut passed = 0;
    for number in 0..200 {
        let answer =
            call_with_key(&fleet, number % 3, SAFE_PREFIX, Some(KEY), &format!("of-{number}"));
        match answer.status {
            200 => passed += 1,
            429 => assert!(answer.headers.contains_key("retry-after"), "no retry-after header"),
            other => panic!("status {other}"),
        }
    }
    // The rate of one request a second allows at most these, if the test takes a minute.
    let allowed_by_rate = 60;
    assert!(passed <= allowed_by_rate + 60, "{passed} passed");
    assert_eq!(call_with_key(&fleet, 0, "/open/", Some(KEY), "not-counted").status, 200);
}

/// Requests without a key on a route that is not public come from targets, which must not wait
/// behind clients; those of clients get no slot beyond the limit.
#[test]
fn slots_are_reserved_for_requests_without_a_key_only() {
    let fleet = spawn_with_accounts(1_000, 1_000);
    fleet.targets.iter().for_each(|target| target.set_service_time(Duration::from_millis(200)));
    let reserved = || -> u64 {
        let of = |index| fleet.state(index)["guard"]["targets"][0]["nested"]["reserved"].as_u64();
        (0..3).map(|index| of(index).expect("reserved slots")).sum()
    };
    for number in 0..6 {
        call_with_key(&fleet, 0, SAFE_PREFIX, Some(KEY), &format!("client{number}"));
        assert_eq!(reserved(), 0);
    }
    let mut numbers = 0..;
    eventually("slots reserved", || {
        let number: u32 = numbers.next().expect("number");
        call_with_key(&fleet, 0, SAFE_PREFIX, None, &format!("nested{number}"));
        reserved() > 0
    });
}

/// The requests of all daemons are summed, and guards know the accounts of the calls that they
/// get; calls of targets, which have no key, belong to none.
#[test]
fn operators_and_guards_see_the_accounts_of_requests() {
    let fleet = spawn_with_accounts(0, 0);
    for number in 0..30 {
        let id = format!("counted-{number}");
        assert_eq!(call_with_key(&fleet, number % 3, SAFE_PREFIX, Some(KEY), &id).status, 200);
    }
    assert_eq!(call_with_key(&fleet, 0, SAFE_PREFIX, None, "inner").status, 200);
    let admin = fleet.daemons[0].endpoints().admin.to_string();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_railspan"))
        .args(["accounts", "--daemon", &admin, "--json"])
        .output()
        .expect("run");
    let demand: Value = serde_json::from_slice(&output.stdout).expect("json");
    assert_eq!((&demand["daemons"], &demand["answered"]), (&json!(3), &json!(3)), "{demand}");
    assert_eq!(demand["accounts"].as_array().map(Vec::len), Some(1), "{demand}");
    let riga = &demand["accounts"][0];
    assert_eq!((&riga["account"], &riga["answered_share"]), (&json!("riga"), &json!(1.0)));
    let mut seen = Vec::new();
    for index in 0..3 {
        let targets = fleet.state(index)["guard"]["targets"].clone();
        let accounts = targets.as_array().expect("targets").iter();
        let accounts = accounts.filter_map(|target| target["accounts"]["highest"].as_array());
        seen.extend(accounts.flatten().map(|account| account["account"].clone()));
    }
    assert!(!seen.is_empty() && seen.iter().all(|account| *account == "riga"), "{seen:?}");
}

/// A request that reaches no target must not use the quota: here four times as many as the quota
/// permits in a window. A request that a target received and declined uses it.
#[test]
fn a_request_that_reaches_no_target_does_not_use_the_quota() {
    let fleet = spawn_with_accounts(1, 60);
    let status = |id: String| call_with_key(&fleet, 0, SAFE_PREFIX, Some(KEY), &id).status;
    for (index, target) in fleet.targets.iter().enumerate() {
        assert_eq!(target.drain(fleet.control(index)).expect("drain"), 200);
    }
    // What counts as used at the start of the holders has to leave their windows.
    std::thread::sleep(Duration::from_secs(6));
    eventually("no target is left", || status("drained".to_owned()) == 503);
    for number in 0..260 {
        assert_eq!(status(format!("not-run-{number}")), 503);
    }
}

/// The work of a target that declines a request is part of what the quota pays for.
#[test]
fn a_request_that_a_target_declines_uses_the_quota() {
    let fleet = spawn_with_accounts(1, 60);
    for target in &fleet.targets {
        target.set_behaviour(HostedBehaviour::Decline);
    }
    let statuses: Vec<u16> = (0..200)
        .map(|number| {
            let id = format!("declined-{number}");
            call_with_key(&fleet, 0, SAFE_PREFIX, Some(KEY), &id).status
        })
        .collect();
    assert!(statuses.iter().all(|status| matches!(status, 429 | 503)), "{statuses:?}");
    assert!(statuses.contains(&429), "the quota was never used up");
}
