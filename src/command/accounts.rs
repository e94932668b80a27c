//! `railspan accounts`: shows what client accounts request and what they are served.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use gumdrop::Options;
use serde::{Deserialize, Serialize};

use crate::base::ids::AccountName;
use crate::command::operator::{self, required_address};
use crate::command::output::{self, CommandOutput};
use crate::decide::account_demand::{AccountCounts, DemandReport, RefusalCount};

/// Number of accounts that are listed without `--all`.
const MAX_LISTED: usize = 20;

/// Number of kinds of refusals that the text names for each account.
const MAX_REFUSAL_KINDS: usize = 4;

/// Reasons of refusals because of the quota; all other requests used it.
const QUOTA_REASONS: [&str; 2] = ["over_quota", "quota_unreached"];

#[derive(Debug, Options)]
pub(crate) struct AccountsOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(
        required,
        help = "admin address of any daemon; requests are summed over the daemons that it \
                knows to be up and that answer within 5 s",
        meta = "IP:PORT"
    )]
    daemon: Option<SocketAddr>,

    #[options(no_short, help = "list every account, not only the 20 with the highest demand")]
    all: bool,

    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// A daemon's page about the accounts whose requests passed through its entry lately.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AccountsPage {
    /// Requests by account.
    pub report: DemandReport,
    /// Quotas of the listed accounts that have one, in requests per second.
    pub quotas_per_s: BTreeMap<AccountName, f64>,
}

/// Requests of one account over the fleet, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AccountStatus {
    /// Name of the account.
    pub account: AccountName,
    /// All requests per second.
    pub demand_per_s: f64,
    /// Requests per second that its quota admitted.
    pub use_per_s: f64,
    /// Its quota in requests per second, if it has one.
    pub quota_per_s: Option<f64>,
    /// Share of its requests that a target answered, from 0 to 1.
    pub answered_share: f64,
    /// Requests that did not run, by reason and rank; the most frequent first.
    pub refused: Vec<RefusalCount>,
}

/// Requests of all accounts over the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetDemand {
    /// Number of daemons in the fleet.
    pub daemons: usize,
    /// Number of daemons whose requests are included.
    pub answered: usize,
    /// Requests of accounts that are not listed, since too many accounts made requests.
    pub uncounted: u64,
    /// Accounts, those with the highest demand first.
    pub accounts: Vec<AccountStatus>,
}

/// Sum of the daemons' pages while they arrive.
#[derive(Debug, Default)]
pub struct DemandSum {
    answered: usize,
    uncounted: u64,
    accounts: BTreeMap<AccountName, AccountSum>,
}

#[derive(Debug, Default)]
struct AccountSum {
    counts: AccountCounts,
    demand_per_s: f64,
    use_per_s: f64,
    quota_per_s: Option<f64>,
}

impl DemandSum {
    /// Adds the page of one daemon.
    pub fn add(&mut self, page: &AccountsPage) {
        self.answered += 1;
        self.uncounted += page.report.uncounted;
        let span_s = page.report.span_ms.max(1) as f64 / 1_000.0;
        for (account, counts) in &page.report.accounts {
            let sum = self.accounts.entry(account.clone()).or_default();
            let is_quota = |refusal: &&RefusalCount| QUOTA_REASONS.contains(&&*refusal.reason);
            let over: u64 =
                counts.refused.iter().filter(is_quota).map(|refusal| refusal.requests).sum();
            sum.counts.add(counts);
            sum.demand_per_s += counts.requests as f64 / span_s;
            sum.use_per_s += counts.requests.saturating_sub(over) as f64 / span_s;
            sum.quota_per_s = sum.quota_per_s.or(page.quotas_per_s.get(account).copied());
        }
    }

    /// Returns the demand over a fleet of `daemons` daemons.
    #[must_use]
    pub fn finish(self, daemons: usize) -> FleetDemand {
        let mut accounts: Vec<AccountStatus> =
            self.accounts.into_iter().map(|(account, sum)| sum.status(account)).collect();
        accounts.sort_by(|left, right| right.demand_per_s.total_cmp(&left.demand_per_s));
        FleetDemand { daemons, answered: self.answered, uncounted: self.uncounted, accounts }
    }
}

impl AccountSum {
    fn status(self, account: AccountName) -> AccountStatus {
        let mut refused = self.counts.refused;
        refused.sort_by_key(|refusal| std::cmp::Reverse(refusal.requests));
        AccountStatus {
            account,
            demand_per_s: self.demand_per_s,
            use_per_s: self.use_per_s,
            quota_per_s: self.quota_per_s,
            answered_share: self.counts.answered as f64 / self.counts.requests.max(1) as f64,
            refused,
        }
    }
}

pub(crate) async fn run(options: &AccountsOptions) -> CommandOutput {
    let daemon = required_address(options.daemon);
    let mut sum = DemandSum::default();
    let daemons = operator::query_fleet(daemon, "/accounts", |page: AccountsPage| sum.add(&page));
    let mut demand = match daemons.await {
        Ok(daemons) => sum.finish(daemons),
        Err(error) => return CommandOutput::from(&error),
    };
    if options.json {
        if !options.all {
            demand.accounts.truncate(MAX_LISTED);
        }
        return CommandOutput::success(output::to_json(&demand));
    }
    CommandOutput::success(render_accounts(&demand, options.all))
}

/// Renders accounts as text: the twenty with the highest demand, or all if `all` is set.
#[must_use]
pub fn render_accounts(demand: &FleetDemand, all: bool) -> String {
    let FleetDemand { daemons, answered, uncounted, accounts } = demand;
    let mut text = format!("requests of about the last 10 s at {answered} of {daemons} daemons\n");
    if *uncounted > 0 {
        _ = writeln!(text, "{uncounted} requests of further accounts were not counted by account");
    }
    _ = write!(
        text,
        "{:<24} {:>9} {:>9} {:>9} {:>8}  REFUSED",
        "ACCOUNT", "DEMAND/S", "USE/S", "QUOTA/S", "ANSWERED"
    );
    let listed = if all { accounts.len() } else { MAX_LISTED };
    for status in accounts.iter().take(listed) {
        let quota =
            status.quota_per_s.map_or_else(|| "-".to_owned(), |quota| format!("{quota:.1}"));
        _ = write!(
            text,
            "\n{:<24} {:>9.1} {:>9.1} {quota:>9} {:>7.1}%  {}",
            status.account.as_str(),
            status.demand_per_s,
            status.use_per_s,
            status.answered_share * 100.0,
            describe_refusals(&status.refused)
        );
    }
    if accounts.len() > listed {
        _ = write!(text, "\nand {} more; --all lists every account", accounts.len() - listed);
    }
    text
}

fn describe_refusals(refused: &[RefusalCount]) -> String {
    let describe = |refusal: &RefusalCount| {
        format!("{} {} of rank {}", refusal.requests, refusal.reason, refusal.rank)
    };
    let mut kinds: Vec<String> = refused.iter().take(MAX_REFUSAL_KINDS).map(describe).collect();
    let others: u64 = refused.iter().skip(MAX_REFUSAL_KINDS).map(|refusal| refusal.requests).sum();
    if others > 0 {
        kinds.push(format!("{others} others"));
    }
    if kinds.is_empty() { "none".to_owned() } else { kinds.join(", ") }
}
