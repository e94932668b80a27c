//! Time in microseconds, which the state machines receive with each event, and its source.

use std::ops::{Add, Sub};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A duration in microseconds, or a point in time as the duration since the process started.
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

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns the number of whole milliseconds, rounded up.
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

/// Monotonic clock of one process.
///
/// Unlike the monotonic clock of the standard library and of timers, it includes the time
/// for which the host is suspended: a lease that ended during a suspension has expired, and
/// a call that waited through one is late, even if the timers have not fired.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessClock {
    origin: Duration,
}

impl ProcessClock {
    /// Starts the clock.
    pub(crate) fn open() -> Self {
        Self { origin: since_boot() }
    }

    /// Returns the time since the clock was started.
    pub(crate) fn now(&self) -> MicroTime {
        MicroTime::from(since_boot().saturating_sub(self.origin))
    }
}

/// Returns the time since the host booted, including the time it was suspended.
fn since_boot() -> Duration {
    // All supported kernels have this clock.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}
