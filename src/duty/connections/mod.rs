//! Connections that a listener has accepted, within its share of memory and descriptors.

mod lingering_socket;
mod permit;
mod tracked_body;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use prometheus::{IntCounter, IntGauge};
use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Notify};
use tokio::task::coop::unconstrained;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::base::clock::{MicroTime, ProcessClock};
use crate::base::connection_plan::{ConnectionCost, ConnectionPlan, ListenerKind};
use crate::base::metrics::DaemonMetrics;
use crate::decide::connection_account::{
    ConnectionAccount, ConnectionLimits, ConnectionNumber, ConnectionUse,
};
pub(crate) use lingering_socket::{LingeringSocket, WriteEnd};
pub(crate) use permit::ConnectionPermit;
pub(crate) use tracked_body::TrackedBody;

/// Pause after the system could not accept a connection, such as for lack of descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of connections that are accepted before anything else runs.
const MAX_ACCEPTED_AT_ONCE: u64 = 32;

/// Cost of a connection of another daemon.
const DAEMON_CONNECTION_COST: ConnectionCost = ConnectionCost::of_buffers(16 << 10);

/// Interval between two log lines about connections that were closed for others.
const LOG_INTERVAL: MicroTime = MicroTime::from_millis(1_000);

/// Maximum number of bytes that a listener reads in a second from peers that go on sending after
/// their last answer: those that a link of 100 Mbit/s carries.
const MAX_LINGER_BYTES_PER_S: usize = 12 << 20;

/// Share of one listener, for all its connections.
pub(crate) struct ConnectionRoom {
    kind: ListenerKind,
    clock: ProcessClock,
    account: RefCell<ConnectionAccount>,
    /// Tells connections that they are closed for others.
    evictions: RefCell<HashMap<ConnectionNumber, Rc<Notify>>>,
    /// Notified whenever a connection needs less or is closed.
    returned: Notify,
    /// Turn of a request that was sent ahead.
    turn: Mutex<()>,
    /// Number of connections accepted so far.
    accepted: Cell<u64>,
    lingered: Cell<LingeredBytes>,
    logged: Cell<LoggedEvictions>,
    open_connections: IntGauge,
    evicted: IntCounter,
    logger: Logger,
}

/// Bytes that were read after last answers within one second.
#[derive(Clone, Copy, Default)]
struct LingeredBytes {
    since: MicroTime,
    bytes: usize,
}

/// Evictions that the log has.
#[derive(Clone, Copy, Default)]
struct LoggedEvictions {
    at: Option<MicroTime>,
    count: u64,
}

impl ConnectionRoom {
    /// Creates the room of a listener; `cost` is that of a usual connection.
    pub(crate) fn open(
        kind: ListenerKind,
        plan: ConnectionPlan,
        cost: ConnectionCost,
        metrics: &DaemonMetrics,
        logger: &Logger,
    ) -> Rc<Self> {
        let limits =
            ConnectionLimits { connections: plan.connections(kind), bytes: plan.bytes(kind, cost) };
        let labels = &[kind.label()];
        Rc::new(Self {
            kind,
            clock: ProcessClock::open(),
            account: RefCell::new(ConnectionAccount::open(limits)),
            evictions: RefCell::default(),
            returned: Notify::new(),
            turn: Mutex::new(()),
            accepted: Cell::new(0),
            lingered: Cell::default(),
            logged: Cell::default(),
            open_connections: metrics.memory.open_connections.with_label_values(labels),
            evicted: metrics.memory.evicted_connections.with_label_values(labels),
            logger: logger.clone(),
        })
    }

    /// Creates the room of a listener for other daemons, whose number is limited alone.
    pub(crate) fn open_for_daemons(
        kind: ListenerKind,
        plan: ConnectionPlan,
        metrics: &DaemonMetrics,
        logger: &Logger,
    ) -> Rc<Self> {
        Self::open(kind, plan, DAEMON_CONNECTION_COST, metrics, logger)
    }

    /// Accepts the next connection of another daemon, which makes way for others until it has sent
    /// a request.
    pub(crate) async fn accept_daemon(
        self: &Rc<Self>,
        listener: &TcpListener,
    ) -> (TcpStream, Rc<ConnectionPermit>) {
        self.accept(listener, || DAEMON_CONNECTION_COST).await
    }

    /// Accepts the next connection; others are closed for it if necessary.
    pub(crate) async fn accept(
        self: &Rc<Self>,
        listener: &TcpListener,
        cost: impl Fn() -> ConnectionCost,
    ) -> (TcpStream, Rc<ConnectionPermit>) {
        loop {
            // Several in a row: the system drops connections that don't fit into its queue.
            match unconstrained(listener.accept()).await {
                Ok((socket, _)) => {
                    let accepted = self.accepted.get() + 1;
                    self.accepted.set(accepted);
                    if accepted.is_multiple_of(MAX_ACCEPTED_AT_ONCE) {
                        yield_now().await;
                    }
                    return (socket, self.admit(cost()).await);
                }
                Err(error) => self.recover(&error).await,
            }
        }
    }

    /// Waits until a request that was sent ahead may be served: one at a time is taken up between
    /// two passes over all that is ready to run, so that others are not kept waiting.
    pub(crate) async fn wait_turn(&self) {
        let _turn = self.turn.lock().await;
        yield_now().await;
    }

    /// Returns limits and current use.
    pub(crate) fn memory_use(&self) -> ConnectionUse {
        self.account.borrow().memory_use()
    }

    async fn admit(self: &Rc<Self>, cost: ConnectionCost) -> Rc<ConnectionPermit> {
        loop {
            let mut returned = std::pin::pin!(self.returned.notified());
            returned.as_mut().enable();
            let mut evicted = Vec::new();
            let now = self.clock.now();
            let number = self.account.borrow_mut().add(now, cost.idle, &mut evicted);
            self.evict(&evicted);
            if let Some(number) = number {
                let notify = Rc::new(Notify::new());
                self.evictions.borrow_mut().insert(number, Rc::clone(&notify));
                self.update_gauge();
                return Rc::new(ConnectionPermit::open(self, number, cost, notify));
            }
            // Everything that is left is being served.
            tokio::select! {
                () = returned => {}
                () = sleep(ACCEPT_RETRY_PAUSE) => {}
            }
        }
    }

    /// Makes room after the system could not accept a connection.
    async fn recover(&self, error: &io::Error) {
        let victim = self.account.borrow_mut().evict_one(self.clock.now());
        self.evict(victim.as_slice());
        if self.may_log() {
            warn!(self.logger, "can't accept a connection"; "listener" => self.kind.label(),
                "error" => %error);
        }
        sleep(ACCEPT_RETRY_PAUSE).await;
    }

    /// Tells connections that they are closed for others.
    fn evict(&self, numbers: &[ConnectionNumber]) {
        if numbers.is_empty() {
            return;
        }
        for number in numbers {
            if let Some(notify) = self.evictions.borrow_mut().remove(number) {
                notify.notify_one();
            }
        }
        self.evicted.inc_by(numbers.len() as u64);
        self.update_gauge();
        let memory_use = self.memory_use();
        let logged = self.logged.get();
        if self.may_log() {
            warn!(self.logger, "connections closed for others"; "listener" => self.kind.label(),
                "closed" => memory_use.evicted - logged.count,
                "connections" => memory_use.connections, "held_bytes" => memory_use.held_bytes,
                "limit_bytes" => memory_use.limit_bytes);
            let at = self.logged.get().at;
            self.logged.set(LoggedEvictions { at, count: memory_use.evicted });
        }
    }

    /// Returns whether a line may be logged now, and counts it as logged.
    fn may_log(&self) -> bool {
        let (now, logged) = (self.clock.now(), self.logged.get());
        let due = logged.at.is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        if due {
            self.logged.set(LoggedEvictions { at: Some(now), ..logged });
        }
        due
    }

    /// Counts bytes that were read after a last answer; returns whether more may be read now.
    fn may_linger(&self, bytes: usize) -> bool {
        let now = self.clock.now();
        let mut lingered = self.lingered.get();
        if now.since(lingered.since) >= MicroTime::from_millis(1_000) {
            lingered = LingeredBytes { since: now, bytes: 0 };
        }
        lingered.bytes += bytes;
        self.lingered.set(lingered);
        lingered.bytes <= MAX_LINGER_BYTES_PER_S
    }

    fn update_gauge(&self) {
        let connections = self.account.borrow().memory_use().connections;
        self.open_connections.set(i64::try_from(connections).unwrap_or(i64::MAX));
    }
}
