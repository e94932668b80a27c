//! How many calls a target should run at once.
//!
//! Pure. Answers overload: a target takes as many calls as it has slots, but
//! many slow down when nearly full, so that the last calls it takes in cost
//! more than they bring. The limit is the number of running calls at which the
//! target was seen to answer most calls in a time.
//!
//! Each answered call tells how much longer its work took than usual, with the
//! slowness of the host taken out, and how many calls ran beside it. Levels of
//! crowding are compared by calls answered in a time: those that run, divided
//! by how much longer they take. The limit starts below the slots. While calls
//! wait, another limit is tried now and then for a moment: a higher one, first
//! all slots, then by halves, and in turn a lower one. A higher one stays where
//! more calls were answered. A lower one stays only where clearly more were:
//! single calls spread by half of their mean, and those that wait for deeper
//! calls look as if they were crowded.

use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::decide::selection::half_life;

/// Levels of crowding that are told apart, from [`LEAST_PART`] of the slots to
/// all: steps of a sixteenth of the slots.
const LEVELS: usize = 8;

/// Part of the slots that the limit never falls below: a target that bends
/// earlier has its slots set wrong.
const LEAST_PART: f64 = 0.5;

/// Part of the slots, rounded down, at which a target starts that nothing is known
/// of. After a restart of the whole fleet there are more calls than slots at
/// once, and to learn then that the last fifth costs more than it brings is too
/// late.
const FIRST_PART: f64 = 0.8;

/// Answers at a level that it is judged by: their mean is known within a tenth
/// where single calls spread by half, and to fill the last fifth of the slots
/// brings a quarter or costs as much.
const MIN_SAMPLES: f64 = 24.0;

/// Answers at a lower level after which it is no longer tried where it is not
/// clearly better.
const MIN_SAMPLES_LOWERED: f64 = 96.0;

/// Time for which another limit is tried: two to three times what most calls
/// take.
const TRIED_FOR: MicroTime = MicroTime::from_millis(600);

/// Time between two trials: where they bring nothing, a sixth of the time costs
/// less than a twentieth of the answers.
const TRIED_EVERY: MicroTime = MicroTime::from_millis(3_000);

/// Time after which limits that brought nothing are tried again.
const TRIED_AGAIN: MicroTime = MicroTime::from_millis(30_000);

/// Time in which what is known loses half its weight, in microseconds: some
/// raised moments, and less than a target takes to change for good.
const HALF_LIFE_US: f64 = 10_000_000.0;

/// Spread of one answer that is allowed for in a mean, as a part: twice what
/// single calls spread by.
const SPREAD: f64 = 1.0;

/// Longest and shortest time of a call that are believed, as factors of usual.
const STRETCH_BOUNDS: (f64, f64) = (0.1, 10.0);

/// What is known of one level.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct LevelFigures {
    /// The most running calls that belong to it.
    most: usize,
    /// Answers, the older ones with less weight.
    answers: f64,
    /// Sum of their stretches, weighted alike.
    stretch: f64,
}

/// What is known of some levels together.
struct LevelRate {
    answers: f64,
    /// Calls answered in the usual time of one.
    rate: f64,
}

/// Which limit holds at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
enum TrialTurn {
    /// The limit itself; the trial before was a lower one.
    Level,
    /// A higher one, for a moment.
    Raised,
    /// The limit itself; the trial before was a higher one.
    LevelAgain,
    /// A lower one, for a moment.
    Lowered,
}

/// The limit of one target.
///
/// Invariants: `levels` is never empty, and its `most` grow from
/// [`LEAST_PART`] of the slots, rounded up, to all of them; `lowered <= level <=
/// raised`, and all three are indices of it.
#[derive(Clone, Debug, Serialize)]
pub struct ConcurrencyLimit {
    slots: usize,
    levels: Vec<LevelFigures>,
    /// Index of the level that is allowed.
    level: usize,
    /// Index of the higher level to try; `level` if there is none left.
    raised: usize,
    /// Index of the lower level to try; `level` if there is none left.
    lowered: usize,
    turn: TrialTurn,
    /// When the present turn began.
    turned: MicroTime,
    /// When no level was left to try.
    settled: MicroTime,
    /// When the figures were last aged.
    aged: MicroTime,
}

impl ConcurrencyLimit {
    /// Opens the limit of a target that has `slots` slots.
    #[must_use]
    pub fn open(slots: u16) -> Self {
        let slots = usize::from(slots.max(1));
        let parts = (0..=LEVELS).map(|step| step as f64 / LEVELS as f64);
        let mosts = parts.map(|part| count_of(LEAST_PART + (1.0 - LEAST_PART) * part, slots));
        let mut levels: Vec<LevelFigures> =
            mosts.map(|most| LevelFigures { most, ..LevelFigures::default() }).collect();
        levels.dedup_by_key(|figures| figures.most);
        let first = (FIRST_PART * slots as f64) as usize;
        let level = level_of(&levels, first);
        Self {
            slots,
            level,
            raised: levels.len() - 1,
            lowered: level / 2,
            levels,
            turn: TrialTurn::Level,
            turned: MicroTime(0),
            settled: MicroTime(0),
            aged: MicroTime(0),
        }
    }

    /// Changes the number of slots; what is known of another number is forgotten.
    pub fn resize(&mut self, slots: u16) {
        if usize::from(slots.max(1)) != self.slots {
            *self = Self { aged: self.aged, turned: self.turned, ..Self::open(slots) };
        }
    }

    /// Returns how many calls may run at once.
    #[must_use]
    pub fn limit(&self) -> usize {
        let level = match self.turn {
            TrialTurn::Level | TrialTurn::LevelAgain => self.level,
            TrialTurn::Raised => self.raised,
            TrialTurn::Lowered => self.lowered,
        };
        self.levels[level].most
    }

    /// Begins and ends trials; `wanted` while calls wait for a slot.
    pub fn advance(&mut self, now: MicroTime, wanted: bool) {
        let lasted = now.since(self.turned);
        let may_begin = wanted && lasted >= TRIED_EVERY;
        let next = match self.turn {
            TrialTurn::Level if may_begin => TrialTurn::Raised,
            TrialTurn::LevelAgain if may_begin => TrialTurn::Lowered,
            TrialTurn::Raised if lasted >= TRIED_FOR => TrialTurn::LevelAgain,
            TrialTurn::Lowered if lasted >= TRIED_FOR => TrialTurn::Level,
            _ => return,
        };
        self.turn = next;
        self.turned = now;
        if self.is_settled() && now.since(self.settled) >= TRIED_AGAIN {
            self.try_around();
        }
        self.check();
    }

    /// Checks the invariants, in builds with debug assertions.
    fn check(&self) {
        let grow = self.levels.is_sorted_by(|left, right| left.most < right.most);
        debug_assert!(grow, "levels grow: {:?}", self.levels);
        let most = self.levels.last().map(|last| last.most);
        debug_assert!(most == Some(self.slots), "the last level has all slots");
        let ordered = self.lowered <= self.level && self.level <= self.raised;
        debug_assert!(ordered, "{} to {} to {}", self.lowered, self.level, self.raised);
        debug_assert!(self.raised < self.levels.len(), "{} is a level", self.raised);
    }

    const fn is_settled(&self) -> bool {
        self.raised == self.level && self.lowered == self.level
    }

    /// Has levels above and below the present one tried from now on.
    fn try_around(&mut self) {
        self.raised = self.levels.len() - 1;
        self.lowered = self.level / 2;
    }

    /// Notes an answered call: `beside` is the mean number of calls that ran
    /// while it did, itself included, and `stretch` how much longer its work took
    /// than usual.
    pub fn record(&mut self, now: MicroTime, beside: f64, stretch: f64) {
        if !stretch.is_finite() || !beside.is_finite() {
            return;
        }
        self.age(now);
        let level = level_of(&self.levels, beside.round() as usize);
        let figures = &mut self.levels[level];
        figures.answers += 1.0;
        figures.stretch += stretch.clamp(STRETCH_BOUNDS.0, STRETCH_BOUNDS.1);
        self.judge(now);
        self.check();
    }

    fn age(&mut self, now: MicroTime) {
        let passed = now.since(self.aged).0 as f64;
        self.aged = self.aged.max(now);
        let kept = half_life(passed, HALF_LIFE_US);
        for figures in &mut self.levels {
            figures.answers *= kept;
            figures.stretch *= kept;
        }
    }

    /// Moves the limit where enough is known.
    fn judge(&mut self, now: MicroTime) {
        if self.is_settled() {
            return;
        }
        let Some(present) = self.rate(self.level.saturating_sub(1), self.level) else { return };
        // What is known of a level that was just left judges none above the new one.
        if !self.judge_lowered(&present) {
            self.judge_raised(&present);
        }
        if self.is_settled() {
            self.settled = now;
        }
    }

    /// Lowers the limit where clearly more was answered; `true` if it did.
    fn judge_lowered(&mut self, present: &LevelRate) -> bool {
        if self.lowered == self.level {
            return false;
        }
        let Some(lowered) = self.rate(self.lowered, self.lowered) else { return false };
        let spread = |known: &LevelRate| SPREAD / known.answers.sqrt();
        let least = lowered.rate * (1.0 - spread(&lowered));
        if least > present.rate * (1.0 + spread(present)) {
            self.level = self.lowered;
            self.try_around();
            return true;
        }
        if lowered.answers >= MIN_SAMPLES_LOWERED {
            self.lowered = self.level;
        }
        false
    }

    fn judge_raised(&mut self, present: &LevelRate) {
        if self.raised == self.level {
            return;
        }
        let middle = self.level + (self.raised - self.level) / 2;
        let Some(raised) = self.rate(middle + 1, self.raised) else { return };
        if raised.rate > present.rate {
            self.level = self.raised;
            self.try_around();
        } else {
            self.raised = middle;
        }
    }

    /// Returns what is known of some levels together, if that is enough.
    fn rate(&self, first: usize, last: usize) -> Option<LevelRate> {
        let levels = &self.levels[first..=last];
        let answers: f64 = levels.iter().map(|figures| figures.answers).sum();
        if answers < MIN_SAMPLES {
            return None;
        }
        let running: f64 = levels.iter().map(|known| known.answers * known.most as f64).sum();
        let stretch: f64 = levels.iter().map(|known| known.stretch).sum();
        Some(LevelRate { answers, rate: running / stretch })
    }
}

/// Returns a part of the slots in whole calls, at least one.
fn count_of(part: f64, slots: usize) -> usize {
    ((part * slots as f64).ceil() as usize).clamp(1, slots)
}

/// Returns the level that a number of running calls belongs to.
fn level_of(levels: &[LevelFigures], calls: usize) -> usize {
    levels.iter().position(|figures| calls <= figures.most).unwrap_or(levels.len() - 1)
}
