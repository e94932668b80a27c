//! A tiny HTTP server loop on a thread of its own.

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

/// Makes a runtime with one worker thread, which ends when it is dropped.
pub(crate) fn runtime() -> io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(1).enable_all().build()
}

/// Binds an address; returns the listener and where it listens.
pub(crate) fn bind(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// What connections cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Connections served at once; more wait.
    pub(crate) at_once: usize,
    /// Time it takes to open one.
    pub(crate) open: Duration,
}

/// Serves `answer` on the listener; `None` closes the connection unanswered.
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
    let places = Arc::new(Semaphore::new(limits.at_once));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else { return };
        let Ok((socket, _)) = listener.accept().await else { continue };
        drop(socket.set_nodelay(true));
        let answer = Arc::clone(&answer);
        tokio::spawn(async move {
            tokio::time::sleep(limits.open).await;
            let serve = service_fn(move |request| {
                let answer = Arc::clone(&answer);
                async move { answer(request).await.ok_or_else(lost) }
            });
            drop(http1::Builder::new().serve_connection(TokioIo::new(socket), serve).await);
            drop(place);
        });
    }
}

fn lost() -> io::Error {
    io::Error::other("answer lost on purpose")
}
