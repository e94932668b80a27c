//! Handling of datagrams from other daemons.

use std::net::SocketAddr;

use rand_pcg::Pcg64Mcg;

use super::dissemination::RELAY_FANOUT;
use super::probing::ProxyProbe;
use super::{MembershipAction, MembershipState};
use crate::base::clock::MicroTime;
use crate::base::ids::HostName;
use crate::base::member::{GossipKind, GossipMessage, MemberRecord};

/// Maximum number of updates in a message from another data centre that are relayed at once.
const MAX_RELAYED: usize = 8;

impl MembershipState {
    /// Merges the content of a message and answers it.
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
        self.merge_suspect_updates(now, &suspects, false, rng, out);
        self.reply_to_blamed_hash(now, from, blamed_hash, rng, out);
        let sender_is_outdated =
            updates.iter().any(|record| self.loses_to_earlier_incarnation(&sender, record));
        let mut relayed = Vec::new();
        let sender_is_remote = self.is_remote_host(&sender);
        for record in updates {
            if sender_is_remote && relayed.len() < MAX_RELAYED && self.is_new_remote_record(&record)
            {
                relayed.push(record.clone());
            }
            self.apply(now, record, out);
        }
        if !relayed.is_empty() {
            let peers = self.sample_up(RELAY_FANOUT, &sender, rng);
            self.send_notices(peers, &relayed, out);
        }
        let newer_record = self.members.get(&sender).filter(|_| sender_is_outdated);
        let newer_record = newer_record.map(|known| known.record.clone());
        match kind {
            GossipKind::Ping => {
                let message = self.piggyback_message_with(
                    GossipKind::Ack,
                    number,
                    self.is_remote_host(&sender),
                    newer_record,
                );
                out.push(MembershipAction::Send { to: from, message });
            }
            GossipKind::PingFor { peer, .. } => {
                self.last_number += 1;
                let proxy = ProxyProbe {
                    requester: from,
                    request_number: number,
                    number: self.last_number,
                    sent_at: now,
                };
                self.proxies.push(proxy);
                let message = self.piggyback_message(GossipKind::Ping, self.last_number, true);
                out.push(MembershipAction::Send { to: peer, message });
            }
            GossipKind::Ack => self.handle_ack(&sender, number, out),
            GossipKind::AckFor { host } => self.complete_probe(&host, number),
            GossipKind::Notice => {
                if let Some(record) = newer_record {
                    let message = self.compose_message(GossipKind::Notice, number, vec![record]);
                    out.push(MembershipAction::Send { to: from, message });
                }
            }
        }
        if revision > self.own_record.revision
            && let Some(known) = self.members.get(&sender)
        {
            out.push(MembershipAction::FetchRevision { peer: known.record.peer });
        }
        if digest != self.digest {
            self.start_exchange_with(now, &sender, rng, out);
        } else if sender_is_remote {
            self.remote_differs_since = None;
        }
    }

    /// Returns whether a record is of another data centre and newer than the known one.
    fn is_new_remote_record(&self, record: &MemberRecord) -> bool {
        let known = self.members.get(&record.host);
        let is_newer = known.is_none_or(|known| record.supersedes(&known.record));
        is_newer && !record.is_in(&self.own_record.data_centre)
    }

    /// Returns whether a sender's own record is older than the known record of an earlier
    /// incarnation; the sender needs that record to refute it.
    fn loses_to_earlier_incarnation(&self, sender: &HostName, record: &MemberRecord) -> bool {
        let Some(known) = self.members.get(sender) else { return false };
        let other_incarnation = known.record.incarnation != record.incarnation;
        record.host == *sender && other_incarnation && !record.supersedes(&known.record)
    }
}
