//! Table rows of blamed requests, which may not be sent to any target.
//!
//! The rows keep this information when all hosts lose power at once.

use slog::{Logger, warn};

use crate::base::suspect::SuspectUpdate;
use crate::store::table::{TableRow, TableWrite};

/// Key prefix of the rows of blamed requests.
///
/// It starts with the same text as the prefix of member rows, so that a daemon reads both
/// with one request when it starts.
pub(crate) const BLAMED_PREFIX: &str = "fleet-blame-";

/// Maximum number of rows that are read. Each row stands for three crashed targets.
const MAX_ROWS: usize = 1_024;

/// Returns the write that stores a blamed request, or deletes the row of a request that
/// is no longer blamed.
pub(crate) fn row_write(update: SuspectUpdate) -> TableWrite {
    let value = update.record.is_blamed().then(|| serde_json::to_string(&update).ok()).flatten();
    TableWrite { key: format!("{BLAMED_PREFIX}{}", update.digest), expected_version: None, value }
}

/// Parses the rows of blamed requests among `rows`; logs and skips unreadable ones.
pub(crate) fn parse_rows(rows: &[TableRow], logger: &Logger) -> Vec<SuspectUpdate> {
    let blamed = rows.iter().filter(|row| row.key.starts_with(BLAMED_PREFIX)).take(MAX_ROWS);
    let parse = |row: &TableRow| match serde_json::from_str(&row.value) {
        Ok(update) => Some(update),
        Err(error) => {
            warn!(logger, "can't parse blamed request row"; "key" => &row.key, "why" => %error);
            None
        }
    };
    blamed.filter_map(parse).collect()
}
