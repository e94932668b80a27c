//! Membership records of daemons, and the gossip messages that carry them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::base::evacuation::EvacuationState;
use crate::base::ids::{CentreName, DaemonIncarnation, HostName, ServiceName, TargetName};
use crate::base::suspect::SuspectUpdate;

/// Number of buckets by which full exchanges compare member records.
pub const EXCHANGE_BUCKETS: usize = 64;

/// Membership state of a daemon. At the same record version, a later state in this order
/// replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The daemon answers.
    Alive,
    /// The daemon missed a probe and may have failed.
    Suspect,
    /// The daemon was suspected for too long without an answer.
    Dead,
    /// The daemon announced its leave: it stopped as planned.
    Left,
}

/// One target as its daemon advertises it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvertisedTarget {
    /// Service that the target offers.
    pub service: ServiceName,
    /// Name of the target.
    pub name: TargetName,
    /// Maximum number of calls that the target runs at once.
    pub slots: u16,
    /// Whether the target accepts new calls.
    pub ready: bool,
}

/// Membership record of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Host of the daemon; the key of the record.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: CentreName,
    /// Incarnation of the daemon.
    pub incarnation: DaemonIncarnation,
    /// Version, which the daemon itself increases with every change that it makes.
    ///
    /// Of two records of one host, the one with the greater version is valid; at the same
    /// version, the one with the greater state.
    pub version: u64,
    /// Membership state of the daemon.
    pub state: MemberState,
    /// Address on which its guard accepts calls from entries.
    pub guard: SocketAddr,
    /// Address for gossip and for exchanges with other daemons.
    pub peer: SocketAddr,
    /// Address on which its entry accepts calls from callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Targets of the daemon.
    pub targets: Vec<AdvertisedTarget>,
    /// Configuration revision in force at the daemon when it made the record.
    pub revision: u64,
    /// Whether its last attempt to reach the platform's store failed.
    #[serde(default)]
    pub store_lost: bool,
}

impl MemberRecord {
    /// Returns whether this record replaces `other`, a record of the same host.
    pub(crate) fn supersedes(&self, other: &Self) -> bool {
        (self.version, self.state) > (other.version, other.state)
    }

    /// Returns whether the daemon is up as far as known: alive or only suspected.
    #[must_use]
    pub fn is_up(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns whether the daemon is suspected of having failed.
    pub(crate) fn is_suspect(&self) -> bool {
        self.state == MemberState::Suspect
    }

    /// Returns whether the host is in a data centre.
    pub(crate) fn is_in(&self, centre: &CentreName) -> bool {
        self.data_centre == *centre
    }

    /// Returns the record's bucket in full exchanges.
    pub(crate) fn bucket(&self) -> usize {
        let hash = blake3::hash(self.host.as_str().as_bytes());
        usize::from(hash.as_bytes()[0]) % EXCHANGE_BUCKETS
    }

    /// Returns a hash of the fields by which full exchanges detect differing records.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.host.as_str().as_bytes());
        hasher.update(&self.version.to_le_bytes());
        hasher.update(&[self.state as u8]);
        let bytes = hasher.finalize();
        u64::from_le_bytes(bytes.as_bytes()[..8].try_into().unwrap_or_default())
    }
}

/// Purpose of a gossip message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipKind {
    /// Requests an [`Ack`](Self::Ack) from the receiver.
    Ping,
    /// Requests that the receiver pings another member for the sender.
    PingFor {
        /// Member to ping, which did not answer the sender.
        host: HostName,
        /// Gossip address of that member.
        peer: SocketAddr,
    },
    /// Answers a [`Ping`](Self::Ping).
    Ack,
    /// Reports that the member of a [`PingFor`](Self::PingFor) answered.
    AckFor {
        /// The member that answered.
        host: HostName,
    },
    /// Carries updates only and requires no reply.
    Notice,
}

/// One gossip datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender.
    pub from: HostName,
    /// Purpose of the message.
    pub kind: GossipKind,
    /// Sequence number of a ping, repeated in its answer.
    pub number: u64,
    /// Configuration revision in force at the sender.
    pub revision: u64,
    /// Hash over all member records of the sender, to detect differences.
    pub digest: u64,
    /// Evacuations known to the sender. Every message carries them: they are a few bytes,
    /// and too urgent to be sent only on request.
    pub evacuation: EvacuationState,
    /// Hash over the blamed requests known to the sender, to detect differences.
    #[serde(rename = "blamed")]
    pub blamed_hash: u64,
    /// Crash records that changed.
    pub suspects: Vec<SuspectUpdate>,
    /// Member records that changed.
    pub updates: Vec<MemberRecord>,
}

/// Snapshot of all members.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetView {
    /// All known members, including the daemon that returns the snapshot.
    pub members: Vec<MemberRecord>,
}

impl FleetView {
    /// Returns the members that are up as far as known, and so may be serving.
    pub fn serving(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.iter().filter(|member| member.is_up())
    }
}
