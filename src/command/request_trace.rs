//! Trace of one request, merged from the logs of several daemons.

use std::fmt::Write;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::base::findings::{FileFinding, TextPosition};

/// Log fields that become the columns of a trace line.
const COLUMNS: &[&str] = &["ts", "host", "msg"];

/// Log fields that a trace omits, since they add nothing about the request.
const HIDDEN_FIELDS: &[&str] = &["level", "id"];

/// Maximum length of the excerpt of an unreadable line in a finding, in characters.
const MAX_EXCERPT_CHARS: usize = 60;

/// One log line about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TraceLine {
    /// Timestamp by the clock of the host.
    pub ts: String,
    /// Host whose daemon logged the line.
    pub host: String,
    /// Log message, which names the decision.
    pub msg: String,
    /// Remaining fields: the inputs and the outcome of the decision.
    pub fields: Map<String, Value>,
}

/// All log lines about one request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestTrace {
    #[serde(skip)]
    id: String,
    /// Log lines about the request, in order of time.
    pub lines: Vec<TraceLine>,
    /// Log lines that can't be read and were skipped.
    #[serde(skip)]
    pub findings: Vec<FileFinding>,
}

impl RequestTrace {
    /// Creates an empty trace of a request.
    ///
    /// `id` is the request's id, to include the request and the calls made for it, or its
    /// digest, to include all copies of the request.
    pub(crate) fn open(id: &str) -> Self {
        Self { id: id.to_owned(), ..Self::default() }
    }

    /// Reads a trace from logs given as `(file, text)`.
    #[must_use]
    pub fn read(id: &str, logs: &[(String, String)]) -> Self {
        let mut trace = Self::open(id);
        for (file, text) in logs {
            for (index, line) in text.lines().enumerate() {
                trace.add_line(file, index + 1, line);
            }
        }
        trace.sort_by_time();
        trace
    }

    /// Adds a line of a log if it concerns the request; `number` counts from one.
    ///
    /// Text before the first brace is skipped, so that the output of log collectors can be
    /// read unchanged. Complete lines that don't contain the id aren't parsed, since these
    /// are nearly all lines in the logs of a large fleet.
    pub(crate) fn add_line(&mut self, file: &str, number: usize, line: &str) {
        let line = line.trim_end();
        let Some(start) = line.find('{') else { return };
        if line.ends_with('}') && !line.contains(&self.id) {
            return;
        }
        match serde_json::from_str::<Map<String, Value>>(&line[start..]) {
            Ok(fields) => self.lines.extend(trace_line(&self.id, fields)),
            Err(error) => self.findings.push(finding(file, number, line, &error)),
        }
    }

    /// Sorts the lines of all logs by time.
    pub(crate) fn sort_by_time(&mut self) {
        self.lines.sort_by(|left, right| left.ts.cmp(&right.ts));
    }

    /// Renders the trace as text, one line for each log line.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        for line in &self.lines {
            // Writing to a string can't fail.
            _ = write!(text, "{} {} {}", line.ts, line.host, line.msg);
            for (name, value) in &line.fields {
                match value.as_str() {
                    Some(value) => _ = write!(text, " {name}={value}"),
                    None => _ = write!(text, " {name}={value}"),
                }
            }
            text.push('\n');
        }
        text
    }
}

fn trace_line(id: &str, mut fields: Map<String, Value>) -> Option<TraceLine> {
    let line_id = fields.get("id")?.as_str()?;
    let is_subcall = line_id.strip_prefix(id).is_some_and(|rest| rest.starts_with('.'));
    let has_digest = fields.get("digest").is_some_and(|digest| digest == id);
    if line_id != id && !is_subcall && !has_digest {
        return None;
    }
    if is_subcall || has_digest {
        let call = fields["id"].clone();
        fields.insert("call".to_owned(), call);
    }
    let mut columns = COLUMNS.iter().map(|name| {
        let value = fields.remove(*name);
        value.and_then(|value| value.as_str().map(str::to_owned)).unwrap_or_default()
    });
    let (ts, host, msg) = (columns.next()?, columns.next()?, columns.next()?);
    drop(columns);
    for name in HIDDEN_FIELDS {
        fields.remove(*name);
    }
    Some(TraceLine { ts, host, msg, fields })
}

/// Returns the finding for a log line that can't be parsed.
fn finding(file: &str, number: usize, line: &str, error: &serde_json::Error) -> FileFinding {
    let excerpt: String = line.chars().take(MAX_EXCERPT_CHARS).collect();
    FileFinding {
        file: file.to_owned(),
        position: TextPosition { line: number, column: 1 },
        text: format!("skipped an unreadable log line: {error}: {excerpt}"),
    }
}
