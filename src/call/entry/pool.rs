//! Connections of an entry to guards.

use std::cell::RefCell;
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
use crate::call::silence::{SilenceLimits, notice_silence};

/// Longest wait for a connection to a guard; a host that has no power answers
/// nothing, and a call that waits for it is late.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longer than two lost packets in a row take; a call to a silent host is late
/// all the same, the next one is not.
const SILENCE: SilenceLimits =
    SilenceLimits { unacknowledged: Duration::from_millis(900), idle: Duration::from_secs(2) };

/// One `h2` connection for each guard life.
#[derive(Debug, Default)]
pub(crate) struct GuardPool {
    /// Guards of other data centres, and what counts the bytes to and from them.
    far: RefCell<HashSet<SocketAddr>>,
    crossing: Option<IntCounter>,
    connections: RefCell<HashMap<(SocketAddr, DaemonIncarnation), SendRequest<Bytes>>>,
}

impl GuardPool {
    /// Opens a pool without connections; `crossing` counts the bytes of those to other
    /// data centres.
    pub(crate) fn open(crossing: IntCounter) -> Self {
        Self { crossing: Some(crossing), ..Self::default() }
    }

    /// Returns a connection that takes one more stream, or nothing.
    pub(crate) async fn connect(
        &self,
        guard: SocketAddr,
        incarnation: DaemonIncarnation,
    ) -> Option<SendRequest<Bytes>> {
        let key = (guard, incarnation);
        let known = self.connections.borrow().get(&key).cloned();
        if let Some(known) = known
            && let Ok(ready) = known.ready().await
        {
            return Some(ready);
        }
        let far = self.far.borrow().contains(&guard);
        let crossing = self.crossing.clone().filter(|_| far);
        let fresh = timeout(CONNECT_TIMEOUT, dial(guard, crossing)).await.ok()??;
        self.connections.borrow_mut().insert(key, fresh.clone());
        fresh.ready().await.ok()
    }

    /// Asks a guard something other than a call; returns the reader of its answer.
    pub(crate) async fn ask<T: Serialize>(
        &self,
        guard: SocketAddr,
        incarnation: DaemonIncarnation,
        path: &str,
        head: &T,
    ) -> Option<HeadReader> {
        let mut sender = self.connect(guard, incarnation).await?;
        let request = Request::post(format!("http://guard{path}")).body(()).ok()?;
        let (response, mut stream) = sender.send_request(request, false).ok()?;
        h2io::send_all(&mut stream, h2io::encode_frame(head).ok()?, true).await.ok()?;
        Some(HeadReader::open(response.await.ok()?.into_body()))
    }

    /// Drops the connection to a guard that gives no sign of life on it.
    pub(crate) fn forget(&self, guard: SocketAddr, incarnation: DaemonIncarnation) {
        self.connections.borrow_mut().remove(&(guard, incarnation));
    }

    /// Drops the connections to guards that are gone, and notes who is far; returns how
    /// many guards there are.
    pub(crate) fn adopt(&self, view: &FleetView, centre: &CentreName) -> usize {
        let serving = || view.serving();
        let alive: HashSet<_> =
            serving().map(|member| (member.guard, member.incarnation)).collect();
        let far = serving().filter(|member| member.data_centre != *centre);
        *self.far.borrow_mut() = far.map(|member| member.guard).collect();
        self.connections.borrow_mut().retain(|key, _| alive.contains(key));
        alive.len()
    }

    /// Returns how many connections are held.
    pub(crate) fn len(&self) -> usize {
        self.connections.borrow().len()
    }
}

async fn dial(guard: SocketAddr, crossing: Option<IntCounter>) -> Option<SendRequest<Bytes>> {
    let socket = TcpStream::connect(guard).await.ok()?;
    socket.set_nodelay(true).ok()?;
    notice_silence(&socket, &SILENCE).ok()?;
    let (sender, connection) =
        h2io::client().handshake(CountedSocket::open(socket, crossing)).await.ok()?;
    spawn_local(async move { drop(connection.await) });
    Some(sender)
}
