//! Publishing a revision: the body by its hash, then the head by compare-and-set.

use bytes::Bytes;
use snafu::Snafu;

use crate::rules::config::FleetConfig;
use crate::rules::revision::RevisionHead;
use crate::store::table::{PlatformClient, PlatformError, TableRow, TableWrite};

/// Key of the head row.
pub const HEAD_KEY: &str = "config-head";

/// Tries to settle a lost answer.
const SETTLE_TRIES: u32 = 5;

/// Why a revision was not published.
#[derive(Debug, Snafu)]
pub enum PublishError {
    /// Another operator's revision came between.
    #[snafu(display(
        "conflict: revision {} by {} is newer than the one this change was made on",
        winner.revision,
        winner.operator
    ))]
    Conflict {
        /// The head that is in the table.
        winner: RevisionHead,
    },
    /// The platform did not take it; nothing changed.
    #[snafu(display("not published: {source}"))]
    NotPublished {
        /// What the platform said.
        source: PlatformError,
    },
    /// It can't be told whether the revision was published.
    #[snafu(display(
        "unknown whether revision {revision} was published; look with `railspan status`"
    ))]
    OutcomeUnknown {
        /// The revision tried.
        revision: u64,
    },
}

/// Reads the head row.
///
/// # Errors
///
/// Fails when the platform is down or the row can't be read.
pub async fn read_head(
    client: &PlatformClient,
) -> Result<Option<(RevisionHead, u64)>, PlatformError> {
    let row = client.row(HEAD_KEY).await?;
    row.as_ref().map(parse_head).transpose()
}

/// Returns the object name of a body.
#[must_use]
pub fn body_name(hash: &str) -> String {
    format!("config-{hash}")
}

/// Publishes a configuration.
///
/// `base` is the revision the change was made on; without one, the present
/// head is taken.
///
/// # Errors
///
/// `Conflict` names the winner of a race; `Unsettled` where the platform's
/// answer was lost and can't be settled by reading back.
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
    let present = read_head(client).await.map_err(not_published)?;
    let (revision, version) = match &present {
        Some((head, version)) => (head.revision, *version),
        None => (0, 0),
    };
    if let Some((winner, _)) = present
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
    move_head(client, head, version).await
}

async fn move_head(
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
        Err(PlatformError::ReplyLost { .. }) => settle(client, head).await,
        Err(source) => Err(PublishError::NotPublished { source }),
    }
}

/// Reads back whether one's own publish is the head.
async fn settle(client: &PlatformClient, head: RevisionHead) -> Result<RevisionHead, PublishError> {
    for round in 0..SETTLE_TRIES {
        tokio::time::sleep(std::time::Duration::from_millis(100 << round)).await;
        match read_head(client).await {
            Ok(Some((found, _))) if found.publish == head.publish => return Ok(head),
            Ok(Some((winner, _))) if winner.revision >= head.revision => {
                return Err(PublishError::Conflict { winner });
            }
            // An older head may still be overtaken by the late write.
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
