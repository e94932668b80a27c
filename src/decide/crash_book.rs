//! Which requests are suspected of ending the targets that run them.
//!
//! Pure. Answers load in which one request ends each target that runs it and comes again
//! at any host: unchecked it takes a whole service down. When a target ends, whatever
//! ran there is suspected, and one of it is to blame. So a suspicion counts crashes in a
//! chain: a run that began with a suspicion known, and ended its target all the same,
//! adds one to it; runs that began in ignorance of each other, as those at several
//! targets that lose power together, count as one. A run that is answered clears its
//! request at once, whoever suspected it.
//!
//! Records of several daemons merge to the greater one, in any order and any number of
//! times, so that gossip, retries and restarts can't count a crash twice.

use std::collections::HashMap;

use crate::base::clock::MicroTime;
use crate::base::digest::RequestDigest;
use crate::base::suspect::{SuspectRecord, SuspectUpdate};

/// Requests remembered at most: what ran at a hundred targets that ended, at twenty
/// calls each. A record takes some 64 bytes.
pub const MAX_SUSPECTS: usize = 2_048;

/// Time for which a request that is not blamed is remembered after its last crash: a
/// day, since it may be one that comes with the day's jobs.
const SUSPECTED_FOR: MicroTime = MicroTime::from_millis(24 * 3_600 * 1_000);

/// What a notice changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeEffect {
    /// It says more than was known.
    New,
    /// It says what was known.
    Known,
    /// More is known here than it says.
    Outdated,
}

#[derive(Clone, Copy, Debug)]
struct KnownSuspect {
    record: SuspectRecord,
    changed: MicroTime,
}

/// The suspected requests that one daemon knows of.
///
/// Invariants: a record never falls while it is remembered; at most [`MAX_SUSPECTS`]
/// are, and of those that crashed less often the oldest is forgotten first, so that a
/// flood of suspects can't push out one that is blamed.
#[derive(Clone, Debug, Default)]
pub struct CrashBook {
    suspects: HashMap<RequestDigest, KnownSuspect>,
    /// Over the blamed ones; equal at daemons that blame the same requests.
    blamed_hash: u64,
}

impl CrashBook {
    /// Returns what is known of a request.
    #[must_use]
    pub fn standing(&self, digest: RequestDigest) -> SuspectRecord {
        self.suspects.get(&digest).map(|known| known.record).unwrap_or_default()
    }

    /// Takes over what a notice says, if it says more than is known.
    pub fn learn(&mut self, now: MicroTime, notice: SuspectUpdate) -> NoticeEffect {
        let SuspectUpdate { digest, record } = notice;
        let before = self.standing(digest);
        if record <= before {
            return if record < before { NoticeEffect::Outdated } else { NoticeEffect::Known };
        }
        self.count_blame(digest, before);
        self.count_blame(digest, record);
        self.suspects.insert(digest, KnownSuspect { record, changed: now });
        self.make_room(now);
        NoticeEffect::New
    }

    /// Returns how many requests are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Tells whether nothing is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns a hash over the blamed requests, zero where there are none.
    #[must_use]
    pub const fn blamed_hash(&self) -> u64 {
        self.blamed_hash
    }

    /// Returns the requests that reach no target, in order.
    #[must_use]
    pub fn blamed(&self) -> Vec<SuspectUpdate> {
        self.select(SuspectRecord::is_blamed)
    }

    /// Returns all that is known, in order.
    #[must_use]
    pub fn notices(&self) -> Vec<SuspectUpdate> {
        self.select(|_record| true)
    }

    fn select(&self, wanted: impl Fn(SuspectRecord) -> bool) -> Vec<SuspectUpdate> {
        let all = self.suspects.iter();
        let mut notices: Vec<SuspectUpdate> = all
            .map(|(digest, known)| SuspectUpdate { digest: *digest, record: known.record })
            .filter(|notice| wanted(notice.record))
            .collect();
        notices.sort_unstable_by_key(|notice| notice.digest);
        notices
    }

    /// Adds a blamed request to the hash, or takes it out again.
    fn count_blame(&mut self, digest: RequestDigest, record: SuspectRecord) {
        if record.is_blamed() {
            let hash = blake3::hash(
                &[&digest.0.to_le_bytes()[..], &record.clearances.to_le_bytes()].concat(),
            );
            let bytes = hash.as_bytes().first_chunk().copied().unwrap_or_default();
            self.blamed_hash ^= u64::from_le_bytes(bytes);
        }
    }

    fn make_room(&mut self, now: MicroTime) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let kept = |known: &KnownSuspect| {
            known.record.is_blamed() || now.since(known.changed) < SUSPECTED_FOR
        };
        self.suspects.retain(|_digest, known| kept(known));
        let least = |known: &KnownSuspect| (known.record.crashes, known.changed);
        while self.suspects.len() > MAX_SUSPECTS {
            let worst = self.suspects.iter().min_by_key(|(digest, known)| (least(known), **digest));
            let Some((&digest, known)) = worst else { return };
            let record = known.record;
            self.count_blame(digest, record);
            self.suspects.remove(&digest);
        }
    }
}
