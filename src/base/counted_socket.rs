//! TCP connection that counts its bytes.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use prometheus::IntCounter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Connection that counts the bytes read and written, if its traffic is charged for.
#[derive(Debug)]
pub(crate) struct CountedSocket {
    socket: TcpStream,
    byte_counter: Option<IntCounter>,
}

impl CountedSocket {
    /// Wraps a connection; its bytes are added to `byte_counter`, if given.
    pub(crate) fn open(socket: TcpStream, byte_counter: Option<IntCounter>) -> Self {
        Self { socket, byte_counter }
    }

    fn count(&self, length: usize) {
        if let Some(byte_counter) = &self.byte_counter {
            byte_counter.inc_by(length as u64);
        }
    }
}

impl AsyncRead for CountedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        self.count(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.socket).poll_write(cx, buf))?;
        self.count(written);
        Poll::Ready(Ok(written))
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
        let written = ready!(Pin::new(&mut self.socket).poll_write_vectored(cx, bufs))?;
        self.count(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
