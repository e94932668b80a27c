//! Calls on the users' platform: what targets see, and what becomes of faults.

mod common;

use std::time::Duration;

use common::hosted::{HostedFleet, SAFE, SERVICE, UNSAFE};
use railspan_standins::{HostedBehaviour, HostedTarget};
use test_case::test_case;

const WORK: Duration = Duration::from_millis(5);

fn set_all(fleet: &HostedFleet, mood: &HostedBehaviour) {
    fleet.targets.iter().for_each(|target| target.set_behaviour(mood.clone()));
}

#[test]
fn a_call_reaches_its_target_unchanged_but_for_the_systems_own_headers() {
    let fleet = HostedFleet::spawn(3, WORK);
    for prefix in [SAFE, UNSAFE] {
        let id = format!("plain{}", prefix.trim_matches('/'));
        let answer = fleet.call(1, prefix, &id).expect("answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, format!("body of {id}").as_bytes());
        assert_eq!(answer.headers["x-server-signature"], "3e1b.07");
        assert_eq!(answer.headers["x-request-id"], id);
        let runs: Vec<_> = fleet.targets.iter().flat_map(HostedTarget::runs).collect();
        let run = runs.iter().find(|run| run.headers["x-request-id"] == id).expect("run");
        assert!(
            run.request_line.ends_with(&format!("{prefix}{id} HTTP/1.1")),
            "{}",
            run.request_line
        );
        assert_eq!(run.headers["host"], common::hosted::HOST);
        assert_eq!(run.headers["x-caller-service"], SERVICE);
        assert!(run.headers["x-target-instance"].starts_with("i-"));
        let left: u64 = run.headers["x-deadline-ms"].parse().expect("number");
        assert!(left <= 2_000, "left {left}");
    }
}

#[test_case(&HostedBehaviour::LoseResponse; "lost")]
#[test_case(&HostedBehaviour::ForeignRequestId; "under another id")]
#[test_case(&HostedBehaviour::Unsigned; "without its signature")]
#[test_case(&HostedBehaviour::Truncate; "cut short")]
fn an_answer_that_is_none_is_never_delivered_and_a_write_runs_once(mood: &HostedBehaviour) {
    let fleet = HostedFleet::spawn(2, WORK);
    set_all(&fleet, mood);
    for number in 0..4 {
        let id = format!("write{number}");
        let answer = fleet.call(0, UNSAFE, &id).expect("an answer of the system's own");
        assert!(matches!(answer.status, 502 | 504), "status {}", answer.status);
        assert_eq!(fleet.runs(&id), 1);
    }
}

#[test]
fn a_lost_read_is_tried_at_another_target() {
    let fleet = HostedFleet::spawn(2, WORK);
    fleet.targets[0].set_behaviour(HostedBehaviour::LoseResponse);
    let served = (0..6).filter(|number| {
        let answer = fleet.call(0, SAFE, &format!("read{number}"));
        answer.is_some_and(|answer| answer.status == 200)
    });
    assert_eq!(served.count(), 6);
}

#[test_case(&HostedBehaviour::Decline; "full")]
#[test_case(&HostedBehaviour::OtherTarget; "another target")]
fn what_no_target_ran_is_refused_with_a_time_to_come_back(mood: &HostedBehaviour) {
    let fleet = HostedFleet::spawn(2, WORK);
    set_all(&fleet, mood);
    let answer = fleet.call(0, UNSAFE, "refused").expect("answer");
    assert_eq!(answer.status, 503);
    let seconds: f64 = answer.headers["retry-after"].parse().expect("seconds");
    assert!(seconds > 0.0 && seconds < 2.0, "retry after {seconds}");
    assert!(answer.took < Duration::from_secs(1), "held back for {:?}", answer.took);
    assert_eq!(fleet.runs("refused"), 0);
}

#[test]
fn a_second_answer_on_a_connection_belongs_to_no_call() {
    let fleet = HostedFleet::spawn(1, WORK);
    fleet.targets[0].set_behaviour(HostedBehaviour::DuplicateResponse);
    for number in 0..10 {
        let id = format!("twice{number}");
        let answer = fleet.call(0, SAFE, &id).expect("answer");
        if answer.status == 200 {
            assert_eq!(answer.body, format!("body of {id}").as_bytes());
        }
    }
}

#[test]
fn a_failure_of_a_target_is_delivered_as_it_is() {
    let fleet = HostedFleet::spawn(1, WORK);
    fleet.targets[0].set_behaviour(HostedBehaviour::ServerError);
    let answer = fleet.call(0, UNSAFE, "failed").expect("answer");
    assert_eq!((answer.status, answer.headers["x-server-signature"].as_str()), (500, "3e1b.07"));
}

#[test]
fn a_call_past_its_time_gets_its_answer_at_once() {
    let fleet = HostedFleet::spawn(1, Duration::from_secs(2));
    let answer = fleet.call_within(0, UNSAFE, "late", 300).expect("answer");
    assert_eq!(answer.status, 504);
    assert!(answer.took >= Duration::from_millis(250), "given up after {:?}", answer.took);
    assert_eq!(fleet.runs("late"), 1);
}

#[test]
fn a_path_of_no_route_is_unknown() {
    let fleet = HostedFleet::spawn(1, WORK);
    let answer = fleet.call(0, "/none/", "nowhere").expect("answer");
    assert_eq!(answer.status, 404);
}

#[test]
fn a_hedged_read_reaches_no_more_targets_than_its_route_allows() {
    let fleet = HostedFleet::spawn(4, WORK);
    for number in 0..40 {
        assert_eq!(fleet.call(0, SAFE, &format!("warm{number}")).expect("answer").status, 200);
    }
    for target in &fleet.targets {
        target.set_service_time(Duration::from_millis(250));
        target.set_behaviour(HostedBehaviour::LoseResponse);
    }
    let answer = fleet.call(0, SAFE, "lost").expect("answer");
    assert_eq!(answer.status, 504);
    let reached = fleet.runs("lost");
    assert!((1..=2).contains(&reached), "reached {reached} targets; the route allows 2");
}

#[test]
fn the_first_reads_of_a_route_do_not_wait_for_a_target_that_hangs() {
    let fleet = HostedFleet::spawn(2, WORK);
    fleet.targets[0].set_service_time(Duration::from_secs(5));
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..6)
            .map(|number| {
                let fleet = &fleet;
                scope.spawn(move || fleet.call(0, SAFE, &format!("first{number}")))
            })
            .collect();
        calls.into_iter().map(|call| call.join().expect("call").expect("answer").status).collect()
    });
    assert_eq!(statuses, [200; 6]);
}
