//! Readiness of a daemon to take new calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Flag for whether a daemon takes new calls, shared by its duties.
#[derive(Clone, Debug, Default)]
pub(crate) struct DaemonReadiness(Arc<AtomicBool>);

impl DaemonReadiness {
    /// Sets whether the daemon takes new calls.
    pub(crate) fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }

    /// Returns whether the daemon takes new calls.
    pub(crate) fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
