//! How many calls may begin at a target that is cold.
//!
//! Pure. Answers load that falls upon targets which have just started, as after a
//! power cut or when a data centre comes back: a cold target bears few calls a
//! second, falls over above that, starts again and is cold again, while its load
//! goes to the next one. So the guard beside it, which all its calls pass, begins no
//! more in any second than the target bears.
//!
//! What is known of a target's state comes from its heartbeats, which are rare and
//! may come late, and from its answers to questions for its health, which are fresh.
//! An answer replaces what was known; a heartbeat may only make the target colder.

use std::collections::VecDeque;

use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::base::wire::ColdAllowance;

/// Time over which begun calls are counted. It is longer than the second that the
/// bound is of by the time that a call may take from here to its target, where the
/// host's processor is taken away for a tenth of a second between the two.
pub const COUNTED_OVER: MicroTime = MicroTime::from_millis(1_100);

/// Calls that are kept back from the bound, for those that were begun by an earlier
/// guard and are on their way.
const KEPT_BACK: u32 = 2;

/// Time for which an earlier guard of a target was away before this one started, at
/// the least: a target that turned cold within it had nothing from that one. Of 28
/// daemons that were killed on a platform each was away for 0.54 s or more.
const LEAST_RESTART: MicroTime = MicroTime::from_millis(200);

/// Time by which two words of one cold time may differ in when it ends, since a
/// heartbeat may come that late; a later end is that of another cold time.
const SAME_TURN: MicroTime = MicroTime::from_millis(500);

/// What a deployment allows cold targets beyond the rate of their service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTerms {
    /// Factor of the rate.
    pub over: f64,
    /// Calls in a second beyond that.
    pub slack: f64,
}

impl Default for ColdTerms {
    /// Returns terms that allow nothing beyond.
    fn default() -> Self {
        Self { over: 1.0, slack: 0.0 }
    }
}

impl ColdTerms {
    /// Returns the most calls in any second for a target that bears `per_s`.
    #[must_use]
    pub fn bound(&self, per_s: f64) -> u32 {
        (per_s * self.over + self.slack) as u32
    }
}

/// Time for which a target counts as cold beyond what it told: what it tells is cut
/// to whole milliseconds and was on its way.
const COLD_MARGIN: MicroTime = MicroTime::from_millis(50);

/// Longest time that a target is taken to be cold for, whatever it tells: a writer
/// that tells nonsense must not close a target for good.
const LONGEST_COLD: MicroTime = MicroTime::from_millis(60_000);

/// Time after which a target that says nothing is no longer taken for cold: one that
/// started anew would be warm by then, and one that runs was asked several times.
const DOUBT_LASTS: MicroTime = MicroTime::from_millis(5_000);

/// What is known of whether a target is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
enum ColdState {
    /// It told that it is cold until then; in the past where it is warm.
    Until(MicroTime),
    /// Nothing was heard since there was a reason to doubt, at that time; it counts
    /// as cold.
    Doubted(MicroTime),
}

/// Lets calls begin at one target, as few as it bears while it is cold.
///
/// Invariant: while the target counts as cold and a bound is set, no more than
/// `bound - 2` calls begin in any [`COUNTED_OVER`], but at least one may.
#[derive(Clone, Debug, Serialize)]
pub struct ColdGate {
    /// Most calls in a second that a cold target bears; nothing where none is set.
    bound: Option<u32>,
    state: ColdState,
    /// When calls began, the oldest first, within [`COUNTED_OVER`].
    begun: VecDeque<MicroTime>,
    /// Until then it is not known what an earlier guard began of late.
    blocked_until: MicroTime,
}

impl Default for ColdGate {
    fn default() -> Self {
        Self {
            bound: None,
            state: ColdState::Until(MicroTime(0)),
            begun: VecDeque::new(),
            blocked_until: MicroTime(0),
        }
    }
}

impl ColdGate {
    /// Sets how many calls a cold target bears in a second.
    pub fn set_bound(&mut self, bound: Option<u32>) {
        self.bound = bound;
    }

    /// Takes an earlier guard of this target to have begun all that it might have
    /// until `started`, when this one took over.
    pub fn follow_predecessor(&mut self, started: MicroTime) {
        self.blocked_until = started + COUNTED_OVER;
    }

    /// Notes that a target which is cold for `lasts` after its start says at `now`, since
    /// this guard's start, that it stays so for `left`: if it turned cold when no earlier
    /// guard was there any more, it had nothing from one. To be told before the state.
    ///
    /// Where it was cold already and turned so anew, an earlier guard may have begun
    /// calls in its first cold time: 11 and then 11 more in a second, where 13 are borne,
    /// by a guard that was killed between the two (the soak, seed 2101).
    pub fn note_turn(&mut self, now: MicroTime, left: MicroTime, lasts: MicroTime) {
        let anew = |end: MicroTime| now < end && told_end(now, left) > end + SAME_TURN;
        let turned_before = matches!(self.state, ColdState::Until(end) if anew(end));
        if !turned_before && left <= lasts && lasts.since(left) < now + LEAST_RESTART {
            self.blocked_until = MicroTime(0);
        }
    }

    /// Notes the target's own answer that it stays cold for `left`.
    pub fn hear_answer(&mut self, now: MicroTime, left: MicroTime) {
        self.state = ColdState::Until(told_end(now, left));
    }

    /// Notes a heartbeat, which may be a late one: it can't say that a target is
    /// warm which was heard to be cold since.
    pub fn hear_heartbeat(&mut self, now: MicroTime, left: MicroTime) {
        let told = told_end(now, left);
        self.state = match self.state {
            ColdState::Until(known) => ColdState::Until(known.max(told)),
            doubted @ ColdState::Doubted(_) => doubted,
        };
    }

    /// Takes the target for cold until it says otherwise: it may have started anew.
    pub fn doubt(&mut self, now: MicroTime) {
        self.state = ColdState::Doubted(now);
    }

    /// Tells whether the target counts as cold.
    #[must_use]
    pub fn is_cold(&self, now: MicroTime) -> bool {
        now < self.cold_end()
    }

    /// Tells whether nothing is known of the target's state.
    #[must_use]
    pub fn is_doubted(&self) -> bool {
        matches!(self.state, ColdState::Doubted(_))
    }

    /// Notes that a call begins now.
    pub fn begin(&mut self, now: MicroTime) {
        self.forget(now);
        self.begun.push_back(now);
    }

    /// Returns the time until the call behind `ahead` others may begin.
    #[must_use]
    pub fn wait_behind(&self, now: MicroTime, ahead: usize) -> MicroTime {
        let Some(most) = self.most().filter(|_| self.is_cold(now)) else { return MicroTime(0) };
        let wait = self.turn_of(now, most, ahead).since(now);
        wait.min(self.cold_end().since(now))
    }

    /// Tells whether a call may begin now.
    #[must_use]
    pub fn has_room(&self, now: MicroTime) -> bool {
        self.wait_behind(now, 0) == MicroTime(0)
    }

    /// Returns the room of a target that is cold and may not take all that comes.
    #[must_use]
    pub fn room(&self, now: MicroTime) -> Option<ColdAllowance> {
        let most = self.most().filter(|_| self.is_cold(now))?;
        let counted = self.begun.iter().filter(|begun| now.since(**begun) < COUNTED_OVER).count();
        let free = if now < self.blocked_until { 0 } else { most.saturating_sub(counted) };
        let next_ms = self.wait_behind(now, free).ceil_millis();
        Some(ColdAllowance {
            available: free as u16,
            next_ms: next_ms.min(u64::from(u16::MAX)) as u16,
        })
    }

    /// Returns when the target is taken to be warm if nothing else is heard.
    fn cold_end(&self) -> MicroTime {
        match self.state {
            ColdState::Until(end) => end,
            ColdState::Doubted(since) => since + DOUBT_LASTS,
        }
    }

    /// Returns the most calls that may begin within [`COUNTED_OVER`].
    fn most(&self) -> Option<usize> {
        self.bound.map(|bound| bound.saturating_sub(KEPT_BACK).max(1) as usize)
    }

    /// Returns when the call behind `ahead` others may begin, if all begin as soon as
    /// they may: once the call that began `most` before it is no longer counted.
    fn turn_of(&self, now: MicroTime, most: usize, ahead: usize) -> MicroTime {
        let rounds = ahead / most;
        let place = self.begun.len() + ahead % most;
        let first = place.checked_sub(most).and_then(|index| self.begun.get(index));
        let first = first.map_or(now, |begun| (*begun + COUNTED_OVER).max(now));
        first.max(self.blocked_until) + MicroTime(COUNTED_OVER.0 * rounds as u64)
    }

    fn forget(&mut self, now: MicroTime) {
        while self.begun.front().is_some_and(|begun| now.since(*begun) >= COUNTED_OVER) {
            self.begun.pop_front();
        }
    }
}

/// Returns when a target that says to stay cold for `left` is taken to be warm.
fn told_end(now: MicroTime, left: MicroTime) -> MicroTime {
    if left == MicroTime(0) { now } else { now + left.min(LONGEST_COLD) + COLD_MARGIN }
}
