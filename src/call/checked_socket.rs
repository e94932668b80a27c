//! Connection on which the HTTP library sees checked answers only.

use std::error::Error;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::decide::answer_check::{AnswerCheck, AnswerFault};

/// Connection to a server; reading fails with an [`AnswerFault`] at the first byte that can't
/// belong to an answer.
#[derive(Debug)]
pub(crate) struct CheckedSocket {
    socket: TcpStream,
    check: AnswerCheck,
    notice: RequestNotice,
    /// Set once the connection can't be used any more.
    fault: Option<AnswerFault>,
}

/// Tells a [`CheckedSocket`] which request is sent next.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestNotice {
    is_head: Arc<AtomicBool>,
}

impl RequestNotice {
    /// Announces a request, which must not be sent before the last answer has ended.
    pub(crate) fn announce(&self, method: &http::Method) {
        self.is_head.store(method == http::Method::HEAD, Ordering::Relaxed);
    }
}

impl CheckedSocket {
    /// Wraps a new connection, for requests that are announced by `notice`.
    pub(crate) fn open(socket: TcpStream, notice: &RequestNotice) -> Self {
        Self { socket, check: AnswerCheck::open(), notice: notice.clone(), fault: None }
    }

    /// Returns the connection without its checks.
    pub(super) const fn socket(&self) -> &TcpStream {
        &self.socket
    }

    /// Checks bytes that were read; returns how many of them may be used.
    fn accept(&mut self, bytes: &[u8]) -> Result<usize, AnswerFault> {
        let answers_head = self.notice.is_head.load(Ordering::Relaxed);
        let accepted = self.check.accept(bytes, answers_head)?;
        if accepted < bytes.len() {
            // The answer itself is whole. What follows it was not asked for.
            self.fault = Some(AnswerFault::Excess);
        }
        Ok(accepted)
    }
}

impl AsyncRead for CheckedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(fault) = self.fault {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, fault)));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        let accepted = self.accept(&buf.filled()[before..]);
        buf.set_filled(before + accepted.unwrap_or_default());
        Poll::Ready(accepted.map(drop).map_err(|fault| {
            self.fault = Some(fault);
            io::Error::new(io::ErrorKind::InvalidData, fault)
        }))
    }
}

impl AsyncWrite for CheckedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
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
}

/// Returns the fault in an answer that an error of the HTTP library comes from, if any.
pub(crate) fn find_fault(error: &(dyn Error + 'static)) -> Option<AnswerFault> {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if let Some(fault) = error.downcast_ref::<AnswerFault>() {
            return Some(*fault);
        }
        // The source of an `io::Error` is that of the error in it.
        let inner = error.downcast_ref::<io::Error>().and_then(io::Error::get_ref);
        cause = match inner {
            Some(inner) => Some(inner),
            None => error.source(),
        };
    }
    None
}
