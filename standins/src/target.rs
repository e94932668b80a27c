//! A target with slots, a service time and faults, which records the calls it ran.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::runtime::Runtime;
use tokio::sync::Semaphore;

use crate::http;

/// Interval between two announcements to the daemon.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Limits on connections to a target.
const CONNECTIONS: http::ConnectionLimits =
    http::ConnectionLimits { max_concurrent: 200, open_delay: Duration::from_millis(1) };

/// How a target is started.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// The service it offers.
    pub service: String,
    /// Its name.
    pub name: String,
    /// Address to listen at; port 0 for any free port.
    pub address: SocketAddr,
    /// Admin address of the daemon on its host.
    pub daemon: SocketAddr,
    /// Calls that it runs at the same time.
    pub slots: u16,
    /// Mean service time of a call, in microseconds; longer on an old host.
    pub service_us: u64,
    /// Seed of its random numbers.
    pub seed: u64,
}

/// How a target behaves; can be changed while it runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetBehaviour {
    /// Condition that it announces: `warming`, `ready` or `draining`.
    pub condition: String,
    /// Whether it announces itself to its daemon at regular intervals.
    pub heartbeat: bool,
    /// Factor by which each service time is multiplied.
    pub slowdown: f64,
    /// Status that it answers at once instead of running a call; zero for none.
    #[serde(rename = "fail_fast")]
    pub fail_fast_status: u16,
    /// Number of bytes after which a response body is cut off, if any.
    pub cut_after: Option<usize>,
    /// Bytes sent in excess of the `content-length`.
    #[serde(rename = "extra")]
    pub extra_bytes: usize,
    /// Number of slots that it announces, if not the true one.
    #[serde(rename = "said_slots")]
    pub reported_slots: Option<u16>,
    /// It answers 503 at once while more calls than this wait for a slot.
    pub shed_above: Option<usize>,
    /// Load that it reports, if not the true one.
    #[serde(rename = "said_load")]
    pub reported_load: Option<usize>,
    /// Age of the load that it reports, in milliseconds.
    pub load_lag_ms: u64,
}

impl Default for TargetBehaviour {
    fn default() -> Self {
        Self {
            condition: "ready".to_owned(),
            heartbeat: true,
            slowdown: 1.0,
            fail_fast_status: 0,
            cut_after: None,
            extra_bytes: 0,
            reported_slots: None,
            shed_above: None,
            reported_load: None,
            load_lag_ms: 0,
        }
    }
}

/// A call that a target started to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRun {
    /// Idempotency key, if the call had one.
    pub key: Option<String>,
    /// Path with the query.
    pub path: String,
    /// Whether the call was completed; false while it runs, and if it was cancelled
    /// or exceeded its deadline.
    pub done: bool,
}

#[derive(Debug)]
struct Shared {
    options: TargetOptions,
    behaviour: Mutex<TargetBehaviour>,
    runs: Mutex<Vec<TargetRun>>,
    slots: Semaphore,
    waiting: AtomicUsize,
    running: AtomicUsize,
    max_concurrent_calls: AtomicUsize,
    rng: Mutex<Pcg64Mcg>,
}

/// A running target, which stops when this is dropped.
#[derive(Debug)]
pub struct TargetStandin {
    address: SocketAddr,
    shared: Arc<Shared>,
    _runtime: Runtime,
}

impl TargetStandin {
    /// Binds the address, serves calls, and announces the target to its daemon.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound or a thread can't be started.
    pub fn spawn(options: TargetOptions) -> io::Result<Self> {
        let (listener, address) = http::bind(options.address)?;
        let shared = Arc::new(Shared {
            behaviour: Mutex::default(),
            runs: Mutex::default(),
            slots: Semaphore::new(usize::from(options.slots)),
            waiting: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            max_concurrent_calls: AtomicUsize::new(0),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(options.seed)),
            options,
        });
        let runtime = http::runtime()?;
        runtime.spawn(announce(Arc::clone(&shared), address));
        let serving = Arc::clone(&shared);
        runtime.spawn(http::serve(listener, CONNECTIONS, move |request| {
            answer(Arc::clone(&serving), request)
        }));
        Ok(Self { address, shared, _runtime: runtime })
    }

    /// Returns the address at which the target listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the target behaves.
    pub fn behave(&self, change: impl FnOnce(&mut TargetBehaviour)) {
        change(&mut lock(&self.shared.behaviour));
    }

    /// Returns all calls that the target started to run, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<TargetRun> {
        lock(&self.shared.runs).clone()
    }

    /// Returns the largest number of calls that ran at the same time.
    #[must_use]
    pub fn max_concurrent_calls(&self) -> usize {
        self.shared.max_concurrent_calls.load(Ordering::Relaxed)
    }
}

/// Returns the response body that a target sends for a call.
///
/// It is derived from the service, the path with its query and the request's body,
/// so that the answer to another call can't be taken for this one. The `size` in
/// the query is its length in bytes; 64 without one.
#[must_use]
pub fn expected_body(service: &str, path: &str, request: &[u8]) -> Vec<u8> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(service.as_bytes()).update(b"\n").update(path.as_bytes()).update(b"\n");
    hasher.update(request);
    let mut body = vec![0; query_number(path, "size").unwrap_or(64) as usize];
    hasher.finalize_xof().fill(&mut body);
    body
}

/// Parses a number from the query, such as `size` in `/grid?size=100`.
fn query_number(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    value.parse().ok()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Announces the target to its daemon at regular intervals.
async fn announce(shared: Arc<Shared>, address: SocketAddr) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    loop {
        let behaviour = lock(&shared.behaviour).clone();
        if behaviour.heartbeat {
            let options = &shared.options;
            let body = serde_json::json!({
                "service": options.service,
                "target": options.name,
                "address": address,
                "slots": behaviour.reported_slots.unwrap_or(options.slots),
                "condition": behaviour.condition,
            });
            let request = Request::post(format!("http://{}/announce", options.daemon))
                .body(Full::new(Bytes::from(body.to_string())));
            if let Ok(request) = request {
                // If the daemon is down, the next announcement follows anyway.
                drop(client.request(request).await);
            }
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Option<Response<TargetBody>> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    match parts.uri.path() {
        "/standin/runs" => {
            let runs = serde_json::to_vec(&*lock(&shared.runs)).unwrap_or_default();
            return Some(Response::new(TargetBody::complete(runs)));
        }
        "/load" => {
            let behaviour = lock(&shared.behaviour).clone();
            let running = shared.running.load(Ordering::Relaxed);
            // The load was read before the delay, so the report has this age.
            tokio::time::sleep(Duration::from_millis(behaviour.load_lag_ms)).await;
            let load = behaviour.reported_load.unwrap_or(running);
            return Some(Response::new(TargetBody::complete(load.to_string().into_bytes())));
        }
        "/standin/behave" => {
            let body = body.collect().await.ok()?.to_bytes();
            let behaviour = serde_json::from_slice(&body).ok()?;
            *lock(&shared.behaviour) = behaviour;
            return Some(Response::new(TargetBody::complete(Vec::new())));
        }
        _ => {}
    }
    let body = body.collect().await.ok()?.to_bytes();
    let behaviour = lock(&shared.behaviour).clone();
    if behaviour.fail_fast_status > 0 {
        return Some(refuse(
            StatusCode::from_u16(behaviour.fail_fast_status).ok()?,
            "failing fast",
        ));
    }
    let waiting = WaitingCall::count(&shared);
    if behaviour.shed_above.is_some_and(|limit| waiting.waiting_before > limit) {
        return Some(refuse(StatusCode::SERVICE_UNAVAILABLE, "shed"));
    }
    let permit = shared.slots.acquire().await.ok()?;
    drop(waiting);
    let _running = RunningCall::count(&shared);
    let key = parts.headers.get("idempotency-key").and_then(|value| value.to_str().ok());
    let run = TargetRun { key: key.map(str::to_owned), path: path.clone(), done: false };
    let index = {
        let mut runs = lock(&shared.runs);
        runs.push(run);
        runs.len() - 1
    };
    let work = tokio::time::sleep(service_time(&shared, &path, &behaviour));
    if tokio::time::timeout(time_to_deadline(&parts.headers), work).await.is_err() {
        return Some(refuse(StatusCode::GATEWAY_TIMEOUT, "past its deadline"));
    }
    lock(&shared.runs)[index].done = true;
    drop(permit);
    let body = expected_body(&shared.options.service, &path, &body);
    let length = body.len();
    let mut response = Response::new(TargetBody::with_faults(body, &behaviour));
    response.headers_mut().insert("content-length", length.into());
    Some(response)
}

fn refuse(status: StatusCode, text: &str) -> Response<TargetBody> {
    let mut response = Response::new(TargetBody::complete(text.as_bytes().to_vec()));
    *response.status_mut() = status;
    response
}

/// Returns the time left, as the deadline header says; unlimited without one.
fn time_to_deadline(headers: &HeaderMap) -> Duration {
    let value = headers.get("railspan-deadline-ms").and_then(|value| value.to_str().ok());
    let millis = value.and_then(|value| value.parse().ok());
    millis.map_or(Duration::MAX, Duration::from_millis)
}

/// Draws a service time between 0.5 and 1.5 times the mean.
fn service_time(shared: &Shared, path: &str, behaviour: &TargetBehaviour) -> Duration {
    let mean = query_number(path, "us").unwrap_or(shared.options.service_us) as f64;
    let spread: f64 = lock(&shared.rng).random_range(0.5..1.5);
    Duration::from_micros((mean * spread * behaviour.slowdown) as u64)
}

/// Counts a call among those that wait for a slot until this is dropped.
struct WaitingCall<'a> {
    shared: &'a Shared,
    /// Number of calls that were already waiting when this one arrived.
    waiting_before: usize,
}

impl<'a> WaitingCall<'a> {
    fn count(shared: &'a Shared) -> Self {
        Self { shared, waiting_before: shared.waiting.fetch_add(1, Ordering::Relaxed) }
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        self.shared.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a running call until this is dropped, which also happens when the call is
/// cancelled.
struct RunningCall<'a>(&'a Shared);

impl<'a> RunningCall<'a> {
    fn count(shared: &'a Shared) -> Self {
        let running = shared.running.fetch_add(1, Ordering::Relaxed) + 1;
        shared.max_concurrent_calls.fetch_max(running, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A response body that may be cut off early or be too long.
struct TargetBody {
    frames: std::vec::IntoIter<Bytes>,
    /// Elapses before the body is cut off, so that its frames have been sent by then.
    cut_delay: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl TargetBody {
    /// Size of one frame, in bytes.
    const FRAME_BYTES: usize = 16 << 10;

    /// Delay between the last frame of a body and its cut.
    const CUT_DELAY: Duration = Duration::from_millis(50);

    fn complete(bytes: Vec<u8>) -> Self {
        Self { frames: vec![Bytes::from(bytes)].into_iter(), cut_delay: None }
    }

    fn with_faults(mut bytes: Vec<u8>, behaviour: &TargetBehaviour) -> Self {
        let is_cut = behaviour.cut_after.is_some_and(|cut| cut < bytes.len());
        if let Some(cut) = behaviour.cut_after {
            bytes.truncate(cut);
        }
        bytes.extend(vec![b'!'; behaviour.extra_bytes]);
        let frames: Vec<Bytes> =
            bytes.chunks(Self::FRAME_BYTES).map(Bytes::copy_from_slice).collect();
        let cut_delay = is_cut.then(|| Box::pin(tokio::time::sleep(Self::CUT_DELAY)));
        Self { frames: frames.into_iter(), cut_delay }
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let body = self.get_mut();
        if let Some(frame) = body.frames.next() {
            return Poll::Ready(Some(Ok(Frame::data(frame))));
        }
        let Some(cut_delay) = &mut body.cut_delay else { return Poll::Ready(None) };
        ready!(cut_delay.as_mut().poll(cx));
        Poll::Ready(Some(Err(io::Error::other("response body cut off on purpose"))))
    }
}
