//! The entry duty: accepts calls from callers and sends each to a target's guard.

mod accounts;
mod attempt;
mod body_intake;
mod confirmation;
mod exchange;
mod hedge;
mod intake;
mod load_probe;
mod load_watch;
mod nested;
mod pool;
mod quota;
mod revocation;
mod route_stats;
mod routing;
mod serving;
mod stopping;
mod suspects;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use slog::Logger;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::base::clock::{MicroTime, ProcessClock};
use crate::base::connection_plan::ConnectionPlan;
use crate::base::ids::{CentreName, DaemonIncarnation, HostName, ServiceName, TargetName};
use crate::base::load_report::{LoadReport, StatedRate};
use crate::base::member::FleetView;
use crate::base::metrics::DaemonMetrics;
use crate::call::answer_room::AnswerRoom;
use crate::call::body_room::{BodyRoom, BodySide, DaemonMemory};
use crate::call::entry::nested::NestedRoutes;
use crate::call::entry::pool::GuardPool;
use crate::call::entry::quota::EntryQuotas;
use crate::call::entry::route_stats::RouteStats;
use crate::call::head_room::HeadRoom;
use crate::call::headers::HeaderNames;
use crate::decide::account_demand::AccountDemand;
use crate::decide::benefit;
use crate::decide::crash_suspects::CrashSuspects;
use crate::decide::probe_budget::ProbeBudget;
use crate::decide::quota::QuotaTerms;
use crate::decide::registry::TargetRegistry;
use crate::decide::retry::{RetryBudget, RetryShare};
use crate::decide::revocation::ConfirmationAsker;
use crate::duty::confirmation::SharedConfirmation;
use crate::duty::connections::ConnectionRoom;
use crate::duty::events::{EntryEvent, GuardEvent, PeersEvent};
use crate::duty::own_target::OwnTarget;
use crate::duty::readiness::DaemonReadiness;
use crate::duty::ring::{RingInbox, RingSender};
use crate::rules::config::FleetConfig;
use crate::rules::revision::ActiveRevision;

pub(crate) use routing::ChosenTarget;

/// State that the tasks of the entry duty share.
pub(crate) struct EntryDuty {
    pub(crate) clock: ProcessClock,
    pub(crate) registry: RefCell<TargetRegistry>,
    /// Newest fleet view, which the registry was built from.
    view: RefCell<Arc<FleetView>>,
    /// Data centres whose targets receive no calls.
    evacuated: RefCell<BTreeSet<CentreName>>,
    pub(crate) pool: GuardPool,
    pub(crate) metrics: Arc<DaemonMetrics>,
    pub(crate) probe_budget: RefCell<ProbeBudget>,
    pub(crate) probe_socket: UdpSocket,
    pub(crate) rng: RefCell<Pcg64Mcg>,
    pub(crate) hedge_budget: RefCell<RetryBudget>,
    /// Budgets of the further attempts that this daemon may make for the calls of each service.
    retry_budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    retry_share: Cell<RetryShare>,
    /// Maximum number of daemons that were up in any fleet view so far.
    max_fleet_size: Cell<usize>,
    /// Quotas of client accounts: granted requests and pending requests for grants.
    quotas: EntryQuotas,
    /// What client accounts requested here lately.
    account_demand: RefCell<AccountDemand>,
    /// Requests that are suspected of crashing targets.
    pub(crate) suspects: RefCell<CrashSuspects>,
    pub(crate) header_names: &'static HeaderNames,
    data_centre: CentreName,
    /// Cost of sending 1000 bytes between data centres, as a fraction of one call's
    /// benefit.
    crossing_cost: f64,
    /// Work times and sizes of calls, by route.
    pub(crate) route_stats: RefCell<RouteStats>,
    /// Memory for the bodies of requests.
    pub(crate) body_room: Rc<BodyRoom>,
    /// Memory for long answers.
    pub(crate) answer_room: Rc<AnswerRoom>,
    /// Memory for the heads of long requests.
    head_room: Rc<HeadRoom>,
    /// Share of the callers' connections in memory and descriptors.
    connection_room: Rc<ConnectionRoom>,
    /// Number of targets whose load reports are streamed to this entry.
    pub(crate) watch_count: Cell<usize>,
    /// Service of the target on this host, in a deployment.
    pub(crate) own_service: Option<ServiceName>,
    /// Whether nested calls go before others of the same priority.
    pub(crate) nested_first: bool,
    /// What the target on this host runs now.
    pub(crate) own_target: OwnTarget,
    /// What this daemon knows of the store's newest revision.
    confirmation: SharedConfirmation,
    /// Requests to other daemons for what they know of it.
    asker: RefCell<ConfirmationAsker>,
    /// Routes that only targets call, as far as known.
    nested_routes: RefCell<NestedRoutes>,
    peers: RingSender<PeersEvent>,
    guard: RingSender<GuardEvent>,
    readiness: DaemonReadiness,
    /// Time by which all calls must have ended, once the daemon stops; callers are then asked to
    /// use another one.
    calls_end: watch::Sender<Option<Instant>>,
    active: RefCell<Option<ActiveRevision>>,
    /// Oldest revision that calls may be served with; `None` until the daemon has joined.
    least_revision: RefCell<Option<u64>>,
    /// Number of open connections from callers.
    caller_connections: watch::Sender<usize>,
    stopping: watch::Sender<bool>,
    pub(crate) logger: Logger,
}

/// Inputs of [`run`].
#[derive(Debug)]
pub(crate) struct EntryParts {
    pub(crate) rng_seed: u64,
    pub(crate) incarnation: DaemonIncarnation,
    pub(crate) header_names: &'static HeaderNames,
    pub(crate) data_centre: CentreName,
    pub(crate) crossing_cost: f64,
    pub(crate) own_service: Option<ServiceName>,
    pub(crate) nested_first: bool,
    pub(crate) own_target: OwnTarget,
    pub(crate) confirmation: SharedConfirmation,
    pub(crate) retry_share: RetryShare,
    pub(crate) quota_terms: QuotaTerms,
    pub(crate) readiness: DaemonReadiness,
    pub(crate) memory: DaemonMemory,
    pub(crate) connection_plan: ConnectionPlan,
    pub(crate) peers: RingSender<PeersEvent>,
    pub(crate) guard: RingSender<GuardEvent>,
    pub(crate) probe_budget: ProbeBudget,
    pub(crate) listener: std::net::TcpListener,
    pub(crate) probe_socket: std::net::UdpSocket,
}

/// Runs the duty until its runtime ends.
pub(crate) async fn run(
    parts: EntryParts,
    mut inbox: RingInbox<EntryEvent>,
    metrics: Arc<DaemonMetrics>,
    logger: Logger,
) {
    let listener = TcpListener::from_std(parts.listener);
    let probe_socket = UdpSocket::from_std(parts.probe_socket);
    let (Ok(listener), Ok(probe_socket)) = (listener, probe_socket) else { return };
    let clock = ProcessClock::open();
    let duty = Rc::new(EntryDuty {
        clock,
        registry: RefCell::default(),
        view: RefCell::default(),
        evacuated: RefCell::default(),
        pool: GuardPool::open(metrics.cross_centre_bytes.with_label_values(&["guards"])),
        body_room: BodyRoom::open(clock, &parts.memory, BodySide::Entry, &metrics),
        answer_room: AnswerRoom::open(parts.memory.plan),
        head_room: HeadRoom::open(parts.memory.plan),
        connection_room: serving::open_room(parts.connection_plan, &metrics, &logger),
        metrics,
        probe_budget: RefCell::new(parts.probe_budget),
        probe_socket,
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(parts.rng_seed)),
        hedge_budget: RefCell::new(RetryBudget::open_hedges()),
        retry_budgets: RefCell::default(),
        retry_share: Cell::new(parts.retry_share),
        max_fleet_size: Cell::new(1),
        quotas: EntryQuotas::open(parts.quota_terms, parts.incarnation),
        account_demand: RefCell::default(),
        suspects: RefCell::default(),
        header_names: parts.header_names,
        data_centre: parts.data_centre,
        crossing_cost: parts.crossing_cost,
        route_stats: RefCell::default(),
        watch_count: Cell::new(0),
        own_service: parts.own_service,
        nested_first: parts.nested_first,
        own_target: parts.own_target,
        confirmation: parts.confirmation,
        asker: RefCell::new(ConfirmationAsker::open(rand::random())),
        nested_routes: RefCell::default(),
        readiness: parts.readiness,
        peers: parts.peers,
        guard: parts.guard,
        calls_end: watch::Sender::new(None),
        active: RefCell::default(),
        least_revision: RefCell::default(),
        caller_connections: watch::Sender::new(0),
        stopping: watch::Sender::new(false),
        logger,
    });
    spawn_local(Rc::clone(&duty).accept(listener));
    spawn_local(Rc::clone(&duty).keep_confirmed());
    spawn_local(crate::call::entry::load_probe::receive_replies(Rc::clone(&duty)));
    loop {
        duty.handle(inbox.next().await);
    }
}

impl EntryDuty {
    fn handle(self: &Rc<Self>, event: EntryEvent) {
        match event {
            EntryEvent::Fleet(view) => {
                self.apply_view(&view);
                *self.view.borrow_mut() = view;
            }
            EntryEvent::Evacuated(centres) => {
                *self.evacuated.borrow_mut() = centres;
                let view = Arc::clone(&self.view.borrow());
                self.apply_view(&view);
            }
            EntryEvent::Config(active) => {
                self.quotas.retain(&active.config.accounts);
                self.nested_routes.borrow_mut().retain(&active.config.routes);
                let revision = active.head.revision;
                *self.active.borrow_mut() = Some(active);
                self.confirmation.set_in_force(revision);
                self.update_readiness();
            }
            EntryEvent::Joined { least_revision } => {
                *self.least_revision.borrow_mut() = Some(least_revision);
                self.update_readiness();
            }
            EntryEvent::Settings { retries, quota } => {
                self.retry_share.set(retries);
                self.quotas.set_terms(quota);
                self.retry_budgets.borrow_mut().clear();
            }
            EntryEvent::Suspects(updates) => self.merge_suspects(&updates),
            EntryEvent::Withdraw { calls_end } => self.withdraw(calls_end),
            EntryEvent::Accounts(reply) => drop(reply.send(self.describe_accounts())),
            EntryEvent::Dump(reply) => drop(reply.send(self.dump())),
            EntryEvent::Stop(done) => {
                spawn_local(Rc::clone(self).stop(done));
            }
        }
    }

    fn apply_view(&self, view: &FleetView) {
        let evacuated = self.evacuated.borrow();
        let mut registry = self.registry.borrow_mut();
        registry.update(self.clock.now(), view, &self.data_centre, &evacuated);
        drop((registry, evacuated));
        let guards = self.pool.update(view, &self.data_centre);
        self.max_fleet_size.set(self.max_fleet_size.get().max(guards));
    }

    fn update_readiness(&self) {
        self.readiness.set(self.config().is_some() && !self.is_withdrawn());
    }

    /// Calls `act` with the retry budget of a service, which is created if necessary.
    pub(crate) fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.retry_budgets.borrow_mut();
        let open = || self.retry_share.get().budget_for(self.max_fleet_size.get());
        act(budgets.entry(service.clone()).or_insert_with(open))
    }

    /// Reports a host that a call did not reach, so that the peers duty checks it.
    pub(crate) fn report_unreachable(&self, host: &HostName) {
        if self.peers.push(PeersEvent::HostUnreachable(host.clone())).is_err() {
            self.metrics.ring_drops.with_label_values(&["peers"]).inc();
        }
    }

    /// Returns the configuration, or `None` while there is none that calls may be served
    /// with.
    pub(crate) fn config(&self) -> Option<Arc<FleetConfig>> {
        let active = self.active.borrow();
        let active = active.as_ref()?;
        let least = (*self.least_revision.borrow())?;
        (active.head.revision >= least).then(|| Arc::clone(&active.config))
    }

    /// Returns the factor by which a target's host is slower than normal now.
    pub(crate) fn slowness_of(&self, service: &ServiceName, target: &TargetName) -> f64 {
        let mut registry = self.registry.borrow_mut();
        let record = registry.find(service, target);
        record.map_or(1.0, |record| benefit::slowness_now(record, self.clock.now()))
    }

    /// Returns the current time by the clock of a target's guard, or `None` if the
    /// clock's offset is not known yet.
    pub(crate) fn guard_time(
        &self,
        service: &ServiceName,
        target: &TargetName,
    ) -> Option<MicroTime> {
        let mut registry = self.registry.borrow_mut();
        let offset = registry.find(service, target)?.clock_offset?;
        Some(offset.remote_time(self.clock.now()))
    }

    /// Records whether a target is watched; returns whether that changed. An unknown target is
    /// never watched.
    pub(crate) fn mark_watched(
        &self,
        service: &ServiceName,
        target: &TargetName,
        watched: bool,
    ) -> bool {
        let mut registry = self.registry.borrow_mut();
        let record = registry.find(service, target);
        record.is_some_and(|record| std::mem::replace(&mut record.watched, watched) != watched)
    }

    /// Returns the rate that a target stated to an earlier guard than the present one.
    pub(crate) fn rate_stated_earlier(
        &self,
        service: &ServiceName,
        target: &TargetName,
        guard: DaemonIncarnation,
    ) -> Option<StatedRate> {
        self.registry.borrow().statements.earlier(service, target, guard)?.rate
    }

    /// Records a target's load, unless a newer report is known.
    pub(crate) fn update_load(&self, service: &ServiceName, target: &TargetName, load: LoadReport) {
        let now = self.clock.now();
        let mut registry = self.registry.borrow_mut();
        registry.record_report(now, service, target, load);
    }

    fn dump(&self) -> Value {
        json!({
            "ready": self.config().is_some(),
            "revision": self.active.borrow().as_ref().map(|active| active.head.revision),
            "least_revision": *self.least_revision.borrow(),
            "evacuated": *self.evacuated.borrow(),
            "blamed": self.suspects.borrow().blamed(),
            "revocation": self.dump_confirmation(),
            "services": self.registry.borrow().services,
            "statements": self.registry.borrow().statements,
            "retry_budgets": *self.retry_budgets.borrow(),
            "hedge_budget": *self.hedge_budget.borrow(),
            "probe_budget": *self.probe_budget.borrow(),
            "quotas": self.quotas.dump(),
            "body_memory": self.body_room.memory_use(),
            "answer_memory": self.answer_room.memory_use(),
            "caller_connections": *self.caller_connections.borrow(),
            "head_memory": self.head_room.memory_use(),
            "connection_memory": self.connection_room.memory_use(),
            "guard_connections": self.pool.len(),
            "now": self.clock.now(),
        })
    }
}
