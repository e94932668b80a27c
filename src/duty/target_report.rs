//! What a target, or the platform for it, tells the daemon on its host.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::ids::{ServiceName, TargetName};
use crate::decide::lease::TargetCondition;

/// A target's announcement, and its heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetAnnouncement {
    /// The service it offers.
    pub service: ServiceName,
    /// Its name, unique within the service.
    pub target: TargetName,
    /// Where it listens, on this host.
    pub address: SocketAddr,
    /// Calls it runs at once.
    pub slots: u16,
    /// Whether it takes new work.
    pub condition: TargetCondition,
}

/// What a target tells of itself.
#[derive(Clone, Debug)]
pub enum TargetReport {
    /// It runs, and takes new work or not.
    Alive {
        /// Where it is and what it offers.
        announcement: TargetAnnouncement,
        /// When it was born, in milliseconds by its own clock, where it tells.
        started_at_ms: Option<u64>,
        /// Grows with every report of one life.
        sequence: u64,
        /// How much longer it stays cold after its start.
        cold_remaining: Duration,
    },
    /// It is about to end and takes no new work.
    Leaving {
        /// Its name.
        name: TargetName,
        /// Which life of it, where it tells: when that was born, in milliseconds.
        started_at_ms: Option<u64>,
    },
}
