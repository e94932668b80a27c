//! Requests that were granted to an entry from an account's quota in advance.

use std::collections::VecDeque;

use serde::Serialize;

use crate::base::clock::MicroTime;

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

/// Half-life of an entry's estimate of an account's request rate, in seconds.
const RATE_HALF_LIFE_S: f64 = 0.5;

/// Decision of an entry about a request of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// Admit the request.
    Admit,
    /// Request a grant of this number of requests, the current one included.
    AskHolder(u16),
    /// Refuse the request; the caller may retry after this number of milliseconds.
    Refuse(u32),
}

/// Requests that were granted to an entry from an account's quota and are not used yet.
#[derive(Clone, Debug, Default, Serialize)]
pub struct QuotaCredit {
    /// Expiry time of each grant and the requests left of it, oldest first.
    grants: VecDeque<(MicroTime, u16)>,
    /// Time until which no grant is requested, since no holder had anything left to grant.
    #[serde(rename = "dry_until")]
    exhausted_until: MicroTime,
    /// Retry time returned to callers until then, in milliseconds.
    #[serde(rename = "dry_wait_ms")]
    exhausted_wait_ms: u32,
    /// Moving average of the requests per second.
    rate: f64,
    /// Time of the latest request.
    #[serde(rename = "arrived")]
    last_arrival: MicroTime,
}

impl QuotaCredit {
    /// Decides about a request that arrived.
    pub fn decide(&mut self, now: MicroTime) -> QuotaDecision {
        let elapsed = now.since(self.last_arrival).duration().as_secs_f64();
        self.last_arrival = self.last_arrival.max(now);
        let weight = std::f64::consts::LN_2 / RATE_HALF_LIFE_S;
        self.rate = self.rate * (-elapsed / RATE_HALF_LIFE_S).exp2() + weight;
        if self.try_use(now) {
            return QuotaDecision::Admit;
        }
        if now < self.exhausted_until {
            return QuotaDecision::Refuse(self.exhausted_wait_ms);
        }
        let expected = self.rate * PREFETCH_TIME.duration().as_secs_f64();
        QuotaDecision::AskHolder((1 + expected as u16).min(MAX_REQUESTED))
    }

    /// Adds the requests that a holder granted; the entry sent its request at `requested_at`.
    pub fn add_grant(&mut self, requested_at: MicroTime, granted: u16) {
        if granted > 0 {
            self.grants.push_back((requested_at + GRANT_LIFETIME, granted));
        }
    }

    /// Uses one granted request; returns whether there was one.
    pub fn try_use(&mut self, now: MicroTime) -> bool {
        while let Some((expires, left)) = self.grants.front_mut() {
            if *expires > now && *left > 0 {
                *left -= 1;
                return true;
            }
            self.grants.pop_front();
        }
        false
    }

    /// Records that no holder has anything left to grant; callers may retry after `wait_ms`.
    pub fn mark_exhausted(&mut self, now: MicroTime, wait_ms: u32) {
        self.exhausted_until = now + EXHAUSTED_DURATION;
        self.exhausted_wait_ms = wait_ms;
    }
}
