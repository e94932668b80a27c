//! HTTP server for the small interfaces to operators, targets and the platform.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde_json::json;
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::base::connection_plan::{ConnectionCost, ConnectionPlan, ListenerKind};
use crate::base::consts::SENDER_TIMEOUT;
use crate::base::metrics::DaemonMetrics;
use crate::duty::connections::{ConnectionPermit, ConnectionRoom, LingeringSocket, TrackedBody};

/// Maximum size of a request body that these interfaces accept, in bytes.
const MAX_BODY: usize = 64 << 10;

/// Maximum size of a request head that these interfaces accept, and of what they buffer of an
/// answer, in bytes.
const BUFFER_LIMIT: usize = 16 << 10;

/// Creates the room for the connections of an interface.
pub(crate) fn open_room(
    kind: ListenerKind,
    plan: ConnectionPlan,
    metrics: &DaemonMetrics,
    logger: &Logger,
) -> Rc<ConnectionRoom> {
    ConnectionRoom::open(kind, plan, ConnectionCost::of_buffers(BUFFER_LIMIT), metrics, logger)
}

/// Serves connections with a handler until the runtime ends.
pub(crate) async fn serve<F, Fut>(listener: TcpListener, room: Rc<ConnectionRoom>, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let cost = || ConnectionCost::of_buffers(BUFFER_LIMIT);
        let (socket, permit) = room.accept(&listener, cost).await;
        spawn_local(serve_connection(socket, permit, Rc::clone(&handler)));
    }
}

async fn serve_connection<F, Fut>(socket: TcpStream, permit: Rc<ConnectionPermit>, handler: Rc<F>)
where
    F: Fn(Request<Incoming>) -> Fut + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let write_end = Box::new(|since| since + SENDER_TIMEOUT);
    let connection = Rc::clone(&permit);
    let service = service_fn(move |request: Request<Incoming>| {
        let (was_sent_ahead, has_body) = (connection.note_head(), !request.body().is_end_stream());
        let response = handler(request);
        let connection = Rc::clone(&connection);
        async move {
            connection.begin_request(has_body, was_sent_ahead).await;
            let response = response.await;
            connection.note_received();
            Ok::<_, Infallible>(response.map(|body| TrackedBody::open(body, connection)))
        }
    });
    let socket = LingeringSocket::open(socket, Rc::clone(&permit), write_end);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(SENDER_TIMEOUT)
        .max_buf_size(BUFFER_LIMIT)
        .serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        // An error on the connection concerns only its client.
        _ = connection => {}
        () = permit.wait_evicted() => {}
    }
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
