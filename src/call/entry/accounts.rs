//! Client accounts at the entry: their use of their quotas, and what they requested lately.

use super::EntryDuty;
use crate::base::ids::AccountName;

impl EntryDuty {
    /// Returns the use of an account's quota over the fleet, in thousandths; zero if unknown.
    #[expect(clippy::unused_self, reason = "the quota state of the entry will supply the value")]
    pub(super) const fn account_usage(&self, _account: &AccountName) -> u16 {
        0
    }
}
