//! How often a call may be tried, so that retries can't multiply.
//!
//! Only the entry next to a failure tries again: an answer of a target is
//! final, also one that says a deeper call failed. So the attempts of a call
//! tree add up and never multiply.

use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::base::consts::MAX_ATTEMPTS;

/// Retries earned by one answered call, and retries that can be saved up.
const RETRIES: (f64, f64) = (0.1, 10.0);

/// Hedges earned by one answered call, and hedges that can be saved up.
const HEDGES: (f64, f64) = (0.05, 5.0);

/// How much longer than expected a try may take before it is hedged.
const HEDGE_FACTOR: f64 = 3.0;

/// A budget of further tries, as a share of the calls that were answered.
///
/// Invariant: over any run, tries granted ≤ `saved` + `earned` × answered.
#[derive(Clone, Debug, Serialize)]
pub struct RetryBudget {
    earned: f64,
    saved: f64,
    tokens: f64,
    /// Tries granted so far.
    pub granted: u64,
}

impl RetryBudget {
    /// Opens the budget of retries, with its savings full.
    #[must_use]
    pub const fn open() -> Self {
        Self::with_rates(RETRIES)
    }

    /// Opens the budget of hedges: second tries beside a slow first one.
    #[must_use]
    pub const fn open_hedges() -> Self {
        Self::with_rates(HEDGES)
    }

    const fn with_rates((earned, saved): (f64, f64)) -> Self {
        Self { earned, saved, tokens: saved, granted: 0 }
    }

    /// Notes a call that was answered.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.earned).min(self.saved);
    }

    /// Takes one try, if the budget has one.
    pub fn try_take(&mut self) -> bool {
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
            self.granted += 1;
            debug_assert!((0.0..=self.saved).contains(&self.tokens), "{} tokens", self.tokens);
        }
        granted
    }
}

/// A daemon's part of what all daemons together may add to a service's calls.
///
/// Each keeps to its part without hearing the others, also when it is cut off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShare {
    /// Tries earned by one answered call.
    pub tokens_per_success: f64,
    /// Tries that all daemons together may save up.
    pub max_tokens: f64,
    /// Whether `max_tokens` is divided among the daemons.
    pub divided: bool,
}

impl Default for RetryShare {
    /// Returns the share of a daemon whose deployment sets no bound.
    fn default() -> Self {
        Self { tokens_per_success: RETRIES.0, max_tokens: RETRIES.1, divided: false }
    }
}

impl RetryShare {
    /// Opens the budget of one of `daemons` daemons, with its savings full.
    #[must_use]
    pub fn open(&self, daemons: usize) -> RetryBudget {
        let parts = if self.divided { daemons.max(1) as f64 } else { 1.0 };
        RetryBudget::with_rates((self.tokens_per_success, (self.max_tokens / parts).max(1.0)))
    }
}

/// Returns how long to wait for a try that was expected to take `service_us`.
#[must_use]
pub fn hedge_after(service_us: f64) -> MicroTime {
    MicroTime((service_us * HEDGE_FACTOR) as u64)
}

/// How one try of a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A target answered, whatever it said.
    Answered,
    /// The call was not sent to the target.
    Refused,
    /// The target had the call and says that it did not run it.
    Declined,
    /// A target answered that it failed; its answer may be delivered.
    Failed,
    /// The call may have run there.
    Lost,
    /// An earlier call with its key is certain not to run; this one may.
    TakeOver,
}

/// What to do after a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Give the caller the target's answer.
    Deliver,
    /// Try another target.
    Retry,
    /// Tell the caller that the call did not run.
    ReportNotRun,
    /// Tell the caller that the call may have run.
    ReportUnknown,
}

/// The course of one call over its tries.
///
/// Invariants: at most [`MAX_ATTEMPTS`] tries one after the other, and at most
/// `attempts` that reach a target, those beside others included; after a lost
/// try it never says `TellNotRun`, and a call that must not repeat is not tried
/// again.
#[derive(Clone, Debug)]
pub struct CallAttempts {
    repeatable: bool,
    attempts: u32,
    tries: u32,
    /// Tries that reached a target.
    reached: u32,
    lost: bool,
}

impl CallAttempts {
    /// Opens the course of a call.
    #[must_use]
    pub const fn open(repeatable: bool, attempts: u32) -> Self {
        Self { repeatable, attempts, tries: 0, reached: 0, lost: false }
    }

    /// Takes the end of a try; `in_time` tells whether the deadline is ahead.
    pub fn record(
        &mut self,
        end: AttemptResult,
        in_time: bool,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        self.tries += 1;
        let more = in_time && self.tries < MAX_ATTEMPTS;
        match end {
            AttemptResult::Answered => {
                budget.record_success();
                return RetryDecision::Deliver;
            }
            AttemptResult::Refused | AttemptResult::TakeOver if more => {
                return RetryDecision::Retry;
            }
            AttemptResult::Refused | AttemptResult::TakeOver => {}
            AttemptResult::Declined => {
                self.reached += 1;
                if more && self.reached < self.attempts && budget.try_take() {
                    return RetryDecision::Retry;
                }
            }
            AttemptResult::Lost | AttemptResult::Failed => {
                self.lost = true;
                self.reached += 1;
                let again = more && self.repeatable && self.reached < self.attempts;
                if again && budget.try_take() {
                    return RetryDecision::Retry;
                }
            }
        }
        self.failure_decision()
    }

    /// Tells whether a try beside the present one may reach a target; the present
    /// one has not ended, so it is not counted yet.
    #[must_use]
    pub const fn may_hedge(&self) -> bool {
        self.repeatable && self.reached + 1 < self.attempts
    }

    /// Counts a try beside the present one.
    pub const fn count_hedge(&mut self) {
        self.reached += 1;
    }

    /// Tells whether no try may follow the next one.
    #[must_use]
    pub const fn is_last_attempt(&self) -> bool {
        self.tries + 1 >= MAX_ATTEMPTS
    }

    /// Returns what to tell when no target is left to try.
    #[must_use]
    pub const fn failure_decision(&self) -> RetryDecision {
        if self.lost { RetryDecision::ReportUnknown } else { RetryDecision::ReportNotRun }
    }
}
