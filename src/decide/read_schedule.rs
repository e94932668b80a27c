//! Decides when a daemon reads the configuration from the store, or asks another daemon what that
//! one knows, so that its own knowledge is never older than the stated deadline.
//!
//! Age counts from the start of the read that proved what is known. The first daemon of an order
//! that all compute alike reads before others have to; each later one reads once its knowledge is
//! older than that of a daemon which hears from a working reader. So no daemon depends on another
//! one to read, and in a calm fleet only one does.

use std::time::Duration;

use crate::base::clock::MicroTime;
use crate::decide::revocation::AskTiming;

/// Age of the own knowledge at which the first daemon of the order reads, in percent of the
/// deadline.
const READER_PERCENT: u64 = 60;

/// Age at which a daemon that its data centre asks, and any other daemon, asks another one.
const RELAY_ASK_PERCENT: u64 = 63;
const ASK_PERCENT: u64 = 67;

/// Age from which the next daemons of the order read, and part of the deadline between two of
/// them, as a divisor.
const SUCCESSOR_PERCENT: u64 = 76;
const SUCCESSOR_STEP_DIVISOR: u64 = 200;

/// Age at which daemons after the first [`SUCCESSORS`] begin to read.
const LAST_PERCENT: u64 = 81;
const SUCCESSORS: usize = 10;

/// Rate at which those daemons begin to read, all together, in reads per second.
const LAST_READS_PER_S: f64 = 1_600.0;

/// Rate at which they repeat reads while the store fails, all together, in reads per second.
const FAILED_READS_PER_S: f64 = 40.0;

/// Part of the deadline for which a read or a poll on a connection that was used before is waited
/// for, as a divisor.
const HANG_DIVISOR: u64 = 8;

/// Part of the deadline for which a read on a new connection is waited for, as a divisor.
const RETRY_DIVISOR: u64 = 4;

/// Part of the deadline for which the reply of another daemon is waited for, as a divisor.
const REPLY_DIVISOR: u64 = 24;

/// When a daemon reads and asks, for one deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSchedule {
    deadline: MicroTime,
}

impl ReadSchedule {
    /// Creates the schedule that keeps knowledge newer than a deadline.
    #[must_use]
    pub const fn open(deadline: MicroTime) -> Self {
        Self { deadline }
    }

    /// Returns the deadline.
    #[must_use]
    pub const fn deadline(&self) -> MicroTime {
        self.deadline
    }

    /// Returns the age of the own knowledge at which the daemon at a position of the order reads,
    /// in a fleet of `size` daemons; `draw` is a random number from 0 to 1.
    #[must_use]
    pub fn read_age(&self, rank: usize, size: usize, draw: f64) -> MicroTime {
        match rank {
            0 => self.percent(READER_PERCENT),
            1..SUCCESSORS => {
                let step = MicroTime(self.deadline.0 / SUCCESSOR_STEP_DIVISOR * rank as u64);
                self.percent(SUCCESSOR_PERCENT) + step
            }
            _ => self.percent(LAST_PERCENT) + spread(size, LAST_READS_PER_S, draw),
        }
    }

    /// Returns the minimum time between the starts of two reads that succeed.
    #[must_use]
    pub const fn read_interval(&self) -> MicroTime {
        self.percent(READER_PERCENT)
    }

    /// Returns the age of the own knowledge at which a daemon asks another one.
    #[must_use]
    pub const fn ask_age(&self, is_relay: bool) -> MicroTime {
        self.percent(if is_relay { RELAY_ASK_PERCENT } else { ASK_PERCENT })
    }

    /// Returns when another daemon is asked; `is_relay` is true if others of its data centre ask
    /// this one.
    #[must_use]
    pub const fn ask_timing(&self, is_relay: bool) -> AskTiming {
        let reply_timeout = MicroTime(self.deadline.0 / REPLY_DIVISOR);
        // Datagrams get lost, so a daemon that did not reply once may well reply the next time.
        let silent_duration = MicroTime(reply_timeout.0 * 2);
        AskTiming {
            age: self.ask_age(is_relay),
            reply_timeout,
            silent_duration,
            others_probability: 0.5,
        }
    }

    /// Returns the maximum wait for a read on a connection that was used before: it may have
    /// fallen silent.
    #[must_use]
    pub const fn hang_limit(&self) -> MicroTime {
        MicroTime(self.deadline.0 / HANG_DIVISOR)
    }

    /// Returns the maximum wait for a read on a new connection after some reads that failed: a
    /// slow store gets more time.
    #[must_use]
    pub fn retry_limit(&self, failures: u32, longest: Duration) -> Duration {
        let limit = Duration::from_micros(self.deadline.0 / RETRY_DIVISOR);
        limit.saturating_mul(2_u32.saturating_pow(failures.min(8))).min(longest)
    }

    /// Returns the pause of a daemon at a position of the order after some reads that failed.
    ///
    /// `pause` is that of a daemon alone. While the store is down, all daemons of a large fleet
    /// together must not read more often than a small one does.
    #[must_use]
    pub fn failure_pause(&self, rank: usize, size: usize, pause: Duration, draw: f64) -> Duration {
        if rank < SUCCESSORS {
            return pause;
        }
        pause.max(spread(size, FAILED_READS_PER_S, 0.5 + draw).duration())
    }

    const fn percent(self, percent: u64) -> MicroTime {
        MicroTime(self.deadline.0 * percent / 100)
    }
}

/// Returns a time that spreads the events of `size` daemons to a rate.
fn spread(size: usize, rate: f64, draw: f64) -> MicroTime {
    MicroTime::from(Duration::from_secs_f64(size as f64 / rate * draw))
}
