//! One call to a target: makes the HTTP request and classifies the answer.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::base::consts::{MAX_BUFFERED_ANSWER, MAX_SHORT_ANSWER};
use crate::base::wire::CallHead;
use crate::call::answer_room::{AnswerPermit, AnswerRoom};
use crate::call::call_body::{CallBody, RequestBody};
use crate::call::guard::target_connections::{BusyConnection, TargetFailure};
use crate::call::headers::{self, HeaderNames};
use crate::decide::answer_check::AnswerFault;

/// Number of values in a load header: running calls, waiting calls, slots, and slowness in
/// percent.
const LOAD_VALUES: usize = 4;

/// Statuses that promise a caller that its call did not run, where targets state so in a header.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// An answer of a target whose body has been read at least in part.
pub(crate) struct TargetAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// Part of the body that has been read; all of it if `rest` is `None`.
    pub(crate) start: Bytes,
    /// Remainder of the body, if it was too long to be read at once.
    pub(crate) rest: Option<Incoming>,
    pub(crate) connection: BusyConnection,
    /// Memory of the answer; `None` if it is short.
    pub(crate) _permit: Option<AnswerPermit>,
}

/// What a target's answer implies for the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerClass {
    /// The target ran the call, and this is its answer.
    Answer,
    /// The target reports that it did not run the call.
    NotRun,
    /// Another target listens at the address; it did not run the call.
    OtherTarget,
    /// The answer doesn't belong to this call, or must not be passed on.
    Invalid(AnswerFault),
}

/// Makes the request for a target; `remaining_ms` is the time left until the deadline.
///
/// Returns `None` if the method, the path or a header is invalid.
pub(crate) fn make_request(
    head: &CallHead,
    body: &CallBody,
    address: SocketAddr,
    remaining_ms: u32,
    names: &HeaderNames,
) -> Option<Request<RequestBody>> {
    let mut builder = Request::builder()
        .method(head.method.as_str())
        .uri(head.path.as_str())
        .header(names.deadline_ms, remaining_ms);
    if let Some(name) = names.expected_target {
        builder = builder.header(name, head.target.as_str());
    }
    if names.railspan_headers {
        builder = builder
            .header(headers::CALL, head.call.to_string())
            .header(headers::ACCOUNT, head.account.as_str())
            .header(headers::WORTH, u16::from(head.priority.worth))
            .header(headers::URGENT, u16::from(head.priority.urgent));
    }
    if !names.preserve_host {
        builder = builder.header(http::header::HOST, address.to_string());
    }
    for (name, value) in &head.headers {
        builder = builder.header(name.as_str(), value.as_slice());
    }
    builder.body(body.request_body()).ok()
}

/// Classifies an answer by its status and headers.
pub(crate) fn classify_answer(
    head: &CallHead,
    status: StatusCode,
    answer_headers: &HeaderMap,
    names: &HeaderNames,
) -> AnswerClass {
    let id = names.request_id.and_then(|name| headers::find_str(&head.headers, name));
    let echoed_id = names.request_id.and_then(|name| headers::get_str(answer_headers, name));
    if id.is_some() && echoed_id.is_some() && id != echoed_id {
        return AnswerClass::Invalid(AnswerFault::Mismatch);
    }
    if names.expected_target.is_some() && status == StatusCode::MISDIRECTED_REQUEST {
        return AnswerClass::OtherTarget;
    }
    if let Some(name) = names.not_executed {
        if answer_headers.contains_key(name) {
            return AnswerClass::NotRun;
        }
        if NOT_RUN_STATUSES.contains(&status) {
            return AnswerClass::Invalid(AnswerFault::Promise);
        }
    }
    let signed = names.signature.is_none_or(|name| answer_headers.contains_key(name));
    if status.is_success() && !(signed && echoed_id == id) {
        return AnswerClass::Invalid(AnswerFault::Mismatch);
    }
    AnswerClass::Answer
}

/// Reads from the load header how long work takes at the target now, in percent of the normal
/// time.
pub(crate) fn parse_slowness(answer_headers: &HeaderMap, names: &HeaderNames) -> Option<u16> {
    let text = headers::get_str(answer_headers, names.load?)?;
    text.split(',').nth(LOAD_VALUES - 1)?.trim().parse().ok()
}

/// Reads from the load header how many calls the target runs at once.
pub(crate) fn parse_slots(answer_headers: &HeaderMap, names: &HeaderNames) -> Option<u16> {
    let text = headers::get_str(answer_headers, names.load?)?;
    text.split(',').nth(LOAD_VALUES - 2)?.trim().parse().ok()
}

/// Reads the start of an answer's body, up to just over [`MAX_BUFFERED_ANSWER`], so that a
/// short body is known to be complete.
pub(crate) async fn read_start(
    response: Response<Incoming>,
    connection: BusyConnection,
    room: &AnswerRoom,
) -> Result<TargetAnswer, TargetFailure> {
    let (parts, mut body) = response.into_parts();
    let mut start = BytesMut::new();
    let mut rest = None;
    let mut permit = None;
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    start.extend_from_slice(&data);
                }
            }
            Some(Err(error)) => return Err(TargetFailure::of_answer(&error)),
            None => break,
        }
        if start.len() > MAX_SHORT_ANSWER && permit.is_none() {
            permit = room.acquire().await;
        }
        if start.len() > MAX_BUFFERED_ANSWER {
            rest = Some(body);
            break;
        }
    }
    Ok(TargetAnswer {
        status: parts.status,
        headers: parts.headers,
        start: start.freeze(),
        rest,
        connection,
        _permit: permit,
    })
}
