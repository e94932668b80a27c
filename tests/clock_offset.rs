//! Two clocks without a common origin, joined by a link that holds words up.

use proptest::prelude::*;
use railspan::{ClockOffset, MicroTime};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// The estimate is never ahead of the other clock, and behind it by no more
    /// than the fastest word took, and the drift allowed for.
    #[test]
    fn the_estimate_is_on_the_safe_side(
        own_origin in 0_u64..1_000_000_000,
        other_origin in 0_u64..1_000_000_000,
        words in prop::collection::vec((1_u64..5_000_000, 0_u64..3_000_000), 1..50),
    ) {
        let own = |time: u64| MicroTime(time + own_origin);
        let other = |time: u64| MicroTime(time + other_origin);
        let mut offset: Option<ClockOffset> = None;
        let mut time = 0;
        let mut fastest = u64::MAX;
        for (pause, transit) in words {
            time += pause;
            let arrived = time + transit;
            fastest = fastest.min(transit);
            match &mut offset {
                None => offset = Some(ClockOffset::open(own(arrived), other(time))),
                Some(offset) => {
                    let longer = offset.update(own(arrived), other(time));
                    prop_assert!(longer.0 <= transit);
                }
            }
            time = arrived;
            let estimate = offset.expect("noted").remote_time(own(time));
            prop_assert!(estimate <= other(time));
            let allowed = fastest + time / 1_000;
            prop_assert!(other(time).0.saturating_sub(estimate.0) <= allowed);
        }
    }
}

#[test]
fn a_word_that_was_held_up_tells_for_how_long() {
    let at = MicroTime::from_millis;
    let mut offset = ClockOffset::open(at(1_001), at(5_000));
    let longer = offset.update(at(1_801), at(5_100));
    assert!((699_000..=700_000).contains(&longer.0), "{longer:?}");
}
