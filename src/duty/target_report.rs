//! Reports that a target, or the platform on its behalf, sends to the daemon on its host.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::ids::{ServiceName, TargetName};
use crate::decide::lease::TargetCondition;

/// A target's registration; repeated as its heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetAnnouncement {
    /// Service that the target offers.
    pub service: ServiceName,
    /// Name of the target, unique within the service.
    pub target: TargetName,
    /// Address at which the target listens on this host.
    pub address: SocketAddr,
    /// Maximum number of calls that the target runs at once.
    pub slots: u16,
    /// Whether the target accepts new calls.
    pub condition: TargetCondition,
}

/// Report about a target's state.
#[derive(Clone, Debug)]
pub enum TargetReport {
    /// The target runs; the announcement states whether it accepts new calls.
    Alive {
        /// Address, service and condition of the target.
        announcement: TargetAnnouncement,
        /// Start time of this incarnation in milliseconds by the target's clock, if known.
        started_at_ms: Option<u64>,
        /// Sequence number; grows with every report of one incarnation.
        sequence: u64,
        /// How much longer the target stays cold after its start.
        cold_remaining: Duration,
    },
    /// The target is about to end and accepts no new calls.
    Leaving {
        /// Name of the target.
        name: TargetName,
        /// Start time of the incarnation that ends, in milliseconds by the target's clock,
        /// if known.
        started_at_ms: Option<u64>,
    },
}
