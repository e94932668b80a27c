//! Sliding window over the requests that one holder granted of its part of a quota.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{AccountQuota, GRANT_LIFETIME, QuotaTerms};
use crate::base::clock::MicroTime;

/// Maximum retry time returned to a refused caller.
const MAX_WAIT: MicroTime = MicroTime::from_millis(2_000);

/// Number of buckets into which a window is divided.
const BUCKETS: u64 = 50;

/// Result of an entry's request for a grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Number of requests that the entry may admit.
    pub granted: u16,
    /// Time after which to retry if nothing was granted, in milliseconds.
    pub wait_ms: u32,
}

/// One holder's part of an account's quota.
///
/// Invariant: in no window more requests are used than the part permits. A new window counts
/// as used up, since another holder may just have granted all of it. Those grants count as
/// spread evenly over the window before, as long as all requests come from entries that have
/// started since. From the first request of an entry that may have got them, they count as made
/// when the window was opened.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QuotaWindow {
    /// Number of requests that the part permits in a window.
    limit: f64,
    /// Length of the window.
    span: MicroTime,
    /// Time at which each bucket leaves the window and the requests granted in it, oldest
    /// first.
    #[serde(rename = "slots")]
    buckets: VecDeque<(MicroTime, f64)>,
    /// Sum of the requests in `buckets`.
    granted: f64,
    #[serde(rename = "opened")]
    opened_at: MicroTime,
    /// Whether all requests so far came from entries that had started within the last window.
    #[serde(rename = "fresh")]
    only_new_entries: bool,
    /// Time up to which freed requests have been promised to refused callers.
    #[serde(rename = "promised")]
    promised_until: MicroTime,
}

impl QuotaWindow {
    /// Creates a window that counts as used up.
    #[must_use]
    pub fn open(now: MicroTime, quota: AccountQuota, terms: QuotaTerms) -> Self {
        let limit = quota.per_window(terms) / quota.holders(terms) as f64;
        let bucket_length = terms.window.0 / BUCKETS;
        let bucket =
            |number: u64| (now + MicroTime(bucket_length * number), limit / BUCKETS as f64);
        Self {
            limit,
            span: terms.window,
            buckets: (1..=BUCKETS).map(bucket).collect(),
            granted: limit,
            opened_at: now,
            only_new_entries: true,
            promised_until: now,
        }
    }

    /// Applies the current quota and terms; returns whether they changed.
    pub fn update(&mut self, quota: AccountQuota, terms: QuotaTerms) -> bool {
        let limit = quota.per_window(terms) / quota.holders(terms) as f64;
        let changed = (limit, terms.window) != (self.limit, self.span);
        (self.limit, self.span) = (limit, terms.window);
        changed
    }

    /// Grants up to `requested` requests to an entry; `settled` is true if that entry has run
    /// for at least a window.
    pub fn grant(&mut self, now: MicroTime, requested: u16, settled: bool) -> QuotaGrant {
        if settled {
            self.count_prior_use_at_once();
        }
        self.drop_expired(now);
        let granted = (self.limit - self.granted).floor().min(f64::from(requested)).max(0.0);
        if granted > 0.0 {
            self.record(now, granted);
            return QuotaGrant { granted: granted as u16, wait_ms: 0 };
        }
        // Each refused caller gets a retry time of its own, at the rate at which requests
        // leave the window.
        let interval = MicroTime((self.span.0 as f64 / self.limit.max(1.0)) as u64);
        let latest = now + MAX_WAIT;
        self.promised_until =
            (self.promised_until.max(self.next_expiry(now)) + interval).min(latest);
        let wait_ms = self.promised_until.since(now).0.div_ceil(1_000);
        QuotaGrant { granted: 0, wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX) }
    }

    /// Counts the use assumed before the window was opened as made at that moment.
    fn count_prior_use_at_once(&mut self) {
        if !std::mem::replace(&mut self.only_new_entries, false) {
            return;
        }
        let last = self.opened_at + self.span + GRANT_LIFETIME;
        for (leaves, _) in &mut self.buckets {
            *leaves = (*leaves).max(last);
        }
    }

    fn record(&mut self, now: MicroTime, granted: f64) {
        self.granted += granted;
        // A bucket leaves the window together with the last request that may use its grants.
        let earliest = now + self.span + GRANT_LIFETIME;
        match self.buckets.back_mut() {
            Some((leaves, count)) if *leaves >= earliest => *count += granted,
            _ => {
                let leaves = earliest + MicroTime(self.span.0 / BUCKETS);
                self.buckets.push_back((leaves, granted));
            }
        }
    }

    /// Returns when the next bucket leaves the window.
    fn next_expiry(&self, now: MicroTime) -> MicroTime {
        self.buckets.front().map_or(now, |(leaves, _)| *leaves)
    }

    /// Drops the buckets that have left the window.
    fn drop_expired(&mut self, now: MicroTime) {
        while let Some((leaves, count)) = self.buckets.front().copied() {
            if leaves > now {
                return;
            }
            self.granted = (self.granted - count).max(0.0);
            self.buckets.pop_front();
        }
        self.granted = 0.0;
    }
}
