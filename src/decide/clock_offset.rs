//! Offset of another process's clock from the own one.
//!
//! The clocks of processes have no common origin, and links may delay messages. A message
//! that carries its sending time gives a lower bound of the offset, since it was sent no later
//! than it arrived; the message with the shortest transit gives the best bound. With it a
//! sender can express a sending time by the receiver's clock, and the receiver can subtract the
//! transit delay of a message.

use serde::Serialize;

use crate::base::clock::MicroTime;

/// Maximum relative drift between two clocks: ten times that of quartz clocks.
const MAX_DRIFT: f64 = 0.000_5;

/// Estimated offset of another clock.
///
/// Invariant: never greater than the true offset, as long as the clocks drift apart by no more
/// than `MAX_DRIFT`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ClockOffset {
    /// Lower bound of the other clock's time minus the own one.
    #[serde(rename = "lead_us")]
    offset_us: i64,
    /// Time at which the bound was measured.
    #[serde(rename = "noted")]
    updated_at: MicroTime,
}

impl ClockOffset {
    /// Creates the estimate from a first message, sent at `sent` by the other clock and received
    /// at `now`.
    #[must_use]
    pub const fn open(now: MicroTime, sent: MicroTime) -> Self {
        Self { offset_us: sent.0.cast_signed() - now.0.cast_signed(), updated_at: now }
    }

    /// Updates the estimate from a further message; returns how much longer its transit took
    /// than that of the fastest one.
    pub fn update(&mut self, now: MicroTime, sent: MicroTime) -> MicroTime {
        let newest = Self::open(now, sent);
        let known = self.offset_at(now);
        if newest.offset_us >= known {
            *self = newest;
            return MicroTime(0);
        }
        MicroTime((known - newest.offset_us) as u64)
    }

    /// Returns a lower bound of the time that the other clock shows when the own one shows
    /// `now`.
    #[must_use]
    pub fn remote_time(&self, now: MicroTime) -> MicroTime {
        MicroTime((now.0.cast_signed() + self.offset_at(now)).max(0) as u64)
    }

    /// Returns the lower bound of the offset at `now`, reduced by the possible drift since it
    /// was measured.
    fn offset_at(&self, now: MicroTime) -> i64 {
        self.offset_us - (now.since(self.updated_at).0 as f64 * MAX_DRIFT) as i64
    }
}
