//! Telling others: notices at once, messages filled with updates, whole exchanges.

use std::net::SocketAddr;

use rand::RngExt;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use super::suspicion::NOTICE_BYTES;
use super::updates::MessageRoom;
use super::{MembershipAction, MembershipState};
use crate::base::clock::MicroTime;
use crate::base::ids::HostName;
use crate::base::member::{GossipKind, GossipMessage, MemberRecord};

/// Updates still to be spread from which on a full exchange is cheaper: more
/// than gossip carries in two periods.
const BULK_UPDATES: usize = 32;

/// Least time between two full exchanges that one daemon starts while it has
/// that much to spread. Each doubles what it knows, or more: all that start at once
/// know each other after 6 s, by gossip alone after 56 s.
const BULK_SYNC_EVERY: MicroTime = MicroTime::from_millis(500);

/// Daemons of a data centre that exchange everything with other data centres in
/// [`FAR_SYNC_EVERY`], on average: what one learns so its neighbours learn from it.
const FAR_SYNCERS: f64 = 8.0;

/// Least time between two full exchanges of one daemon with other data centres: gossip
/// carries what is new there, an exchange is for what it lost.
const FAR_SYNC_EVERY: MicroTime = MicroTime::from_millis(15_000);

/// Time for which another data centre must know something else until everything is
/// exchanged: gossip has told it by then, or lost it.
const FAR_DIFFERS_FOR: MicroTime = MicroTime::from_millis(3_000);

/// Time after the start until the first of them: by then neighbours have told all
/// that they know, and only the rest has to cross.
pub(super) const FIRST_FAR_SYNC: MicroTime = MicroTime::from_millis(3_000);

/// Least time between two full exchanges that one daemon starts, 0.3 kB/s of it
/// while the fleet is calm.
const SYNC_EVERY: MicroTime = MicroTime::from_millis(5_000);

/// Other daemons up to which all are told at once, of changes and of revisions.
///
/// With ten of 13 lost at once, telling a few took up to 2.6 s until the rest had a
/// revision of that moment: the few were among the lost.
const SMALL_FLEET: usize = 24;

/// Daemons that are told at once of a change that a daemon makes itself, in the
/// own data centre and in others.
///
/// It is where gossip starts from: some in each data centre.
pub(super) const NOTIFIED_AT_ONCE: PeerCounts = PeerCounts { near: 16, far: 8 };

/// Neighbours that hear at once what another data centre told of itself.
pub(super) const RELAYED: PeerCounts = PeerCounts { near: 8, far: 0 };

/// Daemons that each daemon tells at once of a revision that it adopts.
///
/// So it is known everywhere after a few steps, whoever heard of it first, and
/// mostly fetched from a neighbour.
pub(super) const NOTIFIED_OF_REVISION: PeerCounts = PeerCounts { near: 3, far: 1 };

/// So many daemons of the own data centre and of others.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerCounts {
    pub(super) near: usize,
    pub(super) far: usize,
}

impl MembershipState {
    /// Tells some daemons what every message says: that a newer revision is in force
    /// here, or which data centres are evacuated.
    pub(super) fn notify_of_revision(
        &mut self,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        let peers = self.sample_notified(NOTIFIED_OF_REVISION, rng);
        self.notify(peers, &[], out);
    }

    /// Exchanges everything with who knows something else, unless gossip will do.
    pub(super) fn sync_with(
        &mut self,
        now: MicroTime,
        host: &HostName,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        let Some(known) = self.members.get(host) else { return };
        let left = self.updates_left();
        let bulk = left >= BULK_UPDATES;
        if now < self.next_sync || !(bulk || left == 0) {
            return;
        }
        let near = known.record.is_in(&self.own.data_centre);
        if !near {
            let differs = *self.far_differs.get_or_insert(now);
            if now < self.next_far_sync || now.since(differs) < FAR_DIFFERS_FOR {
                return;
            }
            self.next_far_sync = now + FAR_SYNC_EVERY;
            let in_turn = FAR_SYNCERS / self.near_size() as f64;
            if !rng.random_bool(in_turn.min(1.0)) {
                return;
            }
        }
        self.next_sync = now + if bulk { BULK_SYNC_EVERY } else { SYNC_EVERY };
        // Not where the datagram came from: that may be a translated address.
        out.push(MembershipAction::Sync { peer: known.record.peer });
    }

    /// Tells strangers of this daemon, as many as it may at its start.
    pub(super) fn introduce(&mut self, strangers: &[HostName], out: &mut Vec<MembershipAction>) {
        let mut peers = Vec::new();
        for host in strangers {
            let Some(known) = self.members.get(host) else { continue };
            let near = known.record.is_in(&self.own.data_centre);
            let left = &mut self.introductions;
            let left = if near { &mut left.near } else { &mut left.far };
            if *left > 0 {
                *left -= 1;
                peers.push(known.record.peer);
            }
        }
        self.notify_of_own(peers, out);
    }

    /// Tells some daemons of this one.
    pub(super) fn notify_of_own(
        &mut self,
        peers: Vec<SocketAddr>,
        out: &mut Vec<MembershipAction>,
    ) {
        let own = self.own.clone();
        self.notify(peers, std::slice::from_ref(&own), out);
    }

    /// Sends something to some daemons, without waiting for their turn.
    pub(super) fn notify(
        &mut self,
        peers: Vec<SocketAddr>,
        updates: &[MemberRecord],
        out: &mut Vec<MembershipAction>,
    ) {
        for to in peers {
            self.number += 1;
            let message = self.envelope(GossipKind::Notice, self.number, updates.to_vec());
            out.push(MembershipAction::Send { to, message });
        }
    }

    pub(super) fn notify_some(&mut self, rng: &mut Pcg64Mcg, out: &mut Vec<MembershipAction>) {
        let peers = self.sample_notified(NOTIFIED_AT_ONCE, rng);
        self.notify_of_own(peers, out);
    }

    /// Draws those that are told at once: all of a small fleet.
    pub(super) fn sample_notified(
        &self,
        counts: PeerCounts,
        rng: &mut Pcg64Mcg,
    ) -> Vec<SocketAddr> {
        let all = PeerCounts { near: usize::MAX, far: usize::MAX };
        let small = self.members.len() <= SMALL_FLEET;
        self.sample_up(if small { all } else { counts }, &self.own.host, rng)
    }

    /// Draws some daemons that are up.
    pub(super) fn sample_up(
        &self,
        counts: PeerCounts,
        but: &HostName,
        rng: &mut Pcg64Mcg,
    ) -> Vec<SocketAddr> {
        let members = self.members.values().map(|known| &known.record);
        let up = members.filter(|record| record.is_up() && record.host != *but);
        let (mut near, mut far): (Vec<&MemberRecord>, Vec<&MemberRecord>) =
            up.partition(|record| record.is_in(&self.own.data_centre));
        let (near, _) = near.partial_shuffle(rng, counts.near);
        let (far, _) = far.partial_shuffle(rng, counts.far);
        near.iter().chain(far.iter()).map(|record| record.peer).collect()
    }

    /// Makes a message with as many updates as fit; `crosses` tells whether it goes to
    /// another data centre.
    pub(super) fn message(
        &mut self,
        kind: GossipKind,
        number: u64,
        crosses: bool,
    ) -> GossipMessage {
        self.message_with(kind, number, crosses, None)
    }

    /// Makes a message with a record and as many updates as fit behind it.
    pub(super) fn message_with(
        &mut self,
        kind: GossipKind,
        number: u64,
        crosses: bool,
        first: Option<MemberRecord>,
    ) -> GossipMessage {
        let mut updates = Vec::from_iter(first);
        let suspects = self.suspicions.fill(self.members.len() + 1);
        let reserved = self.evacuation.encoded_size() + suspects.len() * NOTICE_BYTES;
        let (fleet, near) = (self.members.len() + 1, self.near_size());
        let room = MessageRoom { fleet, near, reserved, crosses };
        let (own, members) = (&self.own, &self.members);
        let find = |host: &HostName| {
            let other = members.get(host).map(|known| &known.record);
            let record = if *host == own.host { Some(own) } else { other };
            record.map(|record| (record, record.is_in(&own.data_centre)))
        };
        self.updates.fill(&mut updates, &room, find);
        GossipMessage { suspects, ..self.envelope(kind, number, updates) }
    }

    pub(super) fn envelope(
        &self,
        kind: GossipKind,
        number: u64,
        updates: Vec<MemberRecord>,
    ) -> GossipMessage {
        GossipMessage {
            from: self.own.host.clone(),
            kind,
            number,
            revision: self.own.revision,
            digest: self.digest,
            evacuation: self.evacuation.clone(),
            blamed_hash: self.suspicions.blamed_hash(),
            suspects: Vec::new(),
            updates,
        }
    }
}
