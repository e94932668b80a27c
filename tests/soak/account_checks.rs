//! Checks of the quotas, the revoked tokens and the nested calls of a run.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use super::account_events::{
    QUOTA_OVER, QUOTA_SLACK, QUOTA_WINDOW, QUOTAS, REVOKE_BOUND, account_of,
};
use super::check::{Arrival, header};
use super::client::RequestRecord;
use super::fleet::SoakFleet;
use super::host::lock;

/// Whether a daemon may not know the token of a request any more.
pub fn may_be_revoked(fleet: &SoakFleet, record: &RequestRecord) -> bool {
    let revocation = fleet.accounts.as_ref().zip(record.token.as_deref());
    let revocation = revocation.and_then(|(accounts, token)| accounts.revocation_of(token));
    revocation.is_some_and(|revocation| revocation.begun < record.ended)
}

/// Checks the account of a request, and that a revoked token runs nothing after the bound, at
/// whatever host and with whatever faults.
pub fn check_account(
    fleet: &SoakFleet,
    record: &RequestRecord,
    arrivals: &[&Arrival],
    violations: &mut Vec<String>,
) {
    let Some(accounts) = &fleet.accounts else { return };
    let account = record.token.as_deref().map_or("", account_of);
    for arrival in arrivals {
        let arrived_as = header(&arrival.run, "x-tenant-id");
        if arrived_as != account {
            violations.push(format!("arrived as of account `{arrived_as}`, not `{account}`"));
        }
    }
    let Some(token) = &record.token else { return };
    let acknowledged = accounts.revocation_of(token).and_then(|known| known.acknowledged);
    if let Some(acknowledged) = acknowledged
        && record.sent > acknowledged + REVOKE_BOUND
        && !arrivals.is_empty()
    {
        let after = record.sent - acknowledged;
        violations.push(format!("ran with {token}, sent {after:?} after its revocation"));
    }
}

/// Checks the quota of each account, and that each nested call belongs to a run.
pub fn check_run(fleet: &SoakFleet, arrivals: &[Arrival], findings: &mut Vec<String>) {
    if fleet.accounts.is_none() {
        return;
    }
    for (account, per_s, burst) in QUOTAS {
        check_quota(account, per_s, burst, arrivals, findings);
    }
    check_nested(fleet, arrivals, findings);
}

/// Checks that no window has more requests at targets than the quota and its tolerance permit.
/// A further attempt of a request counts as the same request.
fn check_quota(
    account: &str,
    per_s: f64,
    burst: f64,
    arrivals: &[Arrival],
    findings: &mut Vec<String>,
) {
    let mut first_arrivals: HashMap<&str, Instant> = HashMap::new();
    for arrival in arrivals.iter().filter(|at| header(&at.run, "x-tenant-id") == account) {
        let at = arrival.run.received_at;
        let first = first_arrivals.entry(header(&arrival.run, "x-request-id")).or_insert(at);
        *first = at.min(*first);
    }
    let mut times: Vec<Instant> = first_arrivals.into_values().collect();
    times.sort_unstable();
    let in_window = |(index, start): (usize, &Instant)| {
        times[index..].partition_point(|at| *at < *start + QUOTA_WINDOW)
    };
    let most = times.iter().enumerate().map(in_window).max().unwrap_or_default();
    let permitted = per_s * QUOTA_WINDOW.as_secs_f64() + burst;
    let allowed = permitted * (1.0 + QUOTA_OVER) + QUOTA_SLACK;
    println!("{account}: {} requests at targets, at most {most} in a window", times.len());
    // Otherwise a fault that refuses the account everything would pass for a kept quota.
    if most == 0 {
        findings.push(format!("{account}: no request reached a target"));
    }
    if most as f64 > allowed {
        findings
            .push(format!("{account}: {most} requests within {QUOTA_WINDOW:?}, of {allowed:.1}"));
    }
}

fn check_nested(fleet: &SoakFleet, arrivals: &[Arrival], findings: &mut Vec<String>) {
    let runs: HashSet<(&str, &str)> = arrivals
        .iter()
        .map(|arrival| (&*arrival.target, header(&arrival.run, "x-request-id")))
        .collect();
    let mut made = HashSet::new();
    for soak_target in lock(&fleet.targets).iter() {
        let target = soak_target.target.name();
        for call in soak_target.target.nested().made() {
            if !runs.contains(&(target, &*call.parent)) {
                findings.push(format!("{}: belongs to no run of {target}", call.id));
            }
            made.insert(call.id);
        }
    }
    let reached: HashSet<&str> =
        runs.iter().map(|(_, id)| *id).filter(|id| made.contains(*id)).collect();
    if reached.is_empty() {
        findings.push("no nested call reached a target".to_owned());
    }
    println!("{} nested calls, {} of them at targets", made.len(), reached.len());
}
