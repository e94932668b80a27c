//! Stand-in for the platform's metadata store: rows with versions, conditional transactions
//! and a feed. It never fails.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::{Value, json};

use crate::http::{Message, read_message, serve, write_message};

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Value in Base64 and version; no value for a row that was removed.
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
    objects: BTreeMap<String, Vec<u8>>,
    version: u64,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    pub address: SocketAddr,
    started_at: Instant,
}

impl Store {
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let store = Self { rows: Arc::default(), address, started_at: Instant::now() };
        let shared = store.clone();
        serve(listener, move |socket| drop(shared.serve_connection(socket)));
        Ok(store)
    }

    /// Writes the operator's manifest.
    pub fn write_manifest(&self, manifest: &Value) {
        let mut rows = self.rows.0.lock().expect("rows");
        rows.version += 1;
        let version = rows.version;
        let key = ("op".to_owned(), String::new(), "config".to_owned());
        rows.rows.insert(key, (Some(BASE64.encode(manifest.to_string())), version));
        self.rows.1.notify_all();
    }

    fn serve_connection(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut reader = BufReader::new(socket.try_clone()?);
        let mut writer = socket;
        while let Some(request) = read_message(&mut reader)? {
            std::thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            write_message(&mut writer, &format!("HTTP/1.1 {status}"), &headers, &body)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        match path {
            "/rows-tx" => self.commit(&request.body),
            "/rows-get" => self.read(query),
            "/rows-feed" => self.feed(query),
            _ => self.object(request, path),
        }
    }

    fn object(&self, request: &Message, path: &str) -> (&'static str, Vec<u8>) {
        let mut rows = self.rows.0.lock().expect("rows");
        if let Some(name) = path.strip_prefix("/blob-put/") {
            rows.objects.insert(name.to_owned(), request.body.clone());
            return ("200 OK", b"{}".to_vec());
        }
        let name = path.strip_prefix("/blob-get/").unwrap_or_default();
        match rows.objects.get(name) {
            Some(body) => ("200 OK", body.clone()),
            None => ("404 Not Found", b"{}".to_vec()),
        }
    }

    fn page(&self, rows: Vec<Value>, version: u64, has_more: bool) -> Vec<u8> {
        let now = format!("{}ms", self.started_at.elapsed().as_millis());
        json!({"rows": rows, "ver": version, "now": now, "has_more": has_more})
            .to_string()
            .into_bytes()
    }

    fn commit(&self, body: &[u8]) -> (&'static str, Vec<u8>) {
        let Ok(transaction) = serde_json::from_slice::<Value>(body) else {
            return ("400 Bad Request", b"{}".to_vec());
        };
        let list = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        let key = |row: &Value| (text(row, "table"), text(row, "part"), text(row, "key"));
        let mut rows = self.rows.0.lock().expect("rows");
        let found: Vec<Value> = list("expect")
            .iter()
            .map(|row| {
                let key = key(row);
                match rows.rows.get(&key) {
                    Some((Some(value), version)) => to_row(&key, Some(value), *version),
                    _ => to_row(&key, None, 0),
                }
            })
            .collect();
        let expected = list("expect");
        let holds = found.iter().zip(&expected).all(|(row, other)| row["ver"] == other["ver"]);
        if !holds {
            let version = rows.version;
            return ("412 Precondition Failed", self.page(found, version, false));
        }
        rows.version += 1;
        let version = rows.version;
        for row in list("puts") {
            rows.rows.insert(key(&row), (Some(text(&row, "value")), version));
        }
        for row in list("remove") {
            rows.rows.insert(key(&row), (None, version));
        }
        self.rows.1.notify_all();
        ("200 OK", self.page(Vec::new(), version, false))
    }

    fn read(&self, query: &str) -> (&'static str, Vec<u8>) {
        let (table, part) = (field(query, "table"), field(query, "part"));
        let (from, target) = (field(query, "from"), field(query, "target"));
        let limit = field(query, "limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.0.lock().expect("rows");
        let matching = rows.rows.iter().filter(|((row_table, row_part, key), (value, _))| {
            row_table == table
                && row_part == part
                && value.is_some()
                && key.as_str() >= from
                && (target.is_empty() || key.as_str() < target)
        });
        let mut found: Vec<Value> = matching
            .map(|(key, (value, version))| to_row(key, value.as_deref(), *version))
            .take(limit + 1)
            .collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        ("200 OK", self.page(found, rows.version, has_more))
    }

    fn feed(&self, query: &str) -> (&'static str, Vec<u8>) {
        let table = field(query, "table");
        let after: u64 = field(query, "after").parse().unwrap_or(0);
        let wait = Duration::from_millis(field(query, "wait_ms").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut rows = self.rows.0.lock().expect("rows");
        loop {
            let mut changed: Vec<(u64, Value)> = rows
                .rows
                .iter()
                .filter(|((row_table, ..), (_, version))| row_table == table && *version > after)
                .map(|(key, (value, version))| (*version, to_row(key, value.as_deref(), *version)))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(version, _)| *version);
                let changed = changed.into_iter().map(|(_, row)| row).collect();
                return ("200 OK", self.page(changed, rows.version, false));
            }
            rows = self.rows.1.wait_timeout(rows, left).expect("rows").0;
        }
    }
}

fn to_row(key: &RowKey, value: Option<&str>, version: u64) -> Value {
    let (table, part, key) = key;
    let mut row = json!({"table": table, "part": part, "key": key, "ver": version});
    match value {
        Some(value) => row["value"] = json!(value),
        None => row["deleted"] = json!(true),
    }
    row
}

fn field<'a>(query: &'a str, name: &str) -> &'a str {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(other, _)| *other == name).map_or("", |(_, value)| value)
}
