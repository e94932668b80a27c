//! How far another process's clock is ahead of the own one.
//!
//! Clocks of processes have no common origin, and links may hold messages up. A
//! message that tells when it was sent bounds the lead from below: it was sent no
//! later than it came. The message that travelled fastest bounds it best. So a
//! sender can say when a message left, in the receiver's time, and the receiver
//! can take off what the message lost on its way.

use serde::Serialize;

use crate::base::clock::MicroTime;

/// How fast two clocks may part, as a part of the time that passes: ten times
/// what quartz clocks do.
const DRIFT: f64 = 0.000_5;

/// What is known of another clock's lead.
///
/// Invariant: never more than the true lead, as long as clocks part no faster
/// than [`DRIFT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ClockOffset {
    lead_us: i64,
    noted: MicroTime,
}

impl ClockOffset {
    /// Takes the first message, sent at `told` by the other clock, come at `now`.
    #[must_use]
    pub const fn open(now: MicroTime, told: MicroTime) -> Self {
        Self { lead_us: told.0.cast_signed() - now.0.cast_signed(), noted: now }
    }

    /// Takes a further message; returns how much longer it was on its way than the
    /// fastest one.
    pub fn update(&mut self, now: MicroTime, told: MicroTime) -> MicroTime {
        let newest = Self::open(now, told);
        let known = self.lead_at(now);
        if newest.lead_us >= known {
            *self = newest;
            return MicroTime(0);
        }
        MicroTime((known - newest.lead_us) as u64)
    }

    /// Returns what the other clock shows at the least when the own one shows `now`.
    #[must_use]
    pub fn remote_time(&self, now: MicroTime) -> MicroTime {
        MicroTime((now.0.cast_signed() + self.lead_at(now)).max(0) as u64)
    }

    fn lead_at(&self, now: MicroTime) -> i64 {
        self.lead_us - (now.since(self.noted).0 as f64 * DRIFT) as i64
    }
}
