//! The response to a call that an entry sent: one HTTP/2 response that carries one or two
//! answer heads and the answer's body.

use std::future::poll_fn;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, SendStream};
use http::Response;

use crate::base::h2io::{self, StreamError};
use crate::base::wire::AnswerHead;

/// The response to a call; dropping it without an end resets the stream.
pub(crate) struct AnswerStream {
    respond: SendResponse<Bytes>,
    /// Stream of the response; `None` before its first bytes are sent.
    stream: Option<SendStream<Bytes>>,
}

impl AnswerStream {
    /// Creates the response to a call, of which nothing has been sent.
    pub(crate) const fn open(respond: SendResponse<Bytes>) -> Self {
        Self { respond, stream: None }
    }

    /// Sends bytes, as fast as the entry takes them; `end` ends the response after them.
    pub(crate) async fn send(&mut self, bytes: Bytes, end: bool) -> Result<(), StreamError> {
        let stream = if let Some(stream) = &mut self.stream {
            stream
        } else {
            let opened = self.respond.send_response(Response::new(()), false);
            self.stream.insert(opened.map_err(|source| StreamError::Broken { source })?)
        };
        h2io::send_all(stream, bytes, end).await
    }

    /// Sends the head of an answer; `end` ends the response after it.
    pub(crate) async fn send_head(
        &mut self,
        head: &AnswerHead,
        end: bool,
    ) -> Result<(), StreamError> {
        let bytes = h2io::encode_frame(head).map_err(|source| StreamError::Head { source })?;
        self.send(bytes, end).await
    }

    /// Waits until the entry resets the stream or the connection breaks.
    pub(crate) async fn wait_for_reset(&mut self) {
        _ = match &mut self.stream {
            Some(stream) => poll_fn(|cx| stream.poll_reset(cx)).await,
            None => poll_fn(|cx| self.respond.poll_reset(cx)).await,
        };
    }

    /// Resets the stream.
    pub(crate) fn reset(&mut self, reason: Reason) {
        match &mut self.stream {
            Some(stream) => stream.send_reset(reason),
            None => self.respond.send_reset(reason),
        }
    }
}
