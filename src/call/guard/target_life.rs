//! What a guard believes of its targets: their announcements, drains and ends.
//!
//! May use the leases and queues of targets; must hold: a queue is open only while
//! its target's lease is ready, and peers are told of each change.

use slog::info;

use crate::base::ids::TargetName;
use crate::base::member::TargetNotice;
use crate::call::guard::GuardDuty;
use crate::call::guard::local_target::LocalTarget;
use crate::duty::events::PeersEvent;
use crate::duty::target_report::{TargetAnnouncement, TargetReport};

/// Ended targets remembered; a host has one target at a time.
const MAX_ENDED: usize = 64;

impl GuardDuty {
    pub(crate) fn take_report(&self, report: TargetReport) {
        match report {
            TargetReport::Alive { announcement, sequence, .. } => {
                self.announce(announcement, Some(sequence));
            }
            TargetReport::Left(name) => self.end_target(&name),
        }
    }

    /// Takes a target's announcement; one with a number is ignored if it is late.
    pub(crate) fn announce(&self, announcement: TargetAnnouncement, sequence: Option<u64>) {
        if self.ended.borrow().contains(&announcement.target) {
            return;
        }
        let now = self.clock.now();
        let key = (announcement.service.clone(), announcement.target.clone());
        let mut targets = self.targets.borrow_mut();
        if let Some(target) = targets.get_mut(&key) {
            if !target.renew(now, announcement, sequence) {
                return;
            }
        } else {
            info!(self.logger, "target announced"; "target" => %announcement.target);
            let lasts = self.target_lease.get();
            targets.insert(key, LocalTarget::open(now, announcement, sequence, lasts));
        }
        drop(targets);
        self.check_leases();
    }

    /// Ends a target for good: what it said earlier may still arrive, late.
    pub(crate) fn end_target(&self, name: &TargetName) {
        let mut ended = self.ended.borrow_mut();
        if !ended.contains(name) {
            ended.push_back(name.clone());
            if ended.len() > MAX_ENDED {
                ended.pop_front();
            }
        }
        drop(ended);
        for target in self.targets.borrow_mut().values_mut() {
            if target.announcement.target == *name {
                target.lease.end();
                self.pool.forget(target.announcement.address);
            }
        }
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
            if ready == target.queue.is_leaving() {
                changed = true;
                info!(self.logger, "target"; "name" => %target.announcement.target, "ready" => ready);
                if ready {
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
        let notices = targets.values().map(|target| TargetNotice {
            service: target.announcement.service.clone(),
            name: target.announcement.target.clone(),
            slots: target.announcement.slots,
            ready: !target.queue.is_leaving(),
        });
        let mut notices: Vec<TargetNotice> = notices.collect();
        notices.sort_by(|a, b| a.name.cmp(&b.name));
        if self.rings.peers.push(PeersEvent::Local(notices)).is_err() {
            self.metrics.shed.with_label_values(&["peers"]).inc();
        }
    }
}
