//! The budget of messages that only measure.

use std::collections::VecDeque;

use serde::Serialize;

use crate::base::clock::MicroTime;

/// Length of the window that the budget is set for.
const WINDOW: MicroTime = MicroTime::from_millis(1_000);

/// What was granted at one moment.
#[derive(Clone, Copy, Debug, Serialize)]
struct BudgetGrant {
    at: MicroTime,
    messages: u32,
    bytes: u32,
}

/// A hard limit on measuring messages and their bytes.
///
/// Invariant: in no window of one second, wherever it begins, is more granted
/// than a second's budget. Time that stands still or goes back grants nothing
/// anew.
#[derive(Clone, Debug, Serialize)]
pub struct ProbeBudget {
    messages_per_s: u64,
    bytes_per_s: u64,
    /// Grants of the last second, oldest first.
    grants: VecDeque<BudgetGrant>,
    /// Sums over `grants`.
    messages: u64,
    bytes: u64,
    /// The greatest time seen.
    latest: MicroTime,
}

impl ProbeBudget {
    /// Opens a budget of so many messages and bytes in a second.
    #[must_use]
    pub const fn open(messages_per_s: u32, bytes_per_s: u32) -> Self {
        Self {
            messages_per_s: messages_per_s as u64,
            bytes_per_s: bytes_per_s as u64,
            grants: VecDeque::new(),
            messages: 0,
            bytes: 0,
            latest: MicroTime(0),
        }
    }

    /// Tells whether nothing is ever granted.
    #[must_use]
    pub const fn is_zero(&self) -> bool {
        self.messages_per_s == 0 || self.bytes_per_s == 0
    }

    /// Takes leave to send `messages` of `bytes` in all, or nothing.
    pub fn take(&mut self, now: MicroTime, messages: u32, bytes: u32) -> bool {
        self.latest = self.latest.max(now);
        self.forget();
        let fits = self.messages + u64::from(messages) <= self.messages_per_s
            && self.bytes + u64::from(bytes) <= self.bytes_per_s;
        if fits {
            self.messages += u64::from(messages);
            self.bytes += u64::from(bytes);
            self.grants.push_back(BudgetGrant { at: self.latest, messages, bytes });
        }
        fits
    }

    /// Drops the grants that are a second old.
    fn forget(&mut self) {
        while let Some(grant) = self.grants.front() {
            if self.latest.since(grant.at) < WINDOW {
                return;
            }
            self.messages -= u64::from(grant.messages);
            self.bytes -= u64::from(grant.bytes);
            self.grants.pop_front();
        }
    }
}
