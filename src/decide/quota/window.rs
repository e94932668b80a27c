//! Sliding window over the requests that one holder granted of its part of a quota.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::levels::{PriorityLevels, freed_at};
use super::returns::{GrantKey, GrantOrigin, ReturnableGrants};
use super::{AccountQuota, BUCKETS, GRANT_LIFETIME, QuotaTerms};
use crate::base::clock::MicroTime;
use crate::base::datagram::QuotaRequest;
use crate::base::wire::CallPriority;

/// Maximum time over which the retry times of refused callers are spread, from the time at
/// which a request is free again.
const MAX_WAIT: MicroTime = MicroTime::from_millis(2_000);

/// Fraction of the part that is in use when a refusal shows that requests compete for it.
const CONTENDED_USE: f64 = 0.9;

/// Result of an entry's request for a grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Number of requests that the entry may admit.
    pub granted: u16,
    /// Time after which to retry if nothing was granted, in milliseconds.
    pub wait_ms: u32,
    /// Use of the part in the current window, in thousandths.
    pub usage_permille: u16,
}

/// Change of whether the less urgent requests of an account are limited in favour of more urgent
/// ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapsChange {
    /// A request of this priority was refused although the part is not used up.
    Began(CallPriority),
    /// No request was refused for that reason within a window.
    Ceased,
}

/// One holder's part of an account's quota.
///
/// Invariant: in no window more requests are used than the part permits. A new window counts
/// as used up, since another holder may just have granted all of it. Those grants count as
/// spread evenly over the window before, as long as all requests come from entries that have
/// started since. From the first request of an entry that may have got them, they count as made
/// when the window was opened.
///
/// Within the part, all less urgent requests together get what the more urgent ones are not
/// expected to ask for (`levels`). This applies only while the requests compete for the part.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QuotaWindow {
    /// Number of requests that the part permits in a window.
    limit: f64,
    /// Number of holders of the account's quota.
    holders: f64,
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
    levels: PriorityLevels,
    returnable: ReturnableGrants,
    /// Time until which requests are assumed to compete for the part, since one was refused.
    contended_until: MicroTime,
    /// Time of the last refusal although the part was not used up, while that is recent.
    capped_at: Option<MicroTime>,
    /// Change of `capped_at` that was not reported yet.
    #[serde(skip)]
    caps_change: Option<CapsChange>,
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
            holders: quota.holders(terms) as f64,
            span: terms.window,
            buckets: (1..=BUCKETS).map(bucket).collect(),
            granted: limit,
            opened_at: now,
            only_new_entries: true,
            levels: PriorityLevels::default(),
            returnable: ReturnableGrants::default(),
            contended_until: MicroTime::default(),
            capped_at: None,
            caps_change: None,
        }
    }

    /// Applies the current quota and terms; returns whether they changed.
    pub fn update(&mut self, quota: AccountQuota, terms: QuotaTerms) -> bool {
        let limit = quota.per_window(terms) / quota.holders(terms) as f64;
        let changed = (limit, terms.window) != (self.limit, self.span);
        (self.limit, self.span) = (limit, terms.window);
        self.holders = quota.holders(terms) as f64;
        changed
    }

    /// Grants up to the wanted number of requests to an entry.
    pub fn grant(&mut self, now: MicroTime, request: &QuotaRequest) -> QuotaGrant {
        if request.settled {
            self.count_prior_use_at_once();
        }
        self.drop_expired(now);
        let level = self.levels.find(request.priority);
        let room = self.limit - self.granted;
        let allowance = if self.is_contended(now) {
            self.levels.allowance(now, self.span, level, self.limit)
        } else {
            f64::INFINITY
        };
        let granted = room.min(allowance).floor().min(f64::from(request.want)).max(0.0);
        // Refused requests count at every holder asked: otherwise a part that less urgent
        // requests have filled would be taken for one that few urgent requests ask for.
        let asked =
            if request.new_demand > 0 { request.new_demand.into() } else { granted.max(1.0) };
        self.levels.record_demand(now, self.span, level, asked);
        if granted > 0.0 {
            let leaves = self.record(now, granted);
            self.levels.record_grant(level, leaves, granted);
            let origin = GrantOrigin { leaves, priority: self.levels.priority(level) };
            let key = (request.incarnation, request.number);
            self.returnable.remember(key, granted as u16, origin);
            let usage_permille = self.usage_permille();
            return QuotaGrant { granted: granted as u16, wait_ms: 0, usage_permille };
        }
        if room < 1.0 || self.granted >= self.limit * CONTENDED_USE {
            self.contended_until = now + self.span;
        }
        if room >= 1.0 && self.capped_at.replace(now).is_none() {
            self.caps_change = Some(CapsChange::Began(request.priority));
        }
        let wait = self.promise(now, level).since(now).ceil_millis();
        QuotaGrant {
            granted: 0,
            wait_ms: u32::try_from(wait).unwrap_or(u32::MAX),
            usage_permille: self.usage_permille(),
        }
    }

    /// Makes requests of a grant available again; `total` is the number returned so far.
    pub fn take_back(&mut self, now: MicroTime, key: GrantKey, total: u16) {
        self.drop_expired(now);
        let Some((count, origin)) = self.returnable.take_back(key, total) else { return };
        let found = self.buckets.binary_search_by_key(&origin.leaves, |(leaves, _)| *leaves);
        let Ok(index) = found else { return };
        let returned = f64::from(count).min(self.buckets[index].1);
        self.buckets[index].1 -= returned;
        self.granted = (self.granted - returned).max(0.0);
        self.levels.take_back(origin.priority, origin.leaves, returned);
    }

    /// Returns a change of whether less urgent requests are limited, once.
    pub fn take_caps_change(&mut self) -> Option<CapsChange> {
        self.caps_change.take()
    }

    /// Returns whether the requests compete for the part.
    fn is_contended(&self, now: MicroTime) -> bool {
        now < self.contended_until || self.levels.exceed(now, self.span, self.limit)
    }

    /// Promises a refused caller a time of its own at which a request of its level may be
    /// granted.
    fn promise(&mut self, now: MicroTime, level: usize) -> MicroTime {
        let mut room = freed_at(now, self.buckets.iter().copied(), self.granted + 1.0 - self.limit);
        let mut share = self.limit;
        if self.is_contended(now) {
            room = room.max(self.levels.next_room(now, self.span, level, self.limit));
            share = self.levels.share(now, self.span, level, self.limit);
        }
        // A refused caller is promised a request by every holder, and needs one.
        let interval = self.span.0 as f64 / share.max(1.0) / self.holders;
        let latest = room.max(now) + MAX_WAIT;
        self.levels.promise(level, room, MicroTime(interval as u64), latest)
    }

    /// Returns the granted part, without the use that is assumed before the window was opened.
    fn usage_permille(&self) -> u16 {
        (self.levels.granted() / self.limit.max(1.0) * 1_000.0) as u16
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

    /// Counts granted requests; returns when they leave the window.
    fn record(&mut self, now: MicroTime, granted: f64) -> MicroTime {
        self.granted += granted;
        // A bucket leaves the window together with the last request that may use its grants.
        let earliest = now + self.span + GRANT_LIFETIME;
        match self.buckets.back_mut() {
            Some((leaves, count)) if *leaves >= earliest => {
                *count += granted;
                *leaves
            }
            _ => {
                let leaves = earliest + MicroTime(self.span.0 / BUCKETS);
                self.buckets.push_back((leaves, granted));
                leaves
            }
        }
    }

    /// Drops the buckets that have left the window.
    fn drop_expired(&mut self, now: MicroTime) {
        self.levels.drop_expired(now, self.span);
        self.returnable.drop_expired(now);
        if self.capped_at.is_some_and(|capped_at| now.since(capped_at) >= self.span) {
            self.capped_at = None;
            self.caps_change = Some(CapsChange::Ceased);
        }
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
