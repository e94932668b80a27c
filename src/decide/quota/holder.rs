//! Parts of account quotas that one daemon holds.

use std::collections::HashMap;

use serde::Serialize;

use super::{AccountQuota, CapsChange, QuotaGrant, QuotaTerms, QuotaWindow, choose_holders};
use crate::base::clock::MicroTime;
use crate::base::datagram::{QuotaRequest, QuotaReturn};
use crate::base::ids::{AccountName, HostName};

/// Half-life of the recorded size of the fleet, in seconds.
const SIZE_HALF_LIFE_S: f64 = 60.0;

/// Tracks whether at least half of the fleet is up in the view of a daemon.
///
/// A holder that is partitioned from the rest must not grant requests that its replacement
/// grants as well.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct FleetQuorum {
    /// Recorded size of the fleet: the maximum number of daemons that were up, with decay.
    size: f64,
    /// Number of daemons believed to be up.
    up: usize,
    #[serde(rename = "updated")]
    updated_at: MicroTime,
}

impl FleetQuorum {
    /// Records the number of daemons believed to be up.
    fn update(&mut self, now: MicroTime, up: usize) {
        let elapsed = now.since(self.updated_at).duration().as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.size = (self.size * (-elapsed / SIZE_HALF_LIFE_S).exp2()).max(up as f64);
        self.up = up;
    }

    /// Returns whether at least half of the fleet is up.
    fn holds(&self) -> bool {
        self.up > 0 && self.up as f64 * 2.0 >= self.size
    }
}

/// Parts of account quotas that a daemon holds.
///
/// Invariants: a daemon that is partitioned from most of the fleet holds none; a part that it
/// takes over counts as used up, since its former holder may just have granted all of it.
#[derive(Debug, Default, Serialize)]
pub struct QuotaHolder {
    quorum: FleetQuorum,
    windows: HashMap<AccountName, QuotaWindow>,
}

/// Change of the quotas that a daemon holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderChange {
    /// The daemon now holds a part of the account's quota.
    Acquired(AccountName),
    /// The quota of a held account changed.
    Updated(AccountName),
    /// The daemon no longer holds a part of the account's quota.
    Released(AccountName),
}

impl QuotaHolder {
    /// Determines which quotas are held here, given the current fleet and configuration.
    ///
    /// `up` are the hosts whose daemons are believed to be up, including `own_host`.
    pub fn update<'a>(
        &mut self,
        now: MicroTime,
        own_host: &HostName,
        up: &[&HostName],
        quotas: impl Iterator<Item = (&'a AccountName, AccountQuota)>,
        terms: QuotaTerms,
    ) -> Vec<HolderChange> {
        self.quorum.update(now, up.len());
        let mut before = std::mem::take(&mut self.windows);
        let mut changes = Vec::new();
        let quotas = quotas.filter(|_| self.quorum.holds());
        for (account, quota) in quotas {
            let holders = choose_holders(account, up.iter().copied(), quota.holders(terms));
            if !holders.contains(&own_host) {
                continue;
            }
            let window = before.remove(account);
            let mut window = window.unwrap_or_else(|| {
                changes.push(HolderChange::Acquired(account.clone()));
                QuotaWindow::open(now, quota, terms)
            });
            if window.update(quota, terms) {
                changes.push(HolderChange::Updated(account.clone()));
            }
            self.windows.insert(account.clone(), window);
        }
        changes.extend(before.into_keys().map(HolderChange::Released));
        changes
    }

    /// Grants up to the wanted number of requests of an account; returns `None` if its quota is
    /// not held here.
    pub fn grant(&mut self, now: MicroTime, request: &QuotaRequest) -> Option<QuotaGrant> {
        Some(self.windows.get_mut(&request.account)?.grant(now, request))
    }

    /// Makes returned requests available again, once.
    pub fn take_back(&mut self, now: MicroTime, returned: &QuotaReturn) {
        if let Some(window) = self.windows.get_mut(&returned.account) {
            window.take_back(now, (returned.incarnation, returned.number), returned.count);
        }
    }

    /// Returns a change of whether the less urgent requests of an account are limited, once.
    pub fn take_caps_change(&mut self, account: &AccountName) -> Option<CapsChange> {
        self.windows.get_mut(account)?.take_caps_change()
    }
}
