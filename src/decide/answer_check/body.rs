//! Bodies of answers, by the rule that says where they end.

use super::line::{LineBuffer, is_text, parse_field, trim_blanks};
use super::{AnswerFault, MAX_HEAD_BYTES};

/// Maximum number of bytes of the line with a chunk's size, with its extensions.
const MAX_CHUNK_LINE_BYTES: usize = 16 << 10;

/// What is left of a body.
#[derive(Debug)]
pub(super) enum BodyCheck {
    /// This number of bytes.
    Sized(u64),
    /// Chunks.
    Chunked(ChunkCheck),
    /// All bytes up to the close of the connection.
    UntilClose,
}

/// Chunks of a body as far as they have arrived.
#[derive(Debug)]
pub(super) struct ChunkCheck {
    line: LineBuffer,
    part: ChunkPart,
}

/// The part of the chunks that comes next.
#[derive(Debug, PartialEq, Eq)]
enum ChunkPart {
    /// The line with the size of a chunk.
    Size,
    /// This number of bytes of a chunk.
    Data(u64),
    /// The line end after a chunk.
    DataEnd,
    /// Trailers, of which this number of bytes has arrived in complete lines.
    Trailers(usize),
    Ended,
}

impl BodyCheck {
    /// Creates a body with a known length in bytes.
    pub(super) const fn sized(length: u64) -> Self {
        Self::Sized(length)
    }

    /// Creates a body in chunks.
    pub(super) fn chunked() -> Self {
        Self::Chunked(ChunkCheck { line: LineBuffer::default(), part: ChunkPart::Size })
    }

    pub(super) fn is_ended(&self) -> bool {
        match self {
            Self::Sized(left) => *left == 0,
            Self::Chunked(chunks) => chunks.part == ChunkPart::Ended,
            Self::UntilClose => false,
        }
    }

    /// Checks bytes up to the end of the body.
    pub(super) fn accept(&mut self, input: &mut &[u8]) -> Result<(), AnswerFault> {
        match self {
            Self::Sized(left) => skip(left, input),
            Self::Chunked(chunks) => chunks.accept(input)?,
            Self::UntilClose => *input = &[],
        }
        Ok(())
    }
}

impl ChunkCheck {
    fn accept(&mut self, input: &mut &[u8]) -> Result<(), AnswerFault> {
        while !input.is_empty() && self.part != ChunkPart::Ended {
            if let ChunkPart::Data(left) = &mut self.part {
                skip(left, input);
                if *left == 0 {
                    self.part = ChunkPart::DataEnd;
                }
                continue;
            }
            let (max_bytes, too_long) = match self.part {
                ChunkPart::DataEnd => (b"\r\n".len(), AnswerFault::Chunk),
                ChunkPart::Trailers(so_far) => (MAX_HEAD_BYTES - so_far, AnswerFault::HeadSize),
                _ => (MAX_CHUNK_LINE_BYTES, AnswerFault::Chunk),
            };
            if self.line.fill(input, max_bytes, too_long)? {
                self.part = self.next_part()?;
                self.line.clear();
            }
        }
        Ok(())
    }

    /// Returns the part that follows a complete line.
    fn next_part(&self) -> Result<ChunkPart, AnswerFault> {
        let line = self.line.line();
        Ok(match self.part {
            ChunkPart::Trailers(_) if line.is_empty() => ChunkPart::Ended,
            ChunkPart::Trailers(so_far) => {
                parse_field(line)?;
                ChunkPart::Trailers(so_far + self.line.len())
            }
            ChunkPart::DataEnd if line.is_empty() => ChunkPart::Size,
            ChunkPart::DataEnd => return Err(AnswerFault::Chunk),
            _ => match parse_size(line)? {
                0 => ChunkPart::Trailers(0),
                size => ChunkPart::Data(size),
            },
        })
    }
}

/// Removes as many of the `left` bytes from `input` as it has.
fn skip(left: &mut u64, input: &mut &[u8]) {
    let skipped = usize::try_from(*left).map_or(input.len(), |left| left.min(input.len()));
    *left -= skipped as u64;
    *input = &input[skipped..];
}

/// Parses the line with a chunk's size (RFC 9112, section 7.1).
fn parse_size(line: &[u8]) -> Result<u64, AnswerFault> {
    let end = line.iter().position(|byte| *byte == b';').unwrap_or(line.len());
    let (size, extensions) = line.split_at(end);
    if size.first().is_none_or(|byte| !byte.is_ascii_hexdigit()) || !is_text(extensions) {
        return Err(AnswerFault::Chunk);
    }
    trim_blanks(size).iter().try_fold(0, |size: u64, byte| {
        let digit = char::from(*byte).to_digit(16).ok_or(AnswerFault::Chunk)?;
        let shifted = size.checked_mul(16).ok_or(AnswerFault::Chunk)?;
        Ok(shifted | u64::from(digit))
    })
}
