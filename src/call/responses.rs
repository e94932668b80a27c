//! Answers that the system itself makes.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use h2::RecvStream;
use http::{HeaderValue, Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};

use crate::base::call_status::RecordedAnswer;
use crate::base::h2io;
use crate::base::wire::AnswerHead;
use crate::call::headers;

/// What the system says became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A target answered it.
    Answered,
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl CallOutcome {
    /// Returns the word in the outcome header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// An answer that was cut off or does not fit its head.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ResponseBodyError(&'static str);

impl std::fmt::Display for ResponseBodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for ResponseBodyError {}

/// The body of an answer to a caller.
pub(crate) enum ResponseBody {
    /// Bytes at hand.
    Whole(Option<Bytes>),
    /// Bytes that still come from a guard.
    Guard(GuardBody),
}

/// A body that comes from a guard, checked against its length.
pub(crate) struct GuardBody {
    /// Read ahead together with the head.
    rest: Bytes,
    stream: RecvStream,
    /// Bytes still to come, where the length is known.
    left: Option<u64>,
    /// Called once when the body ends, however it does.
    ended: Option<Box<dyn FnOnce(bool)>>,
}

impl GuardBody {
    /// Makes a body of `length` bytes, where that is known.
    pub(crate) fn open(
        rest: Bytes,
        stream: RecvStream,
        length: Option<u64>,
        ended: Box<dyn FnOnce(bool)>,
    ) -> Self {
        Self { rest, stream, left: length, ended: Some(ended) }
    }

    fn poll_part(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ResponseBodyError>>> {
        if !self.rest.is_empty() {
            let part = std::mem::take(&mut self.rest);
            return Poll::Ready(Some(self.count(part)));
        }
        match ready!(self.stream.poll_data(cx)) {
            Some(Ok(part)) => {
                h2io::release(&mut self.stream, part.len());
                Poll::Ready(Some(self.count(part)))
            }
            Some(Err(_reset)) => {
                Poll::Ready(Some(Err(ResponseBodyError("the answer was cut off"))))
            }
            None if self.left.is_some_and(|left| left > 0) => {
                Poll::Ready(Some(Err(ResponseBodyError("the answer is too short"))))
            }
            None => {
                self.end(true);
                Poll::Ready(None)
            }
        }
    }

    fn count(&mut self, part: Bytes) -> Result<Bytes, ResponseBodyError> {
        if let Some(left) = &mut self.left {
            *left = left
                .checked_sub(part.len() as u64)
                .ok_or(ResponseBodyError("the answer is too long"))?;
        }
        Ok(part)
    }

    fn end(&mut self, whole: bool) {
        if let Some(ended) = self.ended.take() {
            ended(whole);
        }
    }
}

impl Drop for GuardBody {
    fn drop(&mut self) {
        self.end(false);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseBodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Guard(body) => {
                let part = ready!(body.poll_part(cx));
                Poll::Ready(part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Guard(body) => match body.left {
                Some(left) => SizeHint::with_exact(left),
                None => SizeHint::default(),
            },
        }
    }
}

/// Makes an answer for a call that did not run.
pub(crate) fn not_run(
    status: StatusCode,
    reason: &str,
    retry_after_ms: u32,
) -> Response<ResponseBody> {
    let mut response = system_answer(status, CallOutcome::NotRun, reason);
    set_retry(&mut response, retry_after_ms);
    response
}

/// Makes an answer for a call that did not run, and would not if it came again.
pub(crate) fn not_run_ever(status: StatusCode, reason: &str) -> Response<ResponseBody> {
    system_answer(status, CallOutcome::NotRun, reason)
}

/// Makes an answer for a call that may have run.
pub(crate) fn unknown(reason: &str, retry_after_ms: Option<u32>) -> Response<ResponseBody> {
    let mut response = system_answer(StatusCode::GATEWAY_TIMEOUT, CallOutcome::Unknown, reason);
    if let Some(retry_after_ms) = retry_after_ms {
        set_retry(&mut response, retry_after_ms);
    }
    response
}

/// Makes the answer that was recorded for an earlier call with the same key.
pub(crate) fn recorded(answer: &RecordedAnswer) -> Response<ResponseBody> {
    let Some(body) = &answer.body else {
        // Without its body the answer must not pass for a whole one.
        let mut response =
            system_answer(StatusCode::CONFLICT, CallOutcome::Answered, "body_not_recorded");
        response.headers_mut().insert(headers::RECORDED, HeaderValue::from_static("1"));
        return response;
    };
    let mut response = Response::new(ResponseBody::Whole(Some(Bytes::copy_from_slice(body))));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(headers::OUTCOME, HeaderValue::from_static(CallOutcome::Answered.as_str()));
    headers.insert(headers::RECORDED, HeaderValue::from_static("1"));
    let content_type = answer.content_type.as_deref().map(HeaderValue::from_str);
    if let Some(Ok(value)) = content_type {
        headers.insert(http::header::CONTENT_TYPE, value);
    }
    response
}

/// Makes the answer that a target gave, with `body` still to come.
pub(crate) fn answered(head: &AnswerHead, target: &str, body: GuardBody) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Guard(body));
    let AnswerHead::Answered { status, headers: list, .. } = head else { return response };
    *response.status_mut() =
        StatusCode::from_u16(*status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    for (name, value) in list {
        let name = http::HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    headers.insert(headers::OUTCOME, HeaderValue::from_static(CallOutcome::Answered.as_str()));
    if let Ok(value) = HeaderValue::from_str(target) {
        headers.insert(headers::TARGET, value);
    }
    response
}

fn system_answer(status: StatusCode, outcome: CallOutcome, reason: &str) -> Response<ResponseBody> {
    let text = format!("{{\"outcome\":\"{}\",\"reason\":\"{reason}\"}}\n", outcome.as_str());
    let mut response = Response::new(ResponseBody::Whole(Some(Bytes::from(text))));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(headers::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::from_str(reason) {
        headers.insert(headers::REASON, value);
    }
    response
}

fn set_retry(response: &mut Response<ResponseBody>, retry_after_ms: u32) {
    // The entry brings it into the form that its callers read.
    let headers = response.headers_mut();
    headers.insert(headers::RETRY_AFTER_MS, HeaderValue::from(retry_after_ms));
}
