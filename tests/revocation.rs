//! The bound on revoked tokens, in virtual time: a model fleet whose hosts read the store, ask
//! each other and pass on revisions, while hosts are cut off, suspended, restarted or turned away
//! by the store.

#[path = "common/seeded.rs"]
mod seeded;

use proptest::prelude::*;
use railspan::{
    ConfirmationAsker, ConfirmationRound, DaemonIncarnation, HostName, MemberRecord, MemberState,
    MicroTime, ReadChain, RevocationState, StoreConfirmation, StoreRead, select_followers,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use seeded::seeded;
use test_case::test_case;

const BOUND: MicroTime = MicroTime::from_millis(5_000);
const STEP_MS: u64 = 20;

/// Interval at which the hosts' views of the fleet are renewed, in milliseconds.
const VIEW_MS: u64 = 1_000;

/// Time of the model, from before the start of all hosts, in milliseconds.
type ModelMs = u64;

enum Message {
    Ask { from: usize, number: u64 },
    Reply { number: u64, confirmed: Option<(u64, MicroTime)> },
}

struct Host {
    state: RevocationState,
    asker: ConfirmationAsker,
    started_at: ModelMs,
    /// Speed of the host's clock against the model's, in millionths.
    clock_ppm: u64,
    in_force: u64,
    suspended_until: ModelMs,
    /// Whether no message to or from other hosts passes.
    cut: bool,
    store_lost: bool,
    dead: bool,
    /// Read in progress: its start by the host's clock, its end, and the newest revision that the
    /// store held at its start.
    reading: Option<(MicroTime, ModelMs, u64)>,
    next_read: ModelMs,
    asked: u64,
}

struct ModelFleet {
    now: ModelMs,
    rng: Pcg64Mcg,
    hosts: Vec<Host>,
    view: Vec<MemberRecord>,
    messages: Vec<(ModelMs, usize, Message)>,
    /// Time of the acknowledgement of each revision, starting with revision 1.
    acknowledged: Vec<ModelMs>,
    /// Maximum delay of messages and reads, in milliseconds.
    max_delay: u64,
}

fn record(index: usize, host: &Host) -> MemberRecord {
    let address = "127.0.0.1:1".parse().expect("address");
    MemberRecord {
        host: HostName::from(index.to_string().as_str()),
        data_centre: "a".into(),
        incarnation: DaemonIncarnation(0),
        version: 1,
        state: if host.dead { MemberState::Dead } else { MemberState::Alive },
        guard: address,
        peer: address,
        caller: address,
        admin: address,
        targets: Vec::new(),
        revision: 0,
        store_lost: host.store_lost,
    }
}

impl Host {
    fn start(now: ModelMs, rng: &mut Pcg64Mcg) -> Self {
        let mut state = RevocationState::default();
        state.set_bound(Some(BOUND));
        Self {
            state,
            asker: ConfirmationAsker::open(rng.random()),
            started_at: now,
            clock_ppm: rng.random_range(999_900..=1_000_100),
            in_force: 0,
            suspended_until: 0,
            cut: false,
            store_lost: false,
            dead: false,
            reading: None,
            next_read: now,
            asked: 0,
        }
    }

    fn clock(&self, now: ModelMs) -> MicroTime {
        MicroTime((now - self.started_at) * self.clock_ppm / 1_000)
    }

    fn adopt(&mut self, revision: u64) {
        if revision > self.in_force {
            self.in_force = revision;
            self.state.set_in_force(revision);
        }
    }
}

impl ModelFleet {
    fn open(size: usize, seed: u64, max_delay: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let now = 1_000;
        let hosts: Vec<Host> = (0..size).map(|_| Host::start(now, &mut rng)).collect();
        let view = hosts.iter().enumerate().map(|(index, host)| record(index, host)).collect();
        let acknowledged = vec![now];
        Self { now, rng, hosts, view, messages: Vec::new(), acknowledged, max_delay }
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(1..=self.max_delay)
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if !self.hosts[from].cut {
            let at = self.now + self.delay();
            self.messages.push((at, to, message));
        }
    }

    /// Advances the model by one step; `store_serves` tells whether the store answers a host.
    fn step(&mut self, store_serves: impl Fn(usize) -> bool) {
        self.now += STEP_MS;
        if self.now.is_multiple_of(VIEW_MS) {
            self.view =
                self.hosts.iter().enumerate().map(|(index, host)| record(index, host)).collect();
        }
        let view = std::mem::take(&mut self.view);
        let followers = select_followers(view.iter());
        for index in 0..self.hosts.len() {
            if self.hosts[index].dead || self.hosts[index].suspended_until > self.now {
                continue;
            }
            self.receive(index);
            let follows = followers.iter().any(|member| member.host == view[index].host);
            self.read_store(index, follows, &store_serves);
            self.ask(index, &view, &followers);
            // Gossip passes revisions on.
            let other = self.rng.random_range(0..self.hosts.len());
            if self.rng.random_bool(0.1) && !self.hosts[other].cut && !self.hosts[index].cut {
                let revision = self.hosts[other].in_force;
                self.hosts[index].adopt(revision);
            }
            self.check(index);
        }
        self.view = view;
    }

    fn receive(&mut self, index: usize) {
        let now = self.now;
        let is_due =
            |message: &mut (ModelMs, usize, Message)| message.1 == index && message.0 <= now;
        let due: Vec<_> = self.messages.extract_if(.., is_due).collect();
        for (_, _, message) in due {
            let host = &mut self.hosts[index];
            let clock = host.clock(now);
            match message {
                _ if host.cut => {}
                Message::Ask { from, number } => {
                    let confirmed = host.state.evidence(clock);
                    self.send(index, from, Message::Reply { number, confirmed });
                }
                Message::Reply { number, confirmed } => {
                    let Some(requested_at) = host.asker.record_reply(number) else { continue };
                    let proof = confirmed.and_then(|(revision, age)| {
                        StoreConfirmation::from_peer(requested_at, revision, age)
                    });
                    if let Some(proof) = proof {
                        host.state.confirm(proof);
                    }
                }
            }
        }
    }

    /// Ends a read, and starts the next one if the host follows the store.
    fn read_store(&mut self, index: usize, follows: bool, store_serves: impl Fn(usize) -> bool) {
        let (now, newest) = (self.now, self.acknowledged.len() as u64);
        let (delay, feed_wait) = (self.delay(), self.rng.random_range(0..500));
        let host = &mut self.hosts[index];
        if let Some((started_at, _, read)) = host.reading.filter(|(_, end, _)| *end <= now) {
            host.reading = None;
            host.next_read = now + 100;
            host.store_lost = !store_serves(index);
            if !host.store_lost {
                host.adopt(read);
                host.state.confirm(StoreConfirmation { revision: read, at: started_at });
            }
        } else if follows && host.reading.is_none() && host.next_read <= now {
            host.reading = Some((host.clock(now), now + delay + feed_wait, newest));
        }
    }

    fn ask(&mut self, index: usize, view: &[MemberRecord], followers: &[&MemberRecord]) {
        let host = &mut self.hosts[index];
        let clock = host.clock(self.now);
        if !host.asker.is_due(clock, host.state.age(clock)) {
            return;
        }
        let is_self = |member: &&MemberRecord| member.host == view[index].host;
        let others: Vec<&MemberRecord> = view
            .iter()
            .filter(|member| member.is_up() && !is_self(member))
            .filter(|member| followers.iter().all(|follower| follower.host != member.host))
            .collect();
        let followers: Vec<_> =
            followers.iter().copied().filter(|member| !is_self(member)).collect();
        let round = ConfirmationRound { followers: &followers, others: &others };
        let request = host.asker.next_request(clock, round, &mut self.rng);
        let Some((number, member)) = request else { return };
        let to: usize = member.host.as_str().parse().expect("index");
        self.hosts[to].asked += 1;
        self.send(index, to, Message::Ask { from: index, number });
    }

    /// Checks that a host that serves tokens has every revision whose bound has passed in force.
    fn check(&self, index: usize) {
        let host = &self.hosts[index];
        if !host.state.serves_tokens(host.clock(self.now)) {
            return;
        }
        let passed = |at: &&ModelMs| **at + BOUND.ceil_millis() < self.now;
        let due = self.acknowledged.iter().filter(passed).count() as u64;
        assert!(host.in_force >= due, "host {index} serves tokens that revision {due} revoked");
    }

    fn serving(&self) -> usize {
        let serves = |host: &&Host| !host.dead && host.state.serves_tokens(host.clock(self.now));
        self.hosts.iter().filter(serves).count()
    }

    /// Runs for some time and returns the least number of hosts that served tokens meanwhile.
    fn run(&mut self, millis: u64, store_serves: impl Fn(usize) -> bool) -> usize {
        let mut least = usize::MAX;
        for _ in 0..millis / STEP_MS {
            self.step(&store_serves);
            least = least.min(self.serving());
        }
        least
    }
}

/// All hosts must be served by a few followers, with about one message a second for each, and no
/// follower may carry most of them.
#[test]
fn a_calm_fleet_serves_tokens_with_one_message_a_second() {
    let mut fleet = ModelFleet::open(100, 3, 20);
    fleet.run(2_000, |_| true);
    fleet.hosts.iter_mut().for_each(|host| host.asked = 0);
    assert_eq!(fleet.run(60_000, |_| true), 100);
    let asked: Vec<u64> = fleet.hosts.iter().map(|host| host.asked).collect();
    let total: u64 = asked.iter().sum();
    assert!(total <= 90 * 60 * 2, "{total} messages");
    let most = asked.iter().max().copied().unwrap_or_default();
    assert!(most <= total / 10 * 2, "one host got {most} of {total} messages");
}

/// Followers that fail without notice must be replaced before confirmations expire.
#[test]
fn tokens_are_served_while_half_of_the_followers_fail() {
    let mut fleet = ModelFleet::open(60, 5, 20);
    fleet.run(3_000, |_| true);
    let view = fleet.view.clone();
    for follower in select_followers(view.iter()).iter().take(5) {
        let index: usize = follower.host.as_str().parse().expect("index");
        fleet.hosts[index].dead = true;
    }
    assert_eq!(fleet.run(20_000, |_| true), 55);
}

/// A store that turns away most hosts, all its followers among them, must not end service while
/// others reach it.
#[test]
fn tokens_are_served_while_the_store_turns_most_hosts_away() {
    let mut fleet = ModelFleet::open(60, 7, 20);
    fleet.run(3_000, |_| true);
    let view = fleet.view.clone();
    let followers = select_followers(view.iter());
    let turned_away: Vec<bool> = view
        .iter()
        .enumerate()
        .map(|(index, member)| {
            index % 3 != 0 || followers.iter().any(|other| other.host == member.host)
        })
        .collect();
    assert_eq!(fleet.run(20_000, |index| !turned_away[index]), 60);
}

/// Nobody may serve tokens for good without the store, and all must again once it is back.
#[test]
fn an_outage_of_the_store_ends_service_after_the_bound_and_its_end_restores_it() {
    let mut fleet = ModelFleet::open(30, 9, 20);
    fleet.run(3_000, |_| true);
    fleet.run(BOUND.ceil_millis() - 3_000, |_| false);
    assert_eq!(fleet.serving(), 30, "refused long before the bound");
    fleet.run(3_000, |_| false);
    assert_eq!(fleet.serving(), 0);
    // A daemon that starts during the outage gets the revision from others, but no proof.
    let now = fleet.now;
    fleet.hosts[4] = Host::start(now, &mut fleet.rng);
    fleet.run(5_000, |_| false);
    assert_eq!((fleet.hosts[4].in_force, fleet.serving()), (1, 0));
    fleet.run(5_000, |_| true);
    assert_eq!(fleet.serving(), 30);
}

/// If a reply's age reaches back beyond the start of the asker's clock, cutting it off at zero
/// would make the confirmation too new.
#[test]
fn an_age_from_before_the_start_of_the_clock_confirms_nothing() {
    let age = MicroTime::from_millis(4_000);
    assert_eq!(StoreConfirmation::from_peer(MicroTime::from_millis(100), 3, age), None);
}

/// A feed must not prove a revision if the series of reads has a gap, or began with a
/// configuration that could not be used: a valid one may have been missed before it.
#[test]
fn reads_prove_a_revision_only_without_a_gap() {
    let read = |after, cursor, revision| StoreRead { after, cursor, complete: true, revision };
    let mut chain = ReadChain::default();
    chain.record(read(0, 5, None));
    chain.record(read(5, 8, None));
    assert_eq!(chain.newest_revision(), None, "began with an invalid configuration");
    chain.record(read(8, 9, Some(3)));
    chain.record(read(9, 12, None));
    assert_eq!(chain.newest_revision(), Some(3));
    for gap in [
        read(12, 0, None),
        read(12, 7, None),
        read(0, 13, None),
        StoreRead { complete: false, ..read(12, 13, Some(4)) },
    ] {
        let mut broken = chain;
        broken.record(gap);
        broken.record(read(13, 14, None));
        assert_eq!(broken.newest_revision(), None, "{gap:?}");
    }
}

/// After a gap in the feed, daemons must not refuse all tokens until the next revision is
/// published: the series starts again with the whole state, and proves the revision.
#[test_case(0, 4, false; "a cut off reply")]
#[test_case(0, 2, true; "a store that went back")]
#[test_case(1, 4, false; "a cut off reply, and one to the read of the whole state")]
#[test_case(1, 2, true; "a store that went back, and a cut off reply")]
fn a_series_with_a_gap_proves_its_revision_again(cut_off: usize, cursor: u64, complete: bool) {
    let mut chain = ReadChain::default();
    chain.record(StoreRead { after: 0, cursor: 3, complete: true, revision: Some(1) });
    chain.record(StoreRead { after: 3, cursor, complete, revision: None });
    assert_eq!(chain.newest_revision(), None);
    for _ in 0..cut_off {
        let after = chain.next_position();
        assert_eq!(after, 0, "the whole state is read until a reply is complete");
        chain.record(StoreRead { after, cursor, complete: false, revision: None });
        assert_eq!(chain.newest_revision(), None);
    }
    for _ in 0..3 {
        // The store holds revision 1, and shows it only to reads of the whole state.
        let after = chain.next_position();
        let revision = (after == 0).then_some(1);
        chain.record(StoreRead { after, cursor, complete: true, revision });
        assert_eq!(chain.newest_revision(), Some(1));
        assert_eq!(chain.next_position(), cursor, "the whole state is read once");
    }
}

/// An invalid configuration must not have the whole state read again and again.
#[test]
fn an_invalid_configuration_is_read_once() {
    let mut chain = ReadChain::default();
    chain.record(StoreRead { after: 0, cursor: 3, complete: true, revision: None });
    assert_eq!(chain.next_position(), 3);
}

/// Without a bound, tokens are served whatever is known of the store.
#[test]
fn nothing_is_refused_without_a_bound() {
    assert!(RevocationState::default().serves_tokens(MicroTime::from_millis(60_000)));
}

proptest! {
    #![proptest_config(seeded(60))]

    /// No token outlives its bound, whatever the order of cuts, suspensions, restarts, outages
    /// and lost or late messages; `ModelFleet::check` asserts it for every host and step.
    #[test]
    fn no_token_outlives_its_bound(seed in any::<u64>(), size in 2_usize..16, max_delay in 1_u64..4_000) {
        let mut fleet = ModelFleet::open(size, seed, max_delay);
        let mut served = vec![true; size];
        for _ in 0..2_000 {
            let index = fleet.rng.random_range(0..size);
            let now = fleet.now;
            match fleet.rng.random_range(0..400) {
                0..3 => fleet.acknowledged.push(now),
                3..6 => fleet.hosts[index].cut = !fleet.hosts[index].cut,
                6..10 => served[index] = !served[index],
                10 => served.fill(false),
                11 => served.fill(true),
                12..15 => {
                    let pause = fleet.rng.random_range(100..12_000);
                    fleet.hosts[index].suspended_until = now + pause;
                }
                15 => fleet.hosts[index] = Host::start(now, &mut fleet.rng),
                _ => {}
            }
            fleet.step(|index| served[index]);
        }
    }
}
