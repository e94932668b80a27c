//! Delay between a daemon's transactions, which keeps the fleet within the table's rate limit.
//!
//! The table rejects transactions above its rate. A daemon whose transaction was rejected waits
//! longer and puts more writes into its next one; a daemon whose transactions are processed
//! shortens its delay gradually.

use crate::base::clock::MicroTime;

/// Minimum and maximum delay between two transactions.
const DELAY_BOUNDS: (MicroTime, MicroTime) =
    (MicroTime::from_millis(2), MicroTime::from_millis(400));

/// Duration of uninterrupted rejections after which the table counts as down.
const DOWN_AFTER: MicroTime = MicroTime::from_millis(1_000);

/// Number of consecutive processed transactions after which the delay is shortened.
const SUCCESSES_PER_DECREASE: u32 = 8;

/// Adaptive delay between the transactions of one daemon.
///
/// Invariants: the delay stays within `DELAY_BOUNDS`; each failure doubles it, up to the upper
/// bound; [`CommitBackoff::is_down`] is true only while there was no success since the first
/// failure.
#[derive(Clone, Debug)]
pub struct CommitBackoff {
    delay: MicroTime,
    /// Consecutive successes since the last change of the delay.
    successes: u32,
    /// Time of the first failure since the last success.
    failing_since: Option<MicroTime>,
}

impl CommitBackoff {
    /// Creates the backoff with the minimum delay.
    #[must_use]
    pub const fn open() -> Self {
        Self { delay: DELAY_BOUNDS.0, successes: 0, failing_since: None }
    }

    /// Returns the delay before the next transaction.
    #[must_use]
    pub const fn delay(&self) -> MicroTime {
        self.delay
    }

    /// Records that the table processed a transaction, whether or not it was committed.
    pub fn record_success(&mut self) {
        self.failing_since = None;
        self.successes += 1;
        if self.successes >= SUCCESSES_PER_DECREASE {
            self.successes = 0;
            self.delay = MicroTime(self.delay.0 * 7 / 8).max(DELAY_BOUNDS.0);
        }
        self.check();
    }

    /// Checks the invariants, in builds with debug assertions.
    fn check(&self) {
        let bounds = DELAY_BOUNDS.0..=DELAY_BOUNDS.1;
        debug_assert!(bounds.contains(&self.delay), "delay {:?} is out of bounds", self.delay);
        debug_assert!(
            self.successes < SUCCESSES_PER_DECREASE,
            "{} successes without a decrease",
            self.successes
        );
    }

    /// Records that the table rejected a transaction or can't be reached.
    pub fn record_failure(&mut self, now: MicroTime) {
        self.successes = 0;
        self.failing_since.get_or_insert(now);
        self.delay = MicroTime(self.delay.0 * 2).min(DELAY_BOUNDS.1);
        self.check();
    }

    /// Returns whether the table counts as down rather than busy.
    #[must_use]
    pub fn is_down(&self, now: MicroTime) -> bool {
        self.failing_since.is_some_and(|since| now.since(since) >= DOWN_AFTER)
    }
}
