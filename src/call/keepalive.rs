//! Connections whose other end may go without a sign.
//!
//! A host without power, or a path that swallows everything, resets nothing. The
//! system notices when it is told how long to wait for acknowledgements.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How soon a connection breaks when nothing comes back on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeepaliveLimits {
    /// Time after which bytes that nobody acknowledges break it.
    pub(crate) user_timeout: Duration,
    /// Time unused after which the other end is asked whether it is there; in
    /// whole seconds, the system's unit.
    pub(crate) idle: Duration,
}

/// Time between two such questions, and how many stay unanswered at most.
pub(crate) const KEEPALIVE_PROBES: (Duration, u32) = (Duration::from_secs(1), 2);

/// Lets a connection break soon when its other end has gone without a sign.
///
/// # Errors
///
/// Fails when the system does not take the limits.
pub(crate) fn enable_keepalive(socket: &TcpStream, limits: &KeepaliveLimits) -> io::Result<()> {
    let (interval, retries) = KEEPALIVE_PROBES;
    let keepalive =
        TcpKeepalive::new().with_time(limits.idle).with_interval(interval).with_retries(retries);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(limits.user_timeout))
}
