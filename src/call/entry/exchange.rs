//! Sends a call to a guard and receives the head of the guard's answer, on one HTTP/2 stream.
//!
//! A guard runs a call only once it has the last byte of it, so a call whose last byte was not
//! handed to the connection did not run.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use futures::future::{Either, select};
use h2::Reason;
use h2::client::{ResponseFuture, SendRequest};
use http::Request;
use tokio::time::{Instant, timeout_at};

use crate::base::call_status::CallStatus;
use crate::base::clock::MicroTime;
use crate::base::h2io::{self, HeadReader, StreamError};
use crate::base::ids::CallId;
use crate::base::wire::{AnswerHead, CallHead, RevokeHead, RevokeReply};
use crate::call::call_body::CallBody;
use crate::call::entry::EntryDuty;
use crate::call::entry::pool::GuardConnection;

/// Maximum size of a body that is sent together with its head, in bytes.
///
/// To announce a body costs a round trip and spares its bytes if the call is refused. A body up
/// to this size reaches the guard together with its head, in the first ten segments that TCP
/// sends without an acknowledgement; a larger one needs more round trips by itself.
const MAX_INLINE_BODY: usize = 14 << 10;

/// Maximum wait for a guard's reply to a revocation.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(500);

/// The guard did not receive the whole call, so the call does not run.
#[derive(Debug)]
pub(super) struct NotSent;

/// A call that was sent to a guard.
pub(super) enum SentCall {
    /// The whole call was sent, and the guard may run it.
    Complete(PendingAnswer),
    /// The guard refused the call before it had the whole of it.
    Refused(AnswerHead, HeadReader),
}

/// An answer that is still to be read.
pub(super) enum PendingAnswer {
    /// The guard has not responded yet.
    Response(ResponseFuture),
    /// The guard has responded to the head of the call.
    Stream(HeadReader),
}

/// Why there is no answer to a call that was sent as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerFailure {
    /// The guard discarded the call before it had read it.
    NotRun,
    /// The connection broke; the call may have run.
    Lost,
}

/// Returns whether a body is sent only after the guard asks for it.
pub(super) const fn body_follows(body: &CallBody) -> bool {
    body.len() > MAX_INLINE_BODY
}

/// Sends a call. If the result is dropped before it is ready, the guard does not get the last
/// byte.
pub(super) async fn send(
    mut sender: SendRequest<Bytes>,
    head: &CallHead,
    body: &CallBody,
) -> Result<SentCall, NotSent> {
    let inline_body = if head.body_follows { &[] } else { body.segments() };
    let framed = h2io::encode_frame_with_body(head, inline_body).map_err(|_too_long| NotSent)?;
    let request = Request::post("http://guard/call").body(()).map_err(|_never| NotSent)?;
    let sent = sender.send_request(request, false).map_err(|_closed| NotSent);
    let (response, mut stream) = sent?;
    let first_sent = h2io::send_all(&mut stream, framed, !head.body_follows).await;
    first_sent.map_err(|_broken| NotSent)?;
    if !head.body_follows {
        return Ok(SentCall::Complete(PendingAnswer::Response(response)));
    }
    let response = response.await.map_err(|_broken| NotSent)?;
    let mut reader = HeadReader::open(response.into_body());
    match reader.head().await.map_err(|_broken| NotSent)? {
        AnswerHead::SendBody { call } if call == head.call => {}
        answer if is_refusal_of(head.call, &answer) => {
            return Ok(SentCall::Refused(answer, reader));
        }
        _ => return Err(NotSent),
    }
    // A guard that stops meanwhile refuses the call without the rest of its body.
    let early_answer = {
        let sending = pin!(h2io::send_segments(&mut stream, body.segments()));
        match select(sending, pin!(reader.head())).await {
            Either::Left((Ok(()), _reading)) => None,
            Either::Left((Err(_broken), reading)) => Some(reading.await),
            Either::Right((answer, _sending)) => Some(answer),
        }
    };
    match early_answer {
        None => Ok(SentCall::Complete(PendingAnswer::Stream(reader))),
        Some(Ok(answer)) if is_refusal_of(head.call, &answer) => {
            Ok(SentCall::Refused(answer, reader))
        }
        Some(_) => Err(NotSent),
    }
}

fn is_refusal_of(attempt: CallId, answer: &AnswerHead) -> bool {
    matches!(answer, AnswerHead::Refused { call, .. } if *call == attempt)
}

impl PendingAnswer {
    /// Reads the head of the answer.
    pub(super) async fn read(self) -> Result<(AnswerHead, HeadReader), AnswerFailure> {
        let mut reader = match self {
            Self::Response(response) => {
                let response = response.await.map_err(|error| classify_failure(&error))?;
                HeadReader::open(response.into_body())
            }
            Self::Stream(reader) => reader,
        };
        match reader.head().await {
            Ok(head) => Ok((head, reader)),
            Err(StreamError::Broken { source }) => Err(classify_failure(&source)),
            Err(_) => Err(AnswerFailure::Lost),
        }
    }
}

/// Returns what the failure of a stream implies for the call that was sent on it.
///
/// By the protocol, a stream that was refused, or whose number is above the last one that the
/// guard states when it closes the connection, was not processed.
fn classify_failure(error: &h2::Error) -> AnswerFailure {
    let is_refused = error.is_reset() && error.reason() == Some(Reason::REFUSED_STREAM);
    if error.is_remote() && (is_refused || error.is_go_away()) {
        AnswerFailure::NotRun
    } else {
        AnswerFailure::Lost
    }
}

/// Asks a guard to ensure that a call never runs; returns the call's status, or `None` if
/// the guard does not reply in time. A connection on which it does not reply is not used again.
pub(crate) async fn revoke(
    duty: &EntryDuty,
    guard: SocketAddr,
    head: RevokeHead,
    deadline: MicroTime,
) -> Option<CallStatus> {
    let incarnation = head.incarnation;
    let reply_timeout = deadline.since(duty.clock.now()).duration().min(REVOKE_TIMEOUT);
    let reply_by = Instant::now() + reply_timeout;
    let connecting = duty.pool.connect(guard, incarnation);
    let connection = timeout_at(reply_by, connecting).await.ok()??;
    let number = connection.number;
    let status = request_revocation(connection, head);
    let status = timeout_at(reply_by, status).await.ok().flatten();
    if status.is_none() {
        duty.pool.remove(guard, incarnation, number);
    }
    status
}

async fn request_revocation(connection: GuardConnection, head: RevokeHead) -> Option<CallStatus> {
    let mut reader = connection.request("/revoke", &head).await?;
    let reply: RevokeReply = reader.head().await.ok()?;
    Some(reply.status)
}
