//! Start and handle of a daemon: its duties, their threads, and the ring buffers between them.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

use slog::{Logger, info, warn};
use snafu::ResultExt;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use crate::base::connection_plan::{ConnectionPlan, ListenerKind};
use crate::base::consts::RING_CAPACITY;
use crate::base::findings::FindingList;
use crate::base::ids::DaemonIncarnation;
use crate::base::log::{self, LogFlusher};
use crate::base::metrics::DaemonMetrics;
use crate::call::entry::{self};
use crate::call::guard::{self, GuardRings};
use crate::call::headers::DEFAULT_HEADER_NAMES;
use crate::durable::{self, ConfigSource, PlatformParts, PlatformRings};
use crate::duty::events::{AdminEvent, EntryEvent, GuardEvent, PeersEvent, PlatformEvent};
use crate::duty::readiness::DaemonReadiness;
use crate::duty::ring::{RingInbox, RingSender};
use crate::duty::threads::{self, DutyFactory, duty_factory};
use crate::fleet::peers::{self, PeersParts, PeersRings};
use crate::process::adapter::DeploymentAdapter;
use crate::process::admin::{AdminDuty, AdminRings};
use crate::process::duty_parts::{SharedState, entry_parts, guard_parts, initial_record};
use crate::process::httpd;
use crate::process::listen::{
    self, DaemonAddresses, DaemonListeners, MetricsSnafu, PlatformListeners, StartError,
    ThreadSnafu,
};
use crate::process::reload::{self, SettingsReloader};
use crate::process::settings::DaemonSettings;
use crate::process::signals::DaemonSignals;
use crate::process::stop;
use crate::store::table::PlatformClient;

/// Handle of a running daemon.
///
/// Dropping the handle does not stop the daemon; a signal or [`RunningDaemon::stop`] does.
#[derive(Debug)]
pub struct RunningDaemon {
    addresses: DaemonAddresses,
    stop: Option<oneshot::Sender<()>>,
    admin_thread: JoinHandle<()>,
    log_flusher: LogFlusher,
}

impl RunningDaemon {
    /// Returns the addresses at which the daemon listens.
    #[must_use]
    pub const fn addresses(&self) -> &DaemonAddresses {
        &self.addresses
    }

    /// Starts a planned stop.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // Fails only if the daemon has stopped already.
            _ = stop.send(());
        }
    }

    /// Waits until the daemon has stopped.
    pub fn wait(self) {
        // Fails only if the thread panicked, which the panic hook has reported.
        drop(self.admin_thread.join());
        self.log_flusher.flush();
    }
}

/// Inputs of [`spawn`] besides the settings.
pub struct DaemonParts {
    /// Client of the platform's store.
    pub client: PlatformClient,
    /// Adapter of the platform; used if the settings describe a deployment.
    pub adapter: &'static DeploymentAdapter,
    /// Reads the settings again; called when they may have changed.
    pub reload: Box<dyn Fn() -> Result<DaemonSettings, FindingList> + Send>,
}

impl std::fmt::Debug for DaemonParts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DaemonParts").field("client", &self.client).finish_non_exhaustive()
    }
}

/// Inboxes of all duties, and the senders that each duty has to the others.
struct DaemonRings {
    entry: RingInbox<EntryEvent>,
    guard: RingInbox<GuardEvent>,
    peers: RingInbox<PeersEvent>,
    platform: RingInbox<PlatformEvent>,
    admin: RingInbox<AdminEvent>,
    from_guard: GuardRings,
    from_entry: RingSender<PeersEvent>,
    /// Sender from the entry to the guard of the same daemon.
    nested_ends: RingSender<GuardEvent>,
    from_peers: PeersRings,
    from_platform: PlatformRings,
    from_admin: AdminRings,
    /// Sender for the reports of the host's target.
    reports: RingSender<GuardEvent>,
}

/// Binds all addresses and starts all threads of a daemon.
///
/// # Errors
///
/// Returns an error if an address can't be bound, a thread can't be started or a metric
/// can't be registered. Threads started before the error end with the process.
pub fn spawn(settings: &DaemonSettings, parts: DaemonParts) -> Result<RunningDaemon, StartError> {
    let metrics = Arc::new(DaemonMetrics::open().context(MetricsSnafu)?);
    let (logger, log_flusher) = log::open(settings.host.as_str(), &metrics).context(ThreadSnafu)?;
    let seed = settings.seed.unwrap_or_else(|| DaemonIncarnation::random().0);
    let DaemonParts { client, adapter, reload } = parts;
    let deployment = settings.deployment.as_ref();
    let header_names = if deployment.is_some() { adapter.headers } else { &DEFAULT_HEADER_NAMES };
    let terms = deployment.map(|settings| reload::parse_terms(adapter, &settings.terms, &logger));

    let listeners = listen::bind_all(settings)?;
    let addresses = listen::bound_addresses(settings, &listeners)?;
    let DaemonListeners { caller, admin, guard, peer, probe, platform } = listeners;
    let own = initial_record(settings, &addresses);
    let incarnation = own.incarnation;
    let rings = open_rings();
    let shared = SharedState::open(settings, terms, header_names, incarnation, seed);
    let connection_plan = shared.connection_plan;
    let mut duties: Vec<(&str, DutyFactory)> = Vec::new();

    let senders = (rings.from_entry, rings.nested_ends);
    let parts = entry_parts(settings, terms, &shared, (caller, probe), senders);
    let (inbox, counters, log) = (rings.entry, Arc::clone(&metrics), logger.clone());
    duties.push(("entry", duty_factory(move || entry::run(parts, inbox, counters, log))));

    let parts = guard_parts(settings, terms, &shared, addresses.guard, guard);
    let (inbox, counters, log) = (rings.guard, Arc::clone(&metrics), logger.clone());
    let out = rings.from_guard;
    duties.push(("guard", duty_factory(move || guard::run(parts, inbox, out, counters, log))));

    let parts = PeersParts {
        own: own.clone(),
        rng_seed: seed.wrapping_add(1),
        seed_addresses: settings.seeds.clone(),
        connection_plan,
        socket: peer.1,
        listener: peer.0,
    };
    let (inbox, counters, log) = (rings.peers, Arc::clone(&metrics), logger.clone());
    let out = rings.from_peers;
    duties.push(("peers", duty_factory(move || peers::run(parts, inbox, out, counters, log))));

    let source = if platform.is_some() { ConfigSource::Operator } else { ConfigSource::Published };
    let first_start = settings.first_start;
    let (rng_seed, confirmation) = (seed.wrapping_add(2), shared.confirmation.clone());
    let parts = PlatformParts { client, own, rng_seed, source, first_start, confirmation };
    let (inbox, counters, log) = (rings.platform, Arc::clone(&metrics), logger.clone());
    let out = rings.from_platform;
    duties.push(("platform", duty_factory(move || durable::run(parts, inbox, out, counters, log))));

    let (stop, stop_requested) = oneshot::channel();
    let plan = stop::stop_plan(settings, terms);
    let interfaces = InterfaceParts {
        connection_plan,
        metrics: Arc::clone(&metrics),
        adapter,
        readiness: shared.readiness.clone(),
        reports: rings.reports,
    };
    let admin_inputs = (settings.host.clone(), rings.from_admin, metrics);
    let inbox = rings.admin;
    let (handlers_registered, wait_for_handlers) = std::sync::mpsc::channel();
    let body = move || async move {
        let Some(mut signals) = DaemonSignals::register(&logger) else { return };
        _ = handlers_registered.send(());
        let duty = AdminDuty::new(admin_inputs.0, admin_inputs.1, admin_inputs.2);
        spawn_local(Rc::clone(&duty).handle_events(inbox));
        if let Err(error) = serve_interfaces(&duty, admin, platform, interfaces, &logger) {
            warn!(logger, "can't serve operators and the platform"; "error" => %error);
            return;
        }
        info!(logger, "started"; "incarnation" => incarnation.0, "terms" => ?terms);
        let confirmation = shared.confirmation;
        let reloader = SettingsReloader { reload, adapter, confirmation, current_terms: terms };
        let DaemonSignals { terminate, interrupt, hangup } = &mut signals;
        tokio::select! {
            () = stop::wait_for_stop(terminate, interrupt, stop_requested) => {}
            () = reload::run_reloads(reloader, hangup, &duty.rings, &logger) => {}
        }
        stop::stop_duties(&duty.rings, plan, &logger).await;
    };
    duties.push(("admin", duty_factory(body)));
    let admin_thread = threads::spawn_duties(duties, settings.one_thread).context(ThreadSnafu)?;
    // A caller that knows the daemon's addresses may send it a signal, so the signal
    // handlers must be registered before this returns. Receiving fails only if the admin
    // duty ended; then `RunningDaemon::wait` returns at once.
    _ = wait_for_handlers.recv();
    Ok(RunningDaemon { addresses, stop: Some(stop), admin_thread, log_flusher })
}

/// Inputs of [`serve_interfaces`].
struct InterfaceParts {
    connection_plan: ConnectionPlan,
    metrics: Arc<DaemonMetrics>,
    adapter: &'static DeploymentAdapter,
    readiness: DaemonReadiness,
    reports: RingSender<GuardEvent>,
}

/// Serves operators, and the platform and the host's target if there are listeners for them, until
/// the runtime ends.
fn serve_interfaces(
    duty: &Rc<AdminDuty>,
    admin: TcpListener,
    platform: Option<PlatformListeners>,
    parts: InterfaceParts,
    logger: &Logger,
) -> io::Result<()> {
    let InterfaceParts { connection_plan, metrics, adapter, readiness, reports } = parts;
    let open_room = |kind| httpd::open_room(kind, connection_plan, &metrics, logger);
    let listener = tokio::net::TcpListener::from_std(admin)?;
    spawn_local(Rc::clone(duty).serve(listener, open_room(ListenerKind::Admin)));
    if let Some(listeners) = platform {
        let rooms = [ListenerKind::Readiness, ListenerKind::Control].map(open_room);
        listeners.serve(rooms, adapter, readiness, reports)?;
    }
    Ok(())
}

fn open_rings() -> DaemonRings {
    let mut entry = RingInbox::open();
    let mut guard = RingInbox::open();
    let mut peers = RingInbox::open();
    let mut platform = RingInbox::open();
    let mut admin = RingInbox::open();
    DaemonRings {
        from_guard: GuardRings {
            peers: peers.add_sender(RING_CAPACITY),
            platform: platform.add_sender(RING_CAPACITY),
        },
        from_entry: peers.add_sender(RING_CAPACITY),
        from_peers: PeersRings {
            entry: entry.add_sender(RING_CAPACITY),
            guard: guard.add_sender(RING_CAPACITY),
            platform: platform.add_sender(RING_CAPACITY),
        },
        from_platform: PlatformRings {
            guard: guard.add_sender(RING_CAPACITY),
            entry: entry.add_sender(RING_CAPACITY),
            peers: peers.add_sender(RING_CAPACITY),
            admin: admin.add_sender(RING_CAPACITY),
        },
        from_admin: AdminRings {
            entry: entry.add_sender(RING_CAPACITY),
            guard: guard.add_sender(RING_CAPACITY),
            peers: peers.add_sender(RING_CAPACITY),
            platform: platform.add_sender(RING_CAPACITY),
        },
        reports: guard.add_sender(RING_CAPACITY),
        nested_ends: guard.add_sender(RING_CAPACITY),
        entry,
        guard,
        peers,
        platform,
        admin,
    }
}
