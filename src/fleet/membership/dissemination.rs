//! Dissemination of member records: immediate notices, updates piggybacked on probes, and
//! full exchanges.

use std::net::SocketAddr;

use rand::RngExt;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use super::suspect_requests::SUSPECT_UPDATE_BYTES;
use super::update_queue::MessageBudget;
use super::{MembershipAction, MembershipState};
use crate::base::clock::MicroTime;
use crate::base::ids::HostName;
use crate::base::member::{GossipKind, GossipMessage, MemberRecord};

/// Number of pending updates from which a full exchange is cheaper than gossip: more than
/// gossip carries in two periods.
const BULK_EXCHANGE_THRESHOLD: usize = 32;

/// Minimum time between two full exchanges that a daemon starts while it has that many
/// pending updates.
///
/// Each exchange at least doubles the number of members that a daemon knows: daemons that
/// all start at once know each other after 6 s, with gossip alone only after 56 s.
const BULK_EXCHANGE_INTERVAL: MicroTime = MicroTime::from_millis(500);

/// Mean number of daemons of one data centre that start a full exchange with another data
/// centre in [`REMOTE_EXCHANGE_INTERVAL`].
///
/// The other daemons of the data centre learn the records from them.
const REMOTE_EXCHANGES_PER_INTERVAL: f64 = 8.0;

/// Minimum time between two full exchanges of one daemon with other data centres.
///
/// Gossip carries new records across; an exchange only makes up for lost datagrams.
const REMOTE_EXCHANGE_INTERVAL: MicroTime = MicroTime::from_millis(15_000);

/// Time for which the records of other data centres must differ before a full exchange
/// with them: gossip has delivered the difference by then, or lost it.
const REMOTE_EXCHANGE_DELAY: MicroTime = MicroTime::from_millis(3_000);

/// Time from the start of a daemon to its first full exchange with another data centre.
///
/// By then it has the records of its own data centre, and only the rest has to cross
/// between data centres.
pub(super) const FIRST_REMOTE_EXCHANGE_DELAY: MicroTime = MicroTime::from_millis(3_000);

/// Minimum time between two full exchanges that a daemon starts; they take 0.3 kB/s per
/// daemon while the fleet does not change.
const EXCHANGE_INTERVAL: MicroTime = MicroTime::from_millis(5_000);

/// Number of other daemons up to which notices go to all of them instead of a sample.
///
/// With a sample, when ten of 13 daemons failed at the moment of a new revision, the rest
/// got it up to 2.6 s later, because the sampled daemons were among the failed ones.
const NOTIFY_ALL_MAX_PEERS: usize = 24;

/// Number of daemons that get an immediate notice when a daemon changes its own record.
///
/// Gossip spreads the change from there, starting at some daemons in each data centre.
pub(super) const CHANGE_FANOUT: PeerCounts = PeerCounts { local: 16, remote: 8 };

/// Number of daemons to which a daemon immediately relays new records that came from
/// another data centre.
pub(super) const RELAY_FANOUT: PeerCounts = PeerCounts { local: 8, remote: 0 };

/// Number of daemons to which a daemon sends a notice when it adopts a revision, or when
/// the evacuated data centres change.
///
/// The notices reach all daemons after a few steps, wherever they start, and a revision is
/// mostly fetched from a peer in the same data centre.
pub(super) const HEADER_FANOUT: PeerCounts = PeerCounts { local: 3, remote: 1 };

/// Numbers of peers in the own data centre and in other data centres.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerCounts {
    pub(super) local: usize,
    pub(super) remote: usize,
}

impl MembershipState {
    /// Sends some daemons the fields that every message has, such as the revision in force
    /// and the evacuated data centres.
    pub(super) fn notify_of_header(&mut self, rng: &mut Pcg64Mcg, out: &mut Vec<MembershipAction>) {
        let peers = self.sample_fanout(HEADER_FANOUT, rng);
        self.send_notices(peers, &[], out);
    }

    /// Starts a full exchange with a daemon whose records differ.
    ///
    /// Does nothing if an exchange was made recently or gossip is enough to deliver the
    /// difference.
    pub(super) fn start_exchange_with(
        &mut self,
        now: MicroTime,
        host: &HostName,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        let Some(known) = self.members.get(host) else { return };
        let pending = self.updates_left();
        let is_bulk = pending >= BULK_EXCHANGE_THRESHOLD;
        if now < self.next_exchange || !(is_bulk || pending == 0) {
            return;
        }
        let is_local = known.record.is_in(&self.own_record.data_centre);
        if !is_local {
            let differs_since = *self.remote_differs_since.get_or_insert(now);
            if now < self.next_remote_exchange || now.since(differs_since) < REMOTE_EXCHANGE_DELAY {
                return;
            }
            self.next_remote_exchange = now + REMOTE_EXCHANGE_INTERVAL;
            let probability = REMOTE_EXCHANGES_PER_INTERVAL / self.local_size() as f64;
            if !rng.random_bool(probability.min(1.0)) {
                return;
            }
        }
        self.next_exchange = now + if is_bulk { BULK_EXCHANGE_INTERVAL } else { EXCHANGE_INTERVAL };
        // The advertised address is used: the source address of the datagram may be translated
        // (NAT).
        out.push(MembershipAction::Sync { peer: known.record.peer });
    }

    /// Sends the own record to newly learnt hosts in notices.
    ///
    /// The total number of such notices is limited to [`CHANGE_FANOUT`], since other daemons
    /// learn of this one by gossip.
    pub(super) fn notify_new_hosts(
        &mut self,
        new_hosts: &[HostName],
        out: &mut Vec<MembershipAction>,
    ) {
        let mut peers = Vec::new();
        for host in new_hosts {
            let Some(known) = self.members.get(host) else { continue };
            let is_local = known.record.is_in(&self.own_record.data_centre);
            let notices_left = &mut self.own_notices_left;
            let notices_left =
                if is_local { &mut notices_left.local } else { &mut notices_left.remote };
            if *notices_left > 0 {
                *notices_left -= 1;
                peers.push(known.record.peer);
            }
        }
        self.send_own_record(peers, out);
    }

    /// Sends the own record to some daemons.
    pub(super) fn send_own_record(
        &mut self,
        peers: Vec<SocketAddr>,
        out: &mut Vec<MembershipAction>,
    ) {
        let own_record = self.own_record.clone();
        self.send_notices(peers, std::slice::from_ref(&own_record), out);
    }

    /// Sends updates to some daemons at once, without waiting for the next probe.
    pub(super) fn send_notices(
        &mut self,
        peers: Vec<SocketAddr>,
        updates: &[MemberRecord],
        out: &mut Vec<MembershipAction>,
    ) {
        for to in peers {
            self.last_number += 1;
            let message =
                self.compose_message(GossipKind::Notice, self.last_number, updates.to_vec());
            out.push(MembershipAction::Send { to, message });
        }
    }

    /// Sends a sample of daemons the own record after it changed.
    pub(super) fn notify_of_own_change(
        &mut self,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        let peers = self.sample_fanout(CHANGE_FANOUT, rng);
        self.send_own_record(peers, out);
    }

    /// Samples the daemons that get a notice; returns all daemons of a small fleet.
    pub(super) fn sample_fanout(&self, counts: PeerCounts, rng: &mut Pcg64Mcg) -> Vec<SocketAddr> {
        let all = PeerCounts { local: usize::MAX, remote: usize::MAX };
        let is_small = self.members.len() <= NOTIFY_ALL_MAX_PEERS;
        self.sample_up(if is_small { all } else { counts }, &self.own_record.host, rng)
    }

    /// Samples daemons that are up, except `excluded`.
    pub(super) fn sample_up(
        &self,
        counts: PeerCounts,
        excluded: &HostName,
        rng: &mut Pcg64Mcg,
    ) -> Vec<SocketAddr> {
        let members = self.members.values().map(|known| &known.record);
        let up = members.filter(|record| record.is_up() && record.host != *excluded);
        let (mut local, mut remote): (Vec<&MemberRecord>, Vec<&MemberRecord>) =
            up.partition(|record| record.is_in(&self.own_record.data_centre));
        let (local, _) = local.partial_shuffle(rng, counts.local);
        let (remote, _) = remote.partial_shuffle(rng, counts.remote);
        local.iter().chain(remote.iter()).map(|record| record.peer).collect()
    }

    /// Creates a message that piggybacks as many pending updates as fit.
    ///
    /// `is_remote` is true if the message goes to another data centre.
    pub(super) fn piggyback_message(
        &mut self,
        kind: GossipKind,
        number: u64,
        is_remote: bool,
    ) -> GossipMessage {
        self.piggyback_message_with(kind, number, is_remote, None)
    }

    /// Creates a message with the record `first` and as many pending updates as fit.
    pub(super) fn piggyback_message_with(
        &mut self,
        kind: GossipKind,
        number: u64,
        is_remote: bool,
        first: Option<MemberRecord>,
    ) -> GossipMessage {
        let mut updates = Vec::from_iter(first);
        let suspects = self.suspect_queue.next_updates(self.members.len() + 1);
        let reserved_bytes = self.evacuation.encoded_size() + suspects.len() * SUSPECT_UPDATE_BYTES;
        let (fleet_size, local_size) = (self.members.len() + 1, self.local_size());
        let budget = MessageBudget { fleet_size, local_size, reserved_bytes, is_remote };
        let (own_record, members) = (&self.own_record, &self.members);
        let lookup = |host: &HostName| {
            let other = members.get(host).map(|known| &known.record);
            let record = if *host == own_record.host { Some(own_record) } else { other };
            record.map(|record| (record, record.is_in(&own_record.data_centre)))
        };
        self.updates.fill(&mut updates, &budget, lookup);
        GossipMessage { suspects, ..self.compose_message(kind, number, updates) }
    }

    /// Creates a message with the given updates.
    pub(super) fn compose_message(
        &self,
        kind: GossipKind,
        number: u64,
        updates: Vec<MemberRecord>,
    ) -> GossipMessage {
        GossipMessage {
            from: self.own_record.host.clone(),
            kind,
            number,
            revision: self.own_record.revision,
            digest: self.digest,
            evacuation: self.evacuation.clone(),
            blamed_hash: self.suspect_queue.blamed_hash(),
            suspects: Vec::new(),
            updates,
        }
    }
}
