//! Adaptive concurrency limit: how many calls a target should run at once.
//!
//! A target accepts as many calls as it has slots, but many targets slow down when nearly
//! full, so that filling the last slots lowers their throughput. The limit is the number
//! of running calls at which the target was observed to answer the most calls per second.
//!
//! For each answered call the limit records by which factor its work took longer than
//! normal, with the slowness of the host divided out, and how many calls ran concurrently.
//! Concurrency levels are compared by throughput: the number of running calls divided by
//! that factor. The limit starts below the number of slots. While calls wait, another
//! limit is tried from time to time for a short period: alternately a higher one (first
//! all slots, then by bisection) and a lower one. A higher limit is adopted if its
//! throughput was greater. A lower limit is adopted only if its throughput was clearly
//! greater, because the times of single calls vary by half of their mean, and calls that
//! wait for nested calls look like calls slowed down by concurrency.

use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::decide::selection::decay;

/// Number of steps between `MIN_FRACTION` of the slots and all of them: each step is a
/// sixteenth of the slots.
const LEVEL_STEPS: usize = 8;

/// Fraction of the slots below which the limit never falls. A target that slows down
/// earlier has too many slots configured.
const MIN_FRACTION: f64 = 0.5;

/// Fraction of the slots, rounded down, at which the limit of an unknown target starts.
///
/// After a restart of the whole fleet there are more calls than slots at once, and it
/// would be too late to find out then that the last fifth of the slots lowers throughput.
const INITIAL_FRACTION: f64 = 0.8;

/// Number of answers needed to judge a level. Their mean is known within a tenth if
/// single calls vary by half, while filling the last fifth of the slots changes the
/// throughput by a quarter in either direction.
const MIN_SAMPLES: f64 = 24.0;

/// Number of answers at a lower level after which that level is no longer tried unless it
/// is clearly better.
const MIN_SAMPLES_LOWERED: f64 = 96.0;

/// Duration of a trial of another limit: two to three times the duration of most calls.
const TRIAL_DURATION: MicroTime = MicroTime::from_millis(600);

/// Time between two trials. Trials that bring nothing then take a sixth of the time and
/// cost less than a twentieth of the answers.
const TRIAL_INTERVAL: MicroTime = MicroTime::from_millis(3_000);

/// Time after which rejected limits are tried again.
const RETRIAL_INTERVAL: MicroTime = MicroTime::from_millis(30_000);

/// Half-life of the statistics, in microseconds: several trials, and less than the time in
/// which a target changes permanently.
const HALF_LIFE_US: f64 = 10_000_000.0;

/// Assumed relative deviation of one answer in the error of a mean: twice the deviation of
/// single calls.
const DEVIATION: f64 = 1.0;

/// Bounds to which the slowdown factor of a call is clamped.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.1, 10.0);

/// Statistics of one concurrency level.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct LevelStats {
    /// Maximum number of running calls that belongs to the level.
    #[serde(rename = "most")]
    max_running: usize,
    /// Number of answers, with exponential decay.
    answers: f64,
    /// Sum of the slowdown factors of these answers, with the same decay.
    #[serde(rename = "stretch")]
    slowdown_sum: f64,
}

/// Combined statistics of several adjacent levels.
struct LevelThroughput {
    answers: f64,
    /// Calls answered in the normal service time of one call.
    throughput: f64,
}

/// Phase of the trial cycle, which determines the limit in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
enum TrialPhase {
    /// The adopted level; the next trial is of a higher one.
    #[serde(rename = "Level")]
    BeforeRaised,
    /// A trial of a higher level.
    Raised,
    /// The adopted level; the next trial is of a lower one.
    #[serde(rename = "LevelAgain")]
    BeforeLowered,
    /// A trial of a lower level.
    Lowered,
}

/// Adaptive concurrency limit of one target.
///
/// Invariants: `levels` is never empty, and `max_running` increases strictly from
/// `MIN_FRACTION` of the slots, rounded up, to all of them; `lowered <= level <=
/// raised`, and all three are indices into `levels`.
#[derive(Clone, Debug, Serialize)]
pub struct ConcurrencyLimit {
    slots: usize,
    levels: Vec<LevelStats>,
    /// Index of the adopted level.
    level: usize,
    /// Index of the higher level to try; equal to `level` if there is none left.
    raised: usize,
    /// Index of the lower level to try; equal to `level` if there is none left.
    lowered: usize,
    #[serde(rename = "turn")]
    phase: TrialPhase,
    /// Time at which the current phase began.
    #[serde(rename = "turned")]
    phase_start: MicroTime,
    /// Time at which no level was left to try.
    #[serde(rename = "settled")]
    settled_at: MicroTime,
    /// Time up to which the decay of the statistics is applied.
    #[serde(rename = "aged")]
    decayed_at: MicroTime,
}

impl ConcurrencyLimit {
    /// Creates the limit of a target with `slots` slots.
    #[must_use]
    pub fn open(slots: u16) -> Self {
        let slots = usize::from(slots.max(1));
        let fractions = (0..=LEVEL_STEPS).map(|step| step as f64 / LEVEL_STEPS as f64);
        let maxima = fractions
            .map(|fraction| calls_of(MIN_FRACTION + (1.0 - MIN_FRACTION) * fraction, slots));
        let mut levels: Vec<LevelStats> =
            maxima.map(|max_running| LevelStats { max_running, ..LevelStats::default() }).collect();
        levels.dedup_by_key(|stats| stats.max_running);
        let initial = (INITIAL_FRACTION * slots as f64) as usize;
        let level = level_of(&levels, initial);
        Self {
            slots,
            level,
            raised: levels.len() - 1,
            lowered: level / 2,
            levels,
            phase: TrialPhase::BeforeRaised,
            phase_start: MicroTime(0),
            settled_at: MicroTime(0),
            decayed_at: MicroTime(0),
        }
    }

    /// Changes the number of slots; a different number discards all statistics.
    pub fn resize(&mut self, slots: u16) {
        if usize::from(slots.max(1)) != self.slots {
            *self = Self {
                decayed_at: self.decayed_at,
                phase_start: self.phase_start,
                ..Self::open(slots)
            };
        }
    }

    /// Returns the number of calls that may run at once.
    #[must_use]
    pub fn limit(&self) -> usize {
        let level = match self.phase {
            TrialPhase::BeforeRaised | TrialPhase::BeforeLowered => self.level,
            TrialPhase::Raised => self.raised,
            TrialPhase::Lowered => self.lowered,
        };
        self.levels[level].max_running
    }

    /// Returns the number of slots, which is the upper bound of the limit.
    #[must_use]
    pub const fn slots(&self) -> usize {
        self.slots
    }

    /// Starts and ends trials. No trial starts unless `has_waiting`, that is, unless calls wait
    /// for a slot.
    pub fn advance(&mut self, now: MicroTime, has_waiting: bool) {
        let elapsed = now.since(self.phase_start);
        let may_start = has_waiting && elapsed >= TRIAL_INTERVAL;
        let next = match self.phase {
            TrialPhase::BeforeRaised if may_start => TrialPhase::Raised,
            TrialPhase::BeforeLowered if may_start => TrialPhase::Lowered,
            TrialPhase::Raised if elapsed >= TRIAL_DURATION => TrialPhase::BeforeLowered,
            TrialPhase::Lowered if elapsed >= TRIAL_DURATION => TrialPhase::BeforeRaised,
            _ => return,
        };
        self.phase = next;
        self.phase_start = now;
        if self.is_settled() && now.since(self.settled_at) >= RETRIAL_INTERVAL {
            self.reset_trials();
        }
        self.check();
    }

    /// Checks the invariants, in builds with debug assertions.
    fn check(&self) {
        let is_increasing =
            self.levels.is_sorted_by(|left, right| left.max_running < right.max_running);
        debug_assert!(is_increasing, "levels are not increasing: {:?}", self.levels);
        let maximum = self.levels.last().map(|last| last.max_running);
        debug_assert!(maximum == Some(self.slots), "the last level does not have all slots");
        let is_ordered = self.lowered <= self.level && self.level <= self.raised;
        debug_assert!(
            is_ordered,
            "lowered {}, level {} and raised {} are out of order",
            self.lowered, self.level, self.raised
        );
        debug_assert!(self.raised < self.levels.len(), "no level has index {}", self.raised);
    }

    /// Returns whether no other level is left to try.
    const fn is_settled(&self) -> bool {
        self.raised == self.level && self.lowered == self.level
    }

    /// Selects new levels above and below the adopted one for the next trials.
    fn reset_trials(&mut self) {
        self.raised = self.levels.len() - 1;
        self.lowered = self.level / 2;
    }

    /// Records an answered call: `concurrency` is the mean number of calls that ran during
    /// the call, itself included, and `slowdown` the factor by which its work took longer
    /// than normal.
    pub fn record(&mut self, now: MicroTime, concurrency: f64, slowdown: f64) {
        if !slowdown.is_finite() || !concurrency.is_finite() {
            return;
        }
        self.decay_stats(now);
        let level = level_of(&self.levels, concurrency.round() as usize);
        let stats = &mut self.levels[level];
        stats.answers += 1.0;
        stats.slowdown_sum += slowdown.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        self.evaluate(now);
        self.check();
    }

    fn decay_stats(&mut self, now: MicroTime) {
        let elapsed = now.since(self.decayed_at).0 as f64;
        self.decayed_at = self.decayed_at.max(now);
        let remaining = decay(elapsed, HALF_LIFE_US);
        for stats in &mut self.levels {
            stats.answers *= remaining;
            stats.slowdown_sum *= remaining;
        }
    }

    /// Adopts or rejects the tried levels that have enough answers.
    fn evaluate(&mut self, now: MicroTime) {
        if self.is_settled() {
            return;
        }
        let Some(current) = self.throughput(self.level.saturating_sub(1), self.level) else {
            return;
        };
        // After a decrease the statistics of the former level can't judge the levels above
        // the new one.
        if !self.evaluate_lowered(&current) {
            self.evaluate_raised(&current);
        }
        if self.is_settled() {
            self.settled_at = now;
        }
    }

    /// Adopts the lower level if its throughput was clearly greater; returns whether it did.
    fn evaluate_lowered(&mut self, current: &LevelThroughput) -> bool {
        if self.lowered == self.level {
            return false;
        }
        let Some(lowered) = self.throughput(self.lowered, self.lowered) else { return false };
        let error = |measured: &LevelThroughput| DEVIATION / measured.answers.sqrt();
        let lower_bound = lowered.throughput * (1.0 - error(&lowered));
        if lower_bound > current.throughput * (1.0 + error(current)) {
            self.level = self.lowered;
            self.reset_trials();
            return true;
        }
        if lowered.answers >= MIN_SAMPLES_LOWERED {
            self.lowered = self.level;
        }
        false
    }

    /// Adopts the higher level if its throughput was greater; otherwise halves the distance
    /// for the next trial.
    fn evaluate_raised(&mut self, current: &LevelThroughput) {
        if self.raised == self.level {
            return;
        }
        let middle = self.level + (self.raised - self.level) / 2;
        let Some(raised) = self.throughput(middle + 1, self.raised) else { return };
        if raised.throughput > current.throughput {
            self.level = self.raised;
            self.reset_trials();
        } else {
            self.raised = middle;
        }
    }

    /// Returns the throughput of the levels from `first` to `last`, or `None` if they have
    /// too few answers.
    fn throughput(&self, first: usize, last: usize) -> Option<LevelThroughput> {
        let levels = &self.levels[first..=last];
        let answers: f64 = levels.iter().map(|stats| stats.answers).sum();
        if answers < MIN_SAMPLES {
            return None;
        }
        let running: f64 =
            levels.iter().map(|stats| stats.answers * stats.max_running as f64).sum();
        let slowdown: f64 = levels.iter().map(|stats| stats.slowdown_sum).sum();
        Some(LevelThroughput { answers, throughput: running / slowdown })
    }
}

/// Returns a fraction of the slots in whole calls, rounded up, at least one.
fn calls_of(fraction: f64, slots: usize) -> usize {
    ((fraction * slots as f64).ceil() as usize).clamp(1, slots)
}

/// Returns the index of the level that a number of running calls belongs to.
fn level_of(levels: &[LevelStats], running: usize) -> usize {
    levels.iter().position(|stats| running <= stats.max_running).unwrap_or(levels.len() - 1)
}
