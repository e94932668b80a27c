//! Who else writes into the platform's store: its operator, and writers of nonsense.

use crate::platform::{OPERATOR_TABLE, PlatformStandin};

/// Table of the system's own rows.
const OWN_TABLE: &str = "railspan";

impl PlatformStandin {
    /// Writes the operator's configuration, which the system may only read.
    pub fn write_config(&self, text: &str) {
        self.put_row(OPERATOR_TABLE, "config", Some(text.as_bytes()));
    }

    /// Writes a row of the operator's, as it is, or removes it.
    pub fn write_operator_row(&self, key: &str, value: Option<&[u8]>) {
        self.put_row(OPERATOR_TABLE, key, value);
    }

    /// Writes a row of the system's, as another writer would.
    pub fn write_system_row(&self, key: &str, value: &[u8]) {
        self.put_row(OWN_TABLE, key, Some(value));
    }
}
