//! HTTP/1.1 connections from a guard to its targets, which carry one call at a time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::base::clock::{MicroTime, ProcessClock};
use crate::call::call_body::RequestBody;
use crate::call::checked_socket::{CheckedSocket, RequestNotice, find_fault};
use crate::call::headers;
use crate::call::keepalive::{KeepaliveLimits, enable_keepalive};
use crate::decide::answer_check::{AnswerFault, MAX_HEAD_BYTES};

/// Maximum time to connect to a target on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which an idle connection is kept if the target names no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Margin by which a connection is given up before the target's own idle timeout.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Maximum idle time of a connection that is reused for a non-repeatable call.
///
/// The target may have closed an idle connection unnoticed, and then it is unknown whether the
/// call ran. A new connection costs about a millisecond.
const MAX_UNREPEATABLE_IDLE: Duration = Duration::from_secs(1);

/// Limits after which a connection to an unresponsive target breaks.
///
/// No packets are lost within a host: bytes that aren't acknowledged at once never will be.
const KEEPALIVE_LIMITS: KeepaliveLimits =
    KeepaliveLimits { user_timeout: Duration::from_millis(300), idle: Duration::from_secs(1) };

/// Maximum number of bytes of an answer that are read before they are passed on; its head must
/// fit.
const MAX_READ_AHEAD: usize = MAX_HEAD_BYTES;

/// Maximum number of idle connections to one target.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Why a target gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetFailure {
    /// No byte of the call was sent to the target.
    NotSent,
    /// The connection broke; the target may have run the call.
    Broken,
    /// The target sent something that is no answer; it may have run the call.
    Invalid(AnswerFault),
}

impl TargetFailure {
    /// Returns why an answer that the HTTP library could not read is missing.
    pub(crate) fn of_answer(error: &hyper::Error) -> Self {
        let unreadable = || error.is_parse().then_some(AnswerFault::Unreadable);
        find_fault(error).or_else(unreadable).map_or(Self::Broken, Self::Invalid)
    }
}

/// An open connection, and what tells it of the next request.
struct TargetConnection {
    sender: SendRequest<RequestBody>,
    notice: RequestNotice,
}

struct IdleConnection {
    connection: TargetConnection,
    idle_since: MicroTime,
    idle_timeout: Duration,
}

/// Pool of idle connections to all targets of a host.
pub(crate) struct TargetConnections {
    /// Clock that also advances while the host is suspended, since a target may close
    /// connections in that time.
    clock: ProcessClock,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

/// A connection that carries a call; dropping it closes the connection.
pub(crate) struct BusyConnection {
    connections: Rc<TargetConnections>,
    address: SocketAddr,
    connection: TargetConnection,
}

impl TargetConnections {
    /// Creates an empty pool.
    pub(crate) fn open(clock: ProcessClock) -> Rc<Self> {
        Rc::new(Self { clock, idle: RefCell::default() })
    }

    /// Sends a call on an idle connection, or on a new one.
    ///
    /// The request is made once a connection is available, so that the remaining time it
    /// states excludes the time to connect.
    pub(crate) async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        make_request: impl Fn() -> Option<Request<RequestBody>>,
        repeatable: bool,
    ) -> Result<(Response<Incoming>, BusyConnection), TargetFailure> {
        let max_idle = if repeatable { Duration::MAX } else { MAX_UNREPEATABLE_IDLE };
        loop {
            let idle = self.take_idle(address, max_idle);
            let fresh = idle.is_none();
            let mut connection = match idle {
                Some(connection) => connection,
                None => connect(address).await.ok_or(TargetFailure::NotSent)?,
            };
            let request = make_request().ok_or(TargetFailure::NotSent)?;
            connection.notice.announce(request.method());
            match connection.sender.try_send_request(request).await {
                Ok(mut response) => {
                    headers::normalise_answer(&mut response);
                    let connections = Rc::clone(self);
                    return Ok((response, BusyConnection { connections, address, connection }));
                }
                Err(mut error) => match error.take_message() {
                    // The target closed the idle connection before a byte was written; the
                    // next one is tried.
                    Some(_unsent) if !fresh => {}
                    Some(_unsent) => return Err(TargetFailure::NotSent),
                    None => return Err(TargetFailure::of_answer(error.error())),
                },
            }
        }
    }

    /// Closes the idle connections to a target that ended, since another target may use
    /// its address next.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Takes the most recently used idle connection, if it was idle for less than
    /// `max_idle`.
    fn take_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let idle_time = |idle: &IdleConnection| self.clock.now().since(idle.idle_since).duration();
        connections.retain(|idle| {
            !idle.connection.sender.is_closed() && idle_time(idle) < idle.idle_timeout
        });
        // The target is the least likely to have closed the most recently used one.
        let newest = connections.pop_if(|newest| idle_time(newest) < max_idle)?;
        Some(newest.connection)
    }
}

impl BusyConnection {
    /// Returns the connection to the pool. Must only be called once the answer has been read
    /// completely.
    pub(crate) fn release(self, headers: &HeaderMap) {
        let Some(idle_timeout) = idle_timeout(headers) else { return };
        if self.connection.sender.is_closed() {
            return;
        }
        let mut idle = self.connections.idle.borrow_mut();
        let connections = idle.entry(self.address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            let idle_since = self.connections.clock.now();
            let connection = self.connection;
            connections.push(IdleConnection { connection, idle_since, idle_timeout });
        }
    }
}

/// Returns how long a connection may stay idle; `None` if the target will close it.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = |name: &str| headers::get_str(headers, name).unwrap_or_default();
    if text("connection").to_ascii_lowercase().contains("close") {
        return None;
    }
    let stated = text("keep-alive").split(',').find_map(|part| {
        let seconds = part.trim().strip_prefix("timeout=")?;
        seconds.parse().ok().map(Duration::from_secs)
    });
    let Some(stated) = stated else { return Some(DEFAULT_IDLE_TIMEOUT) };
    Some(stated.saturating_sub(IDLE_TIMEOUT_MARGIN))
}

/// Opens a connection to a target; returns `None` if that fails.
async fn connect(address: SocketAddr) -> Option<TargetConnection> {
    let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    socket.set_nodelay(true).ok()?;
    enable_keepalive(&socket, &KEEPALIVE_LIMITS).ok()?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_READ_AHEAD);
    let notice = RequestNotice::default();
    let socket = CheckedSocket::open(socket, &notice);
    let (sender, connection) = builder.handshake(TokioIo::new(socket)).await.ok()?;
    // An error of the connection also shows in the call that it carries.
    spawn_local(async move { drop(connection.await) });
    Some(TargetConnection { sender, notice })
}
