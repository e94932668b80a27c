//! The duty that keeps what must last in the platform: members, revisions, claims.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use slog::{Logger, info, warn};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::spawn_local;

use crate::base::clock::ProcessClock;
use crate::base::consts::{HEAD_POLL_BOUNDS, HEAD_POLLS_PER_S, MAX_CLAIM_BATCH};
use crate::base::metrics::DaemonMetrics;
use crate::base::ring::{RingInbox, RingSender};
use crate::decide::pace::CommitPace;
use crate::fleet::member::MemberRecord;
use crate::process::events::{AdminEvent, EntryEvent, GuardEvent, PeersEvent, PlatformEvent};
use crate::rules::publish::{body_name, read_head};
use crate::rules::revision::{ActiveRevision, RevisionHead, RevisionState};
use crate::store::claim::{ClaimReply, ClaimRequest, PendingWrite, parse_claim};
use crate::store::table::{
    CommitReply, ConfigNews, OperatorConfig, PlatformClient, PlatformError, TableWrite,
};

/// Start of the keys of member rows.
const MEMBER_PREFIX: &str = "member-";

/// Wait between two tries of the bootstrap.
const BOOTSTRAP_PAUSE: Duration = Duration::from_millis(500);

/// Time over which the daemons of a whole system that starts read the rows: each
/// that reads before another one wrote has to write a row itself.
const FIRST_SPREAD: Duration = Duration::from_millis(1_500);

/// Time that peers have to hand out a revision until the platform is asked.
const REVISION_PATIENCE: Duration = Duration::from_millis(700);

/// Failures that the wait before a member row is written again stands for.
const ROW_FAILURES: u32 = 4;

/// Tries of the bootstrap between two tries of the seeds.
const SEED_ROUNDS: u32 = 4;

/// Bounds of the wait before the platform is asked again after a failure.
const RETRY_PAUSES: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_200));

/// Writes kept for the end of an outage.
const MAX_PENDING_WRITES: usize = 10_000;

/// Where this duty's news go.
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
    /// Reads who is there, until that worked; then asks for a revision if no
    /// peer hands one out.
    async fn bootstrap(self: Rc<Self>, own: MemberRecord, first_start: bool) {
        if first_start {
            // All start at once: most are to find the rows of those before them.
            let spread = FIRST_SPREAD.mul_f64(self.rng.borrow_mut().random_range(0.0..1.0));
            tokio::time::sleep(spread).await;
        }
        for round in 0_u32.. {
            match self.read_members(&own).await {
                Ok(()) => break,
                Err(error) if round == 0 => {
                    warn!(self.logger, "platform down at start"; "error" => %error);
                }
                Err(_again) => {}
            }
            if round.is_multiple_of(SEED_ROUNDS) {
                self.tell_members(Vec::new(), false);
            }
            tokio::time::sleep(BOOTSTRAP_PAUSE).await;
        }
        loop {
            tokio::time::sleep(REVISION_PATIENCE).await;
            if self.revisions.borrow().active().is_some() {
                return;
            }
            self.poll_wake.notify_one();
        }
    }

    /// Reads the rows of the members and hands them on.
    async fn read_members(&self, own: &MemberRecord) -> Result<(), PlatformError> {
        let rows = self.client.rows(MEMBER_PREFIX).await;
        self.count("members", &rows);
        let mut members: Vec<MemberRecord> = Vec::new();
        for row in rows? {
            match serde_json::from_str::<MemberRecord>(&row.value) {
                Ok(record) => {
                    if record.host == own.host && same_place(&record, own) {
                        self.own_row.set(Some(row.version));
                    }
                    members.push(record);
                }
                Err(error) => {
                    warn!(self.logger, "member row unreadable"; "key" => row.key, "why" => %error);
                }
            }
        }
        info!(self.logger, "members read"; "count" => members.len());
        self.tell_members(members, true);
        Ok(())
    }

    fn tell_members(&self, members: Vec<MemberRecord>, reached: bool) {
        if self.rings.peers.push(PeersEvent::Bootstrap { members, reached }).is_err() {
            self.metrics.shed.with_label_values(&["peers"]).inc();
        }
    }

    /// Sees to it that a daemon that follows the store can be found there.
    ///
    /// Of two that know nobody and write at once, the later writer reads the
    /// other's row.
    async fn keep_row(self: Rc<Self>, own: MemberRecord) {
        let mut following = self.following.subscribe();
        loop {
            // Fails only when the duty itself is gone.
            if following.wait_for(|follows| *follows).await.is_err() {
                return;
            }
            if self.own_row.get().is_none() {
                match self.write_row(&own).await {
                    Ok(version) => self.own_row.set(Some(version)),
                    Err(_counted) => {
                        tokio::time::sleep(self.retry_pause(ROW_FAILURES)).await;
                        continue;
                    }
                }
                // Without it, who wrote a moment before would stay unknown until
                // one of the two is found by others.
                _ = self.read_members(&own).await;
            }
            if following.changed().await.is_err() {
                return;
            }
        }
    }

    async fn write_row(&self, own: &MemberRecord) -> Result<u64, PlatformError> {
        let value = serde_json::to_string(own);
        let value = value.map_err(|error| PlatformError::Bad { reason: error.to_string() })?;
        let write = TableWrite { key: member_key(own), expect: None, value: Some(value) };
        let written = self.client.commit(&[write]).await;
        self.count("announce", &written);
        Ok(written?.versions.first().copied().unwrap_or_default())
    }

    /// Removes the own row, unless a later life of this daemon wrote it anew.
    async fn withdraw(self: Rc<Self>, own: MemberRecord, done: oneshot::Sender<()>) {
        if let Some(version) = self.own_row.get() {
            let write = TableWrite { key: member_key(&own), expect: Some(version), value: None };
            self.count("withdraw", &self.client.commit(&[write]).await);
        }
        _ = done.send(());
    }

    /// Waits for the operator's configurations while this daemon follows the
    /// store; reads the newest when told that there is one.
    async fn watch_operator(self: Rc<Self>) {
        let mut following = self.following.subscribe();
        loop {
            // The value is locked as long as it is held: it must not be meanwhile.
            let in_turn = async { drop(following.wait_for(|follows| *follows).await) };
            tokio::select! {
                () = in_turn => self.follow_operator().await,
                () = self.poll_wake.notified() => {
                    let news = self.client.next_config(0).await;
                    self.count("read", &news);
                    match news {
                        Ok(ConfigNews { config: Some(config), .. }) => self.adopt_operator(&config),
                        Ok(_none_yet) => {}
                        // Gossip asks again as long as a peer has a newer one.
                        Err(error) => {
                            warn!(self.logger, "configuration not read"; "error" => %error);
                        }
                    }
                }
            }
        }
    }

    /// Takes one configuration after the other until others follow the store.
    async fn follow_operator(&self) {
        let mut cursor = 0;
        let mut failures = 0;
        while *self.following.borrow() {
            let news = self.client.next_config(cursor).await;
            self.count("watch", &news);
            match news {
                Ok(news) => {
                    if failures > 0 {
                        info!(self.logger, "platform regained"; "failures" => failures);
                        self.tell_store(false);
                    }
                    failures = 0;
                    let empty = news.config.is_none() && news.cursor == cursor;
                    cursor = news.cursor;
                    if let Some(config) = news.config {
                        self.adopt_operator(&config);
                    } else if empty {
                        // A platform that answers at once must not be asked without pause.
                        tokio::time::sleep(RETRY_PAUSES.0).await;
                    }
                }
                Err(error) => {
                    if failures == 0 {
                        warn!(self.logger, "platform lost"; "error" => %error, "cursor" => cursor);
                        self.tell_store(true);
                    }
                    failures += 1;
                    if matches!(error, PlatformError::Bad { .. }) {
                        cursor = 0;
                    }
                    tokio::time::sleep(self.retry_pause(failures)).await;
                }
            }
        }
    }

    /// Tells the peers whether the store can be reached from here.
    fn tell_store(&self, lost: bool) {
        if self.rings.peers.push(PeersEvent::StoreLost(lost)).is_err() {
            self.metrics.shed.with_label_values(&["peers"]).inc();
        }
    }

    /// Returns a wait that grows with the failures and differs between daemons.
    fn retry_pause(&self, failures: u32) -> Duration {
        let (least, most) = RETRY_PAUSES;
        let grown = least * 2_u32.pow(failures.min(8));
        grown.min(most).mul_f64(self.rng.borrow_mut().random_range(0.5..1.0))
    }

    fn adopt_operator(&self, operator: &OperatorConfig) {
        if operator.revision <= self.revisions.borrow().number() {
            return;
        }
        let body = match serde_json::to_vec(&operator.config) {
            Ok(body) => body,
            Err(error) => {
                warn!(self.logger, "revision refused"; "revision" => operator.revision, "why" => %error);
                return;
            }
        };
        let head = RevisionHead {
            revision: operator.revision,
            hash: blake3::hash(&body).to_hex().to_string(),
            publish: String::new(),
            operator: String::new(),
        };
        self.adopt(&head, &body);
    }

    /// Polls the head, more rarely the larger the fleet.
    async fn poll_heads(self: Rc<Self>) {
        loop {
            let head = read_head(&self.client).await;
            self.count("head", &head);
            if let Ok(Some((head, _))) = head {
                self.revisions.borrow_mut().hear(&head);
            }
            self.fetch_missing().await;
            let pause = self.poll_pause();
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.poll_wake.notified() => {}
            }
        }
    }

    fn poll_pause(&self) -> Duration {
        let (least, most) = HEAD_POLL_BOUNDS;
        let even = *self.fleet_size.borrow() as f64 / HEAD_POLLS_PER_S;
        let even = even.clamp(least.as_secs_f64(), most.as_secs_f64());
        // A daemon without a configuration can't serve, so it asks at once.
        let even = if self.revisions.borrow().active().is_none() { 0.3 } else { even };
        Duration::from_secs_f64(even * self.rng.borrow_mut().random_range(0.5..1.5))
    }

    async fn fetch_missing(&self) {
        let Some(head) = self.revisions.borrow().missing().cloned() else { return };
        let object = self.client.object(&body_name(&head.hash)).await;
        self.count("body", &object);
        match object {
            Ok(Some(body)) => self.adopt(&head, &body),
            Ok(None) => warn!(self.logger, "body missing"; "revision" => head.revision),
            Err(_down) => {}
        }
    }

    /// Puts a body in force and tells the other duties.
    fn adopt(&self, head: &RevisionHead, body: &[u8]) {
        let mut revisions = self.revisions.borrow_mut();
        match revisions.adopt(head, body) {
            Ok(active) => {
                info!(self.logger, "revision in force"; "revision" => head.revision);
                self.broadcast(active);
            }
            Err(refusal) => {
                drop(revisions);
                if refusal != crate::rules::revision::AdoptRefusal::Older {
                    warn!(self.logger, "revision refused"; "revision" => head.revision, "why" => ?refusal);
                }
            }
        }
    }

    fn broadcast(&self, active: &ActiveRevision) {
        let rings = &self.rings;
        let entry = rings.entry.push(EntryEvent::Config(active.clone())).is_ok();
        let peers = rings.peers.push(PeersEvent::Config(active.clone())).is_ok();
        let admin = rings.admin.push(AdminEvent::Config(active.head.clone())).is_ok();
        let guard = rings.guard.push(GuardEvent::Config(Arc::clone(&active.config))).is_ok();
        if !(entry && peers && admin && guard) {
            self.metrics.shed.with_label_values(&["platform"]).inc();
        }
    }

    /// Writes claims and outcomes, as many in one transaction as came meanwhile.
    async fn commit_all(self: Rc<Self>) {
        loop {
            let batch = self.next_batch();
            if batch.is_empty() {
                self.pending_wake.notified().await;
                continue;
            }
            self.commit_batch(batch).await;
            let pause = self.pace.borrow().pause();
            tokio::time::sleep(pause.duration()).await;
        }
    }

    fn keep(&self, pending: PendingWrite) {
        let mut queue = self.pending.borrow_mut();
        if queue.len() >= MAX_PENDING_WRITES {
            self.metrics.shed.with_label_values(&["platform_writes"]).inc();
            return;
        }
        queue.push_back(pending);
        self.pending_wake.notify_one();
    }

    fn keep_write(&self, write: TableWrite) {
        self.keep(PendingWrite::Outcome(write));
    }

    /// Takes writes of different rows; a second one of a row waits its turn.
    fn next_batch(&self) -> Vec<PendingWrite> {
        let down = self.pace.borrow().is_down(self.clock.now());
        let mut queue = self.pending.borrow_mut();
        let mut batch: Vec<PendingWrite> = Vec::new();
        let mut later = VecDeque::new();
        while let Some(pending) = queue.pop_front() {
            // While the table is down one claim at a time tries whether it is back.
            let hopeless = down && !batch.is_empty();
            let Some(pending) = pending.still_wanted(hopeless) else { continue };
            let twin = batch.iter().chain(&later).any(|other| other.key() == pending.key());
            if twin || batch.len() >= MAX_CLAIM_BATCH {
                later.push_back(pending);
            } else {
                batch.push(pending);
            }
        }
        *queue = later;
        batch
    }

    async fn commit_batch(&self, mut batch: Vec<PendingWrite>) {
        while !batch.is_empty() {
            let writes: Vec<TableWrite> = batch.iter().map(PendingWrite::write).collect();
            let reply = self.client.commit(&writes).await;
            self.count("commit", &reply);
            self.metrics.claims.with_label_values(&["transactions"]).inc();
            self.metrics.claims.with_label_values(&["writes"]).inc_by(batch.len() as u64);
            batch = match reply {
                Ok(reply) => {
                    self.pace.borrow_mut().accept();
                    self.sort_out(batch, &reply)
                }
                Err(PlatformError::Lost { .. }) => return self.read_back(batch).await,
                Err(_down) => {
                    self.pace.borrow_mut().refuse(self.clock.now());
                    return self.put_back(batch);
                }
            };
        }
    }

    /// Ends the writes that a transaction decided; returns those to try again.
    fn sort_out(&self, batch: Vec<PendingWrite>, reply: &CommitReply) -> Vec<PendingWrite> {
        if reply.committed {
            for (pending, version) in batch.into_iter().zip(&reply.versions) {
                if let PendingWrite::Claim(request) = pending {
                    self.hold(request, *version);
                }
            }
            return Vec::new();
        }
        let mut rest = Vec::new();
        for mut pending in batch {
            let conflict = reply.conflicts.iter().find(|row| row.key == pending.key());
            let missing = reply.missing.iter().any(|key| key == pending.key());
            match (&mut pending, conflict) {
                (PendingWrite::Claim(_), Some(row)) => pending.found(row),
                (PendingWrite::Claim(request), None) if missing => {
                    // The row to take over was released meanwhile.
                    request.expect = 0;
                    rest.push(pending);
                }
                // An outcome that conflicts was written before, or is void.
                (PendingWrite::Outcome(_), Some(_)) => {}
                (PendingWrite::Outcome(_), None) if missing => {}
                _ => rest.push(pending),
            }
        }
        rest
    }

    /// Settles writes whose commit's answer was lost.
    async fn read_back(&self, batch: Vec<PendingWrite>) {
        for pending in batch {
            let PendingWrite::Claim(request) = pending else {
                self.keep(pending);
                continue;
            };
            let row = self.client.row(&request.key).await;
            self.count("read_back", &row);
            match row {
                Ok(Some(row)) => {
                    let own = parse_claim(&row).is_some_and(|found| found.call == request.row.call);
                    if own {
                        self.hold(request, row.version);
                    } else {
                        PendingWrite::Claim(request).found(&row);
                    }
                }
                // The write may still come; the call must not run on it.
                Ok(None) | Err(_) => drop(request.reply.send(ClaimReply::Failed)),
            }
        }
    }

    /// Hands out a claim, or releases it if nobody waits for it any more.
    fn hold(&self, request: ClaimRequest, version: u64) {
        let key = request.key;
        if request.reply.send(ClaimReply::Held(version)).is_err() {
            self.keep_write(TableWrite { key, expect: Some(version), value: None });
        }
    }

    fn put_back(&self, batch: Vec<PendingWrite>) {
        let mut queue = self.pending.borrow_mut();
        for pending in batch.into_iter().rev() {
            queue.push_front(pending);
        }
    }

    fn count<T>(&self, kind: &str, result: &Result<T, PlatformError>) {
        let end = match result {
            Ok(_) => "ok",
            Err(PlatformError::Down { .. }) => "down",
            Err(PlatformError::Lost { .. }) => "lost",
            Err(PlatformError::Bad { .. }) => "bad",
        };
        self.metrics.platform.with_label_values(&[&format!("{kind}_{end}")]).inc();
    }

    fn dump(&self) -> Value {
        let revisions = self.revisions.borrow();
        json!({
            "revision": revisions.active().map(|active| &active.head),
            "missing": revisions.missing(),
            "writes_waiting": self.pending.borrow().len(),
            "write_pause_ms": self.pace.borrow().pause().0 as f64 / 1_000.0,
            "platform_down": self.pace.borrow().is_down(self.clock.now()),
            "fleet_size": *self.fleet_size.borrow(),
        })
    }
}

/// Tells whether two records of a host name the same addresses.
fn same_place(left: &MemberRecord, right: &MemberRecord) -> bool {
    (left.guard, left.peer, left.caller) == (right.guard, right.peer, right.caller)
}

fn member_key(own: &MemberRecord) -> String {
    format!("{MEMBER_PREFIX}{}", own.host)
}
