//! Gossip under loss, delay, repeats, kills and partitions.

#[path = "common/seeded.rs"]
mod seeded;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use proptest::prelude::*;
use railspan::{
    DaemonIncarnation, FleetView, MAX_DATAGRAM, MemberRecord, MemberState, MembershipAction,
    MembershipEvent, MembershipState, MicroTime, TargetNotice, encode,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use seeded::seeded;

const TICK_MS: u64 = 100;

/// Daemons' kernels over a network of the test's making.
struct FakeNetwork {
    nodes: BTreeMap<SocketAddr, MembershipState>,
    /// Datagrams by the time they arrive.
    flying: BTreeMap<(u64, u64), (SocketAddr, SocketAddr, MembershipEvent)>,
    seen: HashMap<SocketAddr, HashMap<String, (u64, MemberState)>>,
    sent: u64,
    now_ms: u64,
    rng: Pcg64Mcg,
    loss: f64,
    /// Whether some datagrams are repeated or come after a period.
    unruly: bool,
    /// Nodes of the one side; the rest is the other.
    cut: Option<usize>,
    largest: usize,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16))
}

fn record(index: usize, incarnation: u64) -> MemberRecord {
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
    fn open(count: usize, seed: u64, loss: f64) -> Self {
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
        };
        for index in 0..count {
            network.start(index, index as u64);
        }
        network
    }

    /// Starts a node that knows those before it, as the table would tell.
    fn start(&mut self, index: usize, incarnation: u64) {
        let known: Vec<MemberRecord> = self.nodes.values().map(|node| node.own().clone()).collect();
        self.nodes.insert(address(index), MembershipState::open(record(index, incarnation)));
        self.seen.remove(&address(index));
        self.step(address(index), MembershipEvent::Learn(known));
    }

    fn step(&mut self, at: SocketAddr, event: MembershipEvent) {
        let now = MicroTime::from_millis(self.now_ms);
        let mut actions = Vec::new();
        let Some(node) = self.nodes.get_mut(&at) else { return };
        node.step(now, event, &mut self.rng, &mut actions);
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    let bytes = encode(&message).expect("encodes");
                    self.largest = self.largest.max(bytes.len());
                    self.send(at, to, &MembershipEvent::Message { from: at, message });
                }
                MembershipAction::Sync { peer } if !self.separated(at, peer) => self.sync(at, peer),
                _ => {}
            }
        }
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

    fn sync(&mut self, at: SocketAddr, peer: SocketAddr) {
        let (Some(one), Some(other)) = (self.nodes.get(&at), self.nodes.get(&peer)) else { return };
        let to_one = other.differing(&one.bucket_digests());
        let to_other = one.differing(&other.bucket_digests());
        self.step(at, MembershipEvent::Learn(to_one));
        self.step(peer, MembershipEvent::Learn(to_other));
    }

    /// From now on every datagram arrives once and soon.
    fn calm(&mut self) {
        self.loss = 0.0;
        self.unruly = false;
    }

    fn separated(&self, one: SocketAddr, other: SocketAddr) -> bool {
        let side =
            |at: SocketAddr| self.cut.is_some_and(|cut| usize::from(at.port() - 10_000) < cut);
        side(one) != side(other)
    }

    fn run(&mut self, for_ms: u64) -> Result<(), TestCaseError> {
        let until = self.now_ms + for_ms;
        while self.now_ms < until {
            self.now_ms += TICK_MS;
            while let Some((&(at, _), _)) = self.flying.first_key_value() {
                if at > self.now_ms {
                    break;
                }
                let Some((_, (from, to, event))) = self.flying.pop_first() else { break };
                if !self.separated(from, to) {
                    self.step(to, event);
                }
            }
            let all: Vec<SocketAddr> = self.nodes.keys().copied().collect();
            for at in all {
                self.step(at, MembershipEvent::Tick);
            }
            self.check()?;
        }
        Ok(())
    }

    /// Checks what must hold at every moment.
    fn check(&mut self) -> Result<(), TestCaseError> {
        for (at, node) in &self.nodes {
            prop_assert!(node.own().state != MemberState::Dead);
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

    fn all_alive_everywhere(&self) -> bool {
        let count = self.nodes.len();
        let whole = |view: FleetView| {
            let alive = |member: &&MemberRecord| member.state == MemberState::Alive;
            view.members.iter().filter(alive).count() == count
        };
        self.nodes.values().all(|node| whole(node.view()))
    }
}

proptest! {
    #![proptest_config(seeded(12))]

    #[test]
    fn all_meet_and_stay_together_despite_loss(count in 2_usize..24, seed: u64, loss in 0.0_f64..0.15) {
        let mut network = FakeNetwork::open(count, seed, loss);
        network.run(20_000)?;
        network.calm();
        network.run(30_000)?;
        prop_assert!(network.all_alive_everywhere());
    }

    #[test]
    fn the_killed_are_found_out_and_the_restarted_are_back(count in 4_usize..16, seed: u64, victim in 0_usize..4) {
        let mut network = FakeNetwork::open(count, seed, 0.02);
        network.run(15_000)?;
        network.nodes.remove(&address(victim));
        network.run(30_000)?;
        let host = format!("host-{victim}");
        for node in network.nodes.values() {
            let view = node.view();
            let state = view.members.iter().find(|member| member.host.as_str() == host);
            prop_assert!(state.is_some_and(|member| member.state == MemberState::Dead));
        }
        network.calm();
        network.start(victim, 1_000);
        network.run(30_000)?;
        prop_assert!(network.all_alive_everywhere());
        for node in network.nodes.values() {
            let view = node.view();
            let back = view.members.iter().find(|member| member.host.as_str() == host);
            prop_assert_eq!(back.map(|member| member.incarnation), Some(DaemonIncarnation(1_000)));
        }
    }

    #[test]
    fn a_target_that_leaves_is_known_everywhere(count in 3_usize..24, seed: u64) {
        let mut network = FakeNetwork::open(count, seed, 0.05);
        network.run(10_000)?;
        let notice = |ready| vec![TargetNotice { service: "s".into(), name: "t".into(), slots: 4, ready }];
        network.step(address(0), MembershipEvent::Local { targets: notice(true), revision: 1 });
        network.run(10_000)?;
        network.step(address(0), MembershipEvent::Local { targets: notice(false), revision: 1 });
        network.run(10_000)?;
        for node in network.nodes.values() {
            let view = node.view();
            let known = view.members.iter().flat_map(|member| &member.targets).next();
            prop_assert!(known.is_some_and(|target| !target.ready));
        }
    }
}

proptest! {
    #![proptest_config(seeded(4))]

    #[test]
    fn regions_that_parted_for_an_hour_meet_again(count in 4_usize..8, seed: u64) {
        let mut network = FakeNetwork::open(count, seed, 0.0);
        network.run(10_000)?;
        network.cut = Some(count / 2);
        network.run(3_600_000)?;
        network.cut = None;
        network.calm();
        network.run(60_000)?;
        prop_assert!(network.all_alive_everywhere());
    }
}

/// A refutation that was spread to its limit is made again for who missed it.
#[test]
fn who_missed_a_refutation_gets_it_again() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut state = MembershipState::open(record(0, 1));
    let mut out = Vec::new();
    let mut believed = record(0, 1);
    believed.version = 4;
    believed.state = MemberState::Suspect;
    state.step(MicroTime(0), MembershipEvent::Learn(vec![believed.clone()]), &mut rng, &mut out);
    assert_eq!(state.own().version, 5);
    let ping = |number| MembershipEvent::Message {
        from: address(1),
        message: railspan::GossipMessage {
            from: "host-1".into(),
            kind: railspan::GossipKind::Ping,
            number,
            revision: 0,
            digest: 0,
            updates: Vec::new(),
        },
    };
    for number in 0..50 {
        state.step(MicroTime(0), ping(number), &mut rng, &mut out);
    }
    assert_eq!(state.news(), 0);
    believed.state = MemberState::Dead;
    state.step(MicroTime(0), MembershipEvent::Learn(vec![believed]), &mut rng, &mut out);
    out.clear();
    state.step(MicroTime(0), ping(99), &mut rng, &mut out);
    let MembershipAction::Send { message, .. } = &out[0] else { panic!("{out:?}") };
    assert_eq!(message.updates, [state.own().clone()]);
}
