//! Incarnations of a target, to ignore messages about earlier ones.
//!
//! Heartbeats may arrive seconds late, even after the target ended or restarted under the same
//! name. Within an incarnation the sequence number increases with every heartbeat. Of two
//! incarnations the later one has the later start time, and its sequence numbers start anew.

use serde::Serialize;

/// Relation of a heartbeat to the known incarnation of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// It is late or belongs to an earlier incarnation, and must be ignored.
    Stale,
    /// It belongs to the known incarnation.
    Current,
    /// It belongs to a new incarnation: the target restarted and has lost all calls and state.
    Restarted,
}

/// The newest known incarnation of one target.
///
/// Invariants: `started_at_ms` never decreases; messages that are late or of an earlier incarnation
/// change nothing; an ended incarnation never becomes current again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct TargetIncarnation {
    /// Start time in milliseconds by the target's clock; `None` if the target reports none.
    #[serde(rename = "born")]
    started_at_ms: Option<u64>,
    /// Greatest sequence number of its heartbeats; zero before the first.
    sequence: u64,
    ended: bool,
}

impl TargetIncarnation {
    /// Creates the incarnation that a first heartbeat, or an answer, reported.
    #[must_use]
    pub const fn open(started_at_ms: Option<u64>, sequence: u64) -> Self {
        Self { started_at_ms, sequence, ended: false }
    }

    /// Classifies and records a heartbeat. One without a sequence number is never late within
    /// its incarnation.
    pub fn note_heartbeat(
        &mut self,
        started_at_ms: Option<u64>,
        sequence: Option<u64>,
    ) -> HeartbeatVerdict {
        match (self.started_at_ms, started_at_ms) {
            (Some(known), Some(reported)) if reported > known => {
                *self = Self::open(started_at_ms, sequence.unwrap_or_default());
                return HeartbeatVerdict::Restarted;
            }
            (Some(known), Some(reported)) if reported < known => return HeartbeatVerdict::Stale,
            // A target that reports its start time always does: this is another sender.
            (Some(_known), None) => return HeartbeatVerdict::Stale,
            _ => {}
        }
        if self.ended || sequence.is_some_and(|sequence| sequence <= self.sequence) {
            return HeartbeatVerdict::Stale;
        }
        self.started_at_ms = started_at_ms;
        self.sequence = sequence.unwrap_or_default();
        HeartbeatVerdict::Current
    }

    /// Records the end of an incarnation; returns `false` if it was an earlier one.
    pub fn end(&mut self, started_at_ms: Option<u64>) -> bool {
        if let (Some(known), Some(reported)) = (self.started_at_ms, started_at_ms)
            && reported < known
        {
            return false;
        }
        self.started_at_ms = self.started_at_ms.max(started_at_ms);
        self.ended = true;
        true
    }

    /// Returns whether this incarnation started before another one; `false` if the start time of
    /// either is unknown.
    #[must_use]
    pub const fn is_older_than(&self, other: &Self) -> bool {
        match (self.started_at_ms, other.started_at_ms) {
            (Some(own), Some(other)) => own < other,
            _ => false,
        }
    }

    /// Returns whether the incarnation has ended.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        self.ended
    }
}
