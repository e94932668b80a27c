//! What daemons tell each other of requests that are suspected of ending targets.

use serde::{Deserialize, Serialize};

use crate::base::digest::RequestDigest;

/// Crashes in a chain after which a request reaches no target any more.
///
/// The users' bound counts what arrives after the third. Two could be chance: a call
/// that is tried again runs beside whatever ended its first target, which is tried
/// again, too.
pub const BLAMED_AFTER_CRASHES: u8 = 3;

/// Crashes from which on a request runs alone of its kind at a target: what ends with it
/// is then told from it by the next crash.
pub const RUNS_ALONE_AFTER_CRASHES: u8 = 2;

/// What is known of one request's part in crashes.
///
/// Of two records the greater holds: what was cleared later, then what crashed more.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SuspectRecord {
    /// How often it was found innocent, or let through by an operator.
    pub clearances: u32,
    /// Crashes in a chain since then, up to [`BLAMED_AFTER_CRASHES`].
    pub crashes: u8,
}

impl SuspectRecord {
    /// Tells whether a target ended under the request.
    #[must_use]
    pub const fn is_suspected(self) -> bool {
        self.crashes > 0
    }

    /// Tells whether only one such request at a time may run at a target.
    #[must_use]
    pub const fn runs_alone(self) -> bool {
        self.crashes >= RUNS_ALONE_AFTER_CRASHES
    }

    /// Tells whether the request may reach no target.
    #[must_use]
    pub const fn is_blamed(self) -> bool {
        self.crashes >= BLAMED_AFTER_CRASHES
    }

    /// Returns the record after a target ended under a run that began with this one.
    #[must_use]
    pub const fn after_crash(self) -> Self {
        let more = self.crashes.saturating_add(1);
        let crashes = if more > BLAMED_AFTER_CRASHES { BLAMED_AFTER_CRASHES } else { more };
        Self { crashes, ..self }
    }

    /// Returns the record after the request was found innocent.
    #[must_use]
    pub const fn after_clearance(self) -> Self {
        Self { clearances: self.clearances.saturating_add(1), crashes: 0 }
    }
}

/// What one daemon tells another of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// The request.
    pub digest: RequestDigest,
    /// What is known of it.
    pub record: SuspectRecord,
}
