//! Data centres that an operator has evacuated.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::base::ids::CentreName;

/// Evacuated data centres, whose targets get no calls, at one version of the platform's
/// store.
///
/// Invariant: of two states, the one with the greater version is valid. A change that the
/// store acknowledged at a version is in every state of that or a greater version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationState {
    /// Version of the store when it was read; zero before the first read.
    pub version: u64,
    /// The evacuated data centres.
    pub centres: BTreeSet<CentreName>,
}

/// Evacuations read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationUpdate {
    /// All evacuated data centres.
    Snapshot(BTreeSet<CentreName>),
    /// Data centres that changed since the last read, and whether each is evacuated now;
    /// the latest change is last.
    Changes(Vec<(CentreName, bool)>),
}

/// Maximum total size of the names in one state, in bytes.
///
/// Every gossip message carries the state, so it is limited to some tens of data centres;
/// names over the limit are left out, the last in order first.
const MAX_NAMES_BYTES: usize = 512;

impl EvacuationState {
    /// Returns the encoded size of the names, each with its length field, in bytes.
    #[must_use]
    pub fn encoded_size(&self) -> usize {
        self.centres.iter().map(name_size).sum()
    }

    /// Applies what was read at a version of the store; returns whether the set of
    /// evacuated data centres changed.
    pub fn apply(&mut self, version: u64, update: EvacuationUpdate) -> bool {
        let mut centres = self.centres.clone();
        match update {
            EvacuationUpdate::Snapshot(snapshot) => centres = snapshot,
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
            size <= MAX_NAMES_BYTES
        });
        self.merge(Self { version, centres })
    }

    /// Replaces the state by another one if that is newer; returns whether the set of evacuated
    /// data centres changed.
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
