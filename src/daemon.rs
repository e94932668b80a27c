//! One daemon: its threads, their rings, its start and its stop.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use crate::adapter::{DeploymentAdapter, DeploymentTerms};
use crate::admin::{AdminDuty, AdminEvent, AdminRings};
use crate::consts::{MAX_REQUEST_BODY, RING_CAPACITY, TARGET_LEASE};
use crate::control::{self, DaemonReadiness};
use crate::durable::{self, ConfigSource, DurableParts, PlatformEvent, PlatformRings};
use crate::duty::{self, DutyBody};
use crate::entry::{self, EntryEvent, EntryParts};
use crate::findings::FindingList;
use crate::guard::{self, GuardEvent, GuardParts, GuardRings};
use crate::headers::OWN_NAMES;
use crate::ids::{DaemonIncarnation, HostName};
use crate::log::{self, LogTail};
use crate::member::{MemberRecord, MemberState};
use crate::metrics::DaemonMetrics;
use crate::peers::{self, PeersEvent, PeersParts, PeersRings};
use crate::retry::RetryShare;
use crate::ring::{RingInbox, RingSender};
use crate::settings::{DaemonSettings, DeploymentSettings};
use crate::table::PlatformClient;

/// Tries to find a port that is free for TCP and UDP alike.
const PORT_TRIES: u32 = 32;

/// Time for the good-bye to reach some peers.
const GOODBYE: Duration = Duration::from_millis(300);

/// Longest wait to withdraw from the table.
const WITHDRAW: Duration = Duration::from_secs(2);

/// Part of the fleet's further tries that the daemons share out.
///
/// The rest is left for what a window's edges and repeated inner calls add.
const RETRY_PART: f64 = 0.5;

/// Time between two looks at settings that may have changed without a signal.
const SETTINGS_EVERY: Duration = Duration::from_secs(5);

/// Largest body of a call in a deployment, in bytes: what its operator may allow.
const MAX_DEPLOYED_BODY: usize = 64 << 20;

/// Part of the time between a stop signal and a kill in which callers are
/// asked to go elsewhere: longer than the platform takes to notice.
const LINGER_PART: f64 = 0.5;

/// Part of that time after which all calls must have ended.
const STOP_PART: f64 = 0.85;

/// Why a daemon did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address can't be had.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address of the settings.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A thread can't be had.
    #[snafu(display("can't start a thread: {source}"))]
    Thread {
        /// What the system said.
        source: io::Error,
    },
    /// A counter can't be registered.
    #[snafu(display("can't register metrics: {source}"))]
    Metrics {
        /// What the library said.
        source: prometheus::Error,
    },
}

/// Where a running daemon listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonAddresses {
    /// Its host.
    pub host: HostName,
    /// For callers.
    pub caller: SocketAddr,
    /// For other daemons' entries.
    pub guard: SocketAddr,
    /// For gossip.
    pub peer: SocketAddr,
    /// For operators and the host's targets.
    pub admin: SocketAddr,
    /// For the platform's question whether it is ready, if deployed on one.
    pub ready: Option<SocketAddr>,
    /// For the reports of the host's target, if deployed on a platform.
    pub control: Option<SocketAddr>,
}

/// A running daemon.
///
/// Dropping the handle does not stop it; a signal or [`RunningDaemon::stop`]
/// does.
#[derive(Debug)]
pub struct RunningDaemon {
    addresses: DaemonAddresses,
    stop: Option<oneshot::Sender<()>>,
    admin: JoinHandle<()>,
    log_tail: LogTail,
}

impl RunningDaemon {
    /// Returns where the daemon listens.
    #[must_use]
    pub const fn addresses(&self) -> &DaemonAddresses {
        &self.addresses
    }

    /// Asks for a planned stop.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // Fails only when the daemon stopped already.
            _ = stop.send(());
        }
    }

    /// Waits until the daemon has stopped.
    pub fn wait(self) {
        // Fails only when the thread panicked, which was reported then.
        drop(self.admin.join());
        self.log_tail.write();
    }
}

/// What a daemon is opened with beside its settings.
pub struct DaemonParts {
    /// The one client of the platform.
    pub client: PlatformClient,
    /// The platform's adapter; used where the settings name a deployment.
    pub adapter: &'static DeploymentAdapter,
    /// Reads the settings anew, when they may have changed.
    pub reload: Box<dyn Fn() -> Result<DaemonSettings, FindingList> + Send>,
}

impl std::fmt::Debug for DaemonParts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DaemonParts").field("client", &self.client).finish_non_exhaustive()
    }
}

/// A daemon's listeners for its deployment's platform.
struct DeployedListeners {
    ready: TcpListener,
    control: TcpListener,
}

/// Everything of a daemon that is bound to an address.
struct DaemonListeners {
    caller: TcpListener,
    admin: TcpListener,
    guard: (TcpListener, UdpSocket),
    peer: (TcpListener, UdpSocket),
    probe: UdpSocket,
    deployed: Option<DeployedListeners>,
}

/// The inboxes of all duties, and the rings between them.
struct DaemonRings {
    entry: RingInbox<EntryEvent>,
    guard: RingInbox<GuardEvent>,
    peers: RingInbox<PeersEvent>,
    platform: RingInbox<PlatformEvent>,
    admin: RingInbox<AdminEvent>,
    from_guard: GuardRings,
    from_peers: PeersRings,
    from_platform: PlatformRings,
    from_admin: AdminRings,
    /// For the reports of the host's target.
    reports: RingSender<GuardEvent>,
}

/// Binds all addresses and starts all threads of a daemon.
///
/// # Errors
///
/// Fails when an address, a thread or a counter can't be had; nothing keeps
/// running then but threads that end with the process.
pub fn spawn(settings: &DaemonSettings, parts: DaemonParts) -> Result<RunningDaemon, StartError> {
    let metrics = Arc::new(DaemonMetrics::open().context(MetricsSnafu)?);
    let (logger, log_tail) = log::open(settings.host.as_str(), &metrics).context(ThreadSnafu)?;
    let seed = settings.seed.unwrap_or_else(|| DaemonIncarnation::random().0);
    let DaemonParts { client, adapter, reload } = parts;
    let deployment = settings.deployment.as_ref();
    let names = if deployment.is_some() { adapter.headers } else { &OWN_NAMES };
    let terms = deployment.map(|deployment| (adapter.read_terms)(&deployment.terms));

    let listeners = bind_all(settings)?;
    let addresses = bound_addresses(settings, &listeners)?;
    let DaemonListeners { caller, admin, guard, peer, probe, deployed } = listeners;
    let own = own_record(settings, &addresses);
    let incarnation = own.incarnation;
    let rings = open_rings();
    let readiness = DaemonReadiness::default();
    let mut bodies: Vec<(&str, DutyBody)> = Vec::new();

    let parts = EntryParts {
        seed,
        names,
        data_centre: settings.data_centre.clone(),
        crossing_cost: deployment.map_or(0.0, |set| f64::from(set.crossing_cost) / 1_000.0),
        own_service: deployment.map(|deployment| deployment.service.clone()),
        retry_share: retry_share(terms),
        readiness: readiness.clone(),
        probe_budget: settings.probe_budget,
        listener: caller,
        probe_socket: probe,
    };
    let (inbox, counters, log) = (rings.entry, Arc::clone(&metrics), logger.clone());
    bodies.push(("entry", duty::body(move || entry::run(parts, inbox, counters, log))));

    let parts = GuardParts {
        host: settings.host.clone(),
        incarnation,
        names,
        own_service: deployment.map(|deployment| deployment.service.clone()),
        own_target: deployment.and_then(|deployment| deployment.target_address),
        target_lease: terms.map_or(TARGET_LEASE, |terms| terms.target_lease),
        max_body: if terms.is_some() { MAX_DEPLOYED_BODY } else { MAX_REQUEST_BODY },
        address: addresses.guard,
        listener: guard.0,
        socket: guard.1,
    };
    let (inbox, counters, log) = (rings.guard, Arc::clone(&metrics), logger.clone());
    let out = rings.from_guard;
    bodies.push(("guard", duty::body(move || guard::run(parts, inbox, out, counters, log))));

    let parts = PeersParts {
        own: own.clone(),
        seed: seed.wrapping_add(1),
        seeds: settings.seeds.clone(),
        socket: peer.1,
        listener: peer.0,
    };
    let (inbox, counters, log) = (rings.peers, Arc::clone(&metrics), logger.clone());
    let out = rings.from_peers;
    bodies.push(("peers", duty::body(move || peers::run(parts, inbox, out, counters, log))));

    let source = if deployed.is_some() { ConfigSource::Operator } else { ConfigSource::Published };
    let parts = DurableParts { client, own, seed: seed.wrapping_add(2), source };
    let (inbox, counters, log) = (rings.platform, Arc::clone(&metrics), logger.clone());
    let out = rings.from_platform;
    bodies.push(("platform", duty::body(move || durable::run(parts, inbox, out, counters, log))));

    let (stop, stopped) = oneshot::channel();
    let plan = stop_plan(settings, terms);
    let duty = (settings.host.clone(), rings.from_admin, metrics);
    let (inbox, reports) = (rings.admin, rings.reports);
    let body = move || async move {
        let duty = AdminDuty::new(duty.0, duty.1, duty.2);
        let Ok(listener) = tokio::net::TcpListener::from_std(admin) else { return };
        spawn_local(std::rc::Rc::clone(&duty).serve(listener));
        spawn_local(std::rc::Rc::clone(&duty).hear(inbox));
        if let Some(deployed) = deployed
            && let Err(error) = deployed.serve(adapter, readiness, reports)
        {
            warn!(logger, "can't serve the platform"; "error" => %error);
            return;
        }
        info!(logger, "started"; "incarnation" => incarnation.0);
        let reloading = Reloading { reload, adapter, in_force: terms };
        tokio::select! {
            () = wait_for_stop(stopped) => {}
            () = reload_always(reloading, &duty.rings, &logger) => {}
        }
        stop_all(&duty.rings, plan, &logger).await;
    };
    bodies.push(("admin", duty::body(body)));
    let admin = duty::spawn_all(bodies, settings.one_thread).context(ThreadSnafu)?;
    Ok(RunningDaemon { addresses, stop: Some(stop), admin, log_tail })
}

impl DeployedListeners {
    fn serve(
        self,
        adapter: &'static DeploymentAdapter,
        readiness: DaemonReadiness,
        reports: RingSender<GuardEvent>,
    ) -> io::Result<()> {
        let ready = tokio::net::TcpListener::from_std(self.ready)?;
        let control = tokio::net::TcpListener::from_std(self.control)?;
        spawn_local(control::serve_ready(ready, adapter, readiness));
        spawn_local(control::serve_reports(control, adapter, reports));
        Ok(())
    }
}

fn retry_share(terms: Option<DeploymentTerms>) -> RetryShare {
    terms.map_or_else(RetryShare::default, |terms| RetryShare {
        earned: terms.retry_ratio * RETRY_PART,
        saved: terms.retry_slack * RETRY_PART,
        divided: true,
    })
}

fn stop_plan(settings: &DaemonSettings, terms: Option<DeploymentTerms>) -> StopPlan {
    match terms {
        Some(terms) => StopPlan {
            linger: terms.grace.mul_f64(LINGER_PART),
            bound: terms.grace.mul_f64(STOP_PART),
        },
        None => StopPlan {
            linger: Duration::ZERO,
            bound: Duration::from_millis(settings.stop_bound_ms),
        },
    }
}

fn bind_all(settings: &DaemonSettings) -> Result<DaemonListeners, StartError> {
    let deployment = settings.deployment.as_ref();
    Ok(DaemonListeners {
        caller: listen(settings.caller_address)?,
        admin: listen(settings.admin_address)?,
        guard: listen_both(settings.guard_address)?,
        peer: listen_both(settings.peer_address)?,
        probe: bind_udp(SocketAddr::new(settings.guard_address.ip(), 0))?,
        deployed: deployment.map(listen_deployed).transpose()?,
    })
}

fn bound_addresses(
    settings: &DaemonSettings,
    listeners: &DaemonListeners,
) -> Result<DaemonAddresses, StartError> {
    let deployed = listeners.deployed.as_ref();
    let deployment = settings.deployment.as_ref();
    let ready = deployed.zip(deployment).map(|(own, set)| local(&own.ready, set.ready_address));
    let control =
        deployed.zip(deployment).map(|(own, set)| local(&own.control, set.control_address));
    Ok(DaemonAddresses {
        host: settings.host.clone(),
        caller: local(&listeners.caller, settings.caller_address)?,
        guard: local(&listeners.guard.0, settings.guard_address)?,
        peer: local(&listeners.peer.0, settings.peer_address)?,
        admin: local(&listeners.admin, settings.admin_address)?,
        ready: ready.transpose()?,
        control: control.transpose()?,
    })
}

fn own_record(settings: &DaemonSettings, addresses: &DaemonAddresses) -> MemberRecord {
    MemberRecord {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: DaemonIncarnation::random(),
        version: 1,
        state: MemberState::Alive,
        guard: addresses.guard,
        peer: addresses.peer,
        caller: addresses.caller,
        admin: addresses.admin,
        targets: Vec::new(),
        revision: 0,
    }
}

fn open_rings() -> DaemonRings {
    let mut entry = RingInbox::open();
    let mut guard = RingInbox::open();
    let mut peers = RingInbox::open();
    let mut platform = RingInbox::open();
    let mut admin = RingInbox::open();
    DaemonRings {
        from_guard: GuardRings {
            peers: peers.sender(RING_CAPACITY),
            platform: platform.sender(RING_CAPACITY),
        },
        from_peers: PeersRings {
            entry: entry.sender(RING_CAPACITY),
            platform: platform.sender(RING_CAPACITY),
        },
        from_platform: PlatformRings {
            guard: guard.sender(RING_CAPACITY),
            entry: entry.sender(RING_CAPACITY),
            peers: peers.sender(RING_CAPACITY),
            admin: admin.sender(RING_CAPACITY),
        },
        from_admin: AdminRings {
            entry: entry.sender(RING_CAPACITY),
            guard: guard.sender(RING_CAPACITY),
            peers: peers.sender(RING_CAPACITY),
            platform: platform.sender(RING_CAPACITY),
        },
        reports: guard.sender(RING_CAPACITY),
        entry,
        guard,
        peers,
        platform,
        admin,
    }
}

fn listen_deployed(deployment: &DeploymentSettings) -> Result<DeployedListeners, StartError> {
    Ok(DeployedListeners {
        ready: listen(deployment.ready_address)?,
        control: listen(deployment.control_address)?,
    })
}

/// Waits for a signal, or for the handle's word.
async fn wait_for_stop(stopped: oneshot::Receiver<()>) {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        Ok(()) = stopped => {}
    }
}

/// What a reload needs.
struct Reloading {
    reload: Box<dyn Fn() -> Result<DaemonSettings, FindingList> + Send>,
    adapter: &'static DeploymentAdapter,
    in_force: Option<DeploymentTerms>,
}

/// Takes over changed settings, upon a signal and now and then without one.
///
/// Of a running daemon only the deployment's terms change; addresses are
/// bound for its life. Settings that can't be read leave the old in force.
async fn reload_always(mut reloading: Reloading, rings: &AdminRings, logger: &Logger) {
    use tokio::signal::unix::{SignalKind, signal};
    let mut hang_up = match signal(SignalKind::hangup()) {
        Ok(hang_up) => hang_up,
        Err(error) => {
            warn!(logger, "can't reload settings"; "error" => %error);
            return std::future::pending().await;
        }
    };
    loop {
        let signalled = tokio::select! {
            _ = hang_up.recv() => true,
            () = tokio::time::sleep(SETTINGS_EVERY) => false,
        };
        let settings = match (reloading.reload)() {
            Ok(settings) => settings,
            Err(findings) => {
                warn!(logger, "settings refused"; "findings" => %findings);
                continue;
            }
        };
        let deployment = settings.deployment.as_ref();
        let terms = deployment.map(|deployment| (reloading.adapter.read_terms)(&deployment.terms));
        let changed = terms != reloading.in_force;
        if changed || signalled {
            info!(logger, "settings reloaded"; "signalled" => signalled, "changed" => changed);
        }
        if let Some(terms) = terms.filter(|_terms| changed) {
            let entry = rings.entry.push(EntryEvent::Share(retry_share(Some(terms)))).is_ok();
            let guard = rings.guard.push(GuardEvent::Lease(terms.target_lease)).is_ok();
            if entry && guard {
                reloading.in_force = Some(terms);
            }
        }
    }
}

/// How long a planned stop may take.
#[derive(Clone, Copy, Debug)]
struct StopPlan {
    /// Time for callers to go elsewhere, while those that come are served.
    linger: Duration,
    /// Time after which calls under way are given up.
    bound: Duration,
}

/// Stops all duties in order: say good-bye, finish the calls, withdraw.
async fn stop_all(rings: &AdminRings, plan: StopPlan, logger: &Logger) {
    let StopPlan { linger, bound } = plan;
    info!(logger, "planned stop"; "bound_ms" => bound.as_millis() as u64);
    let (said, goodbye) = oneshot::channel();
    let leave = rings.peers.push(PeersEvent::Leave(said)).is_ok();
    // Beside the rest: a platform that is away must not hold up the end.
    let (withdrawn, gone) = oneshot::channel();
    let withdraw = rings.platform.push(PlatformEvent::Leave(withdrawn)).is_ok();
    if rings.entry.push(EntryEvent::Withdraw).is_ok() {
        tokio::time::sleep(linger).await;
    }
    let bound = bound.saturating_sub(linger);
    let (entry_done, entry_stopped) = oneshot::channel();
    let (guard_done, guard_stopped) = oneshot::channel();
    let entry = rings.entry.push(EntryEvent::Stop(entry_done)).is_ok();
    let guard = rings.guard.push(GuardEvent::Stop(guard_done)).is_ok();
    let finished = async { tokio::join!(entry_stopped, guard_stopped) };
    let in_time = tokio::time::timeout(bound, finished).await.is_ok();
    if !in_time {
        warn!(logger, "stop bound passed with calls under way");
    }
    if leave {
        drop(tokio::time::timeout(GOODBYE, goodbye).await);
        tokio::time::sleep(GOODBYE.saturating_sub(linger)).await;
    }
    if withdraw {
        drop(tokio::time::timeout(WITHDRAW.saturating_sub(linger), gone).await);
    }
    info!(logger, "stopped"; "entry" => entry, "guard" => guard, "in_time" => in_time);
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
    listener.set_nonblocking(true).context(ListenSnafu { address })?;
    Ok(listener)
}

fn bind_udp(address: SocketAddr) -> Result<UdpSocket, StartError> {
    let socket = UdpSocket::bind(address).context(ListenSnafu { address })?;
    socket.set_nonblocking(true).context(ListenSnafu { address })?;
    Ok(socket)
}

/// Binds one port for TCP and UDP.
fn listen_both(address: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let mut tries = 0;
    loop {
        let listener = listen(address)?;
        tries += 1;
        match bind_udp(local(&listener, address)?) {
            Ok(socket) => return Ok((listener, socket)),
            // The system chose the port: let it choose another.
            Err(_taken) if address.port() == 0 && tries < PORT_TRIES => {}
            Err(error) => return Err(error),
        }
    }
}

fn local(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    listener.local_addr().context(ListenSnafu { address })
}
