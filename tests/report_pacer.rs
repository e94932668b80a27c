//! Pacing of load reports to watchers: within the rate, and evenly spaced.

#[path = "common/seeded.rs"]
mod seeded;

use proptest::prelude::*;
use railspan::{MicroTime, ProbeBudget, ReportPacer};
use seeded::seeded;

/// Size of one report to one watcher, in bytes.
const REPORT_BYTES: u64 = 50;

/// Time between two checks of a guard's load, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 20;

proptest! {
    #![proptest_config(seeded(300))]

    /// Over any time, no more bytes are granted than the rate permits plus one report to all
    /// watchers.
    #[test]
    fn reports_keep_to_the_rate(bytes_per_s in 100_u32..20_000, watchers in 1_u64..300, gaps in proptest::collection::vec(0_u64..200_000, 1..300)) {
        let mut pacer = ReportPacer::open(bytes_per_s);
        let mut now = MicroTime(0);
        let mut granted: Vec<u64> = Vec::new();
        for gap in gaps {
            now = now + MicroTime(gap);
            if pacer.try_take(now, watchers * REPORT_BYTES) {
                granted.push(now.0);
            }
        }
        for (index, first) in granted.iter().enumerate() {
            for (count, last) in granted[index..].iter().enumerate() {
                let bytes = (count as u64 + 1) * watchers * REPORT_BYTES;
                let allowed = (last - first) * u64::from(bytes_per_s) / 1_000_000 + watchers * REPORT_BYTES;
                prop_assert!(bytes <= allowed + count as u64 + 1, "{bytes} of {allowed}");
            }
        }
    }
}

/// Simulates ten seconds of a load that changes at every check; returns the mean age of the latest
/// report, in milliseconds.
fn mean_age_ms(mut may_report: impl FnMut(MicroTime) -> bool) -> u64 {
    let checks = 10_000 / CHECK_INTERVAL_MS;
    let mut reported_ms = 0;
    let mut total_age = 0;
    for check in 0..checks {
        let now_ms = check * CHECK_INTERVAL_MS;
        if may_report(MicroTime::from_millis(now_ms)) {
            reported_ms = now_ms;
        }
        total_age += now_ms - reported_ms;
    }
    total_age / checks
}

/// There are 24 local and 24 remote watchers and 10 kB per second. With one budget per second for
/// all of them, reports are 432 ms old in the mean. Evenly spaced, with 8 kB of the 10 kB for local
/// watchers, the mean age is 69 ms for local watchers and 286 ms for remote ones.
#[test]
fn paced_reports_are_newer_than_with_a_budget_per_second() {
    let mut budget = ProbeBudget::open(u32::MAX, 10_000);
    let budget_ms = mean_age_ms(|now| budget.try_take(now, 48, 48 * REPORT_BYTES as u32));
    let (mut local, mut remote) = (ReportPacer::open(8_000), ReportPacer::open(2_000));
    let local_ms = mean_age_ms(|now| local.try_take(now, 24 * REPORT_BYTES));
    let remote_ms = mean_age_ms(|now| remote.try_take(now, 24 * REPORT_BYTES));
    assert!(local_ms * 4 < budget_ms, "{local_ms} ms local, {budget_ms} ms by a budget per second");
    assert!(remote_ms < budget_ms, "{remote_ms} ms remote, {budget_ms} ms by a budget per second");
}
