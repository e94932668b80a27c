//! The store's client against a server that sends something other than an answer: no state is taken
//! from it, and a write that it may have applied never counts as one that it refused.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;

use railspan::{ConfigPosition, PlatformClient, PlatformError, TableWrite, open_store};
use test_case::test_case;

/// Starts a server that answers every request with these bytes and closes the connection.
fn spawn_server(answer: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let answer = answer.as_bytes().to_vec();
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let mut request = Vec::new();
            let mut space = [0; 4096];
            while !request.windows(4).any(|window| window == b"\r\n\r\n") {
                match socket.read(&mut space) {
                    Ok(0) | Err(_) => break,
                    Ok(count) => request.extend_from_slice(&space[..count]),
                }
            }
            drop(socket.write_all(&answer));
        }
    });
    address
}

/// An answer as the store sends it after each request of the client.
const BODY: &str =
    r#"{"rows":[{"table":"railspan","key":"k","ver":7,"value":"dg=="}],"has_more":false,"ver":9}"#;

fn answer(first_line: &str, lines: &str) -> String {
    format!("{first_line}\r\nContent-Type: application/json\r\n{lines}\r\n{BODY}")
}

fn with_length(first_line: &str) -> String {
    answer(first_line, &format!("Content-Length: {}\r\n", BODY.len()))
}

fn write() -> TableWrite {
    TableWrite { key: String::from("k"), expected_version: Some(0), value: Some(String::from("v")) }
}

fn run<T>(address: SocketAddr, operation: impl AsyncFnOnce(PlatformClient) -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("runtime").block_on(operation(open_store(address)))
}

#[test_case(&with_length("HTTP/1.1 200 OK\r\nX-More: a\nX-More: b"); "a bare line feed")]
#[test_case(&answer("HTTP/1.1 200 OK", "Transfer-Encoding: chunkee\r\n"); "an unknown coding")]
#[test_case(&with_length("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity"); "a coding beside a length")]
#[test_case(&answer("HTTP/1.1 200 OK", "X More: a\r\n"); "a blank in a name")]
#[test_case(&with_length("HTTP/1.1 000 Zero"); "status 000")]
#[test_case(&with_length("HTTP/1.1 600 High"); "status 600")]
#[test_case(&with_length("HTTP/1.1 999 High"); "status 999")]
fn an_invalid_answer_says_nothing(answer: &str) {
    let address = spawn_server(answer);
    let is_lost = |error: &PlatformError| matches!(error, PlatformError::ReplyLost { .. });
    let committed = run(address, async |store| store.commit(&[write()]).await);
    assert!(committed.as_ref().is_err_and(is_lost), "{committed:?}");
    let put = run(address, async |store| store.put_object("o", "body".into()).await);
    assert!(put.as_ref().is_err_and(is_lost), "{put:?}");
    let row = run(address, async |store| store.row("k").await);
    assert!(row.is_err(), "{row:?}");
    let rows = run(address, async |store| store.rows("k").await);
    assert!(rows.is_err(), "{rows:?}");
    let object = run(address, async |store| store.object("o").await);
    assert!(object.is_err(), "{object:?}");
    let update =
        run(address, async |store| store.next_config(ConfigPosition::default()).await.map(drop));
    assert!(update.is_err(), "{update:?}");
}

/// A reply that says neither what was done nor that nothing was done leaves both possible.
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnoise", true; "a body that can't be decoded")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", true; "a body without a version")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true; "no body")]
#[test_case(&with_length("HTTP/1.1 204 No Content"), true; "204")]
#[test_case(&with_length("HTTP/1.1 302 Found"), true; "302")]
#[test_case(&with_length("HTTP/1.1 500 Internal Server Error"), true; "500")]
#[test_case(&with_length("HTTP/1.1 502 Bad Gateway"), true; "502")]
#[test_case(&with_length("HTTP/1.1 504 Gateway Timeout"), true; "504")]
#[test_case(&with_length("HTTP/1.1 429 Too Many Requests"), false; "429")]
#[test_case(&with_length("HTTP/1.1 503 Service Unavailable"), false; "503")]
#[test_case(&with_length("HTTP/1.1 403 Forbidden"), false; "403")]
fn a_write_counts_as_refused_only_if_the_store_says_so(answer: &str, may_be_applied: bool) {
    let address = spawn_server(answer);
    let committed = run(address, async |store| store.commit(&[write()]).await);
    let is_lost = matches!(committed, Err(PlatformError::ReplyLost { .. }));
    assert!(committed.is_err() && is_lost == may_be_applied, "{committed:?}");
}

/// The same answer without a fault is taken, so the test above would see it.
#[test]
fn a_valid_answer_is_taken() {
    let address = spawn_server(&with_length("HTTP/1.1 200 OK"));
    assert!(run(address, async |store| store.commit(&[write()]).await).expect("reply").committed);
    let row = run(address, async |store| store.row("k").await).expect("reply").expect("row");
    assert_eq!((row.version, row.value.as_str()), (7, "v"));
}

/// The commands refuse a daemon's invalid answer, too.
#[test_case(&with_length("HTTP/1.1 600 High"); "status 600")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 13\nX-More: a\r\n\r\n{\"members\":[]}"; "a bare line feed")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n{\"revision\":7}"; "an unknown coding")]
fn a_command_takes_an_invalid_answer_for_none(answer: &str) {
    let address = spawn_server(answer).to_string();
    let command = Command::new(env!("CARGO_BIN_EXE_railspan"))
        .args(["dump", "--daemon", &address])
        .output()
        .expect("run");
    let text = String::from_utf8_lossy(&command.stderr).into_owned();
    assert_eq!(command.status.code(), Some(3), "{command:?}");
    assert!(text.contains("can't reach"), "{text}");
}
