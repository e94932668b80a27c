//! The platform's table service and object store, as this system uses them.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::consts::PLATFORM_TIMEOUT;

/// Largest answer taken from the platform, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Rows of one page.
const PAGE: usize = 500;

/// Why the platform did not do what it was asked.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// It refused or can't be reached: nothing was applied.
    #[snafu(display("the platform is down: {reason}"))]
    Down {
        /// What was seen.
        reason: String,
    },
    /// It was asked, but its answer is lost: it may have been applied.
    #[snafu(display("the platform's answer is lost: {reason}"))]
    Lost {
        /// What was seen.
        reason: String,
    },
    /// It answered what can't be read.
    #[snafu(display("the platform answered badly: {reason}"))]
    Bad {
        /// What was seen.
        reason: String,
    },
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Its key.
    pub key: String,
    /// Grows with every write of the row; never zero.
    pub version: u64,
    /// Its value, as text.
    pub value: String,
}

/// One conditional write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableWrite {
    /// The row's key.
    pub key: String,
    /// The version it must have: zero for no row, nothing for any.
    pub expect: Option<u64>,
    /// The new value, or nothing to delete the row.
    pub value: Option<String>,
}

/// How a transaction ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitReply {
    /// Whether all writes were applied; otherwise none was.
    pub committed: bool,
    /// New versions, one for each write, if committed.
    #[serde(default)]
    pub versions: Vec<u64>,
    /// The rows that were not as expected, if not committed.
    #[serde(default)]
    pub conflicts: Vec<TableRow>,
    /// Keys of expected rows that are not there, if not committed.
    #[serde(default)]
    pub missing: Vec<String>,
}

/// A connection to the platform.
#[derive(Clone)]
pub struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl fmt::Debug for PlatformClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlatformClient").field("address", &self.address).finish_non_exhaustive()
    }
}

impl PlatformClient {
    /// Opens a client; connections are made when needed.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(4)
            .retry_canceled_requests(false)
            .build_http();
        Self { client, address }
    }

    /// Applies all writes, or none.
    ///
    /// # Errors
    ///
    /// `Lost` when the writes may have been applied all the same.
    pub async fn commit(&self, writes: &[TableWrite]) -> Result<CommitReply, PlatformError> {
        let body = to_json(&writes)?;
        let (status, bytes) = self.ask(Method::POST, "/table/commit", body).await?;
        match status {
            StatusCode::OK | StatusCode::CONFLICT => from_json(&bytes),
            other => Err(refused(other)),
        }
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down.
    pub async fn row(&self, key: &str) -> Result<Option<TableRow>, PlatformError> {
        let (status, bytes) =
            self.ask(Method::GET, &format!("/table/row/{key}"), Bytes::new()).await?;
        match status {
            StatusCode::OK => from_json(&bytes).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(refused(other)),
        }
    }

    /// Reads all rows whose key starts with `prefix`, page by page.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down.
    pub async fn rows(&self, prefix: &str) -> Result<Vec<TableRow>, PlatformError> {
        let mut rows: Vec<TableRow> = Vec::new();
        loop {
            let after = rows.last().map_or("", |row| row.key.as_str());
            let path = format!("/table/rows?prefix={prefix}&after={after}&limit={PAGE}");
            let (status, bytes) = self.ask(Method::GET, &path, Bytes::new()).await?;
            if status != StatusCode::OK {
                return Err(refused(status));
            }
            let page: Vec<TableRow> = from_json(&bytes)?;
            let last = page.len() < PAGE;
            rows.extend(page);
            if last {
                return Ok(rows);
            }
        }
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down.
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let (status, bytes) =
            self.ask(Method::GET, &format!("/objects/{name}"), Bytes::new()).await?;
        match status {
            StatusCode::OK => Ok(Some(bytes)),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(refused(other)),
        }
    }

    /// Writes an object whole.
    ///
    /// # Errors
    ///
    /// `Lost` when it may have been written all the same.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        let (status, _) = self.ask(Method::PUT, &format!("/objects/{name}"), body).await?;
        if status.is_success() { Ok(()) } else { Err(refused(status)) }
    }

    async fn ask(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body))
            .map_err(|error| PlatformError::Bad { reason: error.to_string() })?;
        let asked = tokio::time::timeout(PLATFORM_TIMEOUT, self.exchange(request)).await;
        asked.unwrap_or_else(|_elapsed| Err(PlatformError::Lost { reason: "timeout".to_owned() }))
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let response = self.client.request(request).await.map_err(|error| {
            let reason = error.to_string();
            if error.is_connect() {
                PlatformError::Down { reason }
            } else {
                PlatformError::Lost { reason }
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER).collect().await;
        let body = body.map_err(|error| PlatformError::Lost { reason: error.to_string() })?;
        Ok((status, body.to_bytes()))
    }
}

fn refused(status: StatusCode) -> PlatformError {
    PlatformError::Down { reason: format!("it answered {status}") }
}

fn to_json<T: Serialize>(value: &T) -> Result<Bytes, PlatformError> {
    let bytes = serde_json::to_vec(value);
    bytes.map(Bytes::from).map_err(|error| PlatformError::Bad { reason: error.to_string() })
}

fn from_json<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).map_err(|error| PlatformError::Bad { reason: error.to_string() })
}
