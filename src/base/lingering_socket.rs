//! Connection to a caller: closed only after the caller has had time to read the last answer, and
//! given up if it leaves an answer unread for too long.
//!
//! Closing a socket with unread bytes resets the connection, and the reset may overtake an
//! answer sent just before. This protects the answer to a request that is refused while
//! the peer still sends it, such as a 413. Without it, one of 200 such callers, 16 at a
//! time, got a reset; a caller that reads nothing before it has written 4 MiB always did.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use crate::base::consts::SHORTAGE_CHECK_INTERVAL;

/// Maximum time for which the socket reads from its peer after the last answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of bytes read in that time: those that a link of 100 Mbit/s carries in one
/// second.
const MAX_LINGER_BYTES: usize = 12 << 20;

/// Returns the time at which a write is given up that has been blocked since the given time; that
/// time may change meanwhile.
pub(crate) type WriteEnd = Box<dyn Fn(Instant) -> Instant>;

/// Socket that reads and discards what its peer still sends when it is shut down.
pub(crate) struct LingeringSocket {
    socket: TcpStream,
    write_end: WriteEnd,
    /// Set while a write is blocked.
    blocked: Option<BlockedWrite>,
    /// Set once the sending side is shut down.
    closing: Option<ClosingState>,
}

/// A write for which the peer makes no room.
struct BlockedWrite {
    since: Instant,
    next_check: Pin<Box<Sleep>>,
}

/// Limits on what is still read from the peer.
struct ClosingState {
    until: Pin<Box<Sleep>>,
    bytes_left: usize,
}

impl LingeringSocket {
    /// Wraps a socket whose blocked writes end as `write_end` says.
    pub(crate) fn open(socket: TcpStream, write_end: WriteEnd) -> Self {
        Self { socket, write_end, blocked: None, closing: None }
    }

    /// Returns the result of a write, or an error if it has been blocked for too long.
    fn limit_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.blocked = None;
            return written;
        }
        let blocked = self.blocked.get_or_insert_with(|| BlockedWrite {
            since: Instant::now(),
            next_check: Box::pin(sleep(SHORTAGE_CHECK_INTERVAL)),
        });
        while Instant::now() < (self.write_end)(blocked.since) {
            ready!(blocked.next_check.as_mut().poll(cx));
            blocked.next_check.as_mut().reset(Instant::now() + SHORTAGE_CHECK_INTERVAL);
        }
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl ClosingState {
    fn open() -> Self {
        Self { until: Box::pin(sleep(LINGER_TIMEOUT)), bytes_left: MAX_LINGER_BYTES }
    }

    /// Reads and discards bytes until the peer closes or a limit is reached.
    fn poll_end(&mut self, socket: &mut TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        let mut space = [0; 8 << 10];
        while self.bytes_left > 0 && self.until.as_mut().poll(cx).is_pending() {
            let mut buffer = ReadBuf::new(&mut space);
            let read = ready!(Pin::new(&mut *socket).poll_read(cx, &mut buffer));
            // A peer that closed or reset the connection waits for no answer.
            if read.is_err() || buffer.filled().is_empty() {
                break;
            }
            self.bytes_left = self.bytes_left.saturating_sub(buffer.filled().len());
        }
        Poll::Ready(())
    }
}

impl AsyncRead for LingeringSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for LingeringSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.limit_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.limit_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.closing.is_none() {
            ready!(Pin::new(&mut this.socket).poll_shutdown(cx))?;
        }
        let closing = this.closing.get_or_insert_with(ClosingState::open);
        closing.poll_end(&mut this.socket, cx).map(Ok)
    }
}
