//! Dissemination of requests that are suspected of crashing targets.
//!
//! Such a request may arrive again at any host within milliseconds. Therefore the daemon
//! that sees a crash notifies many others at once, and each daemon immediately relays a
//! notice that makes a request run alone or not at all. In a fleet of 295 daemons with a
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
use crate::decide::crash_suspects::{CrashSuspects, NoticeEffect};

/// Maximum size of an encoded notice, in bytes: a digest and two numbers.
pub(super) const NOTICE_BYTES: usize = 24;

/// Maximum number of notices that are piggybacked on a message.
const MAX_PIGGYBACKED: usize = 10;

/// Maximum number of notices in a datagram that has nothing else.
const MAX_PER_DATAGRAM: usize = 40;

/// Maximum number of notices in one reply to a daemon that blames other requests. If there
/// are more, a later reply carries others.
const MAX_BLAMED_REPLY: usize = 80;

/// Number of daemons to which a daemon relays an urgent notice.
///
/// With a fifth of them in other data centres, each of 295 daemons gets the notice from four
/// others on average.
const URGENT_FANOUT: PeerCounts = PeerCounts { local: 4, remote: 1 };

/// Shortest time between two replies to daemons that blame other requests.
///
/// After a network partition, some daemon of the other side gets a reply in each period and
/// relays the notices.
const BLAMED_REPLY_INTERVAL: MicroTime = MicroTime::from_millis(100);

/// The suspected requests, with the number of times that each notice was sent.
#[derive(Debug, Default)]
pub(super) struct SuspectUpdates {
    book: CrashSuspects,
    send_counts: HashMap<RequestDigest, u32>,
    next_blamed_reply: MicroTime,
}

impl SuspectUpdates {
    /// Returns a hash of the blamed requests, to detect differences.
    pub(super) const fn blamed_hash(&self) -> u64 {
        self.book.blamed_hash()
    }

    /// Merges a notice; returns whether it was new.
    fn merge(&mut self, now: MicroTime, notice: SuspectUpdate) -> bool {
        let effect = self.book.merge(now, notice);
        match effect {
            NoticeEffect::New => _ = self.send_counts.insert(notice.digest, 0),
            NoticeEffect::Known => {
                if let Some(sent) = self.send_counts.get_mut(&notice.digest) {
                    *sent += SENDS_PER_RECEIPT;
                }
            }
            // The sender has to get the newer record.
            NoticeEffect::Outdated => _ = self.send_counts.entry(notice.digest).or_insert(0),
        }
        effect == NoticeEffect::New
    }

    /// Returns the notices to piggyback on a message, those with the most crashes first, and
    /// counts them as sent.
    pub(super) fn next_notices(&mut self, fleet: usize) -> Vec<SuspectUpdate> {
        let limit = spread_limit(fleet);
        let book = &self.book;
        self.send_counts.retain(|digest, sent| {
            *sent < limit && book.record(*digest) != SuspectRecord::default()
        });
        let mut order: Vec<(Reverse<u8>, u32, RequestDigest)> = self
            .send_counts
            .iter()
            .map(|(digest, sent)| (Reverse(book.record(*digest).crashes), *sent, *digest))
            .collect();
        order.sort_unstable();
        let mut notices = Vec::new();
        for (_, sent, digest) in order.into_iter().take(MAX_PIGGYBACKED) {
            self.send_counts.insert(digest, sent + 1);
            notices.push(SuspectUpdate { digest, record: self.book.record(digest) });
        }
        notices
    }
}

impl MembershipState {
    /// Returns the suspected requests.
    #[must_use]
    pub const fn suspects(&self) -> &CrashSuspects {
        &self.suspect_updates.book
    }

    /// Merges notices and relays new ones.
    pub(super) fn merge_suspect_notices(
        &mut self,
        now: MicroTime,
        notices: &[SuspectUpdate],
        first_hand: bool,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        let mut new_notices = notices.to_vec();
        new_notices.retain(|notice| self.suspect_updates.merge(now, *notice));
        if new_notices.is_empty() {
            return;
        }
        out.push(MembershipAction::SuspectRequestsChanged(new_notices.clone()));
        // A first crash makes many requests suspect, nearly all of them innocent and soon
        // cleared: the daemon that saw the crash notifies others once; beyond that, the
        // notices only spread by gossip.
        let urgent =
            |record: SuspectRecord| record.runs_alone() || (first_hand && record.is_suspected());
        new_notices.retain(|notice| urgent(notice.record));
        if new_notices.is_empty() {
            return;
        }
        let peers = if first_hand {
            self.sample_fanout(CHANGE_FANOUT, rng)
        } else {
            self.sample_up(URGENT_FANOUT, &self.own.host, rng)
        };
        self.send_suspects(peers, &new_notices, out);
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
        if blamed_hash == self.suspect_updates.blamed_hash()
            || now < self.suspect_updates.next_blamed_reply
        {
            return;
        }
        self.suspect_updates.next_blamed_reply = now + BLAMED_REPLY_INTERVAL;
        let mut blamed = self.suspect_updates.book.blamed();
        blamed.shuffle(rng);
        blamed.truncate(MAX_BLAMED_REPLY);
        if blamed.is_empty() {
            // The empty notice carries the hash of no blamed requests, so the other daemon
            // replies with those that it blames.
            self.send_notices(vec![from], &[], out);
        }
        self.send_suspects(vec![from], &blamed, out);
    }

    /// Sends notices of suspected requests to some daemons.
    fn send_suspects(
        &mut self,
        peers: Vec<SocketAddr>,
        notices: &[SuspectUpdate],
        out: &mut Vec<MembershipAction>,
    ) {
        for to in peers {
            for part in notices.chunks(MAX_PER_DATAGRAM) {
                self.last_number += 1;
                let base = self.compose_message(GossipKind::Notice, self.last_number, Vec::new());
                let message = GossipMessage { suspects: part.to_vec(), ..base };
                out.push(MembershipAction::Send { to, message });
            }
        }
    }
}
