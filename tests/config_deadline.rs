//! An acknowledged configuration is in force within the stated deadline at all daemons that can know
//! it, and no proper request is denied for want of it, whoever can't read the store for the others.

mod common;

use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use common::eventually;
use common::hosted::SAFE_PREFIX;
use common::linked_fleet::{CONFIG_DEADLINE, LinkedFleet, STABILITY};
use railspan_standins::LinkDirection;
use test_case::test_case;

const HOSTS: usize = 13;

/// Time after its acknowledgement in which an evacuation has to be in force, as the users' platform
/// states it.
const EVACUATION_DEADLINE: Duration = Duration::from_secs(5);

/// Held by each test, so that no two fleets run at the same time.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Time after the end of a disruption at which no host is disrupted any more.
const SETTLED: Duration = Duration::from_millis(3_200);

#[test_case(Duration::ZERO; "at once")]
#[test_case(SETTLED; "when they count as sound again")]
#[test_case(Duration::from_secs(5); "some seconds later")]
fn a_change_is_in_force_in_time_after_all_connections_to_the_store_fell_silent(after: Duration) {
    let _alone = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = LinkedFleet::spawn(HOSTS);
    let all: Vec<usize> = (0..HOSTS).collect();
    fleet.put_change_in_force();
    for host in &fleet.hosts {
        host.store.silence();
    }
    sleep(after);
    let change = fleet.change_config();
    let took = fleet.time_to_force(&all, change);
    let limit = STABILITY.saturating_sub(after) + CONFIG_DEADLINE;
    assert!(took <= limit, "in force everywhere after {took:?}, not within {limit:?}");
}

#[test_case(Duration::from_millis(200); "soon after a change")]
#[test_case(Duration::from_millis(7_500); "long after a change")]
fn a_change_is_in_force_in_time_after_the_store_was_silent(after_change: Duration) {
    let _alone = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = LinkedFleet::spawn(HOSTS);
    let all: Vec<usize> = (0..HOSTS).collect();
    fleet.put_change_in_force();
    sleep(after_change);
    for host in &fleet.hosts {
        host.store.mute(true);
    }
    sleep(Duration::from_millis(4_500));
    for host in &fleet.hosts {
        host.store.mute(false);
    }
    sleep(SETTLED);
    let change = fleet.change_config();
    let took = fleet.time_to_force(&all, change);
    assert!(took <= CONFIG_DEADLINE, "in force everywhere after {took:?}");
}

/// How the only daemon that follows the store stops reading it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FollowerLoss {
    Cut,
    Silent,
    Frozen,
    Killed,
}

#[test_case(FollowerLoss::Cut; "cut off from the store")]
#[test_case(FollowerLoss::Silent; "silent connections")]
#[test_case(FollowerLoss::Frozen; "suspended")]
#[test_case(FollowerLoss::Killed; "killed")]
fn a_change_is_in_force_in_time_although_the_only_follower_of_the_store_is_lost(
    loss: FollowerLoss,
) {
    let _alone = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = LinkedFleet::spawn(HOSTS);
    // The first host keeps the store, all others lose it and get it back.
    let others: Vec<usize> = (1..HOSTS).collect();
    for host in &others {
        fleet.turn_away(*host, true);
    }
    let all_are_lost =
        || others.iter().filter(|host| fleet.has_lost_store(**host)).count() + 1 >= HOSTS;
    eventually("the others have lost the store", all_are_lost);
    for host in &others {
        fleet.turn_away(*host, false);
    }
    sleep(SETTLED);
    let link = &fleet.hosts[0].store;
    match loss {
        FollowerLoss::Cut => {
            link.cut(LinkDirection::Inbound, true);
            link.cut(LinkDirection::Outbound, true);
        }
        FollowerLoss::Silent => link.silence(),
        FollowerLoss::Frozen => fleet.fleet.daemons[0].freeze().expect("freeze"),
        FollowerLoss::Killed => fleet.fleet.daemons[0].kill().expect("kill"),
    }
    let change = fleet.change_config();
    let took = fleet.time_to_force(&others, change);
    if loss == FollowerLoss::Frozen {
        fleet.fleet.daemons[0].thaw().expect("thaw");
    }
    assert!(took <= CONFIG_DEADLINE, "in force at the others after {took:?}");
}

#[test]
fn an_evacuation_is_known_in_time_after_all_connections_to_the_store_fell_silent() {
    let _alone = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = LinkedFleet::spawn(HOSTS);
    let all: Vec<usize> = (0..HOSTS).collect();
    fleet.put_change_in_force();
    for host in &fleet.hosts {
        host.store.silence();
    }
    let started = Instant::now();
    fleet.fleet.platform.write_operator_row("evacuate/ba-norte-1", Some(b"{}"));
    let knows = |host: &usize| fleet.fleet.state(*host)["entry"]["evacuated"][0] == "ba-norte-1";
    eventually("all know the evacuation", || all.iter().all(knows));
    let took = started.elapsed();
    assert!(took <= STABILITY + EVACUATION_DEADLINE, "known everywhere after {took:?}");
}

#[test]
fn a_request_is_not_denied_for_want_of_a_configuration_that_may_exist() {
    let _alone = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = LinkedFleet::spawn(2);
    let call = |id: &str| fleet.fleet.call(0, "/added/", id).expect("answer");
    assert_eq!(call("known").status, 404, "a route that no configuration has");
    for host in 0..2 {
        fleet.turn_away(host, true);
    }
    sleep(CONFIG_DEADLINE);
    let refusal = call("outdated");
    assert_eq!(refusal.status, 503, "a route that a newer configuration may have");
    assert!(refusal.headers.contains_key("retry-after"), "{refusal:?}");
    // What the configuration in force allows is served as before: here no target is left for it.
    let served = fleet.fleet.call(0, SAFE_PREFIX, "served").expect("answer");
    assert_eq!(served.status, 503);
    for host in 0..2 {
        fleet.turn_away(host, false);
    }
    fleet.change_config();
    eventually("it is known again that there is no such route", || {
        fleet.fleet.call(0, "/added/", "later").is_some_and(|answer| answer.status == 404)
    });
}
