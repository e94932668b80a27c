//! A caller that checks every byte of each answer.

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

/// Time beyond its deadline that a caller waits for an answer.
const GRACE: Duration = Duration::from_secs(5);

/// One call to make.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// The service.
    pub service: String,
    /// The account's bearer token.
    pub token: String,
    /// HTTP method.
    pub method: &'static str,
    /// Path and query at the target.
    pub path: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Request body.
    pub body: Vec<u8>,
    /// Deadline, in milliseconds.
    pub deadline_ms: u32,
}

/// What the caller makes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Whole, and the answer to this very call.
    Complete,
    /// Something else than the answer to this call, taken for whole.
    Wrong,
    /// Visibly broken, or no connection.
    Broken,
    /// The target answered an error.
    TargetError,
    /// The system says that the call did not run.
    NotRun,
    /// The system says that the call may have run.
    Unknown,
}

/// One call as it went.
#[derive(Clone, Debug)]
pub struct CallReport {
    /// What came of it.
    pub verdict: Verdict,
    /// HTTP status, or zero.
    pub status: u16,
    /// Time from the first byte sent to the last one received.
    pub took: Duration,
    /// When to come back, in milliseconds, where the answer says so.
    pub retry_after_ms: Option<u32>,
    /// Whether the answer is the recorded one of an earlier call.
    pub recorded: bool,
    /// Why, where the system says so.
    pub reason: String,
}

/// A caller with its connections.
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
    /// Opens a caller; connections are made when needed.
    #[must_use]
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Self { client }
    }

    /// Reads a page of a target directly, as a baseline.
    ///
    /// # Errors
    ///
    /// Fails when the page can't be had.
    pub async fn get(&self, target: SocketAddr, path: &str) -> io::Result<Bytes> {
        let request = Request::get(format!("http://{target}{path}")).body(Full::default());
        let request = request.map_err(io::Error::other)?;
        let response = self.client.request(request).await.map_err(io::Error::other)?;
        let body = response.into_body().collect().await.map_err(io::Error::other)?;
        Ok(body.to_bytes())
    }

    /// Makes one call through a daemon and checks its answer.
    pub async fn call(&self, daemon: SocketAddr, call: &CallRequest) -> CallReport {
        let since = Instant::now();
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
            let asked = tokio::time::timeout(limit, self.client.request(request)).await;
            match asked {
                Ok(Ok(response)) => judge(&mut report, call, response, limit).await,
                Ok(Err(error)) => report.reason = error.to_string(),
                Err(_) => "timeout".clone_into(&mut report.reason),
            }
        }
        report.took = since.elapsed();
        report
    }
}

async fn judge(
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
            let same = body.to_bytes() == expected;
            if same { Verdict::Complete } else { Verdict::Wrong }
        }
        _ => Verdict::Wrong,
    };
}

/// Reads a page, such as a daemon's state; returns its status and body.
///
/// # Errors
///
/// Fails when the page can't be had.
pub async fn fetch(method: &str, address: SocketAddr, path: &str) -> io::Result<(u16, Bytes)> {
    let client = CallerClient::open().client;
    let request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    let request = request.body(Full::default()).map_err(io::Error::other)?;
    let response = client.request(request).await.map_err(io::Error::other)?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map_err(io::Error::other)?;
    Ok((status, body.to_bytes()))
}

/// Reads the record of what a target ran.
///
/// # Errors
///
/// Fails when the target can't be reached.
pub async fn fetch_runs(target: SocketAddr) -> io::Result<Vec<TargetRun>> {
    let (_, body) = fetch("GET", target, "/standin/runs").await?;
    serde_json::from_slice(&body).map_err(io::Error::other)
}
