//! Selection of the daemons that follow the platform's store, for fleets of any size.

use proptest::prelude::*;
use railspan::{
    DaemonIncarnation, HostName, MAX_STORE_FOLLOWERS, MemberRecord, MemberState, follows_store,
};

fn member(number: usize, state: MemberState, store_lost: bool) -> MemberRecord {
    let address = "127.0.0.1:1".parse().expect("address");
    MemberRecord {
        host: HostName::from(format!("host-{number}").as_str()),
        data_centre: "a".into(),
        incarnation: DaemonIncarnation(number as u64),
        version: 1,
        state,
        guard: address,
        peer: address,
        caller: address,
        admin: address,
        targets: Vec::new(),
        revision: 0,
        store_lost,
    }
}

/// Returns the members that select themselves as followers.
fn followers(fleet: &[MemberRecord]) -> Vec<&MemberRecord> {
    fleet.iter().filter(|member| follows_store(fleet.iter(), &member.host)).collect()
}

#[test]
fn a_daemon_without_known_members_follows_the_store() {
    assert_eq!(followers(&[member(0, MemberState::Alive, false)]).len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// As many daemons as permitted follow the store, whichever daemon computes the selection.
    /// Suspect members and those that lost the store are replaced, unless no daemon reaches it.
    #[test]
    fn as_many_daemons_as_permitted_follow_the_store(states in prop::collection::vec((0_u8..4, any::<bool>()), 1..200)) {
        let member_states = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
        let fleet: Vec<MemberRecord> = states
            .iter()
            .enumerate()
            .map(|(number, (state, lost))| member(number, member_states[usize::from(*state)], *lost))
            .collect();
        let alive = fleet.iter().filter(|member| member.state == MemberState::Alive).count();
        let reaches_store = |member: &&MemberRecord| member.state == MemberState::Alive && !member.store_lost;
        let reaching = fleet.iter().filter(reaches_store).count();
        let chosen = followers(&fleet);
        prop_assert!(chosen.iter().all(|member| member.state == MemberState::Alive));
        if reaching > 0 {
            prop_assert_eq!(chosen.len(), reaching.min(MAX_STORE_FOLLOWERS));
            prop_assert!(chosen.iter().all(|member| !member.store_lost));
        } else {
            prop_assert_eq!(chosen.len(), alive.min(MAX_STORE_FOLLOWERS));
        }
    }

    /// The loss of a member replaces no follower other than that member.
    #[test]
    fn the_loss_of_a_member_replaces_no_other_follower(size in 20_usize..120, lost in 0_usize..20) {
        let mut fleet: Vec<MemberRecord> =
            (0..size).map(|number| member(number, MemberState::Alive, false)).collect();
        let before: Vec<HostName> =
            followers(&fleet).into_iter().map(|member| member.host.clone()).collect();
        fleet[lost].state = MemberState::Dead;
        let after: Vec<HostName> =
            followers(&fleet).into_iter().map(|member| member.host.clone()).collect();
        let replaced = before.iter().filter(|host| !after.contains(host)).count();
        prop_assert_eq!(replaced, usize::from(before.contains(&fleet[lost].host)));
        prop_assert_eq!(after.len(), MAX_STORE_FOLLOWERS);
    }
}
