//! Bound on the time for which requests with a revoked token are accepted and sent to targets, also
//! by a daemon that is cut off.
//!
//! A daemon knows the newest time at which the store provably held no newer configuration than
//! the one in force here. Once that time lies too far back, a token may have been revoked
//! without the daemon's knowledge, so requests with a token are refused.

mod asker;
mod read_chain;

use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::decide::read_schedule::ReadSchedule;

pub use asker::{AskTiming, ConfirmationAsker, ConfirmationRound};
pub use read_chain::{ReadChain, StoreRead};

/// Fraction of the bound that is kept as a margin, as a divisor, and the maximum margin.
///
/// It covers the difference between the speeds of two hosts' clocks, which is far smaller. It does
/// not cover the time for which a call waits at its guard after the attempt was sent. Five seconds
/// leave half a second.
const MARGIN_DIVISOR: u64 = 10;
const MAX_MARGIN: MicroTime = MicroTime::from_millis(500);

/// Maximum number of confirmations that wait for their revision to come into force.
const MAX_PENDING: usize = 8;

/// Proof that the store held no newer configuration than a revision at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct StoreConfirmation {
    /// Newest revision that the store may have held.
    pub revision: u64,
    /// Time by this daemon's clock: the start of the request whose reply proved it, or earlier.
    pub at: MicroTime,
}

impl StoreConfirmation {
    /// Creates the confirmation that a peer's reply proves, if the peer stated that its own
    /// confirmation was `age` old when it replied.
    ///
    /// The age counts from the start of the request, so that delays only make it older. Returns
    /// `None` if that is before the start of this daemon's clock, which can't express it.
    #[must_use]
    pub fn from_peer(requested_at: MicroTime, revision: u64, age: MicroTime) -> Option<Self> {
        let at = requested_at.0.checked_sub(age.0)?;
        Some(Self { revision, at: MicroTime(at) })
    }
}

/// Decides whether requests with a token are served.
///
/// Invariant: if a revision was acknowledged more than the bound ago and is not in force here,
/// no attempt of a request with a token is sent. It holds whatever messages are lost, delayed or
/// reordered, because a confirmation counts from the start of the request that led to it, and only
/// once its revision is in force. It says nothing about attempts that were sent before: a call whose
/// token was valid then may still wait in the queue of a guard, and start, until its deadline.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RevocationState {
    /// Time after the acknowledgement of a revision from which no attempt with a token that it
    /// revoked may be sent; `None` if the deployment does not require it.
    bound: Option<MicroTime>,
    /// Time after the acknowledgement of a revision in which it has to be in force; `None` if the
    /// deployment states none.
    deadline: Option<MicroTime>,
    /// Revision in force at the entry.
    in_force: Option<u64>,
    /// Newest confirmation, whether or not its revision is in force.
    newest: Option<StoreConfirmation>,
    /// Confirmations of revisions that are not in force yet. None of them is implied by another.
    pending: Vec<StoreConfirmation>,
    /// Newest time at which the store provably held no newer revision than the one in force.
    confirmed_at: Option<MicroTime>,
}

impl RevocationState {
    /// Sets the bound; `None` serves all tokens that the configuration in force has.
    pub const fn set_bound(&mut self, bound: Option<MicroTime>) {
        self.bound = bound;
    }

    /// Sets the time after its acknowledgement in which a revision has to be in force.
    pub const fn set_deadline(&mut self, deadline: Option<MicroTime>) {
        self.deadline = deadline;
    }

    /// Returns when to read the store and to ask others, or `None` without a deadline.
    #[must_use]
    pub fn schedule(&self) -> Option<ReadSchedule> {
        self.deadline.map(ReadSchedule::open)
    }

    /// Returns whether a revision that was acknowledged the deadline ago, or earlier, is provably
    /// in force here.
    #[must_use]
    pub fn is_current(&self, now: MicroTime) -> bool {
        let Some(deadline) = self.deadline else { return true };
        self.age(now).is_some_and(|age| age <= deadline)
    }

    /// Returns whether revocations have a bound.
    #[must_use]
    pub const fn is_strict(&self) -> bool {
        self.bound.is_some()
    }

    /// Records that a revision is in force at the entry.
    pub fn set_in_force(&mut self, revision: u64) {
        let in_force = self.in_force.map_or(revision, |known| known.max(revision));
        self.in_force = Some(in_force);
        for confirmation in self.pending.extract_if(.., |pending| pending.revision <= in_force) {
            self.confirmed_at = self.confirmed_at.max(Some(confirmation.at));
        }
    }

    /// Adds a confirmation.
    pub fn confirm(&mut self, confirmation: StoreConfirmation) {
        let StoreConfirmation { revision, at } = confirmation;
        if self.newest.is_none_or(|newest| newest.at < at) {
            self.newest = Some(confirmation);
        }
        // Revision zero stands for a store without a configuration.
        if self.in_force.unwrap_or_default() >= revision {
            self.confirmed_at = self.confirmed_at.max(Some(at));
            return;
        }
        if self.pending.iter().any(|other| other.revision <= revision && other.at >= at) {
            return;
        }
        self.pending.retain(|other| other.revision < revision || other.at > at);
        self.pending.push(confirmation);
        if self.pending.len() > MAX_PENDING {
            // The oldest one expires first.
            let oldest = (0..self.pending.len()).min_by_key(|index| self.pending[*index].at);
            oldest.map(|index| self.pending.swap_remove(index));
        }
    }

    /// Returns whether requests with a token that the configuration in force has are served.
    #[must_use]
    pub fn serves_tokens(&self, now: MicroTime) -> bool {
        let Some(limit) = self.max_age() else { return true };
        self.age(now).is_some_and(|age| age <= limit)
    }

    /// Returns the age up to which a confirmation allows requests with a token: the bound less
    /// its margin. Returns `None` if there is no bound.
    #[must_use]
    pub fn max_age(&self) -> Option<MicroTime> {
        let bound = self.bound?;
        Some(bound - MicroTime(bound.0 / MARGIN_DIVISOR).min(MAX_MARGIN))
    }

    /// Returns the age of the confirmation of the revision in force, or `None` without one.
    #[must_use]
    pub fn age(&self, now: MicroTime) -> Option<MicroTime> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns the revision and the age of the newest confirmation, to pass on to another daemon.
    #[must_use]
    pub fn evidence(&self, now: MicroTime) -> Option<(u64, MicroTime)> {
        self.newest.map(|newest| (newest.revision, now.since(newest.at)))
    }
}
