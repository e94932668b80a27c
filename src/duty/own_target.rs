//! State of the host's own target that the guard shares with the entry of its daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use crate::base::wire::CallPriority;

/// Bit of the encoded priority that says that it is urgent; the lower bits hold the worth.
const URGENT_BIT: u32 = 1 << 8;

/// What the target on this host runs now.
///
/// The guard writes it, the entry reads it. The two values are read independently of each other,
/// so the priority may belong to a call that has just ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnTarget {
    running: Arc<AtomicU32>,
    priority: Arc<AtomicU32>,
}

impl OwnTarget {
    /// Records the number of running calls and the highest priority among them.
    pub(crate) fn set(&self, running: usize, highest: CallPriority) {
        let urgent = if highest.urgent { URGENT_BIT } else { 0 };
        self.priority.store(urgent | u32::from(highest.worth), Ordering::Relaxed);
        self.running.store(running as u32, Ordering::Relaxed);
    }

    /// Returns whether the target runs a call.
    pub(crate) fn is_busy(&self) -> bool {
        self.running.load(Ordering::Relaxed) > 0
    }

    /// Returns the highest priority among the running calls, or `None` if there are none.
    pub(crate) fn highest_priority(&self) -> Option<CallPriority> {
        let encoded = self.priority.load(Ordering::Relaxed);
        let priority =
            CallPriority { urgent: encoded & URGENT_BIT != 0, worth: (encoded & 0xff) as u8 };
        self.is_busy().then_some(priority)
    }
}
