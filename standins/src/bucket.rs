//! A token bucket that limits the request rate.

use std::time::Instant;

/// A bucket that holds at most the tokens of one second.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled: Instant,
}

impl TokenBucket {
    pub(crate) fn full(per_s: f64) -> Self {
        Self { tokens: per_s, refilled: Instant::now() }
    }

    /// Refills the bucket and takes one token; `false` if there is none.
    pub(crate) fn try_take(&mut self, per_s: f64) -> bool {
        let now = Instant::now();
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * per_s).min(per_s);
        self.refilled = now;
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
