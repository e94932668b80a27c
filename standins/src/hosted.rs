//! A target as the users' platform runs them.
//!
//! The target speaks bytes, so that it can also answer wrongly.

use std::collections::HashMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::hosted_behaviour::{HostedBehaviour, answer};
use crate::hosted_client::{hosted_call, read_head};

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(100);

/// A request that reached a hosted target.
#[derive(Clone, Debug)]
pub struct HostedRun {
    /// Method and path.
    pub request_line: String,
    /// Headers by lower-case name.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// When it came.
    pub received_at: Instant,
}

#[derive(Debug)]
struct HostedState {
    service: String,
    name: String,
    mood: Mutex<HostedBehaviour>,
    work: Mutex<Duration>,
    runs: Mutex<Vec<HostedRun>>,
    sequence: AtomicU64,
    /// When its present life was born, in milliseconds; zero where it does not tell.
    born: AtomicU64,
    /// Until when it is cold.
    cold_until: Mutex<Option<Instant>>,
    /// What it tells of its host, in percent of the usual time.
    slowness: AtomicU64,
    ended: AtomicBool,
    draining: AtomicBool,
    crashed: AtomicBool,
    /// Set once nobody is to find its port open.
    stops_listening: AtomicBool,
    /// Start of the paths that end it while it runs them, if any do.
    ends_on: Mutex<Option<String>>,
    /// Connections that are open; they end with the target.
    open: Mutex<Vec<TcpStream>>,
}

/// A running target; its threads end with it.
#[derive(Debug)]
pub struct HostedTarget {
    address: SocketAddr,
    state: Arc<HostedState>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl HostedState {
    fn crash(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.crashed.store(true, Ordering::Relaxed);
        for socket in lock(&self.open).drain(..) {
            // One that its peer closed can't be shut down any more.
            drop(socket.shutdown(Shutdown::Both));
        }
    }

    /// Tells whether a request ends the target that runs it.
    fn is_ended_by(&self, line: &str) -> bool {
        let path = line.split(' ').nth(1).unwrap_or_default();
        lock(&self.ends_on).as_deref().is_some_and(|start| path.starts_with(start))
    }
}

impl HostedTarget {
    /// Starts a target that takes each request `work` long.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub fn spawn(service: &str, name: &str, work: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let state = Arc::new(HostedState {
            service: service.to_owned(),
            name: name.to_owned(),
            mood: Mutex::new(HostedBehaviour::Answer),
            work: Mutex::new(work),
            runs: Mutex::default(),
            sequence: AtomicU64::new(0),
            born: AtomicU64::new(0),
            cold_until: Mutex::default(),
            slowness: AtomicU64::new(100),
            ended: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            crashed: AtomicBool::new(false),
            stops_listening: AtomicBool::new(false),
            ends_on: Mutex::default(),
            open: Mutex::default(),
        });
        let shared = Arc::clone(&state);
        std::thread::spawn(move || accept(&listener, &shared));
        Ok(Self { address, state })
    }

    /// Keeps sending heartbeats to a daemon's control address.
    pub fn send_heartbeats_to(&self, control: SocketAddr) {
        self.send_heartbeats_as(self.address, control);
    }

    /// Reports as [`Self::send_heartbeats_to`] does, and says that it listens at `address`.
    pub fn send_heartbeats_as(&self, address: SocketAddr, control: SocketAddr) {
        let state = Arc::clone(&self.state);
        std::thread::spawn(move || {
            while !state.ended.load(Ordering::Relaxed) {
                // A daemon that is away hears the next one.
                drop(beat(&state, address, control, "ready"));
                std::thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Ends without a word: no heartbeat, no answer, no new connection served.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Ends as a process that crashes does, while it runs a request of such a path:
    /// all its connections are gone at once, and nobody listens any more.
    pub fn crash_on_path(&self, path: &str) {
        *lock(&self.state.ends_on) = Some(path.to_owned());
    }

    /// Tells whether it ended without a word.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.state.crashed.load(Ordering::Relaxed)
    }

    /// Returns the service it offers.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.state.service
    }

    /// Returns its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.state.name
    }

    /// Ends the heartbeats and says `draining` once; returns the status.
    ///
    /// # Errors
    ///
    /// Fails when the daemon can't be reached.
    pub fn drain(&self, control: SocketAddr) -> io::Result<u16> {
        self.state.ended.store(true, Ordering::Relaxed);
        self.state.draining.store(true, Ordering::Relaxed);
        beat(&self.state, self.address, control, "draining")
    }

    /// Says that it leaves; returns the status.
    ///
    /// # Errors
    ///
    /// Fails when the daemon can't be reached.
    pub fn leave(&self, control: SocketAddr) -> io::Result<u16> {
        self.state.ended.store(true, Ordering::Relaxed);
        let path = format!("/instances/{}/leave", self.state.name);
        Ok(hosted_call(control, "POST", &path, &[], b"")?.status)
    }

    /// Sends one heartbeat that was made long ago; returns the status.
    ///
    /// # Errors
    ///
    /// Fails when the daemon can't be reached.
    pub fn send_stale_heartbeat(&self, control: SocketAddr) -> io::Result<u16> {
        send_beat(&self.state, self.address, control, "ready", 1)
    }

    /// Starts anew under its name: the numbers of its heartbeats begin again.
    pub fn restart(&self, born: u64) {
        self.state.born.store(born, Ordering::Relaxed);
        self.state.sequence.store(0, Ordering::Relaxed);
    }

    /// Is cold from now on for some time.
    pub fn set_cold_for(&self, lasts: Duration) {
        *lock(&self.state.cold_until) = Some(Instant::now() + lasts);
    }

    /// Changes how it answers.
    pub fn set_behaviour(&self, mood: HostedBehaviour) {
        *lock(&self.state.mood) = mood;
    }

    /// Changes how long a request takes.
    pub fn set_service_time(&self, work: Duration) {
        *lock(&self.state.work) = work;
    }

    /// Returns how long a request takes.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        *lock(&self.state.work)
    }

    /// Changes what it tells of its host's speed, in percent of the usual time.
    pub fn set_reported_slowness(&self, percent: u64) {
        self.state.slowness.store(percent, Ordering::Relaxed);
    }

    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns all requests that reached it.
    #[must_use]
    pub fn runs(&self) -> Vec<HostedRun> {
        lock(&self.state.runs).clone()
    }
}

impl Drop for HostedTarget {
    /// A target that outlived its test would report to whoever listens at its
    /// daemon's port next.
    fn drop(&mut self) {
        self.crash();
    }
}

fn beat(
    state: &HostedState,
    address: SocketAddr,
    control: SocketAddr,
    word: &str,
) -> io::Result<u16> {
    let sequence = state.sequence.fetch_add(1, Ordering::Relaxed) + 1;
    send_beat(state, address, control, word, sequence)
}

fn send_beat(
    state: &HostedState,
    address: SocketAddr,
    control: SocketAddr,
    word: &str,
    sequence: u64,
) -> io::Result<u16> {
    let mut body = json!({
        "address": address,
        "info": {"service": state.service, "version": "v1", "zone": "z", "slots": 4},
        "status": {
            "state": word, "sequence": sequence,
            "cold_remaining": format!("{}ms", cold_left(state).as_millis()),
        },
    });
    let born = state.born.load(Ordering::Relaxed);
    if born > 0 {
        body["born"] = json!(born);
    }
    let path = format!("/instances/{}/heartbeat", state.name);
    Ok(hosted_call(control, "POST", &path, &[], body.to_string().as_bytes())?.status)
}

fn accept(listener: &TcpListener, state: &Arc<HostedState>) {
    for socket in listener.incoming().flatten() {
        if state.stops_listening.load(Ordering::Relaxed) {
            return;
        }
        let state = Arc::clone(state);
        lock(&state.open).extend(socket.try_clone());
        std::thread::spawn(move || {
            // A connection that breaks is the daemon's affair.
            drop(serve(&socket, &state));
        });
    }
}

fn serve(socket: &TcpStream, state: &HostedState) -> io::Result<()> {
    let mut reader = BufReader::new(socket.try_clone()?);
    let mut writer = socket.try_clone()?;
    loop {
        let Some((line, headers)) = read_head(&mut reader)? else { return Ok(()) };
        let length = headers.get("content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body)?;
        if state.crashed.load(Ordering::Relaxed) {
            return Ok(());
        }
        if line.starts_with("GET /health ") {
            writer.write_all(health(state).as_bytes())?;
            continue;
        }
        let id = headers.get("x-request-id").cloned().unwrap_or_default();
        let mut mood = lock(&state.mood).clone();
        // Meant for the target that had this address before.
        if headers.get("x-target-instance").is_some_and(|name| *name != state.name) {
            mood = HostedBehaviour::OtherTarget;
        }
        if !matches!(mood, HostedBehaviour::Decline | HostedBehaviour::OtherTarget) {
            let deadly = state.is_ended_by(&line);
            let run = HostedRun { request_line: line, headers, body, received_at: Instant::now() };
            lock(&state.runs).push(run);
            let work = *lock(&state.work);
            std::thread::sleep(work);
            if deadly {
                state.stops_listening.store(true, Ordering::Relaxed);
                // Wakes who accepts, so that the port is shut before the answer is lost.
                drop(TcpStream::connect(writer.local_addr()?));
                state.crash();
            }
        }
        if state.crashed.load(Ordering::Relaxed) || !answer(&mut writer, &mood, &id)? {
            return Ok(());
        }
    }
}

fn cold_left(state: &HostedState) -> Duration {
    let until = *lock(&state.cold_until);
    until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
}

/// Makes the answer to a question for health, which is no run.
fn health(state: &HostedState) -> String {
    let slowness = state.slowness.load(Ordering::Relaxed);
    let status =
        if state.draining.load(Ordering::Relaxed) { "503 Service Unavailable" } else { "200 OK" };
    format!(
        "HTTP/1.1 {status}\r\nX-Instance-Id: {}\r\nX-Server-Load: 0,0,4,{slowness}\r\nX-Cold-Ms: {}\r\nContent-Length: 0\r\n\r\n",
        state.name,
        cold_left(state).as_millis()
    )
}
