//! Small HTTP services of a daemon: for operators, targets and the platform.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::base::consts::SENDER_TIMEOUT;
use crate::base::lingering_socket::LingeringSocket;

/// Longest body that these services take, in bytes.
const MAX_BODY: usize = 64 << 10;

/// Serves a handler until the runtime ends.
pub(crate) async fn serve<F, Fut>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let Ok((socket, _)) = listener.accept().await else { continue };
        spawn_local(serve_connection(socket, Rc::clone(&handler)));
    }
}

async fn serve_connection<F, Fut>(socket: TcpStream, handler: Rc<F>)
where
    F: Fn(Request<Incoming>) -> Fut + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let answer = service_fn(move |request| {
        let answered = handler(request);
        async move { Ok::<_, Infallible>(answered.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(SENDER_TIMEOUT)
        .serve_connection(TokioIo::new(LingeringSocket::open(socket)), answer);
    // A broken connection is the asker's own affair.
    drop(connection.await);
}

/// Reads a short body; `Err` is the answer to a bad one.
pub(crate) async fn read(request: Request<Incoming>) -> Result<Bytes, Response<Full<Bytes>>> {
    let body = timeout(SENDER_TIMEOUT, Limited::new(request.into_body(), MAX_BODY).collect()).await;
    match body {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => Err(fault(StatusCode::BAD_REQUEST, &error.to_string())),
        Err(_elapsed) => Err(fault(StatusCode::REQUEST_TIMEOUT, "body too slow")),
    }
}

/// Makes the answer of a duty that is too busy.
pub(crate) fn busy() -> Response<Full<Bytes>> {
    fault(StatusCode::SERVICE_UNAVAILABLE, "the daemon is busy")
}

/// Makes an answer that tells what is wrong.
pub(crate) fn fault(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    to_json(status, &json!({"error": text}))
}

/// Makes an answer of a value.
pub(crate) fn to_json<T: Serialize>(status: StatusCode, value: &T) -> Response<Full<Bytes>> {
    let text = serde_json::to_vec_pretty(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}
