//! Where a call may be sent whose bytes cost more between data centres than the call is worth.

use crate::base::clock::MicroTime;
use crate::base::ids::TargetName;
use crate::decide::benefit;
use crate::decide::selection::{CallEstimate, TargetRecord};

/// Crossing cost from which on a call first queues in its own data centre: its bytes cost as
/// much as its answer is worth.
const MIN_QUEUEING_COST: f64 = 1.0;

/// Decides whether the next attempt of a call queues at a target of the own data centre.
///
/// Invariants: a call whose crossing cost is below [`MIN_QUEUEING_COST`] never queues, and each
/// call queues at most once, so that it may cross after it was refused.
#[derive(Debug, Default)]
pub struct LocalQueueing {
    has_queued: bool,
}

impl LocalQueueing {
    /// Returns the targets to leave out of an attempt that queues in the own data centre, or
    /// `None` if the attempt may go to any target that is not in `tried`.
    ///
    /// The attempt is restricted to the open targets of the own data centre that are expected to
    /// serve it within its latency objective.
    pub fn left_out(
        &mut self,
        now: MicroTime,
        targets: &[TargetRecord],
        tried: &[TargetName],
        estimate: &CallEstimate,
    ) -> Option<Vec<TargetName>> {
        if self.has_queued || estimate.crossing_cost < MIN_QUEUEING_COST {
            return None;
        }
        let may_queue = |target: &&TargetRecord| {
            !target.remote
                && !tried.contains(&target.name)
                && benefit::can_queue(target, now, estimate)
        };
        let (usable, others): (Vec<_>, Vec<_>) = targets.iter().partition(may_queue);
        if usable.is_empty() {
            return None;
        }
        self.has_queued = true;
        Some(others.into_iter().map(|target| target.name.clone()).collect())
    }
}
