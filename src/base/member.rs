//! What daemons tell each other of themselves and of one another.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::base::evacuation::EvacuationState;
use crate::base::ids::{CentreName, DaemonIncarnation, HostName, ServiceName, TargetName};
use crate::base::suspect::SuspectUpdate;

/// Buckets that full exchanges compare.
pub const SYNC_BUCKETS: usize = 64;

/// What others believe of a daemon, least certain of death first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer lately.
    Suspect,
    /// It did not answer for long.
    Dead,
    /// It said good-bye.
    Left,
}

/// One target as its daemon tells of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvertisedTarget {
    /// The service it offers.
    pub service: ServiceName,
    /// Its name.
    pub name: TargetName,
    /// Calls it runs at once.
    pub slots: u16,
    /// Whether it takes new work.
    pub ready: bool,
}

/// One daemon as the fleet knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its host; the record's key.
    pub host: HostName,
    /// The host's data centre.
    pub data_centre: CentreName,
    /// The life of the process.
    pub incarnation: DaemonIncarnation,
    /// Grows with every change that the daemon itself makes.
    ///
    /// Between two records of one host the greater version holds; at the same
    /// version, the later state.
    pub version: u64,
    /// What is believed of it.
    pub state: MemberState,
    /// Where its guard listens.
    pub guard: SocketAddr,
    /// Where it gossips and hands out what it knows.
    pub peer: SocketAddr,
    /// Where it takes calls.
    pub caller: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Its targets.
    pub targets: Vec<AdvertisedTarget>,
    /// Revision in force there when the record was made.
    pub revision: u64,
    /// Whether it could not reach the platform's store when it last tried.
    #[serde(default)]
    pub store_lost: bool,
}

impl MemberRecord {
    /// Tells whether this record replaces `other` of the same host.
    pub(crate) fn supersedes(&self, other: &Self) -> bool {
        (self.version, self.state) > (other.version, other.state)
    }

    /// Tells whether the daemon may serve.
    #[must_use]
    pub fn is_up(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Tells whether it did not answer lately, and may be alive all the same.
    pub(crate) fn is_suspect(&self) -> bool {
        self.state == MemberState::Suspect
    }

    /// Tells whether its host is in a data centre.
    pub(crate) fn is_in(&self, centre: &CentreName) -> bool {
        self.data_centre == *centre
    }

    /// Returns the bucket that full exchanges count it in.
    pub(crate) fn bucket(&self) -> usize {
        let hash = blake3::hash(self.host.as_str().as_bytes());
        usize::from(hash.as_bytes()[0]) % SYNC_BUCKETS
    }

    /// Hashes what two daemons must agree on.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.host.as_str().as_bytes());
        hasher.update(&self.version.to_le_bytes());
        hasher.update(&[self.state as u8]);
        let bytes = hasher.finalize();
        u64::from_le_bytes(bytes.as_bytes()[..8].try_into().unwrap_or_default())
    }
}
/// What a gossip message asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipKind {
    /// Are you there?
    Ping,
    /// Ask this one for me.
    PingFor {
        /// The suspected member.
        host: HostName,
        /// Where it gossips.
        peer: SocketAddr,
    },
    /// I am here.
    Ack,
    /// The one you asked for is there.
    AckFor {
        /// The member that answered.
        host: HostName,
    },
    /// Only told, not asked: no answer is wanted.
    Notice,
}

/// One gossip datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender.
    pub from: HostName,
    /// What it asks or answers.
    pub kind: GossipKind,
    /// The asker's number, for the answer.
    pub number: u64,
    /// The revision in force at the sender.
    pub revision: u64,
    /// Hash over all the sender knows, to notice differences.
    pub digest: u64,
    /// The evacuations that the sender knows of: a few bytes, and none is so urgent that
    /// it could wait for a question.
    pub evacuation: EvacuationState,
    /// Hash over the requests that reach no target at the sender, to notice differences.
    pub blamed: u64,
    /// What changed of suspected requests.
    pub suspects: Vec<SuspectUpdate>,
    /// Records that changed.
    pub updates: Vec<MemberRecord>,
}

/// The members at one moment.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetView {
    /// All members known, the own daemon included.
    pub members: Vec<MemberRecord>,
}

impl FleetView {
    /// Returns the members that may serve.
    pub fn serving(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.iter().filter(|member| member.is_up())
    }
}
