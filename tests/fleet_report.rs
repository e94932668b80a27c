//! What operators are shown of a fleet of hundreds of hosts.

use railspan::{
    HostCondition, HostStatus, MemberState, TargetStatus, render_status, render_targets,
};
use test_case::test_case;

const HOSTS: usize = 295;

/// Lines that fit a screen beside the operator's own.
const SCREEN_LINES: usize = 50;

/// A host that serves by the newest revision.
fn host(number: usize) -> HostStatus {
    HostStatus {
        host: format!("host-{number:03}").as_str().into(),
        data_centre: format!("ba-norte-{}", number % 5 + 1).as_str().into(),
        daemon: MemberState::Alive,
        condition: HostCondition::Serving,
        revision: Some(12),
        ready: true,
        store_lost: false,
        evacuated: false,
        blamed: Vec::new(),
    }
}

#[test]
fn an_evacuated_data_centre_is_named() {
    let mut hosts: Vec<HostStatus> = (0..10).map(host).collect();
    hosts[0].evacuated = true;
    let text = railspan::render_status(&hosts, false);
    assert!(text.contains("ba-norte-1 is evacuated, as 1 of 2 hosts there say"), "{text}");
}

#[test]
fn a_request_that_is_held_back_is_named_once() {
    let mut hosts: Vec<HostStatus> = (0..10).map(host).collect();
    hosts.iter_mut().take(4).for_each(|host| host.blamed = vec![railspan::RequestDigest(0xab)]);
    let text = railspan::render_status(&hosts, false);
    let digest = format!("{:032x}", 0xab);
    assert!(text.contains(&format!("{digest}, as 4 hosts say")), "{text}");
    assert_eq!(text.matches(&digest).count(), 1, "{text}");
}

fn silent(mut host: HostStatus, daemon: MemberState, condition: HostCondition) -> HostStatus {
    host.daemon = daemon;
    host.condition = condition;
    host.revision = None;
    host.ready = false;
    host
}

/// A few hosts of each kind that an operator has to see.
fn troubled() -> Vec<HostStatus> {
    let trouble = |number: usize| {
        let mut host = host(number);
        match number {
            7 => silent(host, MemberState::Alive, HostCondition::NoAnswer),
            20 | 21 => silent(host, MemberState::Dead, HostCondition::Down),
            30 => silent(host, MemberState::Left, HostCondition::Left),
            41 => {
                host.revision = Some(11);
                host
            }
            52 => {
                host.store_lost = true;
                host
            }
            63 => {
                host.condition = HostCondition::NotReady;
                host.revision = None;
                host.ready = false;
                host
            }
            _ => host,
        }
    };
    (0..HOSTS).map(trouble).collect()
}

fn half_gone() -> Vec<HostStatus> {
    let gone = |number: usize| {
        if number.is_multiple_of(2) {
            silent(host(number), MemberState::Dead, HostCondition::Down)
        } else {
            host(number)
        }
    };
    (0..HOSTS).map(gone).collect()
}

fn case(name: &str) -> String {
    let path = format!("{}/tests/cases/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("case").trim_end().to_owned()
}

#[test_case(&troubled(), "status_troubled.txt"; "a few hosts differ")]
#[test_case(&half_gone(), "status_half_gone.txt"; "half of the hosts are gone")]
fn a_status_of_hundreds_of_hosts_fits_a_screen(hosts: &[HostStatus], expected: &str) {
    let text = render_status(hosts, false);
    assert_eq!(text, case(expected));
    assert!(text.lines().count() <= SCREEN_LINES, "{text}");
}

#[test]
fn a_status_lists_every_host_where_that_is_asked_for() {
    let text = render_status(&troubled(), true);
    let named = (0..HOSTS).filter(|number| text.contains(&format!("host-{number:03} ")));
    assert_eq!(named.count(), HOSTS);
}

fn target(number: usize) -> TargetStatus {
    let service = ["avisos", "cuotas", "grillas", "grillas"][number % 4];
    TargetStatus {
        service: service.into(),
        target: format!("i-{number:03}").as_str().into(),
        host: format!("host-{number:03}").as_str().into(),
        data_centre: format!("ba-norte-{}", number % 5 + 1).as_str().into(),
        daemon: MemberState::Alive,
        ready: true,
        slots: 9,
    }
}

#[test]
fn targets_of_a_large_fleet_are_summed_up_and_those_without_work_listed() {
    let mut lines: Vec<TargetStatus> = (0..HOSTS).map(target).collect();
    lines[8].ready = false;
    lines[9].ready = false;
    lines[9].daemon = MemberState::Dead;
    let text = render_targets(&lines, false);
    assert_eq!(text, case("targets_large.txt"));
    assert!(text.lines().count() <= SCREEN_LINES, "{text}");
    let whole = render_targets(&lines, true);
    assert_eq!(
        (0..HOSTS).filter(|number| whole.contains(&format!("i-{number:03}"))).count(),
        HOSTS
    );
}
