//! What a daemon fetches from one peer: all that differs, and a newer revision.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use slog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::{PeersDuty, rpc};
use crate::duty::events::PlatformEvent;
use crate::fleet::membership::MembershipEvent;
use crate::rules::revision::decompress;

/// Longest wait for one peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for a revision from a peer, until the platform is asked: well
/// within the time in which a revision has to be in force everywhere.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);

impl PeersDuty {
    /// Exchanges everything with one peer; returns its revision.
    pub(super) async fn meet(self: Rc<Self>, peer: SocketAddr) -> Option<u64> {
        let client = self.connect(peer, "exchange").await?;
        let digests = self.membership.borrow().bucket_digests();
        let asked = client.exchange(tarpc::context::current(), digests);
        let records = timeout(PEER_TIMEOUT, asked).await.ok()?.ok()?;
        self.step(MembershipEvent::Learn(records));
        Rc::clone(&self).take_revision(&client).await
    }

    async fn connect(&self, peer: SocketAddr, cause: &str) -> Option<rpc::PeerCallsClient> {
        let crossing = self.crossing_counter(peer, cause);
        timeout(PEER_TIMEOUT, rpc::connect(peer, crossing)).await.ok()?
    }

    /// Takes a peer's revision if it is newer; returns its number.
    async fn take_revision(self: Rc<Self>, client: &rpc::PeerCallsClient) -> Option<u64> {
        let own = self.active.borrow().as_ref().map_or(0, |active| active.head.revision);
        let asked = client.revision(tarpc::context::current(), own);
        let offer = timeout(PEER_TIMEOUT, asked).await.ok()?.ok()?;
        let Some((head, body)) = offer else { return Some(own) };
        let revision = head.revision;
        match decompress(&body) {
            Ok(body) => {
                let offer = PlatformEvent::Offer { head, body: Bytes::from(body) };
                drop(self.rings.platform.push(offer));
                Some(revision)
            }
            Err(error) => {
                warn!(self.logger, "revision refused"; "revision" => revision, "why" => %error);
                None
            }
        }
    }

    pub(super) fn fetch_revision(self: &Rc<Self>, peer: SocketAddr) {
        if self.fetching.replace(true) {
            return;
        }
        let duty = Rc::clone(self);
        spawn_local(async move {
            let fetched = timeout(FETCH_TIMEOUT, Rc::clone(&duty).fetch_from(peer)).await;
            if !matches!(fetched, Ok(Some(_revision))) {
                info!(duty.logger, "revision not fetched"; "peer" => %peer);
                drop(duty.rings.platform.push(PlatformEvent::Hint));
            }
            *duty.fetching.borrow_mut() = false;
        });
    }

    async fn fetch_from(self: Rc<Self>, peer: SocketAddr) -> Option<u64> {
        let client = self.connect(peer, "revision").await?;
        self.take_revision(&client).await
    }

    /// Exchanges all differing records with a peer, both ways.
    pub(super) async fn exchange(self: Rc<Self>, peer: SocketAddr) {
        let Some(client) = self.connect(peer, "exchange").await else { return };
        let digests = self.membership.borrow().bucket_digests();
        let asked = client.exchange(tarpc::context::current(), digests);
        let Ok(Ok(records)) = timeout(PEER_TIMEOUT, asked).await else { return };
        self.step(MembershipEvent::Learn(records));
        let theirs = client.digests(tarpc::context::current());
        let Ok(Ok(theirs)) = timeout(PEER_TIMEOUT, theirs).await else { return };
        let offer = self.membership.borrow().differing(&theirs);
        if !offer.is_empty() {
            self.metrics.exchanged_records.inc_by(offer.len() as u64);
            drop(timeout(PEER_TIMEOUT, client.learn(tarpc::context::current(), offer)).await);
        }
    }
}
