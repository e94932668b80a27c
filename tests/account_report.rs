//! What operators see of client accounts: counts at each entry, and their sum over the fleet.

use railspan::{
    AccountDemand, AccountName, AccountsPage, DemandSum, MicroTime, RequestEnd, render_accounts,
};

const NOW: MicroTime = MicroTime::from_millis(60_000);

/// Returns the page of a daemon whose accounts made `requests(number)` requests each; every third
/// is over the quota.
fn page(accounts: usize, requests: impl Fn(usize) -> u64) -> AccountsPage {
    let mut demand = AccountDemand::default();
    let mut page = AccountsPage::default();
    for number in 0..accounts {
        let account = AccountName::from(format!("account-{number:03}").as_str());
        for request in 0..requests(number) {
            let over = request % 3 == 2;
            let end = if over { RequestEnd::Refused("over_quota") } else { RequestEnd::Answered };
            demand.record(NOW, &account, 1, end);
        }
        page.quotas_per_s.insert(account, 12.5);
    }
    page.report = demand.report(NOW);
    page
}

/// Requests over the quota are demand but no use, and the counts of all daemons add up.
#[test]
fn the_report_sums_accounts_over_daemons() {
    let mut sum = DemandSum::default();
    sum.add(&page(2, |number| if number == 0 { 30 } else { 300 }));
    sum.add(&page(1, |_| 60));
    let text = render_accounts(&sum.finish(3), false);
    let expected = "\
requests of about the last 10 s at 2 of 3 daemons
ACCOUNT                   DEMAND/S     USE/S   QUOTA/S ANSWERED  REFUSED
account-001                   30.0      20.0      12.5    66.7%  100 over_quota of rank 1
account-000                    9.0       6.0      12.5    66.7%  30 over_quota of rank 1";
    assert_eq!(text, expected);
}

/// The report of many accounts fits a screen, unless all are asked for.
#[test]
fn the_twenty_accounts_with_the_highest_demand_are_listed() {
    let mut sum = DemandSum::default();
    sum.add(&page(90, |number| number as u64 + 1));
    let demand = sum.finish(1);
    let text = render_accounts(&demand, false);
    assert!(text.contains("account-089") && text.contains("account-070"), "{text}");
    assert!(!text.contains("account-069"), "{text}");
    assert!(text.ends_with("and 70 more; --all lists every account"), "{text}");
    let all = render_accounts(&demand, true);
    assert!((0..90).all(|number| all.contains(&format!("account-{number:03}"))), "{all}");
}

/// Neither many accounts nor many kinds of refusals may take unbounded memory, and old
/// requests are forgotten.
#[test]
fn counts_of_an_entry_are_bounded_and_cover_the_last_seconds() {
    let mut demand = AccountDemand::default();
    let name = |number: usize| AccountName::from(format!("account-{number}").as_str());
    for number in 0..10_000 {
        demand.record(NOW, &name(number), 1, RequestEnd::Unanswered);
    }
    for number in 0..1_000 {
        demand.record(NOW, &name(0), 1, RequestEnd::Refused(&format!("reason-{number}")));
    }
    let report = demand.report(NOW);
    assert_eq!(report.accounts.len() as u64 + report.uncounted, 10_000);
    assert!(report.uncounted > 0);
    let refused = &report.accounts[&name(0)].refused;
    assert!(refused.len() <= 33, "{} kinds of refusals", refused.len());
    assert_eq!(refused.iter().map(|kind| kind.requests).sum::<u64>(), 1_000);
    assert!((10_000..=12_000).contains(&report.span_ms), "{} ms", report.span_ms);

    let later = NOW + MicroTime::from_millis(8_000);
    demand.record(later, &name(1), 1, RequestEnd::Answered);
    assert_eq!(demand.report(later).accounts[&name(1)].requests, 2);
    let much_later = later + MicroTime::from_millis(12_000);
    assert!(demand.report(much_later).accounts.is_empty());
}
