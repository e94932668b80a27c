//! Rows of members and of blamed requests: read at the start, kept while this daemon follows the store.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use slog::{info, warn};
use tokio::sync::oneshot;

use super::PlatformDuty;
use crate::base::member::MemberRecord;
use crate::base::suspect::SuspectUpdate;
use crate::duty::events::{PeersEvent, SuspectSource};
use crate::store::blame;
use crate::store::table::{PlatformError, TableWrite};

/// Start of the keys of all rows that a daemon reads at its start, and of those of
/// members.
const START_PREFIX: &str = "fleet-";
const MEMBER_PREFIX: &str = "fleet-member-";

/// Wait between two tries of the bootstrap.
const BOOTSTRAP_PAUSE: Duration = Duration::from_millis(500);

/// Time over which the daemons of a whole system that starts read the rows: each
/// that reads before another one wrote has to write a row itself.
const FIRST_SPREAD: Duration = Duration::from_millis(1_500);

/// Time that peers have to hand out a revision until the platform is asked, and longest
/// time until it is asked again: who follows it tells the others.
const REVISION_PAUSES: (Duration, Duration) = (Duration::from_millis(700), Duration::from_secs(20));

/// Failures that the wait before a member row is written again stands for.
const ROW_FAILURES: u32 = 4;

/// Tries of the bootstrap between two tries of the seeds.
const SEED_ROUNDS: u32 = 4;

impl PlatformDuty {
    /// Reads who is there, until that worked; then asks for a revision if no
    /// peer hands one out.
    pub(super) async fn bootstrap(self: Rc<Self>, own: MemberRecord, first_start: bool) {
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
        let mut pause = REVISION_PAUSES.0;
        while self.revisions.borrow().active().is_none() {
            tokio::time::sleep(pause).await;
            if self.revisions.borrow().active().is_none() {
                self.poll_wake.notify_one();
            }
            pause = (pause * 2).min(REVISION_PAUSES.1);
        }
    }

    /// Reads the rows of the members and of blamed requests and hands them on.
    pub(super) async fn read_members(&self, own: &MemberRecord) -> Result<(), PlatformError> {
        let rows = self.client.rows(START_PREFIX).await;
        self.count("members", &rows);
        let rows = rows?;
        self.tell_blamed(blame::read(&rows, &self.logger));
        let mut members: Vec<MemberRecord> = Vec::new();
        for row in rows.into_iter().filter(|row| row.key.starts_with(MEMBER_PREFIX)) {
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

    fn tell_blamed(&self, notices: Vec<SuspectUpdate>) {
        if notices.is_empty() {
            return;
        }
        info!(self.logger, "blamed requests read"; "count" => notices.len());
        let told = PeersEvent::Suspects { notices, source: SuspectSource::Store };
        if self.rings.peers.push(told).is_err() {
            self.metrics.ring_drops.with_label_values(&["peers"]).inc();
        }
    }

    pub(super) fn tell_members(&self, members: Vec<MemberRecord>, reached: bool) {
        if self.rings.peers.push(PeersEvent::Bootstrap { members, reached }).is_err() {
            self.metrics.ring_drops.with_label_values(&["peers"]).inc();
        }
    }

    /// Sees to it that a daemon that follows the store can be found there.
    ///
    /// Of two that know nobody and write at once, the later writer reads the
    /// other's row.
    pub(super) async fn keep_row(self: Rc<Self>, own: MemberRecord) {
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

    pub(super) async fn write_row(&self, own: &MemberRecord) -> Result<u64, PlatformError> {
        let value = serde_json::to_string(own);
        let value = value.map_err(|error| PlatformError::Bad { reason: error.to_string() })?;
        let write = TableWrite { key: member_key(own), expect: None, value: Some(value) };
        let written = self.client.commit(&[write]).await;
        self.count("announce", &written);
        Ok(written?.versions.first().copied().unwrap_or_default())
    }

    /// Removes the own row, unless a later life of this daemon wrote it anew.
    pub(super) async fn withdraw(self: Rc<Self>, own: MemberRecord, done: oneshot::Sender<()>) {
        if let Some(version) = self.own_row.get() {
            let write = TableWrite { key: member_key(&own), expect: Some(version), value: None };
            self.count("withdraw", &self.client.commit(&[write]).await);
        }
        _ = done.send(());
    }
}

/// Tells whether two records of a host name the same addresses.
fn same_place(left: &MemberRecord, right: &MemberRecord) -> bool {
    (left.guard, left.peer, left.caller) == (right.guard, right.peer, right.caller)
}

fn member_key(own: &MemberRecord) -> String {
    format!("{MEMBER_PREFIX}{}", own.host)
}
