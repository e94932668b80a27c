//! State that a guard keeps for a target of its host.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::{Mutex, watch};

use crate::base::clock::MicroTime;
use crate::base::load_report::LoadReport;
use crate::base::suspect::SuspectUpdate;
use crate::decide::admission::{AdmissionAction, AdmissionQueue};
use crate::decide::lease::TargetLease;
use crate::decide::running_requests::RunningRequests;
use crate::decide::target_incarnation::TargetIncarnation;
use crate::duty::target_report::TargetAnnouncement;

/// A target of this host.
///
/// Invariant: the queue accepts calls only while the lease is ready.
pub(crate) struct LocalTarget {
    pub(crate) announcement: TargetAnnouncement,
    pub(crate) lease: TargetLease,
    pub(crate) queue: AdmissionQueue,
    /// Latest known incarnation of the target.
    pub(crate) incarnation: TargetIncarnation,
    /// Number of calls that hold a slot while they wait for the table to accept a claim.
    pub(crate) claiming: usize,
    /// Readiness as last published to the peers. An evacuation of the data centre isn't
    /// part of it, since it is published once for all targets.
    pub(crate) advertised_ready: bool,
    /// Load that was last published to watchers in this data centre.
    pub(crate) published_local_load: LoadReport,
    /// Load that was last published to watchers in other data centres.
    pub(crate) published_remote_load: LoadReport,
    /// Calls that run on the target.
    pub(crate) running_requests: RunningRequests,
    /// Lock for calls whose requests are suspected of several crashes, so that only one of them
    /// waits for a slot or runs at a time.
    pub(crate) exclusive_run: Arc<Mutex<()>>,
    /// Latest crash check; `true` while it is in progress.
    pub(crate) crash_check: Option<watch::Receiver<bool>>,
    /// Arrival time of the last call.
    pub(crate) last_call_at: MicroTime,
    /// Whether an invalid statement of the target was logged.
    pub(crate) invalid_statement_logged: bool,
    /// Time at which the target last reported its slowness or was last asked for it.
    pub(crate) slowness_updated_at: MicroTime,
}

impl LocalTarget {
    /// Creates the state of a new target, with its queue closed.
    pub(crate) fn open(
        now: MicroTime,
        announcement: TargetAnnouncement,
        incarnation: TargetIncarnation,
        lease_duration: Duration,
    ) -> Self {
        let mut queue = AdmissionQueue::open(announcement.slots);
        queue.close(&mut Vec::new());
        Self {
            lease: TargetLease::open(now, announcement.condition, lease_duration),
            announcement,
            queue,
            incarnation,
            claiming: 0,
            advertised_ready: false,
            published_local_load: LoadReport::default(),
            published_remote_load: LoadReport::default(),
            running_requests: RunningRequests::default(),
            exclusive_run: Arc::default(),
            crash_check: None,
            last_call_at: now,
            invalid_statement_logged: false,
            slowness_updated_at: MicroTime(0),
        }
    }

    /// Applies an announcement of the target's current incarnation.
    pub(crate) fn renew(&mut self, now: MicroTime, announcement: TargetAnnouncement) {
        self.lease.renew(now, announcement.condition);
        self.queue.resize(announcement.slots);
        self.announcement = announcement;
    }

    /// Applies the announcement of a new incarnation: discards what was known of the
    /// earlier one, including its running calls.
    ///
    /// The cold-start limit is kept, since calls that started recently still count towards
    /// it, and so are the number of claims in progress and the sequence of load reports.
    pub(crate) fn restart(
        &mut self,
        now: MicroTime,
        announcement: TargetAnnouncement,
        lease_duration: Duration,
        refusals: &mut Vec<AdmissionAction>,
    ) {
        self.queue.close(refusals);
        let cold = self.queue.cold_start().clone();
        let sequence = self.queue.report_sequence();
        let (incarnation, claiming) = (self.incarnation, self.claiming);
        *self = Self::open(now, announcement, incarnation, lease_duration);
        self.claiming = claiming;
        *self.queue.cold_start_mut() = cold;
        self.queue.cold_start_mut().forget_confirmation();
        self.queue.continue_reports(sequence);
    }

    /// Records the end of the target's incarnation; returns the crash records of the requests
    /// that ran on it.
    ///
    /// Returns none if the target had announced its end, since that is no crash.
    pub(crate) fn end_runs(&mut self, now: MicroTime) -> Vec<SuspectUpdate> {
        let mut updates = self.running_requests.target_ended(now);
        updates.retain(|_update| !self.lease.is_leaving());
        updates
    }

    /// Returns a load report with a new sequence number, for the next message to an entry.
    pub(crate) fn next_report(&mut self, now: MicroTime) -> LoadReport {
        let report = self.queue.next_report(now);
        self.with_leaving(report)
    }

    /// Returns the current load under the sequence number of the last report.
    pub(crate) fn current_report(&self) -> LoadReport {
        self.with_leaving(self.queue.current_report())
    }

    /// Adds to a report that the target stated that it leaves.
    fn with_leaving(&self, mut report: LoadReport) -> LoadReport {
        if self.lease.states_leaving() {
            report.statement.get_or_insert_default().leaving = true;
        }
        report
    }

    /// Returns the number of calls that run on the target.
    pub(crate) fn running(&self) -> usize {
        self.queue.running()
    }

    /// Returns whether the target accepts new calls.
    pub(crate) const fn is_open(&self) -> bool {
        !self.queue.is_closed()
    }

    /// Returns the target's state, on which the guard's decisions are based, as JSON.
    pub(crate) fn dump(&self, now: MicroTime) -> Value {
        json!({
            "announcement": self.announcement,
            "lease": self.lease,
            "life": self.incarnation,
            "cold": self.queue.cold_start(),
            "rate_limit": self.queue.rate_limit(),
            "nested": self.queue.nested_load(),
            "ready": self.lease.is_ready(now),
            "accounts": self.queue.accounts().dump(now),
            "running": self.queue.running(),
            "waiting": self.queue.waiting(),
            "claiming": self.claiming,
            "retry_after_ms": self.queue.retry_after_ms(),
        })
    }
}
