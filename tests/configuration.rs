//! A published revision comes into force at every daemon, and no daemon falls back to an
//! older one: while publishes race, daemons start or are suspended, or the platform fails.

mod common;

use common::{FleetPlan, TEMPLATE, TestFleet, WAIT_TIMEOUT, eventually};
use railspan::{PublishError, open_store};
use railspan_standins::Verdict;

fn is_in_force_everywhere(fleet: &TestFleet, revision: u64) -> bool {
    fleet
        .daemons
        .iter()
        .all(|daemon| fleet.serving_revision(daemon.endpoints().admin) == Some(revision))
}

#[test]
fn a_revision_comes_into_force_everywhere() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    for expected in 2..5 {
        let head = fleet.publish(TEMPLATE).expect("publish");
        assert_eq!(head.revision, expected);
        eventually("in force everywhere", || is_in_force_everywhere(&fleet, expected));
    }
}

#[test]
fn one_of_several_racing_publishes_wins_and_the_others_learn_the_winner() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 1, ..FleetPlan::default() });
    let config = railspan::FleetConfig::parse("template", TEMPLATE).expect("template");
    let client = open_store(fleet.platform.address());
    let names = ["ana", "bima", "chen", "dipa"];
    let publishes = names.map(|name| railspan::publish(&client, &config, name, Some(1)));
    let results = fleet.runtime.block_on(futures::future::join_all(publishes));
    let winners: Vec<_> = results.iter().filter_map(|result| result.as_ref().ok()).collect();
    assert_eq!(winners.len(), 1, "{results:?}");
    for result in &results {
        if let Err(error) = result {
            let PublishError::Conflict { winner } = error else { panic!("{error}") };
            assert_eq!(winner, winners[0]);
        }
    }
    eventually("the winner's revision is in force", || is_in_force_everywhere(&fleet, 2));
}

#[test]
fn a_publish_whose_answer_is_lost_takes_effect_once_or_not_at_all() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 1, ..FleetPlan::default() });
    for _ in 0..3 {
        // The body's answer is lost first, then the head's.
        fleet.set_faults(|faults| faults.unanswered_writes = 1);
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
fn a_new_daemon_gets_the_revision_from_its_seeds_while_the_platform_is_down() {
    let mut fleet = TestFleet::spawn(FleetPlan { hosts: 2, ..FleetPlan::default() });
    fleet.publish(TEMPLATE).expect("publish");
    eventually("in force everywhere", || is_in_force_everywhere(&fleet, 2));
    fleet.set_faults(|faults| faults.down = true);
    let unseeded = fleet.start_daemon(8, &[]);
    let seeded = fleet.start_daemon(9, &[fleet.addresses(0).peer, fleet.addresses(1).peer]);
    let admin = seeded.endpoints().admin;
    eventually("the seeded daemon serves revision 2", || fleet.serving_revision(admin) == Some(2));
    // The daemon without seeds has no peer to ask and does not serve.
    let call = fleet.get_request("/r?size=10");
    let report = fleet.runtime.block_on(fleet.client.call(unseeded.endpoints().caller, &call));
    assert_eq!(report.verdict, Verdict::NotRun, "{report:?}");
    fleet.daemons.push(seeded);
    fleet.wait_for_targets(2, 2);
    let report = fleet.call(2, &call);
    assert_eq!(report.verdict, Verdict::Complete, "{report:?}");
}

#[test]
fn a_revision_body_that_the_object_store_lost_comes_from_a_peer() {
    let fleet = TestFleet::spawn(FleetPlan { hosts: 2, ..FleetPlan::default() });
    fleet.set_faults(|faults| faults.objects_missing = true);
    let new_daemon = fleet.start_daemon(9, &[]);
    let admin = new_daemon.endpoints().admin;
    eventually("the new daemon serves", || fleet.serving_revision(admin) == Some(1));
}

#[test]
fn a_resumed_daemon_catches_up_and_never_falls_back() {
    let fleet = TestFleet::spawn(FleetPlan::default());
    fleet.daemons[2].freeze().expect("freeze");
    for _ in 0..3 {
        fleet.publish(TEMPLATE).expect("publish");
    }
    let admins = [fleet.addresses(0).admin, fleet.addresses(1).admin];
    eventually("in force at the others", || {
        admins.iter().all(|&admin| fleet.serving_revision(admin) == Some(4))
    });
    fleet.daemons[2].thaw().expect("thaw");
    let mut highest = 0;
    eventually("in force everywhere", || {
        for daemon in &fleet.daemons {
            let revision = fleet.serving_revision(daemon.endpoints().admin).unwrap_or(highest);
            assert!(revision >= 1);
        }
        let revision = fleet.serving_revision(fleet.addresses(2).admin).unwrap_or(0);
        assert!(revision >= highest, "fell back from {highest} to {revision}");
        highest = revision;
        is_in_force_everywhere(&fleet, 4)
    });
}

#[test]
fn all_daemons_serve_and_stop_during_an_outage_of_the_platform() {
    let mut fleet = TestFleet::spawn(FleetPlan::default());
    fleet.set_faults(|faults| faults.down = true);
    for number in 0..30 {
        let report = fleet.call(number % 3, &fleet.get_request("/r?size=100"));
        assert_eq!(report.verdict, Verdict::Complete, "{report:?}");
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    // A planned stop doesn't wait for the platform without a bound either.
    fleet.daemons[0].terminate().expect("terminate");
    assert!(fleet.daemons[0].wait(WAIT_TIMEOUT).expect("wait").is_some());
}

#[test]
fn daemons_that_start_at_the_same_time_find_each_other() {
    let mut fleet = TestFleet::spawn(FleetPlan { hosts: 0, ..FleetPlan::default() });
    // Slow enough that each daemon's first read of the store overlaps the writes of the
    // others, whose rows it then misses.
    fleet.set_faults(|faults| faults.slow_ms = 300);
    for index in 0..4 {
        fleet.add_host(index);
    }
    std::thread::sleep(std::time::Duration::from_secs(1));
    fleet.set_faults(|_| {});
    fleet.wait_ready();
}
