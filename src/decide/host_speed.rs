//! Current slowness of a target's host, and whether work should wait until it is over.
//!
//! A host shared with other workloads is several times slower for some hundred
//! milliseconds, then normal again. A call takes as long as its host's slowness at its
//! start implies, whatever the slowness is later (measurement in docs/design/overload.md).
//! A call that starts in a slow period therefore holds its slot several times as long and
//! is late, whereas one that waits until the period is over is in time.

use crate::base::clock::MicroTime;

/// Slowness of a host at its normal speed, in percent.
pub(crate) const NORMAL_PERCENT: f64 = 100.0;

/// Maximum slowness taken into account, in percent: at any greater one no call is in time
/// either.
const MAX_PERCENT: f64 = 5_000.0;

/// Minimum slowness that a target can report, as a factor.
const MIN_SLOWNESS: f64 = 1.0 / NORMAL_PERCENT;

/// Multiple of the best recent slowness from which on the host counts as slow. Below it,
/// waiting gains less than the duration of a slow period.
const SLOW_FACTOR: f64 = 1.5;

/// Weight of the newest slow period in the moving average of their duration.
const SLOW_PERIOD_WEIGHT: f64 = 0.2;

/// Assumed duration of a slow period before the first one has ended, in microseconds: a few
/// health checks of the guard.
const INITIAL_SLOW_PERIOD_US: f64 = 200_000.0;

/// Bounds of the age at which a report is stale. More frequent reports cost more than they
/// are worth, and a slow period that has lasted for long may still end soon.
const STALE_BOUNDS: (MicroTime, MicroTime) =
    (MicroTime::from_millis(40), MicroTime::from_millis(100));

/// Maximum duration of a slow period taken into account, in microseconds: no call waits
/// that long.
const MAX_SLOW_PERIOD_US: f64 = 2_000_000.0;

/// Time constant with which the best slowness rises to the reported one, in microseconds:
/// about ten slow periods. A host that is slow for longer counts as normal at that speed.
const BEST_RISE_TIME_US: f64 = 2_000_000.0;

/// Slowness of one host over time, as reported by its target.
///
/// Invariants: `slowness` and `best` are finite and at least `MIN_SLOWNESS`, and
/// `best <= slowness`.
#[derive(Clone, Copy, Debug)]
pub struct HostSpeed {
    /// Latest reported slowness, as a factor of the normal duration of work.
    slowness: f64,
    /// Best recent slowness, as a factor.
    best: f64,
    /// Moving average of the duration of slow periods, in microseconds.
    slow_period_us: f64,
    /// Start of the current slow period.
    slow_since: Option<MicroTime>,
    /// Time of the latest report; `None` before the first.
    reported_at: Option<MicroTime>,
}

impl Default for HostSpeed {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            best: 1.0,
            slow_period_us: INITIAL_SLOW_PERIOD_US,
            slow_since: None,
            reported_at: None,
        }
    }
}

impl HostSpeed {
    /// Records the reported duration of work in percent of the normal one; zero means that
    /// the target reports none.
    pub fn note_slowness(&mut self, now: MicroTime, percent: u16) {
        if percent == 0 {
            return;
        }
        self.slowness = f64::from(percent).min(MAX_PERCENT) / NORMAL_PERCENT;
        self.best = match self.reported_at {
            Some(reported_at) if self.slowness > self.best => {
                let remaining = (-(now.since(reported_at).0 as f64) / BEST_RISE_TIME_US).exp();
                let best = self.slowness + (self.best - self.slowness) * remaining;
                // Rounding errors may exceed the bounds.
                best.clamp(MIN_SLOWNESS, self.slowness)
            }
            _ => self.slowness,
        };
        self.reported_at = Some(self.reported_at.map_or(now, |reported_at| reported_at.max(now)));
        self.note_slow_period(now);
        self.check();
    }

    /// Checks the invariants, in builds with debug assertions.
    fn check(&self) {
        let in_bounds = self.slowness.is_finite() && self.best >= MIN_SLOWNESS;
        debug_assert!(in_bounds, "slowness {} or best {} out of bounds", self.slowness, self.best);
        debug_assert!(
            self.best <= self.slowness,
            "best {} exceeds slowness {}",
            self.best,
            self.slowness
        );
    }

    /// Starts or ends the slow period according to the latest report.
    fn note_slow_period(&mut self, now: MicroTime) {
        if self.is_slow() {
            self.slow_since.get_or_insert(now);
        } else if let Some(since) = self.slow_since.take() {
            let duration = (now.since(since).0 as f64).min(MAX_SLOW_PERIOD_US);
            self.slow_period_us += SLOW_PERIOD_WEIGHT * (duration - self.slow_period_us);
        }
    }

    /// Returns whether the host is in a slow period.
    #[must_use]
    pub const fn is_slow(&self) -> bool {
        self.slowness >= SLOW_FACTOR * self.best
    }

    /// Returns the expected remaining time of the current slow period; zero if there is none
    /// or if it has exceeded the average.
    #[must_use]
    pub fn slow_period_left(&self, now: MicroTime) -> MicroTime {
        let Some(since) = self.slow_since else { return MicroTime(0) };
        MicroTime(self.slow_period_us as u64).since(now.since(since))
    }

    /// Returns the factor by which a call that starts now takes longer than normal.
    #[must_use]
    pub const fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns the age at which a report of slowness should be refreshed: a quarter of a slow
    /// period, in which few calls start on outdated information.
    #[must_use]
    pub fn stale_after(&self) -> MicroTime {
        let quarter = MicroTime((self.slow_period_us / 4.0) as u64);
        quarter.clamp(STALE_BOUNDS.0, STALE_BOUNDS.1)
    }

    /// Returns whether work that normally takes `work_us` is done sooner if it starts after
    /// the current slow period.
    #[must_use]
    pub fn is_worth_waiting(&self, work_us: f64) -> bool {
        self.is_slow() && work_us * self.slowness > self.slow_period_us + work_us * self.best
    }

    /// Returns the expected time until work that normally takes `work_us` is done, including
    /// a wait for the end of the slow period if that is worthwhile, in microseconds.
    #[must_use]
    pub fn expected_us(&self, work_us: f64) -> f64 {
        if self.is_worth_waiting(work_us) {
            return self.slow_period_us + work_us * self.best;
        }
        work_us * self.slowness
    }
}
