//! Evacuation notices: merging in any order, and their spread by gossip.

#[path = "common/fake_network.rs"]
mod fake_network;
#[path = "common/seeded.rs"]
mod seeded;

use std::collections::BTreeSet;

use fake_network::{FakeNetwork, address};
use proptest::prelude::*;
use railspan::{CentreName, EvacuationState, EvacuationUpdate, MembershipEvent};
use seeded::seeded;

fn centres(names: &[&str]) -> BTreeSet<CentreName> {
    names.iter().map(|name| CentreName::from(*name)).collect()
}

fn state(version: u64, names: &[&str]) -> EvacuationState {
    EvacuationState { version, centres: centres(names) }
}

proptest! {
    #![proptest_config(seeded(300))]

    /// States may arrive late, repeatedly and in any order; the newest one is kept.
    #[test]
    fn the_newest_notice_is_kept(order in proptest::collection::vec(0_usize..6, 1..30)) {
        let states = [
            state(3, &[]), state(5, &["a"]), state(8, &["a", "b"]), state(9, &["b"]),
            state(12, &[]), state(20, &["a"]),
        ];
        let mut merged = EvacuationState::default();
        for index in &order {
            let before = merged.centres.clone();
            let changed = merged.merge(states[*index].clone());
            prop_assert_eq!(changed, before != merged.centres);
        }
        let newest = order.iter().max().copied().unwrap_or_default();
        prop_assert_eq!(merged, states[newest].clone());
    }

    /// A follower that reads changes has the same state as one that reads a snapshot.
    #[test]
    fn changes_add_up_to_the_snapshot(changes in proptest::collection::vec((0_usize..3, any::<bool>()), 1..20)) {
        let names = ["a", "b", "c"];
        let mut follower = EvacuationState::default();
        let mut snapshot = BTreeSet::new();
        follower.apply(1, EvacuationUpdate::Snapshot(snapshot.clone()));
        for (number, (name, evacuated)) in changes.into_iter().enumerate() {
            let centre = CentreName::from(names[name]);
            if evacuated { snapshot.insert(centre.clone()); } else { snapshot.remove(&centre); }
            follower.apply(number as u64 + 2, EvacuationUpdate::Changes(vec![(centre, evacuated)]));
            prop_assert_eq!(&follower.centres, &snapshot);
        }
    }

}

proptest! {
    #![proptest_config(seeded(8))]

    /// A notice given to one daemon reaches all others within three seconds, those that were
    /// partitioned once the partition ends, and a daemon that starts later.
    #[test]
    fn an_evacuation_reaches_all_daemons(count in 3_usize..24, seed: u64, partitioned: bool) {
        let mut network = FakeNetwork::open(count, seed, 0.05);
        network.run(10_000)?;
        network.partition = partitioned.then_some(count / 2);
        network.step(address(count - 1), MembershipEvent::Evacuation(state(7, &["centre-1"])));
        network.run(3_000)?;
        let informed_count = |network: &FakeNetwork, version| {
            network.nodes.values().filter(|node| node.evacuation().version == version).count()
        };
        prop_assert_eq!(informed_count(&network, 7), if partitioned { count - count / 2 } else { count });
        network.partition = None;
        network.run(20_000)?;
        prop_assert_eq!(informed_count(&network, 7), count);
        network.start(count, 1_000);
        network.run(3_000)?;
        prop_assert_eq!(informed_count(&network, 7), count + 1);
        network.step(address(0), MembershipEvent::Evacuation(state(9, &[])));
        network.run(3_000)?;
        prop_assert_eq!(informed_count(&network, 9), count + 1);
    }
}

/// Every gossip message carries the state, so rows that another writer adds must not make it grow
/// without limit.
#[test]
fn the_size_of_a_notice_is_limited() {
    let centres: BTreeSet<CentreName> =
        (0..1_000).map(|number| CentreName::from(&*format!("no-such-place-{number:04}"))).collect();
    let mut merged = EvacuationState::default();
    assert!(merged.apply(1, EvacuationUpdate::Snapshot(centres)));
    assert!(merged.encoded_size() <= 512 && merged.centres.len() > 20);
}
