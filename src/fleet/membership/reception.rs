//! What a datagram of another daemon changes, and how it is answered.

use std::net::SocketAddr;

use rand_pcg::Pcg64Mcg;

use super::dissemination::RELAYED;
use super::probing::ProxyProbe;
use super::{MembershipAction, MembershipState};
use crate::base::clock::MicroTime;
use crate::base::ids::HostName;
use crate::base::member::{GossipKind, GossipMessage, MemberRecord};

/// Updates of one message from another data centre that are passed on at once, at most.
const MAX_RELAYED: usize = 8;

impl MembershipState {
    pub(super) fn receive(
        &mut self,
        now: MicroTime,
        from: SocketAddr,
        message: GossipMessage,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        let GossipMessage { from: sender, kind, number, revision, digest, evacuation, .. } =
            message;
        let GossipMessage { blamed_hash, suspects, updates, .. } = message;
        self.merge_evacuation(evacuation, rng, out);
        self.merge_suspects(now, &suspects, false, rng, out);
        self.compare_blamed(now, from, blamed_hash, rng, out);
        let outdated = updates.iter().any(|record| self.is_outdated(&sender, record));
        let mut relayed = Vec::new();
        let crossed = self.crosses(&sender);
        for record in updates {
            if crossed && relayed.len() < MAX_RELAYED && self.is_far_update(&record) {
                relayed.push(record.clone());
            }
            self.learn(now, record, out);
        }
        if !relayed.is_empty() {
            let peers = self.sample_up(RELAYED, &sender, rng);
            self.notify(peers, &relayed, out);
        }
        let earlier = self.members.get(&sender).filter(|_| outdated);
        let earlier = earlier.map(|known| known.record.clone());
        match kind {
            GossipKind::Ping => {
                let message =
                    self.message_with(GossipKind::Ack, number, self.crosses(&sender), earlier);
                out.push(MembershipAction::Send { to: from, message });
            }
            GossipKind::PingFor { peer, .. } => {
                self.number += 1;
                let proxy = ProxyProbe {
                    asker: from,
                    asker_number: number,
                    number: self.number,
                    sent: now,
                };
                self.proxies.push(proxy);
                let message = self.message(GossipKind::Ping, self.number, true);
                out.push(MembershipAction::Send { to: peer, message });
            }
            GossipKind::Ack => self.acknowledge(&sender, number, out),
            GossipKind::AckFor { host } => self.close_probe(&host, number),
            GossipKind::Notice => {
                if let Some(record) = earlier {
                    let message = self.envelope(GossipKind::Notice, number, vec![record]);
                    out.push(MembershipAction::Send { to: from, message });
                }
            }
        }
        if revision > self.own.revision
            && let Some(known) = self.members.get(&sender)
        {
            out.push(MembershipAction::NewerRevision { peer: known.record.peer });
        }
        if digest != self.digest {
            self.sync_with(now, &sender, rng, out);
        } else if crossed {
            self.far_differs = None;
        }
    }

    /// Tells whether a record of another data centre says what was not known here.
    fn is_far_update(&self, record: &MemberRecord) -> bool {
        let known = self.members.get(&record.host);
        let is_new = known.is_none_or(|known| record.supersedes(&known.record));
        is_new && !record.is_in(&self.own.data_centre)
    }

    /// Tells whether a sender's own record loses against that of an earlier life,
    /// which it has to hear of to outbid it.
    fn is_outdated(&self, sender: &HostName, record: &MemberRecord) -> bool {
        let Some(known) = self.members.get(sender) else { return false };
        let earlier = known.record.incarnation != record.incarnation;
        record.host == *sender && earlier && !record.supersedes(&known.record)
    }
}
