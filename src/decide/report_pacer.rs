//! When a guard may tell those who listen to it something again.
//!
//! Pure. Answers load that changes all the time, of which not every change can be told:
//! what is told comes evenly, each time as soon as the bytes before are paid for. A
//! budget of a second, spent as it comes, is spent in the first tenth of it, and the
//! rest of the second is decided on what was told then.

use serde::Serialize;

use crate::base::clock::MicroTime;

/// The pace of reports to one group of listeners.
///
/// Invariant: over any time, no more bytes are granted than the rate allows in it and
/// one report to all.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ReportPacer {
    bytes_per_s: u32,
    /// When the next report may go out.
    next: MicroTime,
}

impl ReportPacer {
    /// Opens the pace of so many bytes in a second.
    #[must_use]
    pub const fn open(bytes_per_s: u32) -> Self {
        Self { bytes_per_s, next: MicroTime(0) }
    }

    /// Takes leave to send a report of so many bytes to all listeners together.
    pub fn take(&mut self, now: MicroTime, bytes: u64) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + MicroTime(bytes * 1_000_000 / u64::from(self.bytes_per_s.max(1)));
        true
    }
}
