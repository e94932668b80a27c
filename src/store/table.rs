//! The platform's table service and object store, as this system uses them.
//!
//! Only what is asked and answered; an adapter brings the calls themselves.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::base::evacuation::EvacuationUpdate;
use crate::rules::config::FleetConfig;

/// Why the platform did not do what it was asked.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// It refused or can't be reached: nothing was applied.
    #[snafu(display("the platform is down: {reason}"))]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// It was asked, but its answer is lost: it may have been applied.
    #[snafu(display("the platform's answer is lost: {reason}"))]
    ReplyLost {
        /// What was seen.
        reason: String,
    },
    /// It answered what can't be read.
    #[snafu(display("the platform answered badly: {reason}"))]
    InvalidData {
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
    #[serde(rename = "expect")]
    pub expected_version: Option<u64>,
    /// The new value, or nothing to delete the row.
    pub value: Option<String>,
}

/// How a transaction ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
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

/// A configuration as the operator of a deployment wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorConfig {
    /// Grows with every change, in steps of any size.
    pub revision: u64,
    /// What it sets.
    pub config: FleetConfig,
}

/// What the platform told of the operator's configuration.
#[derive(Clone, Debug)]
pub struct ConfigUpdate {
    /// From where to ask for the next change; zero to read it anew.
    pub cursor: u64,
    /// The newest configuration, if one was told.
    pub config: Option<OperatorConfig>,
    /// Why a configuration that was told can't be used; the one in force stays.
    pub config_error: Option<String>,
    /// What was told of evacuations, and the store's version at that moment.
    pub evacuations: Option<(u64, EvacuationUpdate)>,
}

impl ConfigUpdate {
    /// Returns an update that says nothing but from where to go on.
    #[must_use]
    pub const fn empty(cursor: u64) -> Self {
        Self { cursor, config: None, config_error: None, evacuations: None }
    }
}

/// An answer of the platform that is still to come.
pub type StoreFuture<T> = BoxFuture<'static, Result<T, PlatformError>>;

/// A call to the platform with one argument.
pub type StoreOperation<A, T> = Box<dyn Fn(A) -> StoreFuture<T> + Send + Sync>;

/// A call that writes an object under a name.
pub type PutObjectOperation = Box<dyn Fn(String, Bytes) -> StoreFuture<()> + Send + Sync>;

/// The calls that an adapter brings.
pub struct StoreOperations {
    /// Applies all writes, or none.
    pub commit: StoreOperation<Vec<TableWrite>, CommitReply>,
    /// Reads one row by its key.
    pub row: StoreOperation<String, Option<TableRow>>,
    /// Reads all rows whose key starts with a prefix.
    pub rows: StoreOperation<String, Vec<TableRow>>,
    /// Reads an object by its name.
    pub object: StoreOperation<String, Option<Bytes>>,
    /// Writes an object whole.
    pub put_object: PutObjectOperation,
    /// Waits for an operator's configuration newer than a cursor.
    pub next_config: StoreOperation<u64, ConfigUpdate>,
}

impl fmt::Debug for StoreOperations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoreOperations").finish_non_exhaustive()
    }
}

/// The one client of the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    calls: Arc<StoreOperations>,
}

impl PlatformClient {
    /// Makes a client of an adapter's calls.
    #[must_use]
    pub fn new(calls: StoreOperations) -> Self {
        Self { calls: Arc::new(calls) }
    }

    /// Applies all writes, or none.
    ///
    /// # Errors
    ///
    /// `Lost` when the writes may have been applied all the same.
    pub async fn commit(&self, writes: &[TableWrite]) -> Result<CommitReply, PlatformError> {
        (self.calls.commit)(writes.to_vec()).await
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down.
    pub async fn row(&self, key: &str) -> Result<Option<TableRow>, PlatformError> {
        (self.calls.row)(key.to_owned()).await
    }

    /// Reads all rows whose key starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down.
    pub async fn rows(&self, prefix: &str) -> Result<Vec<TableRow>, PlatformError> {
        (self.calls.rows)(prefix.to_owned()).await
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down.
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        (self.calls.object)(name.to_owned()).await
    }

    /// Writes an object whole.
    ///
    /// # Errors
    ///
    /// `Lost` when it may have been written all the same.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        (self.calls.put_object)(name.to_owned(), body).await
    }

    /// Waits for an operator's configuration newer than `after`, up to some
    /// seconds; at once if `after` is zero.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down or what it has can't be read.
    pub async fn next_config(&self, after: u64) -> Result<ConfigUpdate, PlatformError> {
        (self.calls.next_config)(after).await
    }
}
