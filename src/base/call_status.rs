//! Outcome of a call, as daemons exchange it and as the table stores it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::base::ids::{CallId, DaemonIncarnation, HostName};

/// Answer of a completed call, kept for repeats with the same idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the target sent one.
    pub content_type: Option<String>,
    /// Body, or `None` if it was longer than [`MAX_RECORDED_BODY`](crate::MAX_RECORDED_BODY).
    pub body: Option<Vec<u8>>,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallStatus {
    /// The call did not run and never will.
    NotRun,
    /// The call was dispatched and has not ended.
    Running,
    /// The call ran to its end.
    Answered(RecordedAnswer),
    /// The call may have run.
    Unknown,
}

impl CallStatus {
    /// Returns the status as a label for logs.
    pub(crate) const fn label(&self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Running => "running",
            Self::Answered(_) => "answered",
            Self::Unknown => "unknown",
        }
    }
}

/// State of a claim in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The guard may dispatch the call, or has dispatched it.
    Started,
    /// The call ran to its end.
    Answered(RecordedAnswer),
    /// The call may have run; its outcome can't be found out any more.
    Unknown,
}

/// Table row that claims one idempotency key for a call.
///
/// Only the guard whose write created the row or took it over may dispatch the call. The
/// row is not a lease: no other guard gets the claim because time has passed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The call that holds the key.
    pub call: CallId,
    /// The host whose guard runs the call.
    pub host: HostName,
    /// Address on which that guard listens.
    pub guard: SocketAddr,
    /// Incarnation of that guard's daemon; any other has no record of the call.
    pub incarnation: DaemonIncarnation,
    /// Hash of the request, which distinguishes a repeat from another request
    /// with the same key.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// State of the call.
    pub state: ClaimState,
}
