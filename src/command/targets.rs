//! `railspan targets`: shows how many targets each service has, and which accept no new calls.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::str::FromStr;

use gumdrop::Options;

use crate::base::member::MemberState;
use crate::command::operator::{self, TargetStatus, required_address};
use crate::command::output::{self, CommandOutput};

/// Maximum number of targets that are all listed without a filter or `--all`: a screenful.
/// If there are more, only those that accept no new calls are listed.
const MAX_LISTED: usize = 30;

/// State by which targets can be filtered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetState {
    /// The target accepts new calls.
    Ready,
    /// The target accepts no new calls, although its daemon is up.
    NotReady,
    /// The target's daemon does not answer or has left the fleet.
    Down,
}

impl FromStr for TargetState {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
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

    #[options(no_short, help = "only targets of one service", meta = "NAME")]
    service: Option<String>,

    #[options(no_short, help = "only targets in one data centre", meta = "NAME")]
    data_centre: Option<String>,

    #[options(
        no_short,
        help = "only targets in one state: ready, not-ready or down",
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

/// Filter for targets; an unset field matches every target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct TargetFilter {
    service: Option<String>,
    data_centre: Option<String>,
    state: Option<TargetState>,
}

pub(crate) async fn run(options: &TargetsOptions) -> CommandOutput {
    let filter = TargetFilter {
        service: options.service.clone(),
        data_centre: options.data_centre.clone(),
        state: options.state,
    };
    let statuses = match operator::list_targets(required_address(options.daemon)).await {
        Ok(statuses) => statuses,
        Err(error) => return CommandOutput::from(&error),
    };
    let listed = match filter_targets(&statuses, &filter) {
        Ok(listed) => listed,
        Err(output) => return output,
    };
    if options.json {
        return CommandOutput::success(output::to_json(&listed));
    }
    let all = options.all || filter != TargetFilter::default();
    CommandOutput::success(render_targets(&listed, all))
}

/// Returns the targets that match a filter.
///
/// # Errors
///
/// Returns the command's output if the filter names an unknown service or data centre.
fn filter_targets(
    statuses: &[TargetStatus],
    filter: &TargetFilter,
) -> Result<Vec<TargetStatus>, CommandOutput> {
    let mut listed: Vec<&TargetStatus> = statuses.iter().collect();
    if let Some(state) = filter.state {
        listed.retain(|status| status.state() == state);
    }
    if let Some(name) = &filter.service {
        output::expect_known(
            "service",
            name,
            statuses.iter().map(|status| status.service.as_str()),
        )?;
        listed.retain(|status| status.service.as_str() == name);
    }
    if let Some(name) = &filter.data_centre {
        let known = statuses.iter().map(|status| status.data_centre.as_str());
        output::expect_known("data centre", name, known)?;
        listed.retain(|status| status.data_centre.as_str() == name);
    }
    Ok(listed.into_iter().cloned().collect())
}

/// Renders targets as text: a line for each service, then the targets that take no new
/// calls, or all targets if `all` is set or there are at most `MAX_LISTED`.
#[must_use]
pub fn render_targets(statuses: &[TargetStatus], all: bool) -> String {
    let mut text = String::new();
    write_services(&mut text, statuses);
    let all = all || statuses.len() <= MAX_LISTED;
    let listed: Vec<&TargetStatus> =
        statuses.iter().filter(|status| all || !status.ready).collect();
    if listed.is_empty() {
        return text.trim_end().to_owned();
    }
    if !all {
        text.push_str("\ntargets that take no new work; --all lists every target:");
    }
    let head = ["SERVICE", "TARGET", "HOST", "DATA CENTRE", "DAEMON", "READY", "SLOTS"];
    write_row(&mut text, head.map(str::to_owned));
    for status in listed {
        write_row(&mut text, target_row(status));
    }
    text
}

/// Writes a table with one line for each service.
fn write_services(text: &mut String, statuses: &[TargetStatus]) {
    let mut services: BTreeMap<&str, Vec<&TargetStatus>> = BTreeMap::new();
    for status in statuses {
        services.entry(status.service.as_str()).or_default().push(status);
    }
    _ = write!(text, "{:<20} {:>8} {:>6} {:>10}", "SERVICE", "TARGETS", "READY", "SLOTS READY");
    for (service, statuses) in services {
        let ready: Vec<_> = statuses.iter().filter(|status| status.ready).collect();
        let slots: u32 = ready.iter().map(|status| u32::from(status.slots)).sum();
        _ = write!(text, "\n{service:<20} {:>8} {:>6} {slots:>11}", statuses.len(), ready.len());
    }
    text.push('\n');
}

fn target_row(status: &TargetStatus) -> [String; 7] {
    [
        status.service.to_string(),
        status.target.to_string(),
        status.host.to_string(),
        status.data_centre.to_string(),
        format!("{:?}", status.daemon).to_lowercase(),
        if status.ready { "yes" } else { "no" }.to_owned(),
        status.slots.to_string(),
    ]
}

fn write_row(text: &mut String, columns: [String; 7]) {
    let [service, target, host, data_centre, daemon, ready, slots] = columns;
    _ = write!(text, "\n{service:<16} {target:<20} {host:<24} {data_centre:<14}");
    _ = write!(text, " {daemon:<8} {ready:<6} {slots}");
}
