//! Which bytes are answers, and where each ends: played without a network, in every partition into
//! reads.

#[path = "common/seeded.rs"]
mod seeded;

use proptest::prelude::*;
use railspan::{AnswerCheck, AnswerFault, MAX_HEAD_BYTES, MAX_INTERIM_ANSWERS};
use seeded::seeded;
use test_case::test_case;

/// Checks answers whose bytes arrive in parts of these sizes, again and again.
fn check(bytes: &[u8], sizes: &[usize], answers_head: bool) -> Result<(), AnswerFault> {
    let mut check = AnswerCheck::open();
    let mut rest = bytes;
    for size in sizes.iter().cycle() {
        let (mut part, later) = rest.split_at((*size).min(rest.len()));
        while !part.is_empty() {
            part = &part[check.accept(part, answers_head)?..];
        }
        rest = later;
        if rest.is_empty() {
            break;
        }
    }
    Ok(())
}

/// Returns what is found for each partition of the bytes that is tried; they must agree.
#[track_caller]
fn check_partitions(bytes: &[u8], answers_head: bool) -> Result<(), AnswerFault> {
    let whole = check(bytes, &[bytes.len().max(1)], answers_head);
    for sizes in [&[1][..], &[2], &[3, 1], &[7, 64, 5]] {
        assert_eq!(check(bytes, sizes, answers_head), whole, "in parts of {sizes:?}");
    }
    whole
}

/// Checks that an answer ends before [`NEXT`], wherever it is split into two reads.
#[track_caller]
fn assert_end(answer: &str, answers_head: bool) {
    assert_eq!(check_partitions(answer.as_bytes(), answers_head), Ok(()));
    for split in 0..answer.len() {
        let mut check = AnswerCheck::open();
        let (start, end) = answer.as_bytes().split_at(split);
        assert_eq!(check.accept(start, answers_head), Ok(start.len()));
        assert_eq!(check.accept(&[end, NEXT.as_bytes()].concat(), answers_head), Ok(end.len()));
    }
}

/// Bytes that follow an answer.
const NEXT: &str = "HTTP/1.1 200 OK\r\n";

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"; "a length")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-LENGTH:\t 0005 \r\nContent-Length: 5,5\r\n\r\nhello"; "odd lengths")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; "an empty body")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"; "chunks")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\r\n\r\n0\r\n\r\n"; "a chunk of line ends")]
#[test_case("HTTP/1.1 200\r\nTransfer-Encoding: CHUNKED\r\n\r\n05 ;a=b\r\nhello\r\n00;c\r\nA: b\r\n\r\n"; "extensions and trailers")]
#[test_case("HTTP/1.0 404 Not \u{e9}\r\nContent-Length: 2\r\n\r\nab"; "version 1.0")]
#[test_case("HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"; "an interim answer")]
#[test_case("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"; "no content")]
#[test_case("HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n"; "not modified")]
#[test_case("HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n"; "not modified, in chunks")]
fn an_answer_ends_where_its_head_says(answer: &str) {
    assert_end(answer, false);
}

#[test_case("Content-Length: 5\r\n"; "a length")]
#[test_case("Transfer-Encoding: chunked\r\n"; "chunks")]
#[test_case(""; "neither")]
fn an_answer_to_head_ends_with_its_head(lines: &str) {
    assert_end(&format!("HTTP/1.1 200 OK\r\n{lines}\r\n"), true);
}

#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    let bytes = b"HTTP/1.1 200 OK\r\n\r\nhello\n\nHTTP/1.1 200 OK\r\n\0";
    assert_eq!(check_partitions(bytes, false), Ok(()));
}

#[test]
fn the_next_answer_is_checked_from_its_start() {
    let mut check = AnswerCheck::open();
    let answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n";
    for _ in 0..3 {
        assert_eq!(check.accept(answer, false), Ok(answer.len()));
    }
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
    assert_eq!(check.accept(head, true), Ok(head.len()));
    assert_eq!(check.accept(answer, false), Ok(answer.len()));
    assert_eq!(check.accept(b"a: b\r\n", false), Err(AnswerFault::StatusLine));
}

#[test_case("", AnswerFault::StatusLine; "an empty first line")]
#[test_case("HTTP/1.1 20", AnswerFault::StatusLine; "a short status")]
#[test_case("HTTP/1.1 2000", AnswerFault::StatusLine; "a long status")]
#[test_case("HTTP/1.1 +20", AnswerFault::StatusLine; "a sign")]
#[test_case("HTTP/1.2 200 OK", AnswerFault::StatusLine; "another version")]
#[test_case("HTTP/1.1 200 a\u{1}", AnswerFault::StatusLine; "a control byte in the reason")]
#[test_case("HTTP/1.1 000 Zero", AnswerFault::Status; "status 000")]
#[test_case("HTTP/1.1 099 Low", AnswerFault::Status; "status 099")]
#[test_case("HTTP/1.1 600 High", AnswerFault::Status; "status 600")]
#[test_case("HTTP/1.1 101 Switching", AnswerFault::Status; "a switch of protocols")]
#[test_case("HTTP/1.1 200 OK\nA: b", AnswerFault::LineEnd; "a bare line feed")]
#[test_case("HTTP/1.1 200 OK\r\nA: b\n", AnswerFault::LineEnd; "a bare line feed that ends the head")]
#[test_case("HTTP/1.1 200 OK\r\nA: b\rc", AnswerFault::Field; "a bare carriage return")]
#[test_case("HTTP/1.1 200 OK\r\nA : b", AnswerFault::Field; "a blank after a name")]
#[test_case("HTTP/1.1 200 OK\r\n A: b", AnswerFault::Field; "a folded line")]
#[test_case("HTTP/1.1 200 OK\r\n: b", AnswerFault::Field; "no name")]
#[test_case("HTTP/1.1 200 OK\r\nA", AnswerFault::Field; "no colon")]
#[test_case("HTTP/1.1 200 OK\r\nA\u{0}: b", AnswerFault::Field; "a control byte in a name")]
#[test_case("HTTP/1.1 200 OK\r\nA: \u{7f}", AnswerFault::Field; "a control byte in a value")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: +5", AnswerFault::Length; "a length with a sign")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length:", AnswerFault::Length; "an empty length")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5,", AnswerFault::Length; "an empty length in a list")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551616", AnswerFault::Length; "a length over 64 bits")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6", AnswerFault::Length; "two lengths")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked", AnswerFault::Coding; "two codings")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding:", AnswerFault::Coding; "an empty coding")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked", AnswerFault::Coding; "two coding fields")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n", AnswerFault::Framing; "a length beside chunks")]
#[test_case("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", AnswerFault::Framing; "chunks in version 1.0")]
#[test_case("HTTP/1.1 204 No Content\r\nContent-Length: 1\r\n", AnswerFault::Framing; "a length of no content")]
#[test_case("HTTP/1.1 100 Continue\r\nContent-Length: 1\r\n", AnswerFault::Framing; "a length of an interim answer")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+1", AnswerFault::Chunk; "a chunk size with a sign")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000000", AnswerFault::Chunk; "a chunk size over 64 bits")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab", AnswerFault::Chunk; "a chunk that is too long")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA", AnswerFault::Field; "a trailer that is no field")]
fn bytes_that_are_no_answer_are_refused_with_the_reason(lines: &str, fault: AnswerFault) {
    let bytes: Vec<u8> = format!("{lines}\r\n").chars().map(|byte| byte as u8).collect();
    assert_eq!(check_partitions(&bytes, false), Err(fault));
    // How an answer to `HEAD` states its length is checked as well.
    if !lines.contains("\r\n\r\n") {
        assert_eq!(check_partitions(&bytes, true), Err(fault));
    }
}

#[test_case("HTTP/1.1 200 ", "a", AnswerFault::HeadSize; "a reason")]
#[test_case("HTTP/1.1 200 OK\r\n", "A: b\r\n", AnswerFault::HeadSize; "fields")]
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n", AnswerFault::InterimAnswers; "interim answers")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", AnswerFault::Chunk; "a chunk size")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a", AnswerFault::Chunk; "a chunk extension")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", AnswerFault::HeadSize; "trailers")]
fn a_part_without_end_is_refused_before_it_takes_memory(
    start: &str,
    pattern: &str,
    fault: AnswerFault,
) {
    let mut check = AnswerCheck::open();
    assert_eq!(check.accept(start.as_bytes(), false), Ok(start.len()));
    let refused_after = (0..).find_map(|round| match check.accept(pattern.as_bytes(), false) {
        Ok(_) => None,
        Err(found) => Some((round, found)),
    });
    let (rounds, found) = refused_after.expect("refused");
    assert_eq!(found, fault);
    let most = MAX_HEAD_BYTES.max(MAX_INTERIM_ANSWERS as usize * pattern.len());
    assert!(rounds * pattern.len() <= most, "refused after {rounds} rounds");
}

proptest! {
    #![proptest_config(seeded(2_000))]

    #[test]
    fn any_bytes_are_judged_alike_in_every_partition(
        parts in proptest::collection::vec(prop_oneof![
            Just("HTTP/1.1 200 OK\r\n"), Just("HTTP/1.1 100 Continue\r\n"), Just("\r\n"), Just("\n"),
            Just("Content-Length: 3\r\n"), Just("Transfer-Encoding: chunked\r\n"), Just("a: b\r\n"),
            Just("3\r\nabc\r\n"), Just("0\r\n"), Just("abc"), Just(" "), Just("HTTP/1.1 204\r\n"),
        ], 0..12),
        sizes in proptest::collection::vec(1_usize..40, 1..6),
        answers_head in any::<bool>(),
    ) {
        let bytes = parts.concat();
        let whole = check(bytes.as_bytes(), &[bytes.len().max(1)], answers_head);
        prop_assert_eq!(check(bytes.as_bytes(), &sizes, answers_head), whole);
    }

    /// One changed byte of a head never makes another end of the answer pass unnoticed.
    #[test]
    fn a_changed_byte_is_refused_or_keeps_the_end_that_the_head_states(
        index in 0_usize..54,
        byte in any::<u8>(),
    ) {
        let mut bytes = b"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\nX-B: c\r\n\r\n".to_vec();
        prop_assume!(index < bytes.len());
        bytes[index] = byte;
        let head_length = bytes.len();
        bytes.extend_from_slice(b"hello");
        if let Ok(end) = AnswerCheck::open().accept(&bytes, false) {
            let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
            let length = text.split("\ncontent-length:").nth(1).and_then(|rest| {
                rest.split("\r\n").next()?.trim().parse::<usize>().ok()
            });
            let stated = length.map_or(bytes.len(), |length| head_length + length);
            prop_assert_eq!(end, stated.min(bytes.len()));
        }
    }
}
