//! What runs at a target, for the moment at which it ends.
//!
//! Pure. A target that ends takes all its runs with it, and a run whose caller left goes
//! on there for a while: any of them may be what ended it.

use std::collections::{HashMap, VecDeque};

use crate::base::clock::MicroTime;
use crate::base::digest::RequestDigest;
use crate::base::ids::CallId;
use crate::base::suspect::{SuspectRecord, SuspectUpdate};

/// Time after a call was given up in which it may still run at its target. Longer than
/// the second or so by which a run outlives its connection.
const GOES_ON_FOR: MicroTime = MicroTime::from_millis(1_000);

/// Calls that were given up and are remembered.
const MAX_LEFT: usize = 128;

/// One run, and what was known of its request when it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackedRun {
    /// The request.
    pub digest: RequestDigest,
    /// What was known of it then.
    pub began_with: SuspectRecord,
}

/// The runs of one life of a target.
#[derive(Clone, Debug, Default)]
pub struct RunRoster {
    running: HashMap<CallId, TrackedRun>,
    /// Runs that were given up without an answer, the newest last.
    left: VecDeque<(MicroTime, TrackedRun)>,
}

impl RunRoster {
    /// Notes that a call begins to run.
    pub fn begin(&mut self, call: CallId, run: TrackedRun) {
        self.running.insert(call, run);
    }

    /// Notes that a call was answered, or did not run after all.
    pub fn finish(&mut self, call: CallId) {
        self.running.remove(&call);
    }

    /// Notes that a call was given up without an answer; it may run on.
    pub fn leave(&mut self, now: MicroTime, call: CallId) {
        let Some(run) = self.running.remove(&call) else { return };
        self.left.push_back((now, run));
        if self.left.len() > MAX_LEFT {
            self.left.pop_front();
        }
    }

    /// Takes the end of the target's life; returns what is known now of each request
    /// that may have ended it.
    pub fn end(&mut self, now: MicroTime) -> Vec<SuspectUpdate> {
        let late = self.left.drain(..).filter(|(at, _)| now.since(*at) < GOES_ON_FOR);
        let runs = self.running.drain().map(|(_, run)| run).chain(late.map(|(_, run)| run));
        let mut greatest: HashMap<RequestDigest, SuspectRecord> = HashMap::new();
        for run in runs {
            let record = run.began_with.after_crash();
            let known = greatest.entry(run.digest).or_default();
            *known = record.max(*known);
        }
        let notices = greatest.into_iter().map(|(digest, record)| SuspectUpdate { digest, record });
        let mut notices: Vec<SuspectUpdate> = notices.collect();
        notices.sort_unstable_by_key(|notice| notice.digest);
        notices
    }
}
