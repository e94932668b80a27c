//! Writes of a daemon that wait for a table transaction: claims and outcomes.

use tokio::sync::oneshot;

use crate::base::call_status::ClaimRow;
use crate::store::table::{TableRow, TableWrite};

/// A request to write a claim to the table.
#[derive(Debug)]
pub(crate) struct ClaimRequest {
    /// Key of the claim row.
    pub(crate) key: String,
    /// Content of the claim row.
    pub(crate) row: ClaimRow,
    /// Version of the existing row to take over; zero to create a new row.
    pub(crate) expected_version: u64,
    /// Receives the result.
    pub(crate) reply: oneshot::Sender<ClaimReply>,
}

/// Result of a claim.
#[derive(Debug)]
pub(crate) enum ClaimReply {
    /// The claim was written and has this row version.
    Acquired(u64),
    /// Another call holds the claim.
    HeldByOther { row: Box<ClaimRow>, version: u64 },
    /// The claim was not written, or it is unknown whether it was; the call must not run.
    Failed,
}

/// A write that waits for a table transaction.
#[derive(Debug)]
pub(crate) enum PendingWrite {
    /// A claim that a call waits for.
    Claim(ClaimRequest),
    /// The outcome of a call, the release of a claim, or another write whose result no call
    /// waits for.
    Background(TableWrite),
}

impl PendingWrite {
    /// Returns the key of the row.
    pub(crate) fn key(&self) -> &str {
        match self {
            Self::Claim(request) => &request.key,
            Self::Background(write) => &write.key,
        }
    }

    /// Returns the table write for a transaction.
    pub(crate) fn write(&self) -> TableWrite {
        match self {
            Self::Claim(request) => TableWrite {
                key: request.key.clone(),
                expected_version: Some(request.expected_version),
                value: serde_json::to_string(&request.row).ok(),
            },
            Self::Background(write) => write.clone(),
        }
    }

    /// Returns the write, or `None` if it must not be made.
    ///
    /// A claim must not be made if its call no longer waits. If `reject_claims` is set, all
    /// other claims get the reply [`ClaimReply::Failed`].
    pub(crate) fn unless_obsolete(self, reject_claims: bool) -> Option<Self> {
        match self {
            Self::Claim(request) if request.reply.is_closed() => None,
            Self::Claim(request) if reject_claims => {
                drop(request.reply.send(ClaimReply::Failed));
                None
            }
            pending => Some(pending),
        }
    }

    /// Replies to a claim request whose key is held by another call: with the existing claim in
    /// `row`, or with [`ClaimReply::Failed`] if `row` is no claim.
    pub(crate) fn reject_held(self, row: &TableRow) {
        let Self::Claim(request) = self else { return };
        let reply = match parse_claim(row) {
            Some(claim) => ClaimReply::HeldByOther { row: Box::new(claim), version: row.version },
            None => ClaimReply::Failed,
        };
        drop(request.reply.send(reply));
    }
}

/// Parses a claim row; returns `None` if the row is no claim.
pub(crate) fn parse_claim(row: &TableRow) -> Option<ClaimRow> {
    serde_json::from_str(&row.value).ok()
}
