//! Grants whose requests did not reach a target, and which are therefore available again.

use std::collections::{HashMap, VecDeque};

use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::base::ids::DaemonIncarnation;
use crate::base::wire::CallPriority;

/// Maximum number of grants that a holder remembers for one account, and an entry in all;
/// further ones can't be returned.
const MAX_REMEMBERED: usize = 8_192;

/// Identity of a grant: the incarnation of the entry's daemon and the number of its request.
pub type GrantKey = (DaemonIncarnation, u64);

/// A grant at its holder.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RememberedGrant {
    granted: u16,
    returned: u16,
    origin: GrantOrigin,
}

/// Where a grant is counted at its holder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct GrantOrigin {
    /// Time at which the grant leaves the window.
    pub(super) leaves: MicroTime,
    /// Priority that the grant counts for.
    pub(super) priority: CallPriority,
}

/// Grants that a holder made within the window and that may still be returned.
///
/// Invariant: no grant has more requests returned than granted. Returns state the sum so far,
/// so a duplicate or a late one changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(super) struct ReturnableGrants {
    #[serde(skip)]
    grants: HashMap<GrantKey, RememberedGrant>,
    #[serde(skip)]
    order: VecDeque<(MicroTime, GrantKey)>,
    /// Sum of all requests returned.
    returned: u64,
}

impl ReturnableGrants {
    /// Remembers a grant, unless one with the same key or too many are known.
    pub(super) fn remember(&mut self, key: GrantKey, granted: u16, origin: GrantOrigin) {
        if self.order.len() >= MAX_REMEMBERED || self.grants.contains_key(&key) {
            return;
        }
        self.grants.insert(key, RememberedGrant { granted, returned: 0, origin });
        self.order.push_back((origin.leaves, key));
    }

    /// Forgets the grants that have left the window.
    pub(super) fn drop_expired(&mut self, now: MicroTime) {
        while let Some((leaves, key)) = self.order.front() {
            if *leaves > now {
                return;
            }
            self.grants.remove(key);
            self.order.pop_front();
        }
    }

    /// Records that `total` requests of a grant have been returned so far; returns the number of
    /// them that are new, and where they are counted.
    pub(super) fn take_back(&mut self, key: GrantKey, total: u16) -> Option<(u16, GrantOrigin)> {
        let grant = self.grants.get_mut(&key)?;
        if total > grant.granted || total <= grant.returned {
            return None;
        }
        let new = total - std::mem::replace(&mut grant.returned, total);
        self.returned += u64::from(new);
        Some((new, grant.origin))
    }
}

/// Requests that an entry has returned of its grants, by the numbers of the grants.
#[derive(Clone, Debug, Default)]
pub struct ReturnedCounts {
    counts: HashMap<u64, u16>,
    order: VecDeque<u64>,
}

impl ReturnedCounts {
    /// Adds returned requests of a grant; returns the sum so far.
    ///
    /// The oldest grant is forgotten if there are too many. A later return of it states too
    /// small a sum, which has no effect.
    pub fn add(&mut self, number: u64, count: u16) -> u16 {
        if !self.counts.contains_key(&number) {
            if self.order.len() >= MAX_REMEMBERED
                && let Some(oldest) = self.order.pop_front()
            {
                self.counts.remove(&oldest);
            }
            self.order.push_back(number);
        }
        let total = self.counts.entry(number).or_default();
        *total = total.saturating_add(count);
        *total
    }
}
