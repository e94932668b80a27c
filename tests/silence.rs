//! Connections between daemons that fall silent without a reset.

mod common;

use std::time::Duration;

use common::eventually;
use common::hosted::{HostedFleet, SAFE};
use railspan_standins::FaultyLink;

const WORK: Duration = Duration::from_millis(5);

#[test]
fn a_silent_connection_to_a_guard_is_given_up() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let guard = FaultyLink::bind(runtime.handle(), false).expect("link");
    let peer = FaultyLink::bind(runtime.handle(), true).expect("link");
    let mut fleet = HostedFleet::spawn(2, WORK);
    fleet.daemons[1].kill().expect("kill");
    fleet.daemons[1] = fleet.start_daemon_behind(1, guard.address(), peer.address());
    guard.set_upstream(fleet.daemons[1].endpoints().guard);
    peer.set_upstream(fleet.daemons[1].endpoints().peer);
    fleet.targets[1].send_heartbeats_to(fleet.control(1));
    fleet.wait_known(0, 2);
    assert_eq!(fleet.targets[0].leave(fleet.control(0)).expect("leave"), 200);
    fleet.wait_known(0, 1);
    assert_eq!(fleet.call(0, SAFE, "before").expect("answer").status, 200);
    guard.silence();
    let lost = fleet.call_within(0, SAFE, "lost", 800).expect("answer");
    assert_eq!(lost.status, 504, "a silent connection answered");
    let mut number = 0;
    eventually("calls on a new connection", || {
        number += 1;
        let answer = fleet.call_within(0, SAFE, &format!("after{number}"), 800);
        answer.is_some_and(|answer| answer.status == 200)
    });
}
