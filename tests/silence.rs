//! A connection between two daemons may carry no more bytes without being reset, as after a
//! silent network failure: an entry must not wait on it for good.

mod common;

use std::time::Duration;

use common::eventually;
use common::hosted::{HostedFleet, SAFE_PREFIX};
use railspan_standins::FaultyLink;

const SERVICE_TIME: Duration = Duration::from_millis(5);

#[test]
fn a_silent_connection_to_a_guard_is_replaced() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let guard_link = FaultyLink::bind(runtime.handle(), false).expect("link");
    let peer_link = FaultyLink::bind(runtime.handle(), true).expect("link");
    let mut fleet = HostedFleet::spawn(2, SERVICE_TIME);
    fleet.daemons[1].kill().expect("kill");
    fleet.daemons[1] = fleet.start_daemon_advertising(1, guard_link.address(), peer_link.address());
    guard_link.set_upstream(fleet.daemons[1].endpoints().guard);
    peer_link.set_upstream(fleet.daemons[1].endpoints().peer);
    fleet.targets[1].send_heartbeats_to(fleet.control(1));
    fleet.wait_for_targets(0, 2);
    // Only the target behind the link is left.
    assert_eq!(fleet.targets[0].leave(fleet.control(0)).expect("leave"), 200);
    fleet.wait_for_targets(0, 1);
    assert_eq!(fleet.call(0, SAFE_PREFIX, "before").expect("answer").status, 200);
    guard_link.silence();
    let lost = fleet.call_with_deadline(0, SAFE_PREFIX, "lost", 800).expect("answer");
    assert_eq!(lost.status, 504, "a silent connection answered");
    let mut number = 0;
    eventually("calls are served on a new connection", || {
        number += 1;
        let answer = fleet.call_with_deadline(0, SAFE_PREFIX, &format!("after{number}"), 800);
        answer.is_some_and(|answer| answer.status == 200)
    });
}
