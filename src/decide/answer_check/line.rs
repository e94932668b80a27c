//! Lines of a head, and the fields in them.

use super::AnswerFault;

/// Capacity that is kept from one line to the next, in bytes.
const KEPT_CAPACITY: usize = 512;

/// A line that may arrive in parts.
#[derive(Debug, Default)]
pub(super) struct LineBuffer {
    bytes: Vec<u8>,
}

impl LineBuffer {
    /// Moves bytes up to the end of the line from `input`; returns whether the line is complete.
    ///
    /// `max_bytes` is the maximum length of the line with its end; `too_long` is returned beyond.
    pub(super) fn fill(
        &mut self,
        input: &mut &[u8],
        max_bytes: usize,
        too_long: AnswerFault,
    ) -> Result<bool, AnswerFault> {
        let end = input.iter().position(|byte| *byte == b'\n');
        let (part, rest) = input.split_at(end.map_or(input.len(), |index| index + 1));
        *input = rest;
        if self.bytes.len() + part.len() > max_bytes {
            return Err(too_long);
        }
        self.bytes.extend_from_slice(part);
        if end.is_none() {
            return Ok(false);
        }
        if !self.bytes.ends_with(b"\r\n") {
            return Err(AnswerFault::LineEnd);
        }
        Ok(true)
    }

    /// Returns the complete line without its end.
    pub(super) fn line(&self) -> &[u8] {
        self.bytes.strip_suffix(b"\r\n").unwrap_or(&self.bytes)
    }

    /// Returns the number of bytes of the line so far, with its end.
    pub(super) const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Begins the next line.
    pub(super) fn clear(&mut self) {
        self.bytes.clear();
        self.bytes.shrink_to(KEPT_CAPACITY);
    }
}

/// Splits a line into the name and the trimmed value of a field (RFC 9112, section 5).
pub(super) fn parse_field(line: &[u8]) -> Result<(&[u8], &[u8]), AnswerFault> {
    let colon = line.iter().position(|byte| *byte == b':').ok_or(AnswerFault::Field)?;
    let (name, value) = (&line[..colon], trim_blanks(&line[colon + 1..]));
    let is_field = !name.is_empty() && name.iter().copied().all(is_token_byte) && is_text(value);
    is_field.then_some((name, value)).ok_or(AnswerFault::Field)
}

/// Returns whether bytes may be in a field's value or a reason phrase: no control bytes but tabs.
pub(super) fn is_text(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == b'\t' || (*byte >= b' ' && *byte != 0x7f))
}

/// Returns whether a byte may be in a field's name.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Removes spaces and tabs at both ends.
pub(super) fn trim_blanks(bytes: &[u8]) -> &[u8] {
    let is_blank = |byte: &u8| matches!(byte, b' ' | b'\t');
    let start = bytes.iter().position(|byte| !is_blank(byte)).unwrap_or(bytes.len());
    let end = bytes.iter().rposition(|byte| !is_blank(byte)).map_or(start, |index| index + 1);
    &bytes[start..end]
}
