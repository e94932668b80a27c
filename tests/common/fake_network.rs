//! Kernels of membership over a network of the test's making, in virtual time.

#![allow(dead_code, reason = "each test takes what it needs")]

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use proptest::prelude::*;
use railspan::{
    DaemonIncarnation, FleetView, MAX_DATAGRAM, MemberRecord, MemberState, MembershipAction,
    MembershipEvent, MembershipState, MicroTime, encode,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const FIRST_PORT: u16 = 10_000;

const TICK_MS: u64 = 100;

/// Data centres of a small fleet.
const CENTRES: usize = 3;

/// Bytes of a datagram that are not its message.
const DATAGRAM_HEAD: u64 = 28;

/// What it takes to fetch a revision: time, in milliseconds, and bytes.
const FETCH_MS: u64 = 20;
const FETCH_BYTES: u64 = 5_000;

/// Bytes of a connection for one exchange that are not records, both ways.
const EXCHANGE_HEAD: u64 = 2_000;

/// Daemons' kernels over a network of the test's making.
pub struct FakeNetwork {
    pub nodes: BTreeMap<SocketAddr, MembershipState>,
    /// Datagrams by the time they arrive.
    flying: BTreeMap<(u64, u64), (SocketAddr, SocketAddr, MembershipEvent)>,
    seen: HashMap<SocketAddr, HashMap<String, (u64, MemberState)>>,
    sent: u64,
    pub now_ms: u64,
    pub rng: Pcg64Mcg,
    loss: f64,
    /// Whether some datagrams are repeated or come after a period.
    unruly: bool,
    /// Nodes of the one side; the rest is the other.
    pub cut: Option<usize>,
    largest: usize,
    /// Bytes of datagrams and exchanges, and of those between data centres.
    pub bytes: u64,
    pub crossing: u64,
    /// The revision that each daemon fetches, or fetched last.
    fetching: HashMap<SocketAddr, u64>,
    centres: usize,
    /// Whether what must hold is checked at every tick; slow in a large fleet.
    checked: bool,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index as u16))
}

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
    pub fn open(count: usize, seed: u64, loss: f64) -> Self {
        let mut network = Self {
            nodes: BTreeMap::new(),
            flying: BTreeMap::new(),
            seen: HashMap::new(),
            sent: 0,
            now_ms: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss,
            unruly: true,
            cut: None,
            largest: 0,
            bytes: 0,
            crossing: 0,
            fetching: HashMap::new(),
            centres: CENTRES,
            checked: true,
        };
        for index in 0..count {
            network.start(index, index as u64);
        }
        network
    }

    /// Opens a fleet of many daemons in some data centres, of which none is
    /// started yet; nothing is delayed or repeated beyond the loss.
    pub fn open_large(centres: usize, seed: u64, loss: f64) -> Self {
        let mut network = Self::open(0, seed, loss);
        network.centres = centres;
        network.unruly = false;
        network.checked = false;
        network
    }

    /// Starts a node that knows those before it, as the table would tell.
    pub fn start(&mut self, index: usize, incarnation: u64) {
        let known: Vec<MemberRecord> =
            self.nodes.values().map(|node| node.own_record().clone()).collect();
        self.nodes.insert(address(index), MembershipState::open(record(index, incarnation)));
        self.seen.remove(&address(index));
        self.step(address(index), MembershipEvent::RecordsReceived(known));
    }

    pub fn step(&mut self, at: SocketAddr, event: MembershipEvent) {
        let now = MicroTime::from_millis(self.now_ms);
        let mut actions = Vec::new();
        let Some(node) = self.nodes.get_mut(&at) else { return };
        node.step(now, event, &mut self.rng, &mut actions);
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    let bytes = encode(&message).expect("encodes");
                    self.largest = self.largest.max(bytes.len());
                    self.count(at, to, bytes.len() as u64 + DATAGRAM_HEAD);
                    self.send(at, to, &MembershipEvent::Message { from: at, message });
                }
                MembershipAction::Sync { peer } if !self.separated(at, peer) => self.sync(at, peer),
                MembershipAction::FetchRevision { peer } => self.fetch(at, peer),
                _ => {}
            }
        }
    }

    fn count(&mut self, from: SocketAddr, to: SocketAddr, bytes: u64) {
        let centre = |at: SocketAddr| usize::from(at.port() - FIRST_PORT) % self.centres;
        self.bytes += bytes;
        if centre(from) != centre(to) {
            self.crossing += bytes;
        }
    }

    /// Fetches a peer's revision, which takes a while; one at a time.
    fn fetch(&mut self, at: SocketAddr, peer: SocketAddr) {
        let (Some(node), Some(other)) = (self.nodes.get(&at), self.nodes.get(&peer)) else {
            return;
        };
        let (targets, revision) = (node.own_record().targets.clone(), other.own_record().revision);
        if self.separated(at, peer) || self.fetching.get(&at) == Some(&revision) {
            return;
        }
        self.fetching.insert(at, revision);
        self.count(peer, at, FETCH_BYTES);
        self.sent += 1;
        let event = MembershipEvent::OwnRecordChanged { targets, revision };
        self.flying.insert((self.now_ms + FETCH_MS, self.sent), (peer, at, event));
    }

    /// Loses, delays or repeats a datagram.
    fn send(&mut self, from: SocketAddr, to: SocketAddr, event: &MembershipEvent) {
        let copies = if self.unruly && self.rng.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            self.sent += 1;
            let late = if self.unruly && self.rng.random_bool(0.05) { 700 } else { 5 };
            let arrives = self.now_ms + self.rng.random_range(1..=late);
            self.flying.insert((arrives, self.sent), (from, to, event.clone()));
        }
    }

    pub fn sync(&mut self, at: SocketAddr, peer: SocketAddr) {
        let (Some(one), Some(other)) = (self.nodes.get(&at), self.nodes.get(&peer)) else { return };
        let to_one = other.differing_records(&one.bucket_digests());
        let to_other = one.differing_records(&other.bucket_digests());
        let records = to_one.iter().chain(&to_other);
        let bytes: usize = records.map(|record| encode(record).expect("encodes").len()).sum();
        self.count(at, peer, bytes as u64 + EXCHANGE_HEAD);
        self.step(at, MembershipEvent::RecordsReceived(to_one));
        self.step(peer, MembershipEvent::RecordsReceived(to_other));
    }

    /// From now on every datagram arrives once and soon.
    pub fn calm(&mut self) {
        self.loss = 0.0;
        self.unruly = false;
    }

    fn separated(&self, one: SocketAddr, other: SocketAddr) -> bool {
        let side =
            |at: SocketAddr| self.cut.is_some_and(|cut| usize::from(at.port() - FIRST_PORT) < cut);
        side(one) != side(other)
    }

    pub fn run(&mut self, for_ms: u64) -> Result<(), TestCaseError> {
        let until = self.now_ms + for_ms;
        while self.now_ms < until {
            let tick = self.now_ms + TICK_MS;
            while let Some((&(at, _), _)) = self.flying.first_key_value() {
                if at > tick {
                    break;
                }
                let Some((_, (from, to, event))) = self.flying.pop_first() else { break };
                self.now_ms = self.now_ms.max(at);
                if !self.separated(from, to) {
                    self.step(to, event);
                }
            }
            self.now_ms = tick;
            let all: Vec<SocketAddr> = self.nodes.keys().copied().collect();
            for at in all {
                self.step(at, MembershipEvent::Tick);
            }
            if self.checked {
                self.check()?;
            }
        }
        Ok(())
    }

    /// Checks what must hold at every moment.
    fn check(&mut self) -> Result<(), TestCaseError> {
        for (at, node) in &self.nodes {
            prop_assert!(node.own_record().state != MemberState::Dead);
            let seen = self.seen.entry(*at).or_default();
            for member in node.view().members {
                let newest = (member.version, member.state);
                let before = seen.insert(member.host.to_string(), newest);
                prop_assert!(before.is_none_or(|before| before <= newest), "{} fell", member.host);
            }
        }
        prop_assert!(self.largest <= MAX_DATAGRAM, "datagram of {} bytes", self.largest);
        Ok(())
    }

    pub fn all_alive_everywhere(&self) -> bool {
        let count = self.nodes.len();
        let whole = |view: FleetView| {
            let alive = |member: &&MemberRecord| member.state == MemberState::Alive;
            view.members.iter().filter(alive).count() == count
        };
        self.nodes.values().all(|node| whole(node.view()))
    }
}
