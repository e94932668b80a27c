//! How a process divides its memory and its descriptors among the connections that it accepts.

use crate::base::memory_plan::MemoryPlan;

/// Descriptors that a process needs for files and the like.
const FILE_DESCRIPTORS: u64 = 200;

/// Bounds of the descriptors of a process in its settings.
pub const MIN_DESCRIPTORS: u64 = 256;
/// See [`MIN_DESCRIPTORS`].
pub const MAX_DESCRIPTORS: u64 = 1 << 20;

/// Memory of a connection for its task and its state, in bytes.
const TASK_BYTES: u64 = 4 << 10;

/// Memory in which the HTTP library receives the start of a request, in bytes.
const FIRST_BUFFER_BYTES: u64 = 8 << 10;

/// Size of the receive buffer of an accepted connection as it is requested from the system, in
/// bytes.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 8 << 10;

/// Size of the receive buffer of a connection on which a long body arrives, in bytes.
pub(crate) const LONG_RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// Returns the most that the system keeps unread in a receive buffer, in bytes: it doubles the
/// requested size and uses up to three quarters of that.
pub(crate) const fn max_unread(requested: usize) -> u64 {
    (requested as u64) * 2 / 4 * 3 + (1 << 10)
}

/// What a connection may hold, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionCost {
    /// While it waits for a request and nothing of it has arrived.
    pub(crate) idle: u64,
    /// From the first byte of a request until its answer is sent.
    pub(crate) active: u64,
}

impl ConnectionCost {
    /// Returns the cost of a connection that buffers up to `buffer_limit` bytes in each direction.
    pub(crate) const fn of_buffers(buffer_limit: usize) -> Self {
        let fixed = TASK_BYTES + max_unread(RECEIVE_BUFFER_BYTES);
        Self { idle: fixed + FIRST_BUFFER_BYTES, active: fixed + 2 * buffer_limit as u64 }
    }
}

/// A listener whose connections have a share of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// For callers.
    Callers,
    /// For readiness checks of the platform.
    Readiness,
    /// For reports of the host's target.
    Control,
    /// For operators, and for announcements of targets.
    Admin,
    /// For calls from the entries of other daemons.
    Guard,
    /// For exchanges between daemons.
    Peers,
}

impl ListenerKind {
    /// Returns the listener as a metric label.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Readiness => "readiness",
            Self::Control => "control",
            Self::Admin => "admin",
            Self::Guard => "guard",
            Self::Peers => "peers",
        }
    }
}

/// Maximum number of connections of a listener that only few peers use.
const SMALL_LISTENER_CONNECTIONS: usize = 24;

/// Shares of a process's memory and descriptors that its listeners have.
///
/// Callers have three eighths of the descriptors for sockets, and so have the entries of other
/// daemons. The rest is for connections to other daemons, to targets and to the store, and for the
/// other listeners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionPlan {
    /// Memory of the process.
    pub memory: MemoryPlan,
    /// Descriptors of the process.
    pub descriptors: u64,
}

impl ConnectionPlan {
    /// Returns the maximum number of connections of a listener.
    pub(crate) const fn connections(self, kind: ListenerKind) -> usize {
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        match kind {
            ListenerKind::Callers | ListenerKind::Guard => (sockets / 8 * 3) as usize,
            ListenerKind::Peers => (sockets / 16) as usize,
            _ => SMALL_LISTENER_CONNECTIONS,
        }
    }

    /// Returns the limit of what the connections of a listener hold, in bytes; `cost` is that of
    /// one of them.
    pub(crate) const fn bytes(self, kind: ListenerKind, cost: ConnectionCost) -> u64 {
        match kind {
            ListenerKind::Callers => self.memory.connections(),
            _ => self.connections(kind) as u64 * cost.active,
        }
    }
}
