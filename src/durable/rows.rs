//! Rows of members and of blamed requests.
//!
//! All of them are read when the daemon starts; the own member row is kept up to date while
//! this daemon follows the store.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use slog::{info, warn};
use tokio::sync::oneshot;

use super::PlatformDuty;
use crate::base::member::MemberRecord;
use crate::base::suspect::SuspectUpdate;
use crate::duty::events::{PeersEvent, SuspectSource};
use crate::store::blamed_requests;
use crate::store::table::{PlatformError, TableWrite};

/// Key prefix of all rows that a daemon reads when it starts.
const START_PREFIX: &str = "fleet-";

/// Maximum version of a member row: its daemon must be able to refute it with a greater one.
const MAX_STORED_VERSION: u64 = u64::MAX / 2;

/// Key prefix of member rows.
const MEMBER_PREFIX: &str = "fleet-member-";

/// Wait between two attempts to read the rows at the start.
const BOOTSTRAP_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum random delay before a daemon reads the rows when the whole fleet starts.
///
/// A daemon that finds too few rows has to write its own. With the delay, most daemons find
/// the rows of those that started before.
const FIRST_START_JITTER: Duration = Duration::from_millis(1_500);

/// Minimum and maximum wait of a daemon without a revision before it reads one from the
/// platform.
///
/// Peers usually provide a revision before that; later ones are spread by the daemons that
/// follow the store.
const REVISION_POLL_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(700), Duration::from_secs(20));

/// Number of failures that determines the wait before a member row is written again.
const ROW_RETRY_FAILURES: u32 = 4;

/// Attempts to read the rows between two attempts to join through the seed addresses.
const SEED_RETRY_ROUNDS: u32 = 4;

impl PlatformDuty {
    /// Reads the rows at the start, with retries; then requests a revision as long as no peer
    /// has provided one.
    pub(super) async fn bootstrap(self: Rc<Self>, own_record: MemberRecord, first_start: bool) {
        if first_start {
            // All daemons start at once; most of them should find the rows of earlier ones.
            let delay = FIRST_START_JITTER.mul_f64(self.rng.borrow_mut().random_range(0.0..1.0));
            tokio::time::sleep(delay).await;
        }
        for round in 0_u32.. {
            match self.read_start_rows(&own_record).await {
                Ok(()) => break,
                Err(error) if round == 0 => {
                    warn!(self.logger, "platform unavailable at start"; "error" => %error);
                }
                Err(_again) => {}
            }
            if round.is_multiple_of(SEED_RETRY_ROUNDS) {
                self.send_members(Vec::new(), false);
            }
            tokio::time::sleep(BOOTSTRAP_RETRY_INTERVAL).await;
        }
        let mut pause = REVISION_POLL_BOUNDS.0;
        while self.revisions.borrow().active().is_none() {
            tokio::time::sleep(pause).await;
            if self.revisions.borrow().active().is_none() {
                self.poll_wake.notify_one();
            }
            pause = (pause * 2).min(REVISION_POLL_BOUNDS.1);
        }
    }

    /// Reads the rows of members and blamed requests and passes them to the peers duty.
    pub(super) async fn read_start_rows(
        &self,
        own_record: &MemberRecord,
    ) -> Result<(), PlatformError> {
        let rows = self.client.rows(START_PREFIX).await;
        self.count("members", &rows);
        let rows = rows?;
        self.send_blamed(blamed_requests::parse_rows(&rows, &self.logger));
        let mut members: Vec<MemberRecord> = Vec::new();
        for row in rows.into_iter().filter(|row| row.key.starts_with(MEMBER_PREFIX)) {
            match serde_json::from_str::<MemberRecord>(&row.value) {
                Ok(record) if record.version > MAX_STORED_VERSION => {
                    warn!(self.logger, "can't parse member row"; "key" => row.key,
                        "why" => "version too large");
                }
                Ok(record) => {
                    if record.host == own_record.host && same_addresses(&record, own_record) {
                        self.own_row_version.set(Some(row.version));
                    }
                    members.push(record);
                }
                Err(error) => {
                    warn!(self.logger, "can't parse member row"; "key" => row.key, "why" => %error);
                }
            }
        }
        info!(self.logger, "members read"; "count" => members.len());
        self.send_members(members, true);
        Ok(())
    }

    /// Passes blamed requests to the peers duty.
    fn send_blamed(&self, updates: Vec<SuspectUpdate>) {
        if updates.is_empty() {
            return;
        }
        info!(self.logger, "blamed requests read"; "count" => updates.len());
        let event = PeersEvent::Suspects { updates, source: SuspectSource::Store };
        if self.rings.peers.push(event).is_err() {
            self.metrics.ring_drops.with_label_values(&["peers"]).inc();
        }
    }

    /// Passes members to the peers duty; `reached` is true if they were read from the store.
    pub(super) fn send_members(&self, members: Vec<MemberRecord>, reached: bool) {
        if self.rings.peers.push(PeersEvent::Bootstrap { members, reached }).is_err() {
            self.metrics.ring_drops.with_label_values(&["peers"]).inc();
        }
    }

    /// Writes the own member row when this daemon becomes a follower of the store, so that
    /// new daemons can find it there.
    ///
    /// The rows are read again after each write: of two daemons that know no others and
    /// write at the same time, the later writer reads the row of the other.
    pub(super) async fn maintain_member_row(self: Rc<Self>, own_record: MemberRecord) {
        let mut role = self.role.subscribe();
        loop {
            // Fails only after the sender was dropped, when the runtime ends.
            if role.wait_for(|role| role.follows).await.is_err() {
                return;
            }
            if self.own_row_version.get().is_none() {
                match self.write_member_row(&own_record).await {
                    Ok(version) => self.own_row_version.set(Some(version)),
                    Err(_counted) => {
                        tokio::time::sleep(self.retry_pause(ROW_RETRY_FAILURES)).await;
                        continue;
                    }
                }
                // Without this read, a daemon that wrote its row just before would stay
                // unknown until other daemons find one of the two.
                _ = self.read_start_rows(&own_record).await;
            }
            if role.wait_for(|role| !role.follows).await.is_err() {
                return;
            }
        }
    }

    /// Writes the own member row; returns its version.
    pub(super) async fn write_member_row(
        &self,
        own_record: &MemberRecord,
    ) -> Result<u64, PlatformError> {
        let value = serde_json::to_string(own_record);
        let value =
            value.map_err(|error| PlatformError::InvalidData { reason: error.to_string() })?;
        let write =
            TableWrite { key: member_key(own_record), expected_version: None, value: Some(value) };
        let written = self.client.commit(&[write]).await;
        self.count("announce", &written);
        Ok(written?.versions.first().copied().unwrap_or_default())
    }

    /// Deletes the own member row, unless a later incarnation of this daemon has rewritten it.
    pub(super) async fn remove_member_row(
        self: Rc<Self>,
        own_record: MemberRecord,
        done: oneshot::Sender<()>,
    ) {
        if let Some(version) = self.own_row_version.get() {
            let write = TableWrite {
                key: member_key(&own_record),
                expected_version: Some(version),
                value: None,
            };
            self.count("withdraw", &self.client.commit(&[write]).await);
        }
        _ = done.send(());
    }
}

/// Returns whether two records of a host have the same addresses.
fn same_addresses(left: &MemberRecord, right: &MemberRecord) -> bool {
    (left.guard, left.peer, left.caller) == (right.guard, right.peer, right.caller)
}

fn member_key(own_record: &MemberRecord) -> String {
    format!("{MEMBER_PREFIX}{}", own_record.host)
}
