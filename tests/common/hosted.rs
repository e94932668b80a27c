//! A small deployment for tests: daemons with the platform's adapter, a target
//! beside each, and the store's stand-in.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use railspan_standins::{
    DaemonEndpoints, DaemonProcess, DaemonSpec, HostedResponse, HostedTarget, PlatformLimits,
    PlatformStandin, hosted_call,
};
use serde_json::{Value, json};

use super::{any, eventually};

pub const SERVICE: &str = "grillas";
pub const HOST: &str = "grillas.example";
pub const SAFE: &str = "/read/";
pub const UNSAFE: &str = "/write/";

/// Terms of the deployment, in the platform's words.
pub const TERMS: &str = "heartbeat=500ms,retry_budget_ratio=0.2,budget_slack=58,grace=6s";

pub struct HostedFleet {
    pub daemons: Vec<DaemonProcess>,
    pub targets: Vec<HostedTarget>,
    pub platform: PlatformStandin,
    terms: String,
}

impl HostedFleet {
    /// Starts daemons and targets, and waits until each daemon serves all.
    pub fn spawn(hosts: usize, work: Duration) -> Self {
        Self::spawn_on(hosts, work, TERMS)
    }

    /// Starts a fleet on other terms of the deployment.
    pub fn spawn_on(hosts: usize, work: Duration, terms: &str) -> Self {
        let platform = PlatformStandin::spawn(any(), PlatformLimits::default()).expect("platform");
        platform.write_config(&config(7, SERVICE));
        let terms = terms.to_owned();
        let mut fleet = Self { daemons: Vec::new(), targets: Vec::new(), platform, terms };
        for index in 0..hosts {
            let daemon = fleet.start_daemon(index);
            let name = format!("i-{index}");
            let target = HostedTarget::spawn(SERVICE, &name, work).expect("target");
            target.send_heartbeats_to(daemon.endpoints().control.expect("control"));
            fleet.daemons.push(daemon);
            fleet.targets.push(target);
        }
        for index in 0..hosts {
            fleet.wait_known(index, hosts);
        }
        fleet
    }

    pub fn start_daemon(&self, index: usize) -> DaemonProcess {
        DaemonProcess::spawn(&self.daemon_spec(index)).expect("daemon")
    }

    /// Starts a daemon at the addresses that an earlier life of it had.
    pub fn start_daemon_at(&self, index: usize, place: &DaemonEndpoints) -> DaemonProcess {
        DaemonProcess::spawn_at(&self.daemon_spec(index), place).expect("daemon")
    }

    /// Starts a daemon whose settings name its target's address.
    pub fn start_daemon_beside(&self, index: usize, target: SocketAddr) -> DaemonProcess {
        let mut spec = self.daemon_spec(index);
        if let Some(deployment) = &mut spec.deployment {
            deployment["target_address"] = json!(target);
        }
        DaemonProcess::spawn(&spec).expect("daemon")
    }

    /// Starts a daemon that others reach at other addresses than its own.
    pub fn start_daemon_behind(
        &self,
        index: usize,
        guard: SocketAddr,
        peer: SocketAddr,
    ) -> DaemonProcess {
        let mut spec = self.daemon_spec(index);
        spec.advertised = Some((guard, peer));
        DaemonProcess::spawn(&spec).expect("daemon")
    }

    /// Returns the slowness that an entry was told of a target, in percent.
    pub fn told_slowness(&self, index: usize, name: &str) -> Option<u64> {
        let state = self.state(index);
        let targets = state["entry"]["services"][SERVICE]["targets"].as_array()?;
        let target = targets.iter().find(|target| target["name"] == name)?;
        target["load"]["slowness"].as_u64()
    }

    fn daemon_spec(&self, index: usize) -> DaemonSpec {
        DaemonSpec {
            advertised: None,
            log_file: None,
            command: vec![env!("CARGO_BIN_EXE_railspand").into()],
            host: format!("host-{index}"),
            data_centre: format!("ba-norte-{}", index % 3 + 1),
            platform: self.platform.address(),
            seeds: Vec::new(),
            stop_bound_ms: 5_000,
            seed: index as u64,
            deployment: Some(deployment(&self.terms)),
        }
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        self.daemons[index].endpoints().control.expect("control")
    }

    pub fn ready(&self, index: usize) -> u16 {
        let address = self.daemons[index].endpoints().ready.expect("ready");
        hosted_call(address, "GET", "/readiness", &[], b"").map_or(0, |answer| answer.status)
    }

    pub fn state(&self, index: usize) -> Value {
        let admin = self.daemons[index].endpoints().admin;
        let page = hosted_call(admin, "GET", "/state", &[], b"");
        page.ok().and_then(|page| serde_json::from_slice(&page.body).ok()).unwrap_or_default()
    }

    /// Waits until a daemon is ready and knows so many targets.
    pub fn wait_known(&self, index: usize, count: usize) {
        eventually("all targets known", || {
            let state = self.state(index);
            let targets =
                state["entry"]["services"][SERVICE]["targets"].as_array().map_or(0, Vec::len);
            targets == count && self.ready(index) == 200
        });
    }

    /// Makes a request through a daemon; `None` if it got no whole answer.
    pub fn call(&self, index: usize, prefix: &str, id: &str) -> Option<HostedResponse> {
        self.call_within(index, prefix, id, 2_000)
    }

    pub fn call_within(
        &self,
        index: usize,
        prefix: &str,
        id: &str,
        deadline_ms: u32,
    ) -> Option<HostedResponse> {
        let method = if prefix == SAFE { "GET" } else { "POST" };
        let deadline = deadline_ms.to_string();
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", id),
            ("X-Deadline-Ms", &*deadline),
            ("X-Caller-Service", "forged"),
            ("X-Target-Instance", "forged"),
        ];
        let body: &[u8] = if prefix == SAFE { b"" } else { b"some bytes" };
        let caller = self.daemons[index].endpoints().caller;
        hosted_call(caller, method, &format!("{prefix}{id}"), &headers, body).ok()
    }

    /// Returns how often a request ran, on all targets together.
    pub fn runs(&self, id: &str) -> usize {
        let has = |target: &HostedTarget| {
            let runs = target.runs();
            runs.iter()
                .filter(|run| run.headers.get("x-request-id").is_some_and(|own| own == id))
                .count()
        };
        self.targets.iter().map(has).sum()
    }
}

/// Path of a request that ends each target that runs it.
pub const DEADLY: &str = "/read/deadly";

/// Time until a target that ended is back.
const BACK_AFTER: Duration = Duration::from_millis(400);

/// A fleet with a request that ends targets, and new targets in their place.
pub struct DeadlyFleet {
    fleet: HostedFleet,
    /// All targets that ever ran; the last ones of each host are up.
    lives: Mutex<Vec<(usize, HostedTarget)>>,
}

impl std::ops::Deref for DeadlyFleet {
    type Target = HostedFleet;

    fn deref(&self) -> &HostedFleet {
        &self.fleet
    }
}

impl DeadlyFleet {
    pub fn spawn(hosts: usize, work: Duration) -> Self {
        let mut fleet = HostedFleet::spawn(hosts, work);
        let targets = std::mem::take(&mut fleet.targets);
        for target in &targets {
            target.crash_on_path(DEADLY);
        }
        let lives = Mutex::new(targets.into_iter().enumerate().collect());
        Self { fleet, lives }
    }

    /// Starts a new target on each host whose target ended, until told to stop.
    pub fn revive(&self, stop: &AtomicBool) {
        let mut seen = vec![None; self.daemons.len()];
        while !stop.load(Ordering::Relaxed) {
            for (host, since) in seen.iter_mut().enumerate() {
                let mut lives = self.lives.lock().expect("lives");
                let last = lives.iter().rev().find(|(own, _)| *own == host);
                let ended = last.is_some_and(|(_, target)| target.has_crashed());
                if !ended {
                    *since = None;
                } else if since.get_or_insert_with(Instant::now).elapsed() >= BACK_AFTER {
                    let name = format!("i-{}", lives.len());
                    let target = HostedTarget::spawn(SERVICE, &name, lives[0].1.service_time());
                    let target = target.expect("target");
                    target.crash_on_path(DEADLY);
                    target.restart(lives.len() as u64);
                    target.send_heartbeats_to(self.control(host));
                    lives.push((host, target));
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends a copy of the request; its id is that of the attempt.
    pub fn call_deadly(&self, host: usize, id: &str) -> Option<HostedResponse> {
        let headers = [("Host", HOST), ("X-Request-Id", id), ("X-Deadline-Ms", "2000")];
        hosted_call(self.daemons[host].endpoints().caller, "GET", DEADLY, &headers, b"").ok()
    }

    /// Returns when copies of the request began to run, in order.
    pub fn deadly_arrivals(&self) -> Vec<Instant> {
        let lives = self.lives.lock().expect("lives");
        let runs = lives.iter().flat_map(|(_, target)| target.runs());
        let deadly = runs.filter(|run| run.request_line.contains(DEADLY));
        let mut times: Vec<Instant> = deadly.map(|run| run.received_at).collect();
        times.sort_unstable();
        times
    }

    /// Returns how many requests an entry holds back.
    pub fn blamed(&self, host: usize) -> usize {
        self.state(host)["entry"]["blamed"].as_array().map_or(0, Vec::len)
    }

    /// Kills all daemons and starts them again where they were.
    pub fn restart_daemons(&mut self) {
        let places: Vec<DaemonEndpoints> =
            self.daemons.iter().map(|daemon| *daemon.endpoints()).collect();
        self.fleet.daemons.clear();
        for (index, place) in places.iter().enumerate() {
            let daemon = self.fleet.start_daemon_at(index, place);
            self.fleet.daemons.push(daemon);
        }
    }

    /// Returns how many rows of a kind the store keeps.
    pub fn kept_rows(&self, prefix: &str) -> usize {
        let path =
            format!("/rows-get?table=railspan&part=&from={prefix}&target={prefix}~&limit=500");
        let page = hosted_call(self.platform.address(), "GET", &path, &[], b"").expect("store");
        let page: Value = serde_json::from_slice(&page.body).expect("json");
        page["rows"].as_array().map_or(0, Vec::len)
    }

    /// Returns how many targets ended.
    pub fn crashes(&self) -> usize {
        let lives = self.lives.lock().expect("lives");
        lives.iter().filter(|(_, target)| target.has_crashed()).count()
    }
}

pub fn deployment(terms: &str) -> Value {
    json!({
        "service": SERVICE,
        "terms": terms,
    })
}

/// Makes a configuration as the operator writes it.
pub fn config(version: u64, service: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({
            "name": name, "prefix": prefix, "route_type": kind, "timeout": "3s",
            "target_latency": "1500ms", "priority": 1, "service": service, "max_attempts": 2,
        })
    };
    json!({
        "version": format!("r{version}"),
        "services": [{"name": service, "health_path": "/health", "max_connections": 220}],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 67_108_864,
            "header_timeout": "3000ms", "idle_timeout": "15000ms",
        },
        "virtual_hosts": [{
            "host": HOST,
            "paths": [route("read", SAFE, "safe"), route("write", UNSAFE, "unsafe")],
        }],
    })
    .to_string()
}
