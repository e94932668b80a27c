//! Full exchanges of member records, and fetches of revisions, with one peer.

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

/// Maximum wait for one request to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum wait for a revision from a peer before it is read from the platform instead.
///
/// It is much shorter than the time within which a revision has to be in force everywhere.
const REVISION_FETCH_TIMEOUT: Duration = Duration::from_millis(700);

impl PeersDuty {
    /// Fetches differing records and a newer revision from a peer.
    ///
    /// Returns the number of the peer's revision, or of the own if that is not older; returns
    /// `None` if one of the requests fails.
    pub(super) async fn fetch_records_and_revision(
        self: Rc<Self>,
        peer: SocketAddr,
    ) -> Option<u64> {
        let client = self.connect(peer, "exchange").await?;
        let digests = self.membership.borrow().bucket_digests();
        let request = client.differing_records(tarpc::context::current(), digests);
        let records = timeout(PEER_TIMEOUT, request).await.ok()?.ok()?;
        self.step(MembershipEvent::RecordsReceived(records));
        Rc::clone(&self).fetch_newer_revision(&client, peer).await
    }

    /// Connects to a peer; counts the bytes to other data centres under `cause`.
    async fn connect(&self, peer: SocketAddr, cause: &str) -> Option<rpc::PeerRpcClient> {
        let byte_counter = self.cross_centre_counter(peer, cause);
        timeout(PEER_TIMEOUT, rpc::connect(peer, byte_counter)).await.ok()?
    }

    /// Fetches a peer's revision if it is newer, and offers it to the platform duty.
    ///
    /// Returns the number of the newer of the two revisions; returns `None` if the request
    /// fails or the body can't be decompressed.
    async fn fetch_newer_revision(
        self: Rc<Self>,
        client: &rpc::PeerRpcClient,
        peer: SocketAddr,
    ) -> Option<u64> {
        let own = self.active.borrow().as_ref().map_or(0, |active| active.head.revision);
        let request = client.newer_revision(tarpc::context::current(), own);
        let newer = timeout(PEER_TIMEOUT, request).await.ok()?.ok()?;
        let Some((head, body)) = newer else { return Some(own) };
        let revision = head.revision;
        match decompress(&body) {
            Ok(body) => {
                let offer = PlatformEvent::RevisionOffer { head, body: Bytes::from(body), peer };
                drop(self.rings.platform.push(offer));
                Some(revision)
            }
            Err(error) => {
                warn!(self.logger, "can't decompress revision from peer"; "revision" => revision,
                    "why" => %error);
                None
            }
        }
    }

    /// Fetches a peer's newer revision in the background, or lets the platform duty read it
    /// if that fails. Only one fetch runs at a time.
    pub(super) fn fetch_revision(self: &Rc<Self>, peer: SocketAddr) {
        if self.fetching_revision.replace(true) {
            return;
        }
        let duty = Rc::clone(self);
        spawn_local(async move {
            let fetched =
                timeout(REVISION_FETCH_TIMEOUT, Rc::clone(&duty).fetch_revision_from(peer)).await;
            if !matches!(fetched, Ok(Some(_revision))) {
                info!(duty.logger, "can't fetch revision from peer"; "peer" => %peer);
                drop(duty.rings.platform.push(PlatformEvent::Hint));
            }
            *duty.fetching_revision.borrow_mut() = false;
        });
    }

    async fn fetch_revision_from(self: Rc<Self>, peer: SocketAddr) -> Option<u64> {
        let client = self.connect(peer, "revision").await?;
        self.fetch_newer_revision(&client, peer).await
    }

    /// Exchanges all differing records with a peer in both directions.
    pub(super) async fn exchange_records(self: Rc<Self>, peer: SocketAddr) {
        let Some(client) = self.connect(peer, "exchange").await else { return };
        let digests = self.membership.borrow().bucket_digests();
        let request = client.differing_records(tarpc::context::current(), digests);
        let Ok(Ok(records)) = timeout(PEER_TIMEOUT, request).await else { return };
        self.step(MembershipEvent::RecordsReceived(records));
        let request = client.bucket_digests(tarpc::context::current());
        let Ok(Ok(peer_digests)) = timeout(PEER_TIMEOUT, request).await else { return };
        let records = self.membership.borrow().differing_records(&peer_digests);
        if !records.is_empty() {
            self.metrics.exchanged_records.inc_by(records.len() as u64);
            drop(
                timeout(PEER_TIMEOUT, client.merge_records(tarpc::context::current(), records))
                    .await,
            );
        }
    }
}
