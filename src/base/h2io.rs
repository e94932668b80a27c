//! Message heads and bodies on HTTP/2 streams.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::timeout;

use crate::base::consts::{MAX_BUFFERED_ANSWER, MAX_HEAD};
use crate::base::segments::{BodySegments, SEGMENT_BYTES, SegmentWriter};
use crate::base::wire::{self, WireError};

/// Size of the length field before a head, in bytes.
const HEAD_LENGTH_BYTES: usize = 4;

/// Flow-control window of one stream, in bytes.
const STREAM_WINDOW: u32 = 1 << 20;

/// Flow-control window of a stream on which a guard receives a call, in bytes.
///
/// Small calls share the receiver's link with large bodies: a larger window delays them by what
/// it lets queue there, a smaller one limits the rate at which a body arrives from far away.
const CALL_WINDOW: u32 = 32 << 10;

/// Flow-control window of a stream on which an entry receives an answer, in bytes: what an answer
/// that is sent as a whole needs at most.
const ANSWER_WINDOW: u32 = (MAX_BUFFERED_ANSWER + MAX_HEAD) as u32;

/// Flow-control window of a connection on which an entry receives answers, in bytes. Streams and
/// their number limit what is held, so that answers which are read slowly don't keep others back.
const ANSWERS_WINDOW: u32 = 1 << 30;

/// Maximum number of bytes of one answer that a guard has queued for the connection.
const MAX_QUEUED_ANSWER: usize = 64 << 10;

/// Flow-control window of one connection, in bytes.
const CONNECTION_WINDOW: u32 = 8 << 20;

/// Maximum number of concurrent streams on one connection.
const MAX_STREAMS: u32 = 10_000;

/// Error while reading from or writing to a stream.
#[derive(Debug, Snafu)]
pub(crate) enum StreamError {
    /// The transport failed or the peer reset the stream.
    #[snafu(display("stream broken: {source}"))]
    Broken { source: h2::Error },
    /// The stream ended before the message was complete.
    #[snafu(display("stream ended before the message was complete"))]
    EndedEarly,
    /// The stream goes on after the end of the message.
    #[snafu(display("stream goes on after the end of the message"))]
    TooLong,
    /// The sender paused too long.
    #[snafu(display("stream paused too long"))]
    Paused,
    /// The head can't be decoded.
    #[snafu(display("{source}"))]
    Head { source: WireError },
}

/// Returns the settings of the server side of a connection.
pub(crate) fn server() -> h2::server::Builder {
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_STREAMS);
    builder
}

/// Returns the settings of the server side of a connection that carries calls.
pub(crate) fn call_server() -> h2::server::Builder {
    let mut builder = server();
    builder.initial_window_size(CALL_WINDOW).max_send_buffer_size(MAX_QUEUED_ANSWER);
    builder
}

/// Returns the settings of the client side of a connection that carries calls.
pub(crate) fn call_client() -> h2::client::Builder {
    let mut builder = client();
    builder.initial_window_size(ANSWER_WINDOW).initial_connection_window_size(ANSWERS_WINDOW);
    builder
}

/// Returns the settings of the client side of a connection.
pub(crate) fn client() -> h2::client::Builder {
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .initial_max_send_streams(MAX_STREAMS as usize)
        .enable_push(false);
    builder
}

/// Encodes a head, preceded by its length.
pub(crate) fn encode_frame<T: Serialize>(head: &T) -> Result<Bytes, WireError> {
    encode_frame_with_body(head, &[])
}

/// Encodes a head, preceded by its length and followed by a body.
pub(crate) fn encode_frame_with_body<T: Serialize>(
    head: &T,
    body: &[Bytes],
) -> Result<Bytes, WireError> {
    let encoded = wire::encode(head)?;
    let body_len: usize = body.iter().map(Bytes::len).sum();
    let mut framed = BytesMut::with_capacity(HEAD_LENGTH_BYTES + encoded.len() + body_len);
    framed.put_u32(encoded.len() as u32);
    framed.put_slice(&encoded);
    for part in body {
        framed.put_slice(part);
    }
    Ok(framed.freeze())
}

/// Sends all bytes, as fast as the peer's window allows; `end` closes the stream after them.
///
/// If this fails, the last byte was not handed to the connection: `h2` reports the failure of a
/// stream before it queues bytes for it.
pub(crate) async fn send_all(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    end: bool,
) -> Result<(), StreamError> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let granted = poll_fn(|cx| stream.poll_capacity(cx)).await;
        let capacity = granted.ok_or(StreamError::EndedEarly)?.context(BrokenSnafu)?;
        let part = bytes.split_to(capacity.min(bytes.len()));
        let last = end && bytes.is_empty();
        stream.send_data(part, last).context(BrokenSnafu)?;
        if last {
            return Ok(());
        }
    }
    if end {
        stream.send_data(Bytes::new(), true).context(BrokenSnafu)?;
    }
    Ok(())
}

/// Sends all segments of a body that is not empty, and ends the stream, as [`send_all`] does.
pub(crate) async fn send_segments(
    stream: &mut SendStream<Bytes>,
    segments: &[Bytes],
) -> Result<(), StreamError> {
    let Some((last, others)) = segments.split_last() else {
        return send_all(stream, Bytes::new(), true).await;
    };
    for segment in others {
        send_all(stream, segment.clone(), false).await?;
    }
    send_all(stream, last.clone(), true).await
}

/// Reads one head and the bytes that follow it.
#[derive(Debug)]
pub(crate) struct HeadReader {
    stream: RecvStream,
    buffer: BytesMut,
}

impl HeadReader {
    /// Starts reading a stream.
    pub(crate) fn open(stream: RecvStream) -> Self {
        Self { stream, buffer: BytesMut::new() }
    }

    /// Reads and decodes the head.
    ///
    /// If the result is dropped before it is ready, the head can be read again.
    pub(crate) async fn head<T: DeserializeOwned>(&mut self) -> Result<T, StreamError> {
        self.fill(HEAD_LENGTH_BYTES).await?;
        let length = (&self.buffer[..HEAD_LENGTH_BYTES]).get_u32() as usize;
        if length > MAX_HEAD {
            return Err(WireError::TooLong { length, limit: MAX_HEAD }).context(HeadSnafu);
        }
        self.fill(HEAD_LENGTH_BYTES + length).await?;
        self.buffer.advance(HEAD_LENGTH_BYTES);
        let bytes = self.buffer.split_to(length);
        wire::decode(&bytes).context(HeadSnafu)
    }

    /// Reads a body of exactly `length` bytes, with which the stream must end. Each part of it
    /// must arrive within `max_pause`.
    pub(crate) async fn last_body(
        &mut self,
        length: usize,
        max_pause: Duration,
    ) -> Result<BodySegments, StreamError> {
        let mut writer = SegmentWriter::default();
        let mut part = self.buffer.split().freeze();
        loop {
            while !part.is_empty() {
                if writer.is_full() {
                    let missing = length - writer.len();
                    snafu::ensure!(missing > 0, TooLongSnafu);
                    writer.add_segment(SEGMENT_BYTES.min(missing));
                }
                part.advance(writer.write(&part));
            }
            let next = timeout(max_pause, self.stream.data()).await;
            let Some(next) = next.map_err(|_elapsed| StreamError::Paused)? else { break };
            part = next.context(BrokenSnafu)?;
            release(&mut self.stream, part.len());
        }
        snafu::ensure!(writer.len() == length, EndedEarlySnafu);
        Ok(writer.finish())
    }

    /// Returns the bytes received after those read, and the stream.
    pub(crate) fn into_parts(self) -> (Bytes, RecvStream) {
        (self.buffer.freeze(), self.stream)
    }

    async fn fill(&mut self, length: usize) -> Result<(), StreamError> {
        while self.buffer.len() < length {
            let part =
                self.stream.data().await.ok_or(StreamError::EndedEarly)?.context(BrokenSnafu)?;
            release(&mut self.stream, part.len());
            self.buffer.extend_from_slice(&part);
        }
        Ok(())
    }
}

/// Returns flow-control capacity to the sender for bytes that were received.
pub(crate) fn release(stream: &mut RecvStream, length: usize) {
    // Fails only on a closed stream, which needs no window.
    drop(stream.flow_control().release_capacity(length));
}

/// Adapts an HTTP/2 stream to [`AsyncRead`] and [`AsyncWrite`], for codecs that need these.
#[derive(Debug)]
pub(crate) struct ByteStream {
    send: SendStream<Bytes>,
    recv: RecvStream,
    /// Bytes received and not yet read.
    unread: Bytes,
}

impl ByteStream {
    /// Joins the two directions of a stream.
    pub(crate) fn open(send: SendStream<Bytes>, recv: RecvStream) -> Self {
        Self { send, recv, unread: Bytes::new() }
    }
}

impl AsyncRead for ByteStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.unread.is_empty() {
            match ready!(self.recv.poll_data(cx)) {
                None => return Poll::Ready(Ok(())),
                Some(Err(error)) => return Poll::Ready(Err(io::Error::other(error))),
                Some(Ok(part)) => {
                    release(&mut self.recv, part.len());
                    self.unread = part;
                }
            }
        }
        let length = buf.remaining().min(self.unread.len());
        let part = self.unread.split_to(length);
        buf.put_slice(&part);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ByteStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.send.reserve_capacity(buf.len());
        let length = match ready!(self.send.poll_capacity(cx)) {
            None => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            Some(Err(error)) => return Poll::Ready(Err(io::Error::other(error))),
            Some(Ok(capacity)) => capacity.min(buf.len()),
        };
        let part = Bytes::copy_from_slice(&buf[..length]);
        self.send.send_data(part, false).map_err(io::Error::other)?;
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let ended = self.send.send_data(Bytes::new(), true);
        Poll::Ready(ended.map_err(io::Error::other))
    }
}
