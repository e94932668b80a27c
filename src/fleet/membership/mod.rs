//! Which daemons are in the fleet, and what their targets are.
//!
//! Pure. The protocol is SWIM: each period a daemon probes one other, asks
//! three more to try when it hears nothing, and spreads what it learns on the
//! messages it sends anyway, so that the cost per daemon does not grow with
//! the fleet. The dead are remembered and tried now and then, so that regions
//! that lost each other meet again.
//!
//! `probing` finds out who is alive, in the order of `rounds`; `hearing` takes
//! datagrams; `telling` sends what is new, as `updates` counts it; `suspicion` spreads
//! which requests end targets. Here is what is believed of whom. Figures at constants are of 295 daemons in five data centres,
//! kernels in virtual time, a twentieth of the datagrams lost.

mod centres;
mod events;
mod reception;

mod dissemination;
mod probing;
mod rounds;
mod suspicion;
mod updates;

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::base::clock::MicroTime;
use crate::base::evacuation::EvacuationState;
use crate::base::ids::HostName;
use crate::base::member::{AdvertisedTarget, FleetView, MemberRecord, MemberState, SYNC_BUCKETS};
use crate::fleet::follow;
pub use events::{MembershipAction, MembershipEvent};

use dissemination::{NOTIFIED_AT_ONCE, PeerCounts};
use probing::{OpenProbe, ProxyProbe};
use rounds::ProbeRounds;
use suspicion::SuspicionUpdates;
use updates::UpdateBook;

/// Time after a death in which more of the same data centre are looked for: two
/// rounds of probes of a data centre of ten by as many daemons of another.
const LOSS_LASTS: MicroTime = MicroTime::from_millis(10_000);

/// Another daemon.
#[derive(Clone, Debug)]
struct KnownMember {
    record: MemberRecord,
    /// When the present state began.
    since: MicroTime,
}

impl KnownMember {
    /// Tells whether it is suspected, or was just found dead: others beside it
    /// may have been lost with it.
    fn is_suspected_lately(&self, now: MicroTime) -> bool {
        match self.record.state {
            MemberState::Suspect => true,
            MemberState::Dead => now.since(self.since) < LOSS_LASTS,
            MemberState::Alive | MemberState::Left => false,
        }
    }
}

/// The membership of one daemon.
///
/// Invariants: the own record is always alive until `Leave`, and its version
/// beats every record of the own host heard so far; a member's `(version,
/// state)` never falls.
#[derive(Debug)]
pub struct MembershipState {
    own: MemberRecord,
    members: BTreeMap<HostName, KnownMember>,
    /// How many of them are in the own data centre and may serve.
    near_others: usize,
    /// Updates still to be spread.
    updates: UpdateBook,
    rounds: ProbeRounds,
    probe: Option<OpenProbe>,
    /// Probes of members that calls did not reach.
    checks: Vec<OpenProbe>,
    proxies: Vec<ProxyProbe>,
    number: u64,
    period: u64,
    next_period: MicroTime,
    next_sync: MicroTime,
    next_far_sync: MicroTime,
    /// Since when daemons of other data centres know something else than this one.
    far_differs: Option<MicroTime>,
    /// Strangers that this daemon may still introduce itself to.
    introductions: PeerCounts,
    digest: u64,
    /// The newest evacuations heard of; they travel on every message.
    evacuation: EvacuationState,
    /// Requests that are suspected of ending targets.
    suspicions: SuspicionUpdates,
    /// Set when the own record outbid another, until it was told at once.
    outbid: bool,
}

impl MembershipState {
    /// Opens the membership of a daemon that knows only itself.
    #[must_use]
    pub fn open(own: MemberRecord) -> Self {
        let mut state = Self {
            updates: UpdateBook::open(&own.host),
            digest: own.digest(),
            own,
            members: BTreeMap::new(),
            near_others: 0,
            rounds: ProbeRounds::default(),
            probe: None,
            checks: Vec::new(),
            proxies: Vec::new(),
            number: 0,
            period: 0,
            next_period: MicroTime(0),
            next_sync: MicroTime(0),
            next_far_sync: MicroTime(0),
            far_differs: None,
            introductions: NOTIFIED_AT_ONCE,
            evacuation: EvacuationState::default(),
            suspicions: SuspicionUpdates::default(),
            outbid: false,
        };
        state.own.state = MemberState::Alive;
        state
    }

    /// Takes one event and appends what follows from it.
    pub fn step(
        &mut self,
        now: MicroTime,
        event: MembershipEvent,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        match event {
            MembershipEvent::Tick => self.tick(now, rng, out),
            MembershipEvent::Message { from, message } => {
                self.receive(now, from, message, rng, out);
            }
            MembershipEvent::Local { targets, revision } => {
                self.change_own(targets, revision, rng, out);
            }
            MembershipEvent::StoreLost(lost) => self.change_store(lost, rng, out),
            MembershipEvent::Evacuation(notice) => self.merge_evacuation(notice, rng, out),
            MembershipEvent::Suspect { notices, first_hand } => {
                self.merge_suspects(now, &notices, first_hand, rng, out);
            }
            MembershipEvent::Learn(records) => self.learn_whole(now, records, rng, out),
            MembershipEvent::Unreached(host) => self.look_after(now, host, out),
            MembershipEvent::Leave => self.leave(rng, out),
        }
        if std::mem::take(&mut self.outbid) {
            self.notify_some(rng, out);
        }
        self.check();
    }

    /// Checks the invariants, in builds with debug assertions.
    fn check(&self) {
        let here = matches!(self.own.state, MemberState::Alive | MemberState::Left);
        debug_assert!(here, "a daemon never doubts itself: {:?}", self.own.state);
        debug_assert!(!self.members.contains_key(&self.own.host), "it is no member beside itself");
        debug_assert!(self.members.len() >= self.near_others, "near daemons are among the members");
    }

    /// Returns the own record.
    #[must_use]
    pub const fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns all that is known now.
    #[must_use]
    pub fn view(&self) -> FleetView {
        let others = self.members.values().map(|known| known.record.clone());
        FleetView { members: std::iter::once(self.own.clone()).chain(others).collect() }
    }

    /// Tells whether this daemon is one of those that follow the store.
    #[must_use]
    pub fn follows_store(&self) -> bool {
        follow::follows_store(self.records(), &self.own.host)
    }

    /// Tells whether any other daemon is believed to be up.
    #[must_use]
    pub fn knows_others(&self) -> bool {
        self.members.values().any(|known| known.record.is_up())
    }

    /// Returns the evacuations that are known of.
    #[must_use]
    pub const fn evacuation(&self) -> &EvacuationState {
        &self.evacuation
    }

    /// Returns how many updates are still to be spread.
    #[must_use]
    pub fn updates_left(&self) -> usize {
        self.updates.left(self.size())
    }

    /// Returns one digest for each bucket of members.
    #[must_use]
    pub fn bucket_digests(&self) -> Vec<u64> {
        let mut digests = vec![0; SYNC_BUCKETS];
        for record in self.records() {
            digests[record.bucket()] ^= record.digest();
        }
        digests
    }

    /// Returns the records of all buckets whose digest differs from `theirs`.
    #[must_use]
    pub fn differing(&self, theirs: &[u64]) -> Vec<MemberRecord> {
        let own = self.bucket_digests();
        let differs = |bucket: usize| theirs.get(bucket) != own.get(bucket);
        self.records().filter(|record| differs(record.bucket())).cloned().collect()
    }

    /// Returns how many daemons are known, this one included.
    #[must_use]
    pub fn size(&self) -> usize {
        self.members.len() + 1
    }

    fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        let others = self.members.values().map(|known| &known.record);
        std::iter::once(&self.own).chain(others)
    }

    /// Learns from the table or an exchange.
    ///
    /// Who was not known before is not spread: the others know it already, or
    /// hear of it from itself.
    fn learn_whole(
        &mut self,
        now: MicroTime,
        records: Vec<MemberRecord>,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        let mut strangers = Vec::new();
        for record in records {
            let host = record.host.clone();
            let known = host == self.own.host || self.members.contains_key(&host);
            let up = record.is_up();
            self.learn(now, record, out);
            if !known {
                self.updates.forget(&host);
                strangers.extend(up.then_some(host));
            }
        }
        // Whom they came from knows the rest, and was told in turn.
        self.updates.count_all_heard();
        strangers.shuffle(rng);
        self.introduce(&strangers, out);
    }

    fn learn(&mut self, now: MicroTime, record: MemberRecord, out: &mut Vec<MembershipAction>) {
        if record.host == self.own.host {
            self.refute(&record, out);
        } else {
            self.merge(now, record, out);
        }
    }

    /// Outbids a record of the own host that another one made or kept.
    fn refute(&mut self, record: &MemberRecord, out: &mut Vec<MembershipAction>) {
        let stale = record.incarnation != self.own.incarnation || record.state != self.own.state;
        if !stale || self.own.state == MemberState::Left {
            return;
        }
        if record.version < self.own.version {
            // The refutation was made before, but did not reach everybody.
            self.updates.spread(&self.own.host);
            return;
        }
        let version = record.version + 1;
        self.update_own(|own| own.version = version);
        out.push(MembershipAction::Changed);
        self.outbid = true;
    }

    fn change_own(
        &mut self,
        targets: Vec<AdvertisedTarget>,
        revision: u64,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        if self.own.targets == targets {
            // The revision travels on every message; it needs no new version.
            let newer = revision > self.own.revision;
            self.own.revision = revision;
            if newer {
                self.notify_of_revision(rng, out);
            }
            return;
        }
        self.update_own(|own| {
            own.targets = targets;
            own.revision = revision;
            own.version += 1;
        });
        out.push(MembershipAction::Changed);
        self.notify_some(rng, out);
    }

    /// Takes a newer notice and tells some at once of what it changes.
    fn merge_evacuation(
        &mut self,
        notice: EvacuationState,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        if self.evacuation.merge(notice) {
            out.push(MembershipAction::Evacuated);
            self.notify_of_revision(rng, out);
        }
    }

    fn change_store(&mut self, lost: bool, rng: &mut Pcg64Mcg, out: &mut Vec<MembershipAction>) {
        if self.own.store_lost == lost {
            return;
        }
        self.update_own(|own| {
            own.store_lost = lost;
            own.version += 1;
        });
        out.push(MembershipAction::Changed);
        self.notify_some(rng, out);
    }

    fn update_own(&mut self, change: impl FnOnce(&mut MemberRecord)) {
        self.digest ^= self.own.digest();
        change(&mut self.own);
        self.digest ^= self.own.digest();
        self.updates.spread(&self.own.host);
    }

    fn leave(&mut self, rng: &mut Pcg64Mcg, out: &mut Vec<MembershipAction>) {
        self.update_own(|own| {
            own.state = MemberState::Left;
            own.version += 1;
            for target in &mut own.targets {
                target.ready = false;
            }
        });
        out.push(MembershipAction::Changed);
        self.notify_some(rng, out);
    }

    fn merge(&mut self, now: MicroTime, record: MemberRecord, out: &mut Vec<MembershipAction>) {
        let known = self.members.get(&record.host);
        if known.is_some_and(|known| !record.supersedes(&known.record)) {
            if known.is_some_and(|known| !known.record.supersedes(&record)) {
                self.updates.count_heard(&record.host);
            }
            return;
        }
        let was_near = known.is_some_and(|known| self.is_near_and_up(&known.record));
        let is_near = self.is_near_and_up(&record);
        if let Some(known) = known {
            self.digest ^= known.record.digest();
        }
        let differs = |known: &KnownMember| {
            let before = &known.record;
            before.state != record.state || before.incarnation != record.incarnation
        };
        if known.is_none_or(differs) {
            out.push(MembershipAction::Believed { record: record.clone() });
        }
        self.digest ^= record.digest();
        self.near_others = self.near_others + usize::from(is_near) - usize::from(was_near);
        let host = record.host.clone();
        self.updates.spread(&host);
        self.members.insert(host, KnownMember { record, since: now });
        out.push(MembershipAction::Changed);
    }

    /// Returns what is known of one host.
    #[must_use]
    pub fn member(&self, host: &HostName) -> Option<&MemberRecord> {
        if *host == self.own.host {
            return Some(&self.own);
        }
        self.members.get(host).map(|known| &known.record)
    }
}
