//! Limit on the calls that may start at a cold target.
//!
//! Targets that have just started, as after a power cut or when a data centre comes back,
//! are cold: they sustain only a few calls per second. Above that rate a cold target
//! crashes, restarts and is cold again, while its load moves to the next target. All calls
//! of a target pass its guard, so the guard limits the calls it starts in any second.
//!
//! The state of a target is known from its heartbeats, which are infrequent and may arrive
//! late, and from its answers to health checks, which are up to date. An answer replaces
//! the known state; a heartbeat can only extend a known cold period.
//!
//! A target may turn cold at any moment. So a target that can be asked counts as warm only
//! for as many calls as it could bear if it had turned cold just after it was asked; a busy
//! target is asked again before these are used up.

use std::collections::VecDeque;

use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::base::load_report::StartAllowance;

/// Window over which started calls are counted. It is longer than the second that the rate
/// refers to, by the time that a call may take from here to its target if the host's
/// processor is unavailable for a tenth of a second in between.
pub const COLD_RATE_WINDOW: MicroTime = MicroTime::from_millis(1_100);

/// Calls subtracted from the limit, for calls that an earlier guard of the target started
/// and that are still in transit.
const RESERVED_CALLS: u32 = 2;

/// Minimum time between the end of a target's earlier guard and the start of this one. A
/// target that turned cold within it got no calls from the earlier guard. Each of 28
/// daemons that were killed on a platform was absent for at least 0.54 s.
const MIN_RESTART_TIME: MicroTime = MicroTime::from_millis(200);

/// Difference up to which two reported ends are those of the same cold period, since a
/// heartbeat may arrive that late; a later end belongs to a new cold period.
const COLD_END_TOLERANCE: MicroTime = MicroTime::from_millis(500);

/// Part of the calls that a cold target bears after which a warm one is asked again.
const ASK_AGAIN_DIVISOR: usize = 2;

/// Minimum interval between two health checks for the cold state: what remains below the number
/// of health checks that a platform allows, together with those for other reasons.
const MIN_ASK_INTERVAL: MicroTime = MicroTime::from_millis(25);

/// Time within which a target that is asked is expected to answer.
const EXPECTED_CONFIRMATION: MicroTime = MicroTime::from_millis(40);

/// Tolerance that a deployment permits above the rate that a service's cold targets sustain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTerms {
    /// Factor applied to the rate.
    pub over: f64,
    /// Calls per second added to that.
    pub slack: f64,
}

impl Default for ColdTerms {
    /// Returns terms without any tolerance.
    fn default() -> Self {
        Self { over: 1.0, slack: 0.0 }
    }
}

impl ColdTerms {
    /// Returns the maximum number of calls in any second for a target that sustains `per_s`.
    #[must_use]
    pub fn max_rate(&self, per_s: f64) -> u32 {
        (per_s * self.over + self.slack) as u32
    }
}

/// Time added to a reported end of a cold period: the reported remaining time is rounded
/// down to milliseconds, and its message was in transit for some time.
const COLD_END_MARGIN: MicroTime = MicroTime::from_millis(50);

/// Maximum reported cold time that is accepted: a target that reports an invalid time must not
/// be limited permanently.
const MAX_COLD_DURATION: MicroTime = MicroTime::from_millis(60_000);

/// Time after which a target that is assumed cold and reports nothing counts as warm: by
/// then a restarted target would be warm, and a running one has had several health checks.
const ASSUMED_COLD_DURATION: MicroTime = MicroTime::from_millis(5_000);

/// Known state of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
enum ColdState {
    /// Cold until this time as reported by the target; in the past if the target is warm.
    Until(MicroTime),
    /// Assumed cold since this time, because it may have restarted and has not reported its
    /// state since.
    #[serde(rename = "Doubted")]
    AssumedSince(MicroTime),
}

/// Limit on the calls that start at one target while it is cold.
///
/// Invariant: while the target counts as cold and a maximum rate is set, no more than
/// `max_rate - 2` calls start within any [`COLD_RATE_WINDOW`], but at least one may. While it
/// counts as warm and can be asked, this holds for the calls since `warm_at`.
#[derive(Clone, Debug, Serialize)]
pub struct ColdStartLimit {
    /// Maximum number of calls in a second that a cold target sustains; `None` if unlimited.
    #[serde(rename = "bound")]
    max_rate: Option<u32>,
    state: ColdState,
    /// Start times of the calls within [`COLD_RATE_WINDOW`], oldest first.
    #[serde(rename = "begun")]
    start_times: VecDeque<MicroTime>,
    /// Whether the target's answers to health checks state whether it is cold.
    can_be_asked: bool,
    /// Time at which the latest health check was sent whose answer says that the target is warm.
    warm_at: MicroTime,
    /// Time at which the latest health check was sent.
    asked_at: MicroTime,
    /// Time before which no call starts at a cold target, since the calls recently started by
    /// an earlier guard are unknown.
    blocked_until: MicroTime,
}

impl Default for ColdStartLimit {
    fn default() -> Self {
        Self {
            max_rate: None,
            state: ColdState::Until(MicroTime(0)),
            start_times: VecDeque::new(),
            can_be_asked: false,
            warm_at: MicroTime(0),
            asked_at: MicroTime(0),
            blocked_until: MicroTime(0),
        }
    }
}

impl ColdStartLimit {
    /// Sets the number of calls in a second that a cold target sustains.
    pub fn set_max_rate(&mut self, max_rate: Option<u32>) {
        self.max_rate = max_rate;
    }

    /// Sets whether the target's answers to health checks state whether it is cold.
    pub fn set_can_be_asked(&mut self, can_be_asked: bool) {
        self.can_be_asked = can_be_asked;
    }

    /// Returns whether the target should be asked now whether it is still warm.
    #[must_use]
    pub fn should_ask(&self, now: MicroTime) -> bool {
        let Some(max_calls) = self.max_calls().filter(|_| self.can_be_asked) else { return false };
        let unconfirmed = self.count_starts_since(now, self.warm_at);
        !self.is_cold(now)
            && unconfirmed >= (max_calls / ASK_AGAIN_DIVISOR).max(1)
            && now.since(self.asked_at) >= MIN_ASK_INTERVAL
    }

    /// Records that a health check is sent now.
    pub fn note_asked(&mut self, now: MicroTime) {
        self.asked_at = now;
    }

    /// Records that the answer to the health check that was sent at `asked_at` says that the
    /// target is warm.
    pub fn confirm_warm(&mut self, asked_at: MicroTime) {
        self.warm_at = self.warm_at.max(asked_at);
    }

    /// Forgets that the target was warm, since it has restarted.
    pub fn forget_confirmation(&mut self) {
        self.warm_at = MicroTime(0);
    }

    /// Assumes that an earlier guard of this target used up the limit until this guard took
    /// over at `started_at`.
    pub fn block_for_predecessor(&mut self, started_at: MicroTime) {
        self.blocked_until = started_at + COLD_RATE_WINDOW;
    }

    /// Lifts the block for an earlier guard if the target turned cold when that guard had
    /// already ended and so can't have started calls in this cold period.
    ///
    /// The target reports at `now`, counted from the start of this guard, that it stays cold
    /// for `remaining`; it is cold for `cold_duration` after its start. Must be called before
    /// the report is passed to [`Self::note_health_answer`] or [`Self::note_heartbeat`].
    ///
    /// The block stays if the target was cold already and has restarted, because the earlier
    /// guard may have started calls in the first cold period: a guard that was killed between
    /// the two let 11 and then 11 more calls start within a second, at a target that sustains
    /// 13 (soak test, seed 2101).
    pub fn note_cold_start(
        &mut self,
        now: MicroTime,
        remaining: MicroTime,
        cold_duration: MicroTime,
    ) {
        let is_new =
            |end: MicroTime| now < end && reported_end(now, remaining) > end + COLD_END_TOLERANCE;
        let was_cold_before = matches!(self.state, ColdState::Until(end) if is_new(end));
        if !was_cold_before
            && remaining <= cold_duration
            && cold_duration.since(remaining) < now + MIN_RESTART_TIME
        {
            self.blocked_until = MicroTime(0);
        }
    }

    /// Records the target's answer to a health check: it stays cold for `remaining`, or is warm if
    /// `remaining` is zero.
    pub fn note_health_answer(&mut self, now: MicroTime, remaining: MicroTime) {
        self.state = ColdState::Until(reported_end(now, remaining));
    }

    /// Records a heartbeat that reports that the target stays cold for `remaining`.
    ///
    /// Since the heartbeat may be late, it can't shorten a known cold period or end an
    /// assumed one.
    pub fn note_heartbeat(&mut self, now: MicroTime, remaining: MicroTime) {
        let reported = reported_end(now, remaining);
        self.state = match self.state {
            ColdState::Until(known) => ColdState::Until(known.max(reported)),
            assumed @ ColdState::AssumedSince(_) => assumed,
        };
    }

    /// Assumes that the target is cold until it reports its state, since it may have
    /// restarted.
    pub fn assume_cold(&mut self, now: MicroTime) {
        self.state = ColdState::AssumedSince(now);
    }

    /// Returns whether the target counts as cold.
    #[must_use]
    pub fn is_cold(&self, now: MicroTime) -> bool {
        now < self.cold_end()
    }

    /// Returns whether the state of the target is only assumed.
    #[must_use]
    pub fn is_assumed_cold(&self) -> bool {
        matches!(self.state, ColdState::AssumedSince(_))
    }

    /// Records that a call starts now.
    pub fn record_start(&mut self, now: MicroTime) {
        self.drop_expired(now);
        self.start_times.push_back(now);
    }

    /// Returns the time until a call may start if `ahead` other calls start before it.
    #[must_use]
    pub fn wait_behind(&self, now: MicroTime, ahead: usize) -> MicroTime {
        let Some(max_calls) = self.max_calls() else { return MicroTime(0) };
        if !self.is_cold(now) {
            return self.wait_for_confirmation(now, max_calls, ahead);
        }
        let wait = self.start_time(now, max_calls, ahead).since(now);
        wait.min(self.cold_end().since(now))
    }

    /// Returns the expected time until a call may start at a target that counts as warm: until an
    /// answer says that it still is, or the calls since the last one have left the window.
    fn wait_for_confirmation(&self, now: MicroTime, max_calls: usize, ahead: usize) -> MicroTime {
        let unconfirmed = self.count_starts_since(now, self.warm_at);
        // Calls that wait behind others start after the next answers.
        if !self.can_be_asked || ahead > 0 || unconfirmed < max_calls {
            return MicroTime(0);
        }
        self.start_time(now, max_calls, 0).since(now).min(EXPECTED_CONFIRMATION)
    }

    /// Returns whether a call may start now.
    #[must_use]
    pub fn may_start(&self, now: MicroTime) -> bool {
        self.wait_behind(now, 0) == MicroTime(0)
    }

    /// Returns how many calls may start now and when the next one may, or `None` if the target
    /// is warm or unlimited.
    #[must_use]
    pub fn allowance(&self, now: MicroTime) -> Option<StartAllowance> {
        let max_calls = self.max_calls().filter(|_| self.is_cold(now))?;
        let counted = self
            .start_times
            .iter()
            .filter(|started| now.since(**started) < COLD_RATE_WINDOW)
            .count();
        let free = if now < self.blocked_until { 0 } else { max_calls.saturating_sub(counted) };
        let next_ms = self.wait_behind(now, free).ceil_millis();
        Some(StartAllowance {
            available: free as u16,
            next_ms: next_ms.min(u64::from(u16::MAX)) as u16,
        })
    }

    /// Returns how many calls started within the window and not before `since`.
    fn count_starts_since(&self, now: MicroTime, since: MicroTime) -> usize {
        let counts =
            |started: &&MicroTime| **started >= since && now.since(**started) < COLD_RATE_WINDOW;
        self.start_times.iter().rev().take_while(counts).count()
    }

    /// Returns the time from which on the target counts as warm unless it reports otherwise.
    fn cold_end(&self) -> MicroTime {
        match self.state {
            ColdState::Until(end) => end,
            ColdState::AssumedSince(since) => since + ASSUMED_COLD_DURATION,
        }
    }

    /// Returns the maximum number of calls that start within [`COLD_RATE_WINDOW`].
    fn max_calls(&self) -> Option<usize> {
        self.max_rate.map(|max_rate| max_rate.saturating_sub(RESERVED_CALLS).max(1) as usize)
    }

    /// Returns when a call may start if `ahead` other calls start before it, all as early as
    /// possible: as soon as the call started `max_calls` before it has left the window.
    fn start_time(&self, now: MicroTime, max_calls: usize, ahead: usize) -> MicroTime {
        let windows = ahead / max_calls;
        let position = self.start_times.len() + ahead % max_calls;
        let oldest = position.checked_sub(max_calls).and_then(|index| self.start_times.get(index));
        let first = oldest.map_or(now, |started| (*started + COLD_RATE_WINDOW).max(now));
        first.max(self.blocked_until) + MicroTime(COLD_RATE_WINDOW.0 * windows as u64)
    }

    /// Drops the starts that have left the window.
    fn drop_expired(&mut self, now: MicroTime) {
        while self
            .start_times
            .front()
            .is_some_and(|started| now.since(*started) >= COLD_RATE_WINDOW)
        {
            self.start_times.pop_front();
        }
    }
}

/// Returns the end of the cold period of a target that reports that it stays cold for `remaining`.
fn reported_end(now: MicroTime, remaining: MicroTime) -> MicroTime {
    if remaining == MicroTime(0) {
        now
    } else {
        now + remaining.min(MAX_COLD_DURATION) + COLD_END_MARGIN
    }
}
