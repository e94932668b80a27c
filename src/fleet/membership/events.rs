//! Input events and output actions of the membership state machine.

use std::net::SocketAddr;

use crate::base::evacuation::EvacuationState;
use crate::base::ids::HostName;
use crate::base::member::{AdvertisedTarget, GossipMessage, MemberRecord};
use crate::base::suspect::SuspectUpdate;

/// An input of the membership state machine.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// Time has passed; expected at least five times per gossip period.
    Tick,
    /// A datagram was received.
    Message {
        /// Source address of the datagram.
        from: SocketAddr,
        /// The decoded message.
        message: GossipMessage,
    },
    /// The targets of this host or its revision changed.
    OwnRecordChanged {
        /// All targets of this host.
        targets: Vec<AdvertisedTarget>,
        /// The revision in force.
        revision: u64,
    },
    /// Whether this daemon has lost contact with the platform's store.
    StoreLost(bool),
    /// The evacuated data centres, as read from the store.
    Evacuation(EvacuationState),
    /// Crash records of requests changed.
    SuspectRequests {
        /// The changed records.
        updates: Vec<SuspectUpdate>,
        /// Whether this daemon is the source of the updates, so that no other one knows
        /// them yet.
        first_hand: bool,
    },
    /// Records were read from the table or received in a full exchange.
    RecordsReceived(Vec<MemberRecord>),
    /// A call could not reach a member.
    MemberUnreachable(HostName),
    /// The daemon is about to stop.
    Leave,
}

/// An output of the membership state machine, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// The message to encode.
        message: GossipMessage,
    },
    /// Publish the members again: a record changed.
    ViewChanged,
    /// Publish the evacuated data centres: they changed.
    EvacuationChanged,
    /// Publish changed crash records of requests.
    SuspectRequestsChanged(Vec<SuspectUpdate>),
    /// Log a member's new state or incarnation.
    MemberChanged {
        /// The member's new record.
        record: MemberRecord,
    },
    /// Fetch the revision of a peer, which is newer than the own.
    FetchRevision {
        /// Address of the peer's RPC server.
        peer: SocketAddr,
    },
    /// Start a full exchange with a peer.
    Sync {
        /// Address of the peer's RPC server.
        peer: SocketAddr,
    },
}
