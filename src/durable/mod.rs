//! The duty that reads and writes the platform's store: member rows, configuration
//! revisions, claims and outcomes.

mod commits;
mod operator_config;
mod revisions;
mod rows;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use slog::Logger;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;

use crate::base::clock::ProcessClock;
use crate::base::evacuation::EvacuationState;
use crate::base::member::MemberRecord;
use crate::base::metrics::DaemonMetrics;
use crate::decide::commit_backoff::CommitBackoff;
use crate::durable::revisions::{PendingDelivery, RevisionSource};
use crate::duty::confirmation::SharedConfirmation;
use crate::duty::events::{
    AdminEvent, EntryEvent, GuardEvent, PeersEvent, PlatformEvent, StoreRole,
};
use crate::duty::ring::{RingInbox, RingSender};
use crate::rules::revision::RevisionState;
use crate::store::claim::PendingWrite;
use crate::store::table::{PlatformClient, PlatformError};

/// Minimum and maximum wait before a request to the platform is retried after a failure.
const RETRY_PAUSE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_200));

/// Senders of the events that this duty passes to the other duties.
#[derive(Debug)]
pub(crate) struct PlatformRings {
    pub(crate) guard: RingSender<GuardEvent>,
    pub(crate) entry: RingSender<EntryEvent>,
    pub(crate) peers: RingSender<PeersEvent>,
    pub(crate) admin: RingSender<AdminEvent>,
}

/// Source of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfigSource {
    /// The head row that `railspan publish` writes.
    Published,
    /// The configuration that the operator of a deployment writes to the platform.
    Operator,
}

/// State that the tasks of the duty share.
struct PlatformDuty {
    client: PlatformClient,
    revisions: RefCell<RevisionState>,
    /// The evacuated data centres as this daemon last read them from the store.
    evacuation: RefCell<EvacuationState>,
    /// Writes that wait for a transaction.
    pending_writes: RefCell<VecDeque<PendingWrite>>,
    /// Notified when a write is queued.
    pending_wake: Notify,
    /// Whether writes are queued or in a transaction.
    has_writes: watch::Sender<bool>,
    commit_backoff: RefCell<CommitBackoff>,
    clock: ProcessClock,
    /// Notified to read the configuration at once.
    poll_wake: Notify,
    /// Part of this daemon in reading the store for the fleet.
    role: watch::Sender<StoreRole>,
    /// Number of the revision in force, or zero.
    in_force: watch::Sender<u64>,
    /// What other duties have not taken yet.
    undelivered: RefCell<BTreeSet<PendingDelivery>>,
    /// Notified when there are any.
    undelivered_wake: Notify,
    /// Notified when a request shows that open connections to the store are silent.
    silence_found: Notify,
    /// Whether the peers duty was told that the store can't be reached.
    store_lost: Cell<bool>,
    /// Version of the own member row, if the store has one that is up to date.
    own_row_version: Cell<Option<u64>>,
    /// What this daemon knows of the store's newest revision.
    confirmation: SharedConfirmation,
    fleet_size: RefCell<usize>,
    rng: RefCell<Pcg64Mcg>,
    metrics: Arc<DaemonMetrics>,
    rings: PlatformRings,
    logger: Logger,
}

/// Inputs of [`run`].
#[derive(Debug)]
pub(crate) struct PlatformParts {
    pub(crate) client: PlatformClient,
    /// Member record of this daemon.
    pub(crate) own: MemberRecord,
    pub(crate) rng_seed: u64,
    pub(crate) source: ConfigSource,
    /// Whether the whole fleet starts for the first time, so that many daemons read the rows
    /// at once.
    pub(crate) first_start: bool,
    /// Shared with the other duties of this daemon.
    pub(crate) confirmation: SharedConfirmation,
}

/// Runs the duty until its runtime ends.
pub(crate) async fn run(
    parts: PlatformParts,
    mut inbox: RingInbox<PlatformEvent>,
    rings: PlatformRings,
    metrics: Arc<DaemonMetrics>,
    logger: Logger,
) {
    let PlatformParts { client, own, rng_seed, source, first_start, confirmation } = parts;
    let duty = Rc::new(PlatformDuty {
        client,
        revisions: RefCell::default(),
        evacuation: RefCell::default(),
        pending_writes: RefCell::default(),
        pending_wake: Notify::new(),
        has_writes: watch::Sender::new(false),
        commit_backoff: RefCell::new(CommitBackoff::open()),
        clock: ProcessClock::open(),
        poll_wake: Notify::new(),
        role: watch::Sender::default(),
        in_force: watch::Sender::default(),
        undelivered: RefCell::default(),
        undelivered_wake: Notify::new(),
        silence_found: Notify::new(),
        store_lost: Cell::new(false),
        own_row_version: Cell::new(None),
        confirmation,
        fleet_size: RefCell::new(1),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(rng_seed)),
        metrics,
        rings,
        logger,
    });
    spawn_local(Rc::clone(&duty).bootstrap(own.clone(), first_start));
    spawn_local(Rc::clone(&duty).maintain_member_row(own.clone()));
    match source {
        ConfigSource::Published => spawn_local(Rc::clone(&duty).poll_heads()),
        ConfigSource::Operator => {
            spawn_local(Rc::clone(&duty).watch_operator_config());
            spawn_local(Rc::clone(&duty).keep_config_current())
        }
    };
    spawn_local(Rc::clone(&duty).commit_loop());
    spawn_local(Rc::clone(&duty).repeat_deliveries());
    loop {
        match inbox.next().await {
            PlatformEvent::Claim(request) => duty.enqueue(PendingWrite::Claim(request)),
            PlatformEvent::Write(write) => duty.enqueue_write(write),
            PlatformEvent::RevisionOffer { head, body, peer } => {
                duty.adopt(&head, &body, RevisionSource::Peer(peer));
            }
            PlatformEvent::Hint => duty.poll_wake.notify_one(),
            PlatformEvent::StoreRole(role) => _ = duty.role.send_replace(role),
            PlatformEvent::FleetSize(size) => *duty.fleet_size.borrow_mut() = size,
            PlatformEvent::Dump(reply) => drop(reply.send(duty.dump())),
            PlatformEvent::FinishWrites(done) => {
                spawn_local(Rc::clone(&duty).finish_writes(done));
            }
            PlatformEvent::RemoveMemberRow(done) => {
                spawn_local(Rc::clone(&duty).remove_member_row(own.clone(), done));
            }
        }
    }
}

impl PlatformDuty {
    /// Returns the wait before a retry: exponential in the number of failures, with jitter.
    fn retry_pause(&self, failures: u32) -> Duration {
        let (shortest, longest) = RETRY_PAUSE_BOUNDS;
        let pause = shortest * 2_u32.pow(failures.min(8));
        pause.min(longest).mul_f64(self.rng.borrow_mut().random_range(0.5..1.0))
    }

    /// Counts a request to the platform by its kind and result.
    fn count<T>(&self, kind: &str, result: &Result<T, PlatformError>) {
        let result = match result {
            Ok(_) => "ok",
            Err(PlatformError::Unavailable { .. }) => "down",
            Err(PlatformError::ReplyLost { .. }) => "lost",
            Err(PlatformError::InvalidData { .. }) => "bad",
        };
        self.metrics.platform_calls.with_label_values(&[&format!("{kind}_{result}")]).inc();
    }

    /// Returns the duty's state, as JSON.
    fn dump(&self) -> Value {
        let revisions = self.revisions.borrow();
        json!({
            "revision": revisions.active().map(|active| &active.head),
            "missing": revisions.head_to_fetch(),
            "evacuation": *self.evacuation.borrow(),
            "writes_waiting": self.pending_writes.borrow().len(),
            "write_pause_ms": self.commit_backoff.borrow().delay().0 as f64 / 1_000.0,
            "platform_down": self.commit_backoff.borrow().is_down(self.clock.now()),
            "fleet_size": *self.fleet_size.borrow(),
        })
    }
}
