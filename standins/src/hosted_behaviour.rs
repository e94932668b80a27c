//! How a hosted target answers, rightly or wrongly.

use std::io::{self, Write};
use std::net::TcpStream;

/// How a hosted target answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostedBehaviour {
    /// As it should.
    Answer,
    /// It runs the request and closes the connection.
    LoseResponse,
    /// It runs the request and answers under another request's id.
    ForeignRequestId,
    /// It answers a success without its signature.
    Unsigned,
    /// It says that it did not run the request.
    Decline,
    /// It says that another target has this address.
    OtherTarget,
    /// It breaks off in the middle of the body.
    Truncate,
    /// It sends a second answer behind the first.
    DuplicateResponse,
    /// It runs the request and answers with a server error.
    ServerError,
}

/// Writes the answer; `false` if the connection ends with it.
pub(crate) fn answer(writer: &mut TcpStream, mood: &HostedBehaviour, id: &str) -> io::Result<bool> {
    let body = format!("body of {id}");
    let signature = "X-Server-Signature: 3e1b.07\r\n";
    let whole = |status: &str, id: &str, extra: &str| {
        format!(
            "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let good = whole("200 OK", id, signature);
    match mood {
        HostedBehaviour::LoseResponse => return Ok(false),
        HostedBehaviour::Answer => writer.write_all(good.as_bytes())?,
        HostedBehaviour::ForeignRequestId => {
            writer.write_all(whole("200 OK", "another", signature).as_bytes())?;
        }
        HostedBehaviour::Unsigned => writer.write_all(whole("200 OK", id, "").as_bytes())?,
        HostedBehaviour::ServerError => {
            let failed = whole("500 Internal Server Error", id, signature);
            writer.write_all(failed.as_bytes())?;
        }
        HostedBehaviour::Decline => {
            let declined = whole("503 Service Unavailable", id, "X-Not-Executed: 1\r\n");
            writer.write_all(declined.as_bytes())?;
        }
        HostedBehaviour::OtherTarget => {
            let other = whole("421 Misdirected Request", id, "X-Instance-Id: i-other\r\n");
            writer.write_all(other.as_bytes())?;
        }
        HostedBehaviour::Truncate => {
            writer.write_all(&good.as_bytes()[..good.len() - 3])?;
            return Ok(false);
        }
        HostedBehaviour::DuplicateResponse => {
            writer.write_all(good.as_bytes())?;
            writer.write_all(good.as_bytes())?;
        }
    }
    Ok(true)
}
