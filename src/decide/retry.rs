//! Limits on the attempts of a call, so that retries can't multiply.
//!
//! Only the entry next to a failure retries: an answer of a target is final, even if it reports
//! that a nested call failed. The attempts of a call tree therefore add up and never multiply.

use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::base::consts::MAX_ATTEMPTS;

/// Retry tokens earned by one answered call, and maximum number of tokens.
const RETRY_TOKENS: (f64, f64) = (0.1, 10.0);

/// Hedge tokens earned by one answered call, and maximum number of tokens.
const HEDGE_TOKENS: (f64, f64) = (0.05, 5.0);

/// Multiple of the expected service time after which an attempt is hedged.
const HEDGE_FACTOR: f64 = 3.0;

/// Token bucket that limits further attempts to a fraction of the answered calls.
///
/// Invariant: attempts granted ≤ `max_tokens` + `tokens_per_success` × answered calls, over any
/// time.
#[derive(Clone, Debug, Serialize)]
pub struct RetryBudget {
    #[serde(rename = "earned")]
    tokens_per_success: f64,
    #[serde(rename = "saved")]
    max_tokens: f64,
    tokens: f64,
    /// Number of attempts granted so far.
    pub granted: u64,
}

impl RetryBudget {
    /// Creates a full budget for retries.
    #[must_use]
    pub const fn open() -> Self {
        Self::with_tokens(RETRY_TOKENS)
    }

    /// Creates a full budget for hedges: second attempts parallel to a slow first one.
    #[must_use]
    pub const fn open_hedges() -> Self {
        Self::with_tokens(HEDGE_TOKENS)
    }

    const fn with_tokens((tokens_per_success, max_tokens): (f64, f64)) -> Self {
        Self { tokens_per_success, max_tokens, tokens: max_tokens, granted: 0 }
    }

    /// Records an answered call.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_success).min(self.max_tokens);
    }

    /// Takes one token; returns `false` if there is none, and no further attempt is permitted.
    pub fn try_take(&mut self) -> bool {
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
            self.granted += 1;
            debug_assert!(
                (0.0..=self.max_tokens).contains(&self.tokens),
                "{} tokens are out of bounds",
                self.tokens
            );
        }
        granted
    }
}

/// One daemon's share of the further attempts that all daemons together may make for a service.
///
/// Each daemon keeps to its share without communicating, even while it is partitioned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShare {
    /// Retry tokens earned by one answered call.
    pub tokens_per_success: f64,
    /// Maximum number of tokens: of all daemons together if `divided`, else of each daemon.
    pub max_tokens: f64,
    /// Whether `max_tokens` is divided among the daemons.
    pub divided: bool,
}

impl Default for RetryShare {
    /// Returns the share used if the deployment sets no bound.
    fn default() -> Self {
        Self { tokens_per_success: RETRY_TOKENS.0, max_tokens: RETRY_TOKENS.1, divided: false }
    }
}

impl RetryShare {
    /// Creates the full budget of one of `daemons` daemons; it has at least one token.
    #[must_use]
    pub fn budget_for(&self, daemons: usize) -> RetryBudget {
        let parts = if self.divided { daemons.max(1) as f64 } else { 1.0 };
        RetryBudget::with_tokens((self.tokens_per_success, (self.max_tokens / parts).max(1.0)))
    }
}

/// Returns the time after which an attempt with an expected time of `service_us` is hedged.
#[must_use]
pub fn hedge_after(service_us: f64) -> MicroTime {
    MicroTime((service_us * HEDGE_FACTOR) as u64)
}

/// Result of one attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A target answered without a failure of its own.
    Answered,
    /// The call was not sent to the target.
    Refused,
    /// The call was not sent to the target, since calls that its run makes could not be served.
    Downstream,
    /// The target received the call and reports that it did not run it.
    Declined,
    /// A target answered that it failed; its answer may be delivered.
    Failed,
    /// The call may have run at the target, without an answer.
    Lost,
    /// An earlier call with the same idempotency key is certain not to run; this call may take
    /// over its claim.
    TakeOver,
}

/// Decision after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Deliver the target's answer to the caller.
    Deliver,
    /// Try another target.
    Retry,
    /// Report to the caller that the call did not run.
    ReportNotRun,
    /// Report to the caller that the call may have run.
    ReportUnknown,
}

/// Attempts of one call.
///
/// Invariants: at most [`MAX_ATTEMPTS`] consecutive attempts, and at most `max_sent` that reach a
/// target, hedges included; at most one attempt after a refusal because of the calls of the run,
/// since all targets of a service call the same services; after a lost attempt the decision is
/// never `ReportNotRun`, and a call that is not repeatable is not retried.
#[derive(Clone, Debug)]
pub struct CallAttempts {
    repeatable: bool,
    /// Maximum number of attempts that reach a target.
    max_sent: u32,
    /// Number of ended attempts, apart from hedges.
    ended: u32,
    /// Number of attempts that reached a target, hedges included.
    sent: u32,
    /// Whether an attempt ended with [`AttemptResult::Downstream`].
    downstream_refusal: bool,
    /// Whether the call may have run.
    may_have_run: bool,
}

impl CallAttempts {
    /// Starts a call that reaches targets at most `max_sent` times.
    #[must_use]
    pub const fn open(repeatable: bool, max_sent: u32) -> Self {
        Self {
            repeatable,
            max_sent,
            ended: 0,
            sent: 0,
            downstream_refusal: false,
            may_have_run: false,
        }
    }

    /// Records the result of an attempt and decides whether to make another one, which needs
    /// the deadline to be still ahead (`in_time`).
    pub fn record(
        &mut self,
        result: AttemptResult,
        in_time: bool,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        self.ended += 1;
        let may_continue = in_time && !self.is_exhausted();
        match result {
            AttemptResult::Answered => {
                budget.record_success();
                return RetryDecision::Deliver;
            }
            AttemptResult::Refused | AttemptResult::TakeOver if may_continue => {
                return RetryDecision::Retry;
            }
            AttemptResult::Refused | AttemptResult::TakeOver => {}
            AttemptResult::Downstream => {
                self.downstream_refusal = true;
                if may_continue {
                    return RetryDecision::Retry;
                }
            }
            AttemptResult::Declined => {
                self.sent += 1;
                if may_continue && self.sent < self.max_sent && budget.try_take() {
                    return RetryDecision::Retry;
                }
            }
            AttemptResult::Lost | AttemptResult::Failed => {
                self.may_have_run = true;
                self.sent += 1;
                let may_retry = may_continue && self.repeatable && self.sent < self.max_sent;
                if may_retry && budget.try_take() {
                    return RetryDecision::Retry;
                }
            }
        }
        self.failure_decision()
    }

    /// Returns whether a hedge parallel to the current attempt may reach a target. The current
    /// attempt has not ended, so it is not counted in `sent` yet.
    #[must_use]
    pub const fn may_hedge(&self) -> bool {
        self.repeatable && self.sent + 1 < self.max_sent
    }

    /// Counts a hedge parallel to the current attempt.
    pub const fn count_hedge(&mut self) {
        self.sent += 1;
    }

    /// Returns whether no attempt may follow the one that has just ended.
    const fn is_exhausted(&self) -> bool {
        self.ended >= MAX_ATTEMPTS || self.downstream_refusal
    }

    /// Returns whether no attempt may follow the next one.
    #[must_use]
    pub const fn is_last_attempt(&self) -> bool {
        self.ended + 1 >= MAX_ATTEMPTS || self.downstream_refusal
    }

    /// Returns what to report to the caller if no target is left to try.
    #[must_use]
    pub const fn failure_decision(&self) -> RetryDecision {
        if self.may_have_run { RetryDecision::ReportUnknown } else { RetryDecision::ReportNotRun }
    }
}
