//! The platform's store of rows, which in a drill is away for a moment and comes back from a copy
//! some seconds old.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::record::Record;

/// Table that the operator writes.
const OPERATOR_TABLE: &str = "op";

/// Interval at which a waiting feed looks for changes.
const FEED_INTERVAL: Duration = Duration::from_millis(5);

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// A row: its version, and its value in Base64, or `None` if it was removed.
type Row = (u64, Option<String>);

/// Rows by table and key; all of them have an empty part.
#[derive(Clone, Debug, Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

#[derive(Debug, Default)]
struct StoreState {
    rows: Rows,
    /// Copy from which the store comes back.
    copy: Rows,
    era: u64,
    is_away: bool,
    connections: Vec<TcpStream>,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    record: Record,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Fails when the address is not free.
    pub fn spawn(address: SocketAddr, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        let store = Self { state: Arc::default(), record: record.clone() };
        store.lock().era = 1;
        let accepting = store.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let mut state = accepting.lock();
                if state.is_away {
                    continue;
                }
                state.connections.extend(socket.try_clone());
                drop(state);
                let serving = accepting.clone();
                // A broken connection concerns only its client.
                std::thread::spawn(move || drop(serving.serve(&socket)));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator does; `None` removes it. Returns its version, which the store
    /// has acknowledged.
    pub fn write(&self, key: &str, value: Option<&str>) -> u64 {
        let mut state = self.lock();
        state.rows.put(OPERATOR_TABLE, key, value.map(encode));
        let version = state.rows.version;
        drop(state);
        self.record.note(&format!("the operator writes op/{key}, version {version}"));
        version
    }

    /// Makes the copy from which the store comes back.
    pub fn copy(&self) {
        let mut state = self.lock();
        state.copy = state.rows.clone();
        let version = state.copy.version;
        drop(state);
        self.record.note(&format!("a copy of the store is made at version {version}"));
    }

    /// Goes away for some time and comes back from the copy.
    pub fn come_back_from_copy(&self, away_for: Duration) {
        let mut state = self.lock();
        state.is_away = true;
        for socket in state.connections.drain(..) {
            // Fails if the peer has closed the connection already.
            drop(socket.shutdown(Shutdown::Both));
        }
        let before = state.rows.version;
        drop(state);
        self.record.note(&format!("the store is away, at version {before}"));
        std::thread::sleep(away_for);
        let mut state = self.lock();
        state.rows = state.copy.clone();
        state.era += 1;
        state.is_away = false;
        let after = state.rows.version;
        drop(state);
        self.record.note(&format!("the store is back from its copy, at version {after}"));
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, socket: &TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut reader = BufReader::new(socket.try_clone()?);
        let mut writer = socket.try_clone()?;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let mut length = 0;
            loop {
                let mut header = String::new();
                reader.read_line(&mut header)?;
                let Some((name, value)) = header.trim_end().split_once(':') else { break };
                if name.eq_ignore_ascii_case("content-length") {
                    length = value.trim().parse().unwrap_or(0);
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let (status, answer) = match path {
                "/rows-get" => (200, self.lock().rows.page(query)),
                "/rows-feed" => self.feed(query),
                "/rows-tx" => self.lock().rows.commit(&body),
                _ => (404, Value::Null),
            };
            let text = answer.to_string();
            let era = self.lock().era;
            write!(
                writer,
                "HTTP/1.1 {status} -\r\nStore-Era: {era}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{text}",
                text.len()
            )?;
        }
    }

    /// Waits for changes; 410 after a version that the store doesn't have.
    fn feed(&self, query: &str) -> (u16, Value) {
        let after: u64 = field(query, "after").parse().unwrap_or(0);
        let wait = Duration::from_millis(field(query, "wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            let state = self.lock();
            if after > state.rows.version {
                return (410, Value::Null);
            }
            let rows = state.rows.changes(field(query, "table"), after);
            if !rows.is_empty() || Instant::now() >= until {
                return (200, state.rows.answer(rows));
            }
            drop(state);
            std::thread::sleep(FEED_INTERVAL);
        }
    }
}

impl Rows {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        self.rows.insert((table.to_owned(), key.to_owned()), (self.version, value));
    }

    fn answer(&self, rows: Vec<Value>) -> Value {
        json!({"rows": rows, "has_more": false, "ver": self.version, "now": "0ms"})
    }

    fn page(&self, query: &str) -> Value {
        let (table, from, end) =
            (field(query, "table"), field(query, "from"), field(query, "target"));
        let limit = field(query, "limit").parse().unwrap_or(500);
        let in_range = |key: &str| key >= from && (end.is_empty() || key < end);
        let rows = self
            .rows
            .iter()
            .filter(|((of, key), (_, value))| of == table && in_range(key) && value.is_some());
        self.answer(rows.take(limit).map(to_json).collect())
    }

    fn changes(&self, table: &str, after: u64) -> Vec<Value> {
        let newer = self.rows.iter().filter(|((of, _), (ver, _))| of == table && *ver > after);
        let mut newer: Vec<_> = newer.collect();
        newer.sort_by_key(|(_, (ver, _))| *ver);
        newer.into_iter().map(to_json).collect()
    }

    fn commit(&mut self, body: &[u8]) -> (u16, Value) {
        let Ok(transaction) = serde_json::from_slice::<Value>(body) else {
            return (400, Value::Null);
        };
        let entries = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let place = |row: &Value| {
            let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
            (text("table"), text("key"))
        };
        let mut found = Vec::new();
        let mut as_expected = true;
        for row in entries("expect") {
            let stored = self.rows.get(&place(&row)).filter(|(_, value)| value.is_some());
            let version = stored.map_or(0, |(version, _)| *version);
            as_expected &= row["ver"].as_u64().unwrap_or(0) == version;
            found.extend(stored.map(|row_of| to_json((&place(&row), row_of))));
        }
        if !as_expected {
            return (412, self.answer(found));
        }
        self.version += 1;
        for row in entries("puts") {
            let value = row["value"].as_str().map(str::to_owned);
            self.rows.insert(place(&row), (self.version, value));
        }
        for row in entries("remove") {
            self.rows.insert(place(&row), (self.version, None));
        }
        (200, self.answer(Vec::new()))
    }
}

fn to_json(((table, key), (version, value)): (&(String, String), &Row)) -> Value {
    let mut row = json!({"table": table, "part": "", "key": key, "ver": version});
    match value {
        Some(value) => row["value"] = json!(value),
        None => row["deleted"] = json!(true),
    }
    row
}

fn field<'a>(query: &'a str, name: &str) -> &'a str {
    let mut pairs = query.split('&');
    pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')).unwrap_or("")
}

/// Encodes a text in Base64.
fn encode(text: &str) -> String {
    let mut encoded = String::new();
    for chunk in text.as_bytes().chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            if position > chunk.len() {
                encoded.push('=');
            } else {
                let index = (bits >> (18 - 6 * position)) as usize % 64;
                encoded.push(char::from(ALPHABET[index]));
            }
        }
    }
    encoded
}
