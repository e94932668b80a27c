//! One call to a target: the request it gets, and whether its answer is one.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::base::consts::MAX_BUFFERED_ANSWER;
use crate::base::wire::CallHead;
use crate::call::guard::target_pool::{BusyConnection, TargetFailure};
use crate::call::headers::{self, HeaderNames};

/// Parts of a load header: running, waiting, slots, slowness in percent.
const LOAD_PARTS: usize = 4;

/// An answer of a target, read as far as its start was short.
pub(crate) struct TargetAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// What was read so far; all of it if `rest` is nothing.
    pub(crate) start: Bytes,
    pub(crate) rest: Option<Incoming>,
    pub(crate) connection: BusyConnection,
}

/// What a target's answer means for the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerMeaning {
    /// The target ran the call and answers it.
    Answer,
    /// The target did not run the call, as it says itself.
    NotRun,
    /// Another target has this address; it did not run the call.
    OtherTarget,
    /// Not an answer to this call.
    Foreign,
}

/// Makes the request that a target gets.
pub(crate) fn make_request(
    head: &CallHead,
    body: Bytes,
    address: SocketAddr,
    left_ms: u32,
    names: &HeaderNames,
) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(head.method.as_str())
        .uri(head.path.as_str())
        .header(names.deadline_ms, left_ms);
    if let Some(name) = names.expected_target {
        builder = builder.header(name, head.target.as_str());
    }
    if names.call_facts {
        builder = builder
            .header(headers::CALL, head.call.to_string())
            .header(headers::ACCOUNT, head.account.as_str())
            .header(headers::WORTH, u16::from(head.priority.worth))
            .header(headers::URGENT, u16::from(head.priority.urgent));
    }
    if !names.keeps_host {
        builder = builder.header(http::header::HOST, address.to_string());
    }
    for (name, value) in &head.headers {
        builder = builder.header(name.as_str(), value.as_slice());
    }
    builder.body(Full::new(body)).ok()
}

/// Tells what an answer's head means for the call.
pub(crate) fn meaning(
    head: &CallHead,
    status: StatusCode,
    answer: &HeaderMap,
    names: &HeaderNames,
) -> AnswerMeaning {
    let id = names.request_id.and_then(|name| headers::find(&head.headers, name));
    let echo = names.request_id.and_then(|name| headers::text(answer, name));
    if id.is_some() && echo.is_some() && id != echo {
        return AnswerMeaning::Foreign;
    }
    if names.expected_target.is_some() && status == StatusCode::MISDIRECTED_REQUEST {
        return AnswerMeaning::OtherTarget;
    }
    if names.not_executed.is_some_and(|name| answer.contains_key(name)) {
        return AnswerMeaning::NotRun;
    }
    let signed = names.signature.is_none_or(|name| answer.contains_key(name));
    if status.is_success() && !(signed && echo == id) {
        return AnswerMeaning::Foreign;
    }
    AnswerMeaning::Answer
}

/// Reads how long work takes at the target now, in percent of the usual.
pub(crate) fn slowness(answer: &HeaderMap, names: &HeaderNames) -> Option<u16> {
    let text = headers::text(answer, names.load?)?;
    text.split(',').nth(LOAD_PARTS - 1)?.trim().parse().ok()
}

/// Reads how many calls the target runs at once.
pub(crate) fn slots(answer: &HeaderMap, names: &HeaderNames) -> Option<u16> {
    let text = headers::text(answer, names.load?)?;
    text.split(',').nth(LOAD_PARTS - 2)?.trim().parse().ok()
}

/// Reads the start of an answer, so that a short one is known to be whole.
pub(crate) async fn read_start(
    response: Response<Incoming>,
    connection: BusyConnection,
) -> Result<TargetAnswer, TargetFailure> {
    let (parts, mut body) = response.into_parts();
    let mut start = BytesMut::new();
    let mut rest = None;
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    start.extend_from_slice(&data);
                }
            }
            Some(Err(_broken)) => return Err(TargetFailure::Broken),
            None => break,
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
    })
}
