//! The processes of a run: daemons as child processes, targets and the store within the
//! test process, and a fault-injecting link in front of each address that others connect
//! to.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use railspan_standins::{
    DaemonEndpoints, DaemonProcess, DaemonSpec, FaultyLink, HostedBehaviour, HostedTarget,
    PlatformFaults, PlatformLimits, PlatformStandin,
};
use serde_json::json;
use tokio::runtime::Handle;

use super::account_events::{self, AccountState};
use super::capacity_events::{COLD_OVER, COLD_SLACK, ColdPeriod, EvacuationPeriod, TargetEvent};
use super::config_events::CONFIG_DEADLINE;
use super::configuration::config_text;
use super::crash_requests::CRASH_PATH;
use super::held_events;
use super::host::{HostLinks, SoakHost, cut, freeze, lock, restart, serves_version};
use super::plan::{Disruption, LinkKind, PlannedDisruption, SoakPlan};
use super::statement_events::StatementPeriod;

/// Services of the fleet, assigned to the hosts in turn.
pub const SERVICES: [&str; 2] = ["grillas", "avisos"];

/// Number of targets that one request may reach, as configured in the routes.
pub const MAX_ATTEMPTS: usize = 2;

/// Retry budget of the whole fleet: a share of the calls, plus a fixed number.
pub const RETRY_BUDGET_RATIO: f64 = 0.2;
pub const RETRY_BUDGET_SLACK: f64 = 58.0;

/// Time from the stop signal until the platform would kill the daemon.
const STOP_GRACE: Duration = Duration::from_secs(6);

/// Time for which a target keeps running after its drain was acknowledged: longer than
/// requests may still arrive, so that a drain that has no effect is noticed.
const DRAIN_LINGER: Duration = Duration::from_millis(2_500);

/// Time after which a target ends although its drain was not acknowledged, and the time
/// between two drain announcements.
const DRAIN_ACK_TIMEOUT: Duration = Duration::from_secs(6);
const DRAIN_INTERVAL: Duration = Duration::from_millis(100);

/// Time that a target takes for one request, usually and while it is slow.
const WORK_TIME: Duration = Duration::from_millis(8);
const SLOW_WORK_TIME: Duration = Duration::from_millis(250);

/// Time within which the fleet must recover.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);

/// A target whose drain was acknowledged, and when.
pub struct DrainRecord {
    pub target: String,
    pub acknowledged: Instant,
}

/// A target, and the address of the link between it and its guard.
pub struct SoakTarget {
    pub target: Arc<HostedTarget>,
    link_address: SocketAddr,
}

/// All processes of a run, and what they recorded.
pub struct SoakFleet {
    pub hosts: Vec<SoakHost>,
    /// All targets of the run, including those that ended.
    pub targets: Mutex<Vec<SoakTarget>>,
    pub drains: Mutex<Vec<DrainRecord>>,
    pub cold_periods: Mutex<Vec<ColdPeriod>>,
    pub evacuations: Mutex<Vec<EvacuationPeriod>>,
    pub statements: Mutex<Vec<StatementPeriod>>,
    /// The client accounts, if the run has any.
    pub accounts: Option<AccountState>,
    /// Violations by the daemon processes themselves.
    pub findings: Mutex<Vec<String>>,
    /// Version of the newest configuration that the store acknowledged.
    pub config_version: AtomicU64,
    /// When each version, from the first one on, was sent and acknowledged.
    config_times: Mutex<Vec<(Instant, Instant)>>,
    /// Start and end of each fault of the store.
    store_faults: Mutex<Vec<(Instant, Instant)>>,
    platform: PlatformStandin,
    /// Numbers the names and the incarnations of targets.
    target_counter: AtomicU64,
    /// Whether clients send requests that crash targets. Guards then connect to targets
    /// without a link, so that the closed port of a crashed target refuses connections as
    /// it does on a single host.
    sends_crash_requests: bool,
    /// Whether the run has events of [`held_events`].
    holds_calls: bool,
}

impl SoakFleet {
    /// Starts all processes; the daemons log to files in `logs`.
    pub fn spawn(runtime: &Handle, plan: &SoakPlan, logs: &Path) -> Self {
        let (hosts, seed) = (plan.hosts, plan.seed);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform =
            PlatformStandin::spawn(any, PlatformLimits::default()).expect("platform stand-in");
        let accounts = AccountState::of_seed(seed);
        platform.write_config(&config_text(1, accounts.as_ref()));
        let mut fleet = Self {
            hosts: Vec::new(),
            targets: Mutex::default(),
            drains: Mutex::default(),
            cold_periods: Mutex::default(),
            evacuations: Mutex::default(),
            statements: Mutex::default(),
            accounts,
            findings: Mutex::default(),
            config_version: AtomicU64::new(1),
            config_times: Mutex::new(vec![(Instant::now(), Instant::now())]),
            store_faults: Mutex::default(),
            platform,
            target_counter: AtomicU64::new(0),
            sends_crash_requests: plan.sends_crash_requests,
            holds_calls: plan.held.is_active(),
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
            // Quotas and what is known of the store are requested by datagrams.
            guard: bind(true),
            peer: bind(true),
            store: bind(false),
            target: bind(false),
        };
        links.store.set_upstream(self.platform.address());
        let target = self.spawn_target(service, &links.target);
        let mut deployment = json!({
            "service": service,
            "terms": format!(
                "heartbeat=500ms,retry_budget_ratio={RETRY_BUDGET_RATIO},\
                 budget_slack={RETRY_BUDGET_SLACK},grace={}s,cold_over={COLD_OVER},\
                 cold_slack={COLD_SLACK}{}", STOP_GRACE.as_secs(), account_events::terms(seed)
            ),
        });
        if !self.holds_calls {
            // Otherwise guards reach targets without a link, which would delay small calls behind
            // uploads, and learn the targets' own addresses from heartbeats.
            deployment["target_address"] = json!(links.target.address());
        }
        let spec = DaemonSpec {
            command: vec![env!("CARGO_BIN_EXE_railspand").into()],
            host: format!("host-{index}"),
            data_centre: format!("centre-{}", index % 3),
            platform: links.store.address(),
            advertised: Some((links.guard.address(), links.peer.address())),
            seeds: Vec::new(),
            stop_bound_ms: 5_000,
            memory_mb: held_events::memory_mb(seed),
            seed: seed.wrapping_mul(1_000) + index as u64,
            log_file: Some(log_file(logs, index)),
            deployment: Some(deployment),
        };
        let daemon = DaemonProcess::spawn(&spec).expect("daemon");
        let addresses = *daemon.endpoints();
        links.guard.set_upstream(addresses.guard);
        links.peer.set_upstream(addresses.peer);
        self.start_heartbeats(&target, &links.target, &addresses);
        SoakHost {
            service,
            addresses,
            incarnation: AtomicU64::new(1),
            freezes: Mutex::default(),
            link_faults: Mutex::default(),
            starts: Mutex::new(vec![Instant::now()]),
            daemon: Mutex::new(daemon),
            stating: Mutex::default(),
            target: Mutex::new(target),
            spec,
            links,
        }
    }

    fn spawn_target(&self, service: &str, link: &FaultyLink) -> Arc<HostedTarget> {
        let number = self.target_counter.fetch_add(1, Ordering::Relaxed);
        let target =
            HostedTarget::spawn(service, &format!("i-{number}"), WORK_TIME).expect("target");
        target.restart(number + 1);
        if self.sends_crash_requests {
            target.crash_on_path(CRASH_PATH);
        }
        if self.holds_calls {
            held_events::prepare_target(&target);
        }
        let target = Arc::new(target);
        link.set_upstream(target.address());
        let soak_target = SoakTarget { target: Arc::clone(&target), link_address: link.address() };
        lock(&self.targets).push(soak_target);
        target
    }

    /// Returns the index of the host of a target.
    pub fn host_index(&self, soak_target: &SoakTarget) -> usize {
        let is_host = |host: &SoakHost| host.links.target.address() == soak_target.link_address;
        self.hosts.iter().position(is_host).expect("host")
    }

    /// Whether a host was disrupted at any time between `from` and `to`.
    pub fn was_disrupted(&self, host: usize, from: Instant, to: Instant) -> bool {
        self.hosts[host].was_disrupted(from, to)
    }

    /// Runs one disruption to its end, and records it if it affects links.
    pub fn run_disruption(&self, planned: &PlannedDisruption) {
        let host = &self.hosts[planned.host];
        let from = Instant::now();
        self.inject(planned);
        if planned.disruption.affects_links() {
            lock(&host.link_faults).push((from, Instant::now()));
        }
    }

    fn inject(&self, planned: &PlannedDisruption) {
        let host = &self.hosts[planned.host];
        match &planned.disruption {
            Disruption::Kill => self.kill(host),
            Disruption::KillAll => self.hosts.iter().for_each(|host| self.kill(host)),
            Disruption::Freeze => freeze(host, planned.duration),
            Disruption::Stop => self.stop(host),
            // Sending the signal fails if the process has just been killed.
            Disruption::ReloadSettings => drop(lock(&host.daemon).request_reload()),
            Disruption::Delay(kind, millis) => {
                host.links.by_kind(*kind).delay(*millis);
                std::thread::sleep(planned.duration);
                host.links.by_kind(*kind).delay(0);
            }
            Disruption::Cut(kind, direction) => {
                cut(host.links.by_kind(*kind), *direction, planned.duration);
            }
            Disruption::Reset(kind) => host.links.by_kind(*kind).reset(),
            Disruption::Silence(kind) => host.links.by_kind(*kind).silence(),
            Disruption::StoreDown => {
                self.with_store_faults(planned.duration, |faults| faults.down = true);
            }
            Disruption::StoreSlow => {
                self.with_store_faults(planned.duration, |faults| faults.slow_ms = 400);
            }
            Disruption::StoreLosesAnswers => {
                self.with_store_faults(planned.duration, |faults| faults.unanswered_writes = 20);
            }
            Disruption::StoreLosesHistory => {
                self.with_store_faults(planned.duration, |faults| faults.history_gone = true);
            }
            Disruption::TargetMisbehaves(mood) => {
                let target = Arc::clone(&lock(&host.target));
                target.set_behaviour(mood.clone());
                std::thread::sleep(planned.duration);
                target.set_behaviour(HostedBehaviour::Answer);
            }
            Disruption::SlowTarget => {
                let target = Arc::clone(&lock(&host.target));
                target.set_service_time(SLOW_WORK_TIME);
                std::thread::sleep(planned.duration);
                target.set_service_time(WORK_TIME);
            }
            Disruption::ReplaceTarget => self.replace_target(host),
            Disruption::CrashTarget => {
                let mut current = lock(&host.target);
                current.crash();
                self.start_target(host, &mut current);
            }
            Disruption::ChangeConfig => self.publish_config(false),
        }
    }

    /// Kills the daemon of a host and restarts it at once.
    pub fn kill(&self, host: &SoakHost) {
        let mut daemon = lock(&host.daemon);
        self.record_unexpected_exit(&mut daemon, &host.spec.host);
        daemon.kill().expect("kill");
        restart(host, &mut daemon);
    }

    /// Stops a daemon as the platform does, and restarts it.
    pub fn stop(&self, host: &SoakHost) {
        let incarnation = {
            // Holds the lock for both, so that the signal reaches the incarnation that is watched.
            let daemon = lock(&host.daemon);
            if daemon.terminate().is_err() {
                return;
            }
            host.incarnation.load(Ordering::Relaxed)
        };
        let until = Instant::now() + STOP_GRACE;
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let mut daemon = lock(&host.daemon);
            if host.incarnation.load(Ordering::Relaxed) != incarnation {
                // Another disruption has killed and restarted it meanwhile.
                return;
            }
            let status = daemon.wait(Duration::ZERO).expect("wait");
            if status.is_none() && Instant::now() < until {
                continue;
            }
            if status.is_none_or(|status| !status.success()) {
                let finding =
                    format!("{}: a planned stop ended with status {status:?}", host.spec.host);
                lock(&self.findings).push(finding);
                daemon.kill().expect("kill");
            }
            restart(host, &mut daemon);
            return;
        }
    }

    fn record_unexpected_exit(&self, daemon: &mut DaemonProcess, name: &str) {
        // A daemon that was asked to stop may have exited successfully.
        let status = daemon.wait(Duration::ZERO).expect("wait");
        if status.is_some_and(|status| !status.success()) {
            lock(&self.findings)
                .push(format!("{name}: exited unexpectedly with status {status:?}"));
        }
    }

    pub fn with_store_faults(
        &self,
        duration: Duration,
        set_fault: impl FnOnce(&mut PlatformFaults),
    ) {
        let from = Instant::now();
        let mut faults = PlatformFaults::default();
        set_fault(&mut faults);
        self.platform.set_faults(faults);
        std::thread::sleep(duration);
        self.platform.set_faults(PlatformFaults::default());
        lock(&self.store_faults).push((from, Instant::now()));
    }

    /// Resets the connections of a host to the store and refuses new ones, or no longer does so.
    pub fn refuse_store(&self, host: usize, refused: bool) {
        let link = &self.hosts[host].links.store;
        if refused {
            // Nothing listens at port 1 of loopback.
            link.set_upstream(SocketAddr::from(([127, 0, 0, 1], 1)));
            link.reset();
        } else {
            link.set_upstream(self.platform.address());
        }
    }

    /// Whether a host or the store was disrupted at any time between `from` and `to`.
    pub fn was_harmed(&self, host: usize, from: Instant, to: Instant) -> bool {
        let store_faults = lock(&self.store_faults);
        store_faults.iter().any(|(start, end)| *start < to && *end > from)
            || self.was_disrupted(host, from, to)
    }

    /// Returns when a version of the configuration was sent to the store.
    pub fn sent_at(&self, version: u64) -> Option<Instant> {
        lock(&self.config_times).get(version as usize - 1).map(|(sent, _)| *sent)
    }

    /// Returns when the store acknowledged a version of the configuration.
    pub fn acknowledged_at(&self, version: u64) -> Option<Instant> {
        lock(&self.config_times).get(version as usize - 1).map(|(_, acknowledged)| *acknowledged)
    }

    /// Returns the newest version that has to be in force at a time, or zero.
    pub fn newest_due_at(&self, time: Instant) -> u64 {
        let times = lock(&self.config_times);
        times.iter().filter(|(_, acknowledged)| *acknowledged + CONFIG_DEADLINE < time).count()
            as u64
    }

    fn replace_target(&self, host: &SoakHost) {
        let mut current = lock(&host.target);
        let control = host.addresses.control.expect("control");
        let until = Instant::now() + DRAIN_ACK_TIMEOUT;
        let mut end = until;
        // The announcement is repeated, so that a restarted daemon receives it, too.
        while Instant::now() < end {
            let acknowledged = current.drain(control).is_ok_and(|status| status == 200);
            if acknowledged && end == until {
                let linger =
                    if self.holds_calls { held_events::DRAIN_LINGER } else { DRAIN_LINGER };
                end = Instant::now() + linger;
                let target = current.name().to_owned();
                lock(&self.drains).push(DrainRecord { target, acknowledged: Instant::now() });
            }
            std::thread::sleep(DRAIN_INTERVAL);
        }
        // A daemon that is down misses this; once restarted, it does not know the target.
        drop(current.leave(control));
        current.crash();
        self.start_target(host, &mut current);
    }

    /// Replaces a target that has ended by a new one.
    pub fn start_target(&self, host: &SoakHost, current: &mut Arc<HostedTarget>) {
        *current = self.spawn_target(host.service, &host.links.target);
        self.start_heartbeats(current, &host.links.target, &host.addresses);
    }

    fn start_heartbeats(
        &self,
        target: &HostedTarget,
        link: &FaultyLink,
        addresses: &DaemonEndpoints,
    ) {
        let is_direct = self.sends_crash_requests || self.holds_calls;
        let address = if is_direct { target.address() } else { link.address() };
        target.send_heartbeats_as(address, addresses.control.expect("control"));
        if self.accounts.is_some() {
            target.nested().set_rule(account_events::nested_rule(addresses.caller));
        }
    }

    /// Publishes a configuration with one more route, and without one more of the tokens
    /// that are revoked in turn if `revokes` is set.
    pub fn publish_config(&self, revokes: bool) {
        // The lock allows one writer at a time, so that versions are written in order.
        let _writer = lock(&self.drains);
        let version = self.config_version.load(Ordering::Relaxed) + 1;
        let accounts = self.accounts.as_ref();
        accounts.filter(|_accounts| revokes).inspect(|accounts| accounts.begin_revocation());
        let sent = Instant::now();
        self.platform.write_config(&config_text(version, accounts));
        accounts.filter(|_accounts| revokes).inspect(|accounts| accounts.acknowledge());
        lock(&self.config_times).push((sent, Instant::now()));
        self.config_version.store(version, Ordering::Relaxed);
    }

    /// Writes or deletes the operator row that evacuates a data centre.
    pub fn evacuate(&self, data_centre: usize, evacuated: bool) {
        let value = evacuated.then_some(&b"{}"[..]);
        self.platform.write_operator_row(&format!("evacuate/centre-{data_centre}"), value);
    }

    /// Applies an event to the current target of a host.
    pub fn apply_target_event(&self, host: usize, event: TargetEvent) {
        let target = Arc::clone(&lock(&self.hosts[host].target));
        match event {
            // A statement is about one incarnation.
            TargetEvent::Restart if self.hosts[host].stating.try_lock().is_err() => {}
            TargetEvent::Restart => {
                target.restart(self.target_counter.fetch_add(1, Ordering::Relaxed) + 1);
            }
            TargetEvent::Cold(duration) => {
                let from = Instant::now();
                target.set_cold_for(duration);
                let name = target.name().to_owned();
                let period = ColdPeriod { target: name, host, from, to: from + duration };
                lock(&self.cold_periods).push(period);
            }
        }
    }

    /// Clears all faults of links, targets and the store.
    pub fn clear_faults(&self) {
        for host in &self.hosts {
            for kind in [LinkKind::Guard, LinkKind::Peer, LinkKind::Store, LinkKind::Target] {
                host.links.by_kind(kind).heal();
            }
            lock(&host.target).set_behaviour(HostedBehaviour::Answer);
        }
        self.platform.set_faults(PlatformFaults::default());
    }

    /// Waits until each daemon serves each service by the newest configuration.
    ///
    /// Returns `false` and records a finding after `RECOVERY_TIMEOUT`.
    pub fn wait_recovered(&self) -> bool {
        let until = Instant::now() + RECOVERY_TIMEOUT;
        let version = self.config_version.load(Ordering::Relaxed);
        self.hosts.iter().enumerate().all(|(index, host)| {
            loop {
                if SERVICES.iter().all(|service| serves_version(host, service, version)) {
                    return true;
                }
                if Instant::now() >= until {
                    let finding =
                        format!("host-{index}: not recovered within {RECOVERY_TIMEOUT:?}");
                    lock(&self.findings).push(finding);
                    return false;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        })
    }

    /// Crashes all targets, so that their threads end.
    pub fn crash_targets(&self) {
        lock(&self.targets).iter().for_each(|soak_target| soak_target.target.crash());
    }
}

fn log_file(logs: &Path, index: usize) -> PathBuf {
    logs.join(format!("host-{index}.log"))
}
