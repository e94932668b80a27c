//! Clients: each request has an id of its own and a connection of its own.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use railspan_standins::hosted_call;

use crate::record::Record;

/// Body of requests that change something.
const BODY: &[u8] = b"some bytes of a request";

/// What a client got for one request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Request id.
    pub id: String,
    /// Time since the start of the case at which the client began to send.
    pub sent_at: Duration,
    /// Address of the machine that the client sent it to.
    pub machine: SocketAddr,
    /// Status, or `None` if there was no complete answer.
    pub status: Option<u16>,
    /// Whether the request was posted, and so must not run twice.
    pub is_write: bool,
    /// Whether the answer had the signature of an upstream.
    pub signed: bool,
}

/// Sends requests and keeps the answers.
#[derive(Clone, Debug)]
pub struct Client {
    host: String,
    record: Record,
    next_id: Arc<AtomicU64>,
    answers: Arc<Mutex<Vec<Answer>>>,
}

impl Client {
    /// Creates a client of a virtual host.
    #[must_use]
    pub fn open(host: &str, record: &Record) -> Self {
        Self {
            host: host.to_owned(),
            record: record.clone(),
            next_id: Arc::new(AtomicU64::new(1)),
            answers: Arc::default(),
        }
    }

    /// Sends one request and waits for its answer. A path of the prefix `/read/` is got, any
    /// other one is posted to.
    pub fn send(
        &self,
        machine: SocketAddr,
        prefix: &str,
        deadline_ms: u32,
        key: Option<&str>,
    ) -> Answer {
        let id = format!("r{:06}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let path = format!("{prefix}{id}");
        let (method, body) = if prefix == "/read/" { ("GET", &b""[..]) } else { ("POST", BODY) };
        let deadline = deadline_ms.to_string();
        let bearer = key.map(|key| format!("Bearer {key}"));
        let mut headers =
            vec![("Host", &*self.host), ("X-Request-Id", &*id), ("X-Deadline-Ms", &*deadline)];
        headers.extend(bearer.as_deref().map(|bearer| ("Authorization", bearer)));
        let is_write = method == "POST";
        let sent_at = self.record.now();
        self.record.add(format!("sent {id} {method} {prefix} to {machine}"));
        let result = hosted_call(machine, method, &path, &headers, body);
        let answer = match result {
            Ok(response) => {
                let signed = response.headers.contains_key("x-server-signature");
                let reason = if signed { String::new() } else { String::from(" by the system") };
                self.record.add(format!("answered {id} {}{reason}", response.status));
                Answer { id, sent_at, machine, is_write, status: Some(response.status), signed }
            }
            Err(error) => {
                self.record.add(format!("no answer {id}: {error}"));
                Answer { id, sent_at, machine, is_write, status: None, signed: false }
            }
        };
        self.answers.lock().unwrap_or_else(PoisonError::into_inner).push(answer.clone());
        answer
    }

    /// Returns all answers so far.
    #[must_use]
    pub fn answers(&self) -> Vec<Answer> {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Steady load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Machines that get the requests in turn.
    pub machines: Vec<SocketAddr>,
    /// Path prefixes of the requests, in turn.
    pub prefixes: Vec<&'static str>,
    /// Requests a second, at even intervals.
    pub per_s: f64,
    /// Time that clients wait for an answer, in milliseconds.
    pub deadline_ms: u32,
    /// API key of the requests.
    pub key: Option<String>,
}

/// A running load.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Load {
    /// Starts a load.
    #[must_use]
    pub fn spawn(client: &Client, plan: LoadPlan) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (client, stopped) = (client.clone(), Arc::clone(&stop));
        let thread = std::thread::spawn(move || {
            let interval = Duration::from_secs_f64(1.0 / plan.per_s);
            let mut due = Instant::now();
            let mut requests = Vec::new();
            for number in 0_usize.. {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let machine = plan.machines[number % plan.machines.len()];
                let prefix = plan.prefixes[number / plan.machines.len() % plan.prefixes.len()];
                let (client, key) = (client.clone(), plan.key.clone());
                let deadline_ms = plan.deadline_ms;
                requests.push(std::thread::spawn(move || {
                    client.send(machine, prefix, deadline_ms, key.as_deref());
                }));
                due += interval;
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
            }
            for request in requests {
                drop(request.join());
            }
        });
        Self { stop, thread }
    }

    /// Stops the load and waits for the answers to all requests.
    pub fn finish(self) {
        self.stop.store(true, Ordering::Relaxed);
        drop(self.thread.join());
    }
}
