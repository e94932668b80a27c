//! Crash records of requests that are suspected of crashing targets.

use serde::{Deserialize, Serialize};

use crate::base::digest::RequestDigest;

/// Number of chained crashes after which a request is blamed: no daemon sends it to a
/// target any more.
///
/// Crashes are chained if each target crashed under a run that began when the crash before
/// was known. The users' limit applies to copies that arrive after the third crash. Two
/// crashes can be a coincidence: a retried call may run beside the request that crashed
/// its first target, because that request is retried as well.
pub const BLAMED_AFTER_CRASHES: u8 = 3;

/// Number of chained crashes from which on a target runs at most one request with such a
/// record at a time, so that the next crash shows which request is at fault.
pub const RUNS_ALONE_AFTER_CRASHES: u8 = 2;

/// Crash record of one request.
///
/// Of two records of a request the greater is valid: the one with more clearances, then
/// the one with more crashes. The order of the fields implements that.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SuspectRecord {
    /// Number of times the request was cleared, by a run that its target answered or by an
    /// operator.
    pub clearances: u32,
    /// Chained crashes since the last clearance, at most [`BLAMED_AFTER_CRASHES`].
    pub crashes: u8,
}

impl SuspectRecord {
    /// Returns whether a target crashed under the request since its last clearance.
    #[must_use]
    pub const fn is_suspected(self) -> bool {
        self.crashes > 0
    }

    /// Returns whether a target may run only one request with such a record at a time.
    #[must_use]
    pub const fn runs_alone(self) -> bool {
        self.crashes >= RUNS_ALONE_AFTER_CRASHES
    }

    /// Returns whether the request is blamed, and so is not sent to any target.
    #[must_use]
    pub const fn is_blamed(self) -> bool {
        self.crashes >= BLAMED_AFTER_CRASHES
    }

    /// Returns the record after a target crashed under a run that began with this record.
    #[must_use]
    pub const fn after_crash(self) -> Self {
        let next = self.crashes.saturating_add(1);
        let crashes = if next > BLAMED_AFTER_CRASHES { BLAMED_AFTER_CRASHES } else { next };
        Self { crashes, ..self }
    }

    /// Returns the record after the request was cleared.
    #[must_use]
    pub const fn after_clearance(self) -> Self {
        Self { clearances: self.clearances.saturating_add(1), crashes: 0 }
    }
}

/// Crash record of a request as daemons exchange and store it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// The request.
    pub digest: RequestDigest,
    /// Its crash record.
    pub record: SuspectRecord,
}
