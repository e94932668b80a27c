//! Handling of datagrams from other daemons.

use std::net::SocketAddr;

use rand_pcg::Pcg64Mcg;

use super::dissemination::RELAY_FANOUT;
use super::probing::ProxyProbe;
use super::{MembershipAction, MembershipState};
use crate::base::clock::MicroTime;
use crate::base::ids::HostName;
use crate::base::member::{GossipKind, GossipMessage, MemberRecord, MemberState};

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
        let sender_is_outdated = updates.iter().any(|record| self.is_outdated(&sender, record));
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

    /// Refutes a wrong record of the own host, from a daemon that suspects this one, from an
    /// earlier incarnation or from another writer, by raising the own version above it.
    pub(super) fn refute_record(&mut self, record: &MemberRecord, out: &mut Vec<MembershipAction>) {
        let is_wrong = record.incarnation != self.own_record.incarnation
            || record.state != self.own_record.state
            || record.version > self.own_record.version;
        if !is_wrong || self.own_record.state == MemberState::Left {
            return;
        }
        if record.version < self.own_record.version {
            // This was refuted before, but the refutation did not reach all daemons.
            self.updates.enqueue(&self.own_record.host);
            return;
        }
        let version = record.version.saturating_add(1);
        self.update_own_record(|own| own.version = version);
        out.push(MembershipAction::ViewChanged);
        self.refutation_due = true;
    }

    /// Returns whether a record is of another data centre and newer than the known one.
    fn is_new_remote_record(&self, record: &MemberRecord) -> bool {
        let known = self.members.get(&record.host);
        let is_newer = known.is_none_or(|known| record.supersedes(&known.record));
        is_newer && !record.is_in(&self.own_record.data_centre)
    }

    /// Returns whether a sender's own record is older than the known one of its host; the sender
    /// needs that one to refute it, if it is of an earlier incarnation or of another writer.
    fn is_outdated(&self, sender: &HostName, record: &MemberRecord) -> bool {
        let Some(known) = self.members.get(sender) else { return false };
        let is_other =
            known.record.incarnation != record.incarnation || known.record.version > record.version;
        record.host == *sender && is_other && !record.supersedes(&known.record)
    }
}
