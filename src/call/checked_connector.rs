//! Checked connections for the HTTP library's pool of connections to a server.

use std::error::Error;
use std::task::{Context, Poll};

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use crate::call::checked_socket::{CheckedSocket, RequestNotice, find_fault};

impl Connection for CheckedSocket {
    fn connected(&self) -> Connected {
        self.socket().connected()
    }
}

/// Opens checked connections for the HTTP library's own pool, which must not send `HEAD` requests.
#[derive(Clone, Debug)]
pub(crate) struct CheckedConnector(pub(crate) HttpConnector);

impl Service<Uri> for CheckedConnector {
    type Response = TokioIo<CheckedSocket>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, req: Uri) -> Self::Future {
        let connecting = self.0.call(req);
        let wrap = |socket: TokioIo<TcpStream>| {
            TokioIo::new(CheckedSocket::open(socket.into_inner(), &RequestNotice::default()))
        };
        async move { connecting.await.map(wrap) }.boxed()
    }
}

/// Returns the fault in an answer that an error comes from, as text, or else the error itself.
pub(crate) fn describe_error(error: &(dyn Error + 'static)) -> String {
    find_fault(error).map_or_else(|| error.to_string(), |fault| fault.to_string())
}
