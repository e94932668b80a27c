//! Time as the kernels see it: microseconds, passed in with each event.

use std::ops::{Add, Sub};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
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

/// The clock of one process, which never goes back.
///
/// It counts the time for which its host is suspended, as the steady clock of the
/// standard library and of timers does not: a lease that ran out meanwhile has run out,
/// and a call that waited through it is late, whenever the timers fire.
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

/// Returns the time since the host started, that of its suspensions included.
fn since_boot() -> Duration {
    // Every kernel that is supported has this clock.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}
