//! Suspected requests between the fleet, the other duties and the store.

use std::rc::Rc;

use slog::info;

use super::{PeersDuty, PeersRings};
use crate::base::digest::RequestDigest;
use crate::base::suspect::{SuspectRecord, SuspectUpdate};
use crate::duty::events::{EntryEvent, GuardEvent, PlatformEvent, SuspectSource};
use crate::fleet::membership::MembershipEvent;
use crate::store::blame;

/// What the other duties have yet to hear; a full ring hears it at the next step.
#[derive(Debug, Default)]
pub(super) struct SuspectFeed {
    entry: Vec<SuspectUpdate>,
    guard: Vec<SuspectUpdate>,
}

impl SuspectFeed {
    fn add(&mut self, notices: &[SuspectUpdate]) {
        self.entry.extend_from_slice(notices);
        self.guard.extend_from_slice(notices);
    }

    pub(super) fn notify(&mut self, rings: &PeersRings) {
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
    /// Takes what this host saw, or what the store kept.
    pub(super) fn take_suspects(
        self: &Rc<Self>,
        notices: Vec<SuspectUpdate>,
        source: SuspectSource,
    ) {
        let first_hand = source == SuspectSource::Guard;
        if first_hand {
            for notice in &notices {
                self.keep_blame(*notice);
            }
        }
        self.step(MembershipEvent::Suspect { notices, first_hand });
    }

    /// Lets a request through again; `false` if nothing was known of it.
    pub(super) fn forgive(self: &Rc<Self>, digest: RequestDigest) -> bool {
        let record = self.membership.borrow().suspects().standing(digest);
        if !record.is_suspected() {
            return false;
        }
        info!(self.logger, "forgiven"; "digest" => %digest, "crashes" => record.crashes);
        let notice = SuspectUpdate { digest, record: record.after_clearance() };
        self.take_suspects(vec![notice], SuspectSource::Guard);
        true
    }

    /// Has the store keep that a request is blamed, or no longer: all daemons may lose
    /// power at once, and no host has a disk.
    fn keep_blame(&self, notice: SuspectUpdate) {
        let before = self.membership.borrow().suspects().standing(notice.digest);
        let blamed = notice.record.is_blamed();
        if notice.record <= before || blamed == before.is_blamed() {
            return;
        }
        let write = PlatformEvent::Write(blame::write(notice));
        if self.rings.platform.push(write).is_err() {
            self.metrics.ring_drops.with_label_values(&["platform"]).inc();
        }
    }

    /// Hands on what is known now, and tells of the steps that change what may run.
    pub(super) fn note_suspects(&self, notices: &[SuspectUpdate]) {
        for SuspectUpdate { digest, record } in notices {
            let word = belief(*record);
            // Of a first crash its guard tells, once for all that ran there.
            if record.runs_alone() || !record.is_suspected() {
                info!(self.logger, "request"; "digest" => %digest, "belief" => word,
                    "crashes" => record.crashes, "clearances" => record.clearances);
            }
        }
        let blamed = self.membership.borrow().suspects().blamed().len();
        self.metrics.blamed_requests.set(i64::try_from(blamed).unwrap_or(i64::MAX));
        self.feed.borrow_mut().add(notices);
    }
}

/// Returns what is believed of a request, in a word.
const fn belief(record: SuspectRecord) -> &'static str {
    if record.is_blamed() {
        "blamed"
    } else if record.is_suspected() {
        "suspected"
    } else {
        "cleared"
    }
}
