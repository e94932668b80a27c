//! Stand-in for an application upstream, as the pages describe one.

use std::collections::VecDeque;
use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::http::{Answer, Message, call_once, read_message, serve, write_message, write_paced};

/// Interval between two heartbeats, as the settings state it.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Path of the health check, as the manifest states it.
pub const HEALTH_PATH: &str = "/health";

/// What the upstream is.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub slots: usize,
    pub work: Duration,
    /// Length of the answers, and the time over which they are written; short ones at once.
    pub answer_len: usize,
    pub answer_time: Duration,
    /// Factor by which work takes longer while the upstream is cold.
    pub cold_factor: u32,
    /// Number of requests in one second at which it crashes while it is cold.
    pub cold_crash: usize,
}

/// A request that the upstream began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub upstream: String,
    pub arrived_at: Instant,
    /// Whether the upstream was cold.
    pub cold: bool,
    /// Whether the work was done and the answer written.
    pub answered: bool,
}

#[derive(Default)]
struct UpstreamState {
    running: usize,
    waiting: usize,
    sequence: u64,
    runs: Vec<Run>,
    connections: Vec<TcpStream>,
    cold_until: Option<Instant>,
    /// Arrivals in the last second while cold.
    cold_arrivals: VecDeque<Instant>,
    /// Whether it sends no more heartbeats.
    silent: bool,
    /// Whether it is leaving: health checks fail.
    leaving: bool,
    /// Whether its process has ended.
    ended: Option<Instant>,
}

/// A running upstream; clones share it.
#[derive(Clone)]
pub struct Upstream {
    pub options: UpstreamOptions,
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
                {
                    let state = shared.lock();
                    if state.silent || state.ended.is_some() {
                        return;
                    }
                }
                let (path, body) = shared.next_heartbeat();
                // A daemon that is down gets the next one.
                _ = shared.post(&path, &body);
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(upstream)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, UpstreamState> {
        self.state.0.lock().expect("upstream")
    }

    /// Makes the next heartbeat: its path and its body.
    pub fn next_heartbeat(&self) -> (String, String) {
        let mut state = self.lock();
        state.sequence += 1;
        let options = &self.options;
        let body = json!({
            "address": options.address,
            "info": {
                "service": options.service, "version": "v1", "zone": options.zone,
                "slots": options.slots,
            },
            "status": {
                "state": "ready", "sequence": state.sequence,
                "cold_remaining": format!("{}ms", cold_remaining(&state).as_millis()),
            },
        });
        (format!("/instances/{}/heartbeat", options.id), body.to_string())
    }

    /// Sends a call to the daemon's control address; returns the status of the answer.
    pub fn post(&self, path: &str, body: &str) -> Option<u16> {
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let line = format!("POST {path} HTTP/1.1");
        let timeout = Duration::from_secs(1);
        match call_once(self.options.control, &line, &headers, body.as_bytes(), timeout) {
            Answer::Whole(answer) => Some(answer.status()),
            _ => None,
        }
    }

    /// Says that it leaves, without having said `draining`, and sends no more heartbeats.
    pub fn leave(&self) -> Option<u16> {
        {
            let mut state = self.lock();
            state.silent = true;
            state.leaving = true;
        }
        self.post(&format!("/instances/{}/leave", self.options.id), "{}")
    }

    /// Waits until a heartbeat has just been sent.
    pub fn wait_for_heartbeat(&self) {
        let before = self.lock().sequence;
        while self.lock().sequence == before {
            std::thread::sleep(Duration::from_millis(5));
        }
        std::thread::sleep(Duration::from_millis(50));
    }

    pub fn set_cold_for(&self, duration: Duration) {
        self.lock().cold_until = Some(Instant::now() + duration);
    }

    /// Ends its process: all connections close.
    pub fn end(&self) {
        let mut state = self.lock();
        if state.ended.is_none() {
            state.ended = Some(Instant::now());
        }
        for socket in state.connections.drain(..) {
            drop(socket.shutdown(Shutdown::Both));
        }
    }

    pub fn ended(&self) -> Option<Instant> {
        self.lock().ended
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    fn serve_connection(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        {
            let mut state = self.lock();
            if state.ended.is_some() {
                return Ok(());
            }
            state.connections.push(socket.try_clone()?);
        }
        let mut reader = BufReader::new(socket.try_clone()?);
        let mut writer = socket;
        while let Some(request) = read_message(&mut reader)? {
            if self.lock().ended.is_some() {
                return Ok(());
            }
            if request.path() == HEALTH_PATH {
                self.answer_health(&mut writer)?;
            } else {
                self.serve_request(&request, &mut writer)?;
            }
        }
        Ok(())
    }

    fn answer_health(&self, writer: &mut TcpStream) -> io::Result<()> {
        let (load, cold, leaving) = {
            let state = self.lock();
            (self.load(&state), cold_remaining(&state).as_millis().to_string(), state.leaving)
        };
        let headers =
            [("X-Instance-Id", &*self.options.id), ("X-Server-Load", &load), ("X-Cold-Ms", &cold)];
        let status = if leaving { "503 Service Unavailable" } else { "200 OK" };
        write_message(writer, &format!("HTTP/1.1 {status}"), &headers, b"")
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
                return write_message(writer, "HTTP/1.1 503 Full", &not_run, b"");
            }
            let cold = cold_remaining(&state) > Duration::ZERO;
            if cold {
                state.cold_arrivals.push_back(arrived_at);
                let second = Duration::from_secs(1);
                while state.cold_arrivals.front().is_some_and(|at| arrived_at - *at > second) {
                    state.cold_arrivals.pop_front();
                }
                if state.cold_arrivals.len() >= self.options.cold_crash {
                    drop(state);
                    self.end();
                    return Ok(());
                }
            }
            state.waiting += 1;
            while state.running >= self.options.slots && Instant::now() < deadline {
                let left = deadline.saturating_duration_since(Instant::now());
                state = self.state.1.wait_timeout(state, left).expect("upstream").0;
            }
            state.waiting -= 1;
            if state.running >= self.options.slots {
                return write_message(writer, "HTTP/1.1 503 Late", &not_run, b"");
            }
            state.running += 1;
            state.runs.push(Run {
                id: id.clone(),
                upstream: self.options.id.clone(),
                arrived_at,
                cold,
                answered: false,
            });
            state.runs.len() - 1
        };
        let cold = self.lock().runs[index].cold;
        std::thread::sleep(self.options.work * if cold { self.options.cold_factor } else { 1 });
        let load = {
            let mut state = self.lock();
            state.running -= 1;
            self.state.1.notify_all();
            if state.ended.is_some() {
                return Ok(());
            }
            self.load(&state)
        };
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
            write_paced(writer, "HTTP/1.1 200 OK", &headers, &body, rate as usize)?;
        }
        self.lock().runs[index].answered = true;
        Ok(())
    }
}

fn cold_remaining(state: &UpstreamState) -> Duration {
    state.cold_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
}
