//! Whether the promises were kept, from what clients sent and targets saw.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use railspan_standins::HostedRun;

use super::caller::{RequestEnd, RequestKind, RequestNote};
use super::fleet::{DrainNote, MAX_ATTEMPTS, RETRY_RATIO, RETRY_SLACK, SoakFleet};
use super::host::lock;
use super::{deadly, places};

/// Statuses that say that a request did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Time after a drain was acknowledged in which requests may still arrive.
const DRAIN_BOUND: Duration = Duration::from_secs(1);

/// Time after a client left in which its request may still arrive.
const LEFT_BOUND: Duration = Duration::from_secs(2);

/// Time over the client's own that a target may be given.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);

/// Part of its time after which a request may end without its target's answer.
const USED_UP: f64 = 0.7;

/// Window over which further tries are counted.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// A request that reached a target.
pub struct Arrival {
    pub target: String,
    service: String,
    /// The place of its guard's host.
    pub host: usize,
    pub run: HostedRun,
}

/// Judges a run; returns what broke, a line each.
pub fn judge(fleet: &SoakFleet, notes: &[RequestNote], calm: bool) -> Vec<String> {
    let mut findings = std::mem::take(&mut *lock(&fleet.findings));
    let arrivals = arrivals(fleet);
    let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in &arrivals {
        let id = header(&arrival.run, "x-request-id");
        by_id.entry(id).or_default().push(arrival);
    }
    let known: HashSet<&str> = notes.iter().map(|note| &*note.id).collect();
    for id in by_id.keys().filter(|id| !known.contains(**id) && **id != "recovery") {
        findings.push(format!("{id}: ran, and nobody sent it"));
    }
    for note in notes {
        let runs = by_id.get(&*note.id).map_or(&[][..], Vec::as_slice);
        let mut faults = Vec::new();
        judge_answer(note, runs, &mut faults);
        judge_runs(fleet, note, runs, &mut faults);
        if calm {
            judge_calm(note, runs, &mut faults);
        }
        findings.extend(faults.iter().map(|fault| format!("{} ({}): {fault}", note.id, note.line)));
    }
    judge_drains(&lock(&fleet.drains), &arrivals, &mut findings);
    places::judge(fleet, &arrivals, &mut findings);
    deadly::judge(fleet, &arrivals, &mut findings);
    judge_versions(notes, &mut findings);
    judge_budget(notes, &by_id, &mut findings);
    findings
}

fn arrivals(fleet: &SoakFleet) -> Vec<Arrival> {
    let targets = lock(&fleet.targets);
    let mut arrivals = Vec::new();
    for ran in targets.iter() {
        let target = &ran.target;
        arrivals.extend(target.runs().into_iter().map(|run| Arrival {
            target: target.name().to_owned(),
            service: target.service().to_owned(),
            host: fleet.host_of(ran),
            run,
        }));
    }
    arrivals
}

fn header<'a>(run: &'a HostedRun, name: &str) -> &'a str {
    run.headers.get(name).map_or("", String::as_str)
}

fn judge_answer(note: &RequestNote, runs: &[&Arrival], faults: &mut Vec<String>) {
    if matches!(note.end, RequestEnd::Silent) {
        faults.push("no final answer long after its deadline".to_owned());
    }
    let RequestEnd::Answered { status, headers, body } = &note.end else { return };
    let expected = format!("body of {}", note.id);
    let signed = headers.contains_key("x-server-signature");
    let own = headers.get("x-request-id").is_some_and(|id| *id == note.id);
    if *status < 300 && !(signed && own && *body == expected.as_bytes()) {
        faults.push(format!("{status} that is not its target's whole answer"));
    }
    if *status < 300 && runs.is_empty() {
        faults.push(format!("{status}, and no target ran it"));
    }
    if signed && !matches!(*status, 200 | 500) {
        faults.push(format!("signed {status} that no target gave"));
    }
    if NOT_RUN.contains(status) && !runs.is_empty() {
        faults.push(format!("{status} says not run, but it ran {} times", runs.len()));
    }
    // Of a request that ends targets, coming back does not help; all others are told when.
    let comes_back = note.kind != RequestKind::Deadly;
    if comes_back && matches!(*status, 429 | 503) && !headers.contains_key("retry-after") {
        faults.push(format!("{status} without a time to come back"));
    }
    let versioned = matches!(note.kind, RequestKind::Versioned(_));
    let denied = (300..500).contains(status) && !NOT_RUN.contains(status);
    if denied && !(versioned && *status == 404) {
        faults.push(format!("a proper request was denied with {status}"));
    }
}

fn judge_runs(fleet: &SoakFleet, note: &RequestNote, runs: &[&Arrival], faults: &mut Vec<String>) {
    if note.kind == RequestKind::Unsafe && runs.len() > 1 {
        faults.push(format!("ran {} times", runs.len()));
    }
    let targets: HashSet<&str> = runs.iter().map(|arrival| &*arrival.target).collect();
    if targets.len() > MAX_ATTEMPTS {
        faults.push(format!("reached {} targets", targets.len()));
    }
    for arrival in runs {
        let run = &arrival.run;
        if run.request_line != note.line || run.body != note.body {
            faults.push(format!("arrived changed: {}", run.request_line));
        }
        if arrival.service != note.service {
            faults.push(format!("ran at a target of {}", arrival.service));
        }
        if header(run, "x-caller-service") != fleet.hosts[note.host].service {
            faults.push(format!("said to come from {}", header(run, "x-caller-service")));
        }
        if header(run, "x-target-instance") != arrival.target {
            faults.push(format!("meant for {}", header(run, "x-target-instance")));
        }
        // What a daemon that stood still was sent, it can't know the age of.
        let frozen = fleet.hosts[note.host].was_frozen(note.sent, run.received_at);
        let left = header(run, "x-deadline-ms").parse().map(Duration::from_millis);
        // A guard that stood still after it had reckoned the time wrote it late: then
        // the time counts from the moment at which it stopped.
        let reckoned = fleet.hosts[arrival.host].first_freeze(note.sent, run.received_at);
        let end = left.clone().map(|left| reckoned.unwrap_or(run.received_at) + left);
        let last = note.sent + note.deadline + DEADLINE_SLACK;
        if end.is_err() || end.is_ok_and(|end| end > last && !frozen) {
            let late = run.received_at.saturating_duration_since(note.sent);
            let told =
                format!("{left:?} left, read {late:?} after it was sent, of {:?}", note.deadline);
            faults.push(format!("a target got more time than is left: {told}"));
        }
        if matches!(note.end, RequestEnd::GaveUp) && run.received_at > note.ended + LEFT_BOUND {
            faults.push("arrived long after its client left".to_owned());
        }
    }
}

/// Judges a request of a run that has planned work alone.
fn judge_calm(note: &RequestNote, runs: &[&Arrival], faults: &mut Vec<String>) {
    let used_up = note.ended - note.sent >= note.deadline.mul_f64(USED_UP);
    match &note.end {
        RequestEnd::Broken if !runs.is_empty() => {
            faults.push("passed on, and its connection ended without an answer".to_owned());
        }
        RequestEnd::Answered { status: status @ (502 | 504), .. } if !used_up => {
            faults.push(format!("{status} around planned work"));
        }
        _ => {}
    }
}

fn judge_drains(drains: &[DrainNote], arrivals: &[Arrival], findings: &mut Vec<String>) {
    for drain in drains {
        let late = |arrival: &&Arrival| {
            arrival.target == drain.target
                && arrival.run.received_at > drain.acknowledged + DRAIN_BOUND
        };
        let late = arrivals.iter().filter(late).count();
        if late > 0 {
            findings.push(format!("{}: {late} requests after its drain", drain.target));
        }
    }
}

/// Checks that no daemon goes back to an older configuration in one life.
fn judge_versions(notes: &[RequestNote], findings: &mut Vec<String>) {
    let mut served: HashMap<(usize, u64), Vec<(Instant, u64)>> = HashMap::new();
    for (note, version, status) in versioned(notes) {
        if let Some(life) = note.life
            && status != 404
            && status != 503
        {
            served.entry((note.host, life)).or_default().push((note.ended, version));
        }
    }
    for (note, version, status) in versioned(notes) {
        let Some(life) = note.life.filter(|_life| status == 404) else { continue };
        let before = served.get(&(note.host, life)).into_iter().flatten();
        if before.clone().any(|(at, known)| *at < note.sent && *known >= version) {
            let (id, host) = (&note.id, note.host);
            findings.push(format!("{id}: host-{host} forgot version {version}"));
        }
    }
}

fn versioned(notes: &[RequestNote]) -> impl Iterator<Item = (&RequestNote, u64, u16)> {
    notes.iter().filter_map(|note| match (&note.kind, &note.end) {
        (RequestKind::Versioned(version), RequestEnd::Answered { status, .. }) => {
            Some((note, *version, *status))
        }
        _ => None,
    })
}

/// Checks that further tries stay within their share of the requests.
fn judge_budget(
    notes: &[RequestNote],
    by_id: &HashMap<&str, Vec<&Arrival>>,
    findings: &mut Vec<String>,
) {
    let mut again: Vec<Instant> = Vec::new();
    for runs in by_id.values() {
        let mut times: Vec<Instant> = runs.iter().map(|arrival| arrival.run.received_at).collect();
        times.sort_unstable();
        again.extend(times.iter().skip(1));
    }
    again.sort_unstable();
    for start in &again {
        let inside = |at: &Instant| *at >= *start && *at < *start + BUDGET_WINDOW;
        let tries = again.iter().filter(|at| inside(at)).count();
        let requests = notes.iter().filter(|note| inside(&note.sent)).count();
        let allowed = RETRY_RATIO * requests as f64 + RETRY_SLACK;
        if tries as f64 > allowed {
            findings.push(format!("{tries} further tries for {requests} requests in a window"));
            return;
        }
    }
}
