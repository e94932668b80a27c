//! Client accounts at the entry: their use of their quotas, and what they requested lately.

use std::collections::HashMap;

use http::Response;
use serde_json::{Value, json};

use super::EntryDuty;
use crate::base::ids::AccountName;
use crate::call::headers;
use crate::call::responses::{CallOutcome, ResponseBody};
use crate::decide::account_demand::RequestEnd;
use crate::rules::account::AccountParameters;

/// Account and rank of a request.
#[derive(Clone, Debug)]
pub(super) struct RankedAccount {
    pub(super) name: AccountName,
    /// Zero is the most urgent.
    pub(super) rank: u8,
}

impl EntryDuty {
    /// Returns the use of an account's quota over the fleet, in thousandths; zero if unknown.
    pub(super) fn account_usage(&self, account: &AccountName) -> u16 {
        self.quotas.usage_permille(account)
    }

    /// Counts a request of an account; `response` is `None` if its caller disconnected.
    pub(super) fn count_request(
        &self,
        account: &RankedAccount,
        response: Option<&Response<ResponseBody>>,
    ) {
        let text = |name| response.and_then(|response| headers::get_str(response.headers(), name));
        let end = match text(headers::OUTCOME) {
            Some(outcome) if outcome == CallOutcome::Answered.as_str() => RequestEnd::Answered,
            Some(outcome) if outcome == CallOutcome::NotRun.as_str() => {
                RequestEnd::Refused(text(headers::REASON).unwrap_or_default())
            }
            _ => RequestEnd::Unanswered,
        };
        let mut demand = self.account_demand.borrow_mut();
        demand.record(self.clock.now(), &account.name, account.rank, end);
    }

    /// Returns what the accounts requested here lately, with their quotas, as JSON.
    pub(super) fn describe_accounts(&self) -> Value {
        let report = self.account_demand.borrow_mut().report(self.clock.now());
        let active = self.active.borrow();
        let accounts: &[AccountParameters] =
            active.as_ref().map_or(&[], |active| &active.config.accounts);
        let quota_of = |account: &AccountParameters| {
            let quota = account.quota?;
            let is_listed = report.accounts.contains_key(&account.name);
            is_listed.then(|| (account.name.clone(), quota.per_1000_s as f64 / 1_000.0))
        };
        let quotas: HashMap<AccountName, f64> = accounts.iter().filter_map(quota_of).collect();
        json!({ "report": report, "quotas_per_s": quotas })
    }
}
