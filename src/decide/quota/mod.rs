//! Request quotas of client accounts, enforced over all daemons together.
//!
//! A few daemons hold the quota of an account, each a fixed part of it (`holder`,
//! `window`), and grant requests to entries in advance (`credit`). This keeps an account
//! that is far above its quota, at one entry or at all of them, within it while hosts
//! crash, are partitioned and restart. Less urgent requests of an account get what its more
//! urgent ones leave of the quota (`levels`, `demand`), and grants whose requests did not reach
//! a target are returned (`returns`). The part of a failed holder is not given to
//! another one before the fleet considers that holder dead, so that neither a partition
//! nor a restart grants a part twice.

mod credit;
mod demand;
mod holder;
mod levels;
mod returns;
mod window;

use serde::{Deserialize, Serialize};

use crate::base::clock::MicroTime;
use crate::base::ids::{AccountName, HostName};

pub use credit::{GRANT_LIFETIME, GrantRef, QuotaCredit, QuotaDecision};
pub use holder::{HolderChange, QuotaHolder};
pub use returns::{GrantKey, ReturnedCounts};
pub use window::{CapsChange, QuotaGrant, QuotaWindow};

/// Number of buckets into which a window is divided.
const BUCKETS: u64 = 50;

/// Maximum number of daemons that hold the quota of one account: the loss of one leaves
/// three quarters of the quota until it is replaced.
pub const MAX_HOLDERS: usize = 4;

/// Fraction of the tolerance that holders grant beyond the quota. The rest covers changes of
/// holders while views of the fleet differ.
const GRANTED_TOLERANCE: f64 = 0.8;

/// Number of requests that an account may make, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountQuota {
    /// Requests per thousand seconds.
    pub per_1000_s: u64,
    /// Requests that may arrive at once in addition to the rate.
    pub burst: u32,
}

/// Precision with which a deployment requires quotas to be enforced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Window over which requests are counted.
    pub window: MicroTime,
    /// Fraction by which the requests permitted in a window may be exceeded.
    pub over: f64,
    /// Requests per window that are tolerated in addition to that.
    pub slack: f64,
}

impl Default for QuotaTerms {
    /// Returns terms without any tolerance, over windows of one second.
    fn default() -> Self {
        Self { window: MicroTime::from_millis(1_000), over: 0.0, slack: 0.0 }
    }
}

impl AccountQuota {
    /// Returns the number of requests that all holders together grant in one window.
    fn per_window(self, terms: QuotaTerms) -> f64 {
        let per_s = self.per_1000_s as f64 / 1_000.0;
        let permitted = per_s * terms.window.duration().as_secs_f64() + f64::from(self.burst);
        permitted * (1.0 + GRANTED_TOLERANCE * terms.over) + GRANTED_TOLERANCE * terms.slack
    }

    /// Returns the number of daemons that hold the quota: at most so many that each holds at
    /// least one request per window.
    #[must_use]
    pub fn holders(self, terms: QuotaTerms) -> usize {
        (self.per_window(terms) as usize).clamp(1, MAX_HOLDERS)
    }
}

/// Returns the `count` hosts that hold the quota of an account, in order of preference.
///
/// The choice uses rendezvous hashing: all daemons that know the same hosts make the same
/// choice, and a host that joins or leaves changes it for few accounts.
#[must_use]
pub fn choose_holders<'a>(
    account: &AccountName,
    hosts: impl Iterator<Item = &'a HostName>,
    count: usize,
) -> Vec<&'a HostName> {
    let account = fnv_hash(account.as_str());
    let mut chosen: Vec<(u64, &HostName)> = Vec::with_capacity(count + 1);
    for host in hosts {
        let rank = mix(account ^ fnv_hash(host.as_str()));
        let position = chosen.partition_point(|(other, _)| *other <= rank);
        if position < count {
            chosen.insert(position, (rank, host));
            chosen.truncate(count);
        }
    }
    chosen.into_iter().map(|(_, host)| host).collect()
}

/// Returns the FNV-1a hash of a text, which is the same in every process.
fn fnv_hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Mixes all bits of a number into all others (the finaliser of `splitmix64`).
const fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
