//! Which data centres are evacuated, as daemons hear of it in any order and wherever
//! they were meanwhile.

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

    /// Whatever comes late or twice, the newest state is the one that is believed.
    #[test]
    fn the_newest_notice_holds(order in proptest::collection::vec(0_usize..6, 1..30)) {
        let all = [
            state(3, &[]), state(5, &["a"]), state(8, &["a", "b"]), state(9, &["b"]),
            state(12, &[]), state(20, &["a"]),
        ];
        let mut believed = EvacuationState::default();
        for index in &order {
            let before = believed.centres.clone();
            let changed = believed.merge(all[*index].clone());
            prop_assert_eq!(changed, before != believed.centres);
        }
        let newest = order.iter().max().copied().unwrap_or_default();
        prop_assert_eq!(believed, all[newest].clone());
    }

    /// What a follower reads, change by change, is what a fresh read tells.
    #[test]
    fn changes_add_up_to_the_whole(changes in proptest::collection::vec((0_usize..3, any::<bool>()), 1..20)) {
        let names = ["a", "b", "c"];
        let mut follower = EvacuationState::default();
        let mut truth = BTreeSet::new();
        follower.apply(1, EvacuationUpdate::Snapshot(truth.clone()));
        for (number, (name, evacuated)) in changes.into_iter().enumerate() {
            let centre = CentreName::from(names[name]);
            if evacuated { truth.insert(centre.clone()); } else { truth.remove(&centre); }
            follower.apply(number as u64 + 2, EvacuationUpdate::Changes(vec![(centre, evacuated)]));
            prop_assert_eq!(&follower.centres, &truth);
        }
    }

}

proptest! {
    #![proptest_config(seeded(8))]

    /// Heard at one daemon, it is known everywhere within three seconds, by those that
    /// were cut off once they are back, and by one that starts later.
    #[test]
    fn an_evacuation_reaches_everybody(count in 3_usize..24, seed: u64, cut: bool) {
        let mut network = FakeNetwork::open(count, seed, 0.05);
        network.run(10_000)?;
        network.cut = cut.then_some(count / 2);
        network.step(address(count - 1), MembershipEvent::Evacuation(state(7, &["centre-1"])));
        network.run(3_000)?;
        let knows = |network: &FakeNetwork, version| {
            network.nodes.values().filter(|node| node.evacuation().version == version).count()
        };
        prop_assert_eq!(knows(&network, 7), if cut { count - count / 2 } else { count });
        network.cut = None;
        network.run(20_000)?;
        prop_assert_eq!(knows(&network, 7), count);
        network.start(count, 1_000);
        network.run(3_000)?;
        prop_assert_eq!(knows(&network, 7), count + 1);
        network.step(address(0), MembershipEvent::Evacuation(state(9, &[])));
        network.run(3_000)?;
        prop_assert_eq!(knows(&network, 9), count + 1);
    }
}

/// Rows of another writer don't grow the messages between daemons without bound.
#[test]
fn a_notice_has_a_bound() {
    let many: BTreeSet<CentreName> =
        (0..1_000).map(|number| CentreName::from(&*format!("no-such-place-{number:04}"))).collect();
    let mut believed = EvacuationState::default();
    assert!(believed.apply(1, EvacuationUpdate::Snapshot(many)));
    assert!(believed.encoded_size() <= 512 && believed.centres.len() > 20);
}
