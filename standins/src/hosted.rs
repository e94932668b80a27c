//! A target as it runs on the users' platform.
//!
//! It writes responses as raw bytes, so that it can also send invalid ones.

use std::collections::HashMap;
use std::io::{self, BufReader, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::hosted_behaviour::{HostedBehaviour, respond};
use crate::hosted_client::{hosted_call, read_head_fields};
use crate::hosted_heartbeat::{heartbeat, respond_to_health_check, send_heartbeat};
use crate::hosted_nested::NestedCalls;

/// Interval between two heartbeats, unless another one is set.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Address of all hosted targets. Daemons have another one, so that no target gets the port of
/// a killed daemon and, with it, the heartbeats of another target.
const TARGET_ADDRESS: [u8; 4] = [127, 0, 0, 2];

/// A request that a hosted target accepted and started to run.
#[derive(Clone, Debug)]
pub struct HostedRun {
    /// Request line: method, path and HTTP version.
    pub request_line: String,
    /// Headers by lower-case name.
    pub headers: HashMap<String, String>,
    /// All header fields in their order, with lower-case names.
    pub fields: Vec<(String, String)>,
    /// Request body.
    pub body: Vec<u8>,
    /// Time of arrival.
    pub received_at: Instant,
}

#[derive(Debug)]
pub(crate) struct HostedState {
    pub(crate) service: String,
    pub(crate) name: String,
    behaviour: Mutex<HostedBehaviour>,
    /// Behaviours towards requests whose ids begin with a prefix, while it behaves correctly.
    id_behaviours: Mutex<Vec<(String, HostedBehaviour)>>,
    service_time: Mutex<Duration>,
    runs: Mutex<Vec<HostedRun>>,
    pub(crate) sequence: AtomicU64,
    /// Start time of its present incarnation, in milliseconds; zero for not reported.
    pub(crate) born: AtomicU64,
    heartbeat_interval: Mutex<Duration>,
    /// End of its cold phase, if any.
    pub(crate) cold_until: Mutex<Option<Instant>>,
    /// Slowness of its host that it reports, in percent of the usual service time.
    pub(crate) reported_slowness: AtomicU64,
    /// Stops the heartbeats.
    heartbeats_stopped: AtomicBool,
    pub(crate) draining: AtomicBool,
    crashed: AtomicBool,
    /// Set when the listening socket is to be closed.
    stops_listening: AtomicBool,
    /// Prefix of the paths whose requests crash the target while it runs them, if any.
    crash_path: Mutex<Option<String>>,
    nested: NestedCalls,
    /// Header lines that are added to each answer to a call.
    answer_headers: Mutex<String>,
    /// Header lines that are added to each answer to a health check.
    pub(crate) health_headers: Mutex<String>,
    pub(crate) health_behaviour: Mutex<Option<HostedBehaviour>>,
    open_connections: AtomicU64,
    /// Open connections, which are closed when the target crashes.
    connections: Mutex<Vec<TcpStream>>,
}

/// A running target; dropping it crashes the target.
#[derive(Debug)]
pub struct HostedTarget {
    address: SocketAddr,
    pub(crate) state: Arc<HostedState>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl HostedState {
    fn crash(&self) {
        self.heartbeats_stopped.store(true, Ordering::Relaxed);
        self.crashed.store(true, Ordering::Relaxed);
        for socket in lock(&self.connections).drain(..) {
            // Fails if the peer has closed the connection already.
            drop(socket.shutdown(Shutdown::Both));
        }
    }

    fn behaviour_for(&self, id: &str) -> HostedBehaviour {
        let behaviour = lock(&self.behaviour).clone();
        let special = lock(&self.id_behaviours);
        let special = special.iter().find(|(prefix, _)| id.starts_with(prefix));
        match special {
            Some((_, special)) if behaviour == HostedBehaviour::Answer => special.clone(),
            _ => behaviour,
        }
    }

    /// Returns whether a request crashes the target that runs it.
    fn is_crashed_by(&self, request_line: &str) -> bool {
        let path = request_line.split(' ').nth(1).unwrap_or_default();
        lock(&self.crash_path).as_deref().is_some_and(|prefix| path.starts_with(prefix))
    }
}

impl HostedTarget {
    /// Starts a target that takes `service_time` for each request.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn spawn(service: &str, name: &str, service_time: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from((TARGET_ADDRESS, 0)))?;
        let address = listener.local_addr()?;
        let state = Arc::new(HostedState {
            service: service.to_owned(),
            name: name.to_owned(),
            behaviour: Mutex::new(HostedBehaviour::Answer),
            id_behaviours: Mutex::default(),
            service_time: Mutex::new(service_time),
            runs: Mutex::default(),
            sequence: AtomicU64::new(0),
            born: AtomicU64::new(0),
            heartbeat_interval: Mutex::new(HEARTBEAT_INTERVAL),
            cold_until: Mutex::default(),
            reported_slowness: AtomicU64::new(100),
            heartbeats_stopped: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            crashed: AtomicBool::new(false),
            stops_listening: AtomicBool::new(false),
            crash_path: Mutex::default(),
            nested: NestedCalls::default(),
            answer_headers: Mutex::default(),
            health_headers: Mutex::default(),
            health_behaviour: Mutex::default(),
            open_connections: AtomicU64::new(0),
            connections: Mutex::default(),
        });
        let shared = Arc::clone(&state);
        std::thread::spawn(move || accept(&listener, &shared));
        Ok(Self { address, state })
    }

    /// Starts sending heartbeats to a daemon's control address.
    pub fn send_heartbeats_to(&self, control: SocketAddr) {
        self.send_heartbeats_as(self.address, control);
    }

    /// Starts sending heartbeats that give `address` as the target's own address, to a
    /// daemon's control address.
    pub fn send_heartbeats_as(&self, address: SocketAddr, control: SocketAddr) {
        let state = Arc::clone(&self.state);
        std::thread::spawn(move || {
            while !state.heartbeats_stopped.load(Ordering::Relaxed) {
                // If the daemon is down, the next heartbeat follows anyway.
                drop(heartbeat(&state, address, control, "ready"));
                let interval = *lock(&state.heartbeat_interval);
                std::thread::sleep(interval);
            }
        });
    }

    /// Stops without notice: closes all connections, and sends no heartbeat and no
    /// response any more. The port stays open; a new connection is closed at its first
    /// request.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Crashes as a process does, as soon as it runs a request whose path starts with
    /// `prefix`: all its connections close at once, and nothing listens any more.
    pub fn crash_on_path(&self, prefix: &str) {
        *lock(&self.state.crash_path) = Some(prefix.to_owned());
    }

    /// Returns the calls that the target makes while it runs others.
    #[must_use]
    pub fn nested(&self) -> &NestedCalls {
        &self.state.nested
    }

    /// Returns whether the target has crashed.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.state.crashed.load(Ordering::Relaxed)
    }

    /// Returns the service that the target offers.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.state.service
    }

    /// Returns the target's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.state.name
    }

    /// Stops the heartbeats and reports the state `draining` once; returns the HTTP
    /// status of the response.
    ///
    /// # Errors
    ///
    /// Fails when the daemon can't be reached.
    pub fn drain(&self, control: SocketAddr) -> io::Result<u16> {
        self.state.heartbeats_stopped.store(true, Ordering::Relaxed);
        self.state.draining.store(true, Ordering::Relaxed);
        heartbeat(&self.state, self.address, control, "draining")
    }

    /// Stops the heartbeats and tells the daemon that the target leaves; returns the
    /// HTTP status of the response.
    ///
    /// # Errors
    ///
    /// Fails when the daemon can't be reached.
    pub fn leave(&self, control: SocketAddr) -> io::Result<u16> {
        self.state.heartbeats_stopped.store(true, Ordering::Relaxed);
        let path = format!("/instances/{}/leave", self.state.name);
        Ok(hosted_call(control, "POST", &path, &[], b"")?.status)
    }

    /// Sends a heartbeat with the first sequence number, as one that was delayed for
    /// long; returns the HTTP status of the response.
    ///
    /// # Errors
    ///
    /// Fails when the daemon can't be reached.
    pub fn send_stale_heartbeat(&self, control: SocketAddr) -> io::Result<u16> {
        send_heartbeat(&self.state, self.address, control, "ready", 1)
    }

    /// Starts a new incarnation under the same name: the sequence numbers of its
    /// heartbeats start again. `born` is its start time in milliseconds.
    pub fn restart(&self, born: u64) {
        self.state.born.store(born, Ordering::Relaxed);
        self.state.sequence.store(0, Ordering::Relaxed);
    }

    /// Makes the target cold for some time from now on, or for longer if it is cold already.
    pub fn set_cold_for(&self, lasts: Duration) {
        let mut cold_until = lock(&self.state.cold_until);
        *cold_until = (*cold_until).max(Some(Instant::now() + lasts));
    }

    /// Changes the interval between two heartbeats, from the next one on.
    pub fn set_heartbeat_interval(&self, interval: Duration) {
        *lock(&self.state.heartbeat_interval) = interval;
    }

    /// Changes how the target responds.
    pub fn set_behaviour(&self, behaviour: HostedBehaviour) {
        *lock(&self.state.behaviour) = behaviour;
    }

    /// Sets how the target responds to requests whose ids begin with `prefix`, unless it behaves
    /// otherwise towards all.
    pub fn set_behaviour_for(&self, prefix: &str, behaviour: HostedBehaviour) {
        lock(&self.state.id_behaviours).push((prefix.to_owned(), behaviour));
    }

    /// Adds header lines, each ended by CRLF, to all later answers to calls.
    pub fn set_answer_headers(&self, lines: &str) {
        lines.clone_into(&mut lock(&self.state.answer_headers));
    }

    /// Adds header lines, each ended by CRLF, to all later answers to health checks.
    pub fn set_health_headers(&self, lines: &str) {
        lines.clone_into(&mut lock(&self.state.health_headers));
    }

    /// Changes the time that each request takes.
    pub fn set_service_time(&self, service_time: Duration) {
        *lock(&self.state.service_time) = service_time;
    }

    /// Returns the time that each request takes.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        *lock(&self.state.service_time)
    }

    /// Changes the slowness of its host that the target reports, in percent of the
    /// usual service time.
    pub fn set_reported_slowness(&self, percent: u64) {
        self.state.reported_slowness.store(percent, Ordering::Relaxed);
    }

    /// Returns the address at which the target listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> u64 {
        self.state.open_connections.load(Ordering::Relaxed)
    }

    /// Returns all requests that the target started to run, in order of arrival.
    #[must_use]
    pub fn runs(&self) -> Vec<HostedRun> {
        lock(&self.state.runs).clone()
    }
}

impl Drop for HostedTarget {
    /// Crashes the target. If it outlived its test, it would send heartbeats to the
    /// next process that listens at its daemon's port.
    fn drop(&mut self) {
        self.crash();
    }
}

fn accept(listener: &TcpListener, state: &Arc<HostedState>) {
    for socket in listener.incoming().flatten() {
        if state.stops_listening.load(Ordering::Relaxed) {
            return;
        }
        let state = Arc::clone(state);
        lock(&state.connections).extend(socket.try_clone());
        std::thread::spawn(move || {
            state.open_connections.fetch_add(1, Ordering::Relaxed);
            // A broken connection ends here; the daemon deals with it.
            drop(serve(&socket, &state));
            state.open_connections.fetch_sub(1, Ordering::Relaxed);
            drop(socket.shutdown(Shutdown::Both));
        });
    }
}

fn serve(socket: &TcpStream, state: &HostedState) -> io::Result<()> {
    let mut reader = BufReader::new(socket.try_clone()?);
    let mut writer = socket.try_clone()?;
    loop {
        let Some((line, fields)) = read_head_fields(&mut reader)? else { return Ok(()) };
        let headers: HashMap<String, String> = fields.iter().cloned().collect();
        let length = headers.get("content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body)?;
        if state.crashed.load(Ordering::Relaxed) {
            return Ok(());
        }
        if line.starts_with("GET /health ") {
            if respond_to_health_check(&mut writer, state)? {
                continue;
            }
            return Ok(());
        }
        let id = headers.get("x-request-id").cloned().unwrap_or_default();
        let mut behaviour = state.behaviour_for(&id);
        // The request is meant for a target that had this address before.
        if headers.get("x-target-instance").is_some_and(|name| *name != state.name) {
            behaviour = HostedBehaviour::OtherTarget;
        }
        if !matches!(behaviour, HostedBehaviour::Decline | HostedBehaviour::OtherTarget) {
            let crashes = state.is_crashed_by(&line);
            let run = HostedRun {
                request_line: line,
                headers,
                fields,
                body,
                received_at: Instant::now(),
            };
            lock(&state.runs).push(run.clone());
            if !state.nested.succeeds(&state.name, &run) && behaviour == HostedBehaviour::Answer {
                behaviour = HostedBehaviour::ServerError;
            }
            let service_time = *lock(&state.service_time);
            std::thread::sleep(service_time);
            if crashes {
                state.stops_listening.store(true, Ordering::Relaxed);
                // Wakes the accepting thread, so that it closes the port before the
                // requester sees its connection end.
                drop(TcpStream::connect(writer.local_addr()?));
                state.crash();
            }
        }
        let answer_headers = lock(&state.answer_headers).clone();
        if state.crashed.load(Ordering::Relaxed)
            || !respond(&mut writer, &behaviour, &id, &answer_headers)?
        {
            return Ok(());
        }
    }
}
