//! Writes to the platform's store by others than railspan: its operator, and faulty writers.

use crate::platform::{OPERATOR_TABLE, PlatformStandin};

/// Table of railspan's own rows.
const SYSTEM_TABLE: &str = "railspan";

impl PlatformStandin {
    /// Writes the operator's configuration, which railspan can only read.
    pub fn write_config(&self, text: &str) {
        self.put_row(OPERATOR_TABLE, "config", Some(text.as_bytes()));
    }

    /// Writes a row of the operator's table with these raw bytes; `None` removes it.
    pub fn write_operator_row(&self, key: &str, value: Option<&[u8]>) {
        self.put_row(OPERATOR_TABLE, key, value);
    }

    /// Writes raw bytes to a row of railspan's table, as a faulty writer would.
    pub fn write_system_row(&self, key: &str, value: &[u8]) {
        self.put_row(SYSTEM_TABLE, key, Some(value));
    }
}
