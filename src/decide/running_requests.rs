//! Requests running at a target, to know which ones may have crashed it.
//!
//! When a target ends, all its runs end with it. A run whose caller has left continues at the
//! target for a while. Any of these runs may have crashed the target.

use std::collections::{HashMap, VecDeque};

use crate::base::clock::MicroTime;
use crate::base::digest::RequestDigest;
use crate::base::ids::CallId;
use crate::base::suspect::{SuspectRecord, SuspectUpdate};

/// Time for which an abandoned run may continue at its target: longer than the second or so by
/// which a run outlives its connection.
const ABANDONED_RUN_DURATION: MicroTime = MicroTime::from_millis(1_000);

/// Maximum number of abandoned runs that are kept.
const MAX_ABANDONED_RUNS: usize = 128;

/// A run of a request, with the crash record known at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackedRequest {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Crash record of the request when the run started.
    pub record_at_start: SuspectRecord,
}

/// Runs in one incarnation of a target.
#[derive(Clone, Debug, Default)]
pub struct RunningRequests {
    running: HashMap<CallId, TrackedRequest>,
    /// Runs abandoned without an answer and the time of that, newest last.
    abandoned: VecDeque<(MicroTime, TrackedRequest)>,
}

impl RunningRequests {
    /// Records the start of a run.
    pub fn start(&mut self, call: CallId, run: TrackedRequest) {
        self.running.insert(call, run);
    }

    /// Removes a call that was answered or did not run after all.
    pub fn finish(&mut self, call: CallId) {
        self.running.remove(&call);
    }

    /// Records that a call was abandoned without an answer; its run may continue.
    pub fn abandon(&mut self, now: MicroTime, call: CallId) {
        let Some(run) = self.running.remove(&call) else { return };
        self.abandoned.push_back((now, run));
        if self.abandoned.len() > MAX_ABANDONED_RUNS {
            self.abandoned.pop_front();
        }
    }

    /// Records the end of the target and drops all runs; returns the new crash record of each
    /// request that may have caused it.
    pub fn target_ended(&mut self, now: MicroTime) -> Vec<SuspectUpdate> {
        let recent =
            self.abandoned.drain(..).filter(|(at, _)| now.since(*at) < ABANDONED_RUN_DURATION);
        let runs = self.running.drain().map(|(_, run)| run).chain(recent.map(|(_, run)| run));
        let mut records: HashMap<RequestDigest, SuspectRecord> = HashMap::new();
        for run in runs {
            let record = run.record_at_start.after_crash();
            let known = records.entry(run.digest).or_default();
            *known = record.max(*known);
        }
        let updates = records.into_iter().map(|(digest, record)| SuspectUpdate { digest, record });
        let mut updates: Vec<SuspectUpdate> = updates.collect();
        updates.sort_unstable_by_key(|update| update.digest);
        updates
    }
}
