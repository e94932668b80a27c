//! The platform's store: rows in tables, and objects, with faults.
//!
//! Speaks the published protocol of the users' store as far as the system uses
//! it: one counter of versions, transactions under conditions, pages, a feed of
//! changes with a history that can be dropped.

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

/// Table that only the operator writes.
pub(crate) const OPERATOR_TABLE: &str = "op";

/// Rows of one page, at most.
const MAX_PAGE: usize = 500;

/// Time between two looks for changes while a feed waits.
const FEED_STEP: Duration = Duration::from_millis(10);

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
    #[serde(rename = "lose_answers")]
    pub unanswered_writes: u32,
    /// Objects can't be found.
    pub objects_missing: bool,
    /// The history of changes is gone: whoever follows it must read anew.
    pub history_gone: bool,
}

#[derive(Debug)]
struct State {
    rows: BTreeMap<RowKey, (u64, String)>,
    /// Rows that were removed, and at which version, for those who follow changes.
    removed: BTreeMap<RowKey, u64>,
    objects: HashMap<String, Bytes>,
    faults: PlatformFaults,
    limits: PlatformLimits,
    writes: TokenBucket,
    reads: TokenBucket,
    version: u64,
    /// Counts of requests by kind, refused ones included.
    counts: BTreeMap<&'static str, u64>,
}

/// Table, part and key of a row.
type RowKey = (String, String, String);

/// A row, or what is said of one; `value` is base64.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
struct Row {
    table: String,
    part: String,
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    ver: u64,
    /// Set on a row that was removed, among changes.
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

    /// Returns where the platform listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what is wrong.
    pub fn set_faults(&self, faults: PlatformFaults) {
        lock(&self.state).faults = faults;
    }

    /// Returns the system's rows whose key starts with `prefix`, as key and value.
    #[must_use]
    pub fn rows(&self, prefix: &str) -> Vec<(String, String)> {
        let state = lock(&self.state);
        let own = |(table, _, key): &RowKey| table != OPERATOR_TABLE && key.starts_with(prefix);
        let rows = state.rows.iter().filter(|(key, _)| own(key));
        rows.map(|((_, _, key), (_, value))| (key.clone(), decode(value))).collect()
    }

    /// Writes a row past all conditions, or removes it.
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

    /// Returns how many requests of a kind came, such as `commit` or `row`.
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
    let slow = lock(&state).faults.slow_ms;
    if slow > 0 {
        tokio::time::sleep(Duration::from_millis(slow)).await;
    }
    let query = parts.uri.query().unwrap_or("").to_owned();
    if path == "/rows-feed" {
        return Some(feed(&state, &query).await);
    }
    let mut state = lock(&state);
    let writes = parts.method != Method::GET;
    if state.faults.down || !state.admit(writes) {
        return Some(reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
    }
    let response = state.serve(&parts.method, &path, &query, body);
    if writes && state.faults.unanswered_writes > 0 {
        state.faults.unanswered_writes -= 1;
        return None;
    }
    Some(response)
}

impl State {
    fn admit(&mut self, writes: bool) -> bool {
        if writes {
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
            let one = field(query, "limit") == "1";
            self.count(if one { "row" } else { "rows" });
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
        let present: Vec<Row> = transaction.expect.iter().map(|row| self.present(row)).collect();
        if present
            .iter()
            .zip(&transaction.expect)
            .any(|(found, expected)| found.ver != expected.ver)
        {
            return json(StatusCode::PRECONDITION_FAILED, &self.answer(present, false));
        }
        self.version += 1;
        for row in transaction.puts {
            let value = row.value.clone().unwrap_or_default();
            self.rows.insert(row.row_key(), (self.version, value));
        }
        for row in transaction.remove {
            self.rows.remove(&row.row_key());
        }
        json(StatusCode::OK, &self.answer(Vec::new(), false))
    }

    /// Returns a row as it is; version zero where there is none.
    fn present(&self, asked: &Row) -> Row {
        let found = self.rows.get(&asked.row_key());
        let (ver, value) = found.map_or((0, None), |(ver, value)| (*ver, Some(value.clone())));
        Row { value, ver, ..asked.clone() }
    }

    fn page(&self, query: &str) -> Response<Full<Bytes>> {
        let (table, part) = (field(query, "table"), field(query, "part"));
        let (from, end) = (field(query, "from"), field(query, "target"));
        let limit = field(query, "limit").parse().unwrap_or(MAX_PAGE).min(MAX_PAGE);
        let fits = |(own_table, own_part, key): &RowKey| {
            let inside = key.as_str() >= from && (end.is_empty() || key.as_str() < end);
            own_table == table && own_part == part && inside
        };
        let mut rows: Vec<Row> =
            self.rows.iter().filter(|(key, _)| fits(key)).map(tell).take(limit + 1).collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        json(StatusCode::OK, &self.answer(rows, has_more))
    }

    /// Returns the rows of a table that changed after a version, oldest first.
    fn changes(&self, table: &str, after: u64) -> Vec<Row> {
        let newer = |key: &RowKey, ver: u64| key.0 == table && ver > after;
        let mut rows: Vec<Row> =
            self.rows.iter().filter(|(key, (ver, _))| newer(key, *ver)).map(tell).collect();
        let removed = self.removed.iter().filter(|(key, ver)| newer(key, **ver));
        rows.extend(removed.map(|(key, ver)| {
            let (table, part, key) = key.clone();
            Row { table, part, key, ver: *ver, deleted: true, ..Row::default() }
        }));
        rows.sort_by_key(|row| row.ver);
        rows
    }

    fn answer(&self, rows: Vec<Row>, has_more: bool) -> Page {
        Page { rows, has_more, ver: self.version, now: "0ms".to_owned() }
    }
}

/// Waits for changes of a table, up to the time that is asked for.
async fn feed(state: &Mutex<State>, query: &str) -> Response<Full<Bytes>> {
    let after = field(query, "after").parse().unwrap_or(0);
    let wait = Duration::from_millis(field(query, "wait_ms").parse().unwrap_or(0));
    let until = Instant::now() + wait;
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
            if !rows.is_empty() || Instant::now() >= until {
                return json(StatusCode::OK, &state.answer(rows, false));
            }
        }
        tokio::time::sleep(FEED_STEP).await;
    }
}

fn tell((key, (ver, value)): (&RowKey, &(u64, String))) -> Row {
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
