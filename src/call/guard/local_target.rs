//! A target of this host as its guard knows it.

use std::time::Duration;

use serde_json::{Value, json};

use crate::base::clock::MicroTime;
use crate::base::wire::LoadReport;
use crate::decide::admission::AdmissionQueue;
use crate::decide::lease::TargetLease;
use crate::duty::target_report::TargetAnnouncement;

/// A target of this host.
///
/// Invariant: the queue takes calls only while the lease is ready.
pub(crate) struct LocalTarget {
    pub(crate) announcement: TargetAnnouncement,
    pub(crate) lease: TargetLease,
    pub(crate) queue: AdmissionQueue,
    /// The newest report that was acted upon; zero where reports have no number.
    sequence: u64,
    /// Calls that wait for the table while they hold a slot.
    pub(crate) claiming: usize,
    /// The load that watchers were told last.
    pub(crate) told: LoadReport,
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
        sequence: Option<u64>,
        lasts: Duration,
    ) -> Self {
        let mut queue = AdmissionQueue::open(announcement.slots);
        queue.leave(&mut Vec::new());
        Self {
            lease: TargetLease::open(now, announcement.condition, lasts),
            announcement,
            queue,
            sequence: sequence.unwrap_or_default(),
            claiming: 0,
            told: LoadReport::default(),
            used: now,
            slowness_heard: MicroTime(0),
        }
    }

    /// Takes the target's newer announcement; `false` if it is one that came late.
    pub(crate) fn renew(
        &mut self,
        now: MicroTime,
        announcement: TargetAnnouncement,
        sequence: Option<u64>,
    ) -> bool {
        if sequence.is_some_and(|sequence| sequence <= self.sequence) {
            return false;
        }
        self.sequence = sequence.unwrap_or_default();
        self.lease.renew(now, announcement.condition);
        self.queue.resize(announcement.slots);
        self.announcement = announcement;
        true
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
            "ready": self.lease.is_ready(now),
            "running": self.queue.running(),
            "waiting": self.queue.waiting(),
            "claiming": self.claiming,
            "retry_after_ms": self.queue.retry_after_ms(),
        })
    }
}
