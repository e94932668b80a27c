//! A guard's side of requests that end targets: what ran when its target ended, and the
//! last look before a call begins.
//!
//! A lost connection is no proof that a target ended: it may have dropped that one, or
//! stand still. Proof is that nobody listens at its address any more, that another
//! target answers there, or that it says itself that it was born anew.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::sync::{OwnedMutexGuard, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::GuardDuty;
use super::health::{self, TargetProof};
use crate::base::digest::RequestDigest;
use crate::base::ids::{ServiceName, TargetName};
use crate::base::suspect::{SuspectRecord, SuspectUpdate};
use crate::base::wire::RefusalReason;
use crate::call::guard::served::ServedCall;
use crate::decide::run_roster::TrackedRun;
use crate::duty::events::{PeersEvent, SuspectSource};

/// Longest time for which a lost call waits to hear whether its target ended, so that
/// its entry knows before it tries again. On one host that takes about a millisecond.
const TOLD_WITHIN: Duration = Duration::from_millis(100);

/// Time between two questions to a target that gives no proof, and how many there are:
/// together longer than a target that stands still is likely to.
const ASK_EVERY: Duration = Duration::from_millis(100);
const ASK_TIMES: u32 = 30;

/// Digests that one log line names.
const NAMED: usize = 8;

type TargetKey = (ServiceName, TargetName);

impl GuardDuty {
    pub(crate) fn learn_suspects(&self, notices: &[SuspectUpdate]) {
        let now = self.clock.now();
        let mut suspects = self.suspects.borrow_mut();
        for notice in notices {
            suspects.learn(now, *notice);
        }
    }

    /// Returns what is known of a request.
    pub(crate) fn standing(&self, digest: RequestDigest) -> SuspectRecord {
        self.suspects.borrow().standing(digest)
    }

    /// Waits until a suspected call may run at its target: of those that crashed before
    /// one at a time, so that the next crash tells which it is.
    pub(super) async fn wait_alone(
        &self,
        call: &ServedCall,
    ) -> Result<Option<OwnedMutexGuard<()>>, RefusalReason> {
        if !self.standing(call.digest).runs_alone() {
            return Ok(None);
        }
        let trial = self.targets.borrow().get(&call.key).map(|target| Arc::clone(&target.trial));
        let Some(trial) = trial else { return Err(RefusalReason::Absent) };
        let left = call.give_up.min(call.deadline).since(self.clock.now()).duration();
        let turn = timeout(left, trial.lock_owned()).await;
        turn.map(Some).map_err(|_elapsed| RefusalReason::TooLate)
    }

    /// Notes that a call begins to run; refuses it if its request ends targets.
    pub(super) fn begin_run(&self, call: &ServedCall) -> Result<(), RefusalReason> {
        let began_with = self.standing(call.digest);
        if began_with.is_blamed() {
            return Err(RefusalReason::EndsTargets);
        }
        if let Some(target) = self.targets.borrow_mut().get_mut(&call.key) {
            target.roster.begin(call.call, TrackedRun { digest: call.digest, began_with });
        }
        Ok(())
    }

    /// Notes how a run ended; one that its target answered clears its request.
    pub(super) fn end_run(&self, call: &ServedCall, end: RunEnd) {
        let now = self.clock.now();
        if let Some(target) = self.targets.borrow_mut().get_mut(&call.key) {
            match end {
                RunEnd::Answered | RunEnd::NotRun => target.roster.finish(call.call),
                RunEnd::Unanswered => target.roster.leave(now, call.call),
            }
        }
        let record = self.standing(call.digest);
        if end == RunEnd::Answered && record.is_suspected() {
            let record = record.after_clearance();
            info!(self.logger, "cleared"; "id" => &*call.id, "digest" => %call.digest);
            self.tell_suspects(vec![SuspectUpdate { digest: call.digest, record }]);
        }
    }

    /// Finds out whether a target ended, after it lost a call; returns when that is
    /// known, or after [`TOLD_WITHIN`].
    pub(super) async fn examine(self: &Rc<Self>, key: &TargetKey) {
        let Some(mut exam) = self.open_exam(key) else { return };
        let known = exam.wait_for(|running| !*running);
        // What is not known by then is found out for others.
        drop(timeout(TOLD_WITHIN, known).await);
    }

    /// Returns the questioning of a target that is under way, or a new one.
    fn open_exam(self: &Rc<Self>, key: &TargetKey) -> Option<watch::Receiver<bool>> {
        let mut targets = self.targets.borrow_mut();
        let target = targets.get_mut(key)?;
        if let Some(exam) = target.exam.clone().filter(|exam| *exam.borrow()) {
            return Some(exam);
        }
        let (running, exam) = watch::channel(true);
        target.exam = Some(exam.clone());
        let (duty, key) = (Rc::clone(self), key.clone());
        spawn_local(async move {
            for _ in 0..ASK_TIMES {
                match health::prove(&duty, &key).await {
                    TargetProof::Runs => break,
                    TargetProof::Ended => {
                        duty.suspect_runs(&key);
                        duty.lapse(&key);
                        break;
                    }
                    TargetProof::None => sleep(ASK_EVERY).await,
                }
            }
            running.send_replace(false);
        });
        Some(exam)
    }

    /// Finds out in the background whether a target ended that took no connection.
    pub(super) fn look_after(self: &Rc<Self>, key: &TargetKey) {
        drop(self.open_exam(key));
    }

    /// Takes no more calls for a target that is gone, until it sends a heartbeat.
    fn lapse(&self, key: &TargetKey) {
        if let Some(target) = self.targets.borrow_mut().get_mut(key) {
            target.lease.lapse();
        }
        self.check_leases();
    }

    /// Suspects what ran at a target that ended without a word.
    pub(super) fn suspect_runs(&self, key: &TargetKey) {
        let now = self.clock.now();
        let notices = self.targets.borrow_mut().get_mut(key).map(|target| target.end_runs(now));
        self.suspect(&key.1, notices.unwrap_or_default());
    }

    /// Tells everybody which requests a target ended under.
    pub(super) fn suspect(&self, target: &TargetName, notices: Vec<SuspectUpdate>) {
        if notices.is_empty() {
            return;
        }
        self.metrics.target_crashes.inc();
        let named: Vec<String> =
            notices.iter().take(NAMED).map(|notice| notice.digest.to_string()).collect();
        let most = notices.iter().map(|notice| notice.record.crashes).max();
        info!(self.logger, "target crashed"; "target" => %target, "calls" => notices.len(),
            "crashes" => most, "digests" => named.join(" "));
        self.tell_suspects(notices);
    }

    fn tell_suspects(&self, notices: Vec<SuspectUpdate>) {
        self.learn_suspects(&notices);
        let source = SuspectSource::Guard;
        if self.rings.peers.push(PeersEvent::Suspects { notices, source }).is_err() {
            self.metrics.ring_drops.with_label_values(&["peers"]).inc();
        }
    }
}

/// How a run ended, as far as it tells of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunEnd {
    /// The target answered it and lives.
    Answered,
    /// The target says that it did not run it, or had nothing of it.
    NotRun,
    /// Nobody knows; it may still run.
    Unanswered,
}
