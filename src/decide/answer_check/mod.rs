//! Whether the bytes that a server sends on an HTTP/1 connection are answers in the protocol, and
//! where each of them ends.
//!
//! The HTTP library reads more than the protocol allows: a body with two lengths, an unknown
//! transfer coding, lines that end with a bare line feed. Other readers take the same bytes for
//! another answer. So every byte is checked here before the library sees it, and only an answer
//! that all readers understand alike passes.

mod body;
mod head;
mod line;

use snafu::Snafu;

use self::body::BodyCheck;
use self::head::HeadCheck;

/// Why bytes are no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum AnswerFault {
    /// The first line is no status line of HTTP/1.0 or HTTP/1.1.
    #[snafu(display("no status line"))]
    StatusLine,
    /// The status is not between 100 and 599, or switches to a protocol that was not asked for.
    #[snafu(display("invalid status"))]
    Status,
    /// A line does not end with CRLF.
    #[snafu(display("a line does not end with CRLF"))]
    LineEnd,
    /// A line of the head or of the trailers is no field.
    #[snafu(display("a line is no field"))]
    Field,
    /// The length of the body is no number, or there are several that differ.
    #[snafu(display("invalid content length"))]
    Length,
    /// A transfer coding other than `chunked` alone.
    #[snafu(display("unsupported transfer coding"))]
    Coding,
    /// The end of the body is stated in more than one way, or for an answer without a body.
    #[snafu(display("contradictory framing"))]
    Framing,
    /// A field that describes the content is said to concern the connection only.
    #[snafu(display("a field of the content is a connection option"))]
    ConnectionOption,
    /// The head or the trailers are longer than [`MAX_HEAD_BYTES`].
    #[snafu(display("head too long"))]
    HeadSize,
    /// More interim answers than [`MAX_INTERIM_ANSWERS`].
    #[snafu(display("too many interim answers"))]
    InterimAnswers,
    /// A chunk has no valid size, or does not end where its size says.
    #[snafu(display("invalid chunk"))]
    Chunk,
    /// Bytes follow the end of an answer.
    #[snafu(display("bytes after the answer"))]
    Excess,
    /// The HTTP library can't read the answer.
    #[snafu(display("unreadable answer"))]
    Unreadable,
    /// The answer belongs to another request, or lacks what a success must have.
    #[snafu(display("not the answer to this request"))]
    Mismatch,
    /// The status promises that the request did not run, which the target does not state.
    #[snafu(display("unfounded promise"))]
    Promise,
}

/// Maximum number of bytes of a head, and of the trailers of a body.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of interim answers (1xx) to one request; a server that sends more never ends.
pub const MAX_INTERIM_ANSWERS: u32 = 16;

impl AnswerFault {
    /// Returns the fault as a metric label.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::StatusLine => "status_line",
            Self::Status => "status",
            Self::LineEnd => "line_end",
            Self::Field => "field",
            Self::Length => "length",
            Self::Coding => "coding",
            Self::Framing => "framing",
            Self::ConnectionOption => "connection_option",
            Self::HeadSize => "head_size",
            Self::InterimAnswers => "interim_answers",
            Self::Chunk => "chunk",
            Self::Excess => "excess",
            Self::Unreadable => "unreadable",
            Self::Mismatch => "mismatch",
            Self::Promise => "promise",
        }
    }
}

/// Checks the answers on one connection, one after the other.
#[derive(Debug, Default)]
pub struct AnswerCheck {
    stage: AnswerStage,
}

#[derive(Debug)]
enum AnswerStage {
    Head(HeadCheck),
    Body(BodyCheck),
}

impl Default for AnswerStage {
    fn default() -> Self {
        Self::Head(HeadCheck::default())
    }
}

impl AnswerCheck {
    /// Starts with the head of the first answer.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Checks the next bytes, up to the end of an answer; `answers_head` tells whether it answers a
    /// `HEAD` request. Returns the number of bytes that were checked, which is less than all if
    /// more follow the answer.
    ///
    /// # Errors
    ///
    /// Returns why the bytes are no answer; the connection must not be used any more.
    pub fn accept(&mut self, bytes: &[u8], answers_head: bool) -> Result<usize, AnswerFault> {
        let mut rest = bytes;
        while !rest.is_empty() {
            if let AnswerStage::Head(head) = &mut self.stage {
                let Some(body) = head.accept(&mut rest, answers_head)? else { break };
                self.stage = AnswerStage::Body(body);
            }
            if let AnswerStage::Body(body) = &mut self.stage {
                body.accept(&mut rest)?;
                if body.is_ended() {
                    self.stage = AnswerStage::default();
                    break;
                }
            }
        }
        Ok(bytes.len() - rest.len())
    }
}
