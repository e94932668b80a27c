//! A daemon stands still while long answers pass through it.

use std::io;
use std::time::{Duration, Instant};

use super::{HOST, Outcome, Stage, manifest, not_ready, outcome};
use crate::fleet::CALLER_PORT;
use crate::load::ClientOptions;

/// `timeout` of the route, and the deadline of its clients.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2_000);
const DEADLINE: Duration = Duration::from_millis(4_000);

/// Time after the timeout at which a request must have its final answer.
const SLACK: Duration = Duration::from_millis(500);

/// Length of the freeze.
const FREEZE: Duration = Duration::from_secs(5);

/// Clients, each with a request every `INTERVAL`.
const CLIENTS: usize = 48;
const INTERVAL: Duration = Duration::from_millis(1_600);

pub fn play(mut stage: Stage, trouble: bool) -> io::Result<Outcome> {
    let services = ["grillas", "grillas", "avisos", "grillas", "grillas"];
    let routes = [("/grid/", "safe", "grillas", 2_000, 1_500)];
    let manifest = manifest(&["grillas", "avisos"], &routes);
    let (fleet, upstreams) = stage.build(&services, &manifest, |mut options| {
        options.work = Duration::from_millis(50);
        options.slots = 18;
        options.answer_len = 1 << 20;
        options.answer_time = Duration::from_millis(1_500);
        options
    })?;
    for index in 0..fleet.machines.len() {
        fleet.start(index)?;
    }
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        return Err(not_ready());
    }
    std::thread::sleep(Duration::from_secs(3));
    let start = Instant::now();
    // The clients' machine, the third, meets no disruption.
    for index in 0..CLIENTS {
        stage.client(ClientOptions {
            name: format!("grid-{index}"),
            machine: 2,
            address: fleet.machines[2].address(CALLER_PORT),
            method: "GET",
            prefix: "/grid/",
            host: HOST,
            body_len: 0,
            deadline: DEADLINE,
            interval: INTERVAL,
            keeps: true,
            rate: None,
            delay: INTERVAL * index as u32 / CLIENTS as u32,
        });
    }
    std::thread::sleep(Duration::from_secs(5));
    let frozen = Instant::now();
    if trouble {
        fleet.machines[0].signal("STOP")?;
    }
    std::thread::sleep(FREEZE);
    if trouble {
        fleet.machines[0].signal("CONT")?;
    }
    std::thread::sleep(Duration::from_secs(3));
    let sent = stage.finish();
    let took =
        |limit: Duration| sent.iter().filter(|sent| sent.ended_at - sent.sent_at > limit).count();
    let long = took(ROUTE_TIMEOUT);
    let held = took(ROUTE_TIMEOUT + SLACK);
    let at = |time: Instant| time.saturating_duration_since(start).as_secs_f64();
    let verdict = format!(
        "machine 1 stood still from {:.2} s for {} s\n\
         {long} requests lasted longer than their route's timeout; {held} of them had no final \
         answer 0.5 s after it (allowed: fewer than 8, or a quarter)",
        at(frozen),
        if trouble { FREEZE.as_secs() } else { 0 },
    );
    let broken = held >= 8 && held * 4 > long;
    Ok(outcome(broken, verdict, start, &sent, &upstreams))
}
