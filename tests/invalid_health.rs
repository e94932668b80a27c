//! A target's answer to a health check that is no answer says nothing: no state is taken from it,
//! and it takes no memory.

mod common;

use std::time::{Duration, Instant};

use common::eventually;
use common::hosted::{HostedFleet, SAFE_PREFIX};
use railspan_standins::{HostedBehaviour, RawEnd};
use test_case::test_case;

const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Fields of a health check's answer that would end all calls to the target, and make it slow.
const STATEMENTS: &str = "X-Instance-Id: i-0\r\nX-Server-Load: 0,0,4,900\r\nServer-Leaving: 1\r\n";

/// Returns an answer to a health check with these lines in its head.
fn health_answer(first_line: &str, lines: &str, body: &str) -> HostedBehaviour {
    let start = format!("{first_line}\r\n{STATEMENTS}{lines}\r\n{body}");
    HostedBehaviour::RawBytes { start, then: RawEnd::Close }
}

const CHUNKS: &str = "1\r\na\r\n0\r\n\r\n";

/// Returns how many health checks a daemon has sent.
fn health_checks(fleet: &HostedFleet) -> u64 {
    let text = fleet.metrics(0);
    let line = text.lines().find_map(|line| line.strip_prefix("railspan_health_asks_total "));
    line.expect("metric").parse().expect("number")
}

#[test_case("HTTP/1.1 200 OK", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", CHUNKS; "two framings")]
#[test_case("HTTP/1.1 200 OK", "Transfer-Encoding: chunkee\r\n", CHUNKS; "an unknown coding")]
#[test_case("HTTP/1.1 200 OK", "X-More: a\n\nContent-Length: 0\r\n", ""; "a bare line feed")]
#[test_case("HTTP/1.1 200 OK", "Content-Length: 0x0\r\n", ""; "a spoilt length")]
#[test_case("HTTP/1.1 200 OK", "X More: a\r\nContent-Length: 0\r\n", ""; "a blank in a name")]
#[test_case("HTTP/1.1 600 High", "Content-Length: 0\r\n", ""; "status 600")]
#[test_case("HTTP/1.1 000 Zero", "Content-Length: 0\r\n", ""; "status 000")]
fn no_state_is_taken_from_an_invalid_health_answer(first_line: &str, lines: &str, body: &str) {
    let fleet = HostedFleet::spawn(1, SERVICE_TIME);
    let checks = health_checks(&fleet);
    fleet.targets[0].set_health_behaviour(Some(health_answer(first_line, lines, body)));
    let mut number = 0;
    while health_checks(&fleet) < checks + 5 {
        let answer = fleet.call(0, SAFE_PREFIX, &format!("read{number}")).expect("answer");
        assert_eq!(answer.status, 200, "call {number}");
        number += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
    // Unknown, or as the target stated it before.
    let slowness = fleet.reported_slowness(0, "i-0");
    assert!(matches!(slowness, Some(0 | 100)), "{slowness:?}");
    assert!(fleet.metrics(0).contains("railspan_invalid_answers_total{reason="), "not counted");
}

/// A target whose answer says the same correctly is slow and leaves, so the test above would see it.
#[test]
fn a_valid_health_answer_is_taken() {
    let fleet = HostedFleet::spawn(1, SERVICE_TIME);
    let slow = "HTTP/1.1 200 OK\r\nX-Instance-Id: i-0\r\nX-Server-Load: 0,0,4,900\r\n\
                Content-Length: 0\r\n\r\n";
    let slow = HostedBehaviour::RawBytes { start: slow.to_owned(), then: RawEnd::Close };
    fleet.targets[0].set_health_behaviour(Some(slow));
    eventually("the target is known to be slow", || {
        drop(fleet.call(0, SAFE_PREFIX, "slow"));
        fleet.reported_slowness(0, "i-0") == Some(900)
    });
    let answer = health_answer("HTTP/1.1 200 OK", "Content-Length: 0\r\n", "");
    fleet.targets[0].set_health_behaviour(Some(answer));
    let mut number = 0;
    eventually("the target has left", || {
        number += 1;
        let answer = fleet.call(0, SAFE_PREFIX, &format!("read{number}"));
        answer.is_some_and(|answer| answer.status == 503)
    });
}

#[test_case("HTTP/1.1 200 OK", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", CHUNKS; "two framings")]
#[test_case("HTTP/1.1 200 OK", "X-More: a\nContent-Length: 0\r\n", ""; "a bare line feed")]
fn no_target_is_discovered_by_an_invalid_answer(first_line: &str, lines: &str, body: &str) {
    let mut fleet = HostedFleet::spawn(1, SERVICE_TIME);
    let start =
        format!("{first_line}\r\nX-Instance-Id: i-0\r\nX-Server-Load: 0,0,4,100\r\n{lines}");
    let start = format!("{start}\r\n{body}");
    let behaviour = HostedBehaviour::RawBytes { start, then: RawEnd::Close };
    fleet.targets[0].set_health_behaviour(Some(behaviour));
    fleet.daemons[0].kill().expect("kill");
    fleet.daemons[0] = fleet.start_daemon_with_target(0, fleet.targets[0].address());
    let until = Instant::now() + Duration::from_secs(1);
    while Instant::now() < until {
        let targets = fleet.state(0)["guard"]["targets"].as_array().map_or(0, Vec::len);
        assert_eq!(targets, 0, "a target was discovered");
        std::thread::sleep(Duration::from_millis(50));
    }
    fleet.targets[0].set_health_behaviour(None);
    fleet.wait_for_targets(0, 1);
}

/// Memory of a daemon whose settings name none, in kB.
const MEMORY_KB: u64 = 256 << 10;

/// The bytes of an answer to a health check that never ends must not pile up until it is given up.
#[test_case("Content-Length: 1000000000000\r\n\r\n", "long body "; "a huge length")]
#[test_case("Transfer-Encoding: chunked\r\n\r\n", "400\r\n{kilobyte}\r\n"; "chunks")]
#[test_case("\r\n", "body up to the close "; "no length")]
#[test_case("X-Long: ", "a"; "a field")]
#[test_case("", "X-More: a\r\n"; "fields")]
fn a_health_answer_without_end_takes_no_memory(lines: &str, pattern: &str) {
    let fleet = HostedFleet::spawn(1, SERVICE_TIME);
    let start = format!("HTTP/1.1 200 OK\r\n{STATEMENTS}{lines}");
    let pattern = pattern.replace("{kilobyte}", &"a".repeat(1 << 10));
    let checks = health_checks(&fleet);
    let behaviour = HostedBehaviour::RawBytes { start, then: RawEnd::Flood(pattern) };
    fleet.targets[0].set_health_behaviour(Some(behaviour));
    let (mut number, mut peak_kb) = (0, 0);
    while health_checks(&fleet) < checks + 4 {
        let answer = fleet.call(0, SAFE_PREFIX, &format!("read{number}")).expect("answer");
        assert_eq!(answer.status, 200, "call {number}");
        number += 1;
        let until = Instant::now() + Duration::from_millis(20);
        while Instant::now() < until {
            peak_kb = peak_kb.max(fleet.daemons[0].resident_kb().expect("memory"));
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    assert!(peak_kb < MEMORY_KB / 2, "{peak_kb} kB");
}
