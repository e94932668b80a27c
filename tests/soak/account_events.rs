//! Client accounts with quotas, tokens that configurations revoke, nested calls and announced
//! bodies, for seeds from [`FIRST_SEED`] on.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{Scope, ScopedJoinHandle};
use std::time::{Duration, Instant};

use railspan_standins::{LinkDirection, NestedCall, NestedCallRule};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use super::client::{self, RequestKind, RequestOutcome, RequestRecord};
use super::fleet::{SERVICES, SoakFleet};
use super::held_events;
use super::host::lock;

/// First seed whose run has accounts.
pub const FIRST_SEED: u64 = 4_000;

/// Returns whether the run of a seed has client accounts.
fn has_accounts(seed: u64) -> bool {
    (FIRST_SEED..held_events::FIRST_SEED).contains(&seed)
}

/// Window of the quotas in the terms of the deployment, and its tolerance.
pub const QUOTA_WINDOW: Duration = Duration::from_secs(5);
pub const QUOTA_OVER: f64 = 0.1;
pub const QUOTA_SLACK: f64 = 4.0;

/// Bound on the use of revoked tokens in the terms of the deployment.
pub const REVOKE_BOUND: Duration = Duration::from_secs(5);

/// Name, requests per second and burst of the accounts with a quota. The clients of the first
/// ask for several times its quota, those of the other one for less.
pub const QUOTAS: [(&str, f64, f64); 2] = [("hot", 8.0, 4.0), ("modest", 100.0, 50.0)];

/// Token and account of the clients of all seeds, which have no quota here.
pub const STEADY_TOKEN: &str = "steady-token";
const STEADY_ACCOUNT: &str = "steady";

/// Tokens of the accounts with a quota.
const QUOTA_TOKENS: [&str; 2] = ["hot-token", "modest-token"];

/// One in this many requests of the clients that don't ask for more than their quota is of the
/// account with a quota; the others have tokens that are revoked. Their account has none, since
/// an isolated daemon refuses all requests that need a grant.
const MODEST_ODDS: u32 = 3;

/// Account of the clients whose tokens are revoked, and prefix of the tokens that configurations revoke, which are numbered.
const ROTATING_ACCOUNT: &str = "rotating";
const ROTATING_PREFIX: &str = "rotating-";

/// Number of those tokens; more than a run revokes.
const ROTATING_TOKENS: usize = 100;

/// How many tokens before and after the next to be revoked clients use.
const USED_TOKENS: usize = 3;

/// Time of the first revocation and between two, in milliseconds.
const FIRST_REVOCATION_MS: std::ops::Range<u64> = 300..1_000;
const REVOCATION_INTERVAL_MS: std::ops::Range<u64> = 1_500..4_000;

/// Time between two requests of a client of an account, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 40..120;

/// Body sizes of one write in `LARGE_BODY_ODDS`, in bytes: above the size from which bodies are
/// announced, up to the largest upload.
const LARGE_BODY_BYTES: std::ops::Range<usize> = 14 * 1024 + 1..360_000;
const LARGE_BODY_ODDS: u32 = 4;

/// Prefix of the requests whose targets make a nested call.
const CHAIN_PREFIX: &str = "/chain/";

/// Deadlines of the requests and of the nested calls.
const DEADLINE: Duration = Duration::from_millis(1_500);
const NESTED_DEADLINE: Duration = Duration::from_millis(600);

/// Times for which a host is cut off from the store and from all others, in milliseconds: longer
/// than the bound on revoked tokens.
const ISOLATION_MS: std::ops::Range<u64> = 7_000..9_000;

/// Time by which the isolation begins before the first revocation, and between two cuts of its
/// links, which other disruptions may have restored.
const ISOLATION_LEAD: Duration = Duration::from_millis(200);
const ISOLATION_STEP: Duration = Duration::from_millis(20);

/// The configurations of a run that revoke a token, with times counted from its start.
#[derive(Clone, Debug, Default)]
pub struct RevocationPlan {
    times: Vec<Duration>,
    /// Host that is isolated around the first revocation, and for how long.
    pub isolation: Option<(usize, Duration)>,
}

impl RevocationPlan {
    /// Whether the daemon of a host must not be ended at a time: it would lose the knowledge by
    /// which it could serve revoked tokens while it is isolated.
    pub fn protects(&self, host: usize, at: Duration) -> bool {
        let first = self.times.first().copied().unwrap_or_default();
        self.isolation.is_some_and(|(isolated, lasts)| host == isolated && at < first + lasts)
    }
}

/// A token that a configuration revoked.
#[derive(Clone, Copy, Debug)]
pub struct Revocation {
    pub begun: Instant,
    pub acknowledged: Option<Instant>,
}

/// The accounts of a run.
#[derive(Debug, Default)]
pub struct AccountState {
    /// By number of the token.
    pub revocations: Mutex<Vec<Revocation>>,
}

impl AccountState {
    pub fn of_seed(seed: u64) -> Option<Self> {
        has_accounts(seed).then(Self::default)
    }

    pub fn begin_revocation(&self) {
        lock(&self.revocations).push(Revocation { begun: Instant::now(), acknowledged: None });
    }

    pub fn acknowledge(&self) {
        if let Some(revocation) = lock(&self.revocations).last_mut() {
            revocation.acknowledged = Some(Instant::now());
        }
    }

    /// Returns the revocation of a token, if it was revoked.
    pub fn revocation_of(&self, token: &str) -> Option<Revocation> {
        let number: usize = token.strip_prefix(ROTATING_PREFIX)?.parse().ok()?;
        lock(&self.revocations).get(number).copied()
    }

    /// Returns the accounts of a configuration, with the tokens that are not revoked.
    pub fn tenants(&self) -> Value {
        let first = lock(&self.revocations).len();
        let rotating = (first..ROTATING_TOKENS).map(|number| format!("{ROTATING_PREFIX}{number}"));
        let limited = QUOTAS.iter().zip(QUOTA_TOKENS).map(|((name, per_s, burst), token)| {
            json!({"name": name, "api_keys": [token], "rate_per_s": per_s, "burst": burst})
        });
        let unlimited = [
            json!({"name": ROTATING_ACCOUNT, "api_keys": rotating.collect::<Vec<String>>()}),
            json!({"name": STEADY_ACCOUNT, "api_keys": [STEADY_TOKEN]}),
        ];
        limited.chain(unlimited).collect()
    }
}

/// Returns the account of a token.
pub fn account_of(token: &str) -> &'static str {
    let limited = QUOTA_TOKENS.iter().position(|limited| *limited == token);
    match limited {
        Some(index) => QUOTAS[index].0,
        None if token == STEADY_TOKEN => STEADY_ACCOUNT,
        None => ROTATING_ACCOUNT,
    }
}

/// Returns the terms of the deployment that concern accounts.
pub fn terms(seed: u64) -> String {
    if !has_accounts(seed) {
        return String::new();
    }
    format!(
        ",quota_window={}s,quota_over={QUOTA_OVER},quota_slack={QUOTA_SLACK},\
         strict_revocation=true,revoke={}ms",
        QUOTA_WINDOW.as_secs(),
        REVOKE_BOUND.as_millis()
    )
}

/// Returns the further routes of a service, built by `route`: urgent writes, and reads that make
/// a nested call.
pub fn routes(route: &dyn Fn(&str, &str, &str, &str) -> Value, service: &str) -> [Value; 2] {
    let mut urgent = route(service, "urgent", "/urgent/", "unsafe");
    urgent["priority"] = json!(0);
    [urgent, route(service, "chain", CHAIN_PREFIX, "safe")]
}

/// Returns the rule by which targets call the second service through their own daemon.
pub fn nested_rule(caller: SocketAddr) -> NestedCallRule {
    NestedCallRule {
        prefix: CHAIN_PREFIX.to_owned(),
        caller,
        virtual_host: format!("{}.example", SERVICES[1]),
        path: "/read/".to_owned(),
        deadline: NESTED_DEADLINE,
    }
}

/// Draws the revocations of a run; a host is isolated in every second run with faults.
pub fn draw(seed: u64, hosts: usize, duration: Duration, planned_only: bool) -> RevocationPlan {
    let mut plan = RevocationPlan::default();
    if !has_accounts(seed) {
        return plan;
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(29));
    let mut at = Duration::from_millis(rng.random_range(FIRST_REVOCATION_MS));
    while at < duration.mul_f64(0.75) {
        plan.times.push(at);
        at += Duration::from_millis(rng.random_range(REVOCATION_INTERVAL_MS));
    }
    if seed.is_multiple_of(2) && !planned_only {
        let lasts = Duration::from_millis(rng.random_range(ISOLATION_MS));
        plan.isolation = Some((rng.random_range(0..hosts), lasts));
    }
    plan
}

/// Publishes the configurations that revoke tokens.
pub fn run(fleet: &SoakFleet, plan: &RevocationPlan, start: Instant) {
    std::thread::scope(|scope| {
        if let (Some((host, lasts)), Some(first)) = (plan.isolation, plan.times.first()) {
            let from = start + first.saturating_sub(ISOLATION_LEAD);
            scope.spawn(move || isolate(fleet, host, from, lasts));
        }
        for at in &plan.times {
            std::thread::sleep((start + *at).saturating_duration_since(Instant::now()));
            fleet.publish_config(true);
        }
    });
}

/// Cuts a host off from the store and from all other daemons. Its own guard stays reachable,
/// since its entry calls it through the same link, so that revoked tokens could run there.
fn isolate(fleet: &SoakFleet, isolated: usize, from: Instant, lasts: Duration) {
    std::thread::sleep(from.saturating_duration_since(Instant::now()));
    let set_cut = |cut| {
        for (index, host) in fleet.hosts.iter().enumerate() {
            let own = if index == isolated { &host.links.store } else { &host.links.guard };
            for link in [own, &host.links.peer] {
                link.cut(LinkDirection::Inbound, cut);
                link.cut(LinkDirection::Outbound, cut);
            }
        }
    };
    let from = Instant::now();
    while from.elapsed() < lasts {
        set_cut(true);
        std::thread::sleep(ISOLATION_STEP);
    }
    set_cut(false);
    for host in &fleet.hosts {
        lock(&host.link_faults).push((from, Instant::now()));
    }
}

/// Starts two clients for each host: one of the account that asks for several times its quota,
/// and one that uses tokens shortly before and after their revocation.
pub fn spawn_clients<'scope>(
    scope: &'scope Scope<'scope, '_>,
    fleet: &'scope SoakFleet,
    seed: u64,
    stop: &'scope AtomicBool,
) -> Vec<ScopedJoinHandle<'scope, Vec<RequestRecord>>> {
    let clients = if fleet.accounts.is_some() { 2 * fleet.hosts.len() } else { 0 };
    let spawn = |number| scope.spawn(move || run_client(fleet, number, seed, stop));
    (0..clients).map(spawn).collect()
}

fn run_client(
    fleet: &SoakFleet,
    number: usize,
    seed: u64,
    stop: &AtomicBool,
) -> Vec<RequestRecord> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ ((number as u64) << 48));
    let (mut connection, mut records) = (None, Vec::new());
    while !stop.load(Ordering::Relaxed) {
        let id = format!("a{number}-{}", records.len());
        let mut record = draw_request(&mut rng, number / 2, id);
        record.token = Some(if number.is_multiple_of(2) {
            QUOTA_TOKENS[0].to_owned()
        } else if rng.random_ratio(1, MODEST_ODDS) {
            QUOTA_TOKENS[1].to_owned()
        } else {
            draw_rotating_token(fleet, &mut rng)
        });
        records.push(client::send_request(fleet, record, false, &mut connection));
        std::thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
    records
}

/// Draws a token that was revoked lately, or that will be soon; every other one is the oldest of
/// these, whose revocation is likely to be longer ago than the bound.
fn draw_rotating_token(fleet: &SoakFleet, rng: &mut Pcg64Mcg) -> String {
    let revoked = fleet.accounts.as_ref().map_or(0, |accounts| lock(&accounts.revocations).len());
    let first = revoked.saturating_sub(USED_TOKENS);
    let any = rng.random_range(first..revoked + USED_TOKENS);
    format!("{ROTATING_PREFIX}{}", if rng.random() { first } else { any })
}

fn draw_request(rng: &mut Pcg64Mcg, host: usize, id: String) -> RequestRecord {
    let (kind, service, request_line) = match rng.random_range(0..4) {
        0 => (RequestKind::Unsafe, SERVICES[0], format!("POST /urgent/{id} HTTP/1.1")),
        1 => (RequestKind::Unsafe, SERVICES[1], format!("POST /write/{id} HTTP/1.1")),
        2 => (RequestKind::Safe, SERVICES[0], format!("GET {CHAIN_PREFIX}{id} HTTP/1.1")),
        _ => (RequestKind::Safe, SERVICES[1], format!("GET /read/{id} HTTP/1.1")),
    };
    let mut body = Vec::new();
    if kind == RequestKind::Unsafe && rng.random_ratio(1, LARGE_BODY_ODDS) {
        body.resize(rng.random_range(LARGE_BODY_BYTES), 0);
        rng.fill_bytes(&mut body);
    }
    client::new_record(id, kind, host, service, request_line, body, DEADLINE)
}

/// Returns the nested calls of all targets as requests of clients at their hosts, so that the
/// same checks hold for them.
pub fn nested_records(fleet: &SoakFleet) -> Vec<RequestRecord> {
    let targets = lock(&fleet.targets);
    let mut records = Vec::new();
    for soak_target in targets.iter() {
        let host = fleet.host_index(soak_target);
        let calls = soak_target.target.nested().made();
        records.extend(calls.into_iter().map(|call| nested_record(call, host)));
    }
    records
}

fn nested_record(call: NestedCall, host: usize) -> RequestRecord {
    let kind = RequestKind::Safe;
    let NestedCall { id, request_line, deadline, sent, ended, .. } = call;
    let mut record =
        client::new_record(id, kind, host, SERVICES[1], request_line, Vec::new(), deadline);
    record.sent = sent;
    record.outcome = match ended {
        Some((at, response)) => {
            record.ended = at;
            let answered = |response: railspan_standins::HostedResponse| RequestOutcome::Answered {
                status: response.status,
                headers: response.headers,
                body: response.body,
            };
            response.map_or(RequestOutcome::ConnectionLost, answered)
        }
        None if record.ended > sent + deadline + client::ANSWER_GRACE => RequestOutcome::TimedOut,
        None => RequestOutcome::NotSent,
    };
    record
}
