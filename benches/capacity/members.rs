//! Cost of the membership state with up to thousands of members, in one process and
//! without I/O.

use std::net::SocketAddr;
use std::time::Instant;

use railspan::{
    AdvertisedTarget, DaemonIncarnation, GossipKind, GossipMessage, MemberRecord, MemberState,
    MembershipAction, MembershipEvent, MembershipState, MicroTime, encode,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Numbers of members that are measured; the last but one is the design size.
const SIZES: &[usize] = &[275, 550, 984, 2_000];

/// Number of protocol periods that are measured, and of messages.
const PERIODS: u64 = 400;

/// Number of services of the fleet.
const SERVICES: usize = 79;

pub fn measure() {
    println!("members  us/period  us/message  B/period  exchange_B  state_KiB");
    for &size in SIZES {
        measure_size(size);
    }
}

fn measure_size(size: usize) {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let memory_before = super::usage::read(std::process::id()).memory_mib;
    let mut state = MembershipState::open(record(0));
    let mut out = Vec::new();
    let others: Vec<MemberRecord> = (1..size).map(record).collect();
    let exchange_bytes: usize =
        others.iter().filter_map(|record| encode(record).ok()).map(|encoded| encoded.len()).sum();
    state.step(MicroTime(0), MembershipEvent::RecordsReceived(others), &mut rng, &mut out);
    let memory_kib = (super::usage::read(std::process::id()).memory_mib - memory_before) * 1_024.0;

    // In the first periods the new members are still disseminated; only the steady state
    // after that is measured.
    let mut now_ms = 0;
    run_periods(&mut state, &mut now_ms, 2_000, &mut rng);
    let started = Instant::now();
    let bytes = run_periods(&mut state, &mut now_ms, PERIODS, &mut rng);
    let period_us = started.elapsed().as_secs_f64() * 1e6 / PERIODS as f64;

    let started = Instant::now();
    for number in 0..PERIODS {
        let message = ping(number);
        out.clear();
        let event = MembershipEvent::Message { from: address(1), message };
        state.step(MicroTime::from_millis(now_ms), event, &mut rng, &mut out);
    }
    let message_us = started.elapsed().as_secs_f64() * 1e6 / PERIODS as f64;
    println!(
        "{size:>7} {period_us:>10.1} {message_us:>11.1} {:>9.0} {exchange_bytes:>11} {memory_kib:>10.0}",
        bytes as f64 / PERIODS as f64
    );
}

/// Runs periods of five ticks each, in which every message gets an acknowledgement.
/// Returns the bytes sent.
fn run_periods(
    state: &mut MembershipState,
    now_ms: &mut u64,
    periods: u64,
    rng: &mut Pcg64Mcg,
) -> usize {
    let mut bytes = 0;
    for _ in 0..periods * 5 {
        *now_ms += 100;
        let mut out = Vec::new();
        state.step(MicroTime::from_millis(*now_ms), MembershipEvent::Tick, rng, &mut out);
        let replies: Vec<MembershipEvent> = out
            .iter()
            .filter_map(|action| {
                let MembershipAction::Send { to, message } = action else { return None };
                bytes += encode(message).map_or(0, |encoded| encoded.len());
                let index = usize::from(to.port()) - 10_000;
                Some(MembershipEvent::Message { from: *to, message: ack(index, message.number) })
            })
            .collect();
        for reply in replies {
            state.step(MicroTime::from_millis(*now_ms), reply, rng, &mut Vec::new());
        }
    }
    bytes
}

fn ping(number: u64) -> GossipMessage {
    GossipMessage {
        from: host(1).as_str().into(),
        kind: GossipKind::Ping,
        number,
        revision: 1,
        evacuation: railspan::EvacuationState::default(),
        blamed_hash: 0,
        suspects: Vec::new(),
        digest: 0,
        updates: Vec::new(),
    }
}

fn ack(index: usize, number: u64) -> GossipMessage {
    GossipMessage { from: host(index).as_str().into(), kind: GossipKind::Ack, ..ping(number) }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16))
}

fn host(index: usize) -> String {
    format!("host-plata-{index:04}")
}

/// Creates the record of a member in a fleet of the design size.
pub fn record(index: usize) -> MemberRecord {
    let service = format!("service-{:02}", index % SERVICES);
    MemberRecord {
        host: host(index).as_str().into(),
        data_centre: format!("ba-norte-{}", index % 6).as_str().into(),
        incarnation: DaemonIncarnation(u64::MAX - index as u64),
        version: 3,
        state: MemberState::Alive,
        guard: address(index),
        peer: address(index),
        caller: address(index),
        admin: address(index),
        targets: vec![AdvertisedTarget {
            service: service.as_str().into(),
            name: format!("{service}-target-{index:04}").as_str().into(),
            slots: 12,
            ready: true,
        }],
        revision: 560,
        store_lost: false,
    }
}
