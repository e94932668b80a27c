//! Claims and outcomes on their way into the table, many in one transaction.

use std::collections::VecDeque;
use std::rc::Rc;

use super::PlatformDuty;
use crate::base::consts::MAX_CLAIM_BATCH;
use crate::store::claim::{ClaimReply, ClaimRequest, PendingWrite, parse_claim};
use crate::store::table::{CommitReply, PlatformError, TableWrite};

/// Writes kept for the end of an outage.
const MAX_PENDING_WRITES: usize = 10_000;

impl PlatformDuty {
    /// Writes claims and outcomes, as many in one transaction as came meanwhile.
    pub(super) async fn commit_all(self: Rc<Self>) {
        loop {
            let batch = self.next_batch();
            if batch.is_empty() {
                self.pending_wake.notified().await;
                continue;
            }
            self.commit_batch(batch).await;
            let pause = self.pace.borrow().pause();
            tokio::time::sleep(pause.duration()).await;
        }
    }

    pub(super) fn keep(&self, pending: PendingWrite) {
        let mut queue = self.pending.borrow_mut();
        if queue.len() >= MAX_PENDING_WRITES {
            self.metrics.ring_drops.with_label_values(&["platform_writes"]).inc();
            return;
        }
        queue.push_back(pending);
        self.pending_wake.notify_one();
    }

    pub(super) fn keep_write(&self, write: TableWrite) {
        self.keep(PendingWrite::Outcome(write));
    }

    /// Takes writes of different rows; a second one of a row waits its turn.
    pub(super) fn next_batch(&self) -> Vec<PendingWrite> {
        let down = self.pace.borrow().is_down(self.clock.now());
        let mut queue = self.pending.borrow_mut();
        let mut batch: Vec<PendingWrite> = Vec::new();
        let mut later = VecDeque::new();
        while let Some(pending) = queue.pop_front() {
            // While the table is down one claim at a time tries whether it is back.
            let hopeless = down && !batch.is_empty();
            let Some(pending) = pending.still_wanted(hopeless) else { continue };
            let twin = batch.iter().chain(&later).any(|other| other.key() == pending.key());
            if twin || batch.len() >= MAX_CLAIM_BATCH {
                later.push_back(pending);
            } else {
                batch.push(pending);
            }
        }
        *queue = later;
        batch
    }

    pub(super) async fn commit_batch(&self, mut batch: Vec<PendingWrite>) {
        while !batch.is_empty() {
            let writes: Vec<TableWrite> = batch.iter().map(PendingWrite::write).collect();
            let reply = self.client.commit(&writes).await;
            self.count("commit", &reply);
            self.metrics.claims.with_label_values(&["transactions"]).inc();
            self.metrics.claims.with_label_values(&["writes"]).inc_by(batch.len() as u64);
            batch = match reply {
                Ok(reply) => {
                    self.pace.borrow_mut().accept();
                    self.sort_out(batch, &reply)
                }
                Err(PlatformError::Lost { .. }) => return self.read_back(batch).await,
                Err(_down) => {
                    self.pace.borrow_mut().refuse(self.clock.now());
                    return self.put_back(batch);
                }
            };
        }
    }

    /// Ends the writes that a transaction decided; returns those to try again.
    pub(super) fn sort_out(
        &self,
        batch: Vec<PendingWrite>,
        reply: &CommitReply,
    ) -> Vec<PendingWrite> {
        if reply.committed {
            for (pending, version) in batch.into_iter().zip(&reply.versions) {
                if let PendingWrite::Claim(request) = pending {
                    self.hold(request, *version);
                }
            }
            return Vec::new();
        }
        let mut rest = Vec::new();
        for mut pending in batch {
            let conflict = reply.conflicts.iter().find(|row| row.key == pending.key());
            let missing = reply.missing.iter().any(|key| key == pending.key());
            match (&mut pending, conflict) {
                (PendingWrite::Claim(_), Some(row)) => pending.found(row),
                (PendingWrite::Claim(request), None) if missing => {
                    // The row to take over was released meanwhile.
                    request.expect = 0;
                    rest.push(pending);
                }
                // An outcome that conflicts was written before, or is void.
                (PendingWrite::Outcome(_), Some(_)) => {}
                (PendingWrite::Outcome(_), None) if missing => {}
                _ => rest.push(pending),
            }
        }
        rest
    }

    /// Settles writes whose commit's answer was lost.
    pub(super) async fn read_back(&self, batch: Vec<PendingWrite>) {
        for pending in batch {
            let PendingWrite::Claim(request) = pending else {
                self.keep(pending);
                continue;
            };
            let row = self.client.row(&request.key).await;
            self.count("read_back", &row);
            match row {
                Ok(Some(row)) => {
                    let own = parse_claim(&row).is_some_and(|found| found.call == request.row.call);
                    if own {
                        self.hold(request, row.version);
                    } else {
                        PendingWrite::Claim(request).found(&row);
                    }
                }
                // The write may still come; the call must not run on it.
                Ok(None) | Err(_) => drop(request.reply.send(ClaimReply::Failed)),
            }
        }
    }

    /// Hands out a claim, or releases it if nobody waits for it any more.
    pub(super) fn hold(&self, request: ClaimRequest, version: u64) {
        let key = request.key;
        if request.reply.send(ClaimReply::Held(version)).is_err() {
            self.keep_write(TableWrite { key, expect: Some(version), value: None });
        }
    }

    pub(super) fn put_back(&self, batch: Vec<PendingWrite>) {
        let mut queue = self.pending.borrow_mut();
        for pending in batch.into_iter().rev() {
            queue.push_front(pending);
        }
    }
}
