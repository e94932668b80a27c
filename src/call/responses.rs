//! Responses to callers: those that railspan generates and those of targets.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};

use crate::base::call_status::RecordedAnswer;
use crate::base::wire::AnswerHead;
use crate::call::guard_body::{GuardBody, ResponseBodyError};
use crate::call::headers;

/// Outcome of a call, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A target answered the call.
    Answered,
    /// The call did not run and never will.
    NotRun,
    /// The call may have run.
    Unknown,
}

impl CallOutcome {
    /// Returns the value of the outcome header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Body of a response to a caller.
pub(crate) enum ResponseBody {
    /// A body that is complete already.
    Full(Option<Bytes>),
    /// A body that is streamed from a guard.
    Streamed(Box<GuardBody>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseBodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(body) => {
                let chunk = ready!(body.poll_chunk(cx));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streamed(body) => match body.remaining() {
                Some(remaining) => SizeHint::with_exact(remaining),
                None => SizeHint::default(),
            },
        }
    }
}

/// Creates the response to a call that did not run, with a retry delay.
pub(crate) fn not_run(
    status: StatusCode,
    reason: &str,
    retry_after_ms: u32,
) -> Response<ResponseBody> {
    let mut response = generated_response(status, CallOutcome::NotRun, reason);
    set_retry_after(&mut response, retry_after_ms);
    response
}

/// Creates the response to a call that did not run and would not run on a retry either.
pub(crate) fn not_run_permanently(status: StatusCode, reason: &str) -> Response<ResponseBody> {
    generated_response(status, CallOutcome::NotRun, reason)
}

/// Creates the response to a call that may have run.
pub(crate) fn unknown(reason: &str, retry_after_ms: Option<u32>) -> Response<ResponseBody> {
    let mut response =
        generated_response(StatusCode::GATEWAY_TIMEOUT, CallOutcome::Unknown, reason);
    if let Some(retry_after_ms) = retry_after_ms {
        set_retry_after(&mut response, retry_after_ms);
    }
    response
}

/// Creates the response to a call that may have run and whose target sent something that is no
/// answer.
pub(crate) fn invalid_answer() -> Response<ResponseBody> {
    generated_response(StatusCode::BAD_GATEWAY, CallOutcome::Unknown, "invalid_answer")
}

/// Creates the response from the recorded answer of an earlier call with the same key.
pub(crate) fn recorded(answer: &RecordedAnswer) -> Response<ResponseBody> {
    let Some(body) = &answer.body else {
        // A response without the body must not be mistaken for the original one.
        let mut response =
            generated_response(StatusCode::CONFLICT, CallOutcome::Answered, "body_not_recorded");
        response.headers_mut().insert(headers::RECORDED, HeaderValue::from_static("1"));
        return response;
    };
    let mut response = Response::new(ResponseBody::Full(Some(Bytes::copy_from_slice(body))));
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

/// Creates the response from a target's answer; `body` is still being streamed.
pub(crate) fn answered(head: &AnswerHead, target: &str, body: GuardBody) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Streamed(Box::new(body)));
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

/// Creates a response with a JSON body that states the outcome and the reason.
fn generated_response(
    status: StatusCode,
    outcome: CallOutcome,
    reason: &str,
) -> Response<ResponseBody> {
    let text = format!("{{\"outcome\":\"{}\",\"reason\":\"{reason}\"}}\n", outcome.as_str());
    let mut response = Response::new(ResponseBody::Full(Some(Bytes::from(text))));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(headers::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::from_str(reason) {
        headers.insert(headers::REASON, value);
    }
    response
}

/// Tells the caller that the connection closes after a response.
pub(crate) fn set_connection_close(response: &mut Response<ResponseBody>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(http::header::CONNECTION, close);
}

fn set_retry_after(response: &mut Response<ResponseBody>, retry_after_ms: u32) {
    // `EntryDuty::finish_head` derives `Retry-After` from this header, and removes it where
    // callers don't use it.
    let headers = response.headers_mut();
    headers.insert(headers::RETRY_AFTER_MS, HeaderValue::from(retry_after_ms));
}
