//! The interface to the platform's table service and object store.
//!
//! This module defines requests and replies; a platform adapter implements the operations
//! as [`StoreOperations`].

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::base::evacuation::EvacuationUpdate;
use crate::rules::config::FleetConfig;

/// Why an operation on the platform failed.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The platform refused the request or can't be reached; nothing was applied.
    #[snafu(display("platform unavailable: {reason}"))]
    Unavailable {
        /// Details of the failure.
        reason: String,
    },
    /// The request was sent, but no reply arrived; the operation may have been applied.
    #[snafu(display("platform reply lost, request may have been applied: {reason}"))]
    ReplyLost {
        /// Details of the failure.
        reason: String,
    },
    /// A request could not be encoded, or a reply could not be decoded.
    #[snafu(display("can't encode platform request or decode reply: {reason}"))]
    InvalidData {
        /// Details of the failure.
        reason: String,
    },
}

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Version, which grows with every write of the row; never zero.
    pub version: u64,
    /// Value of the row, as text.
    pub value: String,
}

/// One conditional write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableWrite {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have: zero if it must not exist, `None` for any version.
    #[serde(rename = "expect")]
    pub expected_version: Option<u64>,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
}

/// Result of a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitReply {
    /// Whether all writes were applied; otherwise none of them was.
    pub committed: bool,
    /// New row versions in the order of the writes, if committed.
    #[serde(default)]
    pub versions: Vec<u64>,
    /// Existing rows whose version was not the expected one, if not committed.
    #[serde(default)]
    pub conflicts: Vec<TableRow>,
    /// Keys of expected rows that do not exist, if not committed.
    #[serde(default)]
    pub missing: Vec<String>,
}

/// A configuration written by the operator of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorConfig {
    /// Revision number, which grows with every change by any amount.
    pub revision: u64,
    /// The configuration.
    pub config: FleetConfig,
}

/// Position from which to read the operator's configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigPosition {
    /// Version of the store after which to wait for a change; zero to read the current state at
    /// once.
    pub after: u64,
    /// Maximum wait for a change; `None` for that of the adapter.
    pub max_wait: Option<Duration>,
}

/// Changes to the operator's configuration, as read from the platform.
#[derive(Clone, Debug)]
pub struct ConfigUpdate {
    /// Position after which to wait for the next change; zero to read the whole state again.
    pub cursor: u64,
    /// Whether the newest configuration up to that position is part of the update, if it changed.
    pub complete: bool,
    /// The newest configuration, if it changed.
    pub config: Option<OperatorConfig>,
    /// Why a changed configuration is invalid; the one in force stays.
    pub config_error: Option<String>,
    /// Changes of evacuated data centres, with the store's version at that time.
    pub evacuations: Option<(u64, EvacuationUpdate)>,
}

impl ConfigUpdate {
    /// Returns an update without any content, with the position to continue from.
    #[must_use]
    pub const fn empty(cursor: u64) -> Self {
        Self { cursor, complete: false, config: None, config_error: None, evacuations: None }
    }
}

/// The future of an operation on the platform.
pub type StoreFuture<T> = BoxFuture<'static, Result<T, PlatformError>>;

/// A platform operation with one argument.
pub type StoreOperation<A, T> = Box<dyn Fn(A) -> StoreFuture<T> + Send + Sync>;

/// A platform operation that writes an object of the given name.
pub type PutObjectOperation = Box<dyn Fn(String, Bytes) -> StoreFuture<()> + Send + Sync>;

/// The platform operations that an adapter implements.
pub struct StoreOperations {
    /// Applies all writes in one transaction, or none.
    pub commit: StoreOperation<Vec<TableWrite>, CommitReply>,
    /// Reads a row by its key.
    pub row: StoreOperation<String, Option<TableRow>>,
    /// Reads all rows whose key starts with a prefix.
    pub rows: StoreOperation<String, Vec<TableRow>>,
    /// Reads an object by its name.
    pub object: StoreOperation<String, Option<Bytes>>,
    /// Writes a whole object.
    pub put_object: PutObjectOperation,
    /// Waits for a change of the operator's configuration after a position.
    pub next_config: StoreOperation<ConfigPosition, ConfigUpdate>,
    /// Makes all further operations use new connections.
    pub reconnect: Box<dyn Fn() + Send + Sync>,
}

impl fmt::Debug for StoreOperations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoreOperations").finish_non_exhaustive()
    }
}

/// A client of the platform, shared by cloning.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    operations: Arc<StoreOperations>,
}

impl PlatformClient {
    /// Creates a client from an adapter's operations.
    #[must_use]
    pub fn new(operations: StoreOperations) -> Self {
        Self { operations: Arc::new(operations) }
    }

    /// Applies all writes in one transaction, or none.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::ReplyLost`] if the writes may have been applied.
    pub async fn commit(&self, writes: &[TableWrite]) -> Result<CommitReply, PlatformError> {
        (self.operations.commit)(writes.to_vec()).await
    }

    /// Reads a row by its key.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached or its reply can't be decoded.
    pub async fn row(&self, key: &str) -> Result<Option<TableRow>, PlatformError> {
        (self.operations.row)(key.to_owned()).await
    }

    /// Reads all rows whose key starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached or its reply can't be decoded.
    pub async fn rows(&self, prefix: &str) -> Result<Vec<TableRow>, PlatformError> {
        (self.operations.rows)(prefix.to_owned()).await
    }

    /// Reads an object by its name.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached or its reply can't be decoded.
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        (self.operations.object)(name.to_owned()).await
    }

    /// Writes a whole object.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::ReplyLost`] if the object may have been written.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        (self.operations.put_object)(name.to_owned(), body).await
    }

    /// Waits some seconds at most for a change of the operator's configuration after a
    /// position; reads the current configuration at once if the position is zero.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached or its reply can't be decoded.
    pub async fn next_config(&self, from: ConfigPosition) -> Result<ConfigUpdate, PlatformError> {
        (self.operations.next_config)(from).await
    }

    /// Makes all further operations use new connections, as one of those that were open no longer
    /// answers.
    pub fn reconnect(&self) {
        (self.operations.reconnect)();
    }
}
