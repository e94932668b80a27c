//! The budget of messages that only measure.

use serde::Serialize;

use crate::clock::MicroTime;

/// A hard limit on measuring messages and their bytes.
///
/// Invariant: in any window of length `w` seconds, at most
/// `rate × (w + 1)` messages and bytes are granted, whatever the clock does:
/// time that stands still or goes back grants nothing, and a jump forward
/// fills the bucket once.
#[derive(Clone, Debug, Serialize)]
pub struct ProbeBudget {
    messages: TokenBucket,
    bytes: TokenBucket,
    /// Messages granted so far.
    pub sent_messages: u64,
    /// Bytes granted so far.
    pub sent_bytes: u64,
}

impl ProbeBudget {
    /// Opens an empty budget of so many messages and bytes in a second.
    #[must_use]
    pub const fn open(messages_per_s: u32, bytes_per_s: u32) -> Self {
        Self {
            messages: TokenBucket::open(messages_per_s),
            bytes: TokenBucket::open(bytes_per_s),
            sent_messages: 0,
            sent_bytes: 0,
        }
    }

    /// Takes leave to send `messages` of `bytes` in all, or nothing.
    pub fn take(&mut self, now: MicroTime, messages: u32, bytes: u32) -> bool {
        self.messages.fill(now);
        self.bytes.fill(now);
        let granted = self.messages.holds(messages) && self.bytes.holds(bytes);
        if granted {
            self.messages.spend(messages);
            self.bytes.spend(bytes);
            self.sent_messages += u64::from(messages);
            self.sent_bytes += u64::from(bytes);
        }
        granted
    }
}

/// Millionths of a token, so that no rounding adds up.
const TOKEN: u64 = 1_000_000;

/// A bucket that holds one second's worth.
#[derive(Clone, Debug, Serialize)]
struct TokenBucket {
    per_s: u64,
    level: u64,
    /// The greatest time seen; filling starts from here.
    filled: MicroTime,
}

impl TokenBucket {
    const fn open(per_s: u32) -> Self {
        Self { per_s: per_s as u64, level: 0, filled: MicroTime(0) }
    }

    fn fill(&mut self, now: MicroTime) {
        let passed = now.since(self.filled).0.min(TOKEN);
        self.level = (self.level + passed * self.per_s).min(self.per_s * TOKEN);
        self.filled = self.filled.max(now);
    }

    fn holds(&self, count: u32) -> bool {
        self.level >= u64::from(count) * TOKEN
    }

    fn spend(&mut self, count: u32) {
        self.level -= u64::from(count) * TOKEN;
    }
}
