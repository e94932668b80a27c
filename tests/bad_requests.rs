//! Callers and targets that misbehave: a clear answer, nothing else disturbed.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::{FleetPlan, TOKEN, TestFleet};
use railspan_standins::{CallRequest, Verdict};

/// Bytes that a caller writes at a time.
const WRITTEN_AT_ONCE: usize = 64 << 10;

#[test]
fn bad_calls_are_told_so_and_do_not_run() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 1, ..FleetPlan::default() });
    let good = fleet.post("k", "/bulletin?size=10");
    let cases: [(&str, u16, CallRequest); 5] = [
        ("unknown token", 401, CallRequest { token: "guess".to_owned(), ..good.clone() }),
        ("unknown service", 404, CallRequest { service: "nowhere".to_owned(), ..good.clone() }),
        ("no key", 400, CallRequest { key: None, ..good.clone() }),
        ("body over 1 MiB", 413, CallRequest { body: vec![7; (1 << 20) + 1], ..good.clone() }),
        ("no time left", 503, CallRequest { deadline_ms: 0, ..good.clone() }),
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
    assert_eq!(fleet.call(0, &good).verdict, Verdict::Complete);
}

#[test]
fn a_body_of_the_full_size_arrives_whole() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 1, ..FleetPlan::default() });
    let call = CallRequest { body: vec![7; 1 << 20], ..fleet.post("k", "/bulletin?size=10") };
    assert_eq!(fleet.call(0, &call).verdict, Verdict::Complete);
}

#[test]
fn what_a_target_sheds_is_its_answer_and_is_not_tried_again() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 1, slots: 1, ..FleetPlan::default() });
    // It says that it takes more at once than it does, and sheds the rest.
    fleet.targets[0].behave(|behaviour| {
        behaviour.reported_slots = Some(8);
        behaviour.shed_above = Some(0);
    });
    common::eventually("the guard heard of the slots", || {
        let state = fleet.state(fleet.place(0).admin);
        state["guard"]["targets"][0]["announcement"]["slots"] == 8
    });
    let calls: Vec<_> = (0..8)
        .map(|number| fleet.start(0, fleet.read(&format!("/shed/{number}?size=10&us=300000"))))
        .collect();
    let verdicts: Vec<Verdict> = calls.into_iter().map(|call| fleet.join(call).verdict).collect();
    let answered = |verdict: &&Verdict| matches!(verdict, Verdict::Complete | Verdict::TargetError);
    assert_eq!(verdicts.iter().filter(answered).count(), 8, "{verdicts:?}");
    assert!(verdicts.contains(&Verdict::TargetError), "{verdicts:?}");
}

/// A caller that reads nothing until its whole body is written: closing with unread
/// bytes would reset the connection, and the answer with it.
#[test]
fn a_caller_that_still_writes_gets_the_answer() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 1, ..FleetPlan::default() });
    let length = 4 << 20;
    let head = format!(
        "POST /{}/bulletin HTTP/1.1\r\nhost: railspan\r\nauthorization: Bearer {TOKEN}\r\n\
         idempotency-key: k\r\ncontent-length: {length}\r\n\r\n",
        fleet.plan.service
    );
    let mut socket = TcpStream::connect(fleet.place(0).caller).expect("connected");
    socket.write_all(head.as_bytes()).expect("head written");
    let part = vec![7; WRITTEN_AT_ONCE];
    for _ in 0..length / WRITTEN_AT_ONCE {
        std::thread::sleep(Duration::from_millis(1));
        socket.write_all(&part).expect("the daemon reads on");
    }
    let mut answer = String::new();
    socket.read_to_string(&mut answer).expect("a whole answer");
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
}
