//! How many requests a client account may make, over all daemons together.
//!
//! Pure. Answers load of one account that is far above its quota, at one entry or at all
//! of them, while hosts die, are cut off and start anew. A few daemons hold the quota of
//! an account, each a fixed part of it (`holder`, `window`), and grant it to the entries
//! that ask (`credit`). What a holder that died had is not given to another before the
//! fleet takes it for dead, so that no cut and no restart gives out a part twice.

mod credit;
mod holder;
mod window;

use serde::{Deserialize, Serialize};

use crate::base::clock::MicroTime;
use crate::base::ids::{AccountName, HostName};

pub use credit::{GRANT_LIFETIME, QuotaCredit, QuotaDecision};
pub use holder::{HolderChange, QuotaHolder};
pub use window::{QuotaGrant, QuotaWindow};

/// Daemons that hold the quota of one account, at most: the loss of one leaves three
/// quarters of the quota until it is replaced.
pub const MAX_HOLDERS: usize = 4;

/// Part of the tolerance that holders give out beyond the quota. The rest is for holders
/// that change while views of the fleet differ.
const TOLERANCE_PART: f64 = 0.8;

/// Requests that an account may make, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountQuota {
    /// Requests in a thousand seconds.
    pub per_1000_s: u64,
    /// Requests that may come at once beyond the rate.
    pub burst: u32,
}

/// How exactly a deployment wants quotas kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Span over which requests are counted.
    pub window: MicroTime,
    /// Part of what is allowed in a window that may be exceeded.
    pub over: f64,
    /// Requests of a window beyond that.
    pub slack: f64,
}

impl Default for QuotaTerms {
    /// Returns terms that keep a quota to the request, in each second.
    fn default() -> Self {
        Self { window: MicroTime::from_millis(1_000), over: 0.0, slack: 0.0 }
    }
}

impl AccountQuota {
    /// Returns the requests that all holders grant together in one window.
    fn in_window(self, terms: QuotaTerms) -> f64 {
        let per_s = self.per_1000_s as f64 / 1_000.0;
        let allowed = per_s * terms.window.duration().as_secs_f64() + f64::from(self.burst);
        allowed * (1.0 + TOLERANCE_PART * terms.over) + TOLERANCE_PART * terms.slack
    }

    /// Returns how many daemons hold the quota: each must have room for a request.
    #[must_use]
    pub fn holders(self, terms: QuotaTerms) -> usize {
        (self.in_window(terms) as usize).clamp(1, MAX_HOLDERS)
    }
}

/// Returns the hosts that hold the quota of an account, the first first.
///
/// All daemons that know the same hosts choose the same, and a host that joins or leaves
/// changes the choice for few accounts.
#[must_use]
pub fn choose_holders<'a>(
    account: &AccountName,
    hosts: impl Iterator<Item = &'a HostName>,
    count: usize,
) -> Vec<&'a HostName> {
    let account = fnv_hash(account.as_str());
    let mut first: Vec<(u64, &HostName)> = Vec::with_capacity(count + 1);
    for host in hosts {
        let rank = mix(account ^ fnv_hash(host.as_str()));
        let place = first.partition_point(|(other, _)| *other <= rank);
        if place < count {
            first.insert(place, (rank, host));
            first.truncate(count);
        }
    }
    first.into_iter().map(|(_, host)| host).collect()
}

/// Hashes a name; the result is the same in every process.
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
