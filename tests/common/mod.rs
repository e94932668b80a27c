//! A small fleet for tests: daemons run as processes, the stand-ins for targets and for
//! the platform as threads of the test.
#![allow(dead_code, reason = "each test file uses a part of this module")]

pub mod guard_wire;
pub mod hosted;
pub mod linked_fleet;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use railspan::{FleetConfig, RevisionHead, open_store};
use railspan_standins::{
    CallReport, CallRequest, CallerClient, DaemonEndpoints, DaemonProcess, DaemonSpec,
    PlatformFaults, PlatformLimits, PlatformStandin, TargetOptions, TargetRun, TargetStandin,
    Verdict, fetch,
};
use serde_json::Value;
use tokio::runtime::Runtime;

/// Longest wait for an expected event; far longer than any of them takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Configuration template that every [`TestFleet`] starts with.
pub const TEMPLATE: &str = include_str!("../../examples/fundacion.jsonc");

/// Bearer token of the account `cooperativas` in [`TEMPLATE`].
pub const TOKEN: &str = "cooperativas-token";

/// Bearer token of another account in [`TEMPLATE`].
pub const OTHER_TOKEN: &str = "emergencia-token";

/// Parameters of a [`TestFleet`].
pub struct FleetPlan {
    /// Service that all targets offer and all calls are for.
    pub service: &'static str,
    /// Number of hosts; each has one daemon and one target.
    pub hosts: usize,
    /// Slots of each target.
    pub slots: u16,
    /// Mean time that a target takes for a call, in microseconds.
    pub service_us: u64,
    /// Longest planned stop of a daemon, in milliseconds.
    pub stop_bound_ms: u64,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self { service: "avisos", hosts: 3, slots: 4, service_us: 2_000, stop_bound_ms: 30_000 }
    }
}

/// A running fleet whose daemon and target at the same index share a host.
pub struct TestFleet {
    pub daemons: Vec<DaemonProcess>,
    pub targets: Vec<TargetStandin>,
    pub platform: PlatformStandin,
    pub client: CallerClient,
    pub runtime: Runtime,
    pub plan: FleetPlan,
}

impl TestFleet {
    /// Starts a fleet and waits until every daemon serves every target.
    pub fn spawn(plan: FleetPlan) -> Self {
        let platform = PlatformStandin::spawn(ephemeral_address(), PlatformLimits::default())
            .expect("platform");
        let runtime = Runtime::new().expect("runtime");
        let mut fleet = Self {
            daemons: Vec::new(),
            targets: Vec::new(),
            platform,
            client: CallerClient::open(),
            runtime,
            plan,
        };
        fleet.publish(TEMPLATE).expect("publish");
        for index in 0..fleet.plan.hosts {
            fleet.add_host(index);
        }
        fleet.wait_ready();
        fleet
    }

    /// Adds a host: starts a daemon, and a target that announces itself to it.
    pub fn add_host(&mut self, index: usize) {
        let daemon = self.start_daemon(index, &[]);
        let target = TargetStandin::spawn(TargetOptions {
            service: self.plan.service.to_owned(),
            name: format!("target-{index}"),
            address: ephemeral_address(),
            daemon: daemon.endpoints().admin,
            slots: self.plan.slots,
            service_us: self.plan.service_us,
            seed: index as u64,
        });
        self.daemons.push(daemon);
        self.targets.push(target.expect("target"));
    }

    /// Starts a daemon without a target; the daemon is killed when the result is dropped.
    pub fn start_daemon(&self, index: usize, seeds: &[SocketAddr]) -> DaemonProcess {
        let spec = DaemonSpec {
            advertised: None,
            log_file: None,
            command: vec![env!("CARGO_BIN_EXE_railspand").into()],
            host: format!("host-{index}"),
            data_centre: format!("ba-norte-{}", index % 3 + 1),
            platform: self.platform.address(),
            seeds: seeds.to_vec(),
            stop_bound_ms: self.plan.stop_bound_ms,
            memory_mb: None,
            seed: index as u64,
            deployment: None,
        };
        DaemonProcess::spawn(&spec).expect("daemon")
    }

    /// Publishes a template as the next revision of the configuration.
    pub fn publish(&self, template: &str) -> Result<RevisionHead, railspan::PublishError> {
        let config = FleetConfig::parse("template", template).expect("template");
        let client = open_store(self.platform.address());
        self.runtime.block_on(railspan::publish(&client, &config, "test", None))
    }

    /// Returns the addresses at which a daemon listens.
    pub fn addresses(&self, index: usize) -> DaemonEndpoints {
        *self.daemons[index].endpoints()
    }

    /// Waits until the entry of every daemon serves and knows every target.
    pub fn wait_ready(&self) {
        for index in 0..self.daemons.len() {
            self.wait_for_targets(index, self.targets.len());
        }
    }

    /// Waits until the entry of one daemon serves and knows exactly `count` targets.
    pub fn wait_for_targets(&self, index: usize, count: usize) {
        let admin = self.addresses(index).admin;
        eventually("all targets known", || entry_target_count(&self.state(admin)) == count);
    }

    /// Returns a daemon's state page, or null if it can't be read.
    pub fn state(&self, admin: SocketAddr) -> Value {
        let page = self.runtime.block_on(fetch("GET", admin, "/state"));
        page.ok().and_then(|(_, body)| serde_json::from_slice(&body).ok()).unwrap_or_default()
    }

    /// Returns the revision that a daemon's entry serves, or `None` if it isn't ready.
    pub fn serving_revision(&self, admin: SocketAddr) -> Option<u64> {
        let state = self.state(admin);
        state["entry"]["ready"].as_bool().filter(|ready| *ready)?;
        state["entry"]["revision"].as_u64()
    }

    /// Builds a `GET` call for the fleet's service, with a deadline of 10 s.
    pub fn get_request(&self, path: &str) -> CallRequest {
        CallRequest {
            service: self.plan.service.to_owned(),
            token: TOKEN.to_owned(),
            method: "GET",
            path: path.to_owned(),
            key: None,
            body: Vec::new(),
            deadline_ms: 10_000,
        }
    }

    /// Builds a `POST` call with an idempotency key, which is also its body.
    pub fn post_request(&self, key: &str, path: &str) -> CallRequest {
        let mut call = self.get_request(path);
        call.method = "POST";
        call.key = Some(key.to_owned());
        call.body = key.as_bytes().to_vec();
        call
    }

    /// Makes a call through a daemon and waits for its end.
    pub fn call(&self, index: usize, call: &CallRequest) -> CallReport {
        let addresses = self.addresses(index);
        self.runtime.block_on(self.client.call(addresses.caller, call))
    }

    /// Starts a call through a daemon without waiting for its end.
    pub fn start_call(
        &self,
        index: usize,
        call: CallRequest,
    ) -> tokio::task::JoinHandle<CallReport> {
        let (client, addresses) = (self.client.clone(), self.addresses(index));
        self.runtime.spawn(async move { client.call(addresses.caller, &call).await })
    }

    /// Waits for the end of a call that [`Self::start_call`] made.
    pub fn join_call(&self, call: tokio::task::JoinHandle<CallReport>) -> CallReport {
        self.runtime.block_on(call).expect("call task")
    }

    /// Repeats a call through a daemon until its outcome is final, or returns the last
    /// report after [`WAIT_TIMEOUT`].
    pub fn repeat_until_final(&self, index: usize, call: &CallRequest) -> CallReport {
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        loop {
            let report = self.call(index, call);
            let retry = match report.verdict {
                Verdict::NotRun | Verdict::Broken => true,
                Verdict::Unknown => report.retry_after_ms.is_some(),
                _ => false,
            };
            if !retry || Instant::now() > give_up_at {
                return report;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Returns all runs with an idempotency key, on all targets together.
    pub fn runs(&self, key: &str) -> Vec<TargetRun> {
        let runs = self.targets.iter().flat_map(TargetStandin::runs);
        runs.filter(|run| run.key.as_deref() == Some(key)).collect()
    }

    /// Returns the index of the first target that began to run a call with this key.
    pub fn target_that_ran(&self, key: &str) -> Option<usize> {
        let has_run = |target: &TargetStandin| {
            target.runs().iter().any(|run| run.key.as_deref() == Some(key))
        };
        self.targets.iter().position(has_run)
    }

    /// Sets the platform's faults to those that `change` makes; all others end.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        let mut faults = PlatformFaults::default();
        change(&mut faults);
        self.platform.set_faults(faults);
    }
}

/// Returns the loopback address at which the system chooses a free port.
pub fn ephemeral_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Waits until a condition holds, and fails the test after [`WAIT_TIMEOUT`].
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < give_up_at, "timed out waiting until: {what}");
        std::thread::sleep(Duration::from_millis(25));
    }
}

/// Counts the targets of all services in an entry's state; zero while it isn't ready.
fn entry_target_count(state: &Value) -> usize {
    let services = state["entry"]["services"].as_object();
    let count = |service: &Value| service["targets"].as_array().map_or(0, Vec::len);
    if state["entry"]["ready"] != Value::Bool(true) {
        return 0;
    }
    services.map_or(0, |services| services.values().map(count).sum())
}
