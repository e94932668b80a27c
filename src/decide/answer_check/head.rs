//! Heads of answers, interim ones among them.

use super::body::BodyCheck;
use super::line::{LineBuffer, is_text, parse_field, trim_blanks};
use super::{AnswerFault, MAX_HEAD_BYTES, MAX_INTERIM_ANSWERS};

/// The head of an answer as far as it has arrived, with the interim answers before it.
#[derive(Debug, Default)]
pub(super) struct HeadCheck {
    line: LineBuffer,
    /// Number of bytes of the complete lines.
    line_bytes: usize,
    interim_answers: u32,
    /// What the complete lines say; `None` before the status line.
    parsed: Option<ParsedHead>,
}

/// What a head says of the end of its answer.
#[derive(Debug)]
struct ParsedHead {
    status: u16,
    is_http_10: bool,
    length: Option<u64>,
    chunked: bool,
}

impl HeadCheck {
    /// Checks bytes up to the end of the head; returns how its body ends once it is complete.
    pub(super) fn accept(
        &mut self,
        input: &mut &[u8],
        answers_head: bool,
    ) -> Result<Option<BodyCheck>, AnswerFault> {
        while !input.is_empty() {
            let max_bytes = MAX_HEAD_BYTES - self.line_bytes;
            if !self.line.fill(input, max_bytes, AnswerFault::HeadSize)? {
                return Ok(None);
            }
            self.line_bytes += self.line.len();
            let line = self.line.line();
            match &mut self.parsed {
                None => self.parsed = Some(parse_status_line(line)?),
                Some(parsed) if line.is_empty() => {
                    let body = parsed.body(answers_head)?;
                    if body.is_some() {
                        return Ok(body);
                    }
                    self.interim_answers += 1;
                    if self.interim_answers > MAX_INTERIM_ANSWERS {
                        return Err(AnswerFault::InterimAnswers);
                    }
                    self.parsed = None;
                    self.line_bytes = 0;
                }
                Some(parsed) => parsed.add_field(line)?,
            }
            self.line.clear();
        }
        Ok(None)
    }
}

impl ParsedHead {
    fn add_field(&mut self, line: &[u8]) -> Result<(), AnswerFault> {
        let (name, value) = parse_field(line)?;
        if name.eq_ignore_ascii_case(b"content-length") {
            for text in value.split(|byte| *byte == b',') {
                let length = parse_length(trim_blanks(text))?;
                if self.length.is_some_and(|earlier| earlier != length) {
                    return Err(AnswerFault::Length);
                }
                self.length = Some(length);
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            // No other coding was asked for, and no other one can be undone here.
            if self.chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(AnswerFault::Coding);
            }
            self.chunked = true;
        } else if name.eq_ignore_ascii_case(b"connection") {
            let mut options = value.split(|byte| *byte == b',').map(trim_blanks);
            if options.any(describes_content) {
                return Err(AnswerFault::ConnectionOption);
            }
        }
        Ok(())
    }

    /// Returns how the body ends, by exactly one rule (RFC 9112, section 6.3); `None` if this is
    /// the head of an interim answer.
    fn body(&self, answers_head: bool) -> Result<Option<BodyCheck>, AnswerFault> {
        let is_interim = self.status < 200;
        let is_ambiguous = self.chunked && (self.length.is_some() || self.is_http_10);
        let is_bodiless = is_interim || self.status == 204;
        let states_body = self.chunked || self.length.is_some_and(|length| length > 0);
        if is_ambiguous || (is_bodiless && states_body) {
            return Err(AnswerFault::Framing);
        }
        if is_interim {
            return Ok(None);
        }
        let body = match self.length {
            _ if is_bodiless || answers_head || self.status == 304 => BodyCheck::sized(0),
            _ if self.chunked => BodyCheck::chunked(),
            Some(length) => BodyCheck::sized(length),
            None => BodyCheck::UntilClose,
        };
        Ok(Some(body))
    }
}

/// Parses a status line; its reason phrase, and the space before that, may be missing.
fn parse_status_line(line: &[u8]) -> Result<ParsedHead, AnswerFault> {
    let (is_http_10, rest) = match line.split_at_checked(b"HTTP/1.1 ".len()) {
        Some((b"HTTP/1.0 ", rest)) => (true, rest),
        Some((b"HTTP/1.1 ", rest)) => (false, rest),
        _ => return Err(AnswerFault::StatusLine),
    };
    let (code, reason) = rest.split_at_checked(3).ok_or(AnswerFault::StatusLine)?;
    let is_code = code.iter().all(u8::is_ascii_digit);
    let is_reason = reason.is_empty() || (reason[0] == b' ' && is_text(reason));
    if !is_code || !is_reason {
        return Err(AnswerFault::StatusLine);
    }
    let status = code.iter().fold(0, |status, digit| status * 10 + u16::from(digit - b'0'));
    // No request asks for a switch of protocols.
    if !(100..=599).contains(&status) || status == 101 {
        return Err(AnswerFault::Status);
    }
    Ok(ParsedHead { status, is_http_10, length: None, chunked: false })
}

fn parse_length(text: &[u8]) -> Result<u64, AnswerFault> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return Err(AnswerFault::Length);
    }
    let digits = std::str::from_utf8(text).map_err(|_not_text| AnswerFault::Length)?;
    digits.parse().map_err(|_too_large| AnswerFault::Length)
}

/// Returns whether a connection option is the name of a field that describes the content.
fn describes_content(option: &[u8]) -> bool {
    const PREFIX: &[u8] = b"content-";
    option.get(..PREFIX.len()).is_some_and(|start| start.eq_ignore_ascii_case(PREFIX))
}
