//! A target with slots, speed, faults, and a record of what it ran.

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

/// Interval of the heartbeats to the daemon.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Connections of a target, and the time to open one.
const CONNECTIONS: http::ConnectionLimits =
    http::ConnectionLimits { max_concurrent: 200, open_delay: Duration::from_millis(1) };

/// What a target is.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// The service it offers.
    pub service: String,
    /// Its name.
    pub name: String,
    /// Where it listens; port 0 for any.
    pub address: SocketAddr,
    /// Admin address of the daemon on its host.
    pub daemon: SocketAddr,
    /// Calls it runs at once.
    pub slots: u16,
    /// Mean time of a call, in microseconds: an old host's is longer.
    pub service_us: u64,
    /// Seed of its random numbers.
    pub seed: u64,
}

/// How a target behaves now.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetBehaviour {
    /// What it says of itself: `warming`, `ready` or `draining`.
    pub condition: String,
    /// Whether it sends heartbeats.
    pub heartbeat: bool,
    /// Factor on the time of each call.
    pub slowdown: f64,
    /// Status answered at once instead of running the call, or zero.
    pub fail_fast: u16,
    /// Bytes after which a body is cut off, or none.
    pub cut_after: Option<usize>,
    /// Bytes sent beyond the length that was announced.
    pub extra: usize,
    /// Slots it says it has, if not the true number.
    #[serde(rename = "said_slots")]
    pub reported_slots: Option<u16>,
    /// Calls waiting for a slot above which it answers 503 at once.
    pub shed_above: Option<usize>,
    /// Load it reports whatever the true one is.
    #[serde(rename = "said_load")]
    pub reported_load: Option<usize>,
    /// Age of the load it reports, in milliseconds.
    pub load_lag_ms: u64,
}

impl Default for TargetBehaviour {
    fn default() -> Self {
        Self {
            condition: "ready".to_owned(),
            heartbeat: true,
            slowdown: 1.0,
            fail_fast: 0,
            cut_after: None,
            extra: 0,
            reported_slots: None,
            shed_above: None,
            reported_load: None,
            load_lag_ms: 0,
        }
    }
}

/// One call that a target began to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRun {
    /// The idempotency key, if it had one.
    pub key: Option<String>,
    /// The path with its query.
    pub path: String,
    /// Whether it ran to its end; false while it runs or if cancelled.
    pub done: bool,
}

#[derive(Debug)]
struct Shared {
    options: TargetOptions,
    behaviour: Mutex<TargetBehaviour>,
    runs: Mutex<Vec<TargetRun>>,
    slots: Semaphore,
    waiting: AtomicUsize,
    busy: AtomicUsize,
    max_concurrent_calls: AtomicUsize,
    rng: Mutex<Pcg64Mcg>,
}

/// A running target; it stops when dropped.
#[derive(Debug)]
pub struct TargetStandin {
    address: SocketAddr,
    shared: Arc<Shared>,
    _runtime: Runtime,
}

impl TargetStandin {
    /// Binds the target, serves it, and announces it to its daemon.
    ///
    /// # Errors
    ///
    /// Fails when the address or a thread can't be had.
    pub fn spawn(options: TargetOptions) -> io::Result<Self> {
        let (listener, address) = http::bind(options.address)?;
        let shared = Arc::new(Shared {
            behaviour: Mutex::default(),
            runs: Mutex::default(),
            slots: Semaphore::new(usize::from(options.slots)),
            waiting: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
            max_concurrent_calls: AtomicUsize::new(0),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(options.seed)),
            options,
        });
        let runtime = http::runtime()?;
        runtime.spawn(heartbeat(Arc::clone(&shared), address));
        let serving = Arc::clone(&shared);
        runtime.spawn(http::serve(listener, CONNECTIONS, move |request| {
            answer(Arc::clone(&serving), request)
        }));
        Ok(Self { address, shared, _runtime: runtime })
    }

    /// Returns where the target listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the target behaves.
    pub fn behave(&self, change: impl FnOnce(&mut TargetBehaviour)) {
        change(&mut lock(&self.shared.behaviour));
    }

    /// Returns every call the target began to run.
    #[must_use]
    pub fn runs(&self) -> Vec<TargetRun> {
        lock(&self.shared.runs).clone()
    }

    /// Returns the most calls that ran at once.
    #[must_use]
    pub fn max_concurrent_calls(&self) -> usize {
        self.shared.max_concurrent_calls.load(Ordering::Relaxed)
    }
}

/// Returns the body that a target answers to a call.
///
/// It depends on the service, the path with its query and the request's body,
/// so that no other call's answer can pass for it.
#[must_use]
pub fn expected_body(service: &str, path: &str, request: &[u8]) -> Vec<u8> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(service.as_bytes()).update(b"\n").update(path.as_bytes()).update(b"\n");
    hasher.update(request);
    let mut body = vec![0; number(path, "size").unwrap_or(64) as usize];
    hasher.finalize_xof().fill(&mut body);
    body
}

/// Reads a number from a query, such as `size` in `/grid?size=100`.
fn number(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    let field = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    field.parse().ok()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn heartbeat(shared: Arc<Shared>, address: SocketAddr) {
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
                // A daemon that is away hears of the target next time.
                drop(client.request(request).await);
            }
        }
        tokio::time::sleep(HEARTBEAT).await;
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Option<Response<TargetBody>> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    match parts.uri.path() {
        "/standin/runs" => {
            let runs = serde_json::to_vec(&*lock(&shared.runs)).unwrap_or_default();
            return Some(Response::new(TargetBody::whole(runs)));
        }
        "/load" => {
            let behaviour = lock(&shared.behaviour).clone();
            let busy = shared.busy.load(Ordering::Relaxed);
            // What it tells is as old as the answer is late.
            tokio::time::sleep(Duration::from_millis(behaviour.load_lag_ms)).await;
            let load = behaviour.reported_load.unwrap_or(busy);
            return Some(Response::new(TargetBody::whole(load.to_string().into_bytes())));
        }
        "/standin/behave" => {
            let body = body.collect().await.ok()?.to_bytes();
            let behaviour = serde_json::from_slice(&body).ok()?;
            *lock(&shared.behaviour) = behaviour;
            return Some(Response::new(TargetBody::whole(Vec::new())));
        }
        _ => {}
    }
    let body = body.collect().await.ok()?.to_bytes();
    let behaviour = lock(&shared.behaviour).clone();
    if behaviour.fail_fast > 0 {
        return Some(refuse(StatusCode::from_u16(behaviour.fail_fast).ok()?, "failing fast"));
    }
    let waiting = WaitingCall::count(&shared);
    if behaviour.shed_above.is_some_and(|limit| waiting.number > limit) {
        return Some(refuse(StatusCode::SERVICE_UNAVAILABLE, "shed"));
    }
    let permit = shared.slots.acquire().await.ok()?;
    drop(waiting);
    let _busy = BusySlot::take(&shared);
    let key = parts.headers.get("idempotency-key").and_then(|value| value.to_str().ok());
    let run = TargetRun { key: key.map(str::to_owned), path: path.clone(), done: false };
    let index = {
        let mut runs = lock(&shared.runs);
        runs.push(run);
        runs.len() - 1
    };
    let work = tokio::time::sleep(service_time(&shared, &path, &behaviour));
    if tokio::time::timeout(time_left(&parts.headers), work).await.is_err() {
        return Some(refuse(StatusCode::GATEWAY_TIMEOUT, "past its deadline"));
    }
    lock(&shared.runs)[index].done = true;
    drop(permit);
    let whole = expected_body(&shared.options.service, &path, &body);
    let length = whole.len();
    let mut response = Response::new(TargetBody::faulty(whole, &behaviour));
    response.headers_mut().insert("content-length", length.into());
    Some(response)
}

fn refuse(status: StatusCode, text: &str) -> Response<TargetBody> {
    let mut response = Response::new(TargetBody::whole(text.as_bytes().to_vec()));
    *response.status_mut() = status;
    response
}

/// Returns the time to the deadline that the call carries.
fn time_left(headers: &HeaderMap) -> Duration {
    let value = headers.get("railspan-deadline-ms").and_then(|value| value.to_str().ok());
    let millis = value.and_then(|value| value.parse().ok());
    millis.map_or(Duration::MAX, Duration::from_millis)
}

fn service_time(shared: &Shared, path: &str, behaviour: &TargetBehaviour) -> Duration {
    let mean = number(path, "us").unwrap_or(shared.options.service_us) as f64;
    let spread: f64 = lock(&shared.rng).random_range(0.5..1.5);
    Duration::from_micros((mean * spread * behaviour.slowdown) as u64)
}

/// A call that waits for a slot; counted out when dropped.
struct WaitingCall<'a> {
    shared: &'a Shared,
    /// Calls that waited when this one came.
    number: usize,
}

impl<'a> WaitingCall<'a> {
    fn count(shared: &'a Shared) -> Self {
        Self { shared, number: shared.waiting.fetch_add(1, Ordering::Relaxed) }
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        self.shared.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A slot in use; freed when dropped, also when the call is cancelled.
struct BusySlot<'a>(&'a Shared);

impl<'a> BusySlot<'a> {
    fn take(shared: &'a Shared) -> Self {
        let busy = shared.busy.fetch_add(1, Ordering::Relaxed) + 1;
        shared.max_concurrent_calls.fetch_max(busy, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for BusySlot<'_> {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body that may be cut off, or go on too long.
struct TargetBody {
    parts: std::vec::IntoIter<Bytes>,
    /// Ends before a body is cut off, so that its first part has left by then.
    cut: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl TargetBody {
    /// Bytes of one frame.
    const FRAME: usize = 16 << 10;

    /// Time between the last part of a body and its cut.
    const PAUSE: Duration = Duration::from_millis(50);

    fn whole(bytes: Vec<u8>) -> Self {
        Self { parts: vec![Bytes::from(bytes)].into_iter(), cut: None }
    }

    fn faulty(mut bytes: Vec<u8>, behaviour: &TargetBehaviour) -> Self {
        let broken = behaviour.cut_after.is_some_and(|cut| cut < bytes.len());
        if let Some(cut) = behaviour.cut_after {
            bytes.truncate(cut);
        }
        bytes.extend(vec![b'!'; behaviour.extra]);
        let parts: Vec<Bytes> = bytes.chunks(Self::FRAME).map(Bytes::copy_from_slice).collect();
        let cut = broken.then(|| Box::pin(tokio::time::sleep(Self::PAUSE)));
        Self { parts: parts.into_iter(), cut }
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
        if let Some(part) = body.parts.next() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        let Some(cut) = &mut body.cut else { return Poll::Ready(None) };
        ready!(cut.as_mut().poll(cx));
        Poll::Ready(Some(Err(io::Error::other("cut off on purpose"))))
    }
}
