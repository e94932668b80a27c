//! Time as the kernels see it: microseconds, passed in with each event.

use std::ops::{Add, Sub};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// A point in time, or a span, in microseconds since a process began.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct MicroTime(pub u64);

impl MicroTime {
    /// Converts milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the span from `earlier`, or zero where the clock went back.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns whole milliseconds, rounded up.
    #[must_use]
    pub const fn ceil_millis(self) -> u64 {
        self.0.div_ceil(1_000)
    }

    /// Returns the value as a standard duration.
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl From<Duration> for MicroTime {
    fn from(duration: Duration) -> Self {
        Self(duration.as_micros() as u64)
    }
}

impl Add for MicroTime {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub for MicroTime {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.since(rhs)
    }
}

/// The monotonic clock of one process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    pub(crate) fn open() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the clock was started.
    pub(crate) fn now(&self) -> MicroTime {
        MicroTime::from(self.origin.elapsed())
    }
}
