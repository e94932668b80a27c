//! Rate limit on load probes: messages that only measure the load of targets.

use std::collections::VecDeque;

use serde::Serialize;

use crate::base::clock::MicroTime;

/// Length of the sliding window to which the limits apply.
const WINDOW: MicroTime = MicroTime::from_millis(1_000);

/// Messages and bytes granted at one moment.
#[derive(Clone, Copy, Debug, Serialize)]
struct BudgetGrant {
    at: MicroTime,
    messages: u32,
    bytes: u32,
}

/// Hard limit on the number of probe messages and on their bytes.
///
/// Invariant: within any window of one second, no more than the limits for a second is granted.
/// Time that stands still or goes backwards adds nothing to the budget.
#[derive(Clone, Debug, Serialize)]
pub struct ProbeBudget {
    messages_per_s: u64,
    bytes_per_s: u64,
    /// Grants of the last second, oldest first.
    grants: VecDeque<BudgetGrant>,
    /// Sum of the messages in `grants`.
    messages: u64,
    /// Sum of the bytes in `grants`.
    bytes: u64,
    /// Latest time passed in.
    latest: MicroTime,
}

impl ProbeBudget {
    /// Creates a budget of `messages_per_s` messages and `bytes_per_s` bytes in a second.
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

    /// Returns whether the budget never grants anything.
    #[must_use]
    pub const fn is_zero(&self) -> bool {
        self.messages_per_s == 0 || self.bytes_per_s == 0
    }

    /// Takes `messages` messages of `bytes` bytes in total from the budget; returns `false` and
    /// takes nothing if they exceed it.
    pub fn try_take(&mut self, now: MicroTime, messages: u32, bytes: u32) -> bool {
        self.latest = self.latest.max(now);
        self.drop_expired();
        let fits = self.messages + u64::from(messages) <= self.messages_per_s
            && self.bytes + u64::from(bytes) <= self.bytes_per_s;
        if fits {
            self.messages += u64::from(messages);
            self.bytes += u64::from(bytes);
            self.grants.push_back(BudgetGrant { at: self.latest, messages, bytes });
        }
        fits
    }

    /// Drops the grants that have left the window.
    fn drop_expired(&mut self) {
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
