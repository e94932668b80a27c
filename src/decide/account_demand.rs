//! Requests of client accounts that passed through one entry lately, for operators.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::base::clock::MicroTime;
use crate::base::ids::AccountName;

/// Length of the periods in which requests are counted.
const PERIOD: MicroTime = MicroTime::from_millis(2_000);

/// Number of periods that a report covers, including the current one: ten to twelve seconds.
const PERIODS: u64 = 6;

/// Maximum number of accounts that are counted in one period, more than an entry serves
/// requests in it; the requests of further accounts are only summed up.
const MAX_ACCOUNTS: usize = 2_000;

/// Maximum number of pairs of reason and rank by which the refusals of one account are counted in
/// one period; there are about twenty reasons, and accounts use few ranks. Further ones are
/// counted by rank alone.
const MAX_REFUSAL_KINDS: usize = 32;

/// Reason under which refusals beyond [`MAX_REFUSAL_KINDS`] are counted.
const OTHER_REASON: &str = "other";

/// End of an account's request at an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd<'a> {
    /// A target answered it.
    Answered,
    /// It did not run, for this reason.
    Refused(&'a str),
    /// It has no answer: it may have run, or its caller disconnected.
    Unanswered,
}

/// Number of requests that were refused for one reason, of one rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalCount {
    /// Reason of the refusals.
    pub reason: String,
    /// Rank of the requests; zero is the most urgent.
    pub rank: u8,
    /// Number of requests.
    pub requests: u64,
}

/// Numbers of an account's requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountCounts {
    /// All requests that ended.
    pub requests: u64,
    /// Requests that a target answered.
    pub answered: u64,
    /// Requests that did not run, by reason and rank.
    pub refused: Vec<RefusalCount>,
}

impl AccountCounts {
    /// Adds the counts of another period or entry.
    pub(crate) fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        for refusal in &other.refused {
            self.add_refusals(&refusal.reason, refusal.rank, refusal.requests);
        }
    }

    fn add_refusals(&mut self, reason: &str, rank: u8, requests: u64) {
        let is_known = |known: &RefusalCount, reason| known.reason == reason && known.rank == rank;
        let is_full = self.refused.len() >= MAX_REFUSAL_KINDS;
        let is_new = !self.refused.iter().any(|known| is_known(known, reason));
        let reason = if is_full && is_new { OTHER_REASON } else { reason };
        match self.refused.iter_mut().find(|known| is_known(known, reason)) {
            Some(known) => known.requests += requests,
            None => self.refused.push(RefusalCount { reason: reason.to_owned(), rank, requests }),
        }
    }
}

/// Requests of all accounts at one entry, over the last seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Time that the report covers, in milliseconds.
    pub span_ms: u64,
    /// Requests of accounts that are not listed, since too many accounts made requests.
    pub uncounted: u64,
    /// Counts by account.
    pub accounts: BTreeMap<AccountName, AccountCounts>,
}

/// Counts of one period.
#[derive(Debug, Default)]
struct DemandPeriod {
    /// Number of the period since the start of the process.
    number: u64,
    uncounted: u64,
    accounts: HashMap<AccountName, AccountCounts>,
}

/// Counter of the requests of client accounts at one entry.
///
/// Invariant: it keeps at most [`PERIODS`] periods, each with at most [`MAX_ACCOUNTS`] accounts.
#[derive(Debug, Default)]
pub struct AccountDemand {
    /// Periods with requests, oldest first.
    periods: VecDeque<DemandPeriod>,
}

impl AccountDemand {
    /// Counts a request that ended.
    pub fn record(&mut self, now: MicroTime, account: &AccountName, rank: u8, end: RequestEnd<'_>) {
        self.drop_old(now);
        let number = now.0 / PERIOD.0;
        if self.periods.back().is_none_or(|newest| newest.number < number) {
            self.periods.push_back(DemandPeriod { number, ..DemandPeriod::default() });
        }
        let Some(period) = self.periods.back_mut() else { return };
        if !period.accounts.contains_key(account) && period.accounts.len() >= MAX_ACCOUNTS {
            period.uncounted += 1;
            return;
        }
        let counts = period.accounts.entry(account.clone()).or_default();
        counts.requests += 1;
        match end {
            RequestEnd::Answered => counts.answered += 1,
            RequestEnd::Refused(reason) => counts.add_refusals(reason, rank, 1),
            RequestEnd::Unanswered => {}
        }
    }

    /// Returns the requests of the last seconds.
    pub fn report(&mut self, now: MicroTime) -> DemandReport {
        self.drop_old(now);
        let covered_since = MicroTime(oldest_period(now) * PERIOD.0);
        let mut report =
            DemandReport { span_ms: now.since(covered_since).0 / 1_000, ..DemandReport::default() };
        for period in &self.periods {
            report.uncounted += period.uncounted;
            for (account, counts) in &period.accounts {
                report.accounts.entry(account.clone()).or_default().add(counts);
            }
        }
        report
    }

    fn drop_old(&mut self, now: MicroTime) {
        while self.periods.front().is_some_and(|period| period.number < oldest_period(now)) {
            self.periods.pop_front();
        }
    }
}

/// Returns the number of the oldest period that a report covers.
const fn oldest_period(now: MicroTime) -> u64 {
    (now.0 / PERIOD.0 + 1).saturating_sub(PERIODS)
}
