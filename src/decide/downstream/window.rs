//! Sums over the recent past.

use crate::base::clock::MicroTime;

/// Number of buckets of a sliding window.
const BUCKETS: usize = 8;

/// Length of one bucket.
const BUCKET: MicroTime = MicroTime::from_millis(200);

/// Length of a sliding window.
pub(super) const WINDOW: MicroTime = MicroTime(BUCKET.0 * BUCKETS as u64);

/// Sum of the values added within the last [`WINDOW`].
#[derive(Clone, Debug, Default)]
pub(super) struct WindowSum {
    buckets: [f64; BUCKETS],
    /// Number of the newest bucket, counted from time zero.
    newest: u64,
}

impl WindowSum {
    /// Adds a value.
    pub(super) fn add(&mut self, now: MicroTime, value: f64) {
        let number = (now.0 / BUCKET.0).max(self.newest);
        for passed in (self.newest + 1..=number).take(BUCKETS) {
            self.buckets[passed as usize % BUCKETS] = 0.0;
        }
        self.newest = number;
        self.buckets[number as usize % BUCKETS] += value;
    }

    /// Returns the sum over the window that ends now.
    pub(super) fn total(&self, now: MicroTime) -> f64 {
        let number = now.0 / BUCKET.0;
        let first = (number + 1).saturating_sub(BUCKETS as u64);
        let oldest = (self.newest + 1).saturating_sub(BUCKETS as u64);
        (oldest.max(first)..=self.newest).map(|kept| self.buckets[kept as usize % BUCKETS]).sum()
    }
}

/// Sum whose values lose half their weight every [`HALF_LIFE_US`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingSum {
    value: f64,
    updated_at: MicroTime,
}

/// Half-life of what is known about a route, in microseconds: long enough to hold several runs
/// of a throttled route, short enough to follow a target that changes what it calls.
const HALF_LIFE_US: f64 = 2_000_000.0;

impl DecayingSum {
    /// Adds a value.
    pub(super) fn add(&mut self, now: MicroTime, value: f64) {
        self.value = self.at(now) + value;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the sum.
    pub(super) fn at(&self, now: MicroTime) -> f64 {
        self.value * (-(now.since(self.updated_at).0 as f64) / HALF_LIFE_US).exp2()
    }
}
