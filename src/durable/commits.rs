//! Batched writes of claims and outcomes to the table.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

use super::PlatformDuty;
use crate::base::consts::MAX_CLAIM_BATCH;
use crate::store::claim::{ClaimReply, ClaimRequest, PendingWrite, parse_claim};
use crate::store::table::{CommitReply, PlatformError, TableWrite};

/// Maximum number of queued writes, for an outage of the table; further writes are dropped.
const MAX_PENDING_WRITES: usize = 10_000;

/// Maximum wait for queued writes at a planned stop, for an outage of the table.
const FINISH_TIMEOUT: Duration = Duration::from_secs(2);

impl PlatformDuty {
    /// Writes the queued claims and outcomes in transactions until the runtime ends.
    ///
    /// Each transaction takes what was queued during the one before.
    pub(super) async fn commit_loop(self: Rc<Self>) {
        loop {
            let batch = self.next_batch();
            if batch.is_empty() {
                self.has_writes.send_replace(false);
                self.pending_wake.notified().await;
                continue;
            }
            self.commit_batch(batch).await;
            let pause = self.commit_backoff.borrow().delay();
            tokio::time::sleep(pause.duration()).await;
        }
    }

    /// Reports when no write is left, or after [`FINISH_TIMEOUT`].
    pub(super) async fn finish_writes(self: Rc<Self>, done: oneshot::Sender<()>) {
        let mut has_writes = self.has_writes.subscribe();
        drop(timeout(FINISH_TIMEOUT, has_writes.wait_for(|has_writes| !*has_writes)).await);
        _ = done.send(());
    }

    /// Queues a write; drops it if the queue is full.
    pub(super) fn enqueue(&self, pending: PendingWrite) {
        let mut queue = self.pending_writes.borrow_mut();
        if queue.len() >= MAX_PENDING_WRITES {
            self.metrics.ring_drops.with_label_values(&["platform_writes"]).inc();
            return;
        }
        queue.push_back(pending);
        self.has_writes.send_replace(true);
        self.pending_wake.notify_one();
    }

    /// Queues a write whose result no call waits for.
    pub(super) fn enqueue_write(&self, write: TableWrite) {
        self.enqueue(PendingWrite::Background(write));
    }

    /// Takes the writes of the next transaction from the queue.
    ///
    /// A transaction has at most one write per row: a second write of a row waits for a
    /// later transaction.
    pub(super) fn next_batch(&self) -> Vec<PendingWrite> {
        let is_down = self.commit_backoff.borrow().is_down(self.clock.now());
        let mut queue = self.pending_writes.borrow_mut();
        let mut batch: Vec<PendingWrite> = Vec::new();
        let mut deferred = VecDeque::new();
        while let Some(pending) = queue.pop_front() {
            // While the table is down, a batch has at most one claim, to test whether it is
            // back; other claims are rejected.
            let reject_claims = is_down && !batch.is_empty();
            let Some(pending) = pending.unless_obsolete(reject_claims) else { continue };
            let same_row = batch.iter().chain(&deferred).any(|other| other.key() == pending.key());
            if same_row || batch.len() >= MAX_CLAIM_BATCH {
                deferred.push_back(pending);
            } else {
                batch.push(pending);
            }
        }
        *queue = deferred;
        batch
    }

    /// Commits a batch; writes that neither took effect nor conflicted are committed again.
    pub(super) async fn commit_batch(&self, mut batch: Vec<PendingWrite>) {
        while !batch.is_empty() {
            let writes: Vec<TableWrite> = batch.iter().map(PendingWrite::write).collect();
            let reply = self.client.commit(&writes).await;
            self.count("commit", &reply);
            self.metrics.claims.with_label_values(&["transactions"]).inc();
            self.metrics.claims.with_label_values(&["writes"]).inc_by(batch.len() as u64);
            batch = match reply {
                Ok(reply) => {
                    self.commit_backoff.borrow_mut().record_success();
                    self.apply_reply(batch, &reply)
                }
                Err(PlatformError::ReplyLost { .. }) => return self.read_back(batch).await,
                Err(_not_applied) => {
                    self.commit_backoff.borrow_mut().record_failure(self.clock.now());
                    return self.requeue(batch);
                }
            };
        }
    }

    /// Completes the writes that a transaction applied or that conflicted; returns those to
    /// commit again.
    pub(super) fn apply_reply(
        &self,
        batch: Vec<PendingWrite>,
        reply: &CommitReply,
    ) -> Vec<PendingWrite> {
        if reply.committed {
            for (pending, version) in batch.into_iter().zip(&reply.versions) {
                if let PendingWrite::Claim(request) = pending {
                    self.confirm_claim(request, *version);
                }
            }
            return Vec::new();
        }
        let mut retried = Vec::new();
        for mut pending in batch {
            let conflict = reply.conflicts.iter().find(|row| row.key == pending.key());
            let missing = reply.missing.iter().any(|key| key == pending.key());
            match (&mut pending, conflict) {
                (PendingWrite::Claim(_), Some(row)) => pending.reject_held(row),
                (PendingWrite::Claim(request), None) if missing => {
                    // The claim to take over was released in the meantime.
                    request.expected_version = 0;
                    retried.push(pending);
                }
                // A conflicting outcome was already written, or its claim was taken over.
                (PendingWrite::Background(_), Some(_)) => {}
                (PendingWrite::Background(_), None) if missing => {}
                _ => retried.push(pending),
            }
        }
        retried
    }

    /// Resolves writes whose transaction got no reply.
    ///
    /// Claims are read back; other writes may be repeated and are queued again.
    pub(super) async fn read_back(&self, batch: Vec<PendingWrite>) {
        for pending in batch {
            let PendingWrite::Claim(request) = pending else {
                self.enqueue(pending);
                continue;
            };
            let row = self.client.row(&request.key).await;
            self.count("read_back", &row);
            match row {
                Ok(Some(row)) => {
                    let is_own =
                        parse_claim(&row).is_some_and(|claim| claim.call == request.row.call);
                    if is_own {
                        self.confirm_claim(request, row.version);
                    } else {
                        PendingWrite::Claim(request).reject_held(&row);
                    }
                }
                // The write may still be applied later, so the call must not run.
                Ok(None) | Err(_) => drop(request.reply.send(ClaimReply::Failed)),
            }
        }
    }

    /// Passes a written claim to its call, or releases it if the call no longer waits.
    pub(super) fn confirm_claim(&self, request: ClaimRequest, version: u64) {
        let key = request.key;
        if request.reply.send(ClaimReply::Acquired(version)).is_err() {
            self.enqueue_write(TableWrite { key, expected_version: Some(version), value: None });
        }
    }

    /// Puts a batch back at the head of the queue, in its order.
    pub(super) fn requeue(&self, batch: Vec<PendingWrite>) {
        let mut queue = self.pending_writes.borrow_mut();
        for pending in batch.into_iter().rev() {
            queue.push_front(pending);
        }
    }
}
