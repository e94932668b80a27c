//! Interfaces of a deployed daemon to its host's target and to the platform.

use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpListener;

use crate::duty::connections::ConnectionRoom;
use crate::duty::events::GuardEvent;
use crate::duty::readiness::DaemonReadiness;
use crate::duty::ring::RingSender;
use crate::process::adapter::{ControlRequest, DeploymentAdapter};
use crate::process::admin::query_duty;
use crate::process::httpd;

/// Serves the readiness checks of the platform: whether the daemon accepts new calls.
pub(crate) async fn serve_readiness(
    listener: TcpListener,
    room: Rc<ConnectionRoom>,
    adapter: &'static DeploymentAdapter,
    readiness: DaemonReadiness,
) {
    httpd::serve(listener, room, move |request: Request<Incoming>| {
        let is_ready_path = request.uri().path() == adapter.ready_path;
        let status = match (is_ready_path, readiness.get()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = status;
        async move { response }
    })
    .await;
}

/// Serves the reports of the host's target.
///
/// A report is acknowledged only once the guard has acted on it. So a target that reports
/// that it is leaving receives no new calls after the acknowledgement.
pub(crate) async fn serve_reports(
    listener: TcpListener,
    room: Rc<ConnectionRoom>,
    adapter: &'static DeploymentAdapter,
    guard: RingSender<GuardEvent>,
) {
    let guard = Rc::new(guard);
    httpd::serve(listener, room, move |request| handle_report(request, adapter, Rc::clone(&guard)))
        .await;
}

async fn handle_report(
    request: Request<Incoming>,
    adapter: &'static DeploymentAdapter,
    guard: Rc<RingSender<GuardEvent>>,
) -> Response<Full<Bytes>> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = match httpd::read_body(request).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let control_request = ControlRequest { method: &method, path: &path, body: &body };
    let report = match (adapter.parse_report)(&control_request) {
        Ok(report) => report,
        Err(error) => return httpd::error_response(error.status, &error.text),
    };
    match query_duty(&guard, |reply| GuardEvent::Report { report, reply }).await {
        Some(()) => httpd::json_response(StatusCode::OK, &serde_json::json!({})),
        None => httpd::busy_response(),
    }
}
