//! Limit on the rate at which calls start at a target that states how many it takes.
//!
//! A target in need states in its answers how many calls a second it takes from the whole
//! fleet. All calls of a target pass its guard, so a token bucket at the guard keeps the rate,
//! whatever the number of entries. The bucket starts empty: a guard that learns of the rate
//! late, as after its restart, does not know what an earlier guard started just before.
//!
//! The rate ends with an answer that states none. Calls then come back step by step, since the
//! answer may have overtaken one that states a rate, and all entries would otherwise send the
//! calls they held back at the same moment.

use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::base::load_report::{StartAllowance, StatedRate};

/// Time at the stated rate for which unused starts are saved up, in seconds: enough for the
/// gaps of a random arrival process, and little against the windows in which targets count.
const BURST_S: f64 = 0.5;

/// Time in which the permitted rate doubles once the target states none any more.
const RELEASE_DOUBLING: MicroTime = MicroTime::from_millis(250);

/// Time after which a target that states no rate any more is no longer limited.
const RELEASE_DURATION: MicroTime = MicroTime::from_millis(2_000);

/// Rate from which the release of a lower stated rate starts, in calls per second.
const MIN_RELEASE_RATE: f64 = 1.0;

/// Rate at which calls are tried at a target that states a lower one, in calls per second,
/// unless its health checks state the rate: the end of the rate shows in answers alone.
const TRIAL_RATE: f64 = 0.1;

/// Fraction of the rate that health checks may use.
const HEALTH_CHECK_SHARE: f64 = 0.25;

/// Interval of health checks at a target that takes no calls, in seconds.
const IDLE_CHECK_INTERVAL_S: f64 = 2.0;

/// Longest wait that is estimated, for a target that takes no calls.
const MAX_WAIT: MicroTime = MicroTime::from_millis(60_000);

/// Multiples of it have fractions that are spread evenly, however many there are.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// Upper bound of the retry delay that refused callers get.
pub(crate) const MAX_RETRY_AFTER: MicroTime = MicroTime::from_millis(5_000);

/// From where a rate is known, or that there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateSource {
    /// The answer to a call.
    Call,
    /// The answer to a health check.
    HealthCheck,
    /// An entry that knew the rate from an earlier guard of the target.
    Entry,
}

/// Whether the rate is still stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum RatePhase {
    /// The latest answer states the rate.
    Stated,
    /// Answers state no rate since this time.
    Released(MicroTime),
}

/// A rate and since when it is known.
#[derive(Clone, Copy, Debug, Serialize)]
struct KnownRate {
    rate: StatedRate,
    since: MicroTime,
    phase: RatePhase,
}

/// Limit on the calls that start at one target which states a rate.
///
/// Invariant: while the target states a rate of `r` calls per second, at most
/// `r * t + max(1, r / 2)` calls start within any `t` seconds; a trial every ten seconds comes
/// on top of a lower rate that health checks don't state.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RateLimit {
    known: Option<KnownRate>,
    /// Calls that may start now; negative after health checks, which don't wait.
    tokens: f64,
    updated_at: MicroTime,
    /// Whether an answer to a call or a health check of this guard has stated anything; until
    /// then the rate is what entries report.
    heard: bool,
    /// Whether the target's health checks state the rate.
    stated_by_health: bool,
    /// Time at which the caller that was refused last may retry.
    last_return: MicroTime,
    /// How often the returns have started over.
    return_rounds: u32,
}

impl RateLimit {
    /// Records what an answer, or an entry, says about the rate; `None` if it states no rate.
    ///
    /// Health checks of a target end the rate only if they have stated it, since targets may
    /// state it in answers to calls alone. Entries count only until the target has answered.
    pub fn note_rate(&mut self, now: MicroTime, rate: Option<StatedRate>, source: RateSource) {
        self.advance(now);
        match (source, rate) {
            (RateSource::Entry, _) if self.heard => {}
            (RateSource::Entry, None) => {}
            (RateSource::Entry, Some(rate)) => {
                let lowest = self.known.map_or(rate, |known| known.rate.min(rate));
                self.state_rate(now, lowest);
            }
            (RateSource::HealthCheck, None) if !self.stated_by_health => {}
            (RateSource::HealthCheck | RateSource::Call, rate) => {
                self.heard = true;
                if source == RateSource::HealthCheck {
                    self.stated_by_health = rate.is_some();
                }
                match rate {
                    Some(rate) => self.state_rate(now, rate),
                    None => self.release(now),
                }
            }
        }
    }

    /// Returns the rate that the target states.
    #[must_use]
    pub fn stated_rate(&self) -> Option<StatedRate> {
        self.known.filter(|known| known.phase == RatePhase::Stated).map(|known| known.rate)
    }

    /// Returns whether an answer to this guard has stated a rate, or that there is none.
    #[must_use]
    pub const fn is_heard(&self) -> bool {
        self.heard
    }

    /// Returns whether the rate of calls is limited.
    #[must_use]
    pub fn is_limited(&self, now: MicroTime) -> bool {
        self.permitted_rate(now).is_some()
    }

    /// Records that a call starts now.
    pub fn record_start(&mut self, now: MicroTime) {
        self.advance(now);
        if self.known.is_some() {
            self.tokens -= 1.0;
        }
    }

    /// Returns the time until a call may start if `ahead` other calls start before it.
    #[must_use]
    pub fn wait_behind(&self, now: MicroTime, ahead: usize) -> MicroTime {
        let Some(per_s) = self.permitted_rate(now) else { return MicroTime(0) };
        let missing = ahead as f64 + 1.0 - self.tokens_at(now, per_s);
        time_at_rate(missing, per_s)
    }

    /// Returns whether a call may start now.
    #[must_use]
    pub fn may_start(&self, now: MicroTime) -> bool {
        self.wait_behind(now, 0) == MicroTime(0)
    }

    /// Returns how many calls may start now behind `waiting` others, and when the next one may;
    /// `None` if the rate is not limited.
    #[must_use]
    pub fn allowance(&self, now: MicroTime, waiting: usize) -> Option<StartAllowance> {
        let per_s = self.permitted_rate(now)?;
        let free = (self.tokens_at(now, per_s) - waiting as f64).max(0.0) as usize;
        let next_ms = self.wait_behind(now, waiting + free).ceil_millis();
        Some(StartAllowance {
            available: free.min(usize::from(u16::MAX)) as u16,
            next_ms: next_ms.min(u64::from(u16::MAX)) as u16,
        })
    }

    /// Returns after which time a refused caller should return, behind `waiting` calls and
    /// behind the callers that were refused before, so that one returns for each start.
    pub fn reserve_return(&mut self, now: MicroTime, waiting: usize) -> MicroTime {
        let Some(per_s) = self.permitted_rate(now) else { return MicroTime(0) };
        let first = now + self.wait_behind(now, waiting);
        let step = time_at_rate(1.0, per_s);
        let last = now + MAX_RETRY_AFTER;
        let next = (self.last_return + step).max(first);
        self.last_return = if next <= last {
            next
        } else {
            // More callers than starts: they share the same span, between the earlier returns.
            self.return_rounds += 1;
            let offset = (f64::from(self.return_rounds) * GOLDEN_RATIO_FRACTION).fract();
            (first + MicroTime((step.0 as f64 * offset) as u64)).min(last)
        };
        self.last_return.since(now)
    }

    /// Returns the interval between health checks while the target states a rate: they use a
    /// part of it, and their answers show when it ends.
    #[must_use]
    pub fn check_interval(&self) -> Option<MicroTime> {
        let per_s = self.stated_rate()?.per_s();
        let interval_s =
            if per_s > 0.0 { 1.0 / (HEALTH_CHECK_SHARE * per_s) } else { IDLE_CHECK_INTERVAL_S };
        Some(MicroTime((interval_s * 1_000_000.0) as u64))
    }

    /// Records that a health check is sent; it counts towards the rate but does not wait.
    pub fn record_health_check(&mut self, now: MicroTime) {
        if self.stated_rate().is_some_and(|rate| rate.per_s() > 0.0) {
            self.record_start(now);
        }
    }

    fn state_rate(&mut self, now: MicroTime, rate: StatedRate) {
        let since = self.known.map_or(now, |known| known.since);
        if self.known.is_none() {
            self.tokens = 0.0;
        }
        self.known = Some(KnownRate { rate, since, phase: RatePhase::Stated });
        self.tokens = self.tokens.min(burst(rate.per_s()));
    }

    fn release(&mut self, now: MicroTime) {
        if let Some(known) = &mut self.known
            && known.phase == RatePhase::Stated
        {
            known.phase = RatePhase::Released(now);
        }
    }

    /// Returns the rate at which calls may start, or `None` if it is not limited.
    fn permitted_rate(&self, now: MicroTime) -> Option<f64> {
        let known = self.known?;
        let per_s = known.rate.per_s();
        match known.phase {
            RatePhase::Stated if self.stated_by_health => Some(per_s),
            RatePhase::Stated => Some(per_s.max(TRIAL_RATE)),
            RatePhase::Released(since) => {
                let elapsed = now.since(since);
                let doublings = elapsed.0 as f64 / RELEASE_DOUBLING.0 as f64;
                (elapsed < RELEASE_DURATION).then(|| per_s.max(MIN_RELEASE_RATE) * doublings.exp2())
            }
        }
    }

    fn tokens_at(&self, now: MicroTime, per_s: f64) -> f64 {
        let earned = per_s * now.since(self.updated_at).0 as f64 / 1_000_000.0;
        (self.tokens + earned).min(burst(per_s))
    }

    /// Adds the tokens earned since the last update; forgets a rate whose release is over.
    fn advance(&mut self, now: MicroTime) {
        match self.permitted_rate(now) {
            Some(per_s) => self.tokens = self.tokens_at(now, per_s),
            None => self.known = None,
        }
        self.updated_at = self.updated_at.max(now);
    }
}

/// Returns the most calls that may start at once.
fn burst(per_s: f64) -> f64 {
    (per_s * BURST_S).max(1.0)
}

/// Returns the time in which `count` calls may start, up to [`MAX_WAIT`].
fn time_at_rate(count: f64, per_s: f64) -> MicroTime {
    if count <= 0.0 {
        return MicroTime(0);
    }
    // Rounds up, so that a call may start when the time is over; the sum of tokens is inexact.
    let wait_us = (count / per_s * 1_000_000.0).ceil() + 1.0;
    if wait_us < MAX_WAIT.0 as f64 { MicroTime(wait_us as u64) } else { MAX_WAIT }
}
