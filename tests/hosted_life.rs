//! Daemons on the users' platform over their life: stops, reloads, targets
//! that leave, configurations, a store that is away.

mod common;

use std::time::Duration;

use common::eventually;
use common::hosted::{HostedFleet, SAFE, UNSAFE, config};
use railspan_standins::{HostedBehaviour, HostedTarget, PlatformFaults};

const WORK: Duration = Duration::from_millis(5);

/// Time in which a call under way is met by a signal.
const UNDER_WAY: Duration = Duration::from_millis(300);

#[test]
fn a_hang_up_signal_cuts_no_call() {
    let fleet = HostedFleet::spawn(1, Duration::from_secs(1));
    let answer = std::thread::scope(|scope| {
        let call = scope.spawn(|| fleet.call(0, UNSAFE, "under-way"));
        std::thread::sleep(UNDER_WAY);
        fleet.daemons[0].request_reload().expect("signal");
        call.join().expect("thread")
    });
    assert_eq!(answer.expect("answer").status, 200);
    assert_eq!(fleet.ready(0), 200);
}

#[test]
fn a_stop_signal_lets_calls_end_and_serves_those_that_still_come() {
    let mut fleet = HostedFleet::spawn(2, Duration::from_secs(1));
    std::thread::scope(|scope| {
        let first = scope.spawn(|| fleet.call(0, UNSAFE, "before"));
        std::thread::sleep(UNDER_WAY);
        fleet.daemons[0].terminate().expect("signal");
        eventually("not ready", || fleet.ready(0) == 503);
        let after = fleet.call(0, SAFE, "after").expect("answer");
        assert_eq!((after.status, after.headers["connection"].as_str()), (200, "close"));
        assert_eq!(first.join().expect("thread").expect("answer").status, 200);
    });
    let ended = fleet.daemons[0].wait(Duration::from_secs(6)).expect("wait");
    assert!(ended.is_some_and(|status| status.success()));
}

#[test]
fn an_acknowledged_drain_is_the_last_a_target_hears_of() {
    let fleet = HostedFleet::spawn(2, WORK);
    assert_eq!(fleet.targets[0].drain(fleet.control(0)).expect("drain"), 200);
    let before = fleet.targets[0].runs().len();
    // A heartbeat from before the drain comes late.
    assert_eq!(fleet.targets[0].send_stale_heartbeat(fleet.control(0)).expect("beat"), 200);
    for number in 0..20 {
        let answer = fleet.call(number % 2, SAFE, &format!("drained{number}")).expect("answer");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(fleet.targets[0].runs().len(), before);
}

#[test]
fn a_target_that_left_stays_gone() {
    let fleet = HostedFleet::spawn(2, WORK);
    assert_eq!(fleet.targets[1].leave(fleet.control(1)).expect("leave"), 200);
    assert_eq!(fleet.targets[1].send_stale_heartbeat(fleet.control(1)).expect("beat"), 200);
    for number in 0..20 {
        let answer = fleet.call(number % 2, SAFE, &format!("left{number}")).expect("answer");
        assert_eq!(answer.status, 200);
    }
    assert!(fleet.targets[1].runs().is_empty());
}

#[test]
fn a_newer_configuration_comes_in_force_and_an_older_one_never() {
    let fleet = HostedFleet::spawn(2, WORK);
    fleet.platform.write_config(&config(12, "nobody"));
    let refused =
        |index| fleet.call(index, SAFE, "moved").is_some_and(|answer| answer.status == 503);
    eventually("the new configuration", || refused(0) && refused(1));
    fleet.platform.write_config(&config(9, common::hosted::SERVICE));
    std::thread::sleep(Duration::from_secs(1));
    assert!(refused(0) && refused(1));
}

#[test]
fn a_configuration_that_cannot_be_read_leaves_the_present_one_in_force() {
    let fleet = HostedFleet::spawn(1, WORK);
    fleet.platform.write_config("{\"version\":\"r99\",\"virtual_hosts\":[{\"host\"");
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(fleet.call(0, SAFE, "still").expect("answer").status, 200);
    fleet.platform.write_config(&config(100, "nobody"));
    eventually("the next good one", || {
        fleet.call(0, SAFE, "next").is_some_and(|answer| answer.status == 503)
    });
}

#[test]
fn a_daemon_started_while_the_store_is_away_is_found_and_serves() {
    let mut fleet = HostedFleet::spawn(3, WORK);
    fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let place = *fleet.daemons[2].endpoints();
    fleet.daemons[2].kill().expect("kill");
    fleet.daemons[2] = fleet.start_daemon_at(2, &place);
    eventually("the restarted daemon serves", || fleet.ready(2) == 200);
    assert_eq!(fleet.call(2, SAFE, "back").expect("answer").status, 200);
}

#[test]
fn a_store_that_dropped_its_history_is_read_anew() {
    let fleet = HostedFleet::spawn(1, WORK);
    fleet.platform.set_faults(PlatformFaults { history_gone: true, ..PlatformFaults::default() });
    fleet.platform.write_config(&config(20, "nobody"));
    eventually("the new configuration", || {
        fleet.call(0, SAFE, "gone").is_some_and(|answer| answer.status == 503)
    });
}

#[test]
fn a_daemon_asks_who_its_target_is_instead_of_waiting_for_a_heartbeat() {
    let mut fleet = HostedFleet::spawn(2, WORK);
    fleet.daemons[0].kill().expect("kill");
    // Its target's heartbeats go to the old address and never arrive.
    fleet.daemons[0] = fleet.start_daemon_beside(0, fleet.targets[0].address());
    fleet.wait_known(0, 2);
    assert_eq!(fleet.call(0, SAFE, "found").expect("answer").status, 200);
}

#[test]
fn entries_hear_at_once_that_a_host_became_slow() {
    let fleet = HostedFleet::spawn(2, WORK);
    for number in 0..20 {
        assert_eq!(fleet.call(0, SAFE, &format!("warm{number}")).expect("answer").status, 200);
    }
    fleet.targets[1].set_reported_slowness(400);
    eventually("the entry hears of it", || {
        // Only what is in use is watched.
        drop(fleet.call(1, SAFE, "use"));
        fleet.told_slowness(0, "i-1") == Some(400)
    });
}

#[test]
fn a_target_that_left_before_it_was_known_stays_gone() {
    let fleet = HostedFleet::spawn(1, WORK);
    let stranger = HostedTarget::spawn("grillas", "i-stranger", WORK).expect("target");
    assert_eq!(stranger.leave(fleet.control(0)).expect("leave"), 200);
    assert_eq!(stranger.send_stale_heartbeat(fleet.control(0)).expect("beat"), 200);
    let state = fleet.state(0);
    let known = state["guard"]["targets"].as_array().expect("targets");
    assert_eq!(known.len(), 1, "the late heartbeat brought it back: {known:?}");
}

#[test]
fn a_target_whose_address_is_anothers_is_given_up() {
    let fleet = HostedFleet::spawn(1, WORK);
    fleet.targets[0].set_behaviour(HostedBehaviour::OtherTarget);
    assert_eq!(fleet.call(0, SAFE, "moved").expect("answer").status, 503);
    eventually("no target is left", || {
        fleet.state(0)["entry"]["services"][common::hosted::SERVICE].is_null()
    });
}

/// Whoever knows where a daemon listens may tell it to stop, or that its settings
/// changed: it must handle signals by then. By the signal's default it would be gone.
#[test]
fn a_daemon_handles_signals_as_soon_as_it_says_where_it_listens() {
    let fleet = HostedFleet::spawn(1, WORK);
    let mut daemons: Vec<_> = (1..=12)
        .map(|index| {
            let daemon = fleet.start_daemon(index);
            daemon.request_reload().expect("signal");
            daemon.terminate().expect("signal");
            daemon
        })
        .collect();
    for daemon in &mut daemons {
        let ended = daemon.wait(Duration::from_secs(20)).expect("wait");
        assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
    }
}
