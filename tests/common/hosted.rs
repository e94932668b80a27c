//! A small fleet on the users' platform for tests: daemons as processes that use the
//! platform's adapter, one target per daemon, and the stand-in for the store.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use railspan_standins::{
    DaemonEndpoints, DaemonProcess, DaemonSpec, HostedResponse, HostedTarget, PlatformLimits,
    PlatformStandin, hosted_call,
};
use serde_json::{Value, json};

use super::{ephemeral_address, eventually};

/// Service that all targets offer.
pub const SERVICE: &str = "grillas";

/// The `Host` header that the routes are for.
pub const VIRTUAL_HOST: &str = "grillas.example";

/// Path prefix of the route whose calls may be repeated.
pub const SAFE_PREFIX: &str = "/read/";

/// Path prefix of the route whose calls must not run twice.
pub const UNSAFE_PREFIX: &str = "/write/";

/// Deployment terms, in the form in which the platform states them.
pub const TERMS: &str = "heartbeat=500ms,retry_budget_ratio=0.2,budget_slack=58,grace=6s";

/// A running fleet whose daemon and target at the same index share a host.
pub struct HostedFleet {
    pub daemons: Vec<DaemonProcess>,
    pub targets: Vec<HostedTarget>,
    pub platform: PlatformStandin,
    terms: String,
    /// Memory of each daemon, in MiB; its default if `None`.
    memory_mb: Option<u64>,
    /// Descriptors of each daemon; those of the test if `None`.
    descriptors: Option<u64>,
}

impl HostedFleet {
    /// Starts a daemon and a target per host, and waits until each daemon is ready and
    /// knows all targets, which take `service_time` for each request.
    pub fn spawn(hosts: usize, service_time: Duration) -> Self {
        Self::spawn_with_terms(hosts, service_time, TERMS)
    }

    /// Starts a fleet as [`Self::spawn`] does, with other deployment terms.
    pub fn spawn_with_terms(hosts: usize, service_time: Duration, terms: &str) -> Self {
        Self::spawn_with(hosts, service_time, terms, None, None)
    }

    /// Starts a fleet as [`Self::spawn`] does, whose daemons have `memory_mb` MiB.
    pub fn spawn_with_memory(hosts: usize, service_time: Duration, memory_mb: u64) -> Self {
        Self::spawn_with(hosts, service_time, TERMS, Some(memory_mb), None)
    }

    /// Starts a fleet as [`Self::spawn`] does, whose daemons have `memory_mb` MiB and `descriptors`
    /// descriptors.
    pub fn spawn_limited(
        hosts: usize,
        service_time: Duration,
        memory_mb: u64,
        descriptors: u64,
    ) -> Self {
        Self::spawn_with(hosts, service_time, TERMS, Some(memory_mb), Some(descriptors))
    }

    fn spawn_with(
        hosts: usize,
        service_time: Duration,
        terms: &str,
        memory_mb: Option<u64>,
        descriptors: Option<u64>,
    ) -> Self {
        let platform = PlatformStandin::spawn(ephemeral_address(), PlatformLimits::default())
            .expect("platform");
        platform.write_config(&platform_config(7, SERVICE));
        let terms = terms.to_owned();
        let mut fleet = Self {
            daemons: Vec::new(),
            targets: Vec::new(),
            platform,
            terms,
            memory_mb,
            descriptors,
        };
        for index in 0..hosts {
            let daemon = fleet.start_daemon(index);
            let name = format!("i-{index}");
            let target = HostedTarget::spawn(SERVICE, &name, service_time).expect("target");
            target.send_heartbeats_to(daemon.endpoints().control.expect("control"));
            fleet.daemons.push(daemon);
            fleet.targets.push(target);
        }
        for index in 0..hosts {
            fleet.wait_for_targets(index, hosts);
        }
        fleet
    }

    /// Starts a daemon without a target; the daemon is killed when the result is dropped.
    pub fn start_daemon(&self, index: usize) -> DaemonProcess {
        DaemonProcess::spawn(&self.daemon_spec(index)).expect("daemon")
    }

    /// Starts a daemon at the addresses of an earlier one, as its next incarnation.
    pub fn start_daemon_at(&self, index: usize, place: &DaemonEndpoints) -> DaemonProcess {
        DaemonProcess::spawn_at(&self.daemon_spec(index), place).expect("daemon")
    }

    /// Starts a daemon whose settings contain its target's address.
    pub fn start_daemon_with_target(&self, index: usize, target: SocketAddr) -> DaemonProcess {
        let mut spec = self.daemon_spec(index);
        if let Some(deployment) = &mut spec.deployment {
            deployment["target_address"] = json!(target);
        }
        DaemonProcess::spawn(&spec).expect("daemon")
    }

    /// Starts a daemon in the first data centre whose target offers a service, and which writes
    /// its log to a file.
    pub fn start_daemon_of(&self, index: usize, service: &str, log: PathBuf) -> DaemonProcess {
        let mut spec = self.daemon_spec(index);
        spec.log_file = Some(log);
        spec.data_centre = String::from("ba-norte-1");
        if let Some(deployment) = &mut spec.deployment {
            deployment["service"] = json!(service);
        }
        DaemonProcess::spawn(&spec).expect("daemon")
    }

    /// Starts a daemon for which 1000 bytes between data centres cost as much as a call is worth.
    pub fn start_daemon_with_crossing_cost(&self, index: usize) -> DaemonProcess {
        let mut spec = self.daemon_spec(index);
        if let Some(deployment) = &mut spec.deployment {
            deployment["crossing_cost"] = json!(1_000);
        }
        DaemonProcess::spawn(&spec).expect("daemon")
    }

    /// Starts a daemon on the host of a target of another service, and that target.
    pub fn start_host_of(&self, index: usize, service: &str) -> (DaemonProcess, HostedTarget) {
        let mut spec = self.daemon_spec(index);
        if let Some(deployment) = &mut spec.deployment {
            deployment["service"] = json!(service);
        }
        let daemon = DaemonProcess::spawn(&spec).expect("daemon");
        let target = HostedTarget::spawn(service, &format!("i-{index}"), Duration::from_millis(5));
        let target = target.expect("target");
        target.send_heartbeats_to(daemon.endpoints().control.expect("control"));
        (daemon, target)
    }

    /// Starts a daemon that advertises other guard and peer addresses than it binds.
    pub fn start_daemon_advertising(
        &self,
        index: usize,
        guard: SocketAddr,
        peer: SocketAddr,
    ) -> DaemonProcess {
        let mut spec = self.daemon_spec(index);
        spec.advertised = Some((guard, peer));
        DaemonProcess::spawn(&spec).expect("daemon")
    }

    /// Returns the slowness in an entry's latest load report of a target, in percent.
    pub fn reported_slowness(&self, index: usize, name: &str) -> Option<u64> {
        let state = self.state(index);
        let targets = state["entry"]["services"][SERVICE]["targets"].as_array()?;
        let target = targets.iter().find(|target| target["name"] == name)?;
        target["load"]["slowness"].as_u64()
    }

    /// Starts a daemon that reaches the store at another address, such as that of a link to it.
    pub fn start_daemon_with_store(&self, index: usize, store: SocketAddr) -> DaemonProcess {
        let spec = DaemonSpec { platform: store, ..self.daemon_spec(index) };
        DaemonProcess::spawn(&spec).expect("daemon")
    }

    /// Starts a daemon that reaches the store, and is reached by others, at other addresses.
    pub fn start_daemon_behind(
        &self,
        index: usize,
        store: SocketAddr,
        (guard, peer): (SocketAddr, SocketAddr),
    ) -> DaemonProcess {
        let advertised = Some((guard, peer));
        let spec = DaemonSpec { platform: store, advertised, ..self.daemon_spec(index) };
        DaemonProcess::spawn(&spec).expect("daemon")
    }

    fn daemon_spec(&self, index: usize) -> DaemonSpec {
        DaemonSpec {
            advertised: None,
            log_file: None,
            command: daemon_command(self.descriptors),
            host: format!("host-{index}"),
            data_centre: format!("ba-norte-{}", index % 3 + 1),
            platform: self.platform.address(),
            seeds: Vec::new(),
            stop_bound_ms: 5_000,
            memory_mb: self.memory_mb,
            seed: index as u64,
            deployment: Some(deployment_settings(&self.terms)),
        }
    }

    /// Returns the address to which a daemon's target reports.
    pub fn control(&self, index: usize) -> SocketAddr {
        self.daemons[index].endpoints().control.expect("control")
    }

    /// Returns the status of a daemon's readiness check, or 0 if it can't be reached.
    pub fn readiness_status(&self, index: usize) -> u16 {
        let address = self.daemons[index].endpoints().ready.expect("ready");
        hosted_call(address, "GET", "/readiness", &[], b"").map_or(0, |answer| answer.status)
    }

    /// Publishes revision `version` of the configuration and waits until all daemons use it.
    pub fn put_in_force(&self, version: u64, config: &str) {
        self.platform.write_config(config);
        for index in 0..self.daemons.len() {
            eventually("the configuration is in force", || {
                self.state(index)["entry"]["revision"] == version
            });
        }
    }

    /// Gives the routes another timeout, and an objective that lets calls wait for 10 s.
    pub fn set_timeout(&self, timeout: &str) {
        let config = platform_config(8, SERVICE);
        let config = config.replace("\"3s\"", &format!("\"{timeout}\""));
        self.put_in_force(8, &config.replace("\"1500ms\"", "\"10s\""));
    }

    /// Returns a daemon's metrics as text.
    pub fn metrics(&self, index: usize) -> String {
        let admin = self.daemons[index].endpoints().admin;
        let page = hosted_call(admin, "GET", "/metrics", &[], b"").expect("metrics");
        String::from_utf8(page.body).expect("text")
    }

    /// Returns a daemon's state page, or null if it can't be read.
    pub fn state(&self, index: usize) -> Value {
        let admin = self.daemons[index].endpoints().admin;
        let page = hosted_call(admin, "GET", "/state", &[], b"");
        page.ok().and_then(|page| serde_json::from_slice(&page.body).ok()).unwrap_or_default()
    }

    /// Waits until a daemon is ready and knows exactly `count` targets.
    pub fn wait_for_targets(&self, index: usize, count: usize) {
        eventually("all targets known", || {
            let state = self.state(index);
            let targets =
                state["entry"]["services"][SERVICE]["targets"].as_array().map_or(0, Vec::len);
            targets == count && self.readiness_status(index) == 200
        });
    }

    /// Makes a request with a deadline of 2 s through a daemon, to `prefix` followed by
    /// `id`; `None` if it got no complete answer.
    pub fn call(&self, index: usize, prefix: &str, id: &str) -> Option<HostedResponse> {
        self.call_with_deadline(index, prefix, id, 2_000)
    }

    /// Makes a request as [`Self::call`] does, with another deadline. It carries forged
    /// values of the headers by which the daemon tells a target its caller and its name.
    pub fn call_with_deadline(
        &self,
        index: usize,
        prefix: &str,
        id: &str,
        deadline_ms: u32,
    ) -> Option<HostedResponse> {
        let method = if prefix == SAFE_PREFIX { "GET" } else { "POST" };
        let deadline = deadline_ms.to_string();
        let headers = [
            ("Host", VIRTUAL_HOST),
            ("X-Request-Id", id),
            ("X-Deadline-Ms", &*deadline),
            ("X-Caller-Service", "forged"),
            ("X-Target-Instance", "forged"),
        ];
        let body: &[u8] = if prefix == SAFE_PREFIX { b"" } else { b"some bytes" };
        let caller = self.daemons[index].endpoints().caller;
        hosted_call(caller, method, &format!("{prefix}{id}"), &headers, body).ok()
    }

    /// Returns how often a request reached a target that ran it, on all targets together.
    pub fn run_count(&self, id: &str) -> usize {
        let runs_on = |target: &HostedTarget| {
            let runs = target.runs();
            runs.iter()
                .filter(|run| run.headers.get("x-request-id").is_some_and(|run_id| run_id == id))
                .count()
        };
        self.targets.iter().map(runs_on).sum()
    }
}

/// Returns the command that starts a daemon with a number of descriptors.
fn daemon_command(descriptors: Option<u64>) -> Vec<OsString> {
    let daemon = env!("CARGO_BIN_EXE_railspand").into();
    let Some(descriptors) = descriptors else { return vec![daemon] };
    let script = format!("ulimit -n {descriptors} && exec \"$0\" \"$@\"");
    vec!["sh".into(), "-c".into(), script.into(), daemon]
}

/// Path of a request that crashes each target that runs it.
pub const CRASHING_PATH: &str = "/read/deadly";

/// Time between the crash of a target and the start of the next one on its host.
const RESTART_DELAY: Duration = Duration::from_millis(400);

/// A fleet in which a request to [`CRASHING_PATH`] crashes targets, and each crashed
/// target is replaced by a new one.
pub struct CrashingFleet {
    fleet: HostedFleet,
    /// All targets that were ever started, each with the index of its host, in the order
    /// of their starts; only the last one of each host may be running.
    started_targets: Mutex<Vec<(usize, HostedTarget)>>,
}

impl std::ops::Deref for CrashingFleet {
    type Target = HostedFleet;

    fn deref(&self) -> &HostedFleet {
        &self.fleet
    }
}

impl CrashingFleet {
    /// Starts a fleet as [`HostedFleet::spawn`] does.
    pub fn spawn(hosts: usize, service_time: Duration) -> Self {
        let mut fleet = HostedFleet::spawn(hosts, service_time);
        let targets = std::mem::take(&mut fleet.targets);
        for target in &targets {
            target.crash_on_path(CRASHING_PATH);
        }
        let started_targets = Mutex::new(targets.into_iter().enumerate().collect());
        Self { fleet, started_targets }
    }

    /// Replaces crashed targets, [`RESTART_DELAY`] after the crash, until `stop` is set.
    pub fn restart_crashed_targets(&self, stop: &AtomicBool) {
        let mut crashed_since = vec![None; self.daemons.len()];
        while !stop.load(Ordering::Relaxed) {
            for (host, since) in crashed_since.iter_mut().enumerate() {
                let mut started = self.started_targets.lock().expect("started targets");
                let latest = started.iter().rev().find(|(target_host, _)| *target_host == host);
                let crashed = latest.is_some_and(|(_, target)| target.has_crashed());
                if !crashed {
                    *since = None;
                } else if since.get_or_insert_with(Instant::now).elapsed() >= RESTART_DELAY {
                    let name = format!("i-{}", started.len());
                    let target = HostedTarget::spawn(SERVICE, &name, started[0].1.service_time());
                    let target = target.expect("target");
                    target.crash_on_path(CRASHING_PATH);
                    target.restart(started.len() as u64);
                    target.send_heartbeats_to(self.control(host));
                    started.push((host, target));
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends one copy of the crashing request through a daemon, with `id` as its request
    /// id; `None` if it got no complete answer.
    pub fn send_crashing_request(&self, host: usize, id: &str) -> Option<HostedResponse> {
        let headers = [("Host", VIRTUAL_HOST), ("X-Request-Id", id), ("X-Deadline-Ms", "2000")];
        hosted_call(self.daemons[host].endpoints().caller, "GET", CRASHING_PATH, &headers, b"").ok()
    }

    /// Returns the times at which copies of the crashing request began to run, sorted.
    pub fn crashing_run_times(&self) -> Vec<Instant> {
        let started = self.started_targets.lock().expect("started targets");
        let runs = started.iter().flat_map(|(_, target)| target.runs());
        let crashing_runs = runs.filter(|run| run.request_line.contains(CRASHING_PATH));
        let mut times: Vec<Instant> = crashing_runs.map(|run| run.received_at).collect();
        times.sort_unstable();
        times
    }

    /// Returns the number of blamed requests that an entry knows.
    pub fn blamed_count(&self, host: usize) -> usize {
        self.state(host)["entry"]["blamed"].as_array().map_or(0, Vec::len)
    }

    /// Kills all daemons and starts them again at the same addresses.
    pub fn restart_daemons(&mut self) {
        let places: Vec<DaemonEndpoints> =
            self.daemons.iter().map(|daemon| *daemon.endpoints()).collect();
        self.fleet.daemons.clear();
        for (index, place) in places.iter().enumerate() {
            let daemon = self.fleet.start_daemon_at(index, place);
            self.fleet.daemons.push(daemon);
        }
    }

    /// Returns the number of rows in the store whose keys begin with `prefix`.
    pub fn stored_row_count(&self, prefix: &str) -> usize {
        let path =
            format!("/rows-get?table=railspan&part=&from={prefix}&target={prefix}~&limit=500");
        let page = hosted_call(self.platform.address(), "GET", &path, &[], b"").expect("store");
        let page: Value = serde_json::from_slice(&page.body).expect("json");
        page["rows"].as_array().map_or(0, Vec::len)
    }

    /// Returns the number of targets that crashed.
    pub fn crash_count(&self) -> usize {
        let started = self.started_targets.lock().expect("started targets");
        started.iter().filter(|(_, target)| target.has_crashed()).count()
    }
}

/// Returns the deployment part of a daemon's settings.
pub fn deployment_settings(terms: &str) -> Value {
    json!({
        "service": SERVICE,
        "nested_first": true,
        "refuse_failing_runs": true,
        "terms": terms,
    })
}

/// Builds a configuration in the form in which the platform's operators write it: one
/// service with a route for reads and one for writes.
pub fn platform_config(version: u64, service: &str) -> String {
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
            "host": VIRTUAL_HOST,
            "paths": [route("read", SAFE_PREFIX, "safe"), route("write", UNSAFE_PREFIX, "unsafe")],
        }],
    })
    .to_string()
}
