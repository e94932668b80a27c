//! Detection of requests that crash targets: records which requests ran on a target that
//! ended, and checks the crash record of each call's request right before the call starts.
//!
//! A lost connection doesn't prove that a target ended: the target may have closed only
//! that connection, or be stalled. Proof is that nothing listens at its address any more,
//! that another target answers there, or that the target itself reports a restart.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::sync::{OwnedMutexGuard, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::GuardDuty;
use super::health::{self, TargetLiveness};
use crate::base::digest::RequestDigest;
use crate::base::ids::{ServiceName, TargetName};
use crate::base::suspect::{SuspectRecord, SuspectUpdate};
use crate::base::wire::RefusalReason;
use crate::call::guard::served_call::ServedCall;
use crate::decide::running_requests::TrackedRequest;
use crate::duty::events::{PeersEvent, SuspectSource};

/// Maximum time that a lost call waits until it is known whether its target ended, so
/// that the entry knows before it retries. On one host the check takes about a
/// millisecond.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval between liveness checks while their result is unknown.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of liveness checks; together they take longer than a target is likely
/// to stall.
const MAX_LIVENESS_CHECKS: u32 = 30;

/// Maximum number of digests in one log line.
const MAX_LOGGED_DIGESTS: usize = 8;

type TargetKey = (ServiceName, TargetName);

impl GuardDuty {
    /// Merges updates of crash records into this guard's records.
    pub(crate) fn merge_suspects(&self, updates: &[SuspectUpdate]) {
        let now = self.clock.now();
        let mut suspects = self.suspects.borrow_mut();
        for update in updates {
            suspects.merge(now, *update);
        }
    }

    /// Returns the crash record of a request.
    pub(crate) fn suspect_record(&self, digest: RequestDigest) -> SuspectRecord {
        self.suspects.borrow().record(digest)
    }

    /// Waits until a call may run on its target; returns the lock that it holds meanwhile, or
    /// `None` if it needs none.
    ///
    /// Calls whose requests are suspected of several crashes run one at a time, so that the next
    /// crash identifies the request at fault.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal if the target is gone or the call waited too long.
    pub(super) async fn wait_for_exclusive_run(
        &self,
        call: &ServedCall,
    ) -> Result<Option<OwnedMutexGuard<()>>, RefusalReason> {
        if !self.suspect_record(call.digest).runs_alone() {
            return Ok(None);
        }
        let mutex = self
            .targets
            .borrow()
            .get(&call.target_key)
            .map(|target| Arc::clone(&target.exclusive_run));
        let Some(mutex) = mutex else { return Err(RefusalReason::Absent) };
        let remaining = call.queue_deadline.min(call.deadline).since(self.clock.now()).duration();
        tokio::select! {
            lock = timeout(remaining, mutex.lock_owned()) => {
                lock.map(Some).map_err(|_elapsed| RefusalReason::TooLate)
            }
            () = self.wait_for_stop() => Err(RefusalReason::Leaving),
        }
    }

    /// Records that a call starts to run.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal if the request is blamed for crashes.
    pub(super) fn begin_run(&self, call: &ServedCall) -> Result<(), RefusalReason> {
        let record_at_start = self.suspect_record(call.digest);
        if record_at_start.is_blamed() {
            return Err(RefusalReason::EndsTargets);
        }
        if let Some(target) = self.targets.borrow_mut().get_mut(&call.target_key) {
            target
                .running_requests
                .start(call.call_id, TrackedRequest { digest: call.digest, record_at_start });
        }
        Ok(())
    }

    /// Records how a run ended; an answer from the target clears the request of suspicion.
    pub(super) fn end_run(&self, call: &ServedCall, outcome: RunOutcome) {
        let now = self.clock.now();
        if let Some(target) = self.targets.borrow_mut().get_mut(&call.target_key) {
            match outcome {
                RunOutcome::Answered | RunOutcome::NotRun => {
                    target.running_requests.finish(call.call_id);
                }
                RunOutcome::Unanswered => target.running_requests.abandon(now, call.call_id),
            }
        }
        let record = self.suspect_record(call.digest);
        if outcome == RunOutcome::Answered && record.is_suspected() {
            let record = record.after_clearance();
            info!(self.logger, "request cleared"; "id" => &*call.request_id,
                "digest" => %call.digest);
            self.publish_suspects(vec![SuspectUpdate { digest: call.digest, record }]);
        }
    }

    /// Checks whether a target ended after it lost a call.
    ///
    /// Returns when the result is known, but after [`CRASH_CHECK_TIMEOUT`] at the latest.
    pub(super) async fn wait_for_crash_check(self: &Rc<Self>, key: &TargetKey) {
        let Some(mut crash_check) = self.start_crash_check(key) else { return };
        let done = crash_check.wait_for(|running| !*running);
        // After the timeout the check goes on in the background, for later calls.
        drop(timeout(CRASH_CHECK_TIMEOUT, done).await);
    }

    /// Returns the crash check of a target that is in progress, or starts one.
    ///
    /// The receiver turns `false` when the check is done.
    fn start_crash_check(self: &Rc<Self>, key: &TargetKey) -> Option<watch::Receiver<bool>> {
        let mut targets = self.targets.borrow_mut();
        let target = targets.get_mut(key)?;
        if let Some(current) = target.crash_check.clone().filter(|check| *check.borrow()) {
            return Some(current);
        }
        let (running, crash_check) = watch::channel(true);
        target.crash_check = Some(crash_check.clone());
        let (duty, key) = (Rc::clone(self), key.clone());
        spawn_local(async move {
            for _ in 0..MAX_LIVENESS_CHECKS {
                match health::check_liveness(&duty, &key).await {
                    TargetLiveness::Running => break,
                    TargetLiveness::Ended => {
                        duty.suspect_running(&key);
                        duty.expire_lease(&key);
                        break;
                    }
                    TargetLiveness::Unknown => sleep(CHECK_INTERVAL).await,
                }
            }
            running.send_replace(false);
        });
        Some(crash_check)
    }

    /// Checks in the background whether a target to which a call could not be sent has ended.
    pub(super) fn check_for_crash(self: &Rc<Self>, key: &TargetKey) {
        drop(self.start_crash_check(key));
    }

    /// Expires the lease of a target that ended: it gets no calls until its next heartbeat.
    fn expire_lease(&self, key: &TargetKey) {
        if let Some(target) = self.targets.borrow_mut().get_mut(key) {
            target.lease.mark_unreachable();
        }
        self.apply_leases();
    }

    /// Marks the requests that ran on a target as suspects when it ends unannounced.
    pub(super) fn suspect_running(&self, key: &TargetKey) {
        let now = self.clock.now();
        let updates = self.targets.borrow_mut().get_mut(key).map(|target| target.end_runs(now));
        self.report_suspects(&key.1, updates.unwrap_or_default());
    }

    /// Logs and publishes which requests ran on a target when it crashed.
    pub(super) fn report_suspects(&self, target: &TargetName, updates: Vec<SuspectUpdate>) {
        if updates.is_empty() {
            return;
        }
        self.metrics.target_crashes.inc();
        let digests: Vec<String> = updates
            .iter()
            .take(MAX_LOGGED_DIGESTS)
            .map(|update| update.digest.to_string())
            .collect();
        let crashes = updates.iter().map(|update| update.record.crashes).max();
        info!(self.logger, "target crashed"; "target" => %target, "calls" => updates.len(),
            "crashes" => crashes, "digests" => digests.join(" "));
        self.publish_suspects(updates);
    }

    fn publish_suspects(&self, updates: Vec<SuspectUpdate>) {
        self.merge_suspects(&updates);
        let source = SuspectSource::Guard;
        if self.rings.peers.push(PeersEvent::Suspects { updates, source }).is_err() {
            self.metrics.ring_drops.with_label_values(&["peers"]).inc();
        }
    }
}

/// How a run ended, as far as it matters for suspicion of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunOutcome {
    /// The target answered, so it survived the request.
    Answered,
    /// The target reports that it did not run the request, or never received it.
    NotRun,
    /// The outcome is unknown; the request may still be running.
    Unanswered,
}
