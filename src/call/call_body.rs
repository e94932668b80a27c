//! Body of a call together with the memory that it occupies.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::base::segments::BodySegments;
use crate::call::body_room::BodyPermit;

/// Complete body of a call; its memory is returned when the last clone is dropped.
#[derive(Clone, Default)]
pub(crate) struct CallBody {
    segments: BodySegments,
    /// `None` for an empty body.
    _permit: Option<Rc<BodyPermit>>,
}

impl std::fmt::Debug for CallBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallBody").field("length", &self.len()).finish_non_exhaustive()
    }
}

impl CallBody {
    /// Creates the body that occupies the memory of `permit`; an empty one occupies none.
    pub(crate) fn open(segments: BodySegments, permit: Option<BodyPermit>) -> Self {
        permit.iter().for_each(BodyPermit::complete);
        Self { segments, _permit: permit.map(Rc::new) }
    }

    /// Returns the length of the body, in bytes.
    pub(crate) const fn len(&self) -> usize {
        self.segments.len()
    }

    /// Returns the segments in order; none of them is empty.
    pub(crate) fn segments(&self) -> &[Bytes] {
        self.segments.segments()
    }

    /// Returns the body as it is sent to a target.
    pub(crate) fn request_body(&self) -> RequestBody {
        RequestBody { body: self.clone(), next_segment: 0, unsent: self.len() }
    }
}

/// Body of a request to a target.
pub(crate) struct RequestBody {
    body: CallBody,
    next_segment: usize,
    /// Number of bytes that were not handed out yet.
    unsent: usize,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.body.segments().get(self.next_segment).cloned();
        self.next_segment += 1;
        self.unsent -= segment.as_ref().map_or(0, Bytes::len);
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.unsent == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.unsent as u64)
    }
}
