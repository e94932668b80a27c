//! Reading configuration revisions from the platform, and putting them in force.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use slog::{info, warn};

use super::PlatformDuty;
use crate::base::consts::{HEAD_POLL_BOUNDS, HEAD_POLLS_PER_S};
use crate::duty::events::{AdminEvent, EntryEvent, GuardEvent, PeersEvent};
use crate::rules::revision::RevisionHead;
use crate::store::publish::{body_name, read_head};
use crate::store::table::{ConfigUpdate, OperatorConfig};

/// Pause before a revision is passed again to a duty whose ring was full.
const DELIVERY_PAUSE: Duration = Duration::from_millis(20);

/// Part of what this duty knows that another one needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PendingDelivery {
    EntryConfig,
    PeersConfig,
    AdminConfig,
    GuardConfig,
    Evacuation,
}

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
    /// Applies an update; returns whether it has a new configuration or evacuation changes.
    pub(super) fn apply_update(&self, update: ConfigUpdate) -> bool {
        let has_changes = update.config.is_some() || update.evacuations.is_some();
        if let Some(why) = update.config_error {
            warn!(self.logger, "invalid configuration"; "why" => why);
        }
        if let Some(config) = update.config {
            self.adopt_operator_config(&config);
        }
        if let Some((version, evacuated)) = update.evacuations {
            self.evacuation.borrow_mut().apply(version, evacuated);
            self.undelivered.borrow_mut().insert(PendingDelivery::Evacuation);
            self.deliver();
        }
        has_changes
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
            Ok(_active) => {
                info!(self.logger, "revision in force"; "revision" => head.revision,
                    "replaced" => replaced, "from" => %source, self.confirmation.age());
                self.in_force.send_replace(head.revision);
                drop(revisions);
                self.broadcast();
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

    /// Passes the revision in force to all other duties.
    fn broadcast(&self) {
        let deliveries = [
            PendingDelivery::EntryConfig,
            PendingDelivery::PeersConfig,
            PendingDelivery::AdminConfig,
            PendingDelivery::GuardConfig,
        ];
        self.undelivered.borrow_mut().extend(deliveries);
        self.deliver();
    }

    /// Passes on what the other duties have not taken yet, since their rings were full.
    fn deliver(&self) {
        self.undelivered.borrow_mut().retain(|delivery| {
            let is_taken = self.push(*delivery);
            if !is_taken {
                self.metrics.ring_drops.with_label_values(&["platform"]).inc();
            }
            !is_taken
        });
        if !self.undelivered.borrow().is_empty() {
            self.undelivered_wake.notify_one();
        }
    }

    /// Returns whether the other duty has taken a delivery.
    fn push(&self, delivery: PendingDelivery) -> bool {
        let rings = &self.rings;
        if delivery == PendingDelivery::Evacuation {
            let evacuation = self.evacuation.borrow().clone();
            return rings.peers.push(PeersEvent::Evacuation(evacuation)).is_ok();
        }
        let revisions = self.revisions.borrow();
        let Some(active) = revisions.active() else { return true };
        match delivery {
            PendingDelivery::EntryConfig => {
                rings.entry.push(EntryEvent::Config(active.clone())).is_ok()
            }
            PendingDelivery::PeersConfig => {
                rings.peers.push(PeersEvent::Config(active.clone())).is_ok()
            }
            PendingDelivery::AdminConfig => {
                rings.admin.push(AdminEvent::Config(active.head.clone())).is_ok()
            }
            PendingDelivery::GuardConfig => {
                rings.guard.push(GuardEvent::Config(Arc::clone(&active.config))).is_ok()
            }
            PendingDelivery::Evacuation => true,
        }
    }

    /// Repeats what the other duties have not taken until they have.
    pub(super) async fn repeat_deliveries(self: Rc<Self>) {
        loop {
            self.undelivered_wake.notified().await;
            tokio::time::sleep(DELIVERY_PAUSE).await;
            self.deliver();
        }
    }
}
