//! A target of this host as its guard knows it.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::{Mutex, watch};

use crate::base::clock::MicroTime;
use crate::base::suspect::SuspectUpdate;
use crate::base::wire::LoadReport;
use crate::decide::admission::{AdmissionAction, AdmissionQueue};
use crate::decide::lease::TargetLease;
use crate::decide::life_order::TargetLife;
use crate::decide::run_roster::RunRoster;
use crate::duty::target_report::TargetAnnouncement;

/// A target of this host.
///
/// Invariant: the queue takes calls only while the lease is ready.
pub(crate) struct LocalTarget {
    pub(crate) announcement: TargetAnnouncement,
    pub(crate) lease: TargetLease,
    pub(crate) queue: AdmissionQueue,
    /// Its newest life that was heard of.
    pub(crate) life: TargetLife,
    /// Calls that wait for the table while they hold a slot.
    pub(crate) claiming: usize,
    /// Whether the peers were told that it takes calls. An evacuation of the data
    /// centre is told once for all, not by each target.
    pub(crate) told_ready: bool,
    /// The loads that watchers of this data centre, and of others, were told last.
    pub(crate) told_near: LoadReport,
    pub(crate) told_far: LoadReport,
    /// What runs there.
    pub(crate) roster: RunRoster,
    /// Held by the one call whose request may end the target.
    pub(crate) trial: Arc<Mutex<()>>,
    /// Whether the target is being asked if it ended; set to false when that is known.
    pub(crate) exam: Option<watch::Receiver<bool>>,
    /// When a call last came.
    pub(crate) used: MicroTime,
    /// When the target last told its slowness, or was asked for it.
    pub(crate) slowness_heard: MicroTime,
}

impl LocalTarget {
    /// Takes up a target that was not known, with its queue shut.
    pub(crate) fn open(
        now: MicroTime,
        announcement: TargetAnnouncement,
        life: TargetLife,
        lasts: Duration,
    ) -> Self {
        let mut queue = AdmissionQueue::open(announcement.slots);
        queue.leave(&mut Vec::new());
        Self {
            lease: TargetLease::open(now, announcement.condition, lasts),
            announcement,
            queue,
            life,
            claiming: 0,
            told_ready: false,
            told_near: LoadReport::default(),
            told_far: LoadReport::default(),
            roster: RunRoster::default(),
            trial: Arc::default(),
            exam: None,
            used: now,
            slowness_heard: MicroTime(0),
        }
    }

    /// Takes an announcement of the target's present life.
    pub(crate) fn renew(&mut self, now: MicroTime, announcement: TargetAnnouncement) {
        self.lease.renew(now, announcement.condition);
        self.queue.resize(announcement.slots);
        self.announcement = announcement;
    }

    /// Takes the announcement of a later life: what was learned of the earlier one,
    /// and what runs there, is no longer so. Only what began of late still counts
    /// against a cold start.
    pub(crate) fn restart(
        &mut self,
        now: MicroTime,
        announcement: TargetAnnouncement,
        lasts: Duration,
        refusals: &mut Vec<AdmissionAction>,
    ) {
        self.queue.leave(refusals);
        let cold = self.queue.cold().clone();
        let (life, claiming) = (self.life, self.claiming);
        *self = Self::open(now, announcement, life, lasts);
        self.claiming = claiming;
        *self.queue.cold_mut() = cold;
    }

    /// Takes the end of the target's life; returns the requests that it ended under,
    /// none if it said that it leaves and may end when it likes.
    pub(crate) fn end_runs(&mut self, now: MicroTime) -> Vec<SuspectUpdate> {
        let mut notices = self.roster.end(now);
        notices.retain(|_notice| !self.lease.is_leaving());
        notices
    }

    /// Returns how many calls run in the target.
    pub(crate) fn running(&self) -> usize {
        self.queue.running()
    }

    /// Tells whether the target takes new work.
    pub(crate) const fn is_open(&self) -> bool {
        !self.queue.is_leaving()
    }

    /// Returns what decisions about the target are made on.
    pub(crate) fn dump(&self, now: MicroTime) -> Value {
        json!({
            "announcement": self.announcement,
            "lease": self.lease,
            "life": self.life,
            "cold": self.queue.cold(),
            "ready": self.lease.is_ready(now),
            "running": self.queue.running(),
            "waiting": self.queue.waiting(),
            "claiming": self.claiming,
            "retry_after_ms": self.queue.retry_after_ms(),
        })
    }
}
