//! Load reports to those who listen: within the rate, and evenly.

#[path = "common/seeded.rs"]
mod seeded;

use proptest::prelude::*;
use railspan::{MicroTime, ProbeBudget, ReportPacer};
use seeded::seeded;

/// Bytes of one report to one listener.
const REPORT: u64 = 50;

/// Time between two looks of a guard at its load.
const LOOK_MS: u64 = 20;

proptest! {
    #![proptest_config(seeded(300))]

    /// In no span more is granted than the rate and one report to all.
    #[test]
    fn reports_keep_to_their_rate(rate in 100_u32..20_000, listeners in 1_u64..300, gaps in proptest::collection::vec(0_u64..200_000, 1..300)) {
        let mut pacer = ReportPacer::open(rate);
        let mut now = MicroTime(0);
        let mut granted: Vec<u64> = Vec::new();
        for gap in gaps {
            now = now + MicroTime(gap);
            if pacer.try_take(now, listeners * REPORT) {
                granted.push(now.0);
            }
        }
        for (index, first) in granted.iter().enumerate() {
            for (more, last) in granted[index..].iter().enumerate() {
                let bytes = (more as u64 + 1) * listeners * REPORT;
                let allowed = (last - first) * u64::from(rate) / 1_000_000 + listeners * REPORT;
                prop_assert!(bytes <= allowed + more as u64 + 1, "{bytes} of {allowed}");
            }
        }
    }
}

/// Plays a load that changes at every look for ten seconds; returns the mean age of
/// what listeners were told last, in milliseconds.
fn mean_age_ms(mut may_tell: impl FnMut(MicroTime) -> bool) -> u64 {
    let looks = 10_000 / LOOK_MS;
    let mut told = 0;
    let mut ages = 0;
    for look in 0..looks {
        let now_ms = look * LOOK_MS;
        if may_tell(MicroTime::from_millis(now_ms)) {
            told = now_ms;
        }
        ages += now_ms - told;
    }
    ages / looks
}

/// 24 listeners near and 24 far, 10 kB a second. A budget by the second for all of them
/// alike leaves them with reports 432 ms old in the mean; at an even pace, 8 kB of it
/// near, those near know what was so 69 ms before, those far 286.
#[test]
fn those_near_know_more_than_by_a_budget_of_seconds() {
    let mut budget = ProbeBudget::open(u32::MAX, 10_000);
    let by_second = mean_age_ms(|now| budget.try_take(now, 48, 48 * REPORT as u32));
    let (mut near, mut far) = (ReportPacer::open(8_000), ReportPacer::open(2_000));
    let near_ms = mean_age_ms(|now| near.try_take(now, 24 * REPORT));
    let far_ms = mean_age_ms(|now| far.try_take(now, 24 * REPORT));
    assert!(near_ms * 4 < by_second, "{near_ms} near, {by_second} by the second");
    assert!(far_ms < by_second, "{far_ms} far, {by_second} by the second");
}
