//! A tenant uses its allotment, all daemons are killed and start again, and the tenant goes on.

use std::collections::HashMap;
use std::io;
use std::time::{Duration, Instant};

use serde_json::json;

use super::{HOST, Outcome, Stage, all_runs, manifest, not_ready, outcome};
use crate::load::ClientOptions;

/// Allotment of the tenant.
const RATE: f64 = 40.0;
const BURST: f64 = 40.0;

/// `quota_window`, `quota_over` and `quota_slack` of the site.
const WINDOW: Duration = Duration::from_secs(5);
const OVER: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Requests a second of the tenant: 7.5 times its usual 25.
const CLIENTS: usize = 24;
const INTERVAL: Duration = Duration::from_millis(128);

pub fn play(mut stage: Stage, trouble: bool) -> io::Result<Outcome> {
    let services = ["avisos", "avisos", "avisos", "avisos"];
    let routes = [("/alert/", "unsafe", "avisos", 1_000, 500)];
    let mut manifest = manifest(&["avisos"], &routes);
    manifest["tenants"] = json!([{"name": "bozi300", "api_keys": ["n2ftimaj3nr26tta828m"],
        "priority": 1, "rate_per_s": RATE, "burst": BURST}]);
    let (fleet, upstreams) = stage.build(&services, &manifest, |mut options| {
        options.work = Duration::from_millis(20);
        options
    })?;
    for index in 0..fleet.machines.len() {
        fleet.start(index)?;
    }
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        return Err(not_ready());
    }
    std::thread::sleep(Duration::from_secs(8));
    let start = Instant::now();
    for index in 0..CLIENTS {
        let machine = index % fleet.machines.len();
        stage.client(ClientOptions {
            name: format!("alert-{index}"),
            machine,
            address: fleet.machines[machine].address(crate::fleet::CALLER_PORT),
            method: "POST",
            prefix: "/alert/",
            host: HOST,
            body_len: 300,
            deadline: Duration::from_secs(1),
            interval: INTERVAL,
            key: Some("n2ftimaj3nr26tta828m"),
            keeps: true,
            rate: None,
            delay: Duration::from_millis(7 * index as u64),
        });
    }
    std::thread::sleep(Duration::from_millis(1_600));
    let killed = Instant::now();
    if trouble {
        fleet.machines.iter().for_each(|machine| machine.kill());
        std::thread::sleep(Duration::from_millis(600));
        for index in 0..fleet.machines.len() {
            fleet.start(index)?;
        }
    }
    std::thread::sleep(Duration::from_millis(4_900).saturating_sub(killed.elapsed()));
    let sent = stage.finish();
    let sent_at: HashMap<&str, Instant> =
        sent.iter().map(|sent| (&*sent.id, sent.sent_at)).collect();
    let runs: Vec<_> = all_runs(&upstreams)
        .iter()
        .filter_map(|run| Some((*sent_at.get(&*run.id)?, run.arrived_at)))
        .collect();
    let most = runs
        .iter()
        .map(|(from, _)| {
            let end = *from + WINDOW;
            runs.iter().filter(|(sent, arrived)| sent >= from && *arrived <= end).count()
        })
        .max()
        .unwrap_or(0);
    let bound = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVER) + SLACK;
    let at = |time: Instant| time.saturating_duration_since(start).as_secs_f64();
    let before = runs.iter().filter(|(_, arrived)| *arrived < killed).count();
    let verdict = format!(
        "all daemons killed at {:.2} s; {before} requests of the tenant had run by then, {} in all\n\
         most requests of the tenant sent and run in one window of 5 s: {most} (allowed: {bound:.0})",
        at(killed),
        runs.len(),
    );
    Ok(outcome(most as f64 > bound, verdict, start, &sent, &upstreams))
}
