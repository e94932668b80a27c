//! Body of an answer that an entry receives from a guard and sends to a caller.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use h2::RecvStream;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::base::consts::{BODY_STALL_TIMEOUT, DELIVERY_TIMEOUT, MAX_HELD_PAUSE, MAX_SHORT_ANSWER};
use crate::base::h2io;
use crate::call::answer_room::{AnswerPermit, AnswerRoom};
use crate::duty::connections::WriteEnd;

/// A response body that was cut off or does not match the length in its head.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ResponseBodyError(&'static str);

impl std::fmt::Display for ResponseBodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for ResponseBodyError {}

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerEnd {
    /// All of it was received and handed to the caller's connection.
    Complete,
    /// It was not complete in time.
    Late,
    /// The guard reset it, or its length is not the one in its head.
    Broken,
    /// The caller read it too slowly.
    Unread,
    /// The caller closed the connection.
    Abandoned,
    /// None of it was passed on, since another answer is.
    Unused,
}

impl AnswerEnd {
    /// Returns the reason as a metric label.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Late => "late",
            Self::Broken => "broken",
            Self::Unread => "unread",
            Self::Abandoned => "abandoned",
            Self::Unused => "unused",
        }
    }
}

/// Limit on the time for which a caller may leave its answer unread, for one connection.
#[derive(Debug, Default)]
pub(crate) struct UnreadLimit {
    /// Time at which the present answer must have been read; `None` between answers.
    ends_at: Cell<Option<Instant>>,
}

impl UnreadLimit {
    /// Starts a new request on the connection.
    pub(crate) fn reset(&self) {
        self.ends_at.set(None);
    }

    /// Returns the end of blocked writes on the connection.
    pub(crate) fn write_end(self: &Rc<Self>, room: &Rc<AnswerRoom>) -> WriteEnd {
        let (limit, room) = (Rc::clone(self), Rc::clone(room));
        Box::new(move |since| {
            let end = limit.ends_at.get().unwrap_or(since + BODY_STALL_TIMEOUT);
            if room.is_short() { end.min(since + MAX_HELD_PAUSE) } else { end }
        })
    }
}

/// Limits on the answer to one call.
pub(crate) struct AnswerLimits {
    /// Time by which the answer must be complete.
    pub(crate) ends_at: Instant,
    /// Memory for long answers.
    pub(crate) room: Rc<AnswerRoom>,
}

/// A body that is streamed from a guard and checked against the length in its head, if known.
pub(crate) struct GuardBody {
    /// Bytes that were read together with the head.
    buffered: Bytes,
    stream: RecvStream,
    /// Number of bytes still to come, if the length is known.
    remaining: Option<u64>,
    limits: AnswerLimits,
    /// Wakes the connection at the end of the answer's time; set once it waits for bytes.
    timer: Option<Pin<Box<Sleep>>>,
    memory: AnswerMemory,
    unread: Option<Rc<UnreadLimit>>,
    /// Called once when the body ends or is dropped.
    on_end: Option<Box<dyn FnOnce(AnswerEnd)>>,
}

/// Memory of a long answer.
enum AnswerMemory {
    /// The answer is short.
    NotNeeded,
    Awaited(LocalBoxFuture<'static, Option<AnswerPermit>>),
    Held {
        _permit: Option<AnswerPermit>,
    },
}

impl GuardBody {
    /// Creates a body of `length` bytes, if that is known, beginning with `buffered`.
    pub(crate) fn open(
        buffered: Bytes,
        stream: RecvStream,
        length: Option<u64>,
        limits: AnswerLimits,
        on_end: Box<dyn FnOnce(AnswerEnd)>,
    ) -> Self {
        let is_short = length.is_some_and(|length| length <= MAX_SHORT_ANSWER as u64);
        let memory = if is_short {
            AnswerMemory::NotNeeded
        } else {
            let room = Rc::clone(&limits.room);
            AnswerMemory::Awaited(Box::pin(async move { room.acquire().await }))
        };
        Self {
            buffered,
            stream,
            remaining: length,
            limits,
            timer: None,
            memory,
            unread: None,
            on_end: Some(on_end),
        }
    }

    /// Returns the number of bytes still to come, if the length is known.
    pub(crate) const fn remaining(&self) -> Option<u64> {
        self.remaining
    }

    /// Limits the time for which the caller may leave the answer unread.
    pub(crate) fn limit_unread(&mut self, unread: &Rc<UnreadLimit>) {
        unread.ends_at.set(Some(self.limits.ends_at));
        self.unread = Some(Rc::clone(unread));
    }

    /// Polls for the next chunk of the body; `None` if the body ended at its expected length.
    pub(crate) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ResponseBodyError>>> {
        // What is here as a whole is delivered, also late.
        let is_whole = self.remaining == Some(self.buffered.len() as u64);
        if !is_whole && Instant::now() >= self.limits.ends_at {
            return self.fail(AnswerEnd::Late, "response body is not complete in time");
        }
        if let AnswerMemory::Awaited(permit) = &mut self.memory {
            let Poll::Ready(permit) = permit.as_mut().poll(cx) else { return self.wait(cx) };
            self.memory = AnswerMemory::Held { _permit: permit };
        }
        if !self.buffered.is_empty() {
            let chunk = std::mem::take(&mut self.buffered);
            return Poll::Ready(Some(self.check_length(chunk)));
        }
        let Poll::Ready(next) = self.stream.poll_data(cx) else { return self.wait(cx) };
        match next {
            Some(Ok(chunk)) => {
                h2io::release(&mut self.stream, chunk.len());
                Poll::Ready(Some(self.check_length(chunk)))
            }
            Some(Err(_reset)) => self.fail(AnswerEnd::Broken, "response body was cut off"),
            None if self.remaining.is_some_and(|remaining| remaining > 0) => {
                self.fail(AnswerEnd::Broken, "response body is shorter than its length")
            }
            None => {
                self.end(AnswerEnd::Complete);
                Poll::Ready(None)
            }
        }
    }

    /// Waits for more of the body until the end of its time.
    fn wait(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, ResponseBodyError>>> {
        let ends_at = self.limits.ends_at;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(ends_at)));
        ready!(timer.as_mut().poll(cx));
        self.fail(AnswerEnd::Late, "response body is not complete in time")
    }

    fn fail(
        &mut self,
        end: AnswerEnd,
        text: &'static str,
    ) -> Poll<Option<Result<Bytes, ResponseBodyError>>> {
        self.end(end);
        Poll::Ready(Some(Err(ResponseBodyError(text))))
    }

    fn check_length(&mut self, chunk: Bytes) -> Result<Bytes, ResponseBodyError> {
        if let Some(remaining) = &mut self.remaining {
            let Some(left) = remaining.checked_sub(chunk.len() as u64) else {
                self.end(AnswerEnd::Broken);
                return Err(ResponseBodyError("response body is longer than its length"));
            };
            *remaining = left;
        }
        Ok(chunk)
    }

    fn end(&mut self, end: AnswerEnd) {
        if end == AnswerEnd::Complete
            && let Some(unread) = &self.unread
        {
            unread.ends_at.set(Some(Instant::now() + DELIVERY_TIMEOUT));
        }
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }
}

impl Drop for GuardBody {
    fn drop(&mut self) {
        let given_up = Instant::now() >= self.limits.ends_at || self.limits.room.is_short();
        self.end(match &self.unread {
            None => AnswerEnd::Unused,
            Some(_) if given_up => AnswerEnd::Unread,
            Some(_) => AnswerEnd::Abandoned,
        });
    }
}
