//! Whether a target on this host takes new work.
//!
//! Pure. A target announces itself and repeats that as a heartbeat. It stops
//! taking new work when it says so, when an operator drains it, or when its
//! heartbeats stop.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::clock::MicroTime;

/// What a target says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetCondition {
    /// Started, but not ready for calls.
    Warming,
    /// Ready for calls.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
}

/// The lease of one target.
///
/// Invariants: after a heartbeat at `t`, and without another, `is_ready` is
/// false from `t + lasts` on, and from a lapse on; an ended lease is never ready again.
#[derive(Clone, Debug, Serialize)]
pub struct TargetLease {
    condition: TargetCondition,
    heard: MicroTime,
    lasts: MicroTime,
    /// Set when nobody listened at its address; a heartbeat takes that back.
    lapsed: bool,
    /// Set when the target said that it ends; a later heartbeat is a late one.
    ended: bool,
    /// Set by an operator; only an operator takes it back.
    drained: bool,
}

impl TargetLease {
    /// Opens the lease of a target heard of now.
    #[must_use]
    pub fn open(now: MicroTime, condition: TargetCondition, lasts: Duration) -> Self {
        let lasts = lasts.into();
        Self { condition, heard: now, lasts, lapsed: false, ended: false, drained: false }
    }

    /// Notes a heartbeat.
    pub fn renew(&mut self, now: MicroTime, condition: TargetCondition) {
        self.heard = self.heard.max(now);
        self.lapsed = false;
        self.condition = condition;
    }

    /// Changes how long a heartbeat stays valid.
    pub fn set_duration(&mut self, lasts: Duration) {
        self.lasts = lasts.into();
    }

    /// Notes that nobody listens at the target's address now.
    ///
    /// Its heartbeats would count for seconds, in which its guard takes calls, looks idle
    /// and refuses each: with three of four targets gone that were most of a service's
    /// calls, 41 of 61 in a second.
    pub const fn mark_unreachable(&mut self) {
        self.lapsed = true;
    }

    /// Notes that the target ends.
    pub const fn end(&mut self) {
        self.ended = true;
    }

    /// Notes an operator's order.
    pub const fn drain(&mut self, drained: bool) {
        self.drained = drained;
    }

    /// Tells whether the target said that it ends, or was told to finish.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.ended || self.drained || self.condition == TargetCondition::Draining
    }

    /// Tells whether the target takes new work.
    #[must_use]
    pub fn is_ready(&self, now: MicroTime) -> bool {
        let fresh = now.since(self.heard) < self.lasts && !self.lapsed;
        fresh && !self.ended && !self.drained && self.condition == TargetCondition::Ready
    }
}
