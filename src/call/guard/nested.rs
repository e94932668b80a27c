//! What the guard knows of the calls that targets make while they serve others.

use super::GuardDuty;
use crate::duty::events::NestedEnd;

impl GuardDuty {
    /// Handles the end of a call that the host's own target made.
    pub(super) fn handle_nested_end(&self, _end: &NestedEnd) {}
}
