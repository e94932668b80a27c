//! The programs of a run: daemons as processes, targets and the store beside
//! them, and a faulty link before each address that others use.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use railspan_standins::{
    DaemonEndpoints, DaemonProcess, DaemonSpec, FaultyLink, HostedBehaviour, HostedTarget,
    PlatformFaults, PlatformLimits, PlatformStandin,
};
use serde_json::{Value, json};
use tokio::runtime::Handle;

use super::deadly::DEADLY;
use super::host::{HostLinks, SoakHost, cut, freeze, lock, restart, serves};
use super::places::{COLD_OVER, COLD_PER_S, COLD_SLACK, ColdNote, EvacuationNote, TargetTurn};
use super::plan::{LinkKind, PlannedTrouble, SoakPlan, Trouble};

/// Services of the fleet; hosts take turns.
pub const SERVICES: [&str; 2] = ["grillas", "avisos"];

/// Targets that one request may reach, as the routes say.
pub const MAX_ATTEMPTS: usize = 2;

/// Further tries that all daemons may make: a share of the calls, and more.
pub const RETRY_RATIO: f64 = 0.2;
pub const RETRY_SLACK: f64 = 58.0;

/// Time from a stop signal until the platform would kill.
const GRACE: Duration = Duration::from_secs(6);

/// Time a target stays after its drain was acknowledged: longer than requests may
/// still arrive, so that a drain that is not acted upon shows.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Time after which a target ends though nobody acknowledged its drain, and the
/// time between two words of it.
const DRAIN_LIMIT: Duration = Duration::from_secs(6);
const DRAIN_EVERY: Duration = Duration::from_millis(100);

/// Work of a target for one request, and while it is slow.
const WORK: Duration = Duration::from_millis(8);
const SLOW_WORK: Duration = Duration::from_millis(250);

/// Longest wait for a thing that must come to pass.
const EVENTUALLY: Duration = Duration::from_secs(60);

/// A target that acknowledged that it drains, and when.
pub struct DrainNote {
    pub target: String,
    pub acknowledged: Instant,
}

/// A target that ran, and the link by which its guard reached it.
pub struct SoakTarget {
    pub target: Arc<HostedTarget>,
    link: SocketAddr,
}

/// All programs of a run.
pub struct SoakFleet {
    pub hosts: Vec<SoakHost>,
    /// Every target that ever ran, for what it saw.
    pub targets: Mutex<Vec<SoakTarget>>,
    pub drains: Mutex<Vec<DrainNote>>,
    pub colds: Mutex<Vec<ColdNote>>,
    pub evacuations: Mutex<Vec<EvacuationNote>>,
    /// What went wrong with the processes themselves.
    pub findings: Mutex<Vec<String>>,
    /// The newest configuration that the store acknowledged.
    pub version: AtomicU64,
    platform: PlatformStandin,
    number: AtomicU64,
    /// Whether a request ends targets: then guards reach them without a link, so that a
    /// port that is shut looks as it does on one host.
    deadly: bool,
}

impl SoakFleet {
    /// Starts everything; logs go to files in `logs`.
    pub fn spawn(runtime: &Handle, plan: &SoakPlan, logs: &Path) -> Self {
        let (hosts, seed) = (plan.hosts, plan.seed);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandin::spawn(any, PlatformLimits::default()).expect("platform");
        platform.write_config(&configuration(1));
        let mut fleet = Self {
            hosts: Vec::new(),
            targets: Mutex::default(),
            drains: Mutex::default(),
            colds: Mutex::default(),
            evacuations: Mutex::default(),
            findings: Mutex::default(),
            version: AtomicU64::new(1),
            platform,
            number: AtomicU64::new(0),
            deadly: plan.deadly,
        };
        for index in 0..hosts {
            let host = fleet.spawn_host(runtime, index, seed, logs);
            fleet.hosts.push(host);
        }
        fleet
    }

    fn spawn_host(&self, runtime: &Handle, index: usize, seed: u64, logs: &Path) -> SoakHost {
        let service = SERVICES[index % SERVICES.len()];
        let bind = |datagrams| FaultyLink::bind(runtime, datagrams).expect("link");
        let links = HostLinks {
            guard: bind(false),
            peer: bind(true),
            store: bind(false),
            target: bind(false),
        };
        links.store.set_upstream(self.platform.address());
        let target = self.spawn_target(service, &links.target);
        let spec = DaemonSpec {
            command: vec![env!("CARGO_BIN_EXE_railspand").into()],
            host: format!("host-{index}"),
            data_centre: format!("centre-{}", index % 3),
            platform: links.store.address(),
            advertised: Some((links.guard.address(), links.peer.address())),
            seeds: Vec::new(),
            stop_bound_ms: 5_000,
            seed: seed.wrapping_mul(1_000) + index as u64,
            log_file: Some(log_file(logs, index)),
            deployment: Some(json!({
                "service": service,
                "target_address": links.target.address(),
                "terms": format!(
                    "heartbeat=500ms,retry_budget_ratio={RETRY_RATIO},budget_slack={RETRY_SLACK},\
                     grace={}s,cold_over={COLD_OVER},cold_slack={COLD_SLACK}", GRACE.as_secs()
                ),
            })),
        };
        let daemon = DaemonProcess::spawn(&spec).expect("daemon");
        let place = *daemon.endpoints();
        links.guard.set_upstream(place.guard);
        links.peer.set_upstream(place.peer);
        self.report(&target, &links.target, &place);
        SoakHost {
            service,
            place,
            life: AtomicU64::new(1),
            freezes: Mutex::default(),
            troubles: Mutex::default(),
            starts: Mutex::new(vec![Instant::now()]),
            daemon: Mutex::new(daemon),
            target: Mutex::new(target),
            spec,
            links,
        }
    }

    fn spawn_target(&self, service: &str, link: &FaultyLink) -> Arc<HostedTarget> {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        let target = HostedTarget::spawn(service, &format!("i-{number}"), WORK).expect("target");
        target.restart(number + 1);
        if self.deadly {
            target.crash_on_path(DEADLY);
        }
        let target = Arc::new(target);
        link.set_upstream(target.address());
        let ran = SoakTarget { target: Arc::clone(&target), link: link.address() };
        lock(&self.targets).push(ran);
        target
    }

    /// Returns the place of the host that a target ran on.
    pub fn host_of(&self, ran: &SoakTarget) -> usize {
        let own = |host: &SoakHost| host.links.target.address() == ran.link;
        self.hosts.iter().position(own).expect("host")
    }

    /// Tells whether something happened to a host in a span.
    pub fn was_troubled(&self, host: usize, from: Instant, to: Instant) -> bool {
        self.hosts[host].was_troubled(from, to)
    }

    /// Lets one trouble happen, from its start to its end.
    pub fn play(&self, planned: &PlannedTrouble) {
        let host = &self.hosts[planned.host];
        let from = Instant::now();
        self.begin(planned);
        if planned.trouble.harms_links() {
            lock(&host.troubles).push((from, Instant::now()));
        }
    }

    fn begin(&self, planned: &PlannedTrouble) {
        let host = &self.hosts[planned.host];
        match &planned.trouble {
            Trouble::Kill => self.kill(host),
            Trouble::KillAll => self.hosts.iter().for_each(|host| self.kill(host)),
            Trouble::Freeze => freeze(host, planned.lasts),
            Trouble::Stop => self.stop(host),
            // A process that has just been killed is told nothing.
            Trouble::HangUp => drop(lock(&host.daemon).request_reload()),
            Trouble::Delay(kind, millis) => {
                host.links.of(*kind).delay(*millis);
                std::thread::sleep(planned.lasts);
                host.links.of(*kind).delay(0);
            }
            Trouble::Cut(kind, way) => cut(host.links.of(*kind), *way, planned.lasts),
            Trouble::Reset(kind) => host.links.of(*kind).reset(),
            Trouble::Silence(kind) => host.links.of(*kind).silence(),
            Trouble::StoreDown => {
                self.spoil_store(planned.lasts, |faults| faults.down = true);
            }
            Trouble::StoreSlow => {
                self.spoil_store(planned.lasts, |faults| faults.slow_ms = 400);
            }
            Trouble::StoreLosesAnswers => {
                self.spoil_store(planned.lasts, |faults| faults.unanswered_writes = 20);
            }
            Trouble::StoreForgets => {
                self.spoil_store(planned.lasts, |faults| faults.history_gone = true);
            }
            Trouble::Mood(mood) => {
                let target = Arc::clone(&lock(&host.target));
                target.set_behaviour(mood.clone());
                std::thread::sleep(planned.lasts);
                target.set_behaviour(HostedBehaviour::Answer);
            }
            Trouble::SlowTarget => {
                let target = Arc::clone(&lock(&host.target));
                target.set_service_time(SLOW_WORK);
                std::thread::sleep(planned.lasts);
                target.set_service_time(WORK);
            }
            Trouble::ReplaceTarget => self.replace_target(host),
            Trouble::CrashTarget => {
                let mut present = lock(&host.target);
                present.crash();
                self.start_target(host, &mut present);
            }
            Trouble::Configure => self.configure(),
        }
    }

    fn kill(&self, host: &SoakHost) {
        let mut daemon = lock(&host.daemon);
        self.expect_running(&mut daemon, &host.spec.host);
        daemon.kill().expect("kill");
        restart(host, &mut daemon);
    }

    /// Stops a daemon as the platform does, and starts it again.
    fn stop(&self, host: &SoakHost) {
        let life = host.life.load(Ordering::Relaxed);
        if lock(&host.daemon).terminate().is_err() {
            return;
        }
        let until = Instant::now() + GRACE;
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let mut daemon = lock(&host.daemon);
            if host.life.load(Ordering::Relaxed) != life {
                // Killed meanwhile, and started again by who killed it.
                return;
            }
            let status = daemon.wait(Duration::ZERO).expect("wait");
            if status.is_none() && Instant::now() < until {
                continue;
            }
            if status.is_none_or(|status| !status.success()) {
                let what = format!("{}: a planned stop ended with {status:?}", host.spec.host);
                lock(&self.findings).push(what);
                daemon.kill().expect("kill");
            }
            restart(host, &mut daemon);
            return;
        }
    }

    fn expect_running(&self, daemon: &mut DaemonProcess, name: &str) {
        // One that was asked to stop may have done so.
        let status = daemon.wait(Duration::ZERO).expect("wait");
        if status.is_some_and(|status| !status.success()) {
            lock(&self.findings).push(format!("{name}: ended by itself with {status:?}"));
        }
    }

    fn spoil_store(&self, lasts: Duration, spoil: impl FnOnce(&mut PlatformFaults)) {
        let mut faults = PlatformFaults::default();
        spoil(&mut faults);
        self.platform.set_faults(faults);
        std::thread::sleep(lasts);
        self.platform.set_faults(PlatformFaults::default());
    }

    fn replace_target(&self, host: &SoakHost) {
        let mut present = lock(&host.target);
        let control = host.place.control.expect("control");
        let until = Instant::now() + DRAIN_LIMIT;
        let mut end = until;
        // A target repeats its word, so that a daemon's next life hears it, too.
        while Instant::now() < end {
            let acknowledged = present.drain(control).is_ok_and(|status| status == 200);
            if acknowledged && end == until {
                end = Instant::now() + DRAIN;
                let target = present.name().to_owned();
                lock(&self.drains).push(DrainNote { target, acknowledged: Instant::now() });
            }
            std::thread::sleep(DRAIN_EVERY);
        }
        // A daemon that is away can't hear of it; its next life never knew it.
        drop(present.leave(control));
        present.crash();
        self.start_target(host, &mut present);
    }

    /// Starts a target in the place of one that ended.
    pub fn start_target(&self, host: &SoakHost, present: &mut Arc<HostedTarget>) {
        *present = self.spawn_target(host.service, &host.links.target);
        self.report(present, &host.links.target, &host.place);
    }

    fn report(&self, target: &HostedTarget, link: &FaultyLink, place: &DaemonEndpoints) {
        let address = if self.deadly { target.address() } else { link.address() };
        target.send_heartbeats_as(address, place.control.expect("control"));
    }

    fn configure(&self) {
        // One writer at a time, so that versions are written in their order.
        let _writer = lock(&self.drains);
        let version = self.version.load(Ordering::Relaxed) + 1;
        self.platform.write_config(&configuration(version));
        self.version.store(version, Ordering::Relaxed);
    }

    /// Writes the operator's row of an evacuation, or takes it away.
    pub fn evacuate(&self, centre: usize, evacuated: bool) {
        let value = evacuated.then_some(&b"{}"[..]);
        self.platform.write_operator_row(&format!("evacuate/centre-{centre}"), value);
    }

    /// Has a host's present target turn cold, or start again under its name.
    pub fn turn_target(&self, host: usize, turn: TargetTurn) {
        let target = Arc::clone(&lock(&self.hosts[host].target));
        match turn {
            TargetTurn::Reborn => target.restart(self.number.fetch_add(1, Ordering::Relaxed) + 1),
            TargetTurn::Cold(lasts) => {
                let from = Instant::now();
                target.set_cold_for(lasts);
                let name = target.name().to_owned();
                let note = ColdNote { target: name, host, from, to: from + lasts };
                lock(&self.colds).push(note);
            }
        }
    }

    /// Ends all faults of links, targets and the store.
    pub fn heal(&self) {
        for host in &self.hosts {
            for kind in [LinkKind::Guard, LinkKind::Peer, LinkKind::Store, LinkKind::Target] {
                host.links.of(kind).heal();
            }
            lock(&host.target).set_behaviour(HostedBehaviour::Answer);
        }
        self.platform.set_faults(PlatformFaults::default());
    }

    /// Waits until each daemon serves each service by the newest configuration.
    pub fn wait_recovered(&self) -> bool {
        let until = Instant::now() + EVENTUALLY;
        let version = self.version.load(Ordering::Relaxed);
        self.hosts.iter().enumerate().all(|(index, host)| {
            loop {
                if SERVICES.iter().all(|service| serves(host, service, version)) {
                    return true;
                }
                if Instant::now() >= until {
                    let what = format!("host-{index}: not recovered");
                    lock(&self.findings).push(what);
                    return false;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        })
    }

    /// Ends all targets, so that their threads end.
    pub fn end_targets(&self) {
        lock(&self.targets).iter().for_each(|ran| ran.target.crash());
    }
}

fn log_file(logs: &Path, index: usize) -> PathBuf {
    logs.join(format!("host-{index}.log"))
}

/// Makes a configuration: two routes for each service, and one more a version.
fn configuration(version: u64) -> String {
    let route = |service: &str, name: &str, prefix: &str, kind: &str| {
        json!({
            "name": name, "prefix": prefix, "route_type": kind, "timeout": "3s",
            "target_latency": "1s", "priority": 1, "service": service,
            "max_attempts": MAX_ATTEMPTS,
        })
    };
    let host_of =
        |service: &&str| {
            let mut paths = vec![
                route(service, "read", "/read/", "safe"),
                route(service, "write", "/write/", "unsafe"),
            ];
            let versions = 1..=version;
            paths.extend(versions.map(|number| {
                route(service, &format!("v{number}"), &format!("/v{number}/"), "safe")
            }));
            json!({"host": format!("{service}.example"), "paths": paths})
        };
    let services: Vec<Value> = SERVICES
        .iter()
        .map(|name| {
            json!({
                "name": name, "health_path": "/health", "max_connections": 220,
                "cold_start": "3s", "cold_per_s": COLD_PER_S,
            })
        })
        .collect();
    json!({
        "version": format!("r{version}"),
        "services": services,
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 67_108_864,
            "header_timeout": "3000ms", "idle_timeout": "15000ms",
        },
        "virtual_hosts": SERVICES.iter().map(host_of).collect::<Vec<Value>>(),
    })
    .to_string()
}
