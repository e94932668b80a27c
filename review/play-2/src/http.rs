//! Minimal HTTP/1.1 for the stand-ins: messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads one message; `None` if the peer closed the connection before it.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { line: line.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the head is cut off"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size)? == 0 {
                return Err(broken("the body is cut off"));
            }
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| broken("no size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| broken("no length"))?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes a request or a response with its length.
pub fn write_message(
    writer: &mut impl Write,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{line}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes)
}

/// Writes a message whose body takes its time, at a rate in bytes a second. Breaks off at the
/// deadline.
pub fn write_paced(
    writer: &mut impl Write,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    rate: usize,
    deadline: Instant,
) -> io::Result<()> {
    let mut head = format!("{line}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    writer.write_all(format!("{head}Content-Length: {}\r\n\r\n", body.len()).as_bytes())?;
    let started_at = Instant::now();
    let mut sent = 0;
    for part in body.chunks(16 << 10) {
        let due = started_at + Duration::from_secs_f64(sent as f64 / rate as f64);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if Instant::now() >= deadline {
            return Err(io::Error::from(io::ErrorKind::TimedOut));
        }
        writer.write_all(part)?;
        sent += part.len();
    }
    Ok(())
}

/// A client connection.
pub struct Connection {
    socket: TcpStream,
    reader: BufReader<TcpStream>,
}

/// End of a request at the client.
#[derive(Debug)]
pub enum Answer {
    Whole(Message),
    /// The connection ended without a complete answer; `sent` if the request was written.
    Closed {
        sent: bool,
    },
    TimedOut,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let socket = TcpStream::connect_timeout(&address, timeout)?;
        socket.set_nodelay(true)?;
        let reader = BufReader::new(socket.try_clone()?);
        Ok(Self { socket, reader })
    }

    pub fn call(
        &mut self,
        line: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: Duration,
    ) -> Answer {
        self.call_paced(line, headers, body, None, timeout)
    }

    /// Makes a request whose body is sent at a rate, in bytes a second, as over a line of that
    /// speed.
    pub fn call_paced(
        &mut self,
        line: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        rate: Option<usize>,
        timeout: Duration,
    ) -> Answer {
        let limits = self
            .socket
            .set_read_timeout(Some(timeout))
            .and_then(|()| self.socket.set_write_timeout(Some(timeout)));
        let written = limits.and_then(|()| match rate {
            None => write_message(&mut self.socket, line, headers, body),
            Some(rate) => {
                write_paced(&mut self.socket, line, headers, body, rate, Instant::now() + timeout)
            }
        });
        if written.is_err() {
            return Answer::Closed { sent: false };
        }
        match read_message(&mut self.reader) {
            Ok(Some(message)) => Answer::Whole(message),
            Ok(None) => Answer::Closed { sent: true },
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Answer::TimedOut,
                _ => Answer::Closed { sent: true },
            },
        }
    }
}

/// Makes one request on a connection of its own.
pub fn call_once(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Answer {
    match Connection::open(address, timeout) {
        Ok(mut connection) => connection.call(line, headers, body, timeout),
        Err(_) => Answer::Closed { sent: false },
    }
}

/// Serves each connection of a listener on a thread of its own.
pub fn serve(listener: TcpListener, serve_one: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let serve_one = serve_one.clone();
            std::thread::spawn(move || serve_one(socket));
        }
    });
}
