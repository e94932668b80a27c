//! Checks the guarantees of a run against what clients and targets recorded.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use railspan_standins::HostedRun;

use super::client::{RequestKind, RequestOutcome, RequestRecord};
use super::fleet::{DrainRecord, MAX_ATTEMPTS, RETRY_BUDGET_RATIO, RETRY_BUDGET_SLACK, SoakFleet};
use super::host::lock;
use super::{
    account_checks, capacity_events, config_events, crash_requests, held_events, statement_events,
};

/// Statuses which promise that the request did not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Time after the acknowledgement of a drain in which requests may still arrive.
const DRAIN_DELIVERY_LIMIT: Duration = Duration::from_secs(1);

/// Time after a client abandoned its request in which the request may still arrive.
const ABANDONED_DELIVERY_LIMIT: Duration = Duration::from_secs(2);

/// Time by which the deadline passed to a target may exceed that of the client.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);

/// Share of its deadline after which a request may end without the answer of a target.
const DEADLINE_USED_SHARE: f64 = 0.7;

/// Window over which further attempts are counted.
const RETRY_BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// A request that reached a target.
pub struct Arrival {
    pub target: String,
    service: String,
    /// Index of the host of its guard.
    pub host: usize,
    pub run: HostedRun,
}

/// Checks a run; returns one line per violation.
pub fn check_run(fleet: &SoakFleet, records: &[RequestRecord], planned_only: bool) -> Vec<String> {
    let mut findings = std::mem::take(&mut *lock(&fleet.findings));
    let arrivals = collect_arrivals(fleet);
    let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in &arrivals {
        let id = header(&arrival.run, "x-request-id");
        by_id.entry(id).or_default().push(arrival);
    }
    let sent_ids: HashSet<&str> = records.iter().map(|record| &*record.id).collect();
    let is_unknown = |id: &str| {
        !sent_ids.contains(id)
            && id != "recovery"
            && !id.starts_with(held_events::UNRECORDED_PREFIX)
    };
    for (id, runs) in by_id.iter().filter(|(id, _)| is_unknown(id)) {
        let (line, target) = (&runs[0].run.request_line, &runs[0].target);
        findings.push(format!("{id} ({line}): ran at {target}, but no client sent it"));
    }
    for record in records {
        let request_arrivals = by_id.get(&*record.id).map_or(&[][..], Vec::as_slice);
        let mut violations = Vec::new();
        check_answer(fleet, record, request_arrivals, &mut violations);
        check_arrivals(fleet, record, request_arrivals, &mut violations);
        account_checks::check_account(fleet, record, request_arrivals, &mut violations);
        if planned_only {
            check_planned_only(record, request_arrivals, &mut violations);
        }
        findings.extend(
            violations
                .iter()
                .map(|violation| format!("{} ({}): {violation}", record.id, record.request_line)),
        );
    }
    check_drains(&lock(&fleet.drains), &arrivals, &mut findings);
    capacity_events::check_arrivals(fleet, &arrivals, &mut findings);
    crash_requests::check_arrivals(fleet, &arrivals, &mut findings);
    statement_events::check_arrivals(fleet, records, &arrivals, &mut findings);
    account_checks::check_run(fleet, &arrivals, &mut findings);
    check_config_versions(fleet, records, &mut findings);
    config_events::check_deadlines(fleet, records, &mut findings);
    check_retry_budget(records, &by_id, &mut findings);
    findings
}

fn collect_arrivals(fleet: &SoakFleet) -> Vec<Arrival> {
    let targets = lock(&fleet.targets);
    let mut arrivals = Vec::new();
    for soak_target in targets.iter() {
        let target = &soak_target.target;
        arrivals.extend(target.runs().into_iter().map(|run| Arrival {
            target: target.name().to_owned(),
            service: target.service().to_owned(),
            host: fleet.host_index(soak_target),
            run,
        }));
    }
    arrivals
}

pub fn header<'a>(run: &'a HostedRun, name: &str) -> &'a str {
    run.headers.get(name).map_or("", String::as_str)
}

fn check_answer(
    fleet: &SoakFleet,
    record: &RequestRecord,
    arrivals: &[&Arrival],
    violations: &mut Vec<String>,
) {
    if matches!(record.outcome, RequestOutcome::TimedOut) {
        violations.push("no final answer long after the deadline".to_owned());
    }
    let RequestOutcome::Answered { status, headers, body } = &record.outcome else { return };
    let expected = format!("body of {}", record.id);
    let signed = headers.contains_key("x-server-signature");
    let has_own_id = headers.get("x-request-id").is_some_and(|id| *id == record.id);
    if *status < 300 && !(signed && has_own_id && *body == expected.as_bytes()) {
        violations.push(format!("answer with {status} is not the whole answer of its target"));
    }
    if *status < 300 && arrivals.is_empty() {
        violations.push(format!("answered with {status}, but no target ran it"));
    }
    if signed && !matches!(*status, 200 | 500) {
        violations.push(format!("signed answer with {status}, which no target sends"));
    }
    if NOT_RUN_STATUSES.contains(status) && !arrivals.is_empty() {
        violations
            .push(format!("answered with {status} (not run), but it ran {} times", arrivals.len()));
    }
    // Retrying a request that crashes targets does not help; every other refusal must say
    // when to retry.
    let retry_helps = record.kind != RequestKind::Crash;
    if retry_helps && matches!(*status, 429 | 503) && !headers.contains_key("retry-after") {
        violations.push(format!("answered with {status} without `retry-after`"));
    }
    let versioned = matches!(record.kind, RequestKind::Versioned(_));
    let refused = (300..500).contains(status) && !NOT_RUN_STATUSES.contains(status);
    let revoked = *status == 401 && account_checks::may_be_revoked(fleet, record);
    if refused && !(versioned && *status == 404) && !revoked {
        violations.push(format!("a valid request was refused with {status}"));
    }
}

fn check_arrivals(
    fleet: &SoakFleet,
    record: &RequestRecord,
    arrivals: &[&Arrival],
    violations: &mut Vec<String>,
) {
    if record.kind == RequestKind::Unsafe && arrivals.len() > 1 {
        violations.push(format!("unsafe request ran {} times", arrivals.len()));
    }
    let targets: HashSet<&str> = arrivals.iter().map(|arrival| &*arrival.target).collect();
    if targets.len() > MAX_ATTEMPTS {
        violations.push(format!("reached {} targets", targets.len()));
    }
    for arrival in arrivals {
        let run = &arrival.run;
        if run.request_line != record.request_line || run.body != record.body {
            violations.push(format!("arrived modified: {}", run.request_line));
        }
        if arrival.service != record.service {
            violations.push(format!("ran at a target of service {}", arrival.service));
        }
        if header(run, "x-caller-service") != fleet.hosts[record.host].service {
            violations
                .push(format!("arrived with caller service {}", header(run, "x-caller-service")));
        }
        if header(run, "x-target-instance") != arrival.target {
            violations
                .push(format!("arrived with target instance {}", header(run, "x-target-instance")));
        }
        // A daemon that was suspended can't know how long a request waited to be read.
        let was_suspended = fleet.hosts[record.host].was_frozen(record.sent, run.received_at);
        let remaining = header(run, "x-deadline-ms").parse().map(Duration::from_millis);
        // A guard that was suspended after it had computed the remaining time sent it late;
        // the remaining time then counts from the start of the suspension.
        let suspended_at = fleet.hosts[arrival.host].first_freeze(record.sent, run.received_at);
        let end =
            remaining.clone().map(|remaining| suspended_at.unwrap_or(run.received_at) + remaining);
        let last = record.sent + record.deadline + DEADLINE_SLACK;
        if end.is_err() || end.is_ok_and(|end| end > last && !was_suspended) {
            let late = run.received_at.saturating_duration_since(record.sent);
            let detail = format!(
                "{remaining:?} remaining, {late:?} after the request was sent, of {:?}",
                record.deadline
            );
            violations.push(format!(
                "the target got an invalid deadline or one past that of the client: {detail}"
            ));
        }
        if matches!(record.outcome, RequestOutcome::Abandoned)
            && run.received_at > record.ended + ABANDONED_DELIVERY_LIMIT
        {
            violations.push("arrived long after its client abandoned it".to_owned());
        }
    }
}

/// Checks a request of a run that has planned operations only: none may be lost.
fn check_planned_only(record: &RequestRecord, arrivals: &[&Arrival], violations: &mut Vec<String>) {
    let deadline_used = record.ended - record.sent >= record.deadline.mul_f64(DEADLINE_USED_SHARE);
    match &record.outcome {
        RequestOutcome::ConnectionLost if held_events::was_read(record) => {
            violations.push("waited, and the connection ended without an answer".to_owned());
        }
        RequestOutcome::ConnectionLost if !arrivals.is_empty() => {
            violations
                .push("reached a target, but the connection ended without an answer".to_owned());
        }
        RequestOutcome::Answered { status: status @ (502 | 504), .. } if !deadline_used => {
            violations.push(format!("answered with {status} although all operations were planned"));
        }
        _ => {}
    }
}

fn check_drains(drains: &[DrainRecord], arrivals: &[Arrival], findings: &mut Vec<String>) {
    for drain in drains {
        let late = |arrival: &&Arrival| {
            arrival.target == drain.target
                && arrival.run.received_at > drain.acknowledged + DRAIN_DELIVERY_LIMIT
        };
        let late = arrivals.iter().filter(late).count();
        if late > 0 {
            findings.push(format!(
                "{}: {late} requests arrived after its drain was acknowledged",
                drain.target
            ));
        }
    }
}

/// Checks that no daemon returns to an older configuration within one incarnation.
fn check_config_versions(fleet: &SoakFleet, records: &[RequestRecord], findings: &mut Vec<String>) {
    let mut served_versions: HashMap<(usize, u64), Vec<(Instant, u64)>> = HashMap::new();
    for (record, version, status) in answered_versioned(records) {
        if let Some(incarnation) = record.incarnation
            && status != 404
            && status != 503
        {
            served_versions
                .entry((record.host, incarnation))
                .or_default()
                .push((record.ended, version));
        }
    }
    for (record, version, status) in answered_versioned(records) {
        let Some(incarnation) = record.incarnation.filter(|_incarnation| status == 404) else {
            continue;
        };
        let dropped_by = version + config_events::KEPT_VERSIONS;
        if fleet.sent_at(dropped_by).is_some_and(|sent| sent < record.ended) {
            continue;
        }
        let earlier = served_versions.get(&(record.host, incarnation)).into_iter().flatten();
        if earlier.clone().any(|(at, seen)| *at < record.sent && *seen >= version) {
            let (id, host) = (&record.id, record.host);
            findings.push(format!(
                "{id}: host-{host} no longer serves configuration version {version}"
            ));
        }
    }
}

fn answered_versioned(
    records: &[RequestRecord],
) -> impl Iterator<Item = (&RequestRecord, u64, u16)> {
    records.iter().filter_map(|record| match (&record.kind, &record.outcome) {
        (RequestKind::Versioned(version), RequestOutcome::Answered { status, .. }) => {
            Some((record, *version, *status))
        }
        _ => None,
    })
}

/// Checks that the attempts after the first one of each request stay within the retry
/// budget.
fn check_retry_budget(
    records: &[RequestRecord],
    by_id: &HashMap<&str, Vec<&Arrival>>,
    findings: &mut Vec<String>,
) {
    let mut retries: Vec<Instant> = Vec::new();
    for arrivals in by_id.values() {
        let mut times: Vec<Instant> =
            arrivals.iter().map(|arrival| arrival.run.received_at).collect();
        times.sort_unstable();
        retries.extend(times.iter().skip(1));
    }
    retries.sort_unstable();
    for start in &retries {
        let inside = |at: &Instant| *at >= *start && *at < *start + RETRY_BUDGET_WINDOW;
        let retry_count = retries.iter().filter(|at| inside(at)).count();
        let request_count = records.iter().filter(|record| inside(&record.sent)).count();
        let allowed = RETRY_BUDGET_RATIO * request_count as f64 + RETRY_BUDGET_SLACK;
        if retry_count as f64 > allowed {
            findings.push(format!(
                "{retry_count} further attempts for {request_count} requests within \
                 {RETRY_BUDGET_WINDOW:?}"
            ));
            return;
        }
    }
}
