//! What an entry was granted of an account's quota.

use std::collections::VecDeque;

use serde::Serialize;

use crate::base::clock::MicroTime;

/// Time for which an entry may use what it was granted.
///
/// A window then sees at most what was granted in it and this much before it.
pub const GRANT_LIFETIME: MicroTime = MicroTime::from_millis(100);

/// Time for whose expected requests an entry asks at once.
const ASK_AHEAD: MicroTime = MicroTime::from_millis(50);

/// Requests that an entry asks for at once, at most.
const MAX_ASK: u16 = 64;

/// Time for which an entry that found all holders without room asks none of them.
const DRY_LASTS: MicroTime = MicroTime::from_millis(20);

/// Half-life of an entry's estimate of an account's requests a second.
const RATE_HALF_LIFE_S: f64 = 0.5;

/// What an entry has to do about a request of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// Let it through.
    Admit,
    /// Ask a holder for so many requests, this one included.
    AskHolder(u16),
    /// Refuse it; there is room after so many milliseconds.
    Refuse(u32),
}

/// What an entry was granted of an account's quota and has not used.
#[derive(Clone, Debug, Default, Serialize)]
pub struct QuotaCredit {
    /// When each grant lapses, and what is left of it; the oldest first.
    grants: VecDeque<(MicroTime, u16)>,
    /// Until when no holder is asked, since none had room, and what callers are told
    /// meanwhile, in milliseconds.
    dry_until: MicroTime,
    dry_wait_ms: u32,
    /// Requests a second, smoothed.
    rate: f64,
    arrived: MicroTime,
}

impl QuotaCredit {
    /// Takes a request that arrived.
    pub fn arrive(&mut self, now: MicroTime) -> QuotaDecision {
        let passed = now.since(self.arrived).duration().as_secs_f64();
        self.arrived = self.arrived.max(now);
        let weight = std::f64::consts::LN_2 / RATE_HALF_LIFE_S;
        self.rate = self.rate * (-passed / RATE_HALF_LIFE_S).exp2() + weight;
        if self.use_one(now) {
            return QuotaDecision::Admit;
        }
        if now < self.dry_until {
            return QuotaDecision::Refuse(self.dry_wait_ms);
        }
        let ahead = self.rate * ASK_AHEAD.duration().as_secs_f64();
        QuotaDecision::AskHolder((1 + ahead as u16).min(MAX_ASK))
    }

    /// Notes what was granted to a question that was sent at `asked`.
    pub fn add_grant(&mut self, asked: MicroTime, granted: u16) {
        if granted > 0 {
            self.grants.push_back((asked + GRANT_LIFETIME, granted));
        }
    }

    /// Uses one granted request, if there is one.
    pub fn use_one(&mut self, now: MicroTime) -> bool {
        while let Some((lapses, left)) = self.grants.front_mut() {
            if *lapses > now && *left > 0 {
                *left -= 1;
                return true;
            }
            self.grants.pop_front();
        }
        false
    }

    /// Notes that no holder has room.
    pub fn mark_exhausted(&mut self, now: MicroTime, wait_ms: u32) {
        self.dry_until = now + DRY_LASTS;
        self.dry_wait_ms = wait_ms;
    }
}
