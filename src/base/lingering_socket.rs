//! A connection that is closed only once its other side has read what it was sent.
//!
//! A close while bytes are unread resets the connection, and a reset may overtake an
//! answer that was sent just before. Guards the answer to a request that is refused
//! while its sender still writes, such as a 413: of 200 such callers, 16 at a time, one
//! got a reset; one that reads nothing before it has written 4 MiB always did.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Longest time for which a sender is heard out after the last answer.
const LINGER: Duration = Duration::from_secs(1);

/// Most bytes that are read from it meanwhile: as many as a second brings of a link
/// of 100 Mbit/s.
const LINGER_BYTES: usize = 12 << 20;

/// A socket that hears its sender out when it is shut down.
pub(crate) struct LingeringSocket {
    socket: TcpStream,
    /// Set once nothing more is written.
    closing: Option<ClosingState>,
}

/// How long, and for how many bytes, a sender is still heard.
struct ClosingState {
    until: Pin<Box<Sleep>>,
    bytes_left: usize,
}

impl LingeringSocket {
    pub(crate) const fn open(socket: TcpStream) -> Self {
        Self { socket, closing: None }
    }
}

impl ClosingState {
    fn open() -> Self {
        Self { until: Box::pin(sleep(LINGER)), bytes_left: LINGER_BYTES }
    }

    /// Reads what still comes, to its end or to a bound.
    fn poll_end(&mut self, socket: &mut TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        let mut space = [0; 8 << 10];
        while self.bytes_left > 0 && self.until.as_mut().poll(cx).is_pending() {
            let mut buffer = ReadBuf::new(&mut space);
            let read = ready!(Pin::new(&mut *socket).poll_read(cx, &mut buffer));
            // A sender that has gone, or broke off, waits for nothing more.
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
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
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
