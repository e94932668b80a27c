//! One daemon: its threads, their rings, its start and its stop.

use std::sync::Arc;
use std::thread::JoinHandle;

use slog::{info, warn};
use snafu::ResultExt;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use crate::base::consts::{MAX_REQUEST_BODY, RING_CAPACITY, TARGET_LEASE};
use crate::base::findings::FindingList;
use crate::base::ids::DaemonIncarnation;
use crate::base::log::{self, LogFlusher};
use crate::base::member::{MemberRecord, MemberState};
use crate::base::metrics::DaemonMetrics;
use crate::call::entry::{self, EntryParts};
use crate::call::guard::{self, GuardParts, GuardRings};
use crate::call::headers::OWN_NAMES;
use crate::decide::probe::ProbeBudget;
use crate::durable::{self, ConfigSource, DurableParts, PlatformRings};
use crate::duty::events::{AdminEvent, EntryEvent, GuardEvent, PeersEvent, PlatformEvent};
use crate::duty::readiness::DaemonReadiness;
use crate::duty::ring::{RingInbox, RingSender};
use crate::duty::threads::{self, DutyBody};
use crate::fleet::peers::{self, PeersParts, PeersRings};
use crate::process::adapter::DeploymentAdapter;
use crate::process::admin::{AdminDuty, AdminRings};
use crate::process::listen::{
    self, DaemonAddresses, DaemonListeners, MetricsSnafu, StartError, ThreadSnafu,
};
use crate::process::reload::{self, Reloading};
use crate::process::settings::DaemonSettings;
use crate::process::signals::DaemonSignals;
use crate::process::stop;
use crate::store::table::PlatformClient;

/// Largest body of a call in a deployment, in bytes: what its operator may allow.
const MAX_DEPLOYED_BODY: usize = 64 << 20;

/// A running daemon.
///
/// Dropping the handle does not stop it; a signal or [`RunningDaemon::stop`]
/// does.
#[derive(Debug)]
pub struct RunningDaemon {
    addresses: DaemonAddresses,
    stop: Option<oneshot::Sender<()>>,
    admin: JoinHandle<()>,
    log_flusher: LogFlusher,
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
        self.log_flusher.flush();
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

/// The inboxes of all duties, and the rings between them.
struct DaemonRings {
    entry: RingInbox<EntryEvent>,
    guard: RingInbox<GuardEvent>,
    peers: RingInbox<PeersEvent>,
    platform: RingInbox<PlatformEvent>,
    admin: RingInbox<AdminEvent>,
    from_guard: GuardRings,
    from_entry: RingSender<PeersEvent>,
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
    let (logger, log_flusher) = log::open(settings.host.as_str(), &metrics).context(ThreadSnafu)?;
    let seed = settings.seed.unwrap_or_else(|| DaemonIncarnation::random().0);
    let DaemonParts { client, adapter, reload } = parts;
    let deployment = settings.deployment.as_ref();
    let names = if deployment.is_some() { adapter.headers } else { &OWN_NAMES };
    let terms = deployment.map(|set| reload::read_terms(adapter, &set.terms, &logger));

    let listeners = listen::bind_all(settings)?;
    let addresses = listen::bound_addresses(settings, &listeners)?;
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
        retry_share: reload::retry_share(terms),
        quota_terms: terms.map(|terms| terms.quota).unwrap_or_default(),
        readiness: readiness.clone(),
        peers: rings.from_entry,
        probe_budget: ProbeBudget::open(
            settings.probe_budget.messages_per_s,
            settings.probe_budget.bytes_per_s,
        ),
        listener: caller,
        probe_socket: probe,
    };
    let (inbox, counters, log) = (rings.entry, Arc::clone(&metrics), logger.clone());
    bodies.push(("entry", threads::body(move || entry::run(parts, inbox, counters, log))));

    let parts = GuardParts {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
        names,
        own_service: deployment.map(|deployment| deployment.service.clone()),
        own_target: deployment.and_then(|deployment| deployment.target_address),
        target_lease: terms.map_or(TARGET_LEASE, |terms| terms.target_lease),
        cold_terms: terms.map(|terms| terms.cold).unwrap_or_default(),
        quota_terms: terms.map(|terms| terms.quota).unwrap_or_default(),
        max_body: if terms.is_some() { MAX_DEPLOYED_BODY } else { MAX_REQUEST_BODY },
        address: addresses.guard,
        listener: guard.0,
        socket: guard.1,
    };
    let (inbox, counters, log) = (rings.guard, Arc::clone(&metrics), logger.clone());
    let out = rings.from_guard;
    bodies.push(("guard", threads::body(move || guard::run(parts, inbox, out, counters, log))));

    let parts = PeersParts {
        own: own.clone(),
        seed: seed.wrapping_add(1),
        seeds: settings.seeds.clone(),
        socket: peer.1,
        listener: peer.0,
    };
    let (inbox, counters, log) = (rings.peers, Arc::clone(&metrics), logger.clone());
    let out = rings.from_peers;
    bodies.push(("peers", threads::body(move || peers::run(parts, inbox, out, counters, log))));

    let source = if deployed.is_some() { ConfigSource::Operator } else { ConfigSource::Published };
    let first_start = settings.first_start;
    let parts = DurableParts { client, own, seed: seed.wrapping_add(2), source, first_start };
    let (inbox, counters, log) = (rings.platform, Arc::clone(&metrics), logger.clone());
    let out = rings.from_platform;
    bodies
        .push(("platform", threads::body(move || durable::run(parts, inbox, out, counters, log))));

    let (stop, stopped) = oneshot::channel();
    let plan = stop::stop_plan(settings, terms);
    let duty = (settings.host.clone(), rings.from_admin, metrics);
    let (inbox, reports) = (rings.admin, rings.reports);
    let (handled, handles_signals) = std::sync::mpsc::channel();
    let body = move || async move {
        let Some(mut signals) = DaemonSignals::catch(&logger) else { return };
        _ = handled.send(());
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
        info!(logger, "started"; "incarnation" => incarnation.0, "terms" => ?terms);
        let reloading = Reloading { reload, adapter, in_force: terms };
        let DaemonSignals { terminate, interrupt, hang_up } = &mut signals;
        tokio::select! {
            () = stop::wait_for_stop(terminate, interrupt, stopped) => {}
            () = reload::reload_always(reloading, hang_up, &duty.rings, &logger) => {}
        }
        stop::stop_all(&duty.rings, plan, &logger).await;
    };
    bodies.push(("admin", threads::body(body)));
    let admin = threads::spawn_all(bodies, settings.one_thread).context(ThreadSnafu)?;
    // Whoever is told where the daemon listens may signal to it. Fails only if the duty
    // ended, which the handle shows.
    _ = handles_signals.recv();
    Ok(RunningDaemon { addresses, stop: Some(stop), admin, log_flusher })
}

fn own_record(settings: &DaemonSettings, addresses: &DaemonAddresses) -> MemberRecord {
    MemberRecord {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: DaemonIncarnation::random(),
        version: 1,
        state: MemberState::Alive,
        guard: settings.advertised_guard_address.unwrap_or(addresses.guard),
        peer: settings.advertised_peer_address.unwrap_or(addresses.peer),
        caller: addresses.caller,
        admin: addresses.admin,
        targets: Vec::new(),
        revision: 0,
        store_lost: false,
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
        from_entry: peers.sender(RING_CAPACITY),
        from_peers: PeersRings {
            entry: entry.sender(RING_CAPACITY),
            guard: guard.sender(RING_CAPACITY),
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
