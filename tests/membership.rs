//! Membership under lost, delayed and repeated datagrams, killed daemons and partitions.

#[path = "common/fake_network.rs"]
mod fake_network;
#[path = "common/seeded.rs"]
mod seeded;

use fake_network::{FakeNetwork, address, record};
use proptest::prelude::*;
use railspan::{
    AdvertisedTarget, DaemonIncarnation, MemberState, MembershipAction, MembershipEvent,
    MembershipState, MicroTime,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use seeded::seeded;

proptest! {
    #![proptest_config(seeded(12))]

    #[test]
    fn all_daemons_know_each_other_despite_lost_datagrams(count in 2_usize..24, seed: u64, loss in 0.0_f64..0.15) {
        let mut network = FakeNetwork::open(count, seed, loss);
        network.run(20_000)?;
        network.make_reliable();
        network.run(30_000)?;
        prop_assert!(network.all_believe_all_alive());
    }

    #[test]
    fn a_killed_daemon_is_declared_dead_and_is_alive_after_its_restart(count in 4_usize..16, seed: u64, killed in 0_usize..4) {
        let mut network = FakeNetwork::open(count, seed, 0.02);
        network.run(15_000)?;
        network.nodes.remove(&address(killed));
        network.run(30_000)?;
        let host = format!("host-{killed}");
        for node in network.nodes.values() {
            let view = node.view();
            let state = view.members.iter().find(|member| member.host.as_str() == host);
            prop_assert!(state.is_some_and(|member| member.state == MemberState::Dead));
        }
        network.make_reliable();
        network.start(killed, 1_000);
        network.run(30_000)?;
        prop_assert!(network.all_believe_all_alive());
        for node in network.nodes.values() {
            let view = node.view();
            let restarted = view.members.iter().find(|member| member.host.as_str() == host);
            prop_assert_eq!(restarted.map(|member| member.incarnation), Some(DaemonIncarnation(1_000)));
        }
    }

    #[test]
    fn all_daemons_learn_that_a_target_is_no_longer_ready(count in 3_usize..24, seed: u64) {
        let mut network = FakeNetwork::open(count, seed, 0.05);
        network.run(10_000)?;
        let advertised = |ready| vec![AdvertisedTarget { service: "s".into(), name: "t".into(), slots: 4, ready }];
        network.step(address(0), MembershipEvent::OwnRecordChanged { targets: advertised(true), revision: 1 });
        network.run(10_000)?;
        network.step(address(0), MembershipEvent::OwnRecordChanged { targets: advertised(false), revision: 1 });
        network.run(10_000)?;
        for node in network.nodes.values() {
            let view = node.view();
            let known = view.members.iter().flat_map(|member| &member.targets).next();
            prop_assert!(known.is_some_and(|target| !target.ready));
        }
    }
}

proptest! {
    #![proptest_config(seeded(4))]

    #[test]
    fn regions_find_each_other_after_a_partition_of_an_hour(count in 4_usize..8, seed: u64) {
        let mut network = FakeNetwork::open(count, seed, 0.0);
        network.run(10_000)?;
        network.partition = Some(count / 2);
        network.run(3_600_000)?;
        network.partition = None;
        network.make_reliable();
        network.run(60_000)?;
        prop_assert!(network.all_believe_all_alive());
    }
}

/// A refutation that is no longer spread is sent again to a daemon that missed it.
#[test]
fn a_daemon_that_missed_a_refutation_gets_it_again() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut state = MembershipState::open(record(0, 1));
    let mut out = Vec::new();
    let mut wrong_record = record(0, 1);
    wrong_record.version = 4;
    wrong_record.state = MemberState::Suspect;
    state.step(
        MicroTime(0),
        MembershipEvent::RecordsReceived(vec![wrong_record.clone()]),
        &mut rng,
        &mut out,
    );
    assert_eq!(state.own_record().version, 5);
    let ping = |number| MembershipEvent::Message {
        from: address(1),
        message: railspan::GossipMessage {
            from: "host-1".into(),
            kind: railspan::GossipKind::Ping,
            number,
            revision: 0,
            evacuation: railspan::EvacuationState::default(),
            digest: 0,
            blamed_hash: 0,
            suspects: Vec::new(),
            updates: Vec::new(),
        },
    };
    for number in 0..50 {
        state.step(MicroTime(0), ping(number), &mut rng, &mut out);
    }
    assert_eq!(state.updates_left(), 0);
    wrong_record.state = MemberState::Dead;
    state.step(
        MicroTime(0),
        MembershipEvent::RecordsReceived(vec![wrong_record]),
        &mut rng,
        &mut out,
    );
    out.clear();
    state.step(MicroTime(0), ping(99), &mut rng, &mut out);
    let MembershipAction::Send { message, .. } = &out[0] else { panic!("{out:?}") };
    assert_eq!(message.updates, [state.own_record().clone()]);
}

/// A record of a daemon with a version that it never had, as another writer may leave it in the store,
/// does not keep the daemon's later records out.
#[test]
fn a_daemon_refutes_a_version_that_it_never_had() {
    for version in [7, 70_000, u64::MAX / 2, u64::MAX - 1] {
        let mut network = FakeNetwork::open(4, 3, 0.0);
        network.run(20_000).expect("invariants");
        let forged = railspan::MemberRecord { version, ..record(0, 1) };
        let own = network.nodes[&address(0)].own_record().clone();
        let forged = railspan::MemberRecord { incarnation: own.incarnation, ..forged };
        network.step(address(1), MembershipEvent::RecordsReceived(vec![forged]));
        let target =
            AdvertisedTarget { service: "s".into(), name: "t".into(), slots: 4, ready: true };
        let targets = vec![target];
        network.step(
            address(0),
            MembershipEvent::OwnRecordChanged { targets: targets.clone(), revision: 1 },
        );
        network.run(30_000).expect("invariants");
        for node in network.nodes.values() {
            let view = node.view();
            let known = view.members.iter().find(|member| member.host.as_str() == "host-0");
            assert_eq!(known.expect("known").targets, targets, "after version {version}");
        }
    }
}
