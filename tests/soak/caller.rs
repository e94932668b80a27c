//! Clients that keep their connections, and note all that they sent and got.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use railspan_standins::HostedConnection;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::deadly::DEADLY;
use super::fleet::{SERVICES, SoakFleet};

/// Time that a client has, in milliseconds.
const DEADLINES_MS: std::ops::Range<u32> = 1_000..2_000;

/// Time over its deadline that a client waits for an answer all the same.
pub const PATIENCE: Duration = Duration::from_secs(8);

/// Longest body of a request, in bytes, and of one in `LARGE` requests.
const BODY: usize = 2_000;
const LARGE_BODY: usize = 150_000;
const LARGE: u32 = 40;

/// One in so many requests is given up early, after this time.
const GIVE_UP: u32 = 25;
const GIVE_UP_AFTER: Duration = Duration::from_millis(40);

/// Time between two requests of a client, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..40;

/// What a request asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Safe,
    /// May run once.
    Unsafe,
    /// Asks by the route that a version of the configuration added.
    Versioned(u64),
    /// Ends the target that runs it.
    Deadly,
}

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub enum RequestEnd {
    Answered {
        status: u16,
        headers: HashMap<String, String>,
        body: Vec<u8>,
    },
    /// The connection ended first.
    Broken,
    /// No final answer long after the deadline.
    Silent,
    /// The client closed the connection itself.
    GaveUp,
    /// There was no connection to send it on.
    Unsent,
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestNote {
    pub id: String,
    pub kind: RequestKind,
    pub host: usize,
    pub service: &'static str,
    pub line: String,
    pub body: Vec<u8>,
    pub deadline: Duration,
    pub sent: Instant,
    pub ended: Instant,
    /// The daemon's life when it was sent, if that was its life at the end, too.
    pub life: Option<u64>,
    pub end: RequestEnd,
}

impl RequestNote {
    /// Tells whether its target's good answer came.
    pub const fn is_served(&self) -> bool {
        matches!(self.end, RequestEnd::Answered { status: 200, .. })
    }
}

/// Sends requests through one host until told to stop.
pub fn run(fleet: &SoakFleet, number: usize, seed: u64, stop: &AtomicBool) -> Vec<RequestNote> {
    let host = number % fleet.hosts.len();
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ ((number as u64) << 32));
    let mut connection = None;
    let mut notes = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let note = draw(fleet, host, &mut rng, format!("c{number}-{}", notes.len()));
        notes.push(send(fleet, note, rng.random_ratio(1, GIVE_UP), &mut connection));
        std::thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
    notes
}

fn draw(fleet: &SoakFleet, host: usize, rng: &mut Pcg64Mcg, id: String) -> RequestNote {
    let service = SERVICES[rng.random_range(0..SERVICES.len())];
    let version = fleet.version.load(Ordering::Relaxed);
    let kind = match rng.random_range(0..10) {
        0 => RequestKind::Versioned(rng.random_range(version.saturating_sub(2).max(1)..=version)),
        1..=5 => RequestKind::Safe,
        _ => RequestKind::Unsafe,
    };
    let line = match kind {
        RequestKind::Safe => format!("GET /read/{id} HTTP/1.1"),
        RequestKind::Unsafe => format!("POST /write/{id}?q=1 HTTP/1.1"),
        RequestKind::Deadly => format!("GET {DEADLY} HTTP/1.1"),
        RequestKind::Versioned(version) => format!("GET /v{version}/{id} HTTP/1.1"),
    };
    let mut body = Vec::new();
    if kind == RequestKind::Unsafe {
        let longest = if rng.random_ratio(1, LARGE) { LARGE_BODY } else { BODY };
        body.resize(rng.random_range(0..longest), 0);
        rng.fill_bytes(&mut body);
    }
    let deadline = Duration::from_millis(u64::from(rng.random_range(DEADLINES_MS)));
    let now = Instant::now();
    let end = RequestEnd::Unsent;
    RequestNote {
        id,
        kind,
        host,
        service,
        line,
        body,
        deadline,
        sent: now,
        ended: now,
        life: None,
        end,
    }
}

/// Sends a request on the kept connection, or on a new one.
pub fn send(
    fleet: &SoakFleet,
    mut note: RequestNote,
    give_up: bool,
    kept: &mut Option<HostedConnection>,
) -> RequestNote {
    let host = &fleet.hosts[note.host];
    let life = host.life.load(Ordering::Relaxed);
    let limit = if give_up { GIVE_UP_AFTER } else { note.deadline + PATIENCE };
    let known = kept.take().filter(|_connection| !give_up);
    let opened = known.map_or_else(|| HostedConnection::open(host.place.caller, limit), Ok);
    let Ok(mut connection) = opened else { return note };
    let domain = format!("{}.example", note.service);
    let deadline_ms = note.deadline.as_millis().to_string();
    let headers = [
        ("Host", &*domain),
        ("X-Request-Id", &*note.id),
        ("X-Deadline-Ms", &*deadline_ms),
        ("X-Caller-Service", "forged"),
        ("X-Target-Instance", "forged"),
    ];
    let (method, rest) = note.line.split_once(' ').expect("method");
    let path = rest.strip_suffix(" HTTP/1.1").expect("version");
    note.sent = Instant::now();
    let answered = connection.call(method, path, &headers, &note.body);
    note.ended = Instant::now();
    let same = host.life.load(Ordering::Relaxed) == life;
    note.life = same.then_some(life);
    note.end = match answered {
        Ok(answer) => {
            let closes = answer.headers.get("connection").is_some_and(|text| text == "close");
            if !closes && !give_up {
                *kept = Some(connection);
            }
            RequestEnd::Answered {
                status: answer.status,
                headers: answer.headers,
                body: answer.body,
            }
        }
        Err(_error) if give_up => RequestEnd::GaveUp,
        Err(error) if is_timeout(&error) => RequestEnd::Silent,
        Err(_broken) => RequestEnd::Broken,
    };
    note
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
