//! Publishing a configuration revision.
//!
//! The body is stored as an object named after its hash; then the head row is replaced by
//! compare-and-set.

use bytes::Bytes;
use snafu::Snafu;

use crate::rules::config::FleetConfig;
use crate::rules::revision::RevisionHead;
use crate::store::table::{PlatformClient, PlatformError, TableRow, TableWrite};

/// Key of the row that names the newest revision.
pub const HEAD_KEY: &str = "config-head";

/// Number of attempts to read back the head row after the reply to a write was lost.
const MAX_READ_BACK_ATTEMPTS: u32 = 5;

/// Why a revision was not published.
#[derive(Debug, Snafu)]
pub enum PublishError {
    /// Another operator published a revision in the meantime.
    #[snafu(display(
        "conflict: revision {} by {} is newer than the one this change was made on",
        winner.revision,
        winner.operator
    ))]
    Conflict {
        /// The head that is now in the table.
        winner: RevisionHead,
    },
    /// The platform did not apply the change; nothing changed.
    #[snafu(display("not published: {source}"))]
    NotPublished {
        /// The error of the platform.
        source: PlatformError,
    },
    /// It is unknown whether the revision was published.
    #[snafu(display(
        "unknown whether revision {revision} was published; check with `railspan status`"
    ))]
    OutcomeUnknown {
        /// Number of the revision.
        revision: u64,
    },
}

/// Reads the head row and its version; returns `None` if nothing was ever published.
///
/// # Errors
///
/// Returns an error if the platform can't be reached or the row can't be parsed.
pub async fn read_head(
    client: &PlatformClient,
) -> Result<Option<(RevisionHead, u64)>, PlatformError> {
    let row = client.row(HEAD_KEY).await?;
    row.as_ref().map(parse_head).transpose()
}

/// Returns the object name of the body with this hash.
#[must_use]
pub fn body_name(hash: &str) -> String {
    format!("config-{hash}")
}

/// Publishes a configuration.
///
/// `base` is the revision that the change is based on; without it, the current head is
/// used.
///
/// # Errors
///
/// Returns `Conflict` with the newer head if another revision was published first,
/// `NotPublished` if the platform did not apply the change, and `OutcomeUnknown` if the
/// platform's reply was lost and reading back the head did not show the result, or if the
/// head that conflicts can't be parsed.
pub async fn publish(
    client: &PlatformClient,
    config: &FleetConfig,
    operator: &str,
    base: Option<u64>,
) -> Result<RevisionHead, PublishError> {
    let not_published = |source| PublishError::NotPublished { source };
    let body = serde_json::to_vec(config)
        .map_err(|error| not_published(PlatformError::InvalidData { reason: error.to_string() }))?;
    let hash = blake3::hash(&body).to_hex().to_string();
    let current = read_head(client).await.map_err(not_published)?;
    let (revision, version) = match &current {
        Some((head, version)) => (head.revision, *version),
        None => (0, 0),
    };
    if let Some((winner, _)) = current
        && base.is_some_and(|base| base != revision)
    {
        return Err(PublishError::Conflict { winner });
    }
    client.put_object(&body_name(&hash), Bytes::from(body)).await.map_err(not_published)?;
    let head = RevisionHead {
        revision: revision + 1,
        hash,
        publish: uuid::Uuid::new_v4().to_string(),
        operator: operator.to_owned(),
    };
    replace_head(client, head, version).await
}

async fn replace_head(
    client: &PlatformClient,
    head: RevisionHead,
    version: u64,
) -> Result<RevisionHead, PublishError> {
    let write = TableWrite {
        key: HEAD_KEY.to_owned(),
        expected_version: Some(version),
        value: serde_json::to_string(&head).ok(),
    };
    match client.commit(&[write]).await {
        Ok(reply) if reply.committed => Ok(head),
        Ok(reply) => match reply.conflicts.first().map(parse_head) {
            Some(Ok((winner, _))) => Err(PublishError::Conflict { winner }),
            _ => Err(PublishError::OutcomeUnknown { revision: head.revision }),
        },
        Err(PlatformError::ReplyLost { .. }) => resolve_lost_reply(client, head).await,
        Err(source) => Err(PublishError::NotPublished { source }),
    }
}

/// Finds out by reading the head whether the write of `head` was applied, after the reply to
/// it was lost.
async fn resolve_lost_reply(
    client: &PlatformClient,
    head: RevisionHead,
) -> Result<RevisionHead, PublishError> {
    for attempt in 0..MAX_READ_BACK_ATTEMPTS {
        tokio::time::sleep(std::time::Duration::from_millis(100 << attempt)).await;
        match read_head(client).await {
            Ok(Some((found, _))) if found.publish == head.publish => return Ok(head),
            Ok(Some((winner, _))) if winner.revision >= head.revision => {
                return Err(PublishError::Conflict { winner });
            }
            // The head is older or was not read; the write may still be applied late.
            Ok(_) | Err(_) => {}
        }
    }
    Err(PublishError::OutcomeUnknown { revision: head.revision })
}

fn parse_head(row: &TableRow) -> Result<(RevisionHead, u64), PlatformError> {
    let head = serde_json::from_str(&row.value);
    let head = head.map_err(|error| PlatformError::InvalidData { reason: error.to_string() })?;
    Ok((head, row.version))
}
