//! Revocation state that the duties of a daemon share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use slog::{KV, Record, Serializer};

use crate::base::clock::{MicroTime, ProcessClock};
use crate::decide::revocation::{RevocationState, StoreConfirmation};

/// Revocation state of this daemon, with the clock that all its times are from.
///
/// The platform duty and the entry add confirmations, the entry decides by them, and the guard
/// passes them on to other daemons. It is shared instead of sent as an event, because the clocks
/// of two duties differ.
#[derive(Clone, Debug)]
pub(crate) struct SharedConfirmation {
    clock: ProcessClock,
    state: Arc<Mutex<RevocationState>>,
    /// When the revision in force came into force at the entry, in microseconds.
    in_force_at: Arc<AtomicU64>,
}

impl SharedConfirmation {
    pub(crate) fn open(bound: Option<MicroTime>, deadline: Option<MicroTime>) -> Self {
        let shared = Self {
            clock: ProcessClock::open(),
            state: Arc::default(),
            in_force_at: Arc::default(),
        };
        shared.set_terms(bound, deadline);
        shared
    }

    /// Sets the bound on revocations and the deadline of configurations.
    pub(crate) fn set_terms(&self, bound: Option<MicroTime>, deadline: Option<MicroTime>) {
        let mut state = self.lock();
        state.set_bound(bound);
        state.set_deadline(deadline);
    }

    /// Returns the current time by the shared clock.
    pub(crate) fn now(&self) -> MicroTime {
        self.clock.now()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, RevocationState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a revision is in force at the entry.
    pub(crate) fn set_in_force(&self, revision: u64) {
        self.in_force_at.store(self.now().0, Ordering::Relaxed);
        self.lock().set_in_force(revision);
    }

    /// Returns how old the knowledge of the configuration is, for the log.
    pub(crate) fn age(&self) -> KnowledgeAge {
        let state = self.lock();
        let now = self.clock.now();
        let in_force_at = MicroTime(self.in_force_at.load(Ordering::Relaxed));
        KnowledgeAge { in_force: now.since(in_force_at), confirmed: state.age(now) }
    }

    /// Records that the store held no newer configuration than `revision` at `at`.
    pub(crate) fn confirm(&self, revision: u64, at: MicroTime) {
        self.lock().confirm(StoreConfirmation { revision, at });
    }

    /// Returns whether each revision that has to be in force now is in force here.
    pub(crate) fn is_current(&self) -> bool {
        let state = self.lock();
        state.is_current(self.clock.now())
    }

    /// Returns whether requests with a token are served now.
    pub(crate) fn serves_tokens(&self) -> bool {
        // The lock comes first: waiting for it must not make the time too early.
        let state = self.lock();
        state.serves_tokens(self.clock.now())
    }
}

/// Age of what a daemon knows of the configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnowledgeAge {
    /// Time since the revision in force came into force at the entry.
    in_force: MicroTime,
    /// Time since the store provably held no newer revision than that.
    confirmed: Option<MicroTime>,
}

impl KV for KnowledgeAge {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_u64("in_force_us", self.in_force.0)?;
        match self.confirmed {
            Some(age) => serializer.emit_u64("confirmed_us", age.0),
            None => serializer.emit_none("confirmed_us"),
        }
    }
}
