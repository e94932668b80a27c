//! The duty that keeps the fleet together: gossip, full exchanges, revisions.

mod exchange;
mod following;
mod rpc;
mod suspects;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use futures::StreamExt;
use prometheus::IntCounter;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use slog::{Logger, info};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::spawn_local;

use crate::base::clock::{MicroTime, ProcessClock};
use crate::base::consts::{GOSSIP_PERIOD, MAX_DATAGRAM};
use crate::base::member::{FleetView, GossipMessage, MemberRecord};
use crate::base::metrics::DaemonMetrics;
use crate::base::wire;
use crate::duty::events::{EntryEvent, GuardEvent, PeersEvent, PlatformEvent};
use crate::duty::ring::{RingInbox, RingSender};
use crate::fleet::follow::FollowerRole;
use crate::fleet::membership::{MembershipAction, MembershipEvent, MembershipState};
use crate::rules::revision::ActiveRevision;
use suspects::SuspectFeed;

/// Peers a fresh daemon asks before it serves.
const JOIN_PEERS: usize = 3;

/// Time between two log lines of what crossed.
const TOTALS_EVERY: MicroTime = MicroTime::from_millis(10_000);

/// Least time between two views handed to the entry.
const VIEW_EVERY: MicroTime = MicroTime::from_millis(100);

/// Where this duty's events go.
#[derive(Debug)]
pub(crate) struct PeersRings {
    pub(crate) entry: RingSender<EntryEvent>,
    pub(crate) guard: RingSender<GuardEvent>,
    pub(crate) platform: RingSender<PlatformEvent>,
}

/// The state that this duty's tasks share.
pub(crate) struct PeersDuty {
    clock: ProcessClock,
    pub(crate) membership: RefCell<MembershipState>,
    pub(crate) active: RefCell<Option<ActiveRevision>>,
    rng: RefCell<Pcg64Mcg>,
    socket: UdpSocket,
    seeds: Vec<SocketAddr>,
    dirty: RefCell<bool>,
    joined: RefCell<bool>,
    /// Whether peers are being asked, on the way to `joined`.
    joining: RefCell<bool>,
    fetching: RefCell<bool>,
    /// Set once the platform's rows were read, or could not be.
    bootstrapped: Cell<bool>,
    /// Set until it was seen who follows the store now.
    order_changed: Cell<bool>,
    /// Whether this daemon is in its turn to follow it, and whether it does.
    role: RefCell<FollowerRole>,
    follows: Cell<bool>,
    /// Whether the guard knows that no other daemon is heard of.
    alone_told: Cell<bool>,
    /// When the store was last found lost or regained.
    store_lost_at: Cell<MicroTime>,
    /// When any peer was last heard of.
    heard: Cell<MicroTime>,
    /// What the other duties have yet to hear of suspected requests.
    feed: RefCell<SuspectFeed>,
    /// Whether the other duties know which data centres are evacuated.
    evacuation_told: Cell<bool>,
    pub(crate) metrics: Arc<DaemonMetrics>,
    rings: PeersRings,
    logger: Logger,
}

/// What the duty needs to run.
#[derive(Debug)]
pub(crate) struct PeersParts {
    pub(crate) own: MemberRecord,
    pub(crate) seed: u64,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) socket: std::net::UdpSocket,
    pub(crate) listener: std::net::TcpListener,
}

/// Runs the duty until the thread's runtime ends.
pub(crate) async fn run(
    parts: PeersParts,
    mut inbox: RingInbox<PeersEvent>,
    rings: PeersRings,
    metrics: Arc<DaemonMetrics>,
    logger: Logger,
) {
    let PeersParts { own, seed, seeds, socket, listener } = parts;
    let (Ok(socket), Ok(listener)) = (UdpSocket::from_std(socket), TcpListener::from_std(listener))
    else {
        return;
    };
    let duty = Rc::new(PeersDuty {
        clock: ProcessClock::open(),
        membership: RefCell::new(MembershipState::open(own)),
        active: RefCell::default(),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        socket,
        seeds,
        dirty: RefCell::new(true),
        joined: RefCell::new(false),
        joining: RefCell::new(false),
        fetching: RefCell::new(false),
        bootstrapped: Cell::new(false),
        order_changed: Cell::new(true),
        role: RefCell::default(),
        follows: Cell::new(false),
        alone_told: Cell::new(false),
        store_lost_at: Cell::new(MicroTime(0)),
        heard: Cell::new(MicroTime(0)),
        feed: RefCell::default(),
        evacuation_told: Cell::new(true),
        metrics,
        rings,
        logger,
    });
    spawn_local(Rc::clone(&duty).receive());
    spawn_local(Rc::clone(&duty).tick());
    spawn_local(rpc::serve(Rc::clone(&duty), listener));
    loop {
        duty.handle(inbox.next().await);
    }
}

impl PeersDuty {
    fn handle(self: &Rc<Self>, event: PeersEvent) {
        match event {
            PeersEvent::Bootstrap { members, reached } => {
                if reached {
                    self.role.borrow_mut().read_rows(&members, self.membership.borrow().own());
                }
                spawn_local(Rc::clone(self).join(members, reached));
            }
            PeersEvent::StoreLost(lost) => {
                self.store_lost_at.set(self.clock.now());
                self.step(MembershipEvent::StoreLost(lost));
            }
            PeersEvent::Config(active) => {
                let targets = self.membership.borrow().own().targets.clone();
                let revision = active.head.revision;
                *self.active.borrow_mut() = Some(active);
                self.step(MembershipEvent::Local { targets, revision });
            }
            PeersEvent::Evacuation(notice) => self.step(MembershipEvent::Evacuation(notice)),
            PeersEvent::Suspects { notices, source } => self.take_suspects(notices, source),
            PeersEvent::Forgive { digest, reply } => _ = reply.send(self.forgive(digest)),
            // Who hears nobody is cut off itself.
            PeersEvent::Unreached(host) => {
                if self.clock.now().since(self.heard.get()) < GOSSIP_PERIOD.into() {
                    self.step(MembershipEvent::Unreached(host));
                }
            }
            PeersEvent::Local(targets) => {
                let revision = self.membership.borrow().own().revision;
                self.step(MembershipEvent::Local { targets, revision });
            }
            PeersEvent::Dump(reply) => drop(reply.send(self.dump())),
            PeersEvent::Members(reply) => drop(reply.send(self.membership.borrow().view())),
            PeersEvent::Leave(done) => {
                self.step(MembershipEvent::Leave);
                _ = done.send(());
            }
        }
    }

    /// Takes one event to the kernel and does what follows from it.
    pub(crate) fn step(self: &Rc<Self>, event: MembershipEvent) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        self.membership.borrow_mut().step(now, event, &mut self.rng.borrow_mut(), &mut actions);
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => self.send(to, &message),
                MembershipAction::Believed { record } => {
                    info!(self.logger, "member"; "member" => %record.host,
                        "state" => ?record.state, "version" => record.version,
                        "incarnation" => record.incarnation.0);
                }
                MembershipAction::Changed => {
                    *self.dirty.borrow_mut() = true;
                    self.order_changed.set(true);
                }
                MembershipAction::Suspected(notices) => self.note_suspects(&notices),
                MembershipAction::Evacuated => self.evacuation_told.set(false),
                MembershipAction::NewerRevision { peer } => self.fetch_revision(peer),
                MembershipAction::Sync { peer } => {
                    spawn_local(Rc::clone(self).exchange(peer));
                }
            }
        }
        self.tell_evacuation();
        self.feed.borrow_mut().notify(&self.rings);
    }

    /// Tells the other duties which data centres are evacuated, until they heard it.
    fn tell_evacuation(&self) {
        if self.evacuation_told.get() {
            return;
        }
        let membership = self.membership.borrow();
        let centres = membership.evacuation().centres.clone();
        let own = centres.contains(&membership.own().data_centre);
        info!(self.logger, "evacuated"; "data_centres" => ?centres, "own" => own);
        let entry = self.rings.entry.push(EntryEvent::Evacuated(centres)).is_ok();
        let guard = self.rings.guard.push(GuardEvent::Evacuated(own)).is_ok();
        self.evacuation_told.set(entry && guard);
    }

    fn send(&self, to: SocketAddr, message: &GossipMessage) {
        let Ok(bytes) = wire::encode(message) else { return };
        // A datagram that does not go out is one lost on the way.
        if self.socket.try_send_to(&bytes, to).is_ok() {
            self.metrics.gossip_messages.inc();
            self.metrics.gossip_bytes.inc_by(bytes.len() as u64);
            if let Some(crossing) = self.crossing_counter(to, "gossip") {
                crossing.inc_by(bytes.len() as u64);
            }
        }
    }

    /// Returns what counts the bytes to and from a peer, if it is in another data centre.
    pub(super) fn crossing_counter(&self, peer: SocketAddr, cause: &str) -> Option<IntCounter> {
        let far = self.membership.borrow().is_far_peer(peer);
        far.then(|| self.metrics.cross_centre_bytes.with_label_values(&[cause]))
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM * 2];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else { continue };
            if let Ok(message) = wire::decode(&buffer[..length]) {
                self.heard.set(self.clock.now());
                self.step(MembershipEvent::Message { from, message });
            }
        }
    }

    async fn tick(self: Rc<Self>) {
        let mut timer = tokio::time::interval(GOSSIP_PERIOD / 5);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut viewed = MicroTime(0);
        let mut totalled = MicroTime(0);
        loop {
            timer.tick().await;
            if self.clock.now().since(totalled) >= TOTALS_EVERY {
                totalled = self.clock.now();
                self.log_crossing();
            }
            self.step(MembershipEvent::Tick);
            self.join_when_found();
            let now = self.clock.now();
            self.choose_followers(now);
            if *self.dirty.borrow() && now.since(viewed) >= VIEW_EVERY {
                viewed = now;
                self.hand_out_view();
            }
        }
    }

    /// Tells what went to and came from other data centres so far, in bytes.
    fn log_crossing(&self) {
        let bytes = |cause: &str| self.metrics.cross_centre_bytes.with_label_values(&[cause]).get();
        info!(self.logger, "crossing"; "gossip" => bytes("gossip"),
            "exchange" => bytes("exchange"), "revision" => bytes("revision"),
            "guards" => bytes("guards"), "reports" => self.metrics.cross_centre_reports.get());
    }

    fn hand_out_view(&self) {
        let view = Arc::new(self.membership.borrow().view());
        let size = view.serving().count();
        let entry = self.rings.entry.push(EntryEvent::Fleet(Arc::clone(&view))).is_ok();
        let guard = self.rings.guard.push(GuardEvent::Fleet(view)).is_ok();
        let platform = self.rings.platform.push(PlatformEvent::FleetSize(size)).is_ok();
        *self.dirty.borrow_mut() = !(entry && guard && platform);
    }

    /// Joins through a peer that found this daemon, without the table's help.
    fn join_when_found(self: &Rc<Self>) {
        let found = !*self.joined.borrow() && self.membership.borrow().knows_others();
        if found && !*self.joining.borrow() {
            spawn_local(Rc::clone(self).join(Vec::new(), false));
        }
    }

    /// Learns from the table and from some peers; then the entry may serve.
    async fn join(self: Rc<Self>, members: Vec<MemberRecord>, reached: bool) {
        self.joining.replace(true);
        self.step(MembershipEvent::Learn(members));
        self.bootstrapped.set(true);
        let view = self.membership.borrow().view();
        let (near, peers) = self.peers_to_meet(&view);
        // Without the store the greatest revision of some peers counts, near or far.
        let enough = if reached { near.clamp(1, JOIN_PEERS) } else { JOIN_PEERS };
        if reached {
            // Who has no revision from a peer in time reads it from the platform.
            self.finish_join(0, 0);
        }
        let mut asked = 0;
        let mut least = 0;
        let meetings = peers.into_iter().map(|peer| Rc::clone(&self).meet(peer));
        let mut met = futures::stream::iter(meetings).buffer_unordered(JOIN_PEERS);
        while let Some(revision) = met.next().await {
            let Some(revision) = revision else { continue };
            asked += 1;
            least = least.max(revision);
            self.finish_join(asked, least);
            if asked >= enough {
                break;
            }
        }
        self.joining.replace(false);
    }

    /// Returns peers in the order in which they are asked, neighbours first, and how
    /// many of them are neighbours: what they tell crosses to no other data centre.
    fn peers_to_meet(&self, view: &FleetView) -> (usize, Vec<SocketAddr>) {
        // The view's first member is this daemon itself.
        let Some((own, others)) = view.members.split_first() else { return Default::default() };
        let up = others.iter().filter(|member| member.is_up());
        let (near, far): (Vec<_>, Vec<_>) = up.partition(|member| member.is_in(&own.data_centre));
        let mut near: Vec<SocketAddr> = near.iter().map(|member| member.peer).collect();
        let far = far.iter().map(|member| member.peer);
        let mut far: Vec<SocketAddr> = far.chain(self.seeds.iter().copied()).collect();
        let mut rng = self.rng.borrow_mut();
        near.shuffle(&mut *rng);
        far.shuffle(&mut *rng);
        (near.len(), near.into_iter().chain(far).collect())
    }

    /// Lets the entry serve, by the given revision or a later one.
    fn finish_join(&self, peers: usize, least_revision: u64) {
        if !self.joined.replace(true) {
            // A daemon that serves must know where to.
            self.hand_out_view();
            info!(self.logger, "joined"; "peers" => peers, "least_revision" => least_revision);
            drop(self.rings.entry.push(EntryEvent::Joined { least_revision }));
        }
    }

    fn dump(&self) -> Value {
        let membership = self.membership.borrow();
        json!({
            "joined": *self.joined.borrow(),
            "updates_left": membership.updates_left(),
            "evacuation": membership.evacuation(),
            "suspects": membership.suspects().notices(),
            "members": membership.view().members,
        })
    }
}
