//! A daemon gets SIGTERM while calls that it has taken wait for a slot at a busy service.

use std::collections::HashSet;
use std::io;
use std::time::{Duration, Instant};

use super::{HOST, Outcome, Stage, all_runs, manifest, not_ready, outcome};
use crate::fleet::CALLER_PORT;
use crate::load::ClientOptions;

/// `grace` and `loss_slack` of the site.
const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// `timeout` of the route and deadline of its clients.
const TIMEOUT_MS: u32 = 12_000;

/// `target_latency` of the route.
const OBJECTIVE_MS: u32 = 10_000;

/// Time after the signal at which the clients of the machine get no new work: the platform asks
/// once a second whether the daemon is ready, and takes it out after two misses.
const NEW_WORK: Duration = Duration::from_secs(2);

/// Clients, each with one request at a time: 12 of them run, the others wait.
const CLIENTS: usize = 36;

pub fn play(mut stage: Stage, trouble: bool) -> io::Result<Outcome> {
    let services = ["pedidos", "pedidos", "seguimiento"];
    let routes = [("/order/", "unsafe", "pedidos", TIMEOUT_MS, OBJECTIVE_MS)];
    let manifest = manifest(&["pedidos", "seguimiento"], &routes);
    let (fleet, upstreams) = stage.build(&services, &manifest, |mut options| {
        options.work = Duration::from_millis(2_000);
        options.slots = 6;
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
    for index in 0..CLIENTS {
        stage.client(ClientOptions {
            name: format!("order-{index}"),
            machine: 2,
            address: fleet.machines[2].address(CALLER_PORT),
            method: "POST",
            prefix: "/order/",
            host: HOST,
            body_len: 300,
            deadline: Duration::from_millis(TIMEOUT_MS.into()),
            interval: Duration::from_millis(100),
            keeps: true,
            rate: None,
            delay: Duration::from_millis(100 * index as u64),
        });
    }
    std::thread::sleep(Duration::from_secs(14));
    let signalled = Instant::now();
    if trouble {
        fleet.machines[2].signal("TERM")?;
    }
    std::thread::sleep(NEW_WORK);
    stage.stop_sending();
    std::thread::sleep(GRACE - NEW_WORK);
    if trouble {
        fleet.machines[2].kill();
    }
    let sent = stage.finish();
    let runs = all_runs(&upstreams);
    let ran: HashSet<&str> = runs.iter().map(|run| &*run.id).collect();
    // Those that an upstream worked on at the end of `grace` are not counted.
    let cut: Vec<_> = sent
        .iter()
        .filter(|sent| sent.end == "closed" && !ran.contains(&*sent.id))
        .filter(|sent| sent.ended_at - sent.sent_at > LOSS_SLACK)
        .filter(|sent| sent.ended_at - sent.sent_at < Duration::from_millis(TIMEOUT_MS.into()))
        .collect();
    let at = |time: Instant| time.saturating_duration_since(start).as_secs_f64();
    let after = |time: Instant| time.saturating_duration_since(signalled).as_secs_f64();
    let first = cut.iter().map(|sent| after(sent.ended_at)).fold(f64::INFINITY, f64::min);
    let verdict = format!(
        "SIGTERM at {:.2} s: {trouble}; the first connection that was cut: {first:.2} s later\n\
         {} whole requests were read and waited, and their connection ended without an answer, \
         later than `loss_slack` after they were sent and before their deadline (allowed: 0)",
        at(signalled),
        cut.len(),
    );
    Ok(outcome(!cut.is_empty(), verdict, start, &sent, &upstreams))
}
