//! Clients upload bodies within `max_body_bytes`, and 1.7 times as many of them come at once.

use std::collections::HashMap;
use std::io;
use std::time::{Duration, Instant};

use super::{HOST, Outcome, Stage, all_runs, manifest, not_ready, outcome};
use crate::fleet::{CALLER_PORT, Fleet};
use crate::load::ClientOptions;

/// Memory of a machine of the site.
const MEMORY_KB: u64 = 260 << 10;

/// Length of one upload; `max_body_bytes` is 64 MiB.
const UPLOAD_BYTES: usize = 24 << 20;

/// Clients that upload through one machine at the same time: usually, and in the burst of 1.7
/// times the traffic.
const UPLOADERS: usize = 3;
const BURST_UPLOADERS: usize = 5;

/// Speed of a client's line in bytes a second: all clients of a machine together stay below the
/// 1,000 Mbit/s of its link.
const LINE_RATE: usize = 7_000_000;

/// Time from one upload of a client to the next.
const UPLOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which the uploads go on.
const DURATION: Duration = Duration::from_secs(24);

/// Number of machines whose clients upload.
const BUSY_MACHINES: usize = 2;

pub fn play(mut stage: Stage, trouble: bool) -> io::Result<Outcome> {
    let services = ["avisos", "avisos", "estaciones", "estaciones"];
    let routes = [
        ("/alert/", "unsafe", "avisos", 2_500, 1_000),
        ("/scan/", "unsafe", "estaciones", 12_000, 6_000),
    ];
    let manifest = manifest(&["avisos", "estaciones"], &routes);
    let (fleet, upstreams) = stage.build(&services, &manifest, |mut options| {
        options.work = Duration::from_millis(160);
        options
    })?;
    for index in 0..fleet.machines.len() {
        fleet.start_watched(index, MEMORY_KB)?;
    }
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        return Err(not_ready());
    }
    std::thread::sleep(Duration::from_secs(3));
    let start = Instant::now();
    for index in 0..12 {
        let machine = index % BUSY_MACHINES;
        stage.client(ClientOptions {
            name: format!("alert-{index}"),
            body_len: 1_200,
            deadline: Duration::from_millis(1_200),
            interval: Duration::from_millis(200),
            keeps: true,
            delay: Duration::from_millis(17 * index as u64),
            ..client(&fleet, machine, "/alert/")
        });
    }
    std::thread::sleep(Duration::from_secs(2));
    let uploaders = if trouble { BURST_UPLOADERS } else { UPLOADERS };
    for index in 0..uploaders * BUSY_MACHINES {
        let machine = index % BUSY_MACHINES;
        stage.client(ClientOptions {
            name: format!("scan-{index}"),
            body_len: UPLOAD_BYTES,
            deadline: Duration::from_secs(12),
            interval: UPLOAD_INTERVAL,
            rate: Some(LINE_RATE),
            ..client(&fleet, machine, "/scan/")
        });
    }
    std::thread::sleep(DURATION);
    let sent = stage.finish();
    let runs = all_runs(&upstreams);
    let ran: HashMap<&str, bool> = runs.iter().map(|run| (&*run.id, run.answered)).collect();
    let lost: Vec<_> = sent
        .iter()
        .filter(|sent| sent.kept && sent.end == "closed" && ran.contains_key(&*sent.id))
        .collect();
    let mut verdict = String::new();
    let mut crashed = 0;
    for (index, machine) in fleet.machines.iter().enumerate() {
        let ends = machine.own_ends.lock().expect("ends");
        crashed += usize::from(ends.len() >= 3);
        let peak = *machine.peak_kb.lock().expect("peak") >> 10;
        verdict.push_str(&format!("machine {}: peak {peak} MB", index + 1));
        for (at, resident) in &*ends {
            let after = at.saturating_duration_since(start).as_secs_f64();
            verdict.push_str(&format!(", ended at {after:.2} s with {} MB", resident >> 10));
        }
        verdict.push('\n');
    }
    let uploads = sent.iter().filter(|sent| sent.id.starts_with("scan"));
    let served = uploads.clone().filter(|sent| sent.end == "200").count();
    verdict.push_str(&format!(
        "uploads: {} sent, {served} served\n\
         Fault: on {crashed} of {} machines the process ended by itself three times (allowed: 1)\n\
         LOST: {} requests of kept connections were passed on to a sound upstream, and their \
         connection was closed without an answer (allowed: 3)",
        uploads.count(),
        fleet.machines.len(),
        lost.len()
    ));
    let broken = lost.len() > 3 || crashed >= 2;
    Ok(outcome(broken, verdict, start, &sent, &upstreams))
}

fn client(fleet: &Fleet, machine: usize, prefix: &'static str) -> ClientOptions {
    ClientOptions {
        name: String::new(),
        machine,
        address: fleet.machines[machine].address(CALLER_PORT),
        method: "POST",
        prefix,
        host: HOST,
        body_len: 0,
        deadline: Duration::from_secs(1),
        interval: Duration::from_secs(1),
        keeps: false,
        rate: None,
        delay: Duration::ZERO,
    }
}
