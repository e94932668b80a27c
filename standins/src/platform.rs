//! The platform's store of rows and objects, with fault injection.
//!
//! It implements the part of the users' store protocol that railspan uses: one
//! version counter, conditional transactions, pages, and a change feed whose history
//! can be lost.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::runtime::Runtime;

use crate::bucket::TokenBucket;
use crate::http;

const CONNECTIONS: http::ConnectionLimits =
    http::ConnectionLimits { max_concurrent: 10_000, open_delay: Duration::ZERO };

/// Table that only the operator may write.
pub(crate) const OPERATOR_TABLE: &str = "op";

/// Largest number of rows in a page.
const MAX_PAGE_ROWS: usize = 500;

/// Interval at which a waiting feed request checks for changes.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Request rates above which the platform responds with 503.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PlatformLimits {
    /// Transactions and object writes per second.
    pub writes_per_s: f64,
    /// Reads of rows, pages and objects per second.
    pub reads_per_s: f64,
}

impl Default for PlatformLimits {
    fn default() -> Self {
        Self { writes_per_s: 300.0, reads_per_s: 2_000.0 }
    }
}

/// Faults of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Every request is rejected with 503.
    pub down: bool,
    /// Extra delay of every request, in milliseconds.
    pub slow_ms: u64,
    /// Number of further writes that get no response, though they are applied.
    #[serde(rename = "lose_answers")]
    pub unanswered_writes: u32,
    /// Reads of objects fail with 404.
    pub objects_missing: bool,
    /// The change history is lost: followers of the feed must read all rows again.
    pub history_gone: bool,
}

#[derive(Debug)]
struct State {
    rows: BTreeMap<RowKey, (u64, String)>,
    /// Removed rows with the version of their removal, for the change feed.
    removed: BTreeMap<RowKey, u64>,
    objects: HashMap<String, Bytes>,
    faults: PlatformFaults,
    limits: PlatformLimits,
    writes: TokenBucket,
    reads: TokenBucket,
    version: u64,
    /// Number of requests by kind. Apart from feeds, those that were rejected as down or
    /// over the rate limit are not counted; failed transactions are.
    counts: BTreeMap<&'static str, u64>,
}

/// Table, partition and key of a row.
type RowKey = (String, String, String);

/// A row in requests and responses; `value` is base64.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
struct Row {
    table: String,
    part: String,
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    ver: u64,
    /// Set in the change feed for a row that was removed.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    deleted: bool,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Transaction {
    expect: Vec<Row>,
    puts: Vec<Row>,
    remove: Vec<Row>,
}

#[derive(Serialize)]
struct Page {
    rows: Vec<Row>,
    has_more: bool,
    ver: u64,
    now: String,
}

impl Row {
    fn row_key(&self) -> RowKey {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}

/// A running platform, which stops when this is dropped.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    _runtime: Runtime,
}

impl PlatformStandin {
    /// Binds the address and serves the platform on its own thread.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound or a thread can't be started.
    pub fn spawn(address: SocketAddr, limits: PlatformLimits) -> io::Result<Self> {
        let (listener, address) = http::bind(address)?;
        let state = Arc::new(Mutex::new(State {
            rows: BTreeMap::new(),
            removed: BTreeMap::new(),
            objects: HashMap::new(),
            faults: PlatformFaults::default(),
            limits,
            writes: TokenBucket::full(limits.writes_per_s),
            reads: TokenBucket::full(limits.reads_per_s),
            version: 0,
            counts: BTreeMap::new(),
        }));
        let runtime = http::runtime()?;
        let shared = Arc::clone(&state);
        runtime.spawn(http::serve(listener, CONNECTIONS, move |request| {
            answer(Arc::clone(&shared), request)
        }));
        Ok(Self { address, state, _runtime: runtime })
    }

    /// Returns the address at which the platform listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        lock(&self.state).faults = faults;
    }

    /// Returns keys and values of railspan's rows whose key starts with `prefix`.
    #[must_use]
    pub fn rows(&self, prefix: &str) -> Vec<(String, String)> {
        let state = lock(&self.state);
        let matches = |(table, _, key): &RowKey| table != OPERATOR_TABLE && key.starts_with(prefix);
        let rows = state.rows.iter().filter(|(key, _)| matches(key));
        rows.map(|((_, _, key), (_, value))| (key.clone(), decode(value))).collect()
    }

    /// Writes a row without conditions; `None` removes it.
    pub(crate) fn put_row(&self, table: &str, key: &str, value: Option<&[u8]>) {
        let mut state = lock(&self.state);
        state.version += 1;
        let version = state.version;
        let row = (table.to_owned(), String::new(), key.to_owned());
        if let Some(value) = value {
            state.rows.insert(row, (version, BASE64.encode(value)));
        } else {
            state.rows.remove(&row);
            state.removed.insert(row, version);
        }
    }

    /// Returns the number of requests of a kind, such as `commit` or `row`.
    #[must_use]
    pub fn count(&self, kind: &str) -> u64 {
        lock(&self.state).counts.get(kind).copied().unwrap_or(0)
    }
}

fn decode(value: &str) -> String {
    let bytes = BASE64.decode(value).unwrap_or_default();
    String::from_utf8(bytes).unwrap_or_default()
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
    let delay_ms = lock(&state).faults.slow_ms;
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    let query = parts.uri.query().unwrap_or("").to_owned();
    if path == "/rows-feed" {
        return Some(feed(&state, &query).await);
    }
    let mut state = lock(&state);
    let is_write = parts.method != Method::GET;
    if state.faults.down || !state.admit(is_write) {
        return Some(reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
    }
    let response = state.serve(&parts.method, &path, &query, body);
    if is_write && state.faults.unanswered_writes > 0 {
        state.faults.unanswered_writes -= 1;
        return None;
    }
    Some(response)
}

impl State {
    /// Takes a token for a request; `false` if its rate limit is exceeded.
    fn admit(&mut self, is_write: bool) -> bool {
        if is_write {
            self.writes.try_take(self.limits.writes_per_s)
        } else {
            self.reads.try_take(self.limits.reads_per_s)
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
        if path == "/rows-tx" {
            self.count("commit");
            return self.commit(&body);
        }
        if path == "/rows-get" {
            let is_single = field(query, "limit") == "1";
            self.count(if is_single { "row" } else { "rows" });
            return self.page(query);
        }
        if path.starts_with("/blob-put/") && method != Method::PUT {
            return reply(StatusCode::METHOD_NOT_ALLOWED, Bytes::new());
        }
        let name = path.strip_prefix("/blob-put/").or_else(|| path.strip_prefix("/blob-get/"));
        let Some(name) = name else {
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
        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
            return reply(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let written = transaction.puts.iter().chain(&transaction.remove);
        if written.clone().any(|row| row.table == OPERATOR_TABLE) {
            return reply(StatusCode::FORBIDDEN, Bytes::new());
        }
        let stored: Vec<Row> = transaction.expect.iter().map(|row| self.stored(row)).collect();
        if stored.iter().zip(&transaction.expect).any(|(found, expected)| found.ver != expected.ver)
        {
            return json(StatusCode::PRECONDITION_FAILED, &self.to_page(stored, false));
        }
        self.version += 1;
        for row in transaction.puts {
            let value = row.value.clone().unwrap_or_default();
            self.rows.insert(row.row_key(), (self.version, value));
        }
        for row in transaction.remove {
            self.rows.remove(&row.row_key());
        }
        json(StatusCode::OK, &self.to_page(Vec::new(), false))
    }

    /// Returns the stored row; version zero if there is none.
    fn stored(&self, requested: &Row) -> Row {
        let found = self.rows.get(&requested.row_key());
        let (ver, value) = found.map_or((0, None), |(ver, value)| (*ver, Some(value.clone())));
        Row { value, ver, ..requested.clone() }
    }

    fn page(&self, query: &str) -> Response<Full<Bytes>> {
        let (table, part) = (field(query, "table"), field(query, "part"));
        let (from, end) = (field(query, "from"), field(query, "target"));
        let limit = field(query, "limit").parse().unwrap_or(MAX_PAGE_ROWS).min(MAX_PAGE_ROWS);
        let matches = |(row_table, row_part, key): &RowKey| {
            let in_range = key.as_str() >= from && (end.is_empty() || key.as_str() < end);
            row_table == table && row_part == part && in_range
        };
        let mut rows: Vec<Row> =
            self.rows.iter().filter(|(key, _)| matches(key)).map(to_row).take(limit + 1).collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        json(StatusCode::OK, &self.to_page(rows, has_more))
    }

    /// Returns the rows of a table that changed after a version, oldest first.
    fn changes(&self, table: &str, after: u64) -> Vec<Row> {
        let newer = |key: &RowKey, ver: u64| key.0 == table && ver > after;
        let mut rows: Vec<Row> =
            self.rows.iter().filter(|(key, (ver, _))| newer(key, *ver)).map(to_row).collect();
        let removed = self.removed.iter().filter(|(key, ver)| newer(key, **ver));
        rows.extend(removed.map(|(key, ver)| {
            let (table, part, key) = key.clone();
            Row { table, part, key, ver: *ver, deleted: true, ..Row::default() }
        }));
        rows.sort_by_key(|row| row.ver);
        rows
    }

    fn to_page(&self, rows: Vec<Row>, has_more: bool) -> Page {
        Page { rows, has_more, ver: self.version, now: "0ms".to_owned() }
    }
}

/// Returns changes of a table; waits for them up to the requested time.
async fn feed(state: &Mutex<State>, query: &str) -> Response<Full<Bytes>> {
    let after = field(query, "after").parse().unwrap_or(0);
    let wait = Duration::from_millis(field(query, "wait_ms").parse().unwrap_or(0));
    let deadline = Instant::now() + wait;
    lock(state).count("feed");
    loop {
        {
            let state = lock(state);
            if state.faults.down {
                return reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            }
            if state.faults.history_gone {
                return reply(StatusCode::GONE, Bytes::new());
            }
            let rows = state.changes(field(query, "table"), after);
            if !rows.is_empty() || Instant::now() >= deadline {
                return json(StatusCode::OK, &state.to_page(rows, false));
            }
        }
        tokio::time::sleep(FEED_POLL_INTERVAL).await;
    }
}

fn to_row((key, (ver, value)): (&RowKey, &(u64, String))) -> Row {
    let (table, part, key) = key.clone();
    Row { table, part, key, value: Some(value.clone()), ver: *ver, deleted: false }
}

fn field<'a>(query: &'a str, name: &str) -> &'a str {
    let mut pairs = query.split('&');
    pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')).unwrap_or("")
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Full<Bytes>> {
    reply(status, Bytes::from(serde_json::to_vec(value).unwrap_or_default()))
}

fn reply(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
