//! Estimated offset between two clocks without a common origin, from messages over a link that
//! delays them.

use proptest::prelude::*;
use railspan::{ClockOffset, MicroTime};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// The estimate is never ahead of the remote clock, and behind it by no more than the shortest
    /// transit time plus the permitted drift.
    #[test]
    fn the_estimate_is_a_close_lower_bound(
        local_origin in 0_u64..1_000_000_000,
        remote_origin in 0_u64..1_000_000_000,
        messages in prop::collection::vec((1_u64..5_000_000, 0_u64..3_000_000), 1..50),
    ) {
        let local = |time: u64| MicroTime(time + local_origin);
        let remote = |time: u64| MicroTime(time + remote_origin);
        let mut offset: Option<ClockOffset> = None;
        let mut time = 0;
        let mut shortest_transit = u64::MAX;
        for (pause, transit) in messages {
            time += pause;
            let arrived = time + transit;
            shortest_transit = shortest_transit.min(transit);
            match &mut offset {
                None => offset = Some(ClockOffset::open(local(arrived), remote(time))),
                Some(offset) => {
                    let extra_transit = offset.update(local(arrived), remote(time));
                    prop_assert!(extra_transit.0 <= transit);
                }
            }
            time = arrived;
            let estimate = offset.expect("offset of the first message").remote_time(local(time));
            prop_assert!(estimate <= remote(time));
            let max_error = shortest_transit + time / 1_000;
            prop_assert!(remote(time).0.saturating_sub(estimate.0) <= max_error);
        }
    }
}

#[test]
fn an_update_returns_the_delay_of_a_delayed_message() {
    let millis = MicroTime::from_millis;
    let mut offset = ClockOffset::open(millis(1_001), millis(5_000));
    let extra_transit = offset.update(millis(1_801), millis(5_100));
    assert!((699_000..=700_000).contains(&extra_transit.0), "{extra_transit:?}");
}
