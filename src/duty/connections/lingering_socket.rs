//! Connection to a caller: closed only after the caller has had time to read the last answer, and
//! given up if it leaves an answer unread for too long.
//!
//! Closing a socket with unread bytes resets the connection, and the reset may overtake an
//! answer sent just before. This protects the answer to a request that is refused while
//! the peer still sends it, such as a 413. Without it, one of 200 such callers, 16 at a
//! time, got a reset; a caller that reads nothing before it has written 4 MiB always did.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use super::ConnectionPermit;
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
    permit: Rc<ConnectionPermit>,
    write_end: WriteEnd,
    /// Bytes that were received and not yet given to the HTTP library.
    held_back: Bytes,
    /// Whether heads with many fields are held back.
    watches_fields: bool,
    /// Wait for the turn to read more of a long head.
    turn: Option<LocalBoxFuture<'static, ()>>,
    /// Whether the connection has had its turn and not read anything since.
    has_turn: bool,
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
    pub(crate) fn open(
        socket: TcpStream,
        permit: Rc<ConnectionPermit>,
        write_end: WriteEnd,
    ) -> Self {
        Self {
            socket,
            permit,
            write_end,
            held_back: Bytes::new(),
            watches_fields: false,
            turn: None,
            has_turn: false,
            blocked: None,
            closing: None,
        }
    }

    /// Holds back heads with many fields; their connection must go on with [`Self::resume`] once
    /// [`ConnectionPermit::wait_many_fields`] returns.
    pub(crate) fn hold_back_many_fields(self) -> Self {
        Self { watches_fields: true, ..self }
    }

    /// Goes on with bytes that were taken from the connection and not used, for an HTTP library that
    /// reads heads with any number of fields.
    pub(crate) fn resume(mut self, unused: &Bytes) -> Self {
        self.held_back = [unused.as_ref(), self.held_back.as_ref()].concat().into();
        self.watches_fields = false;
        self
    }

    /// Waits until more of a long head may be read.
    fn poll_turn(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.has_turn || !self.permit.has_long_head() {
            return Poll::Ready(());
        }
        let permit = &self.permit;
        let turn = self.turn.get_or_insert_with(|| {
            let room = Rc::clone(permit.room());
            Box::pin(async move { room.wait_turn().await })
        });
        ready!(turn.as_mut().poll(cx));
        self.turn = None;
        self.has_turn = true;
        self.permit.note_waiting();
        Poll::Ready(())
    }

    /// Returns the result of a write, or an error if it has been blocked for too long.
    fn limit_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.blocked = None;
            self.permit.note_written();
            return written;
        }
        self.permit.note_blocked();
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
    fn poll_end(
        &mut self,
        socket: &mut TcpStream,
        permit: &ConnectionPermit,
        cx: &mut Context<'_>,
    ) -> Poll<()> {
        let mut space = [0; 8 << 10];
        while self.bytes_left > 0 && self.until.as_mut().poll(cx).is_pending() {
            let mut buffer = ReadBuf::new(&mut space);
            let read = ready!(Pin::new(&mut *socket).poll_read(cx, &mut buffer));
            // A peer that closed or reset the connection waits for no answer.
            if read.is_err() || buffer.filled().is_empty() {
                break;
            }
            self.bytes_left = self.bytes_left.saturating_sub(buffer.filled().len());
            if !permit.may_linger(buffer.filled().len()) {
                break;
            }
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
        if let Some(size) = self.permit.take_buffer_request() {
            // Without it the body only arrives more slowly.
            drop(SockRef::from(&self.socket).set_recv_buffer_size(size));
        }
        if !self.held_back.is_empty() {
            if self.watches_fields {
                return Poll::Pending;
            }
            let length = self.held_back.len().min(buf.remaining());
            buf.put_slice(&self.held_back.split_to(length));
            return Poll::Ready(Ok(()));
        }
        ready!(self.poll_turn(cx));
        let before = buf.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(cx, buf);
        if read.is_pending() {
            self.permit.note_waiting();
        }
        ready!(read)?;
        let bytes = buf.filled().len() - before;
        if bytes > 0 {
            self.has_turn = false;
            self.permit.note_read(bytes)?;
            if self.watches_fields && self.permit.count_lines(&buf.filled()[before..]) {
                self.held_back = Bytes::copy_from_slice(&buf.filled()[before..]);
                buf.set_filled(before);
                // The connection goes on with another reader of heads.
                return Poll::Pending;
            }
        }
        Poll::Ready(Ok(()))
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
        let flushed = Pin::new(&mut self.socket).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.permit.note_flushed();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.closing.is_none() {
            ready!(Pin::new(&mut this.socket).poll_shutdown(cx))?;
            this.permit.note_closing();
        }
        let closing = this.closing.get_or_insert_with(ClosingState::open);
        closing.poll_end(&mut this.socket, &this.permit, cx).map(Ok)
    }
}
