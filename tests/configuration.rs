//! Promise: a revision is in force everywhere, and never an older one after it.

mod common;

use common::{FleetPlan, LIMIT, TEMPLATE, TestFleet, eventually};
use railspan::{PublishError, open_store};
use railspan_standins::Verdict;

fn everywhere(fleet: &TestFleet, revision: u64) -> bool {
    fleet.daemons.iter().all(|daemon| fleet.revision(daemon.endpoints().admin) == Some(revision))
}

#[test]
fn a_revision_comes_in_force_everywhere() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    for expected in 2..5 {
        let head = fleet.publish(TEMPLATE).expect("publish");
        assert_eq!(head.revision, expected);
        eventually("in force everywhere", || everywhere(&fleet, expected));
    }
}

#[test]
fn racing_operators_one_wins_and_the_others_are_told_who() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 1, ..FleetPlan::default() });
    let config = railspan::FleetConfig::parse("template", TEMPLATE).expect("template");
    let client = open_store(fleet.platform.address());
    let names = ["ana", "bima", "chen", "dipa"];
    let race = names.map(|name| railspan::publish(&client, &config, name, Some(1)));
    let ends = fleet.runtime.block_on(futures::future::join_all(race));
    let won: Vec<_> = ends.iter().filter_map(|end| end.as_ref().ok()).collect();
    assert_eq!(won.len(), 1, "{ends:?}");
    for end in &ends {
        if let Err(error) = end {
            let PublishError::Conflict { winner } = error else { panic!("{error}") };
            assert_eq!(winner, won[0]);
        }
    }
    eventually("the winner's is in force", || everywhere(&fleet, 2));
}

#[test]
fn a_publish_whose_answer_is_lost_is_settled() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 1, ..FleetPlan::default() });
    for _ in 0..3 {
        // The body's answer is lost first, then the head's.
        fleet.faults(|faults| faults.unanswered_writes = 1);
        let before =
            fleet.runtime.block_on(railspan::read_head(&open_store(fleet.platform.address())));
        let before = before.expect("head").expect("published").0.revision;
        match fleet.publish(TEMPLATE) {
            Ok(head) => assert_eq!(head.revision, before + 1),
            Err(PublishError::NotPublished { .. }) => {
                let head = fleet.publish(TEMPLATE).expect("second try");
                assert_eq!(head.revision, before + 1);
            }
            Err(other) => panic!("{other}"),
        }
    }
}

#[test]
fn a_fresh_daemon_takes_the_revision_of_its_peers_when_the_platform_is_down() {
    let mut fleet = TestFleet::spawn(FleetPlan { hosts: 2, ..FleetPlan::default() });
    fleet.publish(TEMPLATE).expect("publish");
    eventually("in force everywhere", || everywhere(&fleet, 2));
    fleet.faults(|faults| faults.down = true);
    let alone = fleet.start_daemon(8, &[]);
    let seeded = fleet.start_daemon(9, &[fleet.place(0).peer, fleet.place(1).peer]);
    let admin = seeded.endpoints().admin;
    eventually("the seeded one serves by revision 2", || fleet.revision(admin) == Some(2));
    // The one that can ask nobody does not serve.
    let call = fleet.read("/r?size=10");
    let report = fleet.runtime.block_on(fleet.client.call(alone.endpoints().caller, &call));
    assert_eq!(report.verdict, Verdict::NotRun, "{report:?}");
    fleet.daemons.push(seeded);
    fleet.wait_known(2, 2);
    let report = fleet.call(2, &call);
    assert_eq!(report.verdict, Verdict::Complete, "{report:?}");
}

#[test]
fn a_body_the_object_store_lost_comes_from_a_peer() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 2, ..FleetPlan::default() });
    fleet.faults(|faults| faults.objects_missing = true);
    let fresh = fleet.start_daemon(9, &[]);
    let admin = fresh.endpoints().admin;
    eventually("the fresh one serves", || fleet.revision(admin) == Some(1));
}

#[test]
fn a_daemon_back_from_a_long_freeze_catches_up_and_never_falls_back() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    fleet.daemons[2].freeze().expect("freeze");
    for _ in 0..3 {
        fleet.publish(TEMPLATE).expect("publish");
    }
    let admins = [fleet.place(0).admin, fleet.place(1).admin];
    eventually("in force at the others", || {
        admins.iter().all(|&admin| fleet.revision(admin) == Some(4))
    });
    fleet.daemons[2].thaw().expect("thaw");
    let mut seen = 0;
    eventually("in force everywhere", || {
        for daemon in &fleet.daemons {
            let revision = fleet.revision(daemon.endpoints().admin).unwrap_or(seen);
            assert!(revision >= 1);
        }
        let own = fleet.revision(fleet.place(2).admin).unwrap_or(0);
        assert!(own >= seen, "fell from {seen} to {own}");
        seen = own;
        everywhere(&fleet, 4)
    });
}

#[test]
fn all_daemons_outlive_a_long_outage_of_the_platform() {
    let mut fleet = TestFleet::spawn(FleetPlan::default());
    fleet.faults(|faults| faults.down = true);
    for number in 0..30 {
        let report = fleet.call(number % 3, &fleet.read("/r?size=100"));
        assert_eq!(report.verdict, Verdict::Complete, "{report:?}");
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    // Also a planned stop does not wait for the platform for ever.
    fleet.daemons[0].terminate().expect("terminate");
    assert!(fleet.daemons[0].wait(LIMIT).expect("wait").is_some());
}

#[test]
fn daemons_that_start_together_find_each_other() {
    let mut fleet = TestFleet::spawn(FleetPlan { hosts: 0, ..FleetPlan::default() });
    // Slow enough that all reads of the table would overlap all writes.
    fleet.faults(|faults| faults.slow_ms = 300);
    for index in 0..4 {
        fleet.add_host(index);
    }
    std::thread::sleep(std::time::Duration::from_secs(1));
    fleet.faults(|_| {});
    fleet.wait_ready();
}
