//! Rows of requests that reach no target: what outlives a loss of power of all hosts.

use slog::{Logger, warn};

use crate::base::suspect::SuspectUpdate;
use crate::store::table::{TableRow, TableWrite};

/// Start of the keys of these rows. It begins as those of members do, so that a daemon
/// reads both in one call at its start.
pub(crate) const BLAME_PREFIX: &str = "fleet-blame-";

/// Rows taken at the most; each cost three targets.
const MAX_ROWS: usize = 1_024;

/// Makes the write that keeps a blamed request, or removes one that is not.
pub(crate) fn write(notice: SuspectUpdate) -> TableWrite {
    let value = notice.record.is_blamed().then(|| serde_json::to_string(&notice).ok()).flatten();
    TableWrite { key: format!("{BLAME_PREFIX}{}", notice.digest), expect: None, value }
}

/// Reads the rows that are of blamed requests; tells of those that can't be read.
pub(crate) fn read(rows: &[TableRow], logger: &Logger) -> Vec<SuspectUpdate> {
    let own = rows.iter().filter(|row| row.key.starts_with(BLAME_PREFIX)).take(MAX_ROWS);
    let parse = |row: &TableRow| match serde_json::from_str(&row.value) {
        Ok(notice) => Some(notice),
        Err(error) => {
            warn!(logger, "blame row unreadable"; "key" => &row.key, "why" => %error);
            None
        }
    };
    own.filter_map(parse).collect()
}
