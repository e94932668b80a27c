//! The operators' command line.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use gumdrop::Options;
use serde::Serialize;
use serde_json::json;

use crate::base::findings::{FileFinding, FindingList, TextPlace};
use crate::command::operator::{self, OperatorError};
use crate::command::story::RequestStory;
use crate::platform::open_store;
use crate::process::settings::{DaemonSettings, is_settings};
use crate::rules::config::FleetConfig;
use crate::rules::publish::{self, PublishError};

/// How a command ended, as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommandEnd {
    /// Done.
    Done = 0,
    /// Refused: a conflict, or no such thing. Nothing changed.
    Refused = 1,
    /// The input is bad. Nothing changed.
    BadInput = 2,
    /// The platform or a daemon can't be reached. Nothing changed.
    Unreachable = 3,
    /// It can't be told whether something changed.
    Unknown = 4,
}

/// What a command prints, and how it ended.
struct CommandOutput {
    end: CommandEnd,
    text: String,
}

#[derive(Debug, Options)]
struct CommandOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(help = "print the version")]
    version: bool,

    #[options(command)]
    command: Option<OperatorCommand>,
}

#[derive(Debug, Options)]
enum OperatorCommand {
    #[options(help = "check files of templates or settings")]
    Check(CheckOptions),
    #[options(help = "check templates and publish them as the next revision")]
    Publish(PublishOptions),
    #[options(help = "tell which revision is in force where")]
    Status(DaemonOptions),
    #[options(help = "print the whole state of one daemon")]
    Dump(DaemonOptions),
    #[options(help = "send a target no new work, or take that back")]
    Drain(DrainOptions),
    #[options(help = "list all targets")]
    Targets(DaemonOptions),
    #[options(help = "tell the story of one request from daemons' logs")]
    Trace(TraceOptions),
}

#[derive(Debug, Options)]
struct CheckOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(no_short, help = "print findings as JSON")]
    json: bool,

    #[options(free, required, help = "files, JSON with comments")]
    files: Vec<String>,
}

#[derive(Debug, Options)]
struct PublishOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(required, help = "address of the platform", meta = "IP:PORT")]
    platform: Option<SocketAddr>,

    #[options(help = "admin address of a daemon, to spread the news at once", meta = "IP:PORT")]
    daemon: Option<SocketAddr>,

    #[options(help = "revision the change was made on; refuse if it is no longer the newest")]
    base: Option<u64>,

    #[options(help = "who publishes; otherwise the variable USER")]
    operator: Option<String>,

    #[options(no_short, help = "print the result as JSON")]
    json: bool,

    #[options(free, required, help = "files of templates and parameters")]
    files: Vec<String>,
}

#[derive(Debug, Options)]
struct DaemonOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(required, help = "admin address of any daemon", meta = "IP:PORT")]
    daemon: Option<SocketAddr>,

    #[options(no_short, help = "print JSON")]
    json: bool,
}

#[derive(Debug, Options)]
struct DrainOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(required, help = "admin address of any daemon", meta = "IP:PORT")]
    daemon: Option<SocketAddr>,

    #[options(help = "let the target take work again")]
    undo: bool,

    #[options(free, required, help = "the target's name")]
    target: String,
}

#[derive(Debug, Options)]
struct TraceOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(no_short, help = "print the story as JSON")]
    json: bool,

    #[options(free, required, help = "the request's id")]
    id: String,

    #[options(free, help = "log files of any daemons")]
    files: Vec<String>,
}

/// Runs the command that the process was started with.
#[must_use]
pub fn run_command() -> ExitCode {
    let options = CommandOptions::parse_args_default_or_exit();
    if options.version {
        println!("railspan {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = options.command else {
        eprintln!("expected a command\n\n{}", CommandOptions::usage());
        eprintln!("\nCommands:\n{}", OperatorCommand::usage());
        return ExitCode::from(CommandEnd::BadInput as u8);
    };
    let output = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(execute(command)),
        Err(error) => output(CommandEnd::Unreachable, error.to_string()),
    };
    if output.end == CommandEnd::Done {
        println!("{}", output.text);
    } else {
        eprintln!("{}", output.text);
    }
    ExitCode::from(output.end as u8)
}

async fn execute(command: OperatorCommand) -> CommandOutput {
    match command {
        OperatorCommand::Check(options) => check(&options),
        OperatorCommand::Publish(options) => publish_files(&options).await,
        OperatorCommand::Status(options) => status(&options).await,
        OperatorCommand::Dump(options) => match operator::dump(daemon(options.daemon)).await {
            Ok(state) => output(CommandEnd::Done, pretty(&state)),
            Err(error) => operator_error(&error),
        },
        OperatorCommand::Drain(options) => {
            let drained = operator::drain(daemon(options.daemon), &options.target, !options.undo);
            match drained.await {
                Ok(host) => {
                    let word = if options.undo { "takes work again" } else { "drains" };
                    output(CommandEnd::Done, format!("{} on {host} {word}", options.target))
                }
                Err(error) => operator_error(&error),
            }
        }
        OperatorCommand::Targets(options) => targets(&options).await,
        OperatorCommand::Trace(options) => trace(&options),
    }
}

fn trace(options: &TraceOptions) -> CommandOutput {
    let files = match read_files(&options.files) {
        Ok(files) => files,
        Err(findings) => return report(&findings, options.json),
    };
    let story = RequestStory::read(&options.id, &files);
    for finding in &story.findings {
        eprintln!("{finding}");
    }
    if story.lines.is_empty() {
        return output(CommandEnd::Refused, format!("no line tells of `{}`", options.id));
    }
    let text = if options.json { pretty(&story) } else { story.render().trim_end().to_owned() };
    output(CommandEnd::Done, text)
}

fn check(options: &CheckOptions) -> CommandOutput {
    let files = match read_files(&options.files) {
        Ok(files) => files,
        Err(findings) => return report(&findings, options.json),
    };
    let (settings, templates): (Vec<_>, Vec<_>) =
        files.into_iter().partition(|(_, text)| is_settings(text));
    let mut findings: Vec<FileFinding> = Vec::new();
    for (file, text) in &settings {
        match DaemonSettings::parse(file, text) {
            Ok(settings) => findings.extend(check_terms(file, text, &settings)),
            Err(list) => findings.extend(list.0),
        }
    }
    findings.extend(FleetConfig::parse_all(&templates).err().into_iter().flat_map(|list| list.0));
    if findings.is_empty() {
        let text = if options.json { "[]".to_owned() } else { "no findings".to_owned() };
        return output(CommandEnd::Done, text);
    }
    report(&FindingList(findings), options.json)
}

/// Finds what the platform's adapter can't read in a deployment's terms.
fn check_terms(file: &str, text: &str, settings: &DaemonSettings) -> Vec<FileFinding> {
    let Some(deployment) = &settings.deployment else { return Vec::new() };
    let place = TextPlace::of(text, text.find("\"terms\"").unwrap_or_default());
    let faults = (crate::platform::adapter().read_terms)(&deployment.terms).faults;
    let finding = |text| FileFinding { file: file.to_owned(), place, text };
    faults.into_iter().map(finding).collect()
}

/// Reads all files; a file that can't be read is a finding.
fn read_files(names: &[String]) -> Result<Vec<(String, String)>, FindingList> {
    let mut files = Vec::new();
    let mut findings = Vec::new();
    for name in names {
        match std::fs::read_to_string(name) {
            Ok(text) => files.push((name.clone(), text)),
            Err(error) => findings.push(FileFinding {
                file: name.clone(),
                place: TextPlace { line: 1, column: 1 },
                text: error.to_string(),
            }),
        }
    }
    if findings.is_empty() { Ok(files) } else { Err(FindingList(findings)) }
}

fn report(findings: &FindingList, json: bool) -> CommandOutput {
    let text = if json { pretty(&findings.0) } else { findings.to_string() };
    output(CommandEnd::BadInput, text)
}

async fn publish_files(options: &PublishOptions) -> CommandOutput {
    let parsed = read_files(&options.files).and_then(|files| FleetConfig::parse_all(&files));
    let config = match parsed {
        Ok(config) => config,
        Err(findings) => return report(&findings, options.json),
    };
    let name = options.operator.clone().or_else(|| std::env::var("USER").ok());
    let name = name.unwrap_or_else(|| "unknown".to_owned());
    let client = open_store(daemon(options.platform));
    match publish::publish(&client, &config, &name, options.base).await {
        Ok(head) => {
            if let Some(daemon) = options.daemon {
                // Without the hint the daemons hear of it a little later.
                drop(operator::hint(daemon).await);
            }
            let text = if options.json {
                pretty(&head)
            } else {
                format!("published revision {}", head.revision)
            };
            output(CommandEnd::Done, text)
        }
        Err(error) => {
            let end = match error {
                PublishError::Conflict { .. } => CommandEnd::Refused,
                PublishError::NotPublished { .. } => CommandEnd::Unreachable,
                PublishError::Unsettled { .. } => CommandEnd::Unknown,
            };
            output(end, error.to_string())
        }
    }
}

async fn status(options: &DaemonOptions) -> CommandOutput {
    let hosts = match operator::read_status(daemon(options.daemon)).await {
        Ok(hosts) => hosts,
        Err(error) => return operator_error(&error),
    };
    if options.json {
        return output(CommandEnd::Done, pretty(&json!({ "hosts": hosts })));
    }
    let mut by_revision: BTreeMap<Option<u64>, Vec<&str>> = BTreeMap::new();
    for host in &hosts {
        by_revision.entry(host.revision).or_default().push(host.host.as_str());
    }
    let newest = by_revision.keys().next_back().copied().flatten();
    let mut text = String::new();
    for (revision, names) in by_revision.iter().rev() {
        let label = match revision {
            Some(revision) => format!("revision {revision}"),
            None => "not known".to_owned(),
        };
        let list =
            if *revision == newest { String::new() } else { format!(": {}", names.join(" ")) };
        _ = writeln!(text, "{label:<14} {:>5} hosts{list}", names.len());
    }
    let ready = hosts.iter().filter(|host| host.ready).count();
    _ = write!(text, "{ready} of {} hosts serve calls", hosts.len());
    output(CommandEnd::Done, text)
}

async fn targets(options: &DaemonOptions) -> CommandOutput {
    let lines = match operator::list_targets(daemon(options.daemon)).await {
        Ok(lines) => lines,
        Err(error) => return operator_error(&error),
    };
    if options.json {
        return output(CommandEnd::Done, pretty(&lines));
    }
    let mut text = format!(
        "{:<16} {:<20} {:<20} {:<14} {:<8} {:<6} SLOTS",
        "SERVICE", "TARGET", "HOST", "DATA CENTRE", "DAEMON", "READY"
    );
    for line in &lines {
        let daemon = format!("{:?}", line.daemon).to_lowercase();
        let ready = if line.ready { "yes" } else { "no" };
        _ = write!(
            text,
            "\n{:<16} {:<20} {:<20} {:<14} {daemon:<8} {ready:<6} {}",
            line.service.as_str(),
            line.target.as_str(),
            line.host.as_str(),
            line.data_centre.as_str(),
            line.slots
        );
    }
    output(CommandEnd::Done, text)
}

fn operator_error(error: &OperatorError) -> CommandOutput {
    let end = match error {
        OperatorError::Unreachable { .. } => CommandEnd::Unreachable,
        OperatorError::Refused { .. } | OperatorError::NoTarget { .. } => CommandEnd::Refused,
    };
    output(end, error.to_string())
}

const fn output(end: CommandEnd, text: String) -> CommandOutput {
    CommandOutput { end, text }
}

/// Returns an address that the argument parser made sure of.
fn daemon(address: Option<SocketAddr>) -> SocketAddr {
    address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn pretty<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
