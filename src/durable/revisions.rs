//! Where revisions come from, and how they are put in force.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use slog::{info, warn};

use super::{PlatformDuty, RETRY_PAUSES};
use crate::base::consts::{HEAD_POLL_BOUNDS, HEAD_POLLS_PER_S};
use crate::duty::events::{AdminEvent, EntryEvent, GuardEvent, PeersEvent};
use crate::rules::revision::{ActiveRevision, RevisionHead};
use crate::store::publish::{body_name, read_head};
use crate::store::table::{ConfigUpdate, OperatorConfig, PlatformError};

impl PlatformDuty {
    /// Waits for the operator's configurations while this daemon follows the
    /// store; reads the newest when told that there is one.
    pub(super) async fn watch_operator(self: Rc<Self>) {
        let mut following = self.following.subscribe();
        loop {
            // The value is locked as long as it is held: it must not be meanwhile.
            let in_turn = async { drop(following.wait_for(|follows| *follows).await) };
            tokio::select! {
                () = in_turn => self.follow_operator().await,
                () = self.poll_wake.notified() => {
                    let update = self.client.next_config(0).await;
                    self.count("read", &update);
                    match update {
                        Ok(update) => _ = self.take_update(update),
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
    pub(super) async fn follow_operator(&self) {
        let mut cursor = 0;
        let mut failures = 0;
        while *self.following.borrow() {
            let update = self.client.next_config(cursor).await;
            self.count("watch", &update);
            match update {
                Ok(update) => {
                    if failures > 0 {
                        info!(self.logger, "platform regained"; "failures" => failures);
                        self.tell_store(false);
                    }
                    failures = 0;
                    let still = update.cursor == cursor;
                    cursor = update.cursor;
                    let told = self.take_update(update);
                    if still && !told {
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

    /// Takes what the operator wrote; `false` if that is nothing.
    fn take_update(&self, update: ConfigUpdate) -> bool {
        let told = update.config.is_some() || update.evacuations.is_some();
        if let Some(why) = update.fault {
            warn!(self.logger, "configuration refused"; "why" => why);
        }
        if let Some(config) = update.config {
            self.adopt_operator(&config);
        }
        if let Some((version, evacuated)) = update.evacuations {
            let mut evacuation = self.evacuation.borrow_mut();
            evacuation.apply(version, evacuated);
            if self.rings.peers.push(PeersEvent::Evacuation(evacuation.clone())).is_err() {
                self.metrics.ring_drops.with_label_values(&["peers"]).inc();
            }
        }
        told
    }

    /// Tells the peers whether the store can be reached from here.
    pub(super) fn tell_store(&self, lost: bool) {
        if self.rings.peers.push(PeersEvent::StoreLost(lost)).is_err() {
            self.metrics.ring_drops.with_label_values(&["peers"]).inc();
        }
    }

    pub(super) fn adopt_operator(&self, operator: &OperatorConfig) {
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
    pub(super) async fn poll_heads(self: Rc<Self>) {
        loop {
            let head = read_head(&self.client).await;
            self.count("head", &head);
            if let Ok(Some((head, _))) = head {
                self.revisions.borrow_mut().note_head(&head);
            }
            self.fetch_missing().await;
            let pause = self.poll_pause();
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.poll_wake.notified() => {}
            }
        }
    }

    pub(super) fn poll_pause(&self) -> Duration {
        let (least, most) = HEAD_POLL_BOUNDS;
        let even = *self.fleet_size.borrow() as f64 / HEAD_POLLS_PER_S;
        let even = even.clamp(least.as_secs_f64(), most.as_secs_f64());
        // A daemon without a configuration can't serve, so it asks at once.
        let even = if self.revisions.borrow().active().is_none() { 0.3 } else { even };
        Duration::from_secs_f64(even * self.rng.borrow_mut().random_range(0.5..1.5))
    }

    pub(super) async fn fetch_missing(&self) {
        let Some(head) = self.revisions.borrow().head_to_fetch().cloned() else { return };
        let object = self.client.object(&body_name(&head.hash)).await;
        self.count("body", &object);
        match object {
            Ok(Some(body)) => self.adopt(&head, &body),
            Ok(None) => warn!(self.logger, "body missing"; "revision" => head.revision),
            Err(_down) => {}
        }
    }

    /// Puts a body in force and tells the other duties.
    pub(super) fn adopt(&self, head: &RevisionHead, body: &[u8]) {
        let mut revisions = self.revisions.borrow_mut();
        match revisions.adopt(head, body) {
            Ok(active) => {
                info!(self.logger, "revision in force"; "revision" => head.revision);
                self.broadcast(active);
            }
            Err(refusal) => {
                drop(revisions);
                if refusal != crate::rules::revision::AdoptError::Older {
                    warn!(self.logger, "revision refused"; "revision" => head.revision, "why" => ?refusal);
                }
            }
        }
    }

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
