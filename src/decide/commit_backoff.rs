//! How often a daemon writes to the table, so that the fleet stays within it.
//!
//! Pure. The table refuses what is over its rate. A daemon that is refused
//! waits longer and carries more in its next transaction; one that is not
//! shortens its wait little by little.

use crate::base::clock::MicroTime;

/// Shortest and longest wait between two transactions.
const PAUSE_BOUNDS: (MicroTime, MicroTime) =
    (MicroTime::from_millis(2), MicroTime::from_millis(400));

/// Refusals in a row that span this long mean that the table is down.
const DOWN_AFTER: MicroTime = MicroTime::from_millis(1_000);

/// Transactions without a refusal after which the wait is shortened.
const CALM: u32 = 8;

/// The pace of one daemon.
///
/// Invariants: the wait stays within its bounds; each refusal doubles it;
/// [`CommitBackoff::is_down`] holds only while nothing was accepted since.
#[derive(Clone, Debug)]
pub struct CommitBackoff {
    pause: MicroTime,
    accepted: u32,
    refused_since: Option<MicroTime>,
}

impl CommitBackoff {
    /// Opens the pace at its shortest wait.
    #[must_use]
    pub const fn open() -> Self {
        Self { pause: PAUSE_BOUNDS.0, accepted: 0, refused_since: None }
    }

    /// Returns the wait before the next transaction.
    #[must_use]
    pub const fn delay(&self) -> MicroTime {
        self.pause
    }

    /// Notes that the table answered a transaction.
    pub fn record_success(&mut self) {
        self.refused_since = None;
        self.accepted += 1;
        if self.accepted >= CALM {
            self.accepted = 0;
            self.pause = MicroTime(self.pause.0 * 7 / 8).max(PAUSE_BOUNDS.0);
        }
        self.check();
    }

    /// Checks the invariants, in builds with debug assertions.
    fn check(&self) {
        let bounds = PAUSE_BOUNDS.0..=PAUSE_BOUNDS.1;
        debug_assert!(bounds.contains(&self.pause), "{:?} is out of bounds", self.pause);
        debug_assert!(self.accepted < CALM, "{} transactions count", self.accepted);
    }

    /// Notes that the table refused a transaction, or can't be reached.
    pub fn record_failure(&mut self, now: MicroTime) {
        self.accepted = 0;
        self.refused_since.get_or_insert(now);
        self.pause = MicroTime(self.pause.0 * 2).min(PAUSE_BOUNDS.1);
        self.check();
    }

    /// Tells whether the table is down rather than busy.
    #[must_use]
    pub fn is_down(&self, now: MicroTime) -> bool {
        self.refused_since.is_some_and(|since| now.since(since) >= DOWN_AFTER)
    }
}
