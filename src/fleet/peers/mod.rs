//! The duty that communicates with other daemons: gossip, full exchanges and revisions.

mod exchange;
mod joining;
mod parts;
mod rpc;
mod store_role;
mod suspects;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use prometheus::IntCounter;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use slog::{Logger, info};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::spawn_local;

use crate::base::clock::{MicroTime, ProcessClock};
use crate::base::consts::{GOSSIP_PERIOD, MAX_DATAGRAM};
use crate::base::member::GossipMessage;
use crate::base::metrics::DaemonMetrics;
use crate::base::wire;
use crate::duty::events::{EntryEvent, GuardEvent, PeersEvent, PlatformEvent, StoreRole};
use crate::duty::ring::{RingInbox, RingSender};
use crate::fleet::membership::{MembershipAction, MembershipEvent, MembershipState};
use crate::fleet::store_followers::FollowerRole;
use crate::rules::revision::ActiveRevision;
pub(crate) use parts::PeersParts;
use suspects::PendingSuspects;

/// Interval between two log lines of the traffic between data centres.
const TRAFFIC_LOG_INTERVAL: MicroTime = MicroTime::from_millis(10_000);

/// Minimum time between two views of the fleet that are sent to the other duties.
const VIEW_INTERVAL: MicroTime = MicroTime::from_millis(100);

/// Senders of the events that this duty passes to the other duties.
#[derive(Debug)]
pub(crate) struct PeersRings {
    pub(crate) entry: RingSender<EntryEvent>,
    pub(crate) guard: RingSender<GuardEvent>,
    pub(crate) platform: RingSender<PlatformEvent>,
}

/// State that the tasks of the duty share.
pub(crate) struct PeersDuty {
    clock: ProcessClock,
    pub(crate) membership: RefCell<MembershipState>,
    pub(crate) active: RefCell<Option<ActiveRevision>>,
    rng: RefCell<Pcg64Mcg>,
    socket: UdpSocket,
    /// Configured addresses of daemons to join through, besides known members.
    seed_addresses: Vec<SocketAddr>,
    /// Whether the view of the fleet has changed since it was sent to the other duties.
    view_dirty: RefCell<bool>,
    /// Whether the entry may serve.
    joined: RefCell<bool>,
    /// Oldest revision that the entry may serve with, until it was told.
    unreported_join: Cell<Option<u64>>,
    /// Whether records and revisions of peers are being fetched before joining.
    joining: RefCell<bool>,
    fetching_revision: RefCell<bool>,
    /// Whether joining has started: the store's rows were read or could not be read, or a peer
    /// sent a message.
    bootstrapped: Cell<bool>,
    /// Whether the followers of the store have to be selected again.
    selection_outdated: Cell<bool>,
    /// Decides whether this daemon follows the store, unless it is isolated.
    follower_role: RefCell<FollowerRole>,
    /// Last value sent to the platform duty.
    store_role: Cell<StoreRole>,
    /// Position among the daemons that are up at the last computation.
    store_rank: Cell<Option<usize>>,
    /// Last value sent to the guard: whether this daemon is isolated from all others.
    reported_isolated: Cell<bool>,
    /// When the store last became unreachable or reachable.
    store_lost_changed_at: Cell<MicroTime>,
    /// When the last message from any peer was received.
    last_message_at: Cell<MicroTime>,
    /// Crash records that still have to be passed to the other duties.
    pending_suspects: RefCell<PendingSuspects>,
    /// Whether the other duties have the current set of evacuated data centres.
    evacuation_reported: Cell<bool>,
    pub(crate) metrics: Arc<DaemonMetrics>,
    rings: PeersRings,
    logger: Logger,
}

/// Runs the duty until its runtime ends.
pub(crate) async fn run(
    parts: PeersParts,
    mut inbox: RingInbox<PeersEvent>,
    rings: PeersRings,
    metrics: Arc<DaemonMetrics>,
    logger: Logger,
) {
    let PeersParts { own, rng_seed, seed_addresses, connection_plan, socket, listener } = parts;
    let (Ok(socket), Ok(listener)) = (UdpSocket::from_std(socket), TcpListener::from_std(listener))
    else {
        return;
    };
    let duty = Rc::new(PeersDuty {
        clock: ProcessClock::open(),
        membership: RefCell::new(MembershipState::open(own)),
        active: RefCell::default(),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(rng_seed)),
        socket,
        seed_addresses,
        view_dirty: RefCell::new(true),
        joined: RefCell::new(false),
        unreported_join: Cell::new(None),
        joining: RefCell::new(false),
        fetching_revision: RefCell::new(false),
        bootstrapped: Cell::new(false),
        selection_outdated: Cell::new(true),
        follower_role: RefCell::default(),
        store_role: Cell::default(),
        store_rank: Cell::new(None),
        reported_isolated: Cell::new(false),
        store_lost_changed_at: Cell::new(MicroTime(0)),
        last_message_at: Cell::new(MicroTime(0)),
        pending_suspects: RefCell::default(),
        evacuation_reported: Cell::new(true),
        metrics,
        rings,
        logger,
    });
    spawn_local(Rc::clone(&duty).receive());
    spawn_local(Rc::clone(&duty).tick());
    spawn_local(rpc::serve(Rc::clone(&duty), listener, connection_plan));
    loop {
        duty.handle(inbox.next().await);
    }
}

impl PeersDuty {
    fn handle(self: &Rc<Self>, event: PeersEvent) {
        match event {
            PeersEvent::Bootstrap { members, reached } => {
                if reached {
                    self.follower_role
                        .borrow_mut()
                        .init_from_rows(&members, self.membership.borrow().own_record());
                }
                spawn_local(Rc::clone(self).join(members, reached));
            }
            PeersEvent::StoreLost(lost) => {
                self.store_lost_changed_at.set(self.clock.now());
                self.step(MembershipEvent::StoreLost(lost));
            }
            PeersEvent::Config(active) => {
                let targets = self.membership.borrow().own_record().targets.clone();
                let revision = active.head.revision;
                *self.active.borrow_mut() = Some(active);
                self.step(MembershipEvent::OwnRecordChanged { targets, revision });
            }
            PeersEvent::Evacuation(evacuation) => {
                self.step(MembershipEvent::Evacuation(evacuation));
            }
            PeersEvent::Suspects { updates, source } => self.apply_suspects(updates, source),
            PeersEvent::Forgive { digest, reply } => _ = reply.send(self.forgive(digest)),
            // A daemon that receives no messages is itself cut off, so the report is no sign of
            // a failed host.
            PeersEvent::HostUnreachable(host) => {
                if self.clock.now().since(self.last_message_at.get()) < GOSSIP_PERIOD.into() {
                    self.step(MembershipEvent::MemberUnreachable(host));
                }
            }
            PeersEvent::LocalTargets(targets) => {
                let revision = self.membership.borrow().own_record().revision;
                self.step(MembershipEvent::OwnRecordChanged { targets, revision });
            }
            PeersEvent::Dump(reply) => drop(reply.send(self.dump())),
            PeersEvent::Members(reply) => drop(reply.send(self.membership.borrow().view())),
            PeersEvent::Leave(done) => {
                self.step(MembershipEvent::Leave);
                _ = done.send(());
            }
        }
    }

    /// Passes an event to the membership state machine and carries out the resulting actions.
    pub(crate) fn step(self: &Rc<Self>, event: MembershipEvent) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        self.membership.borrow_mut().step(now, event, &mut self.rng.borrow_mut(), &mut actions);
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => self.send(to, &message),
                MembershipAction::MemberChanged { record } => {
                    info!(self.logger, "member changed"; "member" => %record.host,
                        "state" => ?record.state, "version" => record.version,
                        "incarnation" => record.incarnation.0);
                }
                MembershipAction::ViewChanged => {
                    *self.view_dirty.borrow_mut() = true;
                    self.selection_outdated.set(true);
                }
                MembershipAction::SuspectRequestsChanged(updates) => self.report_suspects(&updates),
                MembershipAction::EvacuationChanged => self.evacuation_reported.set(false),
                MembershipAction::FetchRevision { peer } => self.fetch_revision(peer),
                MembershipAction::Sync { peer } => {
                    spawn_local(Rc::clone(self).exchange_records(peer));
                }
            }
        }
        self.report_evacuation();
        self.pending_suspects.borrow_mut().flush(&self.rings);
    }

    /// Sends the evacuated data centres to the other duties; repeated if a ring was full.
    fn report_evacuation(&self) {
        if self.evacuation_reported.get() {
            return;
        }
        let membership = self.membership.borrow();
        let centres = membership.evacuation().centres.clone();
        let own_evacuated = centres.contains(&membership.own_record().data_centre);
        info!(self.logger, "evacuated data centres changed"; "data_centres" => ?centres,
            "own" => own_evacuated);
        let entry = self.rings.entry.push(EntryEvent::Evacuated(centres)).is_ok();
        let guard = self.rings.guard.push(GuardEvent::Evacuated(own_evacuated)).is_ok();
        self.evacuation_reported.set(entry && guard);
    }

    /// Sends a gossip message.
    fn send(&self, to: SocketAddr, message: &GossipMessage) {
        let Ok(bytes) = wire::encode(message) else { return };
        // A datagram that can't be sent is treated as lost in the network.
        if self.socket.try_send_to(&bytes, to).is_ok() {
            self.metrics.gossip_messages.inc();
            self.metrics.gossip_bytes.inc_by(bytes.len() as u64);
            if let Some(counter) = self.cross_centre_counter(to, "gossip") {
                counter.inc_by(bytes.len() as u64);
            }
        }
    }

    /// Returns the counter of bytes to and from a peer, if it is in another data centre.
    pub(super) fn cross_centre_counter(&self, peer: SocketAddr, cause: &str) -> Option<IntCounter> {
        let is_remote = self.membership.borrow().is_remote_peer(peer);
        is_remote.then(|| self.metrics.cross_centre_bytes.with_label_values(&[cause]))
    }

    /// Handles gossip datagrams.
    async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM * 2];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else { continue };
            if let Ok(message) = wire::decode(&buffer[..length]) {
                self.last_message_at.set(self.clock.now());
                self.step(MembershipEvent::Message { from, message });
            }
        }
    }

    /// Advances the membership state machine, and publishes the view, at regular intervals.
    async fn tick(self: Rc<Self>) {
        let mut timer = tokio::time::interval(GOSSIP_PERIOD / 5);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut view_sent = MicroTime(0);
        let mut traffic_logged = MicroTime(0);
        loop {
            timer.tick().await;
            if self.clock.now().since(traffic_logged) >= TRAFFIC_LOG_INTERVAL {
                traffic_logged = self.clock.now();
                self.log_cross_centre_bytes();
            }
            self.step(MembershipEvent::Tick);
            self.join_if_discovered();
            self.report_join();
            let now = self.clock.now();
            self.update_store_role(now);
            if *self.view_dirty.borrow() && now.since(view_sent) >= VIEW_INTERVAL {
                view_sent = now;
                self.publish_view();
            }
        }
    }

    /// Logs the bytes sent to and received from other data centres so far.
    fn log_cross_centre_bytes(&self) {
        let bytes = |cause: &str| self.metrics.cross_centre_bytes.with_label_values(&[cause]).get();
        info!(self.logger, "cross-centre traffic"; "gossip" => bytes("gossip"),
            "exchange" => bytes("exchange"), "revision" => bytes("revision"),
            "guards" => bytes("guards"), "reports" => self.metrics.cross_centre_reports.get());
    }

    /// Sends the view of the fleet to the other duties; repeated later if a ring is full.
    fn publish_view(&self) {
        let view = Arc::new(self.membership.borrow().view());
        let size = view.serving().count();
        let entry = self.rings.entry.push(EntryEvent::Fleet(Arc::clone(&view))).is_ok();
        let guard = self.rings.guard.push(GuardEvent::Fleet(view)).is_ok();
        let platform = self.rings.platform.push(PlatformEvent::FleetSize(size)).is_ok();
        *self.view_dirty.borrow_mut() = !(entry && guard && platform);
    }

    /// Returns the duty's state, as JSON.
    fn dump(&self) -> Value {
        let membership = self.membership.borrow();
        json!({
            "joined": *self.joined.borrow(),
            "updates_left": membership.updates_left(),
            "evacuation": membership.evacuation(),
            "suspects": membership.suspects().updates(),
            "members": membership.view().members,
        })
    }
}
