//! Requests that are suspected of ending targets, on their way through the fleet.
//!
//! Pure. Answers load in which such a request comes again at any host within
//! milliseconds: who sees a crash tells many at once, and what makes a request run
//! alone, or not at all, every daemon passes on as soon as it hears it. Of 295 daemons,
//! a twentieth of the datagrams lost, the last knows a blamed request well within the
//! three seconds in which copies may still arrive (docs/design/crashing-requests.md has
//! the reckoning).

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;

use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use super::dissemination::{NOTIFIED_AT_ONCE, PeerCounts};
use super::updates::{HEARD_AS, spread_limit};
use super::{MembershipAction, MembershipState};
use crate::base::clock::MicroTime;
use crate::base::digest::RequestDigest;
use crate::base::member::{GossipKind, GossipMessage};
use crate::base::suspect::{SuspectRecord, SuspectUpdate};
use crate::decide::crash_book::{CrashBook, NoticeEffect};

/// Bytes of one notice in a datagram, at the most: a digest and two numbers.
pub(super) const NOTICE_BYTES: usize = 24;

/// Notices that travel on a message that is sent anyway.
const CARRIED: usize = 10;

/// Notices that fill a datagram of their own.
const PER_DATAGRAM: usize = 40;

/// Notices that answer one daemon at the most; of more, others come the next time.
const COMPARED: usize = 80;

/// Daemons that each daemon passes a grave notice on to. With a fifth of them in other
/// data centres each of 295 daemons gets it from four others on average.
const RELAYED_TO: PeerCounts = PeerCounts { near: 4, far: 1 };

/// Least time between two answers to daemons that blame other requests: some daemon of
/// a part that was cut off is answered in each period, and passes on what it learns.
const COMPARED_EVERY: MicroTime = MicroTime::from_millis(100);

/// The suspected requests, and how often each was told.
#[derive(Debug, Default)]
pub(super) struct SuspicionUpdates {
    book: CrashBook,
    sent: HashMap<RequestDigest, u32>,
    next_answer: MicroTime,
}

impl SuspicionUpdates {
    pub(super) const fn blamed_hash(&self) -> u64 {
        self.book.blamed_hash()
    }

    fn learn(&mut self, now: MicroTime, notice: SuspectUpdate) -> bool {
        let effect = self.book.learn(now, notice);
        match effect {
            NoticeEffect::New => _ = self.sent.insert(notice.digest, 0),
            NoticeEffect::Known => {
                if let Some(sent) = self.sent.get_mut(&notice.digest) {
                    *sent += HEARD_AS;
                }
            }
            // Who said it has to hear what came after.
            NoticeEffect::Outdated => _ = self.sent.entry(notice.digest).or_insert(0),
        }
        effect == NoticeEffect::New
    }

    /// Takes notices for a message, those of most crashes first.
    pub(super) fn fill(&mut self, fleet: usize) -> Vec<SuspectUpdate> {
        let limit = spread_limit(fleet);
        let book = &self.book;
        self.sent.retain(|digest, sent| {
            *sent < limit && book.standing(*digest) != SuspectRecord::default()
        });
        let mut order: Vec<(Reverse<u8>, u32, RequestDigest)> = self
            .sent
            .iter()
            .map(|(digest, sent)| (Reverse(book.standing(*digest).crashes), *sent, *digest))
            .collect();
        order.sort_unstable();
        let mut notices = Vec::new();
        for (_, sent, digest) in order.into_iter().take(CARRIED) {
            self.sent.insert(digest, sent + 1);
            notices.push(SuspectUpdate { digest, record: self.book.standing(digest) });
        }
        notices
    }
}

impl MembershipState {
    /// Returns what is known of suspected requests.
    #[must_use]
    pub const fn suspects(&self) -> &CrashBook {
        &self.suspicions.book
    }

    /// Takes notices; passes on what is new.
    pub(super) fn merge_suspects(
        &mut self,
        now: MicroTime,
        notices: &[SuspectUpdate],
        first_hand: bool,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        let mut fresh = notices.to_vec();
        fresh.retain(|notice| self.suspicions.learn(now, *notice));
        if fresh.is_empty() {
            return;
        }
        out.push(MembershipAction::Suspected(fresh.clone()));
        // A first crash suspects many, nearly all of them innocent and soon cleared: one
        // round of telling for the crash, and gossip for the rest.
        let urgent =
            |record: SuspectRecord| record.runs_alone() || (first_hand && record.is_suspected());
        fresh.retain(|notice| urgent(notice.record));
        if fresh.is_empty() {
            return;
        }
        let peers = if first_hand {
            self.sample_notified(NOTIFIED_AT_ONCE, rng)
        } else {
            self.sample_up(RELAYED_TO, &self.own.host, rng)
        };
        self.tell_suspects(peers, &fresh, out);
    }

    /// Answers a daemon that blames other requests with all that are blamed here.
    pub(super) fn compare_blamed(
        &mut self,
        now: MicroTime,
        from: SocketAddr,
        blamed_hash: u64,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        if blamed_hash == self.suspicions.blamed_hash() || now < self.suspicions.next_answer {
            return;
        }
        self.suspicions.next_answer = now + COMPARED_EVERY;
        let mut blamed = self.suspicions.book.blamed();
        blamed.shuffle(rng);
        blamed.truncate(COMPARED);
        if blamed.is_empty() {
            // The other one's turn: it hears from here that nothing is blamed.
            self.notify(vec![from], &[], out);
        }
        self.tell_suspects(vec![from], &blamed, out);
    }

    fn tell_suspects(
        &mut self,
        peers: Vec<SocketAddr>,
        notices: &[SuspectUpdate],
        out: &mut Vec<MembershipAction>,
    ) {
        for to in peers {
            for part in notices.chunks(PER_DATAGRAM) {
                self.number += 1;
                let envelope = self.envelope(GossipKind::Notice, self.number, Vec::new());
                let message = GossipMessage { suspects: part.to_vec(), ..envelope };
                out.push(MembershipAction::Send { to, message });
            }
        }
    }
}
