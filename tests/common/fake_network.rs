//! Membership state machines of several daemons, connected by a simulated network in virtual time.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use proptest::prelude::*;
use railspan::{
    DaemonIncarnation, FleetView, MAX_DATAGRAM, MemberRecord, MemberState, MembershipAction,
    MembershipEvent, MembershipState, MicroTime, encode,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Port of the daemon with index zero.
const FIRST_PORT: u16 = 10_000;

/// Time between two ticks of each daemon.
const TICK_MS: u64 = 100;

/// Data centres of a small fleet.
const CENTRES: usize = 3;

/// Size of the headers of a datagram, in bytes.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Time and size of a revision fetched from a peer.
const FETCH_MS: u64 = 20;
const FETCH_BYTES: u64 = 5_000;

/// Size of a full exchange in both directions, apart from the records, in bytes.
const EXCHANGE_OVERHEAD_BYTES: u64 = 2_000;

/// Daemons on a simulated network that loses, delays and repeats datagrams.
pub struct FakeNetwork {
    /// State machine of each running daemon, by address.
    pub nodes: BTreeMap<SocketAddr, MembershipState>,
    /// Datagrams and fetched revisions in transit as `(from, to, event)`, by arrival time and
    /// sequence number.
    in_transit: BTreeMap<(u64, u64), (SocketAddr, SocketAddr, MembershipEvent)>,
    /// Last version and state of each host in the view of each daemon.
    last_seen: HashMap<SocketAddr, HashMap<String, (u64, MemberState)>>,
    /// Sequence number of the last entry in `in_transit`.
    last_sequence: u64,
    pub now_ms: u64,
    pub rng: Pcg64Mcg,
    /// Probability that a datagram is lost.
    loss: f64,
    /// Whether some datagrams are repeated, or delayed, some of them by more than a gossip period.
    delays_and_repeats: bool,
    /// Number of daemons, by index, that are partitioned from the rest; `None` without a partition.
    pub partition: Option<usize>,
    /// Size of the largest datagram so far, in bytes.
    max_datagram: usize,
    /// Bytes of all datagrams, full exchanges and fetched revisions.
    pub bytes: u64,
    /// The part of `bytes` that crossed between data centres.
    pub remote_bytes: u64,
    /// Revision that each daemon fetches or fetched last.
    fetched: HashMap<SocketAddr, u64>,
    /// Number of data centres; the daemon with index `i` is in number `i % centres`.
    centres: usize,
    /// Whether the invariants are checked at every tick, which is slow in a large fleet.
    checks_invariants: bool,
}

/// Returns the address of a daemon.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index as u16))
}

/// Returns the member record of a daemon that has just started.
pub fn record(index: usize, incarnation: u64) -> MemberRecord {
    MemberRecord {
        host: format!("host-{index}").as_str().into(),
        data_centre: format!("centre-{}", index % 3).as_str().into(),
        incarnation: DaemonIncarnation(incarnation),
        version: 1,
        state: MemberState::Alive,
        guard: address(index),
        peer: address(index),
        caller: address(index),
        admin: address(index),
        targets: Vec::new(),
        revision: 0,
        store_lost: false,
    }
}

impl FakeNetwork {
    /// Starts `count` daemons on a network that loses datagrams with probability `loss`.
    pub fn open(count: usize, seed: u64, loss: f64) -> Self {
        let mut network = Self {
            nodes: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            last_seen: HashMap::new(),
            last_sequence: 0,
            now_ms: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss,
            delays_and_repeats: true,
            partition: None,
            max_datagram: 0,
            bytes: 0,
            remote_bytes: 0,
            fetched: HashMap::new(),
            centres: CENTRES,
            checks_invariants: true,
        };
        for index in 0..count {
            network.start(index, index as u64);
        }
        network
    }

    /// Creates a network for a large fleet in `centres` data centres, without daemons at first; it
    /// loses datagrams, but neither delays nor repeats them, and the invariants are not checked.
    pub fn open_large(centres: usize, seed: u64, loss: f64) -> Self {
        let mut network = Self::open(0, seed, loss);
        network.centres = centres;
        network.delays_and_repeats = false;
        network.checks_invariants = false;
        network
    }

    /// Starts a daemon that knows all running ones, as if it had read their rows from the table.
    pub fn start(&mut self, index: usize, incarnation: u64) {
        let records: Vec<MemberRecord> =
            self.nodes.values().map(|node| node.own_record().clone()).collect();
        self.nodes.insert(address(index), MembershipState::open(record(index, incarnation)));
        self.last_seen.remove(&address(index));
        self.step(address(index), MembershipEvent::RecordsReceived(records));
    }

    /// Passes an event to a daemon and carries out the resulting actions.
    pub fn step(&mut self, at: SocketAddr, event: MembershipEvent) {
        let now = MicroTime::from_millis(self.now_ms);
        let mut actions = Vec::new();
        let Some(node) = self.nodes.get_mut(&at) else { return };
        node.step(now, event, &mut self.rng, &mut actions);
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    let bytes = encode(&message).expect("encodes");
                    self.max_datagram = self.max_datagram.max(bytes.len());
                    self.count_bytes(at, to, bytes.len() as u64 + DATAGRAM_HEADER_BYTES);
                    self.send(at, to, &MembershipEvent::Message { from: at, message });
                }
                MembershipAction::Sync { peer } if !self.is_separated(at, peer) => {
                    self.sync(at, peer);
                }
                MembershipAction::FetchRevision { peer } => self.fetch_revision(at, peer),
                _ => {}
            }
        }
    }

    /// Counts the bytes of a transfer.
    fn count_bytes(&mut self, from: SocketAddr, to: SocketAddr, bytes: u64) {
        let centre = |at: SocketAddr| usize::from(at.port() - FIRST_PORT) % self.centres;
        self.bytes += bytes;
        if centre(from) != centre(to) {
            self.remote_bytes += bytes;
        }
    }

    /// Fetches a peer's revision, unless the daemon fetches or fetched that revision already.
    fn fetch_revision(&mut self, at: SocketAddr, peer: SocketAddr) {
        let (Some(node), Some(peer_node)) = (self.nodes.get(&at), self.nodes.get(&peer)) else {
            return;
        };
        let (targets, revision) =
            (node.own_record().targets.clone(), peer_node.own_record().revision);
        if self.is_separated(at, peer) || self.fetched.get(&at) == Some(&revision) {
            return;
        }
        self.fetched.insert(at, revision);
        self.count_bytes(peer, at, FETCH_BYTES);
        self.last_sequence += 1;
        let event = MembershipEvent::OwnRecordChanged { targets, revision };
        self.in_transit.insert((self.now_ms + FETCH_MS, self.last_sequence), (peer, at, event));
    }

    /// Loses, delays or repeats a datagram.
    fn send(&mut self, from: SocketAddr, to: SocketAddr, event: &MembershipEvent) {
        let copies = if self.delays_and_repeats && self.rng.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            self.last_sequence += 1;
            let max_delay_ms =
                if self.delays_and_repeats && self.rng.random_bool(0.05) { 700 } else { 5 };
            let arrives = self.now_ms + self.rng.random_range(1..=max_delay_ms);
            self.in_transit.insert((arrives, self.last_sequence), (from, to, event.clone()));
        }
    }

    /// Makes a full exchange between two daemons.
    pub fn sync(&mut self, at: SocketAddr, peer: SocketAddr) {
        let (Some(node), Some(peer_node)) = (self.nodes.get(&at), self.nodes.get(&peer)) else {
            return;
        };
        let for_node = peer_node.differing_records(&node.bucket_digests());
        let for_peer = node.differing_records(&peer_node.bucket_digests());
        let records = for_node.iter().chain(&for_peer);
        let bytes: usize = records.map(|record| encode(record).expect("encodes").len()).sum();
        self.count_bytes(at, peer, bytes as u64 + EXCHANGE_OVERHEAD_BYTES);
        self.step(at, MembershipEvent::RecordsReceived(for_node));
        self.step(peer, MembershipEvent::RecordsReceived(for_peer));
    }

    /// Stops losing, delaying and repeating datagrams.
    pub fn make_reliable(&mut self) {
        self.loss = 0.0;
        self.delays_and_repeats = false;
    }

    /// Returns whether the partition separates two daemons.
    fn is_separated(&self, left: SocketAddr, right: SocketAddr) -> bool {
        let side = |at: SocketAddr| {
            self.partition.is_some_and(|size| usize::from(at.port() - FIRST_PORT) < size)
        };
        side(left) != side(right)
    }

    /// Advances the time, delivers datagrams and ticks all daemons.
    pub fn run(&mut self, duration_ms: u64) -> Result<(), TestCaseError> {
        let until = self.now_ms + duration_ms;
        while self.now_ms < until {
            let tick = self.now_ms + TICK_MS;
            while let Some((&(at, _), _)) = self.in_transit.first_key_value() {
                if at > tick {
                    break;
                }
                let Some((_, (from, to, event))) = self.in_transit.pop_first() else { break };
                self.now_ms = self.now_ms.max(at);
                if !self.is_separated(from, to) {
                    self.step(to, event);
                }
            }
            self.now_ms = tick;
            let all: Vec<SocketAddr> = self.nodes.keys().copied().collect();
            for at in all {
                self.step(at, MembershipEvent::Tick);
            }
            if self.checks_invariants {
                self.check_invariants()?;
            }
        }
        Ok(())
    }

    /// Checks the invariants: no daemon considers itself dead, no `(version, state)` in a view
    /// decreases, and no datagram is too large.
    fn check_invariants(&mut self) -> Result<(), TestCaseError> {
        for (at, node) in &self.nodes {
            prop_assert!(node.own_record().state != MemberState::Dead);
            let last_seen = self.last_seen.entry(*at).or_default();
            for member in node.view().members {
                let current = (member.version, member.state);
                let previous = last_seen.insert(member.host.to_string(), current);
                prop_assert!(
                    previous.is_none_or(|previous| previous <= current),
                    "record of {} went back",
                    member.host
                );
            }
        }
        prop_assert!(self.max_datagram <= MAX_DATAGRAM, "datagram of {} bytes", self.max_datagram);
        Ok(())
    }

    /// Returns whether every running daemon sees all running daemons as alive, and no others.
    pub fn all_believe_all_alive(&self) -> bool {
        let count = self.nodes.len();
        let sees_all_alive = |view: FleetView| {
            let is_alive = |member: &&MemberRecord| member.state == MemberState::Alive;
            view.members.iter().filter(is_alive).count() == count
        };
        self.nodes.values().all(|node| sees_all_alive(node.view()))
    }
}
