//! Readiness of a daemon to accept new calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Flag for whether a daemon accepts new calls, shared by its duties.
#[derive(Clone, Debug, Default)]
pub(crate) struct DaemonReadiness(Arc<AtomicBool>);

impl DaemonReadiness {
    /// Sets whether the daemon accepts new calls.
    pub(crate) fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }

    /// Returns whether the daemon accepts new calls.
    pub(crate) fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
