//! The duty that keeps what must last in the platform: members, revisions, claims.

mod commits;
mod revisions;
mod rows;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
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
use crate::decide::pace::CommitPace;
use crate::duty::events::{AdminEvent, EntryEvent, GuardEvent, PeersEvent, PlatformEvent};
use crate::duty::ring::{RingInbox, RingSender};
use crate::rules::revision::RevisionState;
use crate::store::claim::PendingWrite;
use crate::store::table::{PlatformClient, PlatformError};

/// Bounds of the wait before the platform is asked again after a failure.
const RETRY_PAUSES: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_200));

/// Where this duty's events go.
#[derive(Debug)]
pub(crate) struct PlatformRings {
    pub(crate) guard: RingSender<GuardEvent>,
    pub(crate) entry: RingSender<EntryEvent>,
    pub(crate) peers: RingSender<PeersEvent>,
    pub(crate) admin: RingSender<AdminEvent>,
}

/// Where configurations come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfigSource {
    /// The head that this system's own command publishes.
    Published,
    /// What the operator of a deployment writes.
    Operator,
}

struct PlatformDuty {
    client: PlatformClient,
    revisions: RefCell<RevisionState>,
    /// The evacuations as this daemon read them of the store.
    evacuation: RefCell<EvacuationState>,
    pending: RefCell<VecDeque<PendingWrite>>,
    pending_wake: Notify,
    pace: RefCell<CommitPace>,
    clock: ProcessClock,
    poll_wake: Notify,
    /// Whether this daemon follows the store for the fleet.
    following: watch::Sender<bool>,
    /// Version of the own member row, where there is one that is up to date.
    own_row: Cell<Option<u64>>,
    fleet_size: RefCell<usize>,
    rng: RefCell<Pcg64Mcg>,
    metrics: Arc<DaemonMetrics>,
    rings: PlatformRings,
    logger: Logger,
}

/// What the duty needs to run.
#[derive(Debug)]
pub(crate) struct DurableParts {
    pub(crate) client: PlatformClient,
    pub(crate) own: MemberRecord,
    pub(crate) seed: u64,
    pub(crate) source: ConfigSource,
    /// Whether the whole system starts for the first time.
    pub(crate) first_start: bool,
}

/// Runs the duty until the thread's runtime ends.
pub(crate) async fn run(
    parts: DurableParts,
    mut inbox: RingInbox<PlatformEvent>,
    rings: PlatformRings,
    metrics: Arc<DaemonMetrics>,
    logger: Logger,
) {
    let DurableParts { client, own, seed, source, first_start } = parts;
    let duty = Rc::new(PlatformDuty {
        client,
        revisions: RefCell::default(),
        evacuation: RefCell::default(),
        pending: RefCell::default(),
        pending_wake: Notify::new(),
        pace: RefCell::new(CommitPace::open()),
        clock: ProcessClock::open(),
        poll_wake: Notify::new(),
        following: watch::Sender::new(false),
        own_row: Cell::new(None),
        fleet_size: RefCell::new(1),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        metrics,
        rings,
        logger,
    });
    spawn_local(Rc::clone(&duty).bootstrap(own.clone(), first_start));
    spawn_local(Rc::clone(&duty).keep_row(own.clone()));
    match source {
        ConfigSource::Published => spawn_local(Rc::clone(&duty).poll_heads()),
        ConfigSource::Operator => spawn_local(Rc::clone(&duty).watch_operator()),
    };
    spawn_local(Rc::clone(&duty).commit_all());
    loop {
        match inbox.next().await {
            PlatformEvent::Claim(request) => duty.keep(PendingWrite::Claim(request)),
            PlatformEvent::Write(write) => duty.keep_write(write),
            PlatformEvent::Offer { head, body } => duty.adopt(&head, &body),
            PlatformEvent::Hint => duty.poll_wake.notify_one(),
            PlatformEvent::Follow(follows) => _ = duty.following.send_replace(follows),
            PlatformEvent::FleetSize(size) => *duty.fleet_size.borrow_mut() = size,
            PlatformEvent::Dump(reply) => drop(reply.send(duty.dump())),
            PlatformEvent::Leave(done) => {
                spawn_local(Rc::clone(&duty).withdraw(own.clone(), done));
            }
        }
    }
}

impl PlatformDuty {
    /// Returns a wait that grows with the failures and differs between daemons.
    fn retry_pause(&self, failures: u32) -> Duration {
        let (least, most) = RETRY_PAUSES;
        let grown = least * 2_u32.pow(failures.min(8));
        grown.min(most).mul_f64(self.rng.borrow_mut().random_range(0.5..1.0))
    }

    fn count<T>(&self, kind: &str, result: &Result<T, PlatformError>) {
        let end = match result {
            Ok(_) => "ok",
            Err(PlatformError::Down { .. }) => "down",
            Err(PlatformError::Lost { .. }) => "lost",
            Err(PlatformError::Bad { .. }) => "bad",
        };
        self.metrics.platform_calls.with_label_values(&[&format!("{kind}_{end}")]).inc();
    }

    fn dump(&self) -> Value {
        let revisions = self.revisions.borrow();
        json!({
            "revision": revisions.active().map(|active| &active.head),
            "missing": revisions.head_to_fetch(),
            "evacuation": *self.evacuation.borrow(),
            "writes_waiting": self.pending.borrow().len(),
            "write_pause_ms": self.pace.borrow().pause().0 as f64 / 1_000.0,
            "platform_down": self.pace.borrow().is_down(self.clock.now()),
            "fleet_size": *self.fleet_size.borrow(),
        })
    }
}
