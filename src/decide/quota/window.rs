//! One holder's part of a quota: what was granted in the last window.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{AccountQuota, GRANT_LIFETIME, QuotaTerms};
use crate::base::clock::MicroTime;

/// Longest time that a refused caller is told to stay away.
const LONGEST_WAIT: MicroTime = MicroTime::from_millis(2_000);

/// Slots into which a window is divided.
const SLOTS: u64 = 50;

/// What a holder answers to an entry that asks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Requests that the entry may let through.
    pub granted: u16,
    /// When there is room again, if nothing was granted, in milliseconds.
    pub wait_ms: u32,
}

/// One holder's part of an account's quota.
///
/// Invariant: in no window more grants are used than the part. One that opens counts as used
/// up, since another holder may just have granted it: all at once for an entry that may have
/// got it, evenly over the window before where all entries have started since.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QuotaWindow {
    limit: f64,
    span: MicroTime,
    /// When each slot of the window leaves it, and what was granted in it; the oldest
    /// first.
    slots: VecDeque<(MicroTime, f64)>,
    granted: f64,
    opened: MicroTime,
    /// Whether only entries asked that have started within a window.
    fresh: bool,
    /// Until when the room that comes was promised to refused callers.
    promised: MicroTime,
}

impl QuotaWindow {
    /// Opens a window that is used up.
    #[must_use]
    pub fn open(now: MicroTime, quota: AccountQuota, terms: QuotaTerms) -> Self {
        let limit = quota.in_window(terms) / quota.holders(terms) as f64;
        let each = terms.window.0 / SLOTS;
        let slot = |number: u64| (now + MicroTime(each * number), limit / SLOTS as f64);
        Self {
            limit,
            span: terms.window,
            slots: (1..=SLOTS).map(slot).collect(),
            granted: limit,
            opened: now,
            fresh: true,
            promised: now,
        }
    }

    /// Takes over the quota as it is now; `true` if it changed.
    pub fn update(&mut self, quota: AccountQuota, terms: QuotaTerms) -> bool {
        let limit = quota.in_window(terms) / quota.holders(terms) as f64;
        let changed = (limit, terms.window) != (self.limit, self.span);
        (self.limit, self.span) = (limit, terms.window);
        changed
    }

    /// Grants up to `want` requests to an entry; `settled` tells whether that has run for a
    /// window or more.
    pub fn grant(&mut self, now: MicroTime, want: u16, settled: bool) -> QuotaGrant {
        if settled {
            self.count_used_at_once();
        }
        self.forget(now);
        let granted = (self.limit - self.granted).floor().min(f64::from(want)).max(0.0);
        if granted > 0.0 {
            self.note(now, granted);
            return QuotaGrant { granted: granted as u16, wait_ms: 0 };
        }
        // Each that is refused is told a moment of its own, as room comes.
        let each = MicroTime((self.span.0 as f64 / self.limit.max(1.0)) as u64);
        let latest = now + LONGEST_WAIT;
        self.promised = (self.promised.max(self.next_room(now)) + each).min(latest);
        let wait_ms = self.promised.since(now).0.div_ceil(1_000);
        QuotaGrant { granted: 0, wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX) }
    }

    /// Counts what was used up before the window opened as used at that moment.
    fn count_used_at_once(&mut self) {
        if !std::mem::replace(&mut self.fresh, false) {
            return;
        }
        let last = self.opened + self.span + GRANT_LIFETIME;
        for (leaves, _) in &mut self.slots {
            *leaves = (*leaves).max(last);
        }
    }

    fn note(&mut self, now: MicroTime, granted: f64) {
        self.granted += granted;
        // A slot leaves when the last request does that may have used a grant of it.
        let least = now + self.span + GRANT_LIFETIME;
        match self.slots.back_mut() {
            Some((leaves, count)) if *leaves >= least => *count += granted,
            _ => {
                let leaves = least + MicroTime(self.span.0 / SLOTS);
                self.slots.push_back((leaves, granted));
            }
        }
    }

    /// Returns when the next slot leaves the window.
    fn next_room(&self, now: MicroTime) -> MicroTime {
        self.slots.front().map_or(now, |(leaves, _)| *leaves)
    }

    fn forget(&mut self, now: MicroTime) {
        while let Some((leaves, count)) = self.slots.front().copied() {
            if leaves > now {
                return;
            }
            self.granted = (self.granted - count).max(0.0);
            self.slots.pop_front();
        }
        self.granted = 0.0;
    }
}
