//! What the host's target and the platform ask of a deployed daemon.

use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpListener;

use crate::duty::events::GuardEvent;
use crate::duty::readiness::DaemonReadiness;
use crate::duty::ring::RingSender;
use crate::process::adapter::{ControlRequest, DeploymentAdapter};
use crate::process::admin::ask;
use crate::process::httpd;

/// Answers the platform's question whether the daemon takes new calls.
pub(crate) async fn serve_ready(
    listener: TcpListener,
    adapter: &'static DeploymentAdapter,
    readiness: DaemonReadiness,
) {
    httpd::serve(listener, move |request: Request<Incoming>| {
        let known = request.uri().path() == adapter.ready_path;
        let status = match (known, readiness.get()) {
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

/// Takes the reports of the host's target.
///
/// A report is acknowledged only when the guard has acted on it: from then on
/// a target that leaves gets nothing new.
pub(crate) async fn serve_reports(
    listener: TcpListener,
    adapter: &'static DeploymentAdapter,
    guard: RingSender<GuardEvent>,
) {
    let guard = Rc::new(guard);
    httpd::serve(listener, move |request| take_report(request, adapter, Rc::clone(&guard))).await;
}

async fn take_report(
    request: Request<Incoming>,
    adapter: &'static DeploymentAdapter,
    guard: Rc<RingSender<GuardEvent>>,
) -> Response<Full<Bytes>> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = match httpd::read(request).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let asked = ControlRequest { method: &method, path: &path, body: &body };
    let report = match (adapter.parse_report)(&asked) {
        Ok(report) => report,
        Err(reply) => return httpd::fault(reply.status, &reply.text),
    };
    match ask(&guard, |reply| GuardEvent::Report { report, reply }).await {
        Some(()) => httpd::to_json(StatusCode::OK, &serde_json::json!({})),
        None => httpd::busy(),
    }
}
