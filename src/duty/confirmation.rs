//! Revocation state that the duties of a daemon share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

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
}

impl SharedConfirmation {
    pub(crate) fn open(bound: Option<MicroTime>) -> Self {
        let shared = Self { clock: ProcessClock::open(), state: Arc::default() };
        shared.lock().set_bound(bound);
        shared
    }

    /// Returns the current time by the shared clock.
    pub(crate) fn now(&self) -> MicroTime {
        self.clock.now()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, RevocationState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the store held no newer configuration than `revision` at `at`.
    pub(crate) fn confirm(&self, revision: u64, at: MicroTime) {
        self.lock().confirm(StoreConfirmation { revision, at });
    }

    /// Returns whether requests with a token are served now.
    pub(crate) fn serves_tokens(&self) -> bool {
        // The lock comes first: waiting for it must not make the time too early.
        let state = self.lock();
        state.serves_tokens(self.clock.now())
    }
}
