//! Classification of routes by who calls them: a route of clients must never get the slots that
//! are reserved for the calls of targets.

use railspan::{
    AdvertisedTarget, CentreName, DaemonIncarnation, FleetView, MemberRecord, MemberState,
    MicroTime, RouteCall, RouteClassifier, ServiceName, ServiceShares,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Hosts of each service in the first load of `docs/design/hard-load.md`.
const CHAINED: [(&str, usize); 4] = [("shares", 33), ("payouts", 24), ("ledgers", 8), ("pools", 4)];

/// Time between two calls of a route at one guard.
const INTERVAL: MicroTime = MicroTime::from_millis(40);

/// Builds a fleet whose hosts are spread over four data centres; returns its services by host.
fn fleet(services: &[(&str, usize)]) -> (FleetView, Vec<ServiceName>) {
    let hosts: Vec<ServiceName> = services
        .iter()
        .flat_map(|(service, count)| std::iter::repeat_n(ServiceName::from(*service), *count))
        .collect();
    let address = "127.0.0.1:1".parse().expect("address");
    let members = hosts.iter().enumerate().map(|(index, service)| MemberRecord {
        host: format!("host-{index}").as_str().into(),
        data_centre: CentreName::from(["one", "two", "three", "four"][index % 4]),
        incarnation: DaemonIncarnation(1),
        version: 1,
        state: MemberState::Alive,
        guard: address,
        peer: address,
        caller: address,
        admin: address,
        targets: vec![AdvertisedTarget {
            service: service.clone(),
            name: format!("target-{index}").as_str().into(),
            slots: 6,
            ready: true,
        }],
        revision: 1,
        store_lost: false,
    });
    (FleetView { members: members.collect() }, hosts)
}

fn classifier(services: &[(&str, usize)]) -> (RouteClassifier, Vec<ServiceName>) {
    let (view, hosts) = fleet(services);
    let mut classifier = RouteClassifier::default();
    classifier.set_shares(ServiceShares::of(&view));
    (classifier, hosts)
}

fn call<'a>(route: &'a str, service: &'a ServiceName, busy: bool) -> RouteCall<'a> {
    RouteCall { route, caller_service: Some(service), caller_busy: busy, nested: false }
}

/// Records `count` calls that `next` makes; returns after how many of them the route was nested.
fn nested_after<'a>(
    classifier: &mut RouteClassifier,
    count: u64,
    mut next: impl FnMut(u64) -> RouteCall<'a>,
) -> Vec<u64> {
    let is_nested = |number: &u64| {
        let now = MicroTime::from_millis(60_000) + MicroTime(number * INTERVAL.0);
        classifier.record(now, &next(*number)).nested
    };
    (1..=count).filter(is_nested).collect()
}

#[test_case("shares", 10..=20; "service on half of the hosts")]
#[test_case("ledgers", 10..=20; "service on few hosts")]
fn a_route_that_only_targets_of_one_service_call_is_found_within_some_calls(
    service: &str,
    expected: std::ops::RangeInclusive<u64>,
) {
    let (mut classifier, _) = classifier(&CHAINED);
    let caller = ServiceName::from(service);
    let found = nested_after(&mut classifier, 100, |_| call("order", &caller, true));
    assert!(expected.contains(&found[0]), "found after {} calls", found[0]);
    assert_eq!(found.len() as u64, 101 - found[0], "lost although no call disproves it");
}

/// Clients spread over the hosts, and their calls often arrive while the target is busy.
#[test]
fn a_route_that_clients_call_on_all_hosts_is_never_nested() {
    for seed in 0..20 {
        let (mut classifier, hosts) = classifier(&CHAINED);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let found = nested_after(&mut classifier, 2_000, |_| {
            call("view", &hosts[rng.random_range(0..hosts.len())], true)
        });
        assert!(found.is_empty(), "seed {seed}: nested at {found:?}");
    }
}

/// A client may use the entries of one service's hosts alone, beside targets that are idle at times.
#[test]
fn a_route_that_clients_call_beside_idle_targets_is_never_nested() {
    let (mut classifier, _) = classifier(&CHAINED);
    let caller = ServiceName::from("pools");
    let found =
        nested_after(&mut classifier, 2_000, |number| call("summary", &caller, number % 10 != 3));
    assert!(found.is_empty(), "nested at {found:?}");
}

/// A call from a daemon without a target is always a client's.
#[test]
fn a_call_from_a_host_without_a_target_disproves_a_finding() {
    let (mut classifier, _) = classifier(&CHAINED);
    let caller = ServiceName::from("shares");
    let without = RouteCall { caller_service: None, ..call("order", &caller, false) };
    let found = nested_after(&mut classifier, 60, |number| {
        if number == 50 { without } else { call("order", &caller, true) }
    });
    assert_eq!(found.last(), Some(&49));
}

/// Clients make one in five calls, so that some sequences of calls without them are as long as
/// the evidence that a route needs.
#[test]
fn a_route_that_targets_and_clients_call_is_not_nested_after_the_first_seconds() {
    for seed in 0..20 {
        let (mut classifier, hosts) = classifier(&CHAINED);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let caller = ServiceName::from("shares");
        let found = nested_after(&mut classifier, 5_000, |_| {
            let client = rng.random_ratio(1, 5);
            let host = rng.random_range(0..hosts.len());
            if client {
                call("both", &hosts[host], rng.random())
            } else {
                call("both", &caller, true)
            }
        });
        let last = found.last().copied().unwrap_or_default();
        assert!(found.len() <= 30 && last < 400, "seed {seed}: nested at {found:?}");
    }
}

/// Where all hosts are of one service, every call comes from them, whoever makes it.
#[test]
fn no_route_of_a_deployment_with_one_service_is_nested() {
    let (mut classifier, _) = classifier(&[("only", 12)]);
    let caller = ServiceName::from("only");
    let found = nested_after(&mut classifier, 5_000, |_| call("any", &caller, true));
    assert!(found.is_empty(), "nested at {found:?}");
}

/// In a data centre with hosts of one service alone, clients' calls come from that service too.
#[test]
fn the_share_of_the_data_centre_counts_if_it_is_larger() {
    let (mut view, _) = fleet(&[("shares", 4), ("payouts", 12)]);
    for (index, member) in view.members.iter_mut().enumerate() {
        member.data_centre = CentreName::from(if index < 4 { "small" } else { "large" });
    }
    let mut classifier = RouteClassifier::default();
    classifier.set_shares(ServiceShares::of(&view));
    let caller = ServiceName::from("shares");
    let found = nested_after(&mut classifier, 1_000, |_| call("order", &caller, true));
    assert!(found.is_empty(), "nested at {found:?}");
}

/// A guard that has just started has no evidence, while the entries know other guards' findings.
#[test]
fn a_restarted_guard_takes_over_a_finding_until_a_call_disproves_it() {
    let (mut classifier, _) = classifier(&CHAINED);
    let (caller, other) = (ServiceName::from("shares"), ServiceName::from("ledgers"));
    let reported = RouteCall { nested: true, ..call("order", &caller, true) };
    let disproof = RouteCall { nested: true, ..call("order", &other, true) };
    let found = nested_after(&mut classifier, 40, |number| match number {
        1 => call("order", &caller, true),
        20 => disproof,
        _ => reported,
    });
    assert_eq!(found, (2..20).collect::<Vec<_>>());
}

/// A target may make a call for a run that its guard no longer waits for, which seems to come
/// from a client.
#[test]
fn a_route_is_found_again_some_seconds_after_one_call_that_seemed_to_disprove_it() {
    let (mut classifier, _) = classifier(&CHAINED);
    let caller = ServiceName::from("shares");
    let mut changes = 0;
    let found: Vec<u64> = (1..=400)
        .filter(|number| {
            let call = call("order", &caller, *number != 100);
            let finding = classifier.record(MicroTime(number * INTERVAL.0), &call);
            changes += u32::from(finding.changed);
            finding.nested
        })
        .collect();
    assert_eq!(changes, 3, "found, disproved and found again: nested at {found:?}");
    let again = found.iter().find(|number| **number > 100).expect("found again");
    assert!((200..300).contains(again), "found again at {again}");
}

#[test]
fn memory_is_bounded_whatever_the_routes_are_called() {
    let (mut classifier, hosts) = classifier(&CHAINED);
    let routes: Vec<String> = (0..5_000).map(|number| format!("route-{number}")).collect();
    for (number, route) in routes.iter().enumerate() {
        let now = MicroTime(number as u64);
        classifier.record(now, &call(route, &hosts[0], true));
        classifier.record(now, &call("kept", &hosts[0], true));
    }
    assert!(classifier.len() <= 256);
    assert!(classifier.is_nested(MicroTime(5_000), "kept"));
}
