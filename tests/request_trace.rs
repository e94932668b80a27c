//! Trace of a request, read from logs that may be truncated or mixed.

use railspan::RequestTrace;

const ENTRY: &str = r#"
12.1 host-a {"msg":"chosen","level":"INFO","ts":"2026-07-16T13:00:00.100Z","host":"host-a","target":"i-1","id":"abc"}
12.2 host-a {"msg":"chosen","level":"INFO","ts":"2026-07-16T13:00:00.150Z","host":"host-a","target":"i-9","id":"abcd"}
12.3 host-a {"msg":"answered","level":"INFO","ts":"2026-07-16T13:00:00.300Z","host":"host-a","status":200,"id":"abc"}
12.4 host-a {"msg":"answered","level":"INFO","ts":"2026-07-1"#;

const GUARD: &str = r#"{"msg":"sent","ts":"2026-07-16T13:00:00.110Z","host":"host-b","waited_us":40,"id":"abc"}
no brace at all
{"msg":"chosen","ts":"2026-07-16T13:00:00.200Z","host":"host-b","target":"i-5","id":"abc.1"}
"#;

fn logs() -> Vec<(String, String)> {
    vec![("a.log".into(), ENTRY.into()), ("b.log".into(), GUARD.into())]
}

#[test]
fn lines_of_several_daemons_are_merged_in_order_of_time() {
    let trace = RequestTrace::read("abc", &logs());
    let lines: Vec<_> = trace.lines.iter().map(|line| (&*line.host, &*line.msg)).collect();
    let expected =
        [("host-a", "chosen"), ("host-b", "sent"), ("host-b", "chosen"), ("host-a", "answered")];
    assert_eq!(lines, expected);
    assert!(trace.render().contains("host-b chosen call=abc.1 target=i-5"), "{}", trace.render());
}

#[test]
fn a_truncated_line_is_reported_and_skipped() {
    let trace = RequestTrace::read("abc", &logs());
    let positions: Vec<_> =
        trace.findings.iter().map(|finding| (&*finding.file, finding.position.line)).collect();
    assert_eq!(positions, [("a.log", 5)]);
}

#[test]
fn the_trace_of_a_digest_has_all_copies_of_the_request() {
    let line = |id: &str, ts: &str| {
        format!(r#"{{"msg":"chosen","ts":"{ts}","host":"a","digest":"00ff","id":"{id}"}}"#)
    };
    let text = [line("one", "2"), line("two", "1")].join("\n");
    let trace = RequestTrace::read("00ff", &[("a.log".into(), text)]);
    assert_eq!(
        trace.render(),
        "1 a chosen call=two digest=00ff\n2 a chosen call=one digest=00ff\n"
    );
}

#[test]
fn the_trace_of_an_unknown_request_is_empty() {
    assert!(RequestTrace::read("nobody", &logs()).lines.is_empty());
}
