//! How often an entry may repeat attempts, so that retries can't multiply.

use serde::Serialize;

/// Retries earned by one success.
const EARNED: f64 = 0.1;

/// Retries that can be saved up.
const SAVED: f64 = 10.0;

/// A budget of retries as a share of successes.
///
/// Invariant: over any run, retries granted ≤ [`SAVED`] + [`EARNED`] × successes.
#[derive(Clone, Debug, Serialize)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Opens a budget with its savings full.
    #[must_use]
    pub const fn open() -> Self {
        Self { tokens: SAVED }
    }

    /// Notes a call that was answered.
    pub fn succeed(&mut self) {
        self.tokens = (self.tokens + EARNED).min(SAVED);
    }

    /// Takes one retry, if the budget has one.
    pub fn take(&mut self) -> bool {
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
