//! `railspan status`: which revision is in force where, and what differs.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use gumdrop::Options;
use serde_json::json;

use crate::base::digest::RequestDigest;
use crate::command::operator::{self, HostCondition, HostStatus, daemon_address};
use crate::command::output::{self, CommandOutput};

/// Hosts that differ from the rest and are listed without `--all`: as many as a
/// screen shows below the summary.
const MAX_LISTED: usize = 30;

#[derive(Debug, Options)]
pub(crate) struct StatusOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(required, help = "admin address of any daemon", meta = "IP:PORT")]
    daemon: Option<SocketAddr>,

    #[options(no_short, help = "hosts of one data centre alone", meta = "NAME")]
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
    /// Returns what sets a host apart from one that serves by `newest`.
    fn differences(&self, newest: Option<u64>) -> Vec<String> {
        let mut found = Vec::new();
        if self.condition != HostCondition::Serving {
            found.push(self.condition.label().to_owned());
        }
        match self.revision {
            Some(revision) if self.revision != newest => found.push(format!("revision {revision}")),
            None if self.condition <= HostCondition::NotReady => {
                found.push("no revision".to_owned());
            }
            _ => {}
        }
        if self.store_lost && self.condition <= HostCondition::NoAnswer {
            found.push("store lost".to_owned());
        }
        found
    }
}

pub(crate) async fn run(options: &StatusOptions) -> CommandOutput {
    let mut hosts = match operator::read_status(daemon_address(options.daemon)).await {
        Ok(hosts) => hosts,
        Err(error) => return CommandOutput::from(&error),
    };
    if let Some(name) = &options.data_centre {
        let known = hosts.iter().map(|host| host.data_centre.as_str());
        if let Err(end) = output::expect_known("data centre", name, known) {
            return end;
        }
        hosts.retain(|host| host.data_centre.as_str() == name);
    }
    if options.json {
        return CommandOutput::done(output::to_json(&json!({ "hosts": hosts })));
    }
    CommandOutput::done(render_status(&hosts, options.all))
}

/// Renders the hosts for a person: a summary, the data centres, then the hosts that
/// differ, or all of them.
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
    for (centre, said, known) in evacuated_centres(hosts) {
        _ = write!(text, "\n{centre} is evacuated, as {said} of {known} hosts there say");
    }
    for (digest, said) in blamed_requests(hosts) {
        _ = write!(text, "\nheld back, since it ends targets: {digest}, as {said} hosts say");
    }
    if count(HostCondition::NoAnswer) > 0 {
        text.push_str("\npartial: what hosts without an answer have in force is not known");
    }
    text.push('\n');
    text
}

/// Returns the data centres that are evacuated, how many of their hosts say so, and how
/// many answered.
fn evacuated_centres(hosts: &[HostStatus]) -> Vec<(&str, usize, usize)> {
    let mut centres: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for host in hosts.iter().filter(|host| host.condition <= HostCondition::NotReady) {
        let (said, known) = centres.entry(host.data_centre.as_str()).or_default();
        *said += usize::from(host.evacuated);
        *known += 1;
    }
    let evacuated = centres.into_iter().filter(|(_, (said, _))| *said > 0);
    evacuated.map(|(centre, (said, known))| (centre, said, known)).collect()
}

/// Returns the requests that reach no target, and how many hosts say so.
fn blamed_requests(hosts: &[HostStatus]) -> BTreeMap<RequestDigest, usize> {
    let mut requests = BTreeMap::new();
    for digest in hosts.iter().flat_map(|host| &host.blamed) {
        *requests.entry(*digest).or_default() += 1;
    }
    requests
}

/// Writes one line for each data centre, if there is more than one.
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
        let silent = count(|host| host.condition == HostCondition::NoAnswer);
        let gone = count(|host| host.condition >= HostCondition::Down);
        let lost = count(|host| host.store_lost && host.condition < HostCondition::Down);
        _ = write!(text, "{centre:<20} {:>6} {serving:>6}", hosts.len());
        _ = writeln!(text, " {silent:>10} {gone:>6} {lost:>11}");
    }
}

fn write_hosts(text: &mut String, listed: &[(&HostStatus, Vec<String>)], all: bool) {
    if listed.is_empty() {
        return;
    }
    text.push_str(if all { "\nall hosts:\n" } else { "\nhosts that differ:\n" });
    let most = if all { listed.len() } else { MAX_LISTED };
    for (host, differences) in listed.iter().take(most) {
        let what = if differences.is_empty() { "-".to_owned() } else { differences.join(", ") };
        let (name, centre) = (host.host.as_str(), host.data_centre.as_str());
        _ = writeln!(text, "{name:<24} {centre:<20} {what}");
    }
    if listed.len() > most {
        _ = writeln!(text, "and {} more; --all lists every host", listed.len() - most);
    }
}
