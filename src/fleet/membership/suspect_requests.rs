//! Dissemination of requests that are suspected of crashing targets.
//!
//! Such a request may arrive again at any host within milliseconds. Therefore the daemon
//! that sees a crash notifies many others at once, and each daemon immediately relays an
//! update that makes a request run alone or not at all. In a fleet of 295 daemons with a
//! twentieth of the datagrams lost, the last daemon knows a blamed request well within the
//! three seconds in which copies may still arrive (docs/design/crashing-requests.md has the
//! calculation).

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;

use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use super::dissemination::{CHANGE_FANOUT, PeerCounts};
use super::update_queue::{SENDS_PER_RECEIPT, spread_limit};
use super::{MembershipAction, MembershipState};
use crate::base::clock::MicroTime;
use crate::base::digest::RequestDigest;
use crate::base::member::{GossipKind, GossipMessage};
use crate::base::suspect::{SuspectRecord, SuspectUpdate};
use crate::decide::crash_suspects::{CrashSuspects, MergeEffect};

/// Maximum size of an encoded update, in bytes: a digest and two numbers.
pub(super) const SUSPECT_UPDATE_BYTES: usize = 24;

/// Maximum number of updates that are piggybacked on a message.
const MAX_PIGGYBACKED: usize = 10;

/// Maximum number of updates in a datagram that carries nothing else.
const MAX_PER_DATAGRAM: usize = 40;

/// Maximum number of updates in one reply to a daemon that blames other requests. If more
/// requests are blamed, each reply carries a random selection of them.
const MAX_BLAMED_REPLY: usize = 80;

/// Number of daemons to which a daemon relays an urgent update.
///
/// With a fifth of them in other data centres, each of 295 daemons gets the update from four
/// others on average.
const URGENT_FANOUT: PeerCounts = PeerCounts { local: 4, remote: 1 };

/// Minimum time between two replies to daemons that blame other requests.
///
/// After a network partition, some daemon of the other side gets a reply in each period and
/// relays the updates.
const BLAMED_REPLY_INTERVAL: MicroTime = MicroTime::from_millis(100);

/// The suspected requests, with the number of times that an update of each was sent.
#[derive(Debug, Default)]
pub(super) struct SuspectQueue {
    suspects: CrashSuspects,
    send_counts: HashMap<RequestDigest, u32>,
    next_blamed_reply: MicroTime,
}

impl SuspectQueue {
    /// Returns a hash of the blamed requests, to detect differences.
    pub(super) const fn blamed_hash(&self) -> u64 {
        self.suspects.blamed_hash()
    }

    /// Merges an update; returns whether it was new.
    fn merge(&mut self, now: MicroTime, update: SuspectUpdate) -> bool {
        let effect = self.suspects.merge(now, update);
        match effect {
            MergeEffect::New => _ = self.send_counts.insert(update.digest, 0),
            MergeEffect::Known => {
                if let Some(sent) = self.send_counts.get_mut(&update.digest) {
                    *sent += SENDS_PER_RECEIPT;
                }
            }
            // The sender has to get the newer record.
            MergeEffect::Outdated => _ = self.send_counts.entry(update.digest).or_insert(0),
        }
        effect == MergeEffect::New
    }

    /// Returns the updates to piggyback on a message, those with the most crashes first, and
    /// counts them as sent.
    pub(super) fn next_updates(&mut self, fleet_size: usize) -> Vec<SuspectUpdate> {
        let limit = spread_limit(fleet_size);
        let suspects = &self.suspects;
        self.send_counts.retain(|digest, sent| {
            *sent < limit && suspects.record(*digest) != SuspectRecord::default()
        });
        let mut order: Vec<(Reverse<u8>, u32, RequestDigest)> = self
            .send_counts
            .iter()
            .map(|(digest, sent)| (Reverse(suspects.record(*digest).crashes), *sent, *digest))
            .collect();
        order.sort_unstable();
        let mut updates = Vec::new();
        for (_, sent, digest) in order.into_iter().take(MAX_PIGGYBACKED) {
            self.send_counts.insert(digest, sent + 1);
            updates.push(SuspectUpdate { digest, record: self.suspects.record(digest) });
        }
        updates
    }
}

impl MembershipState {
    /// Returns the suspected requests.
    #[must_use]
    pub const fn suspects(&self) -> &CrashSuspects {
        &self.suspect_queue.suspects
    }

    /// Merges updates and relays new ones.
    pub(super) fn merge_suspect_updates(
        &mut self,
        now: MicroTime,
        updates: &[SuspectUpdate],
        first_hand: bool,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        let mut new_updates = updates.to_vec();
        new_updates.retain(|update| self.suspect_queue.merge(now, *update));
        if new_updates.is_empty() {
            return;
        }
        out.push(MembershipAction::SuspectRequestsChanged(new_updates.clone()));
        // A first crash makes many requests suspect, nearly all of them innocent and soon
        // cleared: the daemon that saw the crash notifies others once; beyond that, the
        // updates only spread by gossip.
        let urgent =
            |record: SuspectRecord| record.runs_alone() || (first_hand && record.is_suspected());
        new_updates.retain(|update| urgent(update.record));
        if new_updates.is_empty() {
            return;
        }
        let peers = if first_hand {
            self.sample_fanout(CHANGE_FANOUT, rng)
        } else {
            self.sample_up(URGENT_FANOUT, &self.own_record.host, rng)
        };
        self.send_suspects(peers, &new_updates, out);
    }

    /// Replies to a daemon that blames other requests with the requests blamed here.
    pub(super) fn reply_to_blamed_hash(
        &mut self,
        now: MicroTime,
        from: SocketAddr,
        blamed_hash: u64,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        if blamed_hash == self.suspect_queue.blamed_hash()
            || now < self.suspect_queue.next_blamed_reply
        {
            return;
        }
        self.suspect_queue.next_blamed_reply = now + BLAMED_REPLY_INTERVAL;
        let mut blamed = self.suspect_queue.suspects.blamed();
        blamed.shuffle(rng);
        blamed.truncate(MAX_BLAMED_REPLY);
        if blamed.is_empty() {
            // The empty notice carries the hash of an empty set of blamed requests, so the
            // other daemon replies with those that it blames.
            self.send_notices(vec![from], &[], out);
        }
        self.send_suspects(vec![from], &blamed, out);
    }

    /// Sends updates on suspected requests to some daemons, in notices of their own.
    fn send_suspects(
        &mut self,
        peers: Vec<SocketAddr>,
        updates: &[SuspectUpdate],
        out: &mut Vec<MembershipAction>,
    ) {
        for to in peers {
            for part in updates.chunks(MAX_PER_DATAGRAM) {
                self.last_number += 1;
                let base = self.compose_message(GossipKind::Notice, self.last_number, Vec::new());
                let message = GossipMessage { suspects: part.to_vec(), ..base };
                out.push(MembershipAction::Send { to, message });
            }
        }
    }
}
