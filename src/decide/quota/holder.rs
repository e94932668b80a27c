//! The parts of quotas that one daemon holds.

use std::collections::HashMap;

use serde::Serialize;

use super::{AccountQuota, QuotaGrant, QuotaTerms, QuotaWindow, choose_holders};
use crate::base::clock::MicroTime;
use crate::base::ids::{AccountName, HostName};

/// Half-life of the size at which a daemon remembers the fleet.
const SIZE_HALF_LIFE_S: f64 = 60.0;

/// Whether a daemon is with most of the fleet, as far as it can tell.
///
/// A holder that is cut off from the rest must not grant what another one grants in its
/// place.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct FleetQuorum {
    size: f64,
    up: usize,
    updated: MicroTime,
}

impl FleetQuorum {
    /// Notes how many daemons are believed to be up.
    fn update(&mut self, now: MicroTime, up: usize) {
        let passed = now.since(self.updated).duration().as_secs_f64();
        self.updated = self.updated.max(now);
        self.size = (self.size * (-passed / SIZE_HALF_LIFE_S).exp2()).max(up as f64);
        self.up = up;
    }

    /// Tells whether at least half of the fleet is up.
    fn holds(&self) -> bool {
        self.up > 0 && self.up as f64 * 2.0 >= self.size
    }
}

/// The parts of quotas that a daemon holds.
///
/// Invariant: it holds none while it is cut off from most of the fleet, and what it takes
/// over counts as used up, since another one may just have granted it.
#[derive(Debug, Default, Serialize)]
pub struct QuotaHolder {
    quorum: FleetQuorum,
    windows: HashMap<AccountName, QuotaWindow>,
}

/// What changed of the quotas that a daemon holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderChange {
    /// It holds a part of an account's quota from now on.
    Acquired(AccountName),
    /// The quota is another one.
    Updated(AccountName),
    /// It holds no part of it any more.
    Released(AccountName),
}

impl QuotaHolder {
    /// Finds out which quotas are held here, as the fleet and the configuration are now.
    ///
    /// `up` are the hosts that are believed to be up, `own` among them.
    pub fn update<'a>(
        &mut self,
        now: MicroTime,
        own: &HostName,
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
            if !holders.contains(&own) {
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

    /// Grants up to `want` requests of an account; nothing if its quota is not held here.
    ///
    /// `settled` tells whether the entry that asks has run for a window or more.
    pub fn grant(
        &mut self,
        now: MicroTime,
        account: &AccountName,
        want: u16,
        settled: bool,
    ) -> Option<QuotaGrant> {
        Some(self.windows.get_mut(account)?.grant(now, want, settled))
    }
}
