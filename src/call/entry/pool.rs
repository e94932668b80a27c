//! Connections from an entry to guards.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use prometheus::IntCounter;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::base::counted_socket::CountedSocket;
use crate::base::h2io::{self, HeadReader};
use crate::base::ids::{CentreName, DaemonIncarnation};
use crate::base::member::FleetView;
use crate::call::keepalive::{KeepaliveLimits, enable_keepalive};

/// Maximum wait for a connection to a guard; a host without power never answers, and a
/// call that waits for it is late.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Limits after which a connection to an unresponsive guard breaks.
///
/// The user timeout is longer than TCP takes to recover from two packets lost in a row. A call
/// on a connection to a dead host is late anyway; the limits serve the calls after it.
const KEEPALIVE_LIMITS: KeepaliveLimits =
    KeepaliveLimits { user_timeout: Duration::from_millis(900), idle: Duration::from_secs(2) };

/// Connection to a guard.
#[derive(Clone, Debug)]
pub(crate) struct GuardConnection {
    pub(crate) sender: SendRequest<Bytes>,
    /// Number of the connection in its pool.
    pub(crate) number: u64,
}

impl GuardConnection {
    /// Sends a request other than a call; returns the reader of its response, or `None` if the
    /// connection breaks.
    pub(crate) async fn request<T: Serialize>(
        mut self,
        path: &str,
        head: &T,
    ) -> Option<HeadReader> {
        let request = Request::post(format!("http://guard{path}")).body(()).ok()?;
        let (response, mut stream) = self.sender.send_request(request, false).ok()?;
        h2io::send_all(&mut stream, h2io::encode_frame(head).ok()?, true).await.ok()?;
        Some(HeadReader::open(response.await.ok()?.into_body()))
    }
}

/// One HTTP/2 connection for each incarnation of each guard.
#[derive(Debug, Default)]
pub(crate) struct GuardPool {
    /// Guards in other data centres.
    remote_guards: RefCell<HashSet<SocketAddr>>,
    /// Counts the bytes to and from guards in other data centres.
    cross_centre_bytes: Option<IntCounter>,
    connections: RefCell<HashMap<(SocketAddr, DaemonIncarnation), GuardConnection>>,
    /// Number of the newest connection.
    newest: Cell<u64>,
}

impl GuardPool {
    /// Creates a pool without connections; `cross_centre_bytes` counts the bytes to and from
    /// other data centres.
    pub(crate) fn open(cross_centre_bytes: IntCounter) -> Self {
        Self { cross_centre_bytes: Some(cross_centre_bytes), ..Self::default() }
    }

    /// Returns a connection that accepts one more stream; opens one if necessary.
    ///
    /// Returns `None` if no connection can be opened in time.
    pub(crate) async fn connect(
        &self,
        guard: SocketAddr,
        incarnation: DaemonIncarnation,
    ) -> Option<GuardConnection> {
        let key = (guard, incarnation);
        let existing = self.connections.borrow().get(&key).cloned();
        if let Some(GuardConnection { sender, number }) = existing
            && let Ok(sender) = sender.ready().await
        {
            return Some(GuardConnection { sender, number });
        }
        let is_remote = self.remote_guards.borrow().contains(&guard);
        let byte_counter = self.cross_centre_bytes.clone().filter(|_| is_remote);
        let opened =
            timeout(CONNECT_TIMEOUT, open_connection(guard, byte_counter)).await.ok()??;
        let number = self.newest.get() + 1;
        self.newest.set(number);
        let pooled = GuardConnection { sender: opened.clone(), number };
        self.connections.borrow_mut().insert(key, pooled);
        Some(GuardConnection { sender: opened.ready().await.ok()?, number })
    }

    /// Sends a guard a request other than a call; returns the reader of its response, or `None`
    /// if it can't be reached.
    pub(crate) async fn request<T: Serialize>(
        &self,
        guard: SocketAddr,
        incarnation: DaemonIncarnation,
        path: &str,
        head: &T,
    ) -> Option<HeadReader> {
        self.connect(guard, incarnation).await?.request(path, head).await
    }

    /// Removes the connection with a number to a guard that does not respond on it, unless
    /// another one has replaced it.
    pub(crate) fn remove(&self, guard: SocketAddr, incarnation: DaemonIncarnation, number: u64) {
        let mut connections = self.connections.borrow_mut();
        let key = (guard, incarnation);
        if connections.get(&key).is_some_and(|pooled| pooled.number == number) {
            connections.remove(&key);
        }
    }

    /// Removes the connections to guards that are gone and records which guards are in other
    /// data centres; returns the number of guards that are up.
    pub(crate) fn update(&self, view: &FleetView, own_centre: &CentreName) -> usize {
        let serving = || view.serving();
        let up: HashSet<_> = serving().map(|member| (member.guard, member.incarnation)).collect();
        let remote = serving().filter(|member| member.data_centre != *own_centre);
        *self.remote_guards.borrow_mut() = remote.map(|member| member.guard).collect();
        self.connections.borrow_mut().retain(|key, _| up.contains(key));
        up.len()
    }

    /// Returns the number of connections.
    pub(crate) fn len(&self) -> usize {
        self.connections.borrow().len()
    }
}

async fn open_connection(
    guard: SocketAddr,
    byte_counter: Option<IntCounter>,
) -> Option<SendRequest<Bytes>> {
    let socket = TcpStream::connect(guard).await.ok()?;
    socket.set_nodelay(true).ok()?;
    enable_keepalive(&socket, &KEEPALIVE_LIMITS).ok()?;
    let (sender, connection) =
        h2io::call_client().handshake(CountedSocket::open(socket, byte_counter)).await.ok()?;
    spawn_local(async move { drop(connection.await) });
    Some(sender)
}
