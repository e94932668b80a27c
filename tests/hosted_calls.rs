//! Calls on the users' platform: what targets receive, and what callers get when a target
//! fails, declines a request, or breaks the protocol.

mod common;

use std::time::Duration;

use common::hosted::{HostedFleet, SAFE_PREFIX, SERVICE, UNSAFE_PREFIX};
use railspan_standins::{HostedBehaviour, HostedTarget};
use test_case::test_case;

const SERVICE_TIME: Duration = Duration::from_millis(5);

fn set_all_moods(fleet: &HostedFleet, mood: &HostedBehaviour) {
    fleet.targets.iter().for_each(|target| target.set_behaviour(mood.clone()));
}

#[test]
fn a_call_reaches_its_target_unchanged_except_for_the_headers_that_the_daemon_sets() {
    let fleet = HostedFleet::spawn(3, SERVICE_TIME);
    for prefix in [SAFE_PREFIX, UNSAFE_PREFIX] {
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
        assert_eq!(run.headers["host"], common::hosted::VIRTUAL_HOST);
        assert_eq!(run.headers["x-caller-service"], SERVICE);
        assert!(run.headers["x-target-instance"].starts_with("i-"));
        let remaining_ms: u64 = run.headers["x-deadline-ms"].parse().expect("number");
        assert!(remaining_ms <= 2_000, "{remaining_ms} ms remaining");
    }
}

#[test_case(&HostedBehaviour::LoseResponse; "lost")]
#[test_case(&HostedBehaviour::ForeignRequestId; "with another request id")]
#[test_case(&HostedBehaviour::Unsigned; "without its signature")]
#[test_case(&HostedBehaviour::Truncate; "truncated")]
fn an_invalid_answer_is_not_delivered_and_its_write_runs_once(mood: &HostedBehaviour) {
    let fleet = HostedFleet::spawn(2, SERVICE_TIME);
    set_all_moods(&fleet, mood);
    for number in 0..4 {
        let id = format!("write{number}");
        let answer = fleet.call(0, UNSAFE_PREFIX, &id).expect("the daemon's own answer");
        assert!(matches!(answer.status, 502 | 504), "status {}", answer.status);
        assert_eq!(fleet.run_count(&id), 1);
    }
}

#[test]
fn a_read_whose_answer_is_lost_is_retried_at_another_target() {
    let fleet = HostedFleet::spawn(2, SERVICE_TIME);
    fleet.targets[0].set_behaviour(HostedBehaviour::LoseResponse);
    let served = (0..6).filter(|number| {
        let answer = fleet.call(0, SAFE_PREFIX, &format!("read{number}"));
        answer.is_some_and(|answer| answer.status == 200)
    });
    assert_eq!(served.count(), 6);
}

#[test_case(&HostedBehaviour::Decline; "declined")]
#[test_case(&HostedBehaviour::OtherTarget; "meant for another target")]
fn a_call_that_no_target_ran_is_refused_with_a_retry_time(mood: &HostedBehaviour) {
    let fleet = HostedFleet::spawn(2, SERVICE_TIME);
    set_all_moods(&fleet, mood);
    let answer = fleet.call(0, UNSAFE_PREFIX, "refused").expect("answer");
    assert_eq!(answer.status, 503);
    let seconds: f64 = answer.headers["retry-after"].parse().expect("seconds");
    assert!(seconds > 0.0 && seconds < 2.0, "retry after {seconds}");
    assert!(answer.took < Duration::from_secs(1), "refused only after {:?}", answer.took);
    assert_eq!(fleet.run_count("refused"), 0);
}

#[test]
fn an_unexpected_second_answer_on_a_connection_is_delivered_to_no_caller() {
    let fleet = HostedFleet::spawn(1, SERVICE_TIME);
    fleet.targets[0].set_behaviour(HostedBehaviour::DuplicateResponse);
    for number in 0..10 {
        let id = format!("twice{number}");
        let answer = fleet.call(0, SAFE_PREFIX, &id).expect("answer");
        if answer.status == 200 {
            assert_eq!(answer.body, format!("body of {id}").as_bytes());
        }
    }
}

#[test]
fn an_error_answer_of_a_target_is_delivered_unchanged() {
    let fleet = HostedFleet::spawn(1, SERVICE_TIME);
    fleet.targets[0].set_behaviour(HostedBehaviour::ServerError);
    let answer = fleet.call(0, UNSAFE_PREFIX, "failed").expect("answer");
    assert_eq!((answer.status, answer.headers["x-server-signature"].as_str()), (500, "3e1b.07"));
}

#[test]
fn a_call_that_runs_past_its_deadline_is_answered_at_the_deadline() {
    let fleet = HostedFleet::spawn(1, Duration::from_secs(2));
    let answer = fleet.call_with_deadline(0, UNSAFE_PREFIX, "late", 300).expect("answer");
    assert_eq!(answer.status, 504);
    assert!(answer.took >= Duration::from_millis(250), "answered after only {:?}", answer.took);
    assert_eq!(fleet.run_count("late"), 1);
}

#[test]
fn a_path_without_a_route_is_answered_with_404() {
    let fleet = HostedFleet::spawn(1, SERVICE_TIME);
    let answer = fleet.call(0, "/none/", "nowhere").expect("answer");
    assert_eq!(answer.status, 404);
}

#[test]
fn a_hedged_read_reaches_no_more_targets_than_its_route_allows() {
    let fleet = HostedFleet::spawn(4, SERVICE_TIME);
    for number in 0..40 {
        assert_eq!(
            fleet.call(0, SAFE_PREFIX, &format!("warm{number}")).expect("answer").status,
            200
        );
    }
    for target in &fleet.targets {
        target.set_service_time(Duration::from_millis(250));
        target.set_behaviour(HostedBehaviour::LoseResponse);
    }
    let answer = fleet.call(0, SAFE_PREFIX, "lost").expect("answer");
    assert_eq!(answer.status, 504);
    let run_count = fleet.run_count("lost");
    assert!((1..=2).contains(&run_count), "reached {run_count} targets; the route allows 2");
}

#[test]
fn the_first_reads_of_a_route_do_not_wait_for_a_hanging_target() {
    let fleet = HostedFleet::spawn(2, SERVICE_TIME);
    fleet.targets[0].set_service_time(Duration::from_secs(5));
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..6)
            .map(|number| {
                let fleet = &fleet;
                scope.spawn(move || fleet.call(0, SAFE_PREFIX, &format!("first{number}")))
            })
            .collect();
        calls.into_iter().map(|call| call.join().expect("call").expect("answer").status).collect()
    });
    assert_eq!(statuses, [200; 6]);
}
