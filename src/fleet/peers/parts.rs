//! Inputs of the peers duty.

use std::net::SocketAddr;

use crate::base::connection_plan::ConnectionPlan;
use crate::base::member::MemberRecord;

/// Inputs of [`run`].
#[derive(Debug)]
pub(crate) struct PeersParts {
    /// Member record of this daemon.
    pub(crate) own: MemberRecord,
    pub(crate) rng_seed: u64,
    pub(crate) seed_addresses: Vec<SocketAddr>,
    pub(crate) connection_plan: ConnectionPlan,
    pub(crate) socket: std::net::UdpSocket,
    pub(crate) listener: std::net::TcpListener,
}
