//! Which data centres an operator wants empty.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::base::ids::CentreName;

/// The data centres whose targets get no calls, as the platform's store had them at a
/// moment.
///
/// Invariant: of two notices the one of the greater version is the truth; what was
/// acknowledged at a version is in every notice of that version or a greater one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationState {
    /// Version of the store as it was read; zero before it was.
    pub version: u64,
    /// The data centres.
    pub centres: BTreeSet<CentreName>,
}

/// What was read of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationUpdate {
    /// All data centres that are evacuated.
    Snapshot(BTreeSet<CentreName>),
    /// Each that changed since the last update, and whether it is evacuated now; the
    /// latest change last.
    Changes(Vec<(CentreName, bool)>),
}

/// Bytes of names that one notice carries at most, since every message between daemons
/// has it: some tens of data centres. Of more, the last in order are left out.
const MAX_NAMES: usize = 512;

impl EvacuationState {
    /// Returns the bytes of the names, with the length of each.
    #[must_use]
    pub fn encoded_size(&self) -> usize {
        self.centres.iter().map(name_size).sum()
    }

    /// Takes what was read at a version of the store; `true` if a data centre is
    /// evacuated now, or is no longer.
    pub fn apply(&mut self, version: u64, update: EvacuationUpdate) -> bool {
        let mut centres = self.centres.clone();
        match update {
            EvacuationUpdate::Snapshot(whole) => centres = whole,
            EvacuationUpdate::Changes(changes) => {
                for (centre, evacuated) in changes {
                    if evacuated {
                        centres.insert(centre);
                    } else {
                        centres.remove(&centre);
                    }
                }
            }
        }
        let mut size = 0;
        centres.retain(|centre| {
            size += name_size(centre);
            size <= MAX_NAMES
        });
        self.merge(Self { version, centres })
    }

    /// Takes another notice if it is newer; `true` if it says something else.
    pub fn merge(&mut self, other: Self) -> bool {
        if other.version <= self.version {
            return false;
        }
        let differs = self.centres != other.centres;
        *self = other;
        differs
    }
}

fn name_size(centre: &CentreName) -> usize {
    centre.as_str().len() + 1
}
