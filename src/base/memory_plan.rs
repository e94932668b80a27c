//! How a process divides its memory.

use serde::{Deserialize, Serialize};

/// Memory of a process if its settings name none, in MiB.
pub const DEFAULT_MEMORY_MB: u64 = 256;

/// Bounds of the memory of a process, in MiB.
pub const MIN_MEMORY_MB: u64 = 16;
/// See [`MIN_MEMORY_MB`].
pub const MAX_MEMORY_MB: u64 = 1 << 20;

/// Maximum size of a body that counts as small, in bytes. Small bodies have memory of their own,
/// so that large ones keep none of them waiting.
pub(crate) const SMALL_BODY_BYTES: usize = 64 << 10;

/// Memory that a process needs for itself, its connections and its logs, in bytes; at most half of
/// a small memory.
const PROCESS_BYTES: u64 = 24 << 20;

/// Shares of a process's memory that calls and the connections of callers may use. Bodies, heads
/// and answers have one at the entry and one at the guard, since both keep them. The rest is for
/// the process itself, its connections to other processes and its logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Memory of the process, in bytes.
    pub total: u64,
}

impl MemoryPlan {
    /// Creates the plan of a process with `memory_mb` MiB.
    #[must_use]
    pub const fn of_mib(memory_mb: u64) -> Self {
        Self { total: memory_mb << 20 }
    }

    /// Returns the memory that remains for calls, in bytes.
    const fn for_calls(self) -> u64 {
        let half = self.total / 2;
        let rest = self.total.saturating_sub(PROCESS_BYTES);
        if rest > half { rest } else { half }
    }

    /// Returns the limit of all large bodies at the entry and the guard together, in bytes.
    #[must_use]
    pub const fn large_bodies(self) -> u64 {
        self.for_calls() / 64 * 38
    }

    /// Returns the limit of all large bodies at one of the two, in bytes, unless a single one is
    /// longer.
    #[must_use]
    pub const fn large_bodies_of_each(self) -> u64 {
        self.large_bodies() / 2
    }

    /// Returns the length of the longest body, in bytes: more than half of what the entry and the
    /// guard have together, so that it may keep out large ones at the other one of the two.
    #[must_use]
    pub const fn longest_body(self) -> u64 {
        self.for_calls() / 2
    }

    /// Returns the limit of all small bodies at one entry or one guard, in bytes.
    #[must_use]
    pub const fn small_bodies(self) -> u64 {
        self.for_calls() / 64 * 3
    }

    /// Returns the limit of what the connections of callers hold, in bytes: what arrived and is not
    /// read, half a request, and answers on their way.
    #[must_use]
    pub const fn connections(self) -> u64 {
        self.for_calls() / 64 * 6
    }

    /// Returns the limit of long request heads at an entry or a guard, in bytes.
    #[must_use]
    pub const fn long_heads(self) -> u64 {
        self.for_calls() / 32
    }

    /// Returns the limit of the records of calls at a guard, in bytes.
    #[must_use]
    pub const fn call_records(self) -> u64 {
        self.for_calls() / 32
    }

    /// Returns the limit of all long answers that are being sent by one entry or one guard, in
    /// bytes.
    #[must_use]
    pub const fn long_answers(self) -> u64 {
        self.for_calls() / 16
    }
}

/// Use of a memory for bodies, as operators see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryUse {
    /// Limit of the sum of all bodies, in bytes.
    pub limit_bytes: u64,
    /// Sum of all bodies, in bytes.
    pub held_bytes: u64,
    /// Number of bodies that wait for memory.
    pub waiting: usize,
}

/// Use of the memories of one duty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyMemoryUse {
    /// Memory for small bodies.
    pub small: MemoryUse,
    /// Memory for large bodies.
    pub large: MemoryUse,
}
