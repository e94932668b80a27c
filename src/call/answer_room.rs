//! Limit on the long answers that an entry or a guard passes on at the same time.
//!
//! Whoever reads an answer slowly holds its memory until the deadline. While others wait for
//! memory, an answer that makes no progress is given up sooner.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

use crate::base::consts::{MAX_HELD_PAUSE, SHORTAGE_CHECK_INTERVAL};
use crate::base::memory_plan::{MemoryPlan, MemoryUse};

/// Memory that one long answer has at most: what was read ahead from its source, and what waits
/// to be sent.
const ANSWER_BYTES: u64 = 256 << 10;

/// Memory for long answers, in units of one answer.
pub(crate) struct AnswerRoom {
    permits: Arc<Semaphore>,
    limit: usize,
    waiting: Cell<usize>,
}

/// Memory of one long answer, which is returned when this is dropped.
pub(crate) type AnswerPermit = OwnedSemaphorePermit;

/// Counts a wait until it is dropped.
struct CountedWait<'a>(&'a Cell<usize>);

impl Drop for CountedWait<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl AnswerRoom {
    /// Creates the memory of a duty, all of it free.
    pub(crate) fn open(plan: MemoryPlan) -> Rc<Self> {
        let limit = (plan.long_answers() / ANSWER_BYTES).max(1) as usize;
        let permits = Arc::new(Semaphore::new(limit));
        Rc::new(Self { permits, limit, waiting: Cell::new(0) })
    }

    /// Waits for the memory of one long answer.
    pub(crate) async fn acquire(&self) -> Option<AnswerPermit> {
        self.waiting.set(self.waiting.get() + 1);
        let _wait = CountedWait(&self.waiting);
        Arc::clone(&self.permits).acquire_owned().await.ok()
    }

    /// Returns whether an answer waits for memory.
    pub(crate) fn is_short(&self) -> bool {
        self.waiting.get() > 0
    }

    /// Waits until an answer that makes no progress should be given up for others.
    pub(crate) async fn wait_until_given_up(&self) {
        sleep(MAX_HELD_PAUSE).await;
        while !self.is_short() {
            sleep(SHORTAGE_CHECK_INTERVAL).await;
        }
    }

    /// Returns limit and current use.
    pub(crate) fn memory_use(&self) -> MemoryUse {
        let held = self.limit - self.permits.available_permits();
        MemoryUse {
            limit_bytes: self.limit as u64 * ANSWER_BYTES,
            held_bytes: held as u64 * ANSWER_BYTES,
            waiting: self.waiting.get(),
        }
    }
}
