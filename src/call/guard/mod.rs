//! The duty beside the targets: admits calls, and alone speaks to the targets.

mod cold;
mod crashes;
mod datagrams;
mod guarded_call;
mod health;
mod local_target;
mod quota;
mod reporting;
mod served;
mod target_call;
mod target_life;
mod target_pool;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use http::Request;
use serde_json::{Value, json};
use slog::{Logger, info};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::base::clock::ProcessClock;
use crate::base::consts::SENDER_TIMEOUT;
use crate::base::h2io::{self, HeadReader};
use crate::base::ids::{CallId, CentreName, DaemonIncarnation, HostName, ServiceName, TargetName};
use crate::base::metrics::DaemonMetrics;
use crate::base::wire::{AnswerHead, LoadReport, RefusalReason};
use crate::call::guard::local_target::LocalTarget;
use crate::call::guard::quota::GuardQuotas;
use crate::call::guard::reporting::GuardWatchers;
use crate::call::guard::served::ServedCall;
use crate::call::guard::target_pool::TargetPool;
use crate::call::headers::HeaderNames;
use crate::decide::admission::{AdmissionAction, AdmissionEvent};
use crate::decide::cold_start::ColdTerms;
use crate::decide::crash_book::CrashBook;
use crate::decide::life_order::TargetLife;
use crate::decide::outcome::CallLedger;
use crate::decide::quota::QuotaTerms;
use crate::duty::events::{GuardEvent, PeersEvent, PlatformEvent};
use crate::duty::ring::{RingInbox, RingSender};
use crate::rules::config::FleetConfig;
use crate::store::table::TableWrite;

/// How often leases and deadlines are looked at.
const TICK: Duration = Duration::from_millis(20);

/// When to come back to a target that is leaving or gone, in milliseconds.
pub(crate) const LEAVING_RETRY_MS: u32 = 200;

/// Where this duty's events go.
#[derive(Debug)]
pub(crate) struct GuardRings {
    pub(crate) peers: RingSender<PeersEvent>,
    pub(crate) platform: RingSender<PlatformEvent>,
}

/// What the duty needs to run.
#[derive(Debug)]
pub(crate) struct GuardParts {
    pub(crate) host: HostName,
    pub(crate) data_centre: CentreName,
    pub(crate) incarnation: DaemonIncarnation,
    pub(crate) names: &'static HeaderNames,
    /// The service and the address of the host's target, where settings tell.
    pub(crate) own_service: Option<ServiceName>,
    pub(crate) own_target: Option<SocketAddr>,
    /// Time a target's heartbeat stays valid without a further one.
    pub(crate) target_lease: Duration,
    /// What cold targets are given beyond their rate.
    pub(crate) cold_terms: ColdTerms,
    /// How exactly quotas are kept.
    pub(crate) quota_terms: QuotaTerms,
    /// Longest body of a call, in bytes.
    pub(crate) max_body: usize,
    pub(crate) address: SocketAddr,
    pub(crate) listener: std::net::TcpListener,
    pub(crate) socket: std::net::UdpSocket,
}

/// Word to a waiting call: it may start, or why not and when to come back.
pub(crate) type StartSignal = Result<(), (RefusalReason, u32)>;

pub(crate) struct GuardDuty {
    pub(crate) clock: ProcessClock,
    pub(crate) host: HostName,
    pub(crate) data_centre: CentreName,
    pub(crate) incarnation: DaemonIncarnation,
    pub(crate) address: SocketAddr,
    pub(crate) targets: RefCell<HashMap<(ServiceName, TargetName), LocalTarget>>,
    /// Targets that ended, the newest last, to know their late heartbeats.
    pub(crate) ended: RefCell<VecDeque<(TargetName, TargetLife)>>,
    pub(crate) ledger: RefCell<CallLedger>,
    pub(crate) waiters: RefCell<HashMap<CallId, oneshot::Sender<StartSignal>>>,
    /// Requests that are suspected of ending targets.
    pub(crate) suspects: RefCell<CrashBook>,
    /// Streams of calls that have not ended.
    open: watch::Sender<usize>,
    pub(crate) stopping: watch::Sender<bool>,
    pub(crate) pool: Rc<TargetPool>,
    pub(crate) names: &'static HeaderNames,
    own_service: Option<ServiceName>,
    /// The configuration in force, once there is one.
    pub(crate) config: RefCell<Option<Arc<FleetConfig>>>,
    pub(crate) target_lease: Cell<Duration>,
    pub(crate) cold_terms: Cell<ColdTerms>,
    /// The parts of accounts' quotas that are held here.
    quotas: GuardQuotas,
    /// Whether the host's data centre takes no calls now.
    pub(crate) evacuated: Cell<bool>,
    pub(crate) max_body: usize,
    pub(crate) metrics: Arc<DaemonMetrics>,
    pub(crate) rings: GuardRings,
    /// Who is told each change of a target's load that matters.
    pub(crate) watchers: GuardWatchers,
    pub(crate) logger: Logger,
}

/// Runs the duty until the thread's runtime ends.
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
        targets: RefCell::default(),
        ended: RefCell::default(),
        ledger: RefCell::default(),
        waiters: RefCell::default(),
        suspects: RefCell::default(),
        open: watch::Sender::new(0),
        stopping: watch::Sender::new(false),
        watchers: GuardWatchers::open(),
        pool: TargetPool::open(clock),
        names: parts.names,
        own_service: parts.own_service,
        config: RefCell::default(),
        target_lease: Cell::new(parts.target_lease),
        cold_terms: Cell::new(parts.cold_terms),
        quotas: GuardQuotas::default(),
        evacuated: Cell::new(false),
        max_body: parts.max_body,
        metrics,
        rings,
        logger,
    });
    duty.quotas.terms.set(parts.quota_terms);
    spawn_local(Rc::clone(&duty).accept(listener));
    spawn_local(Rc::clone(&duty).answer_datagrams(socket));
    spawn_local(Rc::clone(&duty).tick());
    if let (Some(service), Some(address)) = (duty.own_service.clone(), parts.own_target) {
        spawn_local(health::find_target(Rc::clone(&duty), service, address));
    }
    loop {
        duty.handle(inbox.next().await);
    }
}

impl GuardDuty {
    fn handle(self: &Rc<Self>, event: GuardEvent) {
        match event {
            GuardEvent::Announce(announcement) => {
                self.announce(announcement, None, None);
            }
            GuardEvent::Config(config) => {
                *self.config.borrow_mut() = Some(config);
                self.bound_cold_targets();
                self.choose_quotas();
            }
            GuardEvent::Fleet(view) => self.adopt_view(view),
            GuardEvent::Alone(alone) => self.note_alone(alone),
            GuardEvent::Terms { lease, cold, quota } => {
                self.target_lease.set(lease);
                self.cold_terms.set(cold);
                self.quotas.terms.set(quota);
                self.choose_quotas();
                let mut targets = self.targets.borrow_mut();
                targets.values_mut().for_each(|target| target.lease.extend_to(lease));
                drop(targets);
                self.bound_cold_targets();
            }
            GuardEvent::Evacuated(evacuated) => self.evacuate(evacuated),
            GuardEvent::Suspects(notices) => self.learn_suspects(&notices),
            GuardEvent::Report { report, reply } => {
                self.take_report(report);
                _ = reply.send(());
            }
            GuardEvent::Drain { target, drained, reply } => {
                _ = reply.send(self.drain(&target, drained));
            }
            GuardEvent::Dump(reply) => drop(reply.send(self.dump())),
            GuardEvent::Stop(done) => {
                spawn_local(Rc::clone(self).stop(done));
            }
        }
    }

    /// Returns the path at which the host's target tells its health, once known.
    pub(crate) fn health_path(&self) -> Option<String> {
        let config = self.config.borrow();
        config.as_ref()?.health_path(self.own_service.as_ref()?).map(str::to_owned)
    }

    /// Takes one event to a target's admission queue.
    pub(crate) fn step_queue(&self, key: &(ServiceName, TargetName), event: AdmissionEvent) {
        let mut actions = Vec::new();
        if let Some(target) = self.targets.borrow_mut().get_mut(key) {
            let before = target.queue.limit();
            target.queue.step(self.clock.now(), event, &mut actions);
            let limit = target.queue.limit();
            if limit != before {
                info!(self.logger, "limit"; "target" => %key.1, "limit" => limit,
                    "before" => before, "running" => target.queue.running(),
                    "waiting" => target.queue.waiting());
            }
        }
        self.carry_out(actions);
    }

    pub(crate) fn carry_out(&self, actions: Vec<AdmissionAction>) {
        for action in actions {
            let (call, signal) = match action {
                AdmissionAction::Start(call) => (call, Ok(())),
                AdmissionAction::Refuse { call, reason, retry_after_ms } => {
                    (call, Err((reason, retry_after_ms)))
                }
            };
            if let Some(waiter) = self.waiters.borrow_mut().remove(&call) {
                _ = waiter.send(signal);
            }
        }
    }

    async fn tick(self: Rc<Self>) {
        let mut timer = tokio::time::interval(TICK);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            let mut actions = Vec::new();
            let now = self.clock.now();
            for target in self.targets.borrow_mut().values_mut() {
                target.queue.step(now, AdmissionEvent::Tick, &mut actions);
            }
            self.carry_out(actions);
            self.check_leases();
            self.tell_watchers(now);
            health::ask_stale(&self, now);
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((socket, _)) = listener.accept().await else { continue };
            drop(socket.set_nodelay(true));
            spawn_local(Rc::clone(&self).serve_connection(socket));
        }
    }

    async fn serve_connection(self: Rc<Self>, socket: TcpStream) {
        let handshake = timeout(SENDER_TIMEOUT, h2io::server().handshake(socket)).await;
        let Ok(Ok(mut connection)) = handshake else { return };
        let mut stopping = self.stopping.subscribe();
        let mut told = false;
        loop {
            tokio::select! {
                accepted = connection.accept() => match accepted {
                    Some(Ok((request, respond))) => {
                        spawn_local(Rc::clone(&self).serve_stream(request, respond));
                    }
                    _ => return,
                },
                _ = stopping.wait_for(|stopping| *stopping), if !told => {
                    told = true;
                    connection.graceful_shutdown();
                }
            }
        }
    }

    async fn serve_stream(
        self: Rc<Self>,
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
    ) {
        let (parts, body) = request.into_parts();
        let reader = HeadReader::open(body);
        if parts.uri.path() == "/watch" {
            // A watch is no call: nobody waits for its end.
            _ = reporting::tell_reports(&self, reader, respond).await;
            return;
        }
        self.open.send_modify(|open| *open += 1);
        if parts.uri.path() == "/revoke" {
            self.serve_revoke(reader, respond).await;
        } else {
            self.serve_call(reader, respond).await;
        }
        self.open.send_modify(|open| *open -= 1);
    }

    pub(crate) fn write(&self, write: TableWrite) {
        if self.rings.platform.push(PlatformEvent::Write(write)).is_err() {
            self.metrics.ring_drops.with_label_values(&["platform"]).inc();
        }
    }

    /// Notes how long work takes at a target now, in percent of the usual.
    pub(crate) fn note_slowness(&self, key: &(ServiceName, TargetName), percent: u16) {
        if let Some(target) = self.targets.borrow_mut().get_mut(key) {
            let now = self.clock.now();
            target.queue.note_slowness(now, percent);
            target.slowness_heard = now;
        }
        // What waited for the host to be faster may start.
        self.step_queue(key, AdmissionEvent::Tick);
    }

    pub(crate) fn load(&self, key: &(ServiceName, TargetName)) -> LoadReport {
        let mut targets = self.targets.borrow_mut();
        let now = self.clock.now();
        targets.get_mut(key).map(|target| target.queue.load(now)).unwrap_or_default()
    }

    pub(crate) fn refusal(
        &self,
        call: &ServedCall,
        reason: RefusalReason,
        retry_after_ms: u32,
    ) -> AnswerHead {
        self.metrics.refusals.with_label_values(&[reason.label()]).inc();
        let load = self.load(&call.key);
        info!(self.logger, "refused"; "id" => &*call.id, "target" => %call.key.1,
            "reason" => reason.label(), "retry_after_ms" => retry_after_ms,
            "running" => load.in_flight, "waiting" => load.queued, "limit" => load.slots,
            "slowness" => load.slowness);
        let suspect = self.standing(call.digest);
        AnswerHead::Refused { call: call.call, reason, retry_after_ms, load, suspect }
    }

    /// Refuses new work at once and waits for the old to end.
    async fn stop(self: Rc<Self>, done: oneshot::Sender<()>) {
        self.stopping.send_replace(true);
        self.check_leases();
        let mut open = self.open.subscribe();
        // Fails only when the duty itself is gone.
        drop(open.wait_for(|open| *open == 0).await);
        _ = done.send(());
    }

    fn dump(&self) -> Value {
        let targets = self.targets.borrow();
        let now = self.clock.now();
        let targets: Vec<Value> = targets.values().map(|target| target.dump(now)).collect();
        json!({
            "targets": targets,
            "blamed": self.suspects.borrow().blamed(),
            "quotas": self.quotas.dump(),
            "calls_remembered": self.ledger.borrow().len(),
            "streams": *self.open.borrow(),
            "stopping": *self.stopping.borrow(),
        })
    }
}
