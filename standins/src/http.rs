//! A small HTTP server on its own worker thread.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Semaphore;

/// Creates a runtime with one worker thread; dropping the runtime ends the thread.
pub(crate) fn runtime() -> io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(1).enable_all().build()
}

/// Binds an address; returns the listener and the address that it got.
pub(crate) fn bind(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Limits on connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Connections served at the same time; further ones wait.
    pub(crate) max_concurrent: usize,
    /// Delay before a new connection is served.
    pub(crate) open_delay: Duration,
}

/// Serves requests with `answer`; where it returns `None`, the connection is closed
/// without a response.
pub(crate) async fn serve<F, Fut, B>(listener: TcpListener, limits: ConnectionLimits, answer: F)
where
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Option<Response<B>>> + Send,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    let answer = Arc::new(answer);
    let permits = Arc::new(Semaphore::new(limits.max_concurrent));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let Ok((socket, _)) = listener.accept().await else { continue };
        drop(socket.set_nodelay(true));
        let answer = Arc::clone(&answer);
        tokio::spawn(async move {
            tokio::time::sleep(limits.open_delay).await;
            let serve = service_fn(move |request| {
                let answer = Arc::clone(&answer);
                async move { answer(request).await.ok_or_else(response_dropped) }
            });
            drop(http1::Builder::new().serve_connection(TokioIo::new(socket), serve).await);
            drop(permit);
        });
    }
}

fn response_dropped() -> io::Error {
    io::Error::other("response dropped on purpose")
}
