//! `railspan trace`: shows what the daemons' logs contain about one request.

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

    #[options(no_short, help = "print the trace as JSON")]
    json: bool,

    #[options(free, required, help = "id of the request, or its digest for all copies")]
    id: String,

    #[options(free, help = "log files of daemons")]
    files: Vec<String>,
}

pub(crate) fn run(options: &TraceOptions) -> CommandOutput {
    let trace = match read_trace(&options.id, &options.files) {
        Ok(trace) => trace,
        Err(findings) => return check::findings_output(&findings, options.json),
    };
    for finding in &trace.findings {
        eprintln!("{finding}");
    }
    if trace.lines.is_empty() {
        let text = format!("no log line about `{}`", options.id);
        return CommandOutput::new(CommandExit::Refused, text);
    }
    let plain = || trace.render().trim_end().to_owned();
    CommandOutput::success(if options.json { output::to_json(&trace) } else { plain() })
}

/// Reads a request's trace from files, line by line, since the logs of hundreds of daemons
/// don't fit in memory.
///
/// # Errors
///
/// Returns a finding for each file that can't be read.
fn read_trace(id: &str, names: &[String]) -> Result<RequestTrace, FindingList> {
    let mut logs = Vec::new();
    let mut findings = Vec::new();
    for name in names {
        match File::open(name).and_then(|log| Ok((log.metadata()?.len(), log))) {
            Ok((bytes, log)) => logs.push((name, bytes, BufReader::new(log))),
            Err(error) => findings.push(check::unreadable_file(name, &error)),
        }
    }
    let mut trace = RequestTrace::open(id);
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
                    findings.push(check::unreadable_file(name, &error));
                    break;
                }
            }
            trace.add_line(name, number, &String::from_utf8_lossy(&line));
            progress.set(done);
        }
    }
    if !findings.is_empty() {
        return Err(FindingList(findings));
    }
    trace.sort_by_time();
    Ok(trace)
}
