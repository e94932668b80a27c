//! Joining of the fleet: fetching records and a revision from some peers before the entry serves.

use std::net::SocketAddr;
use std::rc::Rc;

use futures::StreamExt;
use rand::seq::SliceRandom;
use slog::info;
use tokio::task::spawn_local;

use super::PeersDuty;
use crate::base::member::{FleetView, MemberRecord};
use crate::duty::events::EntryEvent;
use crate::fleet::membership::MembershipEvent;

/// Number of peers from which a new daemon fetches records and revisions when it joins.
const JOIN_PEERS: usize = 3;

impl PeersDuty {
    /// Joins through a peer that sent a message, if the store's rows were not read yet.
    pub(super) fn join_if_discovered(self: &Rc<Self>) {
        let discovered = !*self.joined.borrow() && self.membership.borrow().knows_others();
        if discovered && !*self.joining.borrow() {
            spawn_local(Rc::clone(self).join(Vec::new(), false));
        }
    }

    /// Merges the members from the store and fetches records and revisions from some peers.
    ///
    /// The entry may serve at once if `reached`, that is, if the store was read; otherwise
    /// once the first peer has replied.
    pub(super) async fn join(self: Rc<Self>, members: Vec<MemberRecord>, reached: bool) {
        self.joining.replace(true);
        self.step(MembershipEvent::RecordsReceived(members));
        self.bootstrapped.set(true);
        let view = self.membership.borrow().view();
        let (local_count, peers) = self.join_candidates(&view);
        // Without the store, the newest revision of some peers is used, local or remote.
        let peers_needed = if reached { local_count.clamp(1, JOIN_PEERS) } else { JOIN_PEERS };
        if reached {
            // If no peer provides a revision in time, the platform duty reads it.
            self.finish_join(0, 0);
        }
        let mut peers_read = 0;
        let mut newest = 0;
        let fetches =
            peers.into_iter().map(|peer| Rc::clone(&self).fetch_records_and_revision(peer));
        let mut revisions = futures::stream::iter(fetches).buffer_unordered(JOIN_PEERS);
        while let Some(revision) = revisions.next().await {
            let Some(revision) = revision else { continue };
            peers_read += 1;
            newest = newest.max(revision);
            self.finish_join(peers_read, newest);
            if peers_read >= peers_needed {
                break;
            }
        }
        self.joining.replace(false);
    }

    /// Returns the peers to fetch from, in order, and the number of local ones.
    ///
    /// Local peers come first, to keep traffic between data centres low.
    fn join_candidates(&self, view: &FleetView) -> (usize, Vec<SocketAddr>) {
        // The first member of the view is this daemon.
        let Some((own, others)) = view.members.split_first() else { return Default::default() };
        let up = others.iter().filter(|member| member.is_up());
        let (local, remote): (Vec<_>, Vec<_>) =
            up.partition(|member| member.is_in(&own.data_centre));
        let mut local: Vec<SocketAddr> = local.iter().map(|member| member.peer).collect();
        let remote = remote.iter().map(|member| member.peer);
        let mut remote: Vec<SocketAddr> =
            remote.chain(self.seed_addresses.iter().copied()).collect();
        let mut rng = self.rng.borrow_mut();
        local.shuffle(&mut *rng);
        remote.shuffle(&mut *rng);
        (local.len(), local.into_iter().chain(remote).collect())
    }

    /// Lets the entry serve with the given revision or a later one.
    fn finish_join(&self, peers_read: usize, least_revision: u64) {
        if !self.joined.replace(true) {
            // The entry needs the members before it serves.
            self.publish_view();
            info!(self.logger, "joined the fleet"; "peers" => peers_read,
                "least_revision" => least_revision);
            self.unreported_join.set(Some(least_revision));
            self.report_join();
        }
    }

    /// Tells the entry that it may serve; repeated if a ring was full.
    pub(super) fn report_join(&self) {
        let Some(least_revision) = self.unreported_join.get() else { return };
        if self.rings.entry.push(EntryEvent::Joined { least_revision }).is_ok() {
            self.unreported_join.set(None);
        }
    }
}
