//! What a guard believes of its targets: their announcements, drains and ends.
//!
//! May use the leases and queues of targets; must hold: a queue is open only while
//! its target's lease is ready, and peers are told of each change.

use slog::{info, warn};

use crate::base::clock::MicroTime;
use crate::base::ids::{ServiceName, TargetName};
use crate::base::member::AdvertisedTarget;
use crate::call::guard::GuardDuty;
use crate::call::guard::cold::ColdSource;
use crate::call::guard::local_target::LocalTarget;
use crate::decide::life_order::{LifeChange, TargetLife};
use crate::duty::events::PeersEvent;
use crate::duty::target_report::{TargetAnnouncement, TargetReport};

/// Ended targets remembered; a host has one target at a time.
const MAX_ENDED: usize = 64;

impl GuardDuty {
    pub(crate) fn take_report(&self, report: TargetReport) {
        match report {
            TargetReport::Alive { announcement, born, sequence, cold } => {
                if !self.is_named(&announcement.service) {
                    warn!(self.logger, "service unknown"; "target" => %announcement.target,
                        "service" => %announcement.service);
                    return;
                }
                let key = (announcement.service.clone(), announcement.target.clone());
                if self.announce(announcement, born, Some(sequence)) {
                    self.hear_cold(&key, cold, ColdSource::Heartbeat);
                }
            }
            TargetReport::Left { name, born } => self.end_target(&name, born),
        }
    }

    /// Tells whether the configuration in force, if any, names a service.
    fn is_named(&self, service: &ServiceName) -> bool {
        self.config.borrow().as_ref().is_none_or(|config| config.has_service(service))
    }

    /// Takes a target's announcement; `false` if it is late or of an earlier life.
    ///
    /// One without a number is never late.
    pub(crate) fn announce(
        &self,
        announcement: TargetAnnouncement,
        born: Option<u64>,
        sequence: Option<u64>,
    ) -> bool {
        let Some(life) = self.life_after_end(&announcement.target, born, sequence) else {
            return false;
        };
        if !self.take_address(&announcement, &life) {
            return false;
        }
        let now = self.clock.now();
        let key = (announcement.service.clone(), announcement.target.clone());
        let mut actions = Vec::new();
        let mut suspects = Vec::new();
        let mut targets = self.targets.borrow_mut();
        if let Some(target) = targets.get_mut(&key) {
            match target.life.hear(born, sequence) {
                LifeChange::Late => return false,
                LifeChange::Present => target.renew(now, announcement),
                LifeChange::Anew => {
                    suspects = target.end_runs(now);
                    info!(self.logger, "target restarted"; "target" => %announcement.target,
                        "born" => born, "running" => target.running());
                    self.pool.forget(target.announcement.address);
                    target.restart(now, announcement, self.target_lease.get(), &mut actions);
                    self.bound_cold_target(target);
                }
            }
        } else {
            info!(self.logger, "target announced"; "target" => %announcement.target,
                "born" => born);
            let mut target = LocalTarget::open(now, announcement, life, self.target_lease.get());
            target.queue.cold_mut().follow_predecessor(MicroTime(0));
            self.bound_cold_target(&mut target);
            targets.insert(key.clone(), target);
        }
        drop(targets);
        self.suspect(&key.1, suspects);
        self.carry_out(actions);
        self.check_leases();
        true
    }

    /// Ends what was at an announcement's address before it; `false` if one that was
    /// born later is there, so that the announcement is a late one.
    fn take_address(&self, announcement: &TargetAnnouncement, life: &TargetLife) -> bool {
        let mut earlier = Vec::new();
        for (key, target) in &*self.targets.borrow() {
            let other = &target.announcement;
            if other.address != announcement.address || other.target == announcement.target {
                continue;
            }
            if life.is_before(&target.life) {
                return false;
            }
            if target.life.is_before(life) && !target.life.is_ended() {
                earlier.push(key.clone());
            }
        }
        for key in &earlier {
            self.suspect_runs(key);
            self.end_target(&key.1, None);
        }
        true
    }

    /// Returns the life that an announcement is of, unless that life ended before.
    fn life_after_end(
        &self,
        name: &TargetName,
        born: Option<u64>,
        sequence: Option<u64>,
    ) -> Option<TargetLife> {
        let mut ended = self.ended.borrow_mut();
        let place = ended.iter().position(|(ended, _)| ended == name);
        if let Some(place) = place {
            if ended[place].1.hear(born, sequence) != LifeChange::Anew {
                return None;
            }
            ended.remove(place);
        }
        Some(TargetLife::open(born, sequence.unwrap_or_default()))
    }

    /// Ends a target's life: what it said earlier may still arrive, late. A word of
    /// an earlier life's end does not touch the present one.
    pub(crate) fn end_target(&self, name: &TargetName, born: Option<u64>) {
        let mut life = TargetLife::open(born, 0);
        for target in self.targets.borrow_mut().values_mut() {
            if target.announcement.target != *name {
                continue;
            }
            if !target.life.end(born) {
                info!(self.logger, "late end"; "target" => %name, "born" => born);
                return;
            }
            life = target.life;
            target.lease.end();
            self.pool.forget(target.announcement.address);
        }
        // Of a target that is not known, too.
        life.end(born);
        let mut ended = self.ended.borrow_mut();
        ended.retain(|(other, _)| other != name);
        ended.push_back((name.clone(), life));
        if ended.len() > MAX_ENDED {
            ended.pop_front();
        }
        drop(ended);
        self.check_leases();
    }

    pub(crate) fn drain(&self, name: &TargetName, drained: bool) -> bool {
        let mut found = false;
        for target in self.targets.borrow_mut().values_mut() {
            if target.announcement.target == *name {
                target.lease.drain(drained);
                found = true;
            }
        }
        self.check_leases();
        found
    }

    /// Opens and shuts queues as the leases say, and tells the peers.
    pub(crate) fn check_leases(&self) {
        let now = self.clock.now();
        let stopping = *self.stopping.borrow();
        let mut actions = Vec::new();
        let mut changed = false;
        for target in self.targets.borrow_mut().values_mut() {
            let ready = target.lease.is_ready(now) && !stopping;
            changed |= ready != std::mem::replace(&mut target.told_ready, ready);
            let open = ready && !self.evacuated.get();
            if open == target.queue.is_leaving() {
                info!(self.logger, "target"; "name" => %target.announcement.target, "ready" => ready, "open" => open);
                if open {
                    target.queue.rejoin();
                } else {
                    target.queue.leave(&mut actions);
                }
            }
        }
        self.carry_out(actions);
        if changed {
            self.tell_peers();
        }
    }

    fn tell_peers(&self) {
        let targets = self.targets.borrow();
        let notices = targets.values().map(|target| AdvertisedTarget {
            service: target.announcement.service.clone(),
            name: target.announcement.target.clone(),
            slots: target.announcement.slots,
            ready: target.told_ready,
        });
        let mut notices: Vec<AdvertisedTarget> = notices.collect();
        notices.sort_by(|a, b| a.name.cmp(&b.name));
        if self.rings.peers.push(PeersEvent::Local(notices)).is_err() {
            self.metrics.ring_drops.with_label_values(&["peers"]).inc();
        }
    }
}
