//! Clients that reuse their connections and record every request and its outcome.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use railspan_standins::HostedConnection;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::account_events::STEADY_TOKEN;
use super::crash_requests::CRASH_PATH;
use super::fleet::{SERVICES, SoakFleet};

/// Deadline of a request, in milliseconds.
const DEADLINES_MS: std::ops::Range<u32> = 1_000..2_000;

/// Time after the deadline for which a client still waits for an answer.
pub const ANSWER_GRACE: Duration = Duration::from_secs(8);

/// Largest body of a request, in bytes; one in `LARGE_BODY_ODDS` requests has the larger
/// limit.
const MAX_BODY_BYTES: usize = 2_000;
const MAX_LARGE_BODY_BYTES: usize = 150_000;
const LARGE_BODY_ODDS: u32 = 40;

/// One in this many requests is abandoned by its client after the given time.
const ABANDON_ODDS: u32 = 25;
const ABANDON_AFTER: Duration = Duration::from_millis(40);

/// Time between two requests of a client, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..40;

/// Kind of a request, which sets its route and how often it may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Safe,
    /// May run once.
    Unsafe,
    /// Uses the route that this version of the configuration added.
    Versioned(u64),
    /// Crashes the target that runs it.
    Crash,
}

/// Outcome of a request as its client saw it.
#[derive(Clone, Debug)]
pub enum RequestOutcome {
    Answered {
        status: u16,
        headers: HashMap<String, String>,
        body: Vec<u8>,
    },
    /// The connection ended before the whole answer had arrived.
    ConnectionLost,
    /// No final answer within `ANSWER_GRACE` after the deadline.
    TimedOut,
    /// The client closed the connection itself.
    Abandoned,
    /// The request was not sent because no connection could be opened.
    NotSent,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub id: String,
    pub kind: RequestKind,
    pub host: usize,
    pub service: &'static str,
    pub request_line: String,
    pub body: Vec<u8>,
    /// The client's token, if it sends one.
    pub token: Option<String>,
    pub deadline: Duration,
    pub sent: Instant,
    pub ended: Instant,
    /// The incarnation of the daemon, or `None` if the daemon was restarted during the
    /// request.
    pub incarnation: Option<u64>,
    pub outcome: RequestOutcome,
}

impl RequestRecord {
    /// Whether the client received the successful answer of a target.
    pub const fn is_served(&self) -> bool {
        matches!(self.outcome, RequestOutcome::Answered { status: 200, .. })
    }
}

/// Returns a request that was not sent yet, without a token.
pub fn new_record(
    id: String,
    kind: RequestKind,
    host: usize,
    service: &'static str,
    request_line: String,
    body: Vec<u8>,
    deadline: Duration,
) -> RequestRecord {
    let now = Instant::now();
    RequestRecord {
        id,
        kind,
        host,
        service,
        request_line,
        body,
        token: None,
        deadline,
        sent: now,
        ended: now,
        incarnation: None,
        outcome: RequestOutcome::NotSent,
    }
}

/// Sends requests through one host until `stop` is set.
pub fn run_client(
    fleet: &SoakFleet,
    number: usize,
    seed: u64,
    stop: &AtomicBool,
) -> Vec<RequestRecord> {
    let host = number % fleet.hosts.len();
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ ((number as u64) << 32));
    let mut connection = None;
    let mut records = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let record = draw_request(fleet, host, &mut rng, format!("c{number}-{}", records.len()));
        records.push(send_request(
            fleet,
            record,
            rng.random_ratio(1, ABANDON_ODDS),
            &mut connection,
        ));
        std::thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
    records
}

fn draw_request(fleet: &SoakFleet, host: usize, rng: &mut Pcg64Mcg, id: String) -> RequestRecord {
    let service = SERVICES[rng.random_range(0..SERVICES.len())];
    let version = fleet.config_version.load(Ordering::Relaxed);
    let kind = match rng.random_range(0..10) {
        0 => RequestKind::Versioned(rng.random_range(version.saturating_sub(2).max(1)..=version)),
        1..=5 => RequestKind::Safe,
        _ => RequestKind::Unsafe,
    };
    let request_line = match kind {
        RequestKind::Safe => format!("GET /read/{id} HTTP/1.1"),
        RequestKind::Unsafe => format!("POST /write/{id}?q=1 HTTP/1.1"),
        RequestKind::Crash => format!("GET {CRASH_PATH} HTTP/1.1"),
        RequestKind::Versioned(version) => format!("GET /v{version}/{id} HTTP/1.1"),
    };
    let mut body = Vec::new();
    if kind == RequestKind::Unsafe {
        let max_bytes = if rng.random_ratio(1, LARGE_BODY_ODDS) {
            MAX_LARGE_BODY_BYTES
        } else {
            MAX_BODY_BYTES
        };
        body.resize(rng.random_range(0..max_bytes), 0);
        rng.fill_bytes(&mut body);
    }
    let deadline = Duration::from_millis(u64::from(rng.random_range(DEADLINES_MS)));
    RequestRecord {
        token: fleet.accounts.as_ref().map(|_accounts| STEADY_TOKEN.to_owned()),
        ..new_record(id, kind, host, service, request_line, body, deadline)
    }
}

/// Sends a request on the kept connection, or on a new one if there is none or the client
/// will abandon the request.
pub fn send_request(
    fleet: &SoakFleet,
    mut record: RequestRecord,
    abandon: bool,
    kept_connection: &mut Option<HostedConnection>,
) -> RequestRecord {
    let host = &fleet.hosts[record.host];
    let incarnation = host.incarnation.load(Ordering::Relaxed);
    let limit = if abandon { ABANDON_AFTER } else { record.deadline + ANSWER_GRACE };
    let reused = kept_connection.take().filter(|_connection| !abandon);
    let opened = reused.map_or_else(|| HostedConnection::open(host.addresses.caller, limit), Ok);
    let Ok(mut connection) = opened else { return record };
    let domain = format!("{}.example", record.service);
    let deadline_ms = record.deadline.as_millis().to_string();
    let bearer = record.token.as_ref().map(|token| format!("Bearer {token}"));
    let mut headers = vec![
        ("Host", &*domain),
        ("X-Request-Id", &*record.id),
        ("X-Deadline-Ms", &*deadline_ms),
        ("X-Caller-Service", "forged"),
        ("X-Target-Instance", "forged"),
    ];
    headers.extend(bearer.as_deref().map(|bearer| ("Authorization", bearer)));
    let (method, rest) = record.request_line.split_once(' ').expect("method");
    let path = rest.strip_suffix(" HTTP/1.1").expect("version");
    record.sent = Instant::now();
    let answered = connection.call(method, path, &headers, &record.body);
    record.ended = Instant::now();
    let is_same_incarnation = host.incarnation.load(Ordering::Relaxed) == incarnation;
    record.incarnation = is_same_incarnation.then_some(incarnation);
    record.outcome = match answered {
        Ok(answer) => {
            let closes = answer.headers.get("connection").is_some_and(|text| text == "close");
            if !closes && !abandon {
                *kept_connection = Some(connection);
            }
            RequestOutcome::Answered {
                status: answer.status,
                headers: answer.headers,
                body: answer.body,
            }
        }
        Err(_error) if abandon => RequestOutcome::Abandoned,
        Err(error) if is_timeout(&error) => RequestOutcome::TimedOut,
        Err(_broken) => RequestOutcome::ConnectionLost,
    };
    record
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
