//! HTTP server for the small interfaces to operators, targets and the platform.

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

/// Maximum size of a request body that these interfaces accept, in bytes.
const MAX_BODY: usize = 64 << 10;

/// Serves connections with a handler until the runtime ends.
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
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let write_end = Box::new(|since| since + SENDER_TIMEOUT);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(SENDER_TIMEOUT)
        .serve_connection(TokioIo::new(LingeringSocket::open(socket, write_end)), service);
    // An error on the connection concerns only its client.
    drop(connection.await);
}

/// Reads a request body; `Err` is the response to a body that is too long, broken
/// or too slow.
pub(crate) async fn read_body(request: Request<Incoming>) -> Result<Bytes, Response<Full<Bytes>>> {
    let body = timeout(SENDER_TIMEOUT, Limited::new(request.into_body(), MAX_BODY).collect()).await;
    match body {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => Err(error_response(StatusCode::BAD_REQUEST, &error.to_string())),
        Err(_elapsed) => Err(error_response(StatusCode::REQUEST_TIMEOUT, "body too slow")),
    }
}

/// Creates the response for a duty that is too busy.
pub(crate) fn busy_response() -> Response<Full<Bytes>> {
    error_response(StatusCode::SERVICE_UNAVAILABLE, "the daemon is busy")
}

/// Creates a JSON response with an error message.
pub(crate) fn error_response(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    json_response(status, &json!({"error": text}))
}

/// Creates a JSON response from a value.
pub(crate) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Full<Bytes>> {
    let text = serde_json::to_vec_pretty(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}
