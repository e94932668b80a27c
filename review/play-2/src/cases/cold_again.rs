//! A busy upstream becomes cold again.

use std::collections::HashMap;
use std::io;
use std::time::{Duration, Instant};

use super::{HOST, Outcome, Stage, manifest, not_ready, outcome};
use crate::load::ClientOptions;

/// `cold_per_s` x `cold_over` + `cold_slack` of the site.
const BOUND: usize = 32;

/// `cold_start` of the site.
const COLD: Duration = Duration::from_secs(3);

/// Clients, each with a request every `INTERVAL`: 400 requests a second for two upstreams that
/// bear 300 each.
const CLIENTS: usize = 40;
const INTERVAL: Duration = Duration::from_millis(100);

pub fn play(mut stage: Stage, trouble: bool) -> io::Result<Outcome> {
    let services = ["estaciones", "estaciones", "grillas"];
    let routes = [("/series/", "unsafe", "estaciones", 1_000, 400)];
    let manifest = manifest(&["estaciones", "grillas"], &routes);
    let (fleet, upstreams) = stage.build(&services, &manifest, |mut options| {
        options.work = Duration::from_millis(40);
        options.cold_crash = 2 * BOUND;
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
            name: format!("series-{index}"),
            machine: 2,
            address: fleet.machines[2].address(crate::fleet::CALLER_PORT),
            method: "POST",
            prefix: "/series/",
            host: HOST,
            body_len: 100,
            deadline: Duration::from_millis(1_000),
            interval: INTERVAL,
            key: None,
            keeps: true,
            rate: None,
            delay: INTERVAL * index as u32 / CLIENTS as u32,
        });
    }
    std::thread::sleep(Duration::from_secs(6));
    upstreams[0].wait_for_heartbeat();
    let cold_at = Instant::now();
    if trouble {
        upstreams[0].set_cold_for(COLD);
    }
    std::thread::sleep(COLD + Duration::from_secs(2));
    let sent = stage.finish();
    let sent_at: HashMap<&str, Instant> =
        sent.iter().map(|sent| (&*sent.id, sent.sent_at)).collect();
    let runs = upstreams[0].runs();
    let cold: Vec<_> = runs
        .iter()
        .filter(|run| run.cold)
        .filter_map(|run| Some((*sent_at.get(&*run.id)?, run.arrived_at)))
        .collect();
    // Counted are requests that were sent and arrived inside the second.
    let most = cold
        .iter()
        .map(|(from, _)| {
            let end = *from + Duration::from_secs(1);
            cold.iter().filter(|(sent, arrived)| sent >= from && *arrived <= end).count()
        })
        .max()
        .unwrap_or(0);
    let at = |time: Instant| time.saturating_duration_since(start).as_secs_f64();
    let crash = upstreams[0].ended().map_or("no".to_owned(), |time| format!("{:.2} s", at(time)));
    let lost = runs.iter().filter(|run| !run.answered).count();
    let verdict = format!(
        "i-1 cold from {:.2} s; crashed: {crash}; requests lost with it: {lost}\n\
         most requests in one second at i-1 while cold: {most} (allowed: {BOUND})",
        at(cold_at),
    );
    Ok(outcome(most > BOUND, verdict, start, &sent, &upstreams))
}
