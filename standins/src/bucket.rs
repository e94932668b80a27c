//! A limit of requests in a second.

use std::time::Instant;

/// Grants so many requests a second, and a second's worth at once.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    level: f64,
    filled: Instant,
}

impl TokenBucket {
    pub(crate) fn full(per_s: f64) -> Self {
        Self { level: per_s, filled: Instant::now() }
    }

    pub(crate) fn take(&mut self, per_s: f64) -> bool {
        let now = Instant::now();
        let passed = now.duration_since(self.filled).as_secs_f64();
        self.level = (self.level + passed * per_s).min(per_s);
        self.filled = now;
        let granted = self.level >= 1.0;
        if granted {
            self.level -= 1.0;
        }
        granted
    }
}
