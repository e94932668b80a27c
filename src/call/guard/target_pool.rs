//! Connections of a guard to its targets, one call at a time on each.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::base::clock::{MicroTime, ProcessClock};
use crate::call::keepalive::{KeepaliveLimits, enable_keepalive};

/// Longest wait for a connection to a target on the same host.
const TARGET_CONNECT: Duration = Duration::from_millis(300);

/// Time an unused connection is kept where the target names none.
const DEFAULT_KEEP: Duration = Duration::from_secs(8);

/// Left of a target's own idle time when a connection is no longer used.
const KEEP_MARGIN: Duration = Duration::from_secs(1);

/// Longest time unused before a call that must not repeat.
///
/// A target may have dropped the connection without a sign, and then nobody
/// can tell whether the call ran; a new connection costs about a millisecond.
const FRESH_FOR: Duration = Duration::from_secs(1);

/// On one host nothing is lost on the way: what is not acknowledged at once never
/// will be.
const SILENCE: KeepaliveLimits =
    KeepaliveLimits { user_timeout: Duration::from_millis(300), idle: Duration::from_secs(1) };

/// Unused connections kept for one target.
const MAX_IDLE: usize = 64;

/// Why a target gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetFailure {
    /// Not a byte of the call went to it.
    NotSent,
    /// It may have run the call.
    Broken,
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    since: MicroTime,
    keep: Duration,
}

/// The unused connections to all targets of a host.
pub(crate) struct TargetPool {
    /// A target may drop a connection while this host is suspended.
    clock: ProcessClock,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

/// A connection that carries a call; dropped, it is closed.
pub(crate) struct BusyConnection {
    pool: Rc<TargetPool>,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl TargetPool {
    /// Opens a pool without connections.
    pub(crate) fn open(clock: ProcessClock) -> Rc<Self> {
        Rc::new(Self { clock, idle: RefCell::default() })
    }

    /// Sends a call on an unused connection, or on a new one.
    ///
    /// The request is made once there is a connection, so that the time it says is left
    /// does not count the wait for one.
    pub(crate) async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        make_request: impl Fn() -> Option<Request<Full<Bytes>>>,
        repeatable: bool,
    ) -> Result<(Response<Incoming>, BusyConnection), TargetFailure> {
        let longest = if repeatable { Duration::MAX } else { FRESH_FOR };
        loop {
            let kept = self.take(address, longest);
            let fresh = kept.is_none();
            let mut sender = match kept {
                Some(sender) => sender,
                None => dial(address).await.ok_or(TargetFailure::NotSent)?,
            };
            let request = make_request().ok_or(TargetFailure::NotSent)?;
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let pool = Rc::clone(self);
                    return Ok((response, BusyConnection { pool, address, sender }));
                }
                Err(mut error) => match error.take_message() {
                    // The connection was closed before a byte was written.
                    Some(_unsent) if !fresh => {}
                    Some(_unsent) => return Err(TargetFailure::NotSent),
                    None => return Err(TargetFailure::Broken),
                },
            }
        }
    }

    /// Closes the unused connections to a target that ended: its address may be
    /// another target's next.
    pub(crate) fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    fn take(&self, address: SocketAddr, longest: Duration) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let unused = |idle: &IdleConnection| self.clock.now().since(idle.since).duration();
        connections.retain(|idle| !idle.sender.is_closed() && unused(idle) < idle.keep);
        // The newest is the least likely to be dropped by the target.
        let newest = connections.pop_if(|newest| unused(newest) < longest)?;
        Some(newest.sender)
    }
}

impl BusyConnection {
    /// Keeps the connection for the next call, once its answer is whole.
    pub(crate) fn release(self, headers: &HeaderMap) {
        let Some(keep) = keep_time(headers) else { return };
        if self.sender.is_closed() {
            return;
        }
        let mut idle = self.pool.idle.borrow_mut();
        let connections = idle.entry(self.address).or_default();
        if connections.len() < MAX_IDLE {
            let since = self.pool.clock.now();
            connections.push(IdleConnection { sender: self.sender, since, keep });
        }
    }
}

/// Returns how long a connection may stay unused; nothing if it will close.
fn keep_time(headers: &HeaderMap) -> Option<Duration> {
    let text = |name: &str| crate::call::headers::get_str(headers, name).unwrap_or_default();
    if text("connection").to_ascii_lowercase().contains("close") {
        return None;
    }
    let told = text("keep-alive").split(',').find_map(|part| {
        let seconds = part.trim().strip_prefix("timeout=")?;
        seconds.parse().ok().map(Duration::from_secs)
    });
    let Some(told) = told else { return Some(DEFAULT_KEEP) };
    Some(told.saturating_sub(KEEP_MARGIN))
}

async fn dial(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let socket = timeout(TARGET_CONNECT, TcpStream::connect(address)).await.ok()?.ok()?;
    socket.set_nodelay(true).ok()?;
    enable_keepalive(&socket, &SILENCE).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(socket)).await.ok()?;
    // How it ends shows in the call that it carries.
    spawn_local(async move { drop(connection.await) });
    Some(sender)
}
