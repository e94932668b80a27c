//! Daemons on the users' platform: signals, targets that drain or leave, changes of the
//! configuration, and starts while the store is down.

mod common;

use std::time::Duration;

use common::eventually;
use common::hosted::{HostedFleet, SAFE_PREFIX, UNSAFE_PREFIX, platform_config};
use railspan_standins::{HostedBehaviour, HostedTarget, PlatformFaults};

const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Time between the start of a call and a signal that must not interrupt it.
const SIGNAL_DELAY: Duration = Duration::from_millis(300);

#[test]
fn a_hang_up_signal_interrupts_no_call() {
    let fleet = HostedFleet::spawn(1, Duration::from_secs(1));
    let answer = std::thread::scope(|scope| {
        let call = scope.spawn(|| fleet.call(0, UNSAFE_PREFIX, "under-way"));
        std::thread::sleep(SIGNAL_DELAY);
        fleet.daemons[0].request_reload().expect("signal");
        call.join().expect("thread")
    });
    assert_eq!(answer.expect("answer").status, 200);
    assert_eq!(fleet.readiness_status(0), 200);
}

#[test]
fn a_stopping_daemon_finishes_its_calls_and_serves_those_that_still_arrive() {
    let mut fleet = HostedFleet::spawn(2, Duration::from_secs(1));
    std::thread::scope(|scope| {
        let first = scope.spawn(|| fleet.call(0, UNSAFE_PREFIX, "before"));
        std::thread::sleep(SIGNAL_DELAY);
        fleet.daemons[0].terminate().expect("signal");
        eventually("the daemon is not ready", || fleet.readiness_status(0) == 503);
        let after = fleet.call(0, SAFE_PREFIX, "after").expect("answer");
        assert_eq!((after.status, after.headers["connection"].as_str()), (200, "close"));
        assert_eq!(first.join().expect("thread").expect("answer").status, 200);
    });
    let exit_status = fleet.daemons[0].wait(Duration::from_secs(6)).expect("wait");
    assert!(exit_status.is_some_and(|status| status.success()));
}

#[test]
fn a_target_gets_no_calls_after_its_drain_is_acknowledged() {
    let fleet = HostedFleet::spawn(2, SERVICE_TIME);
    assert_eq!(fleet.targets[0].drain(fleet.control(0)).expect("drain"), 200);
    let before = fleet.targets[0].runs().len();
    // A heartbeat from before the drain arrives late.
    assert_eq!(fleet.targets[0].send_stale_heartbeat(fleet.control(0)).expect("beat"), 200);
    for number in 0..20 {
        let answer =
            fleet.call(number % 2, SAFE_PREFIX, &format!("drained{number}")).expect("answer");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(fleet.targets[0].runs().len(), before);
}

#[test]
fn a_late_heartbeat_does_not_bring_back_a_target_that_left() {
    let fleet = HostedFleet::spawn(2, SERVICE_TIME);
    assert_eq!(fleet.targets[1].leave(fleet.control(1)).expect("leave"), 200);
    assert_eq!(fleet.targets[1].send_stale_heartbeat(fleet.control(1)).expect("beat"), 200);
    for number in 0..20 {
        let answer = fleet.call(number % 2, SAFE_PREFIX, &format!("left{number}")).expect("answer");
        assert_eq!(answer.status, 200);
    }
    assert!(fleet.targets[1].runs().is_empty());
}

#[test]
fn a_newer_configuration_comes_into_force_and_an_older_one_does_not() {
    let fleet = HostedFleet::spawn(2, SERVICE_TIME);
    fleet.platform.write_config(&platform_config(12, "nobody"));
    let refused =
        |index| fleet.call(index, SAFE_PREFIX, "moved").is_some_and(|answer| answer.status == 503);
    eventually("the new configuration is in force", || refused(0) && refused(1));
    fleet.platform.write_config(&platform_config(9, common::hosted::SERVICE));
    std::thread::sleep(Duration::from_secs(1));
    assert!(refused(0) && refused(1));
}

#[test]
fn a_malformed_configuration_leaves_the_current_one_in_force() {
    let fleet = HostedFleet::spawn(1, SERVICE_TIME);
    fleet.platform.write_config("{\"version\":\"r99\",\"virtual_hosts\":[{\"host\"");
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(fleet.call(0, SAFE_PREFIX, "still").expect("answer").status, 200);
    fleet.platform.write_config(&platform_config(100, "nobody"));
    eventually("the next valid configuration is in force", || {
        fleet.call(0, SAFE_PREFIX, "next").is_some_and(|answer| answer.status == 503)
    });
}

#[test]
fn a_daemon_that_restarts_while_the_store_is_down_serves() {
    let mut fleet = HostedFleet::spawn(3, SERVICE_TIME);
    fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let place = *fleet.daemons[2].endpoints();
    fleet.daemons[2].kill().expect("kill");
    fleet.daemons[2] = fleet.start_daemon_at(2, &place);
    eventually("the restarted daemon serves", || fleet.readiness_status(2) == 200);
    assert_eq!(fleet.call(2, SAFE_PREFIX, "back").expect("answer").status, 200);
}

#[test]
fn a_store_that_dropped_its_history_is_read_again_as_a_whole() {
    let fleet = HostedFleet::spawn(1, SERVICE_TIME);
    fleet.platform.set_faults(PlatformFaults { history_gone: true, ..PlatformFaults::default() });
    fleet.platform.write_config(&platform_config(20, "nobody"));
    eventually("the new configuration is in force", || {
        fleet.call(0, SAFE_PREFIX, "gone").is_some_and(|answer| answer.status == 503)
    });
}

#[test]
fn a_daemon_discovers_its_target_without_a_heartbeat() {
    let mut fleet = HostedFleet::spawn(2, SERVICE_TIME);
    fleet.daemons[0].kill().expect("kill");
    // The target keeps sending its heartbeats to the old address, where none arrives. The
    // daemon asks the address in its settings which target it is.
    fleet.daemons[0] = fleet.start_daemon_with_target(0, fleet.targets[0].address());
    fleet.wait_for_targets(0, 2);
    assert_eq!(fleet.call(0, SAFE_PREFIX, "found").expect("answer").status, 200);
}

#[test]
fn entries_learn_that_a_host_became_slow() {
    let fleet = HostedFleet::spawn(2, SERVICE_TIME);
    for number in 0..20 {
        assert_eq!(
            fleet.call(0, SAFE_PREFIX, &format!("warm{number}")).expect("answer").status,
            200
        );
    }
    fleet.targets[1].set_reported_slowness(400);
    eventually("the entry knows the slowness", || {
        // A guard sends health checks, which return the slowness, only to targets in use.
        drop(fleet.call(1, SAFE_PREFIX, "use"));
        fleet.reported_slowness(0, "i-1") == Some(400)
    });
}

#[test]
fn a_late_heartbeat_does_not_add_a_target_that_left_before_it_was_known() {
    let fleet = HostedFleet::spawn(1, SERVICE_TIME);
    let unknown_target =
        HostedTarget::spawn("grillas", "i-stranger", SERVICE_TIME).expect("target");
    assert_eq!(unknown_target.leave(fleet.control(0)).expect("leave"), 200);
    assert_eq!(unknown_target.send_stale_heartbeat(fleet.control(0)).expect("beat"), 200);
    let state = fleet.state(0);
    let known = state["guard"]["targets"].as_array().expect("targets");
    assert_eq!(known.len(), 1, "the late heartbeat added a target: {known:?}");
}

#[test]
fn a_target_whose_address_now_belongs_to_another_is_removed() {
    let fleet = HostedFleet::spawn(1, SERVICE_TIME);
    fleet.targets[0].set_behaviour(HostedBehaviour::OtherTarget);
    assert_eq!(fleet.call(0, SAFE_PREFIX, "moved").expect("answer").status, 503);
    eventually("the entry knows no target", || {
        fleet.state(0)["entry"]["services"][common::hosted::SERVICE].is_null()
    });
}

/// A supervisor may send a stop or hang-up signal as soon as the daemon has printed its
/// addresses. If the daemon handled signals only later, the default action of the signal
/// would kill it.
#[test]
fn a_daemon_handles_signals_as_soon_as_it_prints_its_addresses() {
    let fleet = HostedFleet::spawn(1, SERVICE_TIME);
    let mut daemons: Vec<_> = (1..=12)
        .map(|index| {
            let daemon = fleet.start_daemon(index);
            daemon.request_reload().expect("signal");
            daemon.terminate().expect("signal");
            daemon
        })
        .collect();
    for daemon in &mut daemons {
        let exit_status = daemon.wait(Duration::from_secs(20)).expect("wait");
        assert!(exit_status.is_some_and(|status| status.success()), "{exit_status:?}");
    }
}
