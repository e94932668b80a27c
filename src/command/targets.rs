//! `railspan targets`: how many targets each service has, and which take no work.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::str::FromStr;

use gumdrop::Options;

use crate::base::member::MemberState;
use crate::command::operator::{self, TargetStatus, daemon_address};
use crate::command::output::{self, CommandOutput};

/// Targets that are listed without a filter or `--all`, if there are no more: a
/// screen's worth. In a larger fleet only those that take no new work are.
const MAX_LISTED: usize = 30;

/// A state that targets are asked for by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetState {
    /// It takes new work.
    Ready,
    /// It takes none, though its daemon answers.
    NotReady,
    /// Its daemon does not answer or has left.
    Down,
}

impl FromStr for TargetState {
    type Err = String;

    fn from_str(word: &str) -> Result<Self, String> {
        match word {
            "ready" => Ok(Self::Ready),
            "not-ready" => Ok(Self::NotReady),
            "down" => Ok(Self::Down),
            _ => Err("expected ready, not-ready or down".to_owned()),
        }
    }
}

#[derive(Debug, Options)]
pub(crate) struct TargetsOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(required, help = "admin address of any daemon", meta = "IP:PORT")]
    daemon: Option<SocketAddr>,

    #[options(no_short, help = "targets of one service alone", meta = "NAME")]
    service: Option<String>,

    #[options(no_short, help = "targets in one data centre alone", meta = "NAME")]
    data_centre: Option<String>,

    #[options(
        no_short,
        help = "targets in one state alone: ready, not-ready or down",
        meta = "STATE"
    )]
    state: Option<TargetState>,

    #[options(no_short, help = "list every target")]
    all: bool,

    #[options(no_short, help = "print JSON")]
    json: bool,
}

impl TargetStatus {
    const fn state(&self) -> TargetState {
        match self.daemon {
            MemberState::Dead | MemberState::Left => TargetState::Down,
            _ if self.ready => TargetState::Ready,
            _ => TargetState::NotReady,
        }
    }
}

/// Which targets are asked for; unset parts hold for all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct TargetFilter {
    /// Their service.
    service: Option<String>,
    /// Their data centre.
    data_centre: Option<String>,
    /// Their state.
    state: Option<TargetState>,
}

pub(crate) async fn run(options: &TargetsOptions) -> CommandOutput {
    let filter = TargetFilter {
        service: options.service.clone(),
        data_centre: options.data_centre.clone(),
        state: options.state,
    };
    let lines = match operator::list_targets(daemon_address(options.daemon)).await {
        Ok(lines) => lines,
        Err(error) => return CommandOutput::from(&error),
    };
    let listed = match filter_targets(&lines, &filter) {
        Ok(listed) => listed,
        Err(end) => return end,
    };
    if options.json {
        return CommandOutput::done(output::to_json(&listed));
    }
    let all = options.all || filter != TargetFilter::default();
    CommandOutput::done(render_targets(&listed, all))
}

/// Returns the targets that a filter lets through; `Err` if it names what is not there.
fn filter_targets(
    lines: &[TargetStatus],
    filter: &TargetFilter,
) -> Result<Vec<TargetStatus>, CommandOutput> {
    let mut listed: Vec<&TargetStatus> = lines.iter().collect();
    if let Some(state) = filter.state {
        listed.retain(|line| line.state() == state);
    }
    if let Some(name) = &filter.service {
        output::expect_known("service", name, lines.iter().map(|line| line.service.as_str()))?;
        listed.retain(|line| line.service.as_str() == name);
    }
    if let Some(name) = &filter.data_centre {
        let known = lines.iter().map(|line| line.data_centre.as_str());
        output::expect_known("data centre", name, known)?;
        listed.retain(|line| line.data_centre.as_str() == name);
    }
    Ok(listed.into_iter().cloned().collect())
}

/// Renders targets for a person: a line for each service, then the targets that take
/// no new work, or all of them if `all` is set or they are few.
#[must_use]
pub fn render_targets(lines: &[TargetStatus], all: bool) -> String {
    let mut text = String::new();
    write_services(&mut text, lines);
    let all = all || lines.len() <= MAX_LISTED;
    let listed: Vec<&TargetStatus> = lines.iter().filter(|line| all || !line.ready).collect();
    if listed.is_empty() {
        return text.trim_end().to_owned();
    }
    if !all {
        text.push_str("\ntargets that take no new work; --all lists every target:");
    }
    let head = ["SERVICE", "TARGET", "HOST", "DATA CENTRE", "DAEMON", "READY", "SLOTS"];
    write_row(&mut text, head.map(str::to_owned));
    for line in listed {
        write_row(&mut text, columns(line));
    }
    text
}

fn write_services(text: &mut String, lines: &[TargetStatus]) {
    let mut services: BTreeMap<&str, Vec<&TargetStatus>> = BTreeMap::new();
    for line in lines {
        services.entry(line.service.as_str()).or_default().push(line);
    }
    _ = write!(text, "{:<20} {:>8} {:>6} {:>10}", "SERVICE", "TARGETS", "READY", "SLOTS READY");
    for (service, lines) in services {
        let ready: Vec<_> = lines.iter().filter(|line| line.ready).collect();
        let slots: u32 = ready.iter().map(|line| u32::from(line.slots)).sum();
        _ = write!(text, "\n{service:<20} {:>8} {:>6} {slots:>11}", lines.len(), ready.len());
    }
    text.push('\n');
}

fn columns(line: &TargetStatus) -> [String; 7] {
    [
        line.service.to_string(),
        line.target.to_string(),
        line.host.to_string(),
        line.data_centre.to_string(),
        format!("{:?}", line.daemon).to_lowercase(),
        if line.ready { "yes" } else { "no" }.to_owned(),
        line.slots.to_string(),
    ]
}

fn write_row(text: &mut String, columns: [String; 7]) {
    let [service, target, host, data_centre, daemon, ready, slots] = columns;
    _ = write!(text, "\n{service:<16} {target:<20} {host:<24} {data_centre:<14}");
    _ = write!(text, " {daemon:<8} {ready:<6} {slots}");
}
