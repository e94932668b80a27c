//! Which of what is heard of a target is of its present life.
//!
//! Pure. Heartbeats may come seconds late, also after the target ended or started
//! again under its name. Within a life a number grows with every heartbeat; of two
//! lives the later one was born later, and its numbers begin anew.

use serde::Serialize;

/// What a heartbeat says of a target's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// It is late, or of an earlier life: nothing follows from it.
    Stale,
    /// It is of the life that is known.
    Current,
    /// The target started again: it holds and knows nothing of before.
    Restarted,
}

/// The newest life of one target, as far as it was heard of.
///
/// Invariants: `born` never falls; what is of an earlier life, or came late, never
/// changes anything; an ended life never becomes present again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct TargetIncarnation {
    /// When it was born, in milliseconds by the target's clock, where it tells.
    born: Option<u64>,
    /// The greatest number of its heartbeats; zero before the first.
    sequence: u64,
    ended: bool,
}

impl TargetIncarnation {
    /// Opens the life that a first heartbeat, or an answer, told of.
    #[must_use]
    pub const fn open(born: Option<u64>, sequence: u64) -> Self {
        Self { born, sequence, ended: false }
    }

    /// Takes a heartbeat; one without a number is always of the present life.
    pub fn note_heartbeat(&mut self, born: Option<u64>, sequence: Option<u64>) -> HeartbeatVerdict {
        match (self.born, born) {
            (Some(known), Some(told)) if told > known => {
                *self = Self::open(born, sequence.unwrap_or_default());
                return HeartbeatVerdict::Restarted;
            }
            (Some(known), Some(told)) if told < known => return HeartbeatVerdict::Stale,
            // Who told its birth once tells it always: this is another writer.
            (Some(_known), None) => return HeartbeatVerdict::Stale,
            _ => {}
        }
        if self.ended || sequence.is_some_and(|sequence| sequence <= self.sequence) {
            return HeartbeatVerdict::Stale;
        }
        self.born = born;
        self.sequence = sequence.unwrap_or_default();
        HeartbeatVerdict::Current
    }

    /// Takes the end of a life; `false` if it was an earlier one.
    pub fn end(&mut self, born: Option<u64>) -> bool {
        if let (Some(known), Some(told)) = (self.born, born)
            && told < known
        {
            return false;
        }
        self.born = self.born.max(born);
        self.ended = true;
        true
    }

    /// Tells whether a life was born before another one, where both tell.
    #[must_use]
    pub const fn is_older_than(&self, other: &Self) -> bool {
        match (self.born, other.born) {
            (Some(own), Some(other)) => own < other,
            _ => false,
        }
    }

    /// Tells whether the life has ended.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        self.ended
    }
}
