//! The protocol between entries and guards, spoken by a test itself on either side.

use std::net::SocketAddr;

use bytes::{Buf, Bytes, BytesMut};
use h2::client::ResponseFuture;
use h2::{RecvStream, SendStream};
use railspan::{
    CallHead, CallId, CallOrigin, CallPriority, DaemonIncarnation, RequestDigest, SuspectRecord,
    decode, encode,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a message head as it is sent on a stream.
pub fn frame<T: Serialize>(head: &T) -> Bytes {
    let encoded = encode(head).expect("encode");
    let mut framed = (encoded.len() as u32).to_be_bytes().to_vec();
    framed.extend(encoded);
    framed.into()
}

/// Reads message heads and bytes from a stream.
pub struct FrameReader {
    stream: RecvStream,
    buffer: BytesMut,
}

impl FrameReader {
    pub fn open(stream: RecvStream) -> Self {
        Self { stream, buffer: BytesMut::new() }
    }

    /// Returns the next bytes; `None` if the stream ends or breaks before.
    pub async fn bytes(&mut self, length: usize) -> Option<BytesMut> {
        while self.buffer.len() < length {
            let part = self.stream.data().await?.ok()?;
            _ = self.stream.flow_control().release_capacity(part.len());
            self.buffer.extend_from_slice(&part);
        }
        Some(self.buffer.split_to(length))
    }

    /// Returns the next head; `None` if the stream ends or breaks before.
    pub async fn head<T: DeserializeOwned>(&mut self) -> Option<T> {
        let length = self.bytes(4).await?.get_u32() as usize;
        Some(decode(&self.bytes(length).await?).expect("decode"))
    }
}

/// A message that a test sends to a guard as an entry does; dropping it resets the stream.
pub struct GuardMessage {
    response: Option<ResponseFuture>,
    stream: SendStream<Bytes>,
    reader: Option<FrameReader>,
}

impl GuardMessage {
    /// Sends a head on a new connection; `end` ends the message with it.
    pub async fn send<T: Serialize>(guard: SocketAddr, path: &str, head: &T, end: bool) -> Self {
        let socket = tokio::net::TcpStream::connect(guard).await.expect("connect");
        let (mut sender, connection) = h2::client::handshake(socket).await.expect("handshake");
        tokio::spawn(async move { drop(connection.await) });
        let request = http::Request::post(format!("http://guard{path}")).body(()).expect("request");
        let (response, mut stream) = sender.send_request(request, false).expect("send");
        stream.send_data(frame(head), end).expect("data");
        Self { response: Some(response), stream, reader: None }
    }

    /// Sends bytes of the body; `end` ends the message with them.
    pub fn send_body(&mut self, bytes: Vec<u8>, end: bool) {
        self.stream.send_data(bytes.into(), end).expect("body");
    }

    /// Returns the next head of the guard's answer.
    pub async fn next<T: DeserializeOwned>(&mut self) -> T {
        if let Some(response) = self.response.take() {
            let response = response.await.expect("response");
            self.reader = Some(FrameReader::open(response.into_body()));
        }
        self.reader.as_mut().expect("reader").head().await.expect("head")
    }
}

/// Builds the head of a call without a body that must run at once.
pub fn call_head(
    service: &str,
    target: &str,
    call: u128,
    incarnation: DaemonIncarnation,
    path: &str,
) -> CallHead {
    CallHead {
        sent: None,
        call: CallId(call),
        digest: RequestDigest::default(),
        suspect: SuspectRecord::default(),
        incarnation,
        service: service.into(),
        target: target.into(),
        account: "cooperativas".into(),
        share: 1,
        priority: CallPriority { urgent: false, worth: 1 },
        remaining_ms: 5_000,
        max_wait_ms: 5_000,
        work_us: 0,
        repeatable: true,
        last: true,
        route: "test".to_owned(),
        origin: CallOrigin::default(),
        account_usage: 0,
        body_follows: false,
        stated_rate: None,
        claim: None,
        method: "GET".to_owned(),
        path: path.to_owned(),
        headers: Vec::new(),
        body_len: 0,
    }
}
