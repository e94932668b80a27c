//! Limit on the copies of a request that crashes targets: over the whole fleet, at most three reach
//! a target later than three seconds after the third crash, however long the request is repeated.
//!
//! The state machines of 13, 69 and 295 daemons run in virtual time, and a twentieth of all
//! datagrams is lost. Copies arrive at any host, for any target, and each copy that is started
//! crashes its target.

#[path = "common/fake_network.rs"]
mod fake_network;

use std::collections::BTreeMap;

use fake_network::{FakeNetwork, address, record};
use proptest::prelude::{ProptestConfig, prop_assert, proptest};
use railspan::{MembershipEvent, MembershipState, RequestDigest, SuspectRecord, SuspectUpdate};
use rand::RngExt;
use test_case::test_case;

/// Probability that a datagram is lost.
const LOSS: f64 = 0.05;
/// Number of data centres.
const CENTRES: usize = 5;
/// Digest of the request that crashes targets.
const CRASHING: RequestDigest = RequestDigest(0x00c0_ffee);

/// Limit set by the users: at most [`MAX_LATE_COPIES`] copies reach a target later than
/// [`STABILITY_MS`] after this number of crashes.
const CRASHES: usize = 3;
const STABILITY_MS: u64 = 3_000;
const MAX_LATE_COPIES: usize = 3;

/// Time from the start of a copy to the crash of its target, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 20..300;

/// A simulated fleet that receives copies of one request.
struct CrashSimulation {
    network: FakeNetwork,
    size: usize,
    /// Running copies by the time at which they crash their target and a sequence number: the
    /// daemon, and the record known at the start.
    running: BTreeMap<(u64, u64), (usize, SuspectRecord)>,
    /// Times at which copies started, in milliseconds.
    started: Vec<u64>,
    /// Times of the crashes, in milliseconds.
    crashes: Vec<u64>,
    /// The notice of the blamed request in the store.
    stored: Option<SuspectUpdate>,
}

impl CrashSimulation {
    /// Starts a fleet and gives its daemons five seconds to settle.
    fn start(size: usize, seed: u64) -> Self {
        let mut network = FakeNetwork::open_large(CENTRES, seed, LOSS);
        for index in 0..size {
            network.nodes.insert(address(index), MembershipState::open(own_record(index)));
        }
        let mut simulation = Self {
            network,
            size,
            running: BTreeMap::new(),
            started: Vec::new(),
            crashes: Vec::new(),
            stored: None,
        };
        simulation.join_all();
        simulation.advance(5_000);
        simulation
    }

    /// Gives every daemon the records of all others.
    fn join_all(&mut self) {
        let all: Vec<_> = (0..self.size).map(own_record).collect();
        for index in 0..self.size {
            self.network.step(address(index), MembershipEvent::RecordsReceived(all.clone()));
        }
    }

    /// Returns the record of the request at a daemon.
    fn record_at(&self, index: usize) -> SuspectRecord {
        self.network.nodes[&address(index)].suspects().record(CRASHING)
    }

    /// Sends a copy from one host to a target of another; it starts unless either daemon blames the
    /// request.
    fn send_copy(&mut self, from: usize, to: usize) {
        let known = self.record_at(from).max(self.record_at(to));
        if known.is_blamed() {
            return;
        }
        let now_ms = self.network.now_ms;
        self.started.push(now_ms);
        let crash_ms = now_ms + self.network.rng.random_range(RUN_MS);
        self.running.insert((crash_ms, self.started.len() as u64), (to, known));
    }

    /// Lets time pass and targets crash.
    fn advance(&mut self, ms: u64) {
        let until = self.network.now_ms + ms;
        while self.network.now_ms < until {
            self.network.run(100).expect("nothing is checked");
            while let Some((&(at, _), _)) = self.running.first_key_value() {
                if at > self.network.now_ms {
                    break;
                }
                let Some((_, (index, known))) = self.running.pop_first() else { break };
                self.crashes.push(at);
                let notice = SuspectUpdate { digest: CRASHING, record: known.after_crash() };
                if notice.record.is_blamed() {
                    self.stored = Some(notice);
                }
                let notices = vec![notice];
                let event = MembershipEvent::SuspectRequests { updates: notices, first_hand: true };
                self.network.step(address(index), event);
            }
        }
    }

    /// Sends a copy every `interval_ms` for `ms`, between random daemons of `hosts`.
    fn send_for(&mut self, ms: u64, interval_ms: u64, hosts: std::ops::Range<usize>) {
        for _ in 0..ms / interval_ms {
            let (entry, guard) = {
                let rng = &mut self.network.rng;
                (rng.random_range(hosts.clone()), rng.random_range(hosts.clone()))
            };
            self.send_copy(entry, guard);
            self.advance(interval_ms);
        }
    }

    /// Lets all hosts lose power and restart; the daemons then know what the store has.
    fn lose_power(&mut self) {
        self.running.clear();
        for index in 0..self.size {
            let mut own = own_record(index);
            own.incarnation.0 += 1_000 + self.network.now_ms;
            self.network.nodes.insert(address(index), MembershipState::open(own));
        }
        self.join_all();
        if let Some(notice) = self.stored {
            for index in 0..self.size {
                let event =
                    MembershipEvent::SuspectRequests { updates: vec![notice], first_hand: false };
                self.network.step(address(index), event);
            }
        }
    }

    /// Returns the number of copies that arrived later than [`STABILITY_MS`] after the third crash.
    fn late_copies(&self) -> usize {
        let Some(third_crash) = self.crashes.get(CRASHES - 1) else { return 0 };
        self.started.iter().filter(|at| **at > third_crash + STABILITY_MS).count()
    }
}

/// Returns the member record of a daemon.
fn own_record(index: usize) -> railspan::MemberRecord {
    let mut own = record(index, 1);
    own.data_centre = format!("centre-{}", index % CENTRES).as_str().into();
    own
}

#[test_case(13, 100; "13 hosts, ten copies per second")]
#[test_case(69, 100; "69 hosts, ten copies per second")]
#[test_case(295, 100; "295 hosts, ten copies per second")]
#[test_case(13, 1_000; "13 hosts, one copy per second")]
#[test_case(69, 1_000; "69 hosts, one copy per second")]
#[test_case(295, 1_000; "295 hosts, one copy per second")]
#[test_case(295, 2_500; "295 hosts, one copy in 2.5 s")]
fn few_copies_start_after_the_third_crash(size: usize, interval_ms: u64) {
    for seed in 0..3 {
        let mut simulation = CrashSimulation::start(size, seed);
        simulation.send_for(15_000, interval_ms, 0..size);
        let late_copies = simulation.late_copies();
        println!(
            "{size} hosts, seed {seed}: {} crashes, {late_copies} late copies",
            simulation.crashes.len()
        );
        assert!(simulation.crashes.len() >= CRASHES, "{} crashes", simulation.crashes.len());
        assert!(
            late_copies <= MAX_LATE_COPIES,
            "{late_copies} late copies, {} crashes",
            simulation.crashes.len()
        );
    }
}

/// After a power loss the daemons know a blamed request only from the store.
#[test_case(13; "13 hosts")]
#[test_case(295; "295 hosts")]
fn no_copy_of_a_blamed_request_starts_after_a_power_loss(size: usize) {
    let mut simulation = CrashSimulation::start(size, 5);
    simulation.send_for(8_000, 500, 0..size);
    let before = simulation.started.len();
    assert!(simulation.stored.is_some(), "not blamed after {before} copies");
    for _ in 0..3 {
        simulation.lose_power();
        simulation.send_for(4_000, 100, 0..size);
    }
    assert_eq!(simulation.started.len(), before, "copies started after the power loss");
}

/// Daemons that were partitioned don't know of the blamed request, and learn of it from the first
/// messages after the partition: within the time in which they don't count as connected.
#[test_case(13; "13 hosts")]
#[test_case(295; "295 hosts")]
fn daemons_learn_of_a_blamed_request_at_once_after_a_partition(size: usize) {
    let mut simulation = CrashSimulation::start(size, 9);
    simulation.network.partition = Some(size / 3);
    simulation.send_for(6_000, 400, size / 3..size);
    simulation.network.partition = None;
    simulation.advance(STABILITY_MS);
    let unaware = (0..size).filter(|index| !simulation.record_at(*index).is_blamed()).count();
    assert_eq!(unaware, 0, "daemons that don't blame the request");
    let before = simulation.started.len();
    simulation.send_for(3_000, 50, 0..size);
    assert_eq!(simulation.started.len(), before, "copies started after the partition");
}

/// An operator may clear a request, or a target may answer it; all daemons then send it again.
#[test]
fn a_cleared_request_is_cleared_at_all_daemons() {
    let mut simulation = CrashSimulation::start(69, 11);
    simulation.send_for(6_000, 300, 0..69);
    let record = simulation.record_at(0).after_clearance();
    let notices = vec![SuspectUpdate { digest: CRASHING, record }];
    simulation
        .network
        .step(address(0), MembershipEvent::SuspectRequests { updates: notices, first_hand: true });
    simulation.advance(5_000);
    let suspecting = (0..69).filter(|index| simulation.record_at(*index).is_suspected()).count();
    assert_eq!(suspecting, 0, "daemons that still suspect the request");
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, cases: 24, ..ProptestConfig::default()
    })]

    /// Copies, partitions, power losses and pauses come in any order.
    #[test]
    fn the_limit_on_late_copies_holds_for_any_events(
        seed in 0..1_000_u64,
        steps in proptest::collection::vec((0..4_u8, 50..900_u64), 4..14),
    ) {
        let mut simulation = CrashSimulation::start(13, seed);
        simulation.send_for(5_000, 250, 0..13);
        for (kind, interval_ms) in steps {
            match kind {
                0 => simulation.lose_power(),
                1 => {
                    // Partitioned daemons don't count as connected, so no copies are sent to them.
                    simulation.network.partition = Some(4);
                    simulation.send_for(2_000, interval_ms, 4..13);
                    simulation.network.partition = None;
                    simulation.advance(STABILITY_MS);
                }
                2 => simulation.advance(interval_ms),
                _ => simulation.send_for(2_000, interval_ms, 0..13),
            }
        }
        prop_assert!(simulation.late_copies() <= MAX_LATE_COPIES, "{} late copies", simulation.late_copies());
    }
}
