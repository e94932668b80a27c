//! A small fleet for tests: daemons as processes, stand-ins on threads.
#![allow(dead_code, reason = "each test file uses a part of this")]

pub mod hosted;

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

/// Longest wait for anything that must happen; far beyond what it takes.
pub const LIMIT: Duration = Duration::from_secs(60);

pub const TEMPLATE: &str = include_str!("../../examples/fundacion.jsonc");
pub const TOKEN: &str = "cooperativas-token";
pub const OTHER_TOKEN: &str = "emergencia-token";

/// What a fleet is made of.
pub struct FleetPlan {
    pub service: &'static str,
    /// Hosts with a daemon and a target each.
    pub hosts: usize,
    pub slots: u16,
    pub service_us: u64,
    pub stop_bound_ms: u64,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self { service: "avisos", hosts: 3, slots: 4, service_us: 2_000, stop_bound_ms: 30_000 }
    }
}

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
        let platform = PlatformStandin::spawn(any(), PlatformLimits::default()).expect("platform");
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

    /// Adds a daemon and its target.
    pub fn add_host(&mut self, index: usize) {
        let daemon = self.start_daemon(index, &[]);
        let target = TargetStandin::spawn(TargetOptions {
            service: self.plan.service.to_owned(),
            name: format!("target-{index}"),
            address: any(),
            daemon: daemon.endpoints().admin,
            slots: self.plan.slots,
            service_us: self.plan.service_us,
            seed: index as u64,
        });
        self.daemons.push(daemon);
        self.targets.push(target.expect("target"));
    }

    /// Starts a daemon alone.
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
            seed: index as u64,
            deployment: None,
        };
        DaemonProcess::spawn(&spec).expect("daemon")
    }

    pub fn publish(&self, template: &str) -> Result<RevisionHead, railspan::PublishError> {
        let config = FleetConfig::parse("template", template).expect("template");
        let client = open_store(self.platform.address());
        self.runtime.block_on(railspan::publish(&client, &config, "test", None))
    }

    pub fn place(&self, index: usize) -> DaemonEndpoints {
        *self.daemons[index].endpoints()
    }

    /// Waits until every daemon has every target ready.
    pub fn wait_ready(&self) {
        for index in 0..self.daemons.len() {
            self.wait_known(index, self.targets.len());
        }
    }

    /// Waits until the entry of one daemon knows so many targets.
    pub fn wait_known(&self, index: usize, count: usize) {
        let admin = self.place(index).admin;
        eventually("all targets known", || known_targets(&self.state(admin)) == count);
    }

    /// Returns the whole state of a daemon, or null if it can't be reached.
    pub fn state(&self, admin: SocketAddr) -> Value {
        let page = self.runtime.block_on(fetch("GET", admin, "/state"));
        page.ok().and_then(|(_, body)| serde_json::from_slice(&body).ok()).unwrap_or_default()
    }

    /// Returns the revision that a daemon's entry serves by.
    pub fn revision(&self, admin: SocketAddr) -> Option<u64> {
        let state = self.state(admin);
        state["entry"]["ready"].as_bool().filter(|ready| *ready)?;
        state["entry"]["revision"].as_u64()
    }

    pub fn read(&self, path: &str) -> CallRequest {
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

    pub fn post(&self, key: &str, path: &str) -> CallRequest {
        let mut call = self.read(path);
        call.method = "POST";
        call.key = Some(key.to_owned());
        call.body = key.as_bytes().to_vec();
        call
    }

    pub fn call(&self, index: usize, call: &CallRequest) -> CallReport {
        let place = self.place(index);
        self.runtime.block_on(self.client.call(place.caller, call))
    }

    /// Makes a call in the background.
    pub fn start(&self, index: usize, call: CallRequest) -> tokio::task::JoinHandle<CallReport> {
        let (client, place) = (self.client.clone(), self.place(index));
        self.runtime.spawn(async move { client.call(place.caller, &call).await })
    }

    pub fn join(&self, call: tokio::task::JoinHandle<CallReport>) -> CallReport {
        self.runtime.block_on(call).expect("call task")
    }

    /// Repeats a call through a daemon until the answer is final.
    pub fn repeat_until_final(&self, index: usize, call: &CallRequest) -> CallReport {
        let until = Instant::now() + LIMIT;
        loop {
            let report = self.call(index, call);
            let again = match report.verdict {
                Verdict::NotRun | Verdict::Broken => true,
                Verdict::Unknown => report.retry_after_ms.is_some(),
                _ => false,
            };
            if !again || Instant::now() > until {
                return report;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Returns every run with this key on any target.
    pub fn runs(&self, key: &str) -> Vec<TargetRun> {
        let runs = self.targets.iter().flat_map(TargetStandin::runs);
        runs.filter(|run| run.key.as_deref() == Some(key)).collect()
    }

    /// Returns the index of the target that ran a key.
    pub fn ran_on(&self, key: &str) -> Option<usize> {
        let has = |target: &TargetStandin| {
            target.runs().iter().any(|run| run.key.as_deref() == Some(key))
        };
        self.targets.iter().position(has)
    }

    pub fn faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        let mut faults = PlatformFaults::default();
        change(&mut faults);
        self.platform.set_faults(faults);
    }
}

pub fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Waits until something holds, and fails the test if it never does.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < until, "never: {what}");
        std::thread::sleep(Duration::from_millis(25));
    }
}

fn known_targets(state: &Value) -> usize {
    let services = state["entry"]["services"].as_object();
    let count = |service: &Value| service["targets"].as_array().map_or(0, Vec::len);
    if state["entry"]["ready"] != Value::Bool(true) {
        return 0;
    }
    services.map_or(0, |services| services.values().map(count).sum())
}
