//! Gossip state machine, without I/O or clock: which daemons and targets the fleet has.
//!
//! The protocol is SWIM: in each period a daemon probes one other daemon, asks three more to
//! probe it when no answer arrives, and piggybacks updates on the messages that it sends
//! anyway, so that the cost per daemon does not grow with the fleet. Dead members are
//! kept and probed occasionally, so that partitioned regions find each other again.
//!
//! This module merges member records. `probing` detects failed members, in the order of
//! `probe_order`; `receive` handles datagrams; `dissemination` sends the updates that
//! `update_queue` selects; `suspect_requests` spreads which requests may crash targets.
//! Figures at constants refer to the state machines of 295 daemons in five data centres, in
//! virtual time, with a twentieth of the datagrams lost.

mod dissemination;
mod events;
mod locality;
mod probe_order;
mod probing;
mod receive;
mod suspect_requests;
mod update_queue;

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::base::clock::MicroTime;
use crate::base::evacuation::EvacuationState;
use crate::base::ids::HostName;
use crate::base::member::{
    AdvertisedTarget, EXCHANGE_BUCKETS, FleetView, MemberRecord, MemberState,
};
use crate::fleet::store_followers;
pub use events::{MembershipAction, MembershipEvent};

use dissemination::{CHANGE_FANOUT, PeerCounts};
use probe_order::ProbeOrder;
use probing::{PendingProbe, ProxyProbe};
use suspect_requests::SuspectQueue;
use update_queue::UpdateQueue;

/// Time after a member is declared dead in which its data centre is probed more often: ten
/// daemons of one data centre can probe the ten of another twice.
const RECENT_DEATH_WINDOW: MicroTime = MicroTime::from_millis(10_000);

#[derive(Clone, Debug)]
struct KnownMember {
    record: MemberRecord,
    updated_at: MicroTime,
}

impl KnownMember {
    /// Returns whether the member is suspected or was recently declared dead, so that other
    /// members of its data centre may have failed with it.
    fn is_suspected_or_recently_dead(&self, now: MicroTime) -> bool {
        match self.record.state {
            MemberState::Suspect => true,
            MemberState::Dead => now.since(self.updated_at) < RECENT_DEATH_WINDOW,
            MemberState::Alive | MemberState::Left => false,
        }
    }
}

/// The membership state of one daemon.
///
/// Invariants: the own record is alive until [`MembershipEvent::Leave`], and its version is
/// greater than that of every other record of the own host received so far; a member's
/// `(version, state)` never decreases.
#[derive(Debug)]
pub struct MembershipState {
    own_record: MemberRecord,
    members: BTreeMap<HostName, KnownMember>,
    /// Number of other daemons in the own data centre that are up.
    local_others: usize,
    updates: UpdateQueue,
    probe_order: ProbeOrder,
    /// The probe of this period, until it is answered.
    pending_probe: Option<PendingProbe>,
    /// Unanswered probes of members that calls could not reach.
    unreached_probes: Vec<PendingProbe>,
    /// Unanswered probes on behalf of other daemons.
    proxies: Vec<ProxyProbe>,
    /// Number of the last message sent; a reply has the number of the message answered.
    last_number: u64,
    period: u64,
    next_period: MicroTime,
    next_exchange: MicroTime,
    next_remote_exchange: MicroTime,
    /// Since when the records of daemons in other data centres differ from the own.
    remote_differs_since: Option<MicroTime>,
    /// Number of notices of the own record that may still be sent to newly learnt daemons.
    own_notices_left: PeerCounts,
    /// XOR of the digests of all records, to detect differences.
    digest: u64,
    /// The newest known evacuation state; every message carries it.
    evacuation: EvacuationState,
    suspect_queue: SuspectQueue,
    /// Whether notices of the own record are due because another one was refuted.
    refutation_due: bool,
}

impl MembershipState {
    /// Creates the state of a daemon that knows only itself.
    #[must_use]
    pub fn open(own_record: MemberRecord) -> Self {
        let mut state = Self {
            updates: UpdateQueue::open(&own_record.host),
            digest: own_record.digest(),
            own_record,
            members: BTreeMap::new(),
            local_others: 0,
            probe_order: ProbeOrder::default(),
            pending_probe: None,
            unreached_probes: Vec::new(),
            proxies: Vec::new(),
            last_number: 0,
            period: 0,
            next_period: MicroTime(0),
            next_exchange: MicroTime(0),
            next_remote_exchange: MicroTime(0),
            remote_differs_since: None,
            own_notices_left: CHANGE_FANOUT,
            evacuation: EvacuationState::default(),
            suspect_queue: SuspectQueue::default(),
            refutation_due: false,
        };
        state.own_record.state = MemberState::Alive;
        state
    }

    /// Handles an event and appends the resulting actions to `out`.
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
            MembershipEvent::OwnRecordChanged { targets, revision } => {
                self.set_own_targets(targets, revision, rng, out);
            }
            MembershipEvent::StoreLost(lost) => self.set_store_lost(lost, rng, out),
            MembershipEvent::Evacuation(evacuation) => self.merge_evacuation(evacuation, rng, out),
            MembershipEvent::SuspectRequests { updates, first_hand } => {
                self.merge_suspect_updates(now, &updates, first_hand, rng, out);
            }
            MembershipEvent::RecordsReceived(records) => self.apply_records(now, records, rng, out),
            MembershipEvent::MemberUnreachable(host) => self.probe_unreached(now, host, out),
            MembershipEvent::Leave => self.leave(rng, out),
        }
        if std::mem::take(&mut self.refutation_due) {
            self.notify_of_own_change(rng, out);
        }
        self.assert_invariants();
    }

    /// Checks the invariants, in builds with debug assertions.
    fn assert_invariants(&self) {
        let is_valid = matches!(self.own_record.state, MemberState::Alive | MemberState::Left);
        debug_assert!(is_valid, "invalid state of own record: {:?}", self.own_record.state);
        debug_assert!(!self.members.contains_key(&self.own_record.host), "own host in members");
        debug_assert!(self.members.len() >= self.local_others, "more local members than members");
    }

    /// Returns the own record.
    #[must_use]
    pub const fn own_record(&self) -> &MemberRecord {
        &self.own_record
    }

    /// Returns all known members, this daemon first.
    #[must_use]
    pub fn view(&self) -> FleetView {
        let others = self.members.values().map(|known| known.record.clone());
        FleetView { members: std::iter::once(self.own_record.clone()).chain(others).collect() }
    }

    /// Returns whether this daemon is among the selected followers of the store.
    #[must_use]
    pub fn follows_store(&self) -> bool {
        store_followers::follows_store(self.records(), &self.own_record.host)
    }

    /// Returns the position of this daemon in the order in which daemons read the store.
    #[must_use]
    pub fn store_rank(&self) -> Option<usize> {
        store_followers::store_rank(self.records(), &self.own_record.host)
    }

    /// Returns whether any other daemon is believed to be up.
    #[must_use]
    pub fn knows_others(&self) -> bool {
        self.members.values().any(|known| known.record.is_up())
    }

    /// Returns the newest known evacuation state.
    #[must_use]
    pub const fn evacuation(&self) -> &EvacuationState {
        &self.evacuation
    }

    /// Returns the number of updates that are still to be sent within the data centre.
    #[must_use]
    pub fn updates_left(&self) -> usize {
        self.updates.pending_count(self.size())
    }

    /// Returns the digest of each bucket of members.
    #[must_use]
    pub fn bucket_digests(&self) -> Vec<u64> {
        let mut digests = vec![0; EXCHANGE_BUCKETS];
        for record in self.records() {
            digests[record.bucket()] ^= record.digest();
        }
        digests
    }

    /// Returns the records of all buckets whose digest differs from `peer_digests`.
    #[must_use]
    pub fn differing_records(&self, peer_digests: &[u64]) -> Vec<MemberRecord> {
        let own_digests = self.bucket_digests();
        let differs = |bucket: usize| peer_digests.get(bucket) != own_digests.get(bucket);
        self.records().filter(|record| differs(record.bucket())).cloned().collect()
    }

    /// Returns the number of known daemons, this one included.
    #[must_use]
    pub fn size(&self) -> usize {
        self.members.len() + 1
    }

    fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        let others = self.members.values().map(|known| &known.record);
        std::iter::once(&self.own_record).chain(others)
    }

    /// Applies records from the table or a full exchange.
    ///
    /// Records of newly learnt hosts are not spread: the other daemons know them already, or
    /// receive them from those hosts.
    fn apply_records(
        &mut self,
        now: MicroTime,
        records: Vec<MemberRecord>,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        let mut new_hosts = Vec::new();
        for record in records {
            let host = record.host.clone();
            let is_known = host == self.own_record.host || self.members.contains_key(&host);
            let is_up = record.is_up();
            self.apply(now, record, out);
            if !is_known {
                self.updates.remove(&host);
                new_hosts.extend(is_up.then_some(host));
            }
        }
        // The sender knows all other records, too, or got them in the same exchange.
        self.updates.count_full_receipt();
        new_hosts.shuffle(rng);
        self.notify_new_hosts(&new_hosts, out);
    }

    /// Applies a record: merges it, or refutes it if it is of the own host.
    fn apply(&mut self, now: MicroTime, record: MemberRecord, out: &mut Vec<MembershipAction>) {
        if record.host == self.own_record.host {
            self.refute_record(&record, out);
        } else {
            self.merge(now, record, out);
        }
    }

    fn set_own_targets(
        &mut self,
        targets: Vec<AdvertisedTarget>,
        revision: u64,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        if self.own_record.targets == targets {
            // Every message carries the revision, so the record needs no new version.
            let is_newer = revision > self.own_record.revision;
            self.own_record.revision = revision;
            if is_newer {
                self.notify_of_header(rng, out);
            }
            return;
        }
        self.update_own_record(|own| {
            own.targets = targets;
            own.revision = revision;
            own.version += 1;
        });
        out.push(MembershipAction::ViewChanged);
        self.notify_of_own_change(rng, out);
    }

    /// Merges an evacuation state and sends it on at once if it changes anything.
    fn merge_evacuation(
        &mut self,
        evacuation: EvacuationState,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        if self.evacuation.merge(evacuation) {
            out.push(MembershipAction::EvacuationChanged);
            self.notify_of_header(rng, out);
        }
    }

    fn set_store_lost(&mut self, lost: bool, rng: &mut Pcg64Mcg, out: &mut Vec<MembershipAction>) {
        if self.own_record.store_lost == lost {
            return;
        }
        self.update_own_record(|own| {
            own.store_lost = lost;
            own.version += 1;
        });
        out.push(MembershipAction::ViewChanged);
        self.notify_of_own_change(rng, out);
    }

    fn update_own_record(&mut self, change: impl FnOnce(&mut MemberRecord)) {
        self.digest ^= self.own_record.digest();
        change(&mut self.own_record);
        self.digest ^= self.own_record.digest();
        self.updates.enqueue(&self.own_record.host);
    }

    fn leave(&mut self, rng: &mut Pcg64Mcg, out: &mut Vec<MembershipAction>) {
        self.update_own_record(|own| {
            own.state = MemberState::Left;
            own.version += 1;
            for target in &mut own.targets {
                target.ready = false;
            }
        });
        out.push(MembershipAction::ViewChanged);
        self.notify_of_own_change(rng, out);
    }

    /// Replaces another daemon's record if the given one is newer.
    fn merge(&mut self, now: MicroTime, record: MemberRecord, out: &mut Vec<MembershipAction>) {
        let known = self.members.get(&record.host);
        if known.is_some_and(|known| !record.supersedes(&known.record)) {
            if known.is_some_and(|known| !known.record.supersedes(&record)) {
                self.updates.count_receipt(&record.host);
            }
            return;
        }
        let was_local = known.is_some_and(|known| self.is_local_and_up(&known.record));
        let is_local = self.is_local_and_up(&record);
        if let Some(known) = known {
            self.digest ^= known.record.digest();
        }
        let is_changed = |known: &KnownMember| {
            let before = &known.record;
            before.state != record.state || before.incarnation != record.incarnation
        };
        if known.is_none_or(is_changed) {
            out.push(MembershipAction::MemberChanged { record: record.clone() });
        }
        self.digest ^= record.digest();
        self.local_others = self.local_others + usize::from(is_local) - usize::from(was_local);
        let host = record.host.clone();
        self.updates.enqueue(&host);
        self.members.insert(host, KnownMember { record, updated_at: now });
        out.push(MembershipAction::ViewChanged);
    }

    /// Returns the record of a host.
    #[must_use]
    pub fn member(&self, host: &HostName) -> Option<&MemberRecord> {
        if *host == self.own_record.host {
            return Some(&self.own_record);
        }
        self.members.get(host).map(|known| &known.record)
    }
}
