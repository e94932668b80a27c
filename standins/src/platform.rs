//! The platform: a transactional table and an object store, with faults.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::runtime::Runtime;

use crate::http;

const CONNECTIONS: http::ConnectionLimits =
    http::ConnectionLimits { at_once: 10_000, open: Duration::ZERO };

/// What the platform carries in a second.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PlatformLimits {
    /// Transactions and object writes.
    pub writes_per_s: f64,
    /// Reads of rows, pages and objects.
    pub reads_per_s: f64,
}

impl Default for PlatformLimits {
    fn default() -> Self {
        Self { writes_per_s: 300.0, reads_per_s: 2_000.0 }
    }
}

/// What is wrong with the platform now.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Every request is refused with 503.
    pub down: bool,
    /// Every request takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// So many further writes are applied but not answered.
    pub lose_answers: u32,
    /// Objects can't be found.
    pub objects_missing: bool,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    filled: Instant,
}

impl Bucket {
    fn full(per_s: f64) -> Self {
        Self { level: per_s, filled: Instant::now() }
    }

    fn take(&mut self, per_s: f64) -> bool {
        let now = Instant::now();
        let passed = now.duration_since(self.filled).as_secs_f64();
        self.level = (self.level + passed * per_s).min(per_s);
        self.filled = now;
        let granted = self.level >= 1.0;
        if granted {
            self.level -= 1.0;
        }
        granted
    }
}

#[derive(Debug)]
struct State {
    rows: BTreeMap<String, (u64, String)>,
    objects: HashMap<String, Bytes>,
    faults: PlatformFaults,
    limits: PlatformLimits,
    writes: Bucket,
    reads: Bucket,
    next_version: u64,
    /// Counts of requests by kind, refused ones included.
    counts: BTreeMap<&'static str, u64>,
}

#[derive(Deserialize)]
struct Write {
    key: String,
    expect: Option<u64>,
    value: Option<String>,
}

#[derive(Serialize)]
struct Row {
    key: String,
    version: u64,
    value: String,
}

#[derive(Default, Serialize)]
struct Commit {
    committed: bool,
    versions: Vec<u64>,
    conflicts: Vec<Row>,
    missing: Vec<String>,
}

/// A running platform; it stops when dropped.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    _runtime: Runtime,
}

impl PlatformStandin {
    /// Binds the platform and serves it on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when the address or a thread can't be had.
    pub fn spawn(address: SocketAddr, limits: PlatformLimits) -> io::Result<Self> {
        let (listener, address) = http::bind(address)?;
        let state = Arc::new(Mutex::new(State {
            rows: BTreeMap::new(),
            objects: HashMap::new(),
            faults: PlatformFaults::default(),
            limits,
            writes: Bucket::full(limits.writes_per_s),
            reads: Bucket::full(limits.reads_per_s),
            next_version: 1,
            counts: BTreeMap::new(),
        }));
        let runtime = http::runtime()?;
        let shared = Arc::clone(&state);
        runtime.spawn(http::serve(listener, CONNECTIONS, move |request| {
            answer(Arc::clone(&shared), request)
        }));
        Ok(Self { address, state, _runtime: runtime })
    }

    /// Returns where the platform listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what is wrong.
    pub fn set_faults(&self, faults: PlatformFaults) {
        lock(&self.state).faults = faults;
    }

    /// Returns all rows whose key starts with `prefix`, as key and value.
    #[must_use]
    pub fn rows(&self, prefix: &str) -> Vec<(String, String)> {
        let state = lock(&self.state);
        let rows = state.rows.iter().filter(|(key, _)| key.starts_with(prefix));
        rows.map(|(key, (_, value))| (key.clone(), value.clone())).collect()
    }

    /// Returns how many requests of a kind came, such as `commit` or `row`.
    #[must_use]
    pub fn count(&self, kind: &str) -> u64 {
        lock(&self.state).counts.get(kind).copied().unwrap_or(0)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn answer(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Option<Response<Full<Bytes>>> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let path = parts.uri.path().to_owned();
    if path == "/faults" {
        let faults = serde_json::from_slice(&body).unwrap_or_default();
        lock(&state).faults = faults;
        return Some(reply(StatusCode::OK, Bytes::new()));
    }
    let slow = lock(&state).faults.slow_ms;
    if slow > 0 {
        tokio::time::sleep(Duration::from_millis(slow)).await;
    }
    let mut state = lock(&state);
    let writes = parts.method != Method::GET;
    if state.faults.down || !state.admit(writes) {
        return Some(reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
    }
    let response = state.serve(&parts.method, &path, parts.uri.query().unwrap_or(""), body);
    if writes && state.faults.lose_answers > 0 {
        state.faults.lose_answers -= 1;
        return None;
    }
    Some(response)
}

impl State {
    fn admit(&mut self, writes: bool) -> bool {
        if writes {
            self.writes.take(self.limits.writes_per_s)
        } else {
            self.reads.take(self.limits.reads_per_s)
        }
    }

    fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    fn serve(
        &mut self,
        method: &Method,
        path: &str,
        query: &str,
        body: Bytes,
    ) -> Response<Full<Bytes>> {
        if path == "/table/commit" {
            self.count("commit");
            return self.commit(&body);
        }
        if path == "/table/rows" {
            self.count("rows");
            return self.page(query);
        }
        if let Some(key) = path.strip_prefix("/table/row/") {
            self.count("row");
            return match self.row(key) {
                Some(row) => json(StatusCode::OK, &row),
                None => reply(StatusCode::NOT_FOUND, Bytes::new()),
            };
        }
        let Some(name) = path.strip_prefix("/objects/") else {
            return reply(StatusCode::NOT_FOUND, Bytes::new());
        };
        if method == Method::PUT {
            self.count("object_put");
            self.objects.insert(name.to_owned(), body);
            return reply(StatusCode::OK, Bytes::new());
        }
        self.count("object_get");
        match self.objects.get(name) {
            Some(object) if !self.faults.objects_missing => reply(StatusCode::OK, object.clone()),
            _ => reply(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    fn commit(&mut self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(writes) = serde_json::from_slice::<Vec<Write>>(body) else {
            return reply(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let mut commit = self.check(&writes);
        if !commit.conflicts.is_empty() || !commit.missing.is_empty() {
            return json(StatusCode::CONFLICT, &commit);
        }
        commit.committed = true;
        for write in writes {
            let version = self.next_version;
            self.next_version += 1;
            commit.versions.push(version);
            match write.value {
                Some(value) => self.rows.insert(write.key, (version, value)),
                None => self.rows.remove(&write.key),
            };
        }
        json(StatusCode::OK, &commit)
    }

    /// Finds the rows that are not as the writes expect.
    fn check(&self, writes: &[Write]) -> Commit {
        let mut commit = Commit::default();
        for write in writes {
            let present = self.row(&write.key);
            let version = present.as_ref().map_or(0, |row| row.version);
            if write.expect.is_none_or(|expect| expect == version) {
                continue;
            }
            match present {
                Some(row) => commit.conflicts.push(row),
                None => commit.missing.push(write.key.clone()),
            }
        }
        commit
    }

    fn row(&self, key: &str) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;
        Some(Row { key: key.to_owned(), version: *version, value: value.clone() })
    }

    fn page(&self, query: &str) -> Response<Full<Bytes>> {
        let field = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
                .unwrap_or("")
        };
        let (prefix, after) = (field("prefix"), field("after"));
        let limit = field("limit").parse().unwrap_or(100);
        let keys = self.rows.keys().filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let rows: Vec<Row> = keys.take(limit).filter_map(|key| self.row(key)).collect();
        json(StatusCode::OK, &rows)
    }
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Full<Bytes>> {
    reply(status, Bytes::from(serde_json::to_vec(value).unwrap_or_default()))
}

fn reply(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
