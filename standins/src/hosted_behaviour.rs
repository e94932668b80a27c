//! Correct and faulty responses of a hosted target.

use std::io::{self, Write};
use std::net::TcpStream;

/// How a hosted target responds to requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostedBehaviour {
    /// It runs the request and sends a correct response.
    Answer,
    /// It runs the request and closes the connection without a response.
    LoseResponse,
    /// It runs the request and responds with the id of another request.
    ForeignRequestId,
    /// It runs the request and responds with a success that lacks its signature.
    Unsigned,
    /// It rejects the request and says that it did not run it.
    Decline,
    /// It rejects the request and says that another target has this address.
    OtherTarget,
    /// It runs the request and closes the connection in the middle of the body.
    Truncate,
    /// It runs the request and sends the response twice.
    DuplicateResponse,
    /// It runs the request and responds with status 500.
    ServerError,
}

/// Writes the response with `extra_headers`, lines that each end with CRLF; returns `false` if the connection is to be closed.
pub(crate) fn respond(
    writer: &mut TcpStream,
    behaviour: &HostedBehaviour,
    id: &str,
    extra_headers: &str,
) -> io::Result<bool> {
    let body = format!("body of {id}");
    let signature = "X-Server-Signature: 3e1b.07\r\n";
    let response = |status: &str, id: &str, header: &str| {
        format!(
            "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\n{header}{extra_headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let correct = response("200 OK", id, signature);
    match behaviour {
        HostedBehaviour::LoseResponse => return Ok(false),
        HostedBehaviour::Answer => writer.write_all(correct.as_bytes())?,
        HostedBehaviour::ForeignRequestId => {
            writer.write_all(response("200 OK", "another", signature).as_bytes())?;
        }
        HostedBehaviour::Unsigned => writer.write_all(response("200 OK", id, "").as_bytes())?,
        HostedBehaviour::ServerError => {
            let failed = response("500 Internal Server Error", id, signature);
            writer.write_all(failed.as_bytes())?;
        }
        HostedBehaviour::Decline => {
            let declined = response("503 Service Unavailable", id, "X-Not-Executed: 1\r\n");
            writer.write_all(declined.as_bytes())?;
        }
        HostedBehaviour::OtherTarget => {
            let other = response("421 Misdirected Request", id, "X-Instance-Id: i-other\r\n");
            writer.write_all(other.as_bytes())?;
        }
        HostedBehaviour::Truncate => {
            writer.write_all(&correct.as_bytes()[..correct.len() - 3])?;
            return Ok(false);
        }
        HostedBehaviour::DuplicateResponse => {
            writer.write_all(correct.as_bytes())?;
            writer.write_all(correct.as_bytes())?;
        }
    }
    Ok(true)
}
