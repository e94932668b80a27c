//! What became of a call, as daemons and the store tell it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::base::ids::{CallId, DaemonIncarnation, HostName};

/// The answer of a call that ran, kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, where the target named one.
    pub content_type: Option<String>,
    /// The body, or nothing where it was over the limit.
    pub body: Option<Vec<u8>>,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallStatus {
    /// It did not run, and never will.
    NotRun,
    /// It was dispatched and has not ended.
    Running,
    /// It ran to its end.
    Answered(RecordedAnswer),
    /// It may have run.
    Unknown,
}

impl CallStatus {
    /// Returns the status as a word for logs.
    pub(crate) const fn label(&self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Running => "running",
            Self::Answered(_) => "answered",
            Self::Unknown => "unknown",
        }
    }
}

/// The state of a claim in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Its guard may dispatch, or has dispatched, the call.
    Started,
    /// The call ran to its end.
    Answered(RecordedAnswer),
    /// The call may have run; nobody will learn more.
    Unknown,
}

/// The row that stands for one idempotency key.
///
/// Only the guard whose insert created or took over the row may dispatch.
/// The row is no lease: it never expires into the hands of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The call that holds the key.
    pub call: CallId,
    /// The host whose guard runs the call.
    pub host: HostName,
    /// Where that guard listens.
    pub guard: SocketAddr,
    /// The guard's life; another one knows nothing of the call.
    pub incarnation: DaemonIncarnation,
    /// Hash of the request.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// What is known of the call.
    pub state: ClaimState,
}
