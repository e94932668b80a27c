//! Stand-in for a sound application upstream, as the pages describe one.

use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::http::{Message, call_once, read_message, serve, write_message, write_paced};

/// Interval between two heartbeats, as the settings state it.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Path of the health check, as the manifest states it.
const HEALTH_PATH: &str = "/health";

/// What the upstream is.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    /// Requests that run at once; as many more wait.
    pub slots: usize,
    pub work: Duration,
    /// Length of the answers, and the time over which they are written; short ones at once.
    pub answer_len: usize,
    pub answer_time: Duration,
}

/// A request that the upstream began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub upstream: String,
    pub arrived_at: Instant,
    /// Whether the work was done and the answer written.
    pub answered: bool,
}

#[derive(Default)]
struct UpstreamState {
    running: usize,
    waiting: usize,
    sequence: u64,
    runs: Vec<Run>,
}

/// A running upstream; clones share it.
#[derive(Clone)]
pub struct Upstream {
    options: UpstreamOptions,
    state: Arc<(Mutex<UpstreamState>, Condvar)>,
}

impl Upstream {
    pub fn spawn(options: UpstreamOptions) -> io::Result<Self> {
        let listener = TcpListener::bind(options.address)?;
        let upstream = Self { options, state: Arc::default() };
        let shared = upstream.clone();
        serve(listener, move |socket| drop(shared.serve_connection(socket)));
        let shared = upstream.clone();
        std::thread::spawn(move || {
            loop {
                shared.send_heartbeat();
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(upstream)
    }

    fn lock(&self) -> MutexGuard<'_, UpstreamState> {
        self.state.0.lock().expect("upstream")
    }

    /// Sends a heartbeat to the daemon beside it; one that is down gets the next.
    fn send_heartbeat(&self) {
        let options = &self.options;
        let sequence = {
            let mut state = self.lock();
            state.sequence += 1;
            state.sequence
        };
        let body = json!({
            "address": options.address,
            "info": {
                "service": options.service, "version": "v1", "zone": options.zone,
                "slots": options.slots,
            },
            "status": {"state": "ready", "sequence": sequence, "cold_remaining": "0ms"},
        });
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let line = format!("POST /instances/{}/heartbeat HTTP/1.1", options.id);
        let body = body.to_string();
        call_once(options.control, &line, &headers, body.as_bytes(), Duration::from_secs(1));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    fn serve_connection(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut reader = BufReader::new(socket.try_clone()?);
        let mut writer = socket;
        while let Some(request) = read_message(&mut reader)? {
            if request.path() == HEALTH_PATH {
                let load = self.load(&self.lock());
                let headers = [("X-Instance-Id", &*self.options.id), ("X-Server-Load", &load)];
                write_message(&mut writer, "HTTP/1.1 200 OK", &headers, b"")?;
            } else {
                self.serve_request(&request, &mut writer)?;
            }
        }
        Ok(())
    }

    fn load(&self, state: &UpstreamState) -> String {
        format!("{},{},{},100", state.running, state.waiting, self.options.slots)
    }

    fn serve_request(&self, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let arrived_at = Instant::now();
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let not_run = [("X-Request-Id", &*id), ("X-Not-Executed", "1")];
        if request.header("x-target-instance").is_some_and(|name| name != self.options.id) {
            return write_message(writer, "HTTP/1.1 421 Misdirected Request", &not_run, b"");
        }
        let deadline = request.header("x-deadline-ms").and_then(|text| text.parse().ok());
        let deadline = arrived_at + Duration::from_millis(deadline.unwrap_or(60_000));
        let index = {
            let mut state = self.lock();
            if state.running >= self.options.slots && state.waiting >= self.options.slots {
                drop(state);
                return write_message(writer, "HTTP/1.1 503 Full", &not_run, b"");
            }
            state.waiting += 1;
            while state.running >= self.options.slots && Instant::now() < deadline {
                let left = deadline.saturating_duration_since(Instant::now());
                state = self.state.1.wait_timeout(state, left).expect("upstream").0;
            }
            state.waiting -= 1;
            if state.running >= self.options.slots {
                drop(state);
                return write_message(writer, "HTTP/1.1 503 Late", &not_run, b"");
            }
            state.running += 1;
            let upstream = self.options.id.clone();
            state.runs.push(Run { id: id.clone(), upstream, arrived_at, answered: false });
            state.runs.len() - 1
        };
        std::thread::sleep(self.options.work);
        let load = {
            let mut state = self.lock();
            state.running -= 1;
            self.state.1.notify_all();
            self.load(&state)
        };
        // It stops work at the deadline that it was given.
        if Instant::now() >= deadline {
            let headers = [("X-Request-Id", &*id), ("X-Server-Signature", "3e1b.07")];
            return write_message(writer, "HTTP/1.1 504 Gateway Timeout", &headers, b"");
        }
        let mut body = format!("body of {id}").into_bytes();
        body.resize(body.len().max(self.options.answer_len), b'.');
        let headers = [
            ("X-Request-Id", &*id),
            ("X-Server-Signature", "3e1b.07"),
            ("X-Server-Load", &load),
            ("Keep-Alive", "timeout=10"),
        ];
        if self.options.answer_time.is_zero() {
            write_message(writer, "HTTP/1.1 200 OK", &headers, &body)?;
        } else {
            let rate = body.len() as f64 / self.options.answer_time.as_secs_f64();
            write_paced(writer, "HTTP/1.1 200 OK", &headers, &body, rate as usize, deadline)?;
        }
        self.lock().runs[index].answered = true;
        Ok(())
    }
}
