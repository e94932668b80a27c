//! How slow a target's host is at this moment, and whether work should wait for
//! it to be faster.
//!
//! Pure. Answers load that shifts within some hundred milliseconds: a host that
//! is shared with others is several times slower for a short spell, then usual
//! again. A target takes for a call what its host's slowness was when the call
//! began, whatever follows (docs/design/overload.md has the measurement). So a
//! call that begins in a slow spell holds its slot several times as long, and
//! is late, where one that waits until the spell is over is in time.

use crate::base::clock::MicroTime;

/// Slowness of a host at its usual speed, in percent.
pub(crate) const USUAL_PERCENT: f64 = 100.0;

/// Slowness that is believed at most, in percent: a greater one says no more than
/// that nothing will be in time.
const MOST_PERCENT: f64 = 5_000.0;

/// Least slowness that can be told, as a factor.
const LEAST_SLOWNESS: f64 = 1.0 / USUAL_PERCENT;

/// Multiple of the best recent slowness from which on a moment is a slow spell;
/// below it, waiting gains less than a spell lasts.
const SPELL_FROM: f64 = 1.5;

/// Weight of the newest spell in the smoothed length of spells.
const SPELL_WEIGHT: f64 = 0.2;

/// Length of a slow spell before the first was seen to end, in microseconds: a
/// few of the questions that a guard asks its target.
const FIRST_SPELL_US: f64 = 200_000.0;

/// Shortest and longest age of a report that wants a newer one: more often costs
/// more than it tells, and a spell that lasts longer may still end soon.
const STALE_BOUNDS: (MicroTime, MicroTime) =
    (MicroTime::from_millis(40), MicroTime::from_millis(100));

/// Longest spell that is believed, in microseconds: no call waits that long.
const LONGEST_SPELL_US: f64 = 2_000_000.0;

/// Time over which the best slowness rises to what is told, in microseconds: some
/// ten spells. A host that is slow for longer than that is taken as it is.
const BEST_OVER_US: f64 = 2_000_000.0;

/// The slowness of one host, as its target tells it.
///
/// Invariants: `slowness` and `best` are at least a hundredth and finite, and
/// `best <= slowness`.
#[derive(Clone, Copy, Debug)]
pub struct HostSpeed {
    /// The newest slowness, as a factor of the usual time.
    slowness: f64,
    /// The least slowness of late.
    best: f64,
    /// Smoothed length of slow spells, in microseconds.
    spell_us: f64,
    /// When the present slow spell began.
    spell_since: Option<MicroTime>,
    /// When the newest report came; nothing before the first.
    heard: Option<MicroTime>,
}

impl Default for HostSpeed {
    fn default() -> Self {
        Self { slowness: 1.0, best: 1.0, spell_us: FIRST_SPELL_US, spell_since: None, heard: None }
    }
}

impl HostSpeed {
    /// Notes how long work takes now, in percent of the usual time; zero tells
    /// nothing.
    pub fn note(&mut self, now: MicroTime, percent: u16) {
        if percent == 0 {
            return;
        }
        self.slowness = f64::from(percent).min(MOST_PERCENT) / USUAL_PERCENT;
        self.best = match self.heard {
            Some(heard) if self.slowness > self.best => {
                let kept = (-(now.since(heard).0 as f64) / BEST_OVER_US).exp();
                let best = self.slowness + (self.best - self.slowness) * kept;
                // What is rounded in between may leave the bounds.
                best.clamp(LEAST_SLOWNESS, self.slowness)
            }
            _ => self.slowness,
        };
        self.heard = Some(self.heard.map_or(now, |heard| heard.max(now)));
        self.note_spell(now);
        self.check();
    }

    /// Checks the invariants, in builds with debug assertions.
    fn check(&self) {
        let sound = self.slowness.is_finite() && self.best >= LEAST_SLOWNESS;
        debug_assert!(sound, "{} and {} are finite and positive", self.slowness, self.best);
        debug_assert!(self.best <= self.slowness, "{} of {}", self.best, self.slowness);
    }

    fn note_spell(&mut self, now: MicroTime) {
        if self.is_slow() {
            self.spell_since.get_or_insert(now);
        } else if let Some(since) = self.spell_since.take() {
            let lasted = (now.since(since).0 as f64).min(LONGEST_SPELL_US);
            self.spell_us += SPELL_WEIGHT * (lasted - self.spell_us);
        }
    }

    /// Tells whether the host is in a slow spell.
    #[must_use]
    pub const fn is_slow(&self) -> bool {
        self.slowness >= SPELL_FROM * self.best
    }

    /// Returns the time until the present slow spell is expected to end; zero if there
    /// is none, or if it lasts longer than spells did.
    #[must_use]
    pub fn slow_period_left(&self, now: MicroTime) -> MicroTime {
        let Some(since) = self.spell_since else { return MicroTime(0) };
        MicroTime(self.spell_us as u64).since(now.since(since))
    }

    /// Returns how much longer than usual a call takes that begins now.
    #[must_use]
    pub const fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns after how long a report of slowness wants a newer one: within a quarter
    /// of a spell few calls begin that do not know of it.
    #[must_use]
    pub fn stale_after(&self) -> MicroTime {
        let quarter = MicroTime((self.spell_us / 4.0) as u64);
        quarter.clamp(STALE_BOUNDS.0, STALE_BOUNDS.1)
    }

    /// Tells whether some work is done sooner if it begins after the present slow
    /// spell.
    #[must_use]
    pub fn is_worth_waiting(&self, work_us: f64) -> bool {
        self.is_slow() && work_us * self.slowness > self.spell_us + work_us * self.best
    }

    /// Estimates how long some work takes, the wait for a better moment included,
    /// in microseconds.
    #[must_use]
    pub fn expected_us(&self, work_us: f64) -> f64 {
        if self.is_worth_waiting(work_us) {
            return self.spell_us + work_us * self.best;
        }
        work_us * self.slowness
    }
}
