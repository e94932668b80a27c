//! A blocking HTTP/1.1 client, as on the users' platform: one request at a time
//! for each connection.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// First line of a request or response, and its headers by lower-case name.
pub(crate) type Head = (String, HashMap<String, String>);

/// First line of a request or response, and all its header fields in order, with lower-case names.
pub(crate) type HeadFields = (String, Vec<(String, String)>);

/// Longest wait of [`hosted_call`] for data of a response.
const CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A response as the client received it.
#[derive(Clone, Debug)]
pub struct HostedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers by lower-case name.
    pub headers: HashMap<String, String>,
    /// The complete body.
    pub body: Vec<u8>,
    /// Time from the first byte sent to the last one received.
    pub took: Duration,
}

/// Makes one HTTP request on a new connection.
///
/// # Errors
///
/// Fails when the connection breaks, or no data comes for 20 seconds, before the
/// response is complete.
pub fn hosted_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<HostedResponse> {
    HostedConnection::open(address, CLIENT_READ_TIMEOUT)?.call(method, path, headers, body)
}

/// A client's connection, which carries one request at a time.
#[derive(Debug)]
pub struct HostedConnection {
    reader: BufReader<TcpStream>,
}

impl HostedConnection {
    /// Connects; each later read waits at most `read_timeout` for data.
    ///
    /// # Errors
    ///
    /// Fails when nothing listens at the address.
    pub fn open(address: SocketAddr, read_timeout: Duration) -> io::Result<Self> {
        let socket = TcpStream::connect(address)?;
        socket.set_read_timeout(Some(read_timeout))?;
        socket.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(socket) })
    }

    /// Connects as [`Self::open`] does, but gives up after `limit`.
    ///
    /// # Errors
    ///
    /// Fails when nothing listens at the address, or the connection is not open in time.
    pub fn open_within(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let started_at = Instant::now();
        let socket = TcpStream::connect_timeout(&address, limit)?;
        let left = limit.saturating_sub(started_at.elapsed()).max(Duration::from_millis(1));
        socket.set_read_timeout(Some(left))?;
        socket.set_write_timeout(Some(left))?;
        socket.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(socket) })
    }

    /// Sends one request and reads its response.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the response is complete, or when
    /// no data comes within the read timeout.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<HostedResponse> {
        let start = Instant::now();
        let mut lines = vec![format!("{method} {path} HTTP/1.1")];
        lines.extend(headers.iter().map(|(name, value)| format!("{name}: {value}")));
        if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
            lines.push("Host: localhost".to_owned());
        }
        lines.push(format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut request = lines.join("\r\n").into_bytes();
        request.extend_from_slice(body);
        self.reader.get_mut().write_all(&request)?;
        let head = read_head(&mut self.reader)?;
        let (line, headers) = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let length = headers.get("content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        self.reader.read_exact(&mut body)?;
        Ok(HostedResponse { status, headers, body, took: start.elapsed() })
    }
}

/// Reads the first line and the headers; `None` at the end of the stream.
pub(crate) fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let Some((line, fields)) = read_head_fields(reader)? else { return Ok(None) };
    Ok(Some((line, fields.into_iter().collect())))
}

/// Reads the first line and all header fields in their order, with lower-case names; `None` at the
/// end of the stream.
pub(crate) fn read_head_fields(reader: &mut impl BufRead) -> io::Result<Option<HeadFields>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    loop {
        let mut field = String::new();
        reader.read_line(&mut field)?;
        let Some((name, value)) = field.trim_end().split_once(':') else { break };
        fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Some((line.trim_end().to_owned(), fields)))
}
