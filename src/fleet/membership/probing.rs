//! Failure detection: direct and indirect probes, suspicion, death, and probes of dead
//! members.

use std::net::SocketAddr;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::dissemination::{FIRST_REMOTE_EXCHANGE_DELAY, PeerCounts};
use super::{MembershipAction, MembershipState};
use crate::base::clock::MicroTime;
use crate::base::consts::{GOSSIP_PERIOD, SUSPECT_PERIODS};
use crate::base::ids::HostName;
use crate::base::member::{GossipKind, MemberRecord, MemberState};

/// Number of daemons that are asked for an indirect probe; one is in another data centre,
/// so that its probe takes another network path.
const INDIRECT_PROBERS: PeerCounts = PeerCounts { local: 2, remote: 1 };

/// Maximum number of members that are probed at the same time because calls could not reach
/// them.
///
/// With four, a fleet that has lost half of its hosts probes each lost host within a period,
/// while a daemon that is itself cut off suspects only a few members.
const MAX_UNREACHED_PROBES: usize = 4;

/// Maximum wait for the answer to the probe of a member that a call could not reach.
const UNREACHED_PROBE_TIMEOUT: MicroTime = MicroTime::from_millis(250);

/// Periods between two probes of a dead member.
const DEAD_PROBE_PERIODS: u64 = 2;

/// Time for which the record of a dead member is kept: longer than network partitions are
/// expected to last.
const DEAD_RETENTION: MicroTime = MicroTime::from_millis(4 * 3_600_000);

/// Time for which the record of a member that has left is kept.
const LEFT_RETENTION: MicroTime = MicroTime::from_millis(600_000);

/// A probe that is not answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingProbe {
    pub(super) host: HostName,
    pub(super) number: u64,
    pub(super) sent_at: MicroTime,
    /// Whether other daemons were asked for an indirect probe.
    pub(super) indirect: bool,
}

/// A probe on behalf of another daemon.
#[derive(Clone, Debug)]
pub(super) struct ProxyProbe {
    /// Address of the daemon that asked for the probe, and the number of its message.
    pub(super) requester: SocketAddr,
    pub(super) request_number: u64,
    pub(super) number: u64,
    pub(super) sent_at: MicroTime,
}

impl MembershipState {
    /// Handles the passing of time: starts and ends probes and periods.
    pub(super) fn tick(
        &mut self,
        now: MicroTime,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        self.send_indirect_probes(now, rng, out);
        self.expire_unreached_probes(now, out);
        if now < self.next_period {
            return;
        }
        self.next_period = now + GOSSIP_PERIOD.into();
        if self.period == 0 {
            // A new daemon first gets records from its own data centre.
            self.next_remote_exchange = now + FIRST_REMOTE_EXCHANGE_DELAY;
        }
        self.period += 1;
        self.expire_probe(now, out);
        self.expire_states(now, out);
        self.probe_next_member(now, rng, out);
        if self.period.is_multiple_of(DEAD_PROBE_PERIODS) {
            self.probe_dead_member(rng, out);
        }
    }

    /// Probes a member at once after a call could not reach it.
    ///
    /// The earlier suspicion keeps other daemons from sending calls to a lost host: with 48
    /// of 95 hosts lost, 400 of 3,760 calls went to lost hosts, and 769 with regular probes
    /// alone (`tests/suspect_hosts.rs`).
    pub(super) fn probe_unreached(
        &mut self,
        now: MicroTime,
        host: HostName,
        out: &mut Vec<MembershipAction>,
    ) {
        let Some(known) = self.members.get(&host) else { return };
        let is_pending = self.unreached_probes.iter().any(|probe| probe.host == host);
        let is_alive = known.record.state == MemberState::Alive;
        if !is_alive || is_pending || self.unreached_probes.len() >= MAX_UNREACHED_PROBES {
            return;
        }
        let to = known.record.peer;
        self.last_number += 1;
        let number = self.last_number;
        let is_remote = self.is_remote_host(&host);
        self.unreached_probes.push(PendingProbe { host, number, sent_at: now, indirect: false });
        let message = self.piggyback_message(GossipKind::Ping, number, is_remote);
        out.push(MembershipAction::Send { to, message });
    }

    /// Suspects the members that calls could not reach and that did not answer the probe.
    fn expire_unreached_probes(&mut self, now: MicroTime, out: &mut Vec<MembershipAction>) {
        let is_late = |probe: &PendingProbe| now.since(probe.sent_at) >= UNREACHED_PROBE_TIMEOUT;
        let late: Vec<PendingProbe> =
            self.unreached_probes.extract_if(.., |probe| is_late(probe)).collect();
        for probe in late {
            self.suspect(now, &probe.host, out);
        }
    }

    /// Asks other daemons for indirect probes if the answer to the probe is late.
    fn send_indirect_probes(
        &mut self,
        now: MicroTime,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        let timeout = MicroTime::from(GOSSIP_PERIOD / 2);
        let Some(probe) = &mut self.pending_probe else { return };
        if probe.indirect || now.since(probe.sent_at) < timeout {
            return;
        }
        probe.indirect = true;
        let (host, number) = (probe.host.clone(), probe.number);
        let Some(known) = self.members.get(&host) else { return };
        let peer = known.record.peer;
        let others = self.sample_up(INDIRECT_PROBERS, &host, rng);
        let kind = GossipKind::PingFor { host, peer };
        for to in others {
            let message = self.piggyback_message(kind.clone(), number, true);
            out.push(MembershipAction::Send { to, message });
        }
    }

    /// Suspects the probed member if it has not answered by the end of the period.
    fn expire_probe(&mut self, now: MicroTime, out: &mut Vec<MembershipAction>) {
        let Some(probe) = self.pending_probe.take() else { return };
        self.suspect(now, &probe.host, out);
    }

    /// Marks an alive member as suspected.
    fn suspect(&mut self, now: MicroTime, host: &HostName, out: &mut Vec<MembershipAction>) {
        let Some(known) = self.members.get(host) else { return };
        if known.record.state != MemberState::Alive {
            return;
        }
        let mut record = known.record.clone();
        record.state = MemberState::Suspect;
        self.merge(now, record, out);
    }

    /// Declares members dead that were suspected for too long, and removes members that have
    /// been dead or have left for long.
    fn expire_states(&mut self, now: MicroTime, out: &mut Vec<MembershipAction>) {
        let timeout = MicroTime::from(GOSSIP_PERIOD * SUSPECT_PERIODS);
        let mut expired = Vec::new();
        let mut stale = Vec::new();
        for known in self.members.values() {
            let age = now.since(known.updated_at);
            match known.record.state {
                MemberState::Suspect if age >= timeout => expired.push(known.record.clone()),
                MemberState::Dead if age >= DEAD_RETENTION => stale.push(known.record.host.clone()),
                MemberState::Left if age >= LEFT_RETENTION => stale.push(known.record.host.clone()),
                _ => {}
            }
        }
        for mut record in expired {
            record.state = MemberState::Dead;
            self.merge(now, record, out);
        }
        for host in stale {
            if let Some(known) = self.members.remove(&host) {
                self.digest ^= known.record.digest();
            }
        }
        let proxy_timeout = MicroTime::from(GOSSIP_PERIOD * 4);
        self.proxies.retain(|proxy| now.since(proxy.sent_at) < proxy_timeout);
    }

    /// Sends the probe of this period.
    fn probe_next_member(
        &mut self,
        now: MicroTime,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<MembershipAction>,
    ) {
        let centre = &self.own_record.data_centre;
        let next = self.probe_order.next(now, self.period, centre, &self.members, rng);
        let Some(host) = next else { return };
        let Some(known) = self.members.get(&host) else { return };
        let to = known.record.peer;
        // The suspected member gets the record, so that it can refute it.
        let suspicion = known.record.is_suspect().then(|| known.record.clone());
        self.last_number += 1;
        let number = self.last_number;
        let is_remote = self.is_remote_host(&host);
        self.pending_probe = Some(PendingProbe { host, number, sent_at: now, indirect: false });
        let message = self.piggyback_message_with(GossipKind::Ping, number, is_remote, suspicion);
        out.push(MembershipAction::Send { to, message });
    }

    /// Probes a random dead member.
    fn probe_dead_member(&mut self, rng: &mut Pcg64Mcg, out: &mut Vec<MembershipAction>) {
        let dead: Vec<&MemberRecord> = self
            .members
            .values()
            .map(|known| &known.record)
            .filter(|record| record.state == MemberState::Dead)
            .collect();
        if dead.is_empty() {
            return;
        }
        let record = dead[rng.random_range(0..dead.len())].clone();
        self.last_number += 1;
        let to = record.peer;
        // The first record tells the member that it was declared dead, so that it can refute it.
        let updates = vec![record, self.own_record.clone()];
        let message = self.compose_message(GossipKind::Ping, self.last_number, updates);
        out.push(MembershipAction::Send { to, message });
    }

    /// Completes the answered probe; if it was made on behalf of another daemon, informs that
    /// daemon.
    pub(super) fn handle_ack(
        &mut self,
        sender: &HostName,
        number: u64,
        out: &mut Vec<MembershipAction>,
    ) {
        self.complete_probe(sender, number);
        let Some(index) = self.proxies.iter().position(|proxy| proxy.number == number) else {
            return;
        };
        let proxy = self.proxies.swap_remove(index);
        let kind = GossipKind::AckFor { host: sender.clone() };
        let message = self.piggyback_message(kind, proxy.request_number, true);
        out.push(MembershipAction::Send { to: proxy.requester, message });
    }

    /// Removes the probe that was answered.
    pub(super) fn complete_probe(&mut self, host: &HostName, number: u64) {
        let answered = |probe: &PendingProbe| probe.number == number && probe.host == *host;
        if self.pending_probe.as_ref().is_some_and(answered) {
            self.pending_probe = None;
        }
        self.unreached_probes.retain(|probe| !answered(probe));
    }
}
