//! Connections of an entry to guards.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::h2io;
use crate::ids::DaemonIncarnation;

/// Longest wait for a connection to a guard.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// One `h2` connection for each guard life.
#[derive(Debug, Default)]
pub(crate) struct GuardPool {
    connections: RefCell<HashMap<(SocketAddr, DaemonIncarnation), SendRequest<Bytes>>>,
}

impl GuardPool {
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
        let fresh = timeout(CONNECT_TIMEOUT, dial(guard)).await.ok()??;
        self.connections.borrow_mut().insert(key, fresh.clone());
        fresh.ready().await.ok()
    }

    /// Drops the connections to guards that are gone.
    pub(crate) fn retain(&self, alive: impl Fn(&(SocketAddr, DaemonIncarnation)) -> bool) {
        self.connections.borrow_mut().retain(|key, _| alive(key));
    }

    /// Returns how many connections are held.
    pub(crate) fn len(&self) -> usize {
        self.connections.borrow().len()
    }
}

async fn dial(guard: SocketAddr) -> Option<SendRequest<Bytes>> {
    let socket = TcpStream::connect(guard).await.ok()?;
    socket.set_nodelay(true).ok()?;
    let (sender, connection) = h2io::client().handshake(socket).await.ok()?;
    spawn_local(async move { drop(connection.await) });
    Some(sender)
}
