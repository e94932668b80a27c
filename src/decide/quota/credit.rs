//! Requests that were granted to an entry from an account's quota in advance.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::base::wire::CallPriority;

/// Time for which an entry may use a grant.
///
/// The requests admitted within a window were therefore granted in that window or at most
/// this long before it.
pub const GRANT_LIFETIME: MicroTime = MicroTime::from_millis(100);

/// Time whose expected requests are included in one request for a grant.
const PREFETCH_TIME: MicroTime = MicroTime::from_millis(50);

/// Maximum number of requests in one request for a grant.
const MAX_REQUESTED: u16 = 64;

/// Time for which an entry requests no grant after no holder had anything left to grant.
const EXHAUSTED_DURATION: MicroTime = MicroTime::from_millis(20);

/// Number of steps over which an entry spreads the callers that it refuses without asking a
/// holder: each gets a retry time later than the one before by this fraction of the holder's.
const REPEAT_STEPS: u64 = 32;

/// Minimum length of such a step: callers are told whole milliseconds.
const MIN_STEP: MicroTime = MicroTime::from_millis(1);

/// Half-life of an entry's estimate of an account's request rate, in seconds.
const RATE_HALF_LIFE_S: f64 = 0.5;

/// Grant that a request used: the address of its holder and the number of the entry's request
/// for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct GrantRef {
    /// Address of the holder's guard.
    pub holder: SocketAddr,
    /// Sequence number of the entry's request for the grant.
    pub number: u64,
}

/// Decision of an entry about a request of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// Admit the request, which uses this grant.
    Admit(GrantRef),
    /// Request a grant.
    AskHolder {
        /// Number of requests, the current one included.
        want: u16,
        /// Demand that no holder knows of yet: the requests that were admitted since the last
        /// request for a grant, and the current one.
        new_demand: u16,
    },
    /// Refuse the request; the caller may retry after this number of milliseconds.
    Refuse(u32),
}

/// A grant at the entry.
#[derive(Clone, Copy, Debug, Serialize)]
struct HeldGrant {
    expires: MicroTime,
    left: u16,
    grant: GrantRef,
}

/// Granted requests of one priority, oldest first, and what is known of its requests.
#[derive(Clone, Debug, Default, Serialize)]
struct PriorityCredit {
    grants: VecDeque<HeldGrant>,
    /// Time until which no grant is requested, since no holder had anything left to grant.
    #[serde(rename = "dry_until")]
    exhausted_until: MicroTime,
    /// Retry time that the holder stated, in milliseconds.
    #[serde(rename = "dry_wait_ms")]
    exhausted_wait_ms: u32,
    /// Number of callers refused since then without asking a holder.
    #[serde(skip)]
    repeated_refusals: u64,
    /// Moving average of the requests per second.
    rate: f64,
    /// Time of the latest request.
    #[serde(rename = "arrived")]
    last_arrival: MicroTime,
    /// Demand that no holder knows of yet: the requests that were admitted since the last request
    /// for a grant.
    unreported: u16,
}

/// Requests that were granted to an entry from an account's quota and are not used yet.
///
/// Invariant: a request uses a grant of its own priority or of a less urgent one.
#[derive(Clone, Debug, Default, Serialize)]
pub struct QuotaCredit {
    /// Granted requests by urgency (`urgent`, `worth`), the least urgent first.
    #[serde(serialize_with = "serialize_credits")]
    credits: BTreeMap<CallPriority, PriorityCredit>,
    /// Requests of grants that expired unused, until they are returned.
    #[serde(skip)]
    expired: Vec<(GrantRef, u16)>,
    /// Use of the account's quota by the latest reply of a holder, in thousandths.
    usage_permille: u16,
}

impl PriorityCredit {
    /// Drops used grants, and moves expired ones to `expired`.
    fn drop_expired(&mut self, now: MicroTime, expired: &mut Vec<(GrantRef, u16)>) {
        self.grants.retain(|held| {
            let is_expired = held.expires <= now;
            if is_expired && held.left > 0 {
                expired.push((held.grant, held.left));
            }
            !is_expired && held.left > 0
        });
    }

    /// Uses one granted request, if there is one; none may have expired.
    fn try_use(&mut self) -> Option<GrantRef> {
        let held = self.grants.iter_mut().find(|held| held.left > 0)?;
        held.left -= 1;
        Some(held.grant)
    }

    /// Returns the retry time of a caller that is refused without asking a holder: what is left
    /// of the stated one, and one step more than the caller before, so that not all retry at
    /// once.
    fn next_repeated_wait_ms(&mut self, now: MicroTime) -> u32 {
        let elapsed = (now + EXHAUSTED_DURATION).since(self.exhausted_until);
        let wait = MicroTime::from_millis(self.exhausted_wait_ms.into());
        self.repeated_refusals = self.repeated_refusals % REPEAT_STEPS + 1;
        let step = MicroTime((wait.0 / REPEAT_STEPS).max(MIN_STEP.0));
        let delay = MicroTime(step.0 * self.repeated_refusals);
        u32::try_from((wait + delay).since(elapsed).ceil_millis()).unwrap_or(u32::MAX)
    }
}

impl QuotaCredit {
    /// Decides about a request that arrived.
    pub fn decide(&mut self, now: MicroTime, priority: CallPriority) -> QuotaDecision {
        // Grants of all priorities: those of less frequent requests would be returned late.
        for credit in self.credits.values_mut() {
            credit.drop_expired(now, &mut self.expired);
        }
        let credit = self.credits.entry(priority).or_default();
        let elapsed = now.since(credit.last_arrival).duration().as_secs_f64();
        credit.last_arrival = credit.last_arrival.max(now);
        let weight = std::f64::consts::LN_2 / RATE_HALF_LIFE_S;
        credit.rate = credit.rate * (-elapsed / RATE_HALF_LIFE_S).exp2() + weight;
        let expected = credit.rate * PREFETCH_TIME.duration().as_secs_f64();
        let used = self.try_use(priority);
        let credit = self.credits.entry(priority).or_default();
        if let Some(grant) = used {
            credit.unreported = credit.unreported.saturating_add(1);
            return QuotaDecision::Admit(grant);
        }
        if now < credit.exhausted_until {
            return QuotaDecision::Refuse(credit.next_repeated_wait_ms(now));
        }
        let new_demand = std::mem::take(&mut credit.unreported).saturating_add(1);
        QuotaDecision::AskHolder { want: (1 + expected as u16).min(MAX_REQUESTED), new_demand }
    }

    /// Adds the requests that a holder granted; the entry sent its request at `requested_at`.
    pub fn add_grant(
        &mut self,
        requested_at: MicroTime,
        priority: CallPriority,
        granted: u16,
        grant: GrantRef,
    ) {
        if granted > 0 {
            let held = HeldGrant { expires: requested_at + GRANT_LIFETIME, left: granted, grant };
            self.credits.entry(priority).or_default().grants.push_back(held);
        }
    }

    /// Uses a granted request of the priority itself, or of the least urgent one that has any.
    fn try_use(&mut self, priority: CallPriority) -> Option<GrantRef> {
        let own = self.credits.get_mut(&priority);
        if let Some(grant) = own.and_then(PriorityCredit::try_use) {
            return Some(grant);
        }
        let mut others = self.credits.range_mut(..priority);
        others.find_map(|(_, credit)| credit.try_use())
    }

    /// Returns the requests of grants that expired unused, once.
    pub fn take_expired(&mut self) -> Vec<(GrantRef, u16)> {
        std::mem::take(&mut self.expired)
    }

    /// Records that no holder has anything left to grant for a priority; callers may retry after
    /// `wait_ms`.
    pub fn mark_exhausted(&mut self, now: MicroTime, priority: CallPriority, wait_ms: u32) {
        let credit = self.credits.entry(priority).or_default();
        credit.exhausted_until = now + EXHAUSTED_DURATION;
        credit.exhausted_wait_ms = wait_ms;
        credit.repeated_refusals = 0;
    }

    /// Records the use of the account's quota that a holder stated, in thousandths.
    pub fn set_usage(&mut self, usage_permille: u16) {
        self.usage_permille = usage_permille;
    }

    /// Returns the latest use of the account's quota that a holder stated, in thousandths.
    #[must_use]
    pub const fn usage_permille(&self) -> u16 {
        self.usage_permille
    }
}

/// Writes the credits as a list, since keys of JSON objects are strings.
fn serialize_credits<S: serde::Serializer>(
    credits: &BTreeMap<CallPriority, PriorityCredit>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(credits)
}
