//! Detection of TCP peers that disappear without closing the connection.
//!
//! A host that loses power, or a network path that drops all packets, sends no reset.
//! Keepalive probes and a limit on unacknowledged data let the operating system break
//! such a connection.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Limits after which a connection to an unresponsive peer breaks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeepaliveLimits {
    /// Maximum time that sent bytes may stay unacknowledged.
    pub(crate) user_timeout: Duration,
    /// Idle time before the first keepalive probe; in whole seconds, the unit of the
    /// socket option.
    pub(crate) idle: Duration,
}

/// Interval between keepalive probes, and how many may stay unanswered before the connection
/// breaks.
pub(crate) const KEEPALIVE_PROBES: (Duration, u32) = (Duration::from_secs(1), 2);

/// Makes a connection break soon after its peer stops responding.
///
/// # Errors
///
/// Returns an error if the operating system rejects a socket option.
pub(crate) fn enable_keepalive(socket: &TcpStream, limits: &KeepaliveLimits) -> io::Result<()> {
    let (interval, retries) = KEEPALIVE_PROBES;
    let keepalive =
        TcpKeepalive::new().with_time(limits.idle).with_interval(interval).with_retries(retries);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(limits.user_timeout))
}
