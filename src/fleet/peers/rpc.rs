//! RPC between daemons, apart from calls: `tarpc` over HTTP/2 streams.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http::{Request, Response};
use prometheus::IntCounter;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_serde::{Deserializer, Serializer};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::base::connection_plan::{ConnectionPlan, ListenerKind};
use crate::base::consts::SENDER_TIMEOUT;
use crate::base::counted_socket::CountedSocket;
use crate::base::h2io::{self, ByteStream};
use crate::base::member::MemberRecord;
use crate::duty::connections::{ConnectionPermit, ConnectionRoom};
use crate::fleet::membership::MembershipEvent;
use crate::fleet::peers::PeersDuty;
use crate::rules::revision::RevisionHead;

/// Maximum size of a message, in bytes; enough for all members of a fleet many times the expected
/// size.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Requests of one daemon to another.
///
/// Requests are encoded by the position of their method, so the order must not change.
#[tarpc::service]
pub(crate) trait PeerRpc {
    /// Returns all records of the buckets whose digests differ from the given ones.
    async fn differing_records(digests: Vec<u64>) -> Vec<MemberRecord>;
    /// Returns the digests of all buckets.
    async fn bucket_digests() -> Vec<u64>;
    /// Merges records.
    async fn merge_records(records: Vec<MemberRecord>);
    /// Returns the revision in force with its compressed body, if it is newer than
    /// `newer_than`.
    async fn newer_revision(newer_than: u64) -> Option<(RevisionHead, Vec<u8>)>;
}

#[derive(Clone)]
struct PeerServer {
    duty: Rc<PeersDuty>,
}

impl PeerRpc for PeerServer {
    async fn differing_records(
        self,
        _: tarpc::context::Context,
        digests: Vec<u64>,
    ) -> Vec<MemberRecord> {
        let records = self.duty.membership.borrow().differing_records(&digests);
        self.duty.metrics.exchanged_records.inc_by(records.len() as u64);
        records
    }

    async fn bucket_digests(self, _: tarpc::context::Context) -> Vec<u64> {
        self.duty.membership.borrow().bucket_digests()
    }

    async fn merge_records(self, _: tarpc::context::Context, records: Vec<MemberRecord>) {
        self.duty.step(MembershipEvent::RecordsReceived(records));
    }

    async fn newer_revision(
        self,
        _: tarpc::context::Context,
        newer_than: u64,
    ) -> Option<(RevisionHead, Vec<u8>)> {
        let active = self.duty.active.borrow();
        let active = active.as_ref().filter(|active| active.head.revision > newer_than)?;
        Some((active.head.clone(), active.compressed_body().to_vec()))
    }
}

/// Serves peers until the runtime ends.
pub(crate) async fn serve(
    duty: Rc<PeersDuty>,
    listener: TcpListener,
    connection_plan: ConnectionPlan,
) {
    let (metrics, logger) = (&duty.metrics, &duty.logger);
    let room =
        ConnectionRoom::open_for_daemons(ListenerKind::Peers, connection_plan, metrics, logger);
    loop {
        let (socket, permit) = room.accept_daemon(&listener).await;
        let duty = Rc::clone(&duty);
        spawn_local(async move {
            tokio::select! {
                () = serve_connection(duty, socket, &permit) => {}
                () = permit.wait_evicted() => {}
            }
        });
    }
}

async fn serve_connection(duty: Rc<PeersDuty>, socket: TcpStream, permit: &ConnectionPermit) {
    let handshake = timeout(SENDER_TIMEOUT, h2io::server().handshake(socket)).await;
    let Ok(Ok(mut connection)) = handshake else { return };
    while let Some(Ok((request, mut respond))) = connection.accept().await {
        permit.note_received();
        let Ok(send) = respond.send_response(Response::new(()), false) else { continue };
        let stream = ByteStream::open(send, request.into_body());
        spawn_local(serve_stream(Rc::clone(&duty), stream));
    }
}

async fn serve_stream(duty: Rc<PeersDuty>, stream: ByteStream) {
    let transport = tarpc::serde_transport::new(framed(stream), PeerCodec);
    let channel = BaseChannel::with_defaults(transport);
    let server = PeerServer { duty };
    channel.execute(server.serve()).for_each(|reply| reply).await;
}

/// Connects to a peer; returns `None` if it can't be reached.
///
/// The bytes sent and received are added to `byte_counter`, if there is one.
pub(crate) async fn connect(
    peer: SocketAddr,
    byte_counter: Option<IntCounter>,
) -> Option<PeerRpcClient> {
    let socket = CountedSocket::open(TcpStream::connect(peer).await.ok()?, byte_counter);
    let (mut sender, connection) = h2io::client().handshake(socket).await.ok()?;
    spawn_local(async move { drop(connection.await) });
    let request = Request::post(format!("http://{peer}/rpc")).body(()).ok()?;
    let (response, send) = sender.send_request(request, false).ok()?;
    let recv = response.await.ok()?.into_body();
    let transport = tarpc::serde_transport::new(framed(ByteStream::open(send, recv)), PeerCodec);
    let client = PeerRpcClient::new(tarpc::client::Config::default(), transport);
    spawn_local(async move { drop(client.dispatch.await) });
    Some(client.client)
}

fn framed(stream: ByteStream) -> Framed<ByteStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_framed(stream)
}

/// `bincode` 2 codec for `tarpc`, whose built-in transport still uses `bincode` 1.
#[derive(Debug)]
struct PeerCodec;

impl<T: Serialize> Serializer<T> for PeerCodec {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, io::Error> {
        let bytes = bincode::serde::encode_to_vec(item, bincode::config::standard());
        bytes.map(Bytes::from).map_err(io::Error::other)
    }
}

impl<T: DeserializeOwned> Deserializer<T> for PeerCodec {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> Result<T, io::Error> {
        let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
        let decoded = bincode::serde::decode_from_slice(src, config);
        decoded.map(|(item, _)| item).map_err(io::Error::other)
    }
}
