//! Reading of a request's body, no faster than memory for it becomes free.

use std::time::Duration;

use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::info;
use tokio::time::{Instant, timeout_at};

use crate::base::clock::MicroTime;
use crate::base::consts::SENDER_TIMEOUT;
use crate::base::memory_plan::SMALL_BODY_BYTES;
use crate::base::segments::{SEGMENT_BYTES, SegmentWriter};
use crate::call::body_room::{BodyPermit, BodySize};
use crate::call::call_body::CallBody;
use crate::call::entry::EntryDuty;
use crate::call::headers;
use crate::call::responses::{self, ResponseBody};

/// Retry delay for a request for whose body there was no memory, in milliseconds: the time in
/// which a large body arrives over a fast line.
const NO_ROOM_RETRY_MS: u32 = 1_000;

/// Part of the time until its deadline for which a request waits for memory altogether; in the
/// rest its caller may still be served elsewhere.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Maximum length of a body that counts as part of its connection, in bytes, so that it waits for
/// no memory.
const SHORT_BODY_BYTES: usize = 8 << 10;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyError {
    TooLarge,
    /// The caller sent no valid body.
    Broken,
    /// The caller paused too long, or the deadline passed.
    TooSlow,
    /// There was no memory for the body in time.
    NoRoom,
    /// The body arrived too slowly while others waited for its memory.
    GivenUp,
}

impl BodyError {
    /// Returns the response to the request, none of which has run.
    fn response(self, duty: &EntryDuty) -> Response<ResponseBody> {
        let mut response = match self {
            Self::TooLarge => duty.deny(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
            Self::Broken => responses::not_run(StatusCode::BAD_REQUEST, "body_broken", 0),
            Self::TooSlow => responses::not_run(StatusCode::REQUEST_TIMEOUT, "body_too_slow", 0),
            Self::NoRoom => {
                responses::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_memory", NO_ROOM_RETRY_MS)
            }
            Self::GivenUp => responses::not_run(StatusCode::REQUEST_TIMEOUT, "body_given_up", 0),
        };
        // The rest of the body is not read, so the connection can't be used again.
        responses::set_connection_close(&mut response);
        response
    }
}

/// Reads a request's body of at most `limit` bytes.
///
/// # Errors
///
/// Returns the response to a request whose body is too large, broken or too slow, or for which
/// there is no memory.
pub(super) async fn read_body(
    duty: &EntryDuty,
    body: Incoming,
    request_headers: &HeaderMap,
    limit: usize,
    deadline: MicroTime,
) -> Result<CallBody, Response<ResponseBody>> {
    let length = headers::get_str(request_headers, "content-length");
    let length = length.and_then(|text| text.parse::<usize>().ok());
    let mut reader = BodyReader::open(duty, length, limit, deadline);
    let read = reader.read(body).await;
    read.map_err(|error| {
        if matches!(error, BodyError::NoRoom | BodyError::GivenUp) {
            info!(duty.logger, "body not held"; "reason" => ?error, "length" => length,
                "received" => reader.writer.len(), "memory" => ?duty.body_room.memory_use());
        }
        error.response(duty)
    })
}

/// Reads one body into memory that it takes part by part.
struct BodyReader<'a> {
    duty: &'a EntryDuty,
    /// Length of the body, if the caller stated it.
    length: Option<usize>,
    limit: usize,
    deadline: MicroTime,
    /// Time at which the deadline passes.
    ends_at: Instant,
    /// Time for which the body may still wait for memory.
    wait_left: Duration,
    permit: Option<BodyPermit>,
    writer: SegmentWriter,
}

impl<'a> BodyReader<'a> {
    fn open(duty: &'a EntryDuty, length: Option<usize>, limit: usize, deadline: MicroTime) -> Self {
        let remaining = deadline.since(duty.clock.now()).duration();
        Self {
            duty,
            length,
            limit,
            deadline,
            ends_at: Instant::now() + remaining,
            wait_left: remaining.mul_f64(MAX_WAIT_SHARE),
            permit: None,
            writer: SegmentWriter::default(),
        }
    }

    async fn read(&mut self, mut body: Incoming) -> Result<CallBody, BodyError> {
        if self.length.is_some_and(|length| length > self.limit) {
            return Err(BodyError::TooLarge);
        }
        if self.length.is_some_and(|length| length as u64 > self.duty.body_room.max_length()) {
            return Err(BodyError::NoRoom);
        }
        loop {
            let pause_end = self.ends_at.min(Instant::now() + SENDER_TIMEOUT);
            let given_up = async {
                match &self.permit {
                    Some(permit) => permit.wait_given_up().await,
                    None => std::future::pending().await,
                }
            };
            let frame = tokio::select! {
                frame = timeout_at(pause_end, body.frame()) => frame,
                () = given_up => return Err(BodyError::GivenUp),
            };
            let Some(frame) = frame.map_err(|_elapsed| BodyError::TooSlow)? else { break };
            let frame = frame.map_err(|_broken| BodyError::Broken)?;
            let Ok(data) = frame.into_data() else { continue };
            if self.writer.len() + data.len() > self.limit {
                return Err(BodyError::TooLarge);
            }
            if let Some(permit) = &self.permit {
                permit.note_progress(data.len());
            }
            let mut rest = &*data;
            while !rest.is_empty() {
                if self.writer.is_full() {
                    self.add_segment().await?;
                }
                let written = self.writer.write(rest);
                rest = &rest[written..];
            }
        }
        let segments = std::mem::take(&mut self.writer).finish();
        Ok(CallBody::open(segments, self.permit.take()))
    }

    /// Adds a segment for at least a part of the next bytes once there is memory.
    async fn add_segment(&mut self) -> Result<(), BodyError> {
        let received = self.writer.len();
        if received == 0 && self.length.is_none_or(|length| length <= SHORT_BODY_BYTES) {
            self.writer.add_segment(self.length.unwrap_or(SHORT_BODY_BYTES));
            return Ok(());
        }
        // A body of unknown length counts as small until it is not.
        let outgrown = self.length.is_none() && received >= SMALL_BODY_BYTES;
        let size = match self.length {
            Some(length) => BodySize::of(length),
            None if outgrown => BodySize::Large,
            None => BodySize::Small,
        };
        if self.permit.is_none() || (outgrown && received == SMALL_BODY_BYTES) {
            self.open_permit(size).await?;
        }
        let segment = match self.length {
            // More than the stated length doesn't come: the HTTP library ends the body there.
            Some(length) => SEGMENT_BYTES.min(length.saturating_sub(received)).max(1),
            None => SEGMENT_BYTES.min(self.segment_limit(size).saturating_sub(received)),
        };
        if segment == 0 {
            // The body is longer than any that can be held.
            return Err(BodyError::NoRoom);
        }
        self.take(segment).await?;
        self.writer.add_segment(segment);
        Ok(())
    }

    /// Adds the body to the memory for bodies of its size; what was received so far moves there.
    async fn open_permit(&mut self, size: BodySize) -> Result<(), BodyError> {
        let claim = self.length.unwrap_or_else(|| self.segment_limit(size));
        let room = &self.duty.body_room;
        let permit = room.open_body(size, claim as u64, self.deadline).ok_or(BodyError::NoRoom)?;
        let earlier = self.permit.replace(permit);
        if self.writer.len() > 0 {
            self.take(self.writer.len()).await?;
        }
        drop(earlier);
        Ok(())
    }

    /// Returns the most that a body of unknown length may need.
    fn segment_limit(&self, size: BodySize) -> usize {
        match size {
            BodySize::Small => SMALL_BODY_BYTES,
            BodySize::Large => self.limit.min(self.duty.body_room.max_length() as usize),
        }
    }

    /// Takes memory, for which the body waits as long as it may.
    async fn take(&mut self, bytes: usize) -> Result<(), BodyError> {
        let Some(permit) = &self.permit else { return Err(BodyError::NoRoom) };
        let started_at = Instant::now();
        let taken = permit.take(bytes, started_at + self.wait_left).await;
        self.wait_left = self.wait_left.saturating_sub(started_at.elapsed());
        if taken { Ok(()) } else { Err(BodyError::NoRoom) }
    }
}
