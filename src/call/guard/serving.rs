//! Serving of connections from entries.

use std::rc::Rc;

use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use http::Request;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::{GuardDuty, load_reports};
use crate::base::consts::SENDER_TIMEOUT;
use crate::base::h2io::{self, HeadReader};
use crate::duty::connections::ConnectionPermit;

impl GuardDuty {
    pub(super) async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let (socket, permit) = self.connection_room.accept_daemon(&listener).await;
            drop(socket.set_nodelay(true));
            spawn_local(Rc::clone(&self).serve_connection(socket, permit));
        }
    }

    async fn serve_connection(self: Rc<Self>, socket: TcpStream, permit: Rc<ConnectionPermit>) {
        let handshake = tokio::select! {
            handshake = timeout(SENDER_TIMEOUT, h2io::call_server().handshake(socket)) => handshake,
            () = permit.wait_evicted() => return,
        };
        let Ok(Ok(mut connection)) = handshake else { return };
        let mut stopping = self.stopping.subscribe();
        let mut shutdown_sent = false;
        loop {
            tokio::select! {
                accepted = connection.accept() => match accepted {
                    Some(Ok((request, respond))) => {
                        permit.note_received();
                        spawn_local(Rc::clone(&self).serve_stream(request, respond));
                    }
                    _ => return,
                },
                () = permit.wait_evicted() => return,
                _ = stopping.wait_for(|stopping| *stopping), if !shutdown_sent => {
                    shutdown_sent = true;
                    connection.graceful_shutdown();
                }
            }
        }
    }

    async fn serve_stream(
        self: Rc<Self>,
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
    ) {
        let (parts, body) = request.into_parts();
        let reader = HeadReader::open(body);
        if parts.uri.path() == "/watch" {
            // A watch is not a call: a planned stop doesn't wait for its end.
            _ = load_reports::stream_reports(&self, reader, respond).await;
            return;
        }
        self.open_streams.send_modify(|streams| *streams += 1);
        if parts.uri.path() == "/revoke" {
            self.serve_revoke(reader, respond).await;
        } else {
            self.serve_call(reader, respond).await;
        }
        self.open_streams.send_modify(|streams| *streams -= 1);
    }
}
