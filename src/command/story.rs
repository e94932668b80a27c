//! The story of one request, joined from the logs of several daemons.

use std::fmt::Write;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::base::findings::{FileFinding, TextPosition};

/// Fields that the story's first columns show.
const COLUMNS: &[&str] = &["ts", "host", "msg"];

/// Fields that say nothing about a request.
const SILENT: &[&str] = &["level", "id"];

/// Longest part of a line that can't be read that a finding shows.
const SHOWN: usize = 60;

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StoryLine {
    /// When, by the clock of its host.
    pub ts: String,
    /// The host whose daemon decided.
    pub host: String,
    /// What it decided.
    pub msg: String,
    /// The inputs and the outcome.
    pub fields: Map<String, Value>,
}

/// What the logs tell of one request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestStory {
    #[serde(skip)]
    id: String,
    /// The decisions, in order of time.
    pub lines: Vec<StoryLine>,
    /// Log lines that can't be read; they were passed over.
    #[serde(skip)]
    pub findings: Vec<FileFinding>,
}

impl RequestStory {
    /// Opens the story of a request, and of the calls made for it; of all its copies,
    /// where `id` is its digest.
    pub(crate) fn open(id: &str) -> Self {
        Self { id: id.to_owned(), ..Self::default() }
    }

    /// Reads a story from logs given as `(file, text)`.
    #[must_use]
    pub fn read(id: &str, logs: &[(String, String)]) -> Self {
        let mut story = Self::open(id);
        for (file, text) in logs {
            for (index, line) in text.lines().enumerate() {
                story.take(file, index + 1, line);
            }
        }
        story.sort();
        story
    }

    /// Takes one line of a log, if it tells of the request; `number` counts from one.
    ///
    /// What stands before the first brace of a line is passed over, so that the
    /// output of log collectors can be read as it is. Whole lines without the id are
    /// not parsed: of the logs of a large fleet that is nearly all.
    pub(crate) fn take(&mut self, file: &str, number: usize, line: &str) {
        let line = line.trim_end();
        let Some(start) = line.find('{') else { return };
        if line.ends_with('}') && !line.contains(&self.id) {
            return;
        }
        match serde_json::from_str::<Map<String, Value>>(&line[start..]) {
            Ok(fields) => self.lines.extend(story_line(&self.id, fields)),
            Err(error) => self.findings.push(finding(file, number, line, &error)),
        }
    }

    /// Brings the lines of several logs into the order of time.
    pub(crate) fn sort(&mut self) {
        self.lines.sort_by(|left, right| left.ts.cmp(&right.ts));
    }

    /// Renders the story, one decision a line.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        for line in &self.lines {
            // Writing to a string can't fail.
            _ = write!(text, "{} {} {}", line.ts, line.host, line.msg);
            for (name, value) in &line.fields {
                match value.as_str() {
                    Some(word) => _ = write!(text, " {name}={word}"),
                    None => _ = write!(text, " {name}={value}"),
                }
            }
            text.push('\n');
        }
        text
    }
}

fn story_line(id: &str, mut fields: Map<String, Value>) -> Option<StoryLine> {
    let own = fields.get("id")?.as_str()?;
    let called = own.strip_prefix(id).is_some_and(|rest| rest.starts_with('.'));
    let same_request = fields.get("digest").is_some_and(|digest| digest == id);
    if own != id && !called && !same_request {
        return None;
    }
    if called || same_request {
        let call = fields["id"].clone();
        fields.insert("call".to_owned(), call);
    }
    let mut columns = COLUMNS.iter().map(|name| {
        let value = fields.remove(*name);
        value.and_then(|value| value.as_str().map(str::to_owned)).unwrap_or_default()
    });
    let (ts, host, msg) = (columns.next()?, columns.next()?, columns.next()?);
    drop(columns);
    for name in SILENT {
        fields.remove(*name);
    }
    Some(StoryLine { ts, host, msg, fields })
}

fn finding(file: &str, number: usize, line: &str, error: &serde_json::Error) -> FileFinding {
    let shown: String = line.chars().take(SHOWN).collect();
    FileFinding {
        file: file.to_owned(),
        position: TextPosition { line: number, column: 1 },
        text: format!("passed over: {error}: {shown}"),
    }
}
