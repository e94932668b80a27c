//! Reading configuration revisions from the platform, and putting them in force.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use slog::{info, warn};

use super::{PlatformDuty, RETRY_PAUSE_BOUNDS};
use crate::base::clock::MicroTime;
use crate::base::consts::{HEAD_POLL_BOUNDS, HEAD_POLLS_PER_S};
use crate::decide::revocation::{ReadChain, StoreRead};
use crate::duty::events::{AdminEvent, EntryEvent, GuardEvent, PeersEvent};
use crate::rules::revision::{ActiveRevision, RevisionHead};
use crate::store::publish::{body_name, read_head};
use crate::store::table::{ConfigPosition, ConfigUpdate, OperatorConfig, PlatformError};

/// Maximum wait of a feed request if revocations have a bound: it confirms only the time at which
/// it started, so a long wait would leave no time to pass the confirmation on.
const STRICT_FEED_WAIT: Duration = Duration::from_millis(500);

/// Where a daemon got a revision from.
#[derive(Clone, Copy, Debug)]
pub(super) enum RevisionSource {
    /// The platform's store.
    Store,
    /// The peer with this address.
    Peer(SocketAddr),
}

impl fmt::Display for RevisionSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Peer(address) => address.fmt(f),
        }
    }
}

impl PlatformDuty {
    /// Watches the operator's configuration while this daemon follows the store.
    ///
    /// Otherwise reads the current configuration when a hint says that a newer one exists.
    pub(super) async fn watch_operator_config(self: Rc<Self>) {
        let mut following = self.following.subscribe();
        loop {
            // `wait_for` returns a guard that locks the value: it is dropped before the
            // store is followed.
            let follows = async { drop(following.wait_for(|follows| *follows).await) };
            tokio::select! {
                () = follows => self.follow_operator_config().await,
                () = self.poll_wake.notified() => {
                    let started_at = self.confirmation.now();
                    let update = self.client.next_config(ConfigPosition::default()).await;
                    self.count("read", &update);
                    match update {
                        Ok(update) => {
                            let mut chain = ReadChain::default();
                            chain.record(store_read(0, &update));
                            self.apply_update(update);
                            self.confirm(&chain, started_at);
                        }
                        // Gossip repeats the hint as long as a peer has a newer revision.
                        Err(error) => {
                            warn!(self.logger, "can't read configuration"; "error" => %error);
                        }
                    }
                }
            }
        }
    }

    /// Reads the operator's configuration and its changes until this daemon no longer
    /// follows the store.
    pub(super) async fn follow_operator_config(&self) {
        let mut failures = 0;
        let mut chain = ReadChain::default();
        while *self.following.borrow() {
            let is_strict = self.confirmation.lock().is_strict();
            let max_wait = is_strict.then_some(STRICT_FEED_WAIT);
            let cursor = chain.next_position(is_strict);
            let started_at = self.confirmation.now();
            let update = self.client.next_config(ConfigPosition { after: cursor, max_wait }).await;
            self.count("watch", &update);
            match update {
                Ok(update) => {
                    if failures > 0 {
                        info!(self.logger, "platform available again"; "failures" => failures);
                        self.send_store_lost(false);
                    }
                    failures = 0;
                    let cursor_unchanged = update.cursor == cursor;
                    chain.record(store_read(cursor, &update));
                    let starts_again = is_strict && chain.next_position(is_strict) == 0;
                    let has_changes = self.apply_update(update);
                    self.confirm(&chain, started_at);
                    if starts_again || (cursor_unchanged && !has_changes) {
                        // The platform replied at once instead of waiting for a change: pause, so
                        // that it isn't requested in a tight loop.
                        tokio::time::sleep(RETRY_PAUSE_BOUNDS.0).await;
                    }
                }
                Err(error) => {
                    if failures == 0 {
                        warn!(self.logger, "platform unavailable"; "error" => %error,
                            "cursor" => cursor);
                        self.send_store_lost(true);
                    }
                    failures += 1;
                    if matches!(error, PlatformError::InvalidData { .. }) {
                        chain = ReadChain::default();
                    }
                    tokio::time::sleep(self.retry_pause(failures)).await;
                }
            }
        }
    }

    /// Records what a read of the store that started at `started_at` proves.
    ///
    /// A feed that waited for changes proves what the store held when it was requested; nothing
    /// is known about the time until its reply arrived.
    fn confirm(&self, chain: &ReadChain, started_at: MicroTime) {
        if let Some(revision) = chain.newest_revision() {
            self.confirmation.confirm(revision, started_at);
        }
    }

    /// Applies an update; returns whether it has a new configuration or evacuation changes.
    fn apply_update(&self, update: ConfigUpdate) -> bool {
        let has_changes = update.config.is_some() || update.evacuations.is_some();
        if let Some(why) = update.config_error {
            warn!(self.logger, "invalid configuration"; "why" => why);
        }
        if let Some(config) = update.config {
            self.adopt_operator_config(&config);
        }
        if let Some((version, evacuated)) = update.evacuations {
            let mut evacuation = self.evacuation.borrow_mut();
            evacuation.apply(version, evacuated);
            if self.rings.peers.push(PeersEvent::Evacuation(evacuation.clone())).is_err() {
                self.metrics.ring_drops.with_label_values(&["peers"]).inc();
            }
        }
        has_changes
    }

    /// Informs the peers duty whether the store is unreachable from this host.
    pub(super) fn send_store_lost(&self, lost: bool) {
        if self.rings.peers.push(PeersEvent::StoreLost(lost)).is_err() {
            self.metrics.ring_drops.with_label_values(&["peers"]).inc();
        }
    }

    /// Puts the operator's configuration in force if it is newer than the revision in force.
    pub(super) fn adopt_operator_config(&self, operator: &OperatorConfig) {
        if operator.revision <= self.revisions.borrow().number() {
            return;
        }
        let body = match serde_json::to_vec(&operator.config) {
            Ok(body) => body,
            Err(error) => {
                warn!(self.logger, "can't encode configuration"; "revision" => operator.revision,
                    "why" => %error);
                return;
            }
        };
        let head = RevisionHead {
            revision: operator.revision,
            hash: blake3::hash(&body).to_hex().to_string(),
            publish: String::new(),
            operator: String::new(),
        };
        self.adopt(&head, &body, RevisionSource::Store);
    }

    /// Polls the head row, less often the larger the fleet is.
    pub(super) async fn poll_heads(self: Rc<Self>) {
        loop {
            let head = read_head(&self.client).await;
            self.count("head", &head);
            if let Ok(Some((head, _))) = head {
                self.revisions.borrow_mut().note_head(&head);
            }
            self.fetch_missing_body().await;
            let pause = self.poll_pause();
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.poll_wake.notified() => {}
            }
        }
    }

    /// Returns the wait until the next poll, with jitter.
    ///
    /// It keeps the rate of polls of the whole fleet constant, within bounds.
    pub(super) fn poll_pause(&self) -> Duration {
        let (shortest, longest) = HEAD_POLL_BOUNDS;
        let mean_s = *self.fleet_size.borrow() as f64 / HEAD_POLLS_PER_S;
        let mean_s = mean_s.clamp(shortest.as_secs_f64(), longest.as_secs_f64());
        // A daemon can't serve without a configuration, so it polls quickly.
        let mean_s = if self.revisions.borrow().active().is_none() { 0.3 } else { mean_s };
        Duration::from_secs_f64(mean_s * self.rng.borrow_mut().random_range(0.5..1.5))
    }

    /// Fetches the body of the newest head and puts it in force, unless it is already.
    pub(super) async fn fetch_missing_body(&self) {
        let Some(head) = self.revisions.borrow().head_to_fetch().cloned() else { return };
        let object = self.client.object(&body_name(&head.hash)).await;
        self.count("body", &object);
        match object {
            Ok(Some(body)) => self.adopt(&head, &body, RevisionSource::Store),
            Ok(None) => warn!(self.logger, "revision body not found"; "revision" => head.revision),
            Err(_counted) => {}
        }
    }

    /// Puts a revision in force and passes it to the other duties.
    pub(super) fn adopt(&self, head: &RevisionHead, body: &[u8], source: RevisionSource) {
        let mut revisions = self.revisions.borrow_mut();
        let replaced = revisions.number();
        match revisions.adopt(head, body) {
            Ok(active) => {
                info!(self.logger, "revision in force"; "revision" => head.revision,
                    "replaced" => replaced, "from" => %source, self.confirmation.age());
                self.broadcast(active);
            }
            Err(error) => {
                drop(revisions);
                if error != crate::rules::revision::AdoptError::Older {
                    warn!(self.logger, "revision rejected"; "revision" => head.revision,
                        "why" => ?error);
                }
            }
        }
    }

    /// Passes a revision to the other duties.
    pub(super) fn broadcast(&self, active: &ActiveRevision) {
        let rings = &self.rings;
        let entry = rings.entry.push(EntryEvent::Config(active.clone())).is_ok();
        let peers = rings.peers.push(PeersEvent::Config(active.clone())).is_ok();
        let admin = rings.admin.push(AdminEvent::Config(active.head.clone())).is_ok();
        let guard = rings.guard.push(GuardEvent::Config(Arc::clone(&active.config))).is_ok();
        if !(entry && peers && admin && guard) {
            self.metrics.ring_drops.with_label_values(&["platform"]).inc();
        }
    }
}

/// Returns what a read of the changes after a position, or of the whole state if that is zero,
/// has shown.
fn store_read(after: u64, update: &ConfigUpdate) -> StoreRead {
    let revision = update.config.as_ref().map(|config| config.revision);
    StoreRead { after, cursor: update.cursor, complete: update.complete, revision }
}
