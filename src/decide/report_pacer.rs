//! Pacing of the load reports that a guard sends to its watchers.
//!
//! Load changes all the time, and not every change can be reported. Reports are spaced evenly:
//! each is sent as soon as the rate permits the bytes of those before it. A budget per second
//! would be used up in the first tenth of the second, and the calls of the remaining time would
//! be placed according to outdated reports.

use serde::Serialize;

use crate::base::clock::MicroTime;

/// Pacer of the reports to one group of watchers.
///
/// Invariant: over any time, no more bytes are granted than the rate permits plus one report to
/// all watchers.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ReportPacer {
    bytes_per_s: u32,
    /// Time from which on the next report may be sent.
    #[serde(rename = "next")]
    next_at: MicroTime,
}

impl ReportPacer {
    /// Creates a pacer with a rate of `bytes_per_s`.
    #[must_use]
    pub const fn open(bytes_per_s: u32) -> Self {
        Self { bytes_per_s, next_at: MicroTime(0) }
    }

    /// Requests permission to send a report of `bytes` bytes to all watchers together; returns
    /// whether it may be sent now.
    pub fn try_take(&mut self, now: MicroTime, bytes: u64) -> bool {
        if now < self.next_at {
            return false;
        }
        self.next_at = now + MicroTime(bytes * 1_000_000 / u64::from(self.bytes_per_s.max(1)));
        true
    }
}
