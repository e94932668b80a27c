//! Requests suspected of crashing the targets that run them.
//!
//! A request that crashes each target it runs at and is repeated at every host would take
//! down a whole service. When a target crashes, every request running there is suspected,
//! and one of them is to blame. A crash record therefore counts chained crashes: when a
//! target crashes, each request that ran there gets the record known at the start of its run
//! plus one crash. Crashes of runs that started without knowledge of each other, as at
//! several targets that lose power together, therefore count as one. A run that is answered
//! clears its request at once, whichever daemon suspected it.
//!
//! Records of several daemons are merged to their maximum. Merging is commutative and
//! idempotent, so gossip, retries and restarts can't count a crash twice.

use std::collections::HashMap;

use crate::base::clock::MicroTime;
use crate::base::digest::RequestDigest;
use crate::base::suspect::{SuspectRecord, SuspectUpdate};

/// Maximum number of records that are kept: those of the requests running at a hundred crashed
/// targets with twenty calls each. A record takes about 64 bytes.
pub const MAX_SUSPECTS: usize = 2_048;

/// Time for which the record of a request that is not blamed is kept after its last change
/// while there are more than [`MAX_SUSPECTS`]: a day, since it may belong to a daily job.
const SUSPECT_RETENTION: MicroTime = MicroTime::from_millis(24 * 3_600 * 1_000);

/// Effect of merging an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeEffect {
    /// The update is newer than the known record and replaced it.
    New,
    /// The update equals the known record.
    Known,
    /// The known record is newer than the update.
    Outdated,
}

#[derive(Clone, Copy, Debug)]
struct KnownSuspect {
    record: SuspectRecord,
    changed_at: MicroTime,
}

/// Suspected requests known to one daemon.
///
/// Invariants: a record never decreases while it is kept; at most [`MAX_SUSPECTS`] records are
/// kept. Of those with the fewest crashes the oldest is evicted first, so that a flood of
/// suspects can't evict a blamed request.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    suspects: HashMap<RequestDigest, KnownSuspect>,
    /// Hash over the blamed requests; equal at daemons that blame the same requests.
    blamed_hash: u64,
}

impl CrashSuspects {
    /// Returns the record of a request; the default record if it is not suspected.
    #[must_use]
    pub fn record(&self, digest: RequestDigest) -> SuspectRecord {
        self.suspects.get(&digest).map(|known| known.record).unwrap_or_default()
    }

    /// Merges the record of an update into the known one.
    pub fn merge(&mut self, now: MicroTime, update: SuspectUpdate) -> MergeEffect {
        let SuspectUpdate { digest, record } = update;
        let before = self.record(digest);
        if record <= before {
            return if record < before { MergeEffect::Outdated } else { MergeEffect::Known };
        }
        self.toggle_blamed_hash(digest, before);
        self.toggle_blamed_hash(digest, record);
        self.suspects.insert(digest, KnownSuspect { record, changed_at: now });
        self.evict_excess(now);
        MergeEffect::New
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns a hash over the blamed requests; zero if there are none.
    #[must_use]
    pub const fn blamed_hash(&self) -> u64 {
        self.blamed_hash
    }

    /// Returns the blamed requests, which are sent to no target, ordered by digest.
    #[must_use]
    pub fn blamed(&self) -> Vec<SuspectUpdate> {
        self.select(SuspectRecord::is_blamed)
    }

    /// Returns all records, ordered by digest.
    #[must_use]
    pub fn updates(&self) -> Vec<SuspectUpdate> {
        self.select(|_record| true)
    }

    fn select(&self, is_selected: impl Fn(SuspectRecord) -> bool) -> Vec<SuspectUpdate> {
        let all = self.suspects.iter();
        let mut updates: Vec<SuspectUpdate> = all
            .map(|(digest, known)| SuspectUpdate { digest: *digest, record: known.record })
            .filter(|update| is_selected(update.record))
            .collect();
        updates.sort_unstable_by_key(|update| update.digest);
        updates
    }

    /// Adds a blamed request to the hash, or removes it if it is included already.
    fn toggle_blamed_hash(&mut self, digest: RequestDigest, record: SuspectRecord) {
        if record.is_blamed() {
            let hash = blake3::hash(
                &[&digest.0.to_le_bytes()[..], &record.clearances.to_le_bytes()].concat(),
            );
            let bytes = hash.as_bytes().first_chunk().copied().unwrap_or_default();
            self.blamed_hash ^= u64::from_le_bytes(bytes);
        }
    }

    /// Evicts records while there are more than [`MAX_SUSPECTS`].
    fn evict_excess(&mut self, now: MicroTime) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let is_kept = |known: &KnownSuspect| {
            known.record.is_blamed() || now.since(known.changed_at) < SUSPECT_RETENTION
        };
        self.suspects.retain(|_digest, known| is_kept(known));
        let rank = |known: &KnownSuspect| (known.record.crashes, known.changed_at);
        while self.suspects.len() > MAX_SUSPECTS {
            let least = self.suspects.iter().min_by_key(|(digest, known)| (rank(known), **digest));
            let Some((&digest, known)) = least else { return };
            let record = known.record;
            self.toggle_blamed_hash(digest, record);
            self.suspects.remove(&digest);
        }
    }
}
