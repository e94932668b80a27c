//! A daemon acknowledges that its upstream leaves, is killed and started again, and a
//! heartbeat from before arrives late.

use std::io;
use std::time::{Duration, Instant};

use super::{HOST, Outcome, Stage, manifest, not_ready, outcome};
use crate::load::ClientOptions;

/// `drain` and `stability` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
const STABILITY: Duration = Duration::from_millis(3_000);

/// How late the heartbeat is.
const LATE: Duration = Duration::from_millis(3_000);

/// How long the upstream serves on after `drain`.
const SERVES_ON: Duration = Duration::from_millis(6_000);

pub fn play(mut stage: Stage, trouble: bool) -> io::Result<Outcome> {
    let services = ["avisos", "avisos", "grillas"];
    let routes = [("/alert/", "unsafe", "avisos", 2_500, 1_000)];
    let manifest = manifest(&["avisos", "grillas"], &routes);
    let (fleet, upstreams) = stage.build(&services, &manifest, |options| options)?;
    for index in 0..fleet.machines.len() {
        fleet.start(index)?;
    }
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        return Err(not_ready());
    }
    std::thread::sleep(Duration::from_secs(3));
    let start = Instant::now();
    // The clients' machine, the third, meets no disruption.
    for index in 0..8 {
        stage.client(ClientOptions {
            name: format!("alert-{index}"),
            machine: 2,
            address: fleet.machines[2].address(crate::fleet::CALLER_PORT),
            method: "POST",
            prefix: "/alert/",
            host: HOST,
            body_len: 300,
            deadline: Duration::from_secs(2),
            interval: Duration::from_millis(150),
            key: None,
            keeps: true,
            rate: None,
            delay: Duration::from_millis(7 * index as u64),
        });
    }
    std::thread::sleep(Duration::from_secs(4));
    let leaving = &upstreams[0];
    let (path, body) = leaving.next_heartbeat();
    let heartbeat_sent = Instant::now();
    let late = leaving.clone();
    let arrival = std::thread::spawn(move || {
        std::thread::sleep(LATE);
        (late.post(&path, &body), Instant::now())
    });
    std::thread::sleep(Duration::from_millis(100));
    if leaving.leave() != Some(200) {
        return Err(io::Error::other("the leave is not acknowledged"));
    }
    let acknowledged = Instant::now();
    std::thread::sleep(Duration::from_millis(100));
    let mut in_touch = start;
    if trouble {
        fleet.machines[0].kill();
        std::thread::sleep(crate::fleet::RESTART_DELAY);
        fleet.start(0)?;
        in_touch = Instant::now() + STABILITY;
    }
    let end = acknowledged + DRAIN + SERVES_ON;
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    leaving.end();
    std::thread::sleep(Duration::from_secs(3));
    let sent = stage.finish();
    let (status, arrived) = arrival.join().map_err(|_| io::Error::other("no heartbeat"))?;
    let bound = (acknowledged + DRAIN).max(in_touch);
    let runs = leaving.runs();
    let late_runs: Vec<_> = runs.iter().filter(|run| run.arrived_at > bound).collect();
    let at = |time: Instant| time.saturating_duration_since(start).as_secs_f64();
    let lost = late_runs
        .iter()
        .filter(|run| sent.iter().any(|sent| sent.id == run.id && sent.end != "200"));
    let verdict = format!(
        "heartbeat of i-1 sent at {:.2} s, arrived at {:.2} s (answer {status:?}); leave of i-1 \
         acknowledged at {:.2} s; machine 1 in touch from {:.2} s; i-1 ended at {:.2} s\n\
         {} requests reached i-1 later than `drain` after the acknowledgement, sent on by a \
         machine in touch (allowed: 0); {} of them got no 200",
        at(heartbeat_sent),
        at(arrived),
        at(acknowledged),
        at(in_touch),
        at(end),
        late_runs.len(),
        lost.count(),
    );
    Ok(outcome(!late_runs.is_empty(), verdict, start, &sent, &upstreams))
}
