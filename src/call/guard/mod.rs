//! The guard duty: admits calls to the targets of its host and is their only client.

mod answer_stream;
mod body_transfer;
mod call_admission;
mod call_records;
mod cold_targets;
mod crash_detection;
mod datagrams;
mod downstream;
mod dump;
mod health;
mod invalid_answers;
mod load_reports;
mod local_target;
mod nested;
mod queues;
mod quota;
mod served_call;
mod serving;
mod statements;
mod stopping;
mod target_call;
mod target_connections;
mod target_lifecycle;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::base::clock::ProcessClock;
use crate::base::connection_plan::{ConnectionPlan, ListenerKind};
use crate::base::ids::{CallId, CentreName, DaemonIncarnation, HostName, ServiceName, TargetName};
use crate::base::load_report::LoadReport;
use crate::base::metrics::DaemonMetrics;
use crate::base::wire::{AnswerHead, RefusalReason};
use crate::call::answer_room::AnswerRoom;
use crate::call::body_room::{BodyRoom, BodySide, DaemonMemory};
use crate::call::guard::body_transfer::MAX_BODY_TRANSFERS;
use crate::call::guard::load_reports::GuardWatchers;
use crate::call::guard::local_target::LocalTarget;
use crate::call::guard::nested::GuardNested;
use crate::call::guard::quota::GuardQuotas;
use crate::call::guard::served_call::ServedCall;
use crate::call::guard::target_connections::TargetConnections;
use crate::call::head_room::HeadRoom;
use crate::call::headers::HeaderNames;
use crate::decide::admission::AdmissionEvent;
use crate::decide::call_ledger::CallLedger;
use crate::decide::cold_start::ColdTerms;
use crate::decide::crash_suspects::CrashSuspects;
use crate::decide::downstream::DownstreamThrottle;
use crate::decide::quota::QuotaTerms;
use crate::decide::target_incarnation::TargetIncarnation;
use crate::duty::confirmation::SharedConfirmation;
use crate::duty::connections::ConnectionRoom;
use crate::duty::events::{GuardEvent, PeersEvent, PlatformEvent};
use crate::duty::own_target::OwnTarget;
use crate::duty::ring::{RingInbox, RingSender};
use crate::rules::config::FleetConfig;
use crate::store::table::TableWrite;

/// Retry delay for calls that the guard refuses without an estimate of the wait, such as those
/// to a target that is leaving or gone, in milliseconds.
pub(crate) const UNAVAILABLE_RETRY_MS: u32 = 200;

/// Senders to the duties that the guard sends events to.
#[derive(Debug)]
pub(crate) struct GuardRings {
    pub(crate) peers: RingSender<PeersEvent>,
    pub(crate) platform: RingSender<PlatformEvent>,
}

/// Inputs of [`run`].
#[derive(Debug)]
pub(crate) struct GuardParts {
    pub(crate) host: HostName,
    pub(crate) data_centre: CentreName,
    pub(crate) incarnation: DaemonIncarnation,
    pub(crate) header_names: &'static HeaderNames,
    /// Service of the host's target, if the settings name one.
    pub(crate) own_service: Option<ServiceName>,
    /// Whether nested calls go before others of the same priority.
    pub(crate) nested_first: bool,
    /// Whether calls are refused while most runs of their route fail downstream.
    pub(crate) refuse_failing_runs: bool,
    /// Shared with the entry of this daemon.
    pub(crate) own_target: OwnTarget,
    /// Shared with the other duties of this daemon.
    pub(crate) confirmation: SharedConfirmation,
    /// Address of the host's target, if the settings name one.
    pub(crate) target_address: Option<SocketAddr>,
    /// Time for which a target's heartbeat stays valid.
    pub(crate) target_lease: Duration,
    /// Tolerance above the configured call rate of cold targets.
    pub(crate) cold_terms: ColdTerms,
    /// Tolerances with which quotas are enforced.
    pub(crate) quota_terms: QuotaTerms,
    /// Maximum length of a call's body, in bytes.
    pub(crate) max_body: usize,
    pub(crate) memory: DaemonMemory,
    pub(crate) connection_plan: ConnectionPlan,
    pub(crate) address: SocketAddr,
    pub(crate) listener: std::net::TcpListener,
    pub(crate) socket: std::net::UdpSocket,
}

/// Outcome of a call's wait for a slot: `Ok` if the call may start, otherwise the reason for its
/// refusal and the retry delay in milliseconds.
pub(crate) type AdmissionDecision = Result<(), (RefusalReason, u32)>;

/// State that the tasks of the guard duty share.
pub(crate) struct GuardDuty {
    pub(crate) clock: ProcessClock,
    pub(crate) host: HostName,
    pub(crate) data_centre: CentreName,
    pub(crate) incarnation: DaemonIncarnation,
    pub(crate) address: SocketAddr,
    pub(crate) targets: RefCell<HashMap<(ServiceName, TargetName), LocalTarget>>,
    /// Whether the peers have not taken the last change of the targets.
    advertisement_due: Cell<bool>,
    /// Targets that ended, the most recent last; their late heartbeats are ignored.
    pub(crate) ended_targets: RefCell<VecDeque<(TargetName, TargetIncarnation)>>,
    pub(crate) ledger: RefCell<CallLedger>,
    /// Channels for the admission decisions, by waiting call.
    pub(crate) waiters: RefCell<HashMap<CallId, oneshot::Sender<AdmissionDecision>>>,
    /// Requests suspected of crashing targets.
    pub(crate) suspects: RefCell<CrashSuspects>,
    /// Number of open streams that carry calls or revocations.
    open_streams: watch::Sender<usize>,
    pub(crate) stopping: watch::Sender<bool>,
    /// Time by which all calls must have ended, once the daemon stops.
    calls_end: Cell<Option<Instant>>,
    pub(crate) connections: Rc<TargetConnections>,
    pub(crate) header_names: &'static HeaderNames,
    own_service: Option<ServiceName>,
    /// Whether nested calls go before others of the same priority.
    pub(crate) nested_first: bool,
    /// Whether calls are refused while most runs of their route fail downstream.
    refuse_failing_runs: bool,
    /// What the host's own target runs, for the entry of this daemon.
    own_target: OwnTarget,
    /// Throttle of the calls to the host's own target, by the calls that its runs make.
    downstream: RefCell<DownstreamThrottle>,
    /// What this daemon knows of the store's newest revision.
    confirmation: SharedConfirmation,
    /// Configuration in force; `None` until the first one arrives.
    pub(crate) config: RefCell<Option<Arc<FleetConfig>>>,
    pub(crate) target_lease: Cell<Duration>,
    pub(crate) cold_terms: Cell<ColdTerms>,
    /// Parts of account quotas that this daemon holds.
    quotas: GuardQuotas,
    /// The calls that targets make while they serve others.
    nested: GuardNested,
    /// Whether the host's data centre is evacuated and accepts no calls.
    pub(crate) evacuated: Cell<bool>,
    pub(crate) max_body: usize,
    /// Memory for the bodies of calls.
    body_room: Rc<BodyRoom>,
    /// Memory for long answers.
    pub(crate) answer_room: Rc<AnswerRoom>,
    /// Memory for the heads of long calls.
    head_room: Rc<HeadRoom>,
    /// Share of the entries' connections in the descriptors.
    connection_room: Rc<ConnectionRoom>,
    /// Permits to receive the bodies of announced calls.
    body_transfers: Semaphore,
    pub(crate) metrics: Arc<DaemonMetrics>,
    pub(crate) rings: GuardRings,
    /// Entries that are notified of significant changes in the targets' load.
    pub(crate) watchers: GuardWatchers,
    pub(crate) logger: Logger,
}

/// Runs the duty until the runtime ends.
pub(crate) async fn run(
    parts: GuardParts,
    mut inbox: RingInbox<GuardEvent>,
    rings: GuardRings,
    metrics: Arc<DaemonMetrics>,
    logger: Logger,
) {
    let listener = TcpListener::from_std(parts.listener);
    let socket = UdpSocket::from_std(parts.socket);
    let (Ok(listener), Ok(socket)) = (listener, socket) else { return };
    let clock = ProcessClock::open();
    let duty = Rc::new(GuardDuty {
        clock,
        host: parts.host,
        data_centre: parts.data_centre,
        incarnation: parts.incarnation,
        address: parts.address,
        advertisement_due: Cell::new(false),
        targets: RefCell::default(),
        ended_targets: RefCell::default(),
        ledger: RefCell::new(CallLedger::open(parts.memory.plan.call_records())),
        waiters: RefCell::default(),
        suspects: RefCell::default(),
        open_streams: watch::Sender::new(0),
        stopping: watch::Sender::new(false),
        calls_end: Cell::default(),
        watchers: GuardWatchers::open(),
        connections: TargetConnections::open(clock),
        header_names: parts.header_names,
        own_service: parts.own_service,
        nested_first: parts.nested_first,
        refuse_failing_runs: parts.refuse_failing_runs,
        own_target: parts.own_target,
        downstream: RefCell::default(),
        confirmation: parts.confirmation,
        config: RefCell::default(),
        target_lease: Cell::new(parts.target_lease),
        cold_terms: Cell::new(parts.cold_terms),
        quotas: GuardQuotas::default(),
        nested: GuardNested::default(),
        evacuated: Cell::new(false),
        max_body: parts.max_body,
        body_room: BodyRoom::open(clock, &parts.memory, BodySide::Guard, &metrics),
        answer_room: AnswerRoom::open(parts.memory.plan),
        head_room: HeadRoom::open(parts.memory.plan),
        connection_room: ConnectionRoom::open_for_daemons(
            ListenerKind::Guard,
            parts.connection_plan,
            &metrics,
            &logger,
        ),
        body_transfers: Semaphore::new(MAX_BODY_TRANSFERS),
        metrics,
        rings,
        logger,
    });
    duty.quotas.terms.set(parts.quota_terms);
    spawn_local(Rc::clone(&duty).accept(listener));
    spawn_local(Rc::clone(&duty).serve_datagrams(socket));
    spawn_local(Rc::clone(&duty).tick());
    if let (Some(service), Some(address)) = (duty.own_service.clone(), parts.target_address) {
        spawn_local(health::discover_target(Rc::clone(&duty), service, address));
    }
    loop {
        duty.handle(inbox.next().await);
    }
}

impl GuardDuty {
    fn handle(self: &Rc<Self>, event: GuardEvent) {
        match event {
            GuardEvent::Announce(announcement) => {
                self.handle_announcement(announcement, None, None);
            }
            GuardEvent::Config(config) => {
                *self.config.borrow_mut() = Some(config);
                self.update_cold_rates();
                self.update_held_quotas();
            }
            GuardEvent::Fleet(view) => {
                self.nested.set_fleet_view(&view);
                self.set_fleet_view(view);
            }
            GuardEvent::Isolated(isolated) => self.set_isolated(isolated),
            GuardEvent::Settings { lease, cold, quota } => {
                self.target_lease.set(lease);
                self.cold_terms.set(cold);
                self.quotas.terms.set(quota);
                self.update_held_quotas();
                let mut targets = self.targets.borrow_mut();
                targets.values_mut().for_each(|target| target.lease.set_duration(lease));
                drop(targets);
                self.update_cold_rates();
            }
            GuardEvent::Evacuated(evacuated) => self.set_evacuated(evacuated),
            GuardEvent::Suspects(updates) => self.merge_suspects(&updates),
            GuardEvent::Report { report, reply } => {
                self.handle_report(report);
                _ = reply.send(());
            }
            GuardEvent::Drain { target, drained, reply } => {
                _ = reply.send(self.drain(&target, drained));
            }
            GuardEvent::NestedEnded(end) => self.handle_nested_end(&end),
            GuardEvent::Dump(reply) => drop(reply.send(self.dump())),
            GuardEvent::Statements(reply) => drop(reply.send(self.describe_statements())),
            GuardEvent::Withdraw { calls_end } => self.calls_end.set(Some(calls_end)),
            GuardEvent::Stop(done) => {
                spawn_local(Rc::clone(self).stop(done));
            }
        }
    }

    /// Returns the health check path of the host's target, if the configuration names one.
    pub(crate) fn health_path(&self) -> Option<String> {
        let config = self.config.borrow();
        config.as_ref()?.health_path(self.own_service.as_ref()?).map(str::to_owned)
    }

    /// Passes a write to the platform duty; drops and counts it if the ring buffer is full.
    pub(crate) fn write_row(&self, write: TableWrite) {
        if self.rings.platform.push(PlatformEvent::Write(write)).is_err() {
            self.metrics.ring_drops.with_label_values(&["platform"]).inc();
        }
    }

    /// Updates the time that work takes at a target now, in percent of the normal time.
    pub(crate) fn update_slowness(&self, key: &(ServiceName, TargetName), percent: u16) {
        if let Some(target) = self.targets.borrow_mut().get_mut(key) {
            let now = self.clock.now();
            target.queue.note_slowness(now, percent);
            target.slowness_updated_at = now;
        }
        // Calls held back because the host was slow may be able to start now.
        self.step_queue(key, AdmissionEvent::Tick);
    }

    /// Returns the current load of a target; a default report if the target is unknown.
    pub(crate) fn load(&self, key: &(ServiceName, TargetName)) -> LoadReport {
        let mut targets = self.targets.borrow_mut();
        let now = self.clock.now();
        targets.get_mut(key).map(|target| target.next_report(now)).unwrap_or_default()
    }

    /// Logs and counts the refusal of a call, and returns its answer.
    pub(crate) fn refusal(
        &self,
        call: &ServedCall,
        reason: RefusalReason,
        retry_after_ms: u32,
    ) -> AnswerHead {
        self.metrics.refusals.with_label_values(&[reason.label()]).inc();
        let load = self.load(&call.target_key);
        info!(self.logger, "call refused"; "id" => &*call.request_id,
            "target" => %call.target_key.1, "account" => %call.account,
            "reason" => reason.label(), "retry_after_ms" => retry_after_ms,
            "running" => load.in_flight, "waiting" => load.queued, "limit" => load.slots,
            "rate_next_ms" => load.rate.map(|rate| rate.next_ms),
            "slowness" => load.slowness);
        let suspect = self.suspect_record(call.digest);
        let nested = call.nested_route;
        AnswerHead::Refused { call: call.call_id, reason, retry_after_ms, load, suspect, nested }
    }
}
