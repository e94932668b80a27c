//! The cases.

mod held_download;
mod stop_limit;
mod uploads;

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fleet::{APP_PORT, CONTROL_PORT, Fleet};
use crate::load::{ClientOptions, Sent, SentLog, describe, spawn_client};
use crate::upstream::{Run, Upstream, UpstreamOptions};

/// Result of a case.
pub struct Outcome {
    pub broken: bool,
    pub verdict: String,
    pub record: String,
}

pub fn play(case: &str, repository: &Path, trouble: bool) -> io::Result<Outcome> {
    let stage = Stage::open(repository)?;
    match case {
        "uploads" => uploads::play(stage, trouble),
        "held-download" => held_download::play(stage, trouble),
        "stop-limit" => stop_limit::play(stage, trouble),
        _ => Err(io::Error::other("no such case")),
    }
}

/// What a case is played with.
pub struct Stage {
    program: std::path::PathBuf,
    template: String,
    log: SentLog,
    stop: Arc<AtomicBool>,
    clients: Vec<std::thread::JoinHandle<()>>,
}

impl Stage {
    fn open(repository: &Path) -> io::Result<Self> {
        Ok(Self {
            program: repository.join("target/release/railspand"),
            template: std::fs::read_to_string(repository.join("platform/settings.jsonc"))?,
            log: SentLog::default(),
            stop: Arc::default(),
            clients: Vec::new(),
        })
    }

    /// Prepares machines, one for each service in `services`, and their upstreams.
    fn build(
        &self,
        services: &[&str],
        manifest: &Value,
        options: impl Fn(UpstreamOptions) -> UpstreamOptions,
    ) -> io::Result<(Fleet, Vec<Upstream>)> {
        let fleet = Fleet::open(&self.program, &self.template, services)?;
        fleet.store.write_manifest(manifest);
        let mut upstreams = Vec::new();
        for (index, machine) in fleet.machines.iter().enumerate() {
            upstreams.push(Upstream::spawn(options(UpstreamOptions {
                id: format!("i-{}", index + 1),
                service: machine.service.clone(),
                zone: machine.zone.clone(),
                address: machine.address(APP_PORT),
                control: machine.address(CONTROL_PORT),
                slots: 12,
                work: Duration::from_millis(100),
                answer_len: 0,
                answer_time: Duration::ZERO,
            }))?);
        }
        Ok((fleet, upstreams))
    }

    fn client(&mut self, options: ClientOptions) {
        self.clients.push(spawn_client(options, &self.log, &self.stop));
    }

    /// Lets the clients send nothing new.
    fn stop_sending(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Stops the clients and returns what they sent.
    fn finish(&mut self) -> Vec<Sent> {
        self.stop_sending();
        for client in self.clients.drain(..) {
            drop(client.join());
        }
        self.log.lock().expect("log").clone()
    }
}

/// A manifest with one route for each entry of `routes`: prefix, kind, service, timeout and
/// objective in milliseconds.
fn manifest(services: &[&str], routes: &[(&str, &str, &str, u32, u32)]) -> Value {
    let services: Vec<Value> = services
        .iter()
        .map(|name| {
            json!({"name": name, "health_path": "/health", "max_connections": 860,
                "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 16.0})
        })
        .collect();
    let paths: Vec<Value> = routes
        .iter()
        .enumerate()
        .map(|(index, (prefix, kind, service, timeout_ms, objective_ms))| {
            json!({"name": format!("r-{index}"), "prefix": prefix, "route_type": kind,
                "timeout": format!("{timeout_ms}ms"), "target_latency": format!("{objective_ms}ms"),
                "priority": 1, "service": service, "max_attempts": 2, "public": false})
        })
        .collect();
    json!({
        "version": "r7",
        "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
            "header_timeout": "3000ms", "idle_timeout": "15000ms"},
        "virtual_hosts": [{"host": HOST, "paths": paths}],
    })
}

const HOST: &str = "jepu9.example";

fn all_runs(upstreams: &[Upstream]) -> Vec<Run> {
    upstreams.iter().flat_map(Upstream::runs).collect()
}

fn not_ready() -> io::Error {
    io::Error::other("the daemons don't get ready")
}

fn outcome(
    broken: bool,
    verdict: String,
    start: Instant,
    sent: &[Sent],
    upstreams: &[Upstream],
) -> Outcome {
    Outcome { broken, verdict, record: describe(start, sent, &all_runs(upstreams)) }
}
