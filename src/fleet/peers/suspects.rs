//! Passes crash records of requests between the fleet, the other duties of this daemon and
//! the store.

use std::rc::Rc;

use slog::info;

use super::{PeersDuty, PeersRings};
use crate::base::digest::RequestDigest;
use crate::base::suspect::{SuspectRecord, SuspectUpdate};
use crate::duty::events::{EntryEvent, GuardEvent, PlatformEvent, SuspectSource};
use crate::fleet::membership::MembershipEvent;
use crate::store::blamed_requests;

/// Updates that still have to be passed to other duties; if a ring is full, they are sent
/// at the next step.
#[derive(Debug, Default)]
pub(super) struct PendingSuspects {
    entry: Vec<SuspectUpdate>,
    guard: Vec<SuspectUpdate>,
}

impl PendingSuspects {
    fn add(&mut self, updates: &[SuspectUpdate]) {
        self.entry.extend_from_slice(updates);
        self.guard.extend_from_slice(updates);
    }

    /// Sends the pending updates; keeps those whose ring is full.
    pub(super) fn flush(&mut self, rings: &PeersRings) {
        if !self.entry.is_empty()
            && rings.entry.push(EntryEvent::Suspects(self.entry.clone())).is_ok()
        {
            self.entry.clear();
        }
        if !self.guard.is_empty()
            && rings.guard.push(GuardEvent::Suspects(self.guard.clone())).is_ok()
        {
            self.guard.clear();
        }
    }
}

impl PeersDuty {
    /// Merges updates from this host's guard, an operator or the store; stores those that do
    /// not come from the store.
    pub(super) fn apply_suspects(
        self: &Rc<Self>,
        updates: Vec<SuspectUpdate>,
        source: SuspectSource,
    ) {
        let first_hand = source == SuspectSource::Guard;
        if first_hand {
            for update in &updates {
                self.persist_blame(*update);
            }
        }
        self.step(MembershipEvent::SuspectRequests { updates, first_hand });
    }

    /// Clears a suspected request; returns `false` if it was not suspected.
    pub(super) fn forgive(self: &Rc<Self>, digest: RequestDigest) -> bool {
        let record = self.membership.borrow().suspects().record(digest);
        if !record.is_suspected() {
            return false;
        }
        info!(self.logger, "request cleared by operator"; "digest" => %digest,
            "crashes" => record.crashes);
        let update = SuspectUpdate { digest, record: record.after_clearance() };
        self.apply_suspects(vec![update], SuspectSource::Guard);
        true
    }

    /// Stores that a request is blamed, or is no longer.
    ///
    /// The store has to keep this because all daemons may lose power at once and no host has
    /// a disk.
    fn persist_blame(&self, update: SuspectUpdate) {
        let before = self.membership.borrow().suspects().record(update.digest);
        let blamed = update.record.is_blamed();
        if update.record <= before || blamed == before.is_blamed() {
            return;
        }
        let write = PlatformEvent::Write(blamed_requests::row_write(update));
        if self.rings.platform.push(write).is_err() {
            self.metrics.ring_drops.with_label_values(&["platform"]).inc();
        }
    }

    /// Queues updates for the other duties, and logs those that change whether a request may
    /// run.
    pub(super) fn report_suspects(&self, updates: &[SuspectUpdate]) {
        for SuspectUpdate { digest, record } in updates {
            let belief = belief_label(*record);
            // After a first crash, the guard of the target logs all requests that ran there in
            // one line.
            if record.runs_alone() || !record.is_suspected() {
                info!(self.logger, "request suspicion changed"; "digest" => %digest,
                    "belief" => belief,
                    "crashes" => record.crashes, "clearances" => record.clearances);
            }
        }
        let blamed = self.membership.borrow().suspects().blamed().len();
        self.metrics.blamed_requests.set(i64::try_from(blamed).unwrap_or(i64::MAX));
        self.pending_suspects.borrow_mut().add(updates);
    }
}

/// Returns the log value for a crash record.
const fn belief_label(record: SuspectRecord) -> &'static str {
    if record.is_blamed() {
        "blamed"
    } else if record.is_suspected() {
        "suspected"
    } else {
        "cleared"
    }
}
