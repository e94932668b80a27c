//! `railspan status`: shows which revision is in force on which hosts, and which hosts
//! differ.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use gumdrop::Options;
use serde_json::json;

use crate::base::digest::RequestDigest;
use crate::command::operator::{self, HostCondition, HostStatus, TokenCondition, required_address};
use crate::command::output::{self, CommandOutput};

/// Maximum number of differing hosts that are listed without `--all`: as many as fit on a
/// screen below the summary.
const MAX_LISTED: usize = 30;

/// Maximum number of targets whose statements are listed.
const MAX_STATEMENTS: usize = 10;

#[derive(Debug, Options)]
pub(crate) struct StatusOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(required, help = "admin address of any daemon", meta = "IP:PORT")]
    daemon: Option<SocketAddr>,

    #[options(no_short, help = "only hosts in one data centre", meta = "NAME")]
    data_centre: Option<String>,

    #[options(no_short, help = "list every host")]
    all: bool,

    #[options(no_short, help = "print JSON")]
    json: bool,
}

impl HostCondition {
    const fn label(self) -> &'static str {
        match self {
            Self::Serving => "serves calls",
            Self::NotReady => "takes no calls",
            Self::NoAnswer => "no answer",
            Self::Down => "down",
            Self::Left => "left",
        }
    }
}

impl HostStatus {
    /// Returns how the host differs from one that serves calls with the newest revision.
    fn differences(&self, newest: Option<u64>) -> Vec<String> {
        let mut differences = Vec::new();
        if self.condition != HostCondition::Serving {
            differences.push(self.condition.label().to_owned());
        }
        match self.revision {
            Some(revision) if self.revision != newest => {
                differences.push(format!("revision {revision}"));
            }
            None if self.condition <= HostCondition::NotReady => {
                differences.push("no revision".to_owned());
            }
            _ => {}
        }
        if self.store_lost && self.condition <= HostCondition::NoAnswer {
            differences.push("store lost".to_owned());
        }
        if self.tokens == TokenCondition::Unconfirmed {
            differences.push("refuses tokens, revocations unconfirmed".to_owned());
        }
        for memory in [self.body_memory.small, self.body_memory.large] {
            if memory.waiting > 0 {
                let (held, limit) = (memory.held_bytes >> 20, memory.limit_bytes >> 20);
                let waiting = memory.waiting;
                differences.push(format!("{waiting} bodies wait, {held} of {limit} MiB are used"));
            }
        }
        let connections = &self.connections;
        if connections.is_nearly_full() {
            let (held, limit) = (connections.held_bytes >> 20, connections.limit_bytes >> 20);
            differences.push(format!(
                "{} of {} connections of callers, {held} of {limit} MiB",
                connections.connections, connections.max_connections
            ));
        }
        differences
    }
}

pub(crate) async fn run(options: &StatusOptions) -> CommandOutput {
    let mut hosts = match operator::read_status(required_address(options.daemon)).await {
        Ok(hosts) => hosts,
        Err(error) => return CommandOutput::from(&error),
    };
    if let Some(name) = &options.data_centre {
        let known = hosts.iter().map(|host| host.data_centre.as_str());
        if let Err(output) = output::expect_known("data centre", name, known) {
            return output;
        }
        hosts.retain(|host| host.data_centre.as_str() == name);
    }
    if options.json {
        return CommandOutput::success(output::to_json(&json!({ "hosts": hosts })));
    }
    CommandOutput::success(render_status(&hosts, options.all))
}

/// Renders the status as text: a summary, the data centres, and the hosts that differ or,
/// with `all`, every host.
#[must_use]
pub fn render_status(hosts: &[HostStatus], all: bool) -> String {
    let newest = hosts.iter().filter_map(|host| host.revision).max();
    let mut text = summary(hosts, newest);
    write_centres(&mut text, hosts);
    let mut listed: Vec<(&HostStatus, Vec<String>)> = hosts
        .iter()
        .map(|host| (host, host.differences(newest)))
        .filter(|(_, differences)| all || !differences.is_empty())
        .collect();
    listed.sort_by_key(|(host, differences)| {
        (differences.is_empty(), host.condition, &host.data_centre, &host.host)
    });
    write_hosts(&mut text, &listed, all);
    text.trim_end().to_owned()
}

fn summary(hosts: &[HostStatus], newest: Option<u64>) -> String {
    let count = |condition| hosts.iter().filter(|host| host.condition == condition).count();
    let mut text =
        format!("{} of {} hosts serve calls", count(HostCondition::Serving), hosts.len());
    let others = [
        HostCondition::NotReady,
        HostCondition::NoAnswer,
        HostCondition::Down,
        HostCondition::Left,
    ];
    for condition in others.into_iter().filter(|condition| count(*condition) > 0) {
        _ = write!(text, ", {}: {}", condition.label(), count(condition));
    }
    if let Some(newest) = newest {
        let current = hosts.iter().filter(|host| host.revision == Some(newest)).count();
        let known = hosts.iter().filter(|host| host.revision.is_some()).count();
        _ = write!(text, "\nrevision {newest} is in force at {current} of {known} that tell one");
    }
    for (centre, reporting, answered) in evacuated_centres(hosts) {
        _ = write!(text, "\n{centre} is evacuated, as {reporting} of {answered} hosts there say");
    }
    for (digest, reporting) in blamed_requests(hosts) {
        _ = write!(text, "\nheld back, since it ends targets: {digest}, as {reporting} hosts say");
    }
    write_statements(&mut text, hosts);
    if count(HostCondition::NoAnswer) > 0 {
        text.push_str("\npartial: what hosts without an answer have in force is not known");
    }
    text.push('\n');
    text
}

/// Returns the evacuated data centres, each with the number of its hosts that report the
/// evacuation and the number that answered.
fn evacuated_centres(hosts: &[HostStatus]) -> Vec<(&str, usize, usize)> {
    let mut centres: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for host in hosts.iter().filter(|host| host.condition <= HostCondition::NotReady) {
        let (reporting, answered) = centres.entry(host.data_centre.as_str()).or_default();
        *reporting += usize::from(host.evacuated);
        *answered += 1;
    }
    let evacuated = centres.into_iter().filter(|(_, (reporting, _))| *reporting > 0);
    evacuated.map(|(centre, (reporting, answered))| (centre, reporting, answered)).collect()
}

/// Returns the blamed requests, each with the number of hosts that report it.
fn blamed_requests(hosts: &[HostStatus]) -> BTreeMap<RequestDigest, usize> {
    let mut requests = BTreeMap::new();
    for digest in hosts.iter().flat_map(|host| &host.blamed) {
        *requests.entry(*digest).or_default() += 1;
    }
    requests
}

/// Writes what targets state in their answers, up to [`MAX_STATEMENTS`] lines.
fn write_statements(text: &mut String, hosts: &[HostStatus]) {
    let statements = hosts.iter().flat_map(|host| &host.statements);
    let count = statements.clone().count();
    for statement in statements.take(MAX_STATEMENTS) {
        _ = write!(text, "\n{statement}");
    }
    if count > MAX_STATEMENTS {
        let more = count - MAX_STATEMENTS;
        _ = write!(text, "\nand {more} more targets state a rate or that they leave");
    }
}

/// Writes a table with one line for each data centre, if there are several.
fn write_centres(text: &mut String, hosts: &[HostStatus]) {
    let mut centres: BTreeMap<&str, Vec<&HostStatus>> = BTreeMap::new();
    for host in hosts {
        centres.entry(host.data_centre.as_str()).or_default().push(host);
    }
    if centres.len() < 2 {
        return;
    }
    let head = ["DATA CENTRE", "HOSTS", "SERVE", "NO ANSWER", "GONE", "STORE LOST"];
    _ = write!(text, "\n{:<20} {:>6} {:>6}", head[0], head[1], head[2]);
    _ = writeln!(text, " {:>10} {:>6} {:>11}", head[3], head[4], head[5]);
    for (centre, hosts) in centres {
        let count = |test: fn(&HostStatus) -> bool| hosts.iter().filter(|host| test(host)).count();
        let serving = count(|host| host.condition == HostCondition::Serving);
        let unanswered = count(|host| host.condition == HostCondition::NoAnswer);
        let gone = count(|host| host.condition >= HostCondition::Down);
        let store_lost = count(|host| host.store_lost && host.condition < HostCondition::Down);
        _ = write!(text, "{centre:<20} {:>6} {serving:>6}", hosts.len());
        _ = writeln!(text, " {unanswered:>10} {gone:>6} {store_lost:>11}");
    }
}

/// Writes one line for each listed host with its differences, up to [`MAX_LISTED`] lines
/// unless `all` is set.
fn write_hosts(text: &mut String, listed: &[(&HostStatus, Vec<String>)], all: bool) {
    if listed.is_empty() {
        return;
    }
    text.push_str(if all { "\nall hosts:\n" } else { "\nhosts that differ:\n" });
    let limit = if all { listed.len() } else { MAX_LISTED };
    for (host, differences) in listed.iter().take(limit) {
        let details = if differences.is_empty() { "-".to_owned() } else { differences.join(", ") };
        let (name, centre) = (host.host.as_str(), host.data_centre.as_str());
        _ = writeln!(text, "{name:<24} {centre:<20} {details}");
    }
    if listed.len() > limit {
        _ = writeln!(text, "and {} more; --all lists every host", listed.len() - limit);
    }
}
