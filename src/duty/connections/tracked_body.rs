//! Body of a response that tells its connection when it has been handed over.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

use super::ConnectionPermit;

/// A response body whose connection counts as being served until this is dropped.
pub(crate) struct TrackedBody<B> {
    body: B,
    connection: Rc<ConnectionPermit>,
}

impl<B> TrackedBody<B> {
    /// Wraps the body of a response on a connection.
    pub(crate) fn open(body: B, connection: Rc<ConnectionPermit>) -> Self {
        connection.note_answer();
        Self { body, connection }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.connection.note_answered();
    }
}
