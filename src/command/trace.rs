//! `railspan trace`: the story of one request from daemons' logs.

use std::fs::File;
use std::io::{BufRead, BufReader};

use gumdrop::Options;

use crate::base::findings::FindingList;
use crate::command::check;
use crate::command::output::{self, CommandExit, CommandOutput};
use crate::command::progress::CommandProgress;
use crate::command::request_trace::RequestTrace;

#[derive(Debug, Options)]
pub(crate) struct TraceOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(no_short, help = "print the story as JSON")]
    json: bool,

    #[options(free, required, help = "the request's id, or its digest for all copies")]
    id: String,

    #[options(free, help = "log files of any daemons")]
    files: Vec<String>,
}

pub(crate) fn run(options: &TraceOptions) -> CommandOutput {
    let story = match read_story(&options.id, &options.files) {
        Ok(story) => story,
        Err(findings) => return check::report(&findings, options.json),
    };
    for finding in &story.findings {
        eprintln!("{finding}");
    }
    if story.lines.is_empty() {
        let text = format!("no line tells of `{}`", options.id);
        return CommandOutput::new(CommandExit::Refused, text);
    }
    let plain = || story.render().trim_end().to_owned();
    CommandOutput::done(if options.json { output::to_json(&story) } else { plain() })
}

/// Reads a request's lines from files, a line at a time: the logs of hundreds of
/// daemons are larger than memory.
fn read_story(id: &str, names: &[String]) -> Result<RequestTrace, FindingList> {
    let mut logs = Vec::new();
    let mut findings = Vec::new();
    for name in names {
        match File::open(name).and_then(|log| Ok((log.metadata()?.len(), log))) {
            Ok((bytes, log)) => logs.push((name, bytes, BufReader::new(log))),
            Err(error) => findings.push(check::unreadable(name, &error)),
        }
    }
    let mut story = RequestTrace::open(id);
    let mut progress = CommandProgress::open(logs.iter().map(|(_, bytes, _)| bytes).sum());
    let mut done = 0;
    for (name, _, mut log) in logs {
        let mut line = Vec::new();
        for number in 1.. {
            line.clear();
            match log.read_until(b'\n', &mut line) {
                Ok(0) => break,
                Ok(bytes) => done += bytes as u64,
                Err(error) => {
                    findings.push(check::unreadable(name, &error));
                    break;
                }
            }
            story.take(name, number, &String::from_utf8_lossy(&line));
            progress.set(done);
        }
    }
    if !findings.is_empty() {
        return Err(FindingList(findings));
    }
    story.sort();
    Ok(story)
}
