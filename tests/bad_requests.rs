//! Invalid calls and overloaded targets: each caller gets a definite answer, calls that
//! were refused don't run, and later valid calls are served.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::{FleetPlan, TOKEN, TestFleet};
use railspan_standins::{CallRequest, Verdict};

/// Bytes that the caller writes at a time.
const WRITE_SIZE: usize = 64 << 10;

#[test]
fn invalid_calls_are_refused_with_their_status_and_do_not_run() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 1, ..FleetPlan::default() });
    let valid = fleet.post_request("k", "/bulletin?size=10");
    let cases: [(&str, u16, CallRequest); 5] = [
        ("unknown token", 401, CallRequest { token: "guess".to_owned(), ..valid.clone() }),
        ("unknown service", 404, CallRequest { service: "nowhere".to_owned(), ..valid.clone() }),
        ("no key", 400, CallRequest { key: None, ..valid.clone() }),
        ("body over 1 MiB", 413, CallRequest { body: vec![7; (1 << 20) + 1], ..valid.clone() }),
        ("no time left", 503, CallRequest { deadline_ms: 0, ..valid.clone() }),
    ];
    for (name, status, call) in cases {
        let report = fleet.call(0, &call);
        assert_eq!(
            (report.status, report.verdict),
            (status, Verdict::NotRun),
            "{name}: {report:?}"
        );
        assert!(report.retry_after_ms.is_some(), "{name}");
    }
    assert!(fleet.runs("k").is_empty());
    assert_eq!(fleet.call(0, &valid).verdict, Verdict::Complete);
}

#[test]
fn a_body_of_the_greatest_allowed_size_is_accepted() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 1, ..FleetPlan::default() });
    let call =
        CallRequest { body: vec![7; 1 << 20], ..fleet.post_request("k", "/bulletin?size=10") };
    assert_eq!(fleet.call(0, &call).verdict, Verdict::Complete);
}

#[test]
fn a_call_that_its_target_sheds_is_answered_with_the_targets_error() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 1, slots: 1, ..FleetPlan::default() });
    // The target announces more slots than it has, and answers 503 while one call waits.
    fleet.targets[0].behave(|behaviour| {
        behaviour.reported_slots = Some(8);
        behaviour.shed_above = Some(0);
    });
    common::eventually("the guard knows the announced slots", || {
        let state = fleet.state(fleet.addresses(0).admin);
        state["guard"]["targets"][0]["announcement"]["slots"] == 8
    });
    let calls: Vec<_> = (0..8)
        .map(|number| {
            fleet.start_call(0, fleet.get_request(&format!("/shed/{number}?size=10&us=300000")))
        })
        .collect();
    let verdicts: Vec<Verdict> =
        calls.into_iter().map(|call| fleet.join_call(call).verdict).collect();
    let answered = |verdict: &&Verdict| matches!(verdict, Verdict::Complete | Verdict::TargetError);
    assert_eq!(verdicts.iter().filter(answered).count(), 8, "{verdicts:?}");
    assert!(verdicts.contains(&Verdict::TargetError), "{verdicts:?}");
}

/// The caller reads nothing until it has written its whole body, which is too large. A
/// daemon that closed the connection with unread bytes would reset it, and the caller
/// would lose the answer.
#[test]
fn a_caller_that_is_still_writing_gets_the_refusal() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 1, ..FleetPlan::default() });
    let length = 4 << 20;
    let head = format!(
        "POST /{}/bulletin HTTP/1.1\r\nhost: railspan\r\nauthorization: Bearer {TOKEN}\r\n\
         idempotency-key: k\r\ncontent-length: {length}\r\n\r\n",
        fleet.plan.service
    );
    let mut socket = TcpStream::connect(fleet.addresses(0).caller).expect("connected");
    socket.write_all(head.as_bytes()).expect("head written");
    let part = vec![7; WRITE_SIZE];
    for _ in 0..length / WRITE_SIZE {
        std::thread::sleep(Duration::from_millis(1));
        socket.write_all(&part).expect("the daemon reads on");
    }
    let mut answer = String::new();
    socket.read_to_string(&mut answer).expect("a whole answer");
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
}
