//! A caller that checks every byte of each response body.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::target::{TargetRun, expected_body};

/// Time after its deadline that a caller still waits for a response.
const GRACE: Duration = Duration::from_secs(5);

/// A call to make.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Name of the service.
    pub service: String,
    /// Bearer token of the client account.
    pub token: String,
    /// HTTP method.
    pub method: &'static str,
    /// Path and query for the target.
    pub path: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Request body.
    pub body: Vec<u8>,
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: u32,
}

/// How the caller classifies a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The response is complete and belongs to this call.
    Complete,
    /// The response looks complete, but does not belong to this call.
    Wrong,
    /// The response is visibly incomplete, or there was none.
    Broken,
    /// The target responded with an error status.
    TargetError,
    /// Railspan reports that the call did not run.
    NotRun,
    /// Railspan reports that the call may have run.
    Unknown,
}

/// The result of a call.
#[derive(Clone, Debug)]
pub struct CallReport {
    /// Classification of the response.
    pub verdict: Verdict,
    /// HTTP status; zero without a response.
    pub status: u16,
    /// Time from sending the request to the end of the response.
    pub took: Duration,
    /// Delay before a retry, in milliseconds, if the response gives one.
    pub retry_after_ms: Option<u32>,
    /// Whether the response was recorded from an earlier call.
    pub recorded: bool,
    /// Reason that railspan gives, or the caller's own error; may be empty.
    pub reason: String,
}

/// A caller with its connection pool.
#[derive(Clone, Debug)]
pub struct CallerClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for CallerClient {
    fn default() -> Self {
        Self::open()
    }
}

impl CallerClient {
    /// Creates a caller, which connects on demand.
    #[must_use]
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Self { client }
    }

    /// Sends a GET request directly to a target, as a baseline for measurements.
    ///
    /// # Errors
    ///
    /// Fails when the target can't be reached or the response is incomplete.
    pub async fn get(&self, target: SocketAddr, path: &str) -> io::Result<Bytes> {
        let request = Request::get(format!("http://{target}{path}")).body(Full::default());
        let request = request.map_err(io::Error::other)?;
        let response = self.client.request(request).await.map_err(io::Error::other)?;
        let body = response.into_body().collect().await.map_err(io::Error::other)?;
        Ok(body.to_bytes())
    }

    /// Makes a call through a daemon and checks the response.
    pub async fn call(&self, daemon: SocketAddr, call: &CallRequest) -> CallReport {
        let started = Instant::now();
        let uri = format!("http://{daemon}/{}{}", call.service, call.path);
        let mut builder = Request::builder()
            .method(call.method)
            .uri(uri)
            .header("authorization", format!("Bearer {}", call.token))
            .header("railspan-deadline-ms", call.deadline_ms);
        if let Some(key) = &call.key {
            builder = builder.header("idempotency-key", key);
        }
        let request = builder.body(Full::new(Bytes::from(call.body.clone())));
        let limit = Duration::from_millis(u64::from(call.deadline_ms)) + GRACE;
        let mut report = CallReport {
            verdict: Verdict::Broken,
            status: 0,
            took: Duration::ZERO,
            retry_after_ms: None,
            recorded: false,
            reason: String::new(),
        };
        if let Ok(request) = request {
            let result = tokio::time::timeout(limit, self.client.request(request)).await;
            match result {
                Ok(Ok(response)) => classify(&mut report, call, response, limit).await,
                Ok(Err(error)) => report.reason = error.to_string(),
                Err(_) => "timeout".clone_into(&mut report.reason),
            }
        }
        report.took = started.elapsed();
        report
    }
}

/// Fills in a report from a response, whose body it reads within `limit`.
async fn classify(
    report: &mut CallReport,
    call: &CallRequest,
    response: Response<Incoming>,
    limit: Duration,
) {
    let text = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    report.status = response.status().as_u16();
    report.reason = text("railspan-reason").unwrap_or_default();
    report.recorded = text("railspan-recorded").is_some();
    report.retry_after_ms = text("railspan-retry-after-ms").and_then(|value| value.parse().ok());
    let outcome = text("railspan-outcome");
    let success = response.status().is_success();
    let body = tokio::time::timeout(limit, response.into_body().collect()).await;
    report.verdict = match (outcome.as_deref(), body) {
        (_, Err(_) | Ok(Err(_))) => Verdict::Broken,
        (Some("not_run"), _) => Verdict::NotRun,
        (Some("unknown"), _) => Verdict::Unknown,
        (Some("answered"), Ok(Ok(_))) if !success => Verdict::TargetError,
        (Some("answered"), Ok(Ok(body))) => {
            let expected = expected_body(&call.service, &call.path, &call.body);
            let matches = body.to_bytes() == expected;
            if matches { Verdict::Complete } else { Verdict::Wrong }
        }
        _ => Verdict::Wrong,
    };
}

/// Requests a page, such as a daemon's state; returns the HTTP status and the body.
///
/// # Errors
///
/// Fails when the address can't be reached or the response is incomplete.
pub async fn fetch(method: &str, address: SocketAddr, path: &str) -> io::Result<(u16, Bytes)> {
    let client = CallerClient::open().client;
    let request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    let request = request.body(Full::default()).map_err(io::Error::other)?;
    let response = client.request(request).await.map_err(io::Error::other)?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map_err(io::Error::other)?;
    Ok((status, body.to_bytes()))
}

/// Requests the list of calls that a target started to run.
///
/// # Errors
///
/// Fails when the target can't be reached or its response can't be parsed.
pub async fn fetch_runs(target: SocketAddr) -> io::Result<Vec<TargetRun>> {
    let (_, body) = fetch("GET", target, "/standin/runs").await?;
    serde_json::from_slice(&body).map_err(io::Error::other)
}
