//! Writes of a daemon that wait for their transaction: claims and outcomes.

use tokio::sync::oneshot;

use crate::base::call_status::ClaimRow;
use crate::store::table::{TableRow, TableWrite};

/// A claim to be written.
#[derive(Debug)]
pub(crate) struct ClaimRequest {
    /// Key of the row.
    pub(crate) key: String,
    /// The row.
    pub(crate) row: ClaimRow,
    /// Version to take over, zero for a new row.
    pub(crate) expected_version: u64,
    /// Where the answer goes.
    pub(crate) reply: oneshot::Sender<ClaimReply>,
}

/// How a claim ended.
#[derive(Debug)]
pub(crate) enum ClaimReply {
    /// The claim is held at this version.
    Acquired(u64),
    /// Another call holds it.
    HeldByOther { row: Box<ClaimRow>, version: u64 },
    /// The platform did not take it, as far as can be told.
    Failed,
}

/// A write that waits for its transaction.
#[derive(Debug)]
pub(crate) enum PendingWrite {
    /// A claim that a call waits for.
    Claim(ClaimRequest),
    /// An outcome, a release, or another write that nobody waits for.
    Outcome(TableWrite),
}

impl PendingWrite {
    /// Returns the key of the row.
    pub(crate) fn key(&self) -> &str {
        match self {
            Self::Claim(request) => &request.key,
            Self::Outcome(write) => &write.key,
        }
    }

    /// Returns the write as it goes into a transaction.
    pub(crate) fn write(&self) -> TableWrite {
        match self {
            Self::Claim(request) => TableWrite {
                key: request.key.clone(),
                expected_version: Some(request.expected_version),
                value: serde_json::to_string(&request.row).ok(),
            },
            Self::Outcome(write) => write.clone(),
        }
    }

    /// Drops a claim that was given up; refuses one while the table is down.
    pub(crate) fn still_wanted(self, hopeless: bool) -> Option<Self> {
        match self {
            Self::Claim(request) if request.reply.is_closed() => None,
            Self::Claim(request) if hopeless => {
                drop(request.reply.send(ClaimReply::Failed));
                None
            }
            pending => Some(pending),
        }
    }

    /// Ends a claim whose key another call holds.
    pub(crate) fn found(self, row: &TableRow) {
        let Self::Claim(request) = self else { return };
        let reply = match parse_claim(row) {
            Some(found) => ClaimReply::HeldByOther { row: Box::new(found), version: row.version },
            None => ClaimReply::Failed,
        };
        drop(request.reply.send(reply));
    }
}

/// Reads the claim in a row; nothing if it is none.
pub(crate) fn parse_claim(row: &TableRow) -> Option<ClaimRow> {
    serde_json::from_str(&row.value).ok()
}
