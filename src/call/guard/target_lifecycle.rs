//! Announcements, drains and ends of a guard's targets, and the leases that follow from them.
//!
//! Invariants: a target's queue is open only while its lease is ready; every change of
//! readiness is published to the peers.

use slog::{info, warn};

use crate::base::clock::MicroTime;
use crate::base::ids::{ServiceName, TargetName};
use crate::base::member::AdvertisedTarget;
use crate::call::guard::GuardDuty;
use crate::call::guard::cold_targets::ColdSource;
use crate::call::guard::local_target::LocalTarget;
use crate::decide::target_incarnation::{HeartbeatVerdict, TargetIncarnation};
use crate::duty::events::PeersEvent;
use crate::duty::target_report::{TargetAnnouncement, TargetReport};

/// Maximum number of ended targets that are kept; a host has one target at a time.
const MAX_ENDED_TARGETS: usize = 64;

impl GuardDuty {
    /// Applies a report that a target, or the platform for it, sent to the daemon.
    pub(crate) fn handle_report(&self, report: TargetReport) {
        match report {
            TargetReport::Alive { announcement, started_at_ms, sequence, cold_remaining } => {
                if !self.is_configured(&announcement.service) {
                    warn!(self.logger, "unknown service"; "target" => %announcement.target,
                        "service" => %announcement.service);
                    return;
                }
                let key = (announcement.service.clone(), announcement.target.clone());
                if self.handle_announcement(announcement, started_at_ms, Some(sequence)) {
                    self.update_cold_remaining(&key, cold_remaining, ColdSource::Heartbeat);
                }
            }
            TargetReport::Leaving { name, started_at_ms } => self.end_target(&name, started_at_ms),
        }
    }

    /// Returns whether the configuration in force contains a service; true while there is no
    /// configuration.
    fn is_configured(&self, service: &ServiceName) -> bool {
        self.config.borrow().as_ref().is_none_or(|config| config.has_service(service))
    }

    /// Applies a target's announcement; returns `false` if it is late or from an earlier
    /// incarnation.
    ///
    /// An announcement without a sequence number is never late.
    pub(crate) fn handle_announcement(
        &self,
        announcement: TargetAnnouncement,
        started_at_ms: Option<u64>,
        sequence: Option<u64>,
    ) -> bool {
        let Some(incarnation) = self.incarnation_of(&announcement.target, started_at_ms, sequence)
        else {
            return false;
        };
        if !self.displace_earlier_targets(&announcement, &incarnation) {
            return false;
        }
        let now = self.clock.now();
        let key = (announcement.service.clone(), announcement.target.clone());
        let mut actions = Vec::new();
        let mut suspects = Vec::new();
        let mut targets = self.targets.borrow_mut();
        if let Some(target) = targets.get_mut(&key) {
            match target.incarnation.note_heartbeat(started_at_ms, sequence) {
                HeartbeatVerdict::Stale => return false,
                HeartbeatVerdict::Current => target.renew(now, announcement),
                HeartbeatVerdict::Restarted => {
                    suspects = target.end_runs(now);
                    info!(self.logger, "target restarted"; "target" => %announcement.target,
                        "born" => started_at_ms, "running" => target.running());
                    self.connections.close_idle(target.announcement.address);
                    target.restart(now, announcement, self.target_lease.get(), &mut actions);
                    self.update_cold_rate(target);
                }
            }
        } else {
            info!(self.logger, "target announced"; "target" => %announcement.target,
                "born" => started_at_ms);
            let mut target =
                LocalTarget::open(now, announcement, incarnation, self.target_lease.get());
            target.queue.cold_start_mut().block_for_predecessor(MicroTime(0));
            self.update_cold_rate(&mut target);
            targets.insert(key.clone(), target);
        }
        drop(targets);
        self.report_suspects(&key.1, suspects);
        self.execute_actions(actions);
        self.apply_leases();
        true
    }

    /// Ends the other targets at an announcement's address that started earlier.
    ///
    /// Returns `false` if a target that started later uses the address: then the announcement
    /// is late.
    fn displace_earlier_targets(
        &self,
        announcement: &TargetAnnouncement,
        incarnation: &TargetIncarnation,
    ) -> bool {
        let mut earlier = Vec::new();
        for (key, target) in &*self.targets.borrow() {
            let other = &target.announcement;
            if other.address != announcement.address || other.target == announcement.target {
                continue;
            }
            if incarnation.is_older_than(&target.incarnation) {
                return false;
            }
            if target.incarnation.is_older_than(incarnation) && !target.incarnation.is_ended() {
                earlier.push(key.clone());
            }
        }
        for key in &earlier {
            self.suspect_running(key);
            self.end_target(&key.1, None);
        }
        true
    }

    /// Returns the incarnation that an announcement is from, or `None` if it has ended already.
    fn incarnation_of(
        &self,
        name: &TargetName,
        started_at_ms: Option<u64>,
        sequence: Option<u64>,
    ) -> Option<TargetIncarnation> {
        let mut ended = self.ended_targets.borrow_mut();
        let index = ended.iter().position(|(ended, _)| ended == name);
        if let Some(index) = index {
            if ended[index].1.note_heartbeat(started_at_ms, sequence) != HeartbeatVerdict::Restarted
            {
                return None;
            }
            ended.remove(index);
        }
        Some(TargetIncarnation::open(started_at_ms, sequence.unwrap_or_default()))
    }

    /// Ends a target's incarnation and records it, since earlier heartbeats may still arrive
    /// late.
    ///
    /// The end of an earlier incarnation doesn't affect the current one.
    pub(crate) fn end_target(&self, name: &TargetName, started_at_ms: Option<u64>) {
        let mut incarnation = TargetIncarnation::open(started_at_ms, 0);
        for target in self.targets.borrow_mut().values_mut() {
            if target.announcement.target != *name {
                continue;
            }
            if !target.incarnation.end(started_at_ms) {
                info!(self.logger, "late end ignored"; "target" => %name, "born" => started_at_ms);
                return;
            }
            incarnation = target.incarnation;
            target.lease.mark_ended();
            self.connections.close_idle(target.announcement.address);
        }
        // Also records the end of an unknown target.
        incarnation.end(started_at_ms);
        let mut ended = self.ended_targets.borrow_mut();
        ended.retain(|(other, _)| other != name);
        ended.push_back((name.clone(), incarnation));
        if ended.len() > MAX_ENDED_TARGETS {
            ended.pop_front();
        }
        drop(ended);
        self.apply_leases();
    }

    /// Starts or ends the drain of a target by an operator; returns whether the target is known.
    pub(crate) fn drain(&self, name: &TargetName, drained: bool) -> bool {
        let mut found = false;
        for target in self.targets.borrow_mut().values_mut() {
            if target.announcement.target == *name {
                target.lease.set_drained(drained);
                found = true;
            }
        }
        self.apply_leases();
        found
    }

    /// Opens and closes the queues according to the leases, and publishes changes to the
    /// peers.
    pub(crate) fn apply_leases(&self) {
        let now = self.clock.now();
        let stopping = *self.stopping.borrow();
        let mut actions = Vec::new();
        let mut changed = false;
        for target in self.targets.borrow_mut().values_mut() {
            let ready = target.lease.is_ready(now) && !stopping;
            changed |= ready != std::mem::replace(&mut target.advertised_ready, ready);
            let open = ready && !self.evacuated.get();
            if open == target.queue.is_closed() {
                info!(self.logger, "target state changed";
                    "name" => %target.announcement.target, "ready" => ready, "open" => open);
                if open {
                    target.queue.reopen();
                } else {
                    target.queue.close(&mut actions);
                }
            }
        }
        self.execute_actions(actions);
        self.count_limited_targets();
        if changed || self.advertisement_due.get() {
            self.advertise_targets();
        }
    }

    /// Publishes the host's targets and their readiness to the peers; repeated if a ring was full.
    fn advertise_targets(&self) {
        let targets = self.targets.borrow();
        let advertised = targets.values().map(|target| AdvertisedTarget {
            service: target.announcement.service.clone(),
            name: target.announcement.target.clone(),
            slots: target.announcement.slots,
            ready: target.advertised_ready,
        });
        let mut advertised: Vec<AdvertisedTarget> = advertised.collect();
        advertised.sort_by(|a, b| a.name.cmp(&b.name));
        let is_full = self.rings.peers.push(PeersEvent::LocalTargets(advertised)).is_err();
        self.advertisement_due.set(is_full);
        if is_full {
            self.metrics.ring_drops.with_label_values(&["peers"]).inc();
        }
    }
}
