//! At-most-once execution: the status of each call in its guard and in the claim table.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use crate::base::call_status::{CallStatus, ClaimRow, ClaimState, RecordedAnswer};
use crate::base::clock::MicroTime;
use crate::base::consts::{LEDGER_CAPACITY, LEDGER_RETENTION};
use crate::base::ids::CallId;

/// Time after the deadline of a repeatable call in which its entry may still query its status:
/// longer than the timeout of such a query.
const STATUS_QUERY_GRACE: MicroTime = MicroTime::from_millis(2_000);

/// Result of comparing a repeated request with the claim row of its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict<'a> {
    /// The key was used for a different request.
    KeyReused,
    /// The earlier call ran; this is its answer.
    Answered(&'a RecordedAnswer),
    /// The earlier call may have run, and its outcome will never be known.
    Unknown,
    /// The guard that holds the claim knows the status, or can still prevent the call.
    AskGuard,
}

impl ClaimRow {
    /// Compares the row with a repeated request that has this fingerprint.
    #[must_use]
    pub fn verdict(&self, fingerprint: &str) -> ClaimVerdict<'_> {
        if self.fingerprint != fingerprint {
            return ClaimVerdict::KeyReused;
        }
        match &self.state {
            ClaimState::Answered(answer) => ClaimVerdict::Answered(answer),
            ClaimState::Unknown => ClaimVerdict::Unknown,
            ClaimState::Started => ClaimVerdict::AskGuard,
        }
    }
}

#[derive(Clone, Debug)]
enum LedgerEntry {
    /// Received, but not dispatched.
    Waiting,
    /// Revoked or refused: must never be dispatched.
    Revoked,
    /// Dispatched, but not ended.
    Running,
    /// Ended with this status.
    Done(Box<CallStatus>),
}

/// Status of the calls that a guard received in its current incarnation.
///
/// Invariants: a revoked call is never dispatched; a call is dispatched at most once; the entry
/// of a revoked or finished call is kept for [`LEDGER_RETENTION`], that of a finished repeatable
/// call until its status can no longer be queried.
#[derive(Debug, Default)]
pub struct CallLedger {
    entries: HashMap<CallId, LedgerEntry>,
    /// Ended calls with the time from which on their entries may be dropped, earliest first.
    ended: BinaryHeap<Reverse<(MicroTime, CallId)>>,
}

impl CallLedger {
    /// Records the arrival of a call; returns `false` if the call must not run.
    ///
    /// A call must not run if its id is known, because it is a late copy, a repeat or a revoked
    /// call, or if the ledger is full.
    pub fn register(&mut self, now: MicroTime, call: CallId) -> bool {
        self.drop_expired(now);
        if self.entries.len() >= LEDGER_CAPACITY || self.entries.contains_key(&call) {
            return false;
        }
        self.entries.insert(call, LedgerEntry::Waiting);
        true
    }

    /// Requests permission to dispatch a call; returns `true` at most once for each call.
    pub fn try_dispatch(&mut self, call: CallId) -> bool {
        match self.entries.get_mut(&call) {
            Some(entry @ LedgerEntry::Waiting) => {
                *entry = LedgerEntry::Running;
                true
            }
            _ => false,
        }
    }

    /// Ensures that a call that is not dispatched yet never will be, and returns its status.
    ///
    /// The status of an unknown call is `Unknown` if the ledger is full, since the revocation
    /// itself can't be recorded then.
    pub fn revoke(&mut self, now: MicroTime, call: CallId) -> CallStatus {
        self.drop_expired(now);
        match self.entries.get(&call) {
            Some(LedgerEntry::Running) => CallStatus::Running,
            Some(LedgerEntry::Done(status)) => CallStatus::clone(status),
            Some(LedgerEntry::Revoked) => CallStatus::NotRun,
            Some(LedgerEntry::Waiting) => self.mark_revoked(now, call),
            None if self.entries.len() < LEDGER_CAPACITY => self.mark_revoked(now, call),
            None => CallStatus::Unknown,
        }
    }

    /// Records the end of a repeatable call.
    ///
    /// An entry that did not get the answer may query the status until shortly after the
    /// deadline. Keeping each call for longer would fill the ledger.
    pub fn finish_repeatable(
        &mut self,
        now: MicroTime,
        call: CallId,
        status: CallStatus,
        deadline: MicroTime,
    ) {
        let until = deadline.max(now) + STATUS_QUERY_GRACE;
        self.entries.insert(call, LedgerEntry::Done(Box::new(status)));
        self.ended.push(Reverse((until, call)));
    }

    /// Records the end of a call that must run at most once, for repeats that query its status.
    pub fn finish(&mut self, now: MicroTime, call: CallId, status: CallStatus) {
        self.entries.insert(call, LedgerEntry::Done(Box::new(status)));
        self.ended.push(Reverse((now + LEDGER_RETENTION.into(), call)));
    }

    /// Returns whether a call has arrived and is neither dispatched nor revoked.
    #[must_use]
    pub fn is_waiting(&self, call: CallId) -> bool {
        matches!(self.entries.get(&call), Some(LedgerEntry::Waiting))
    }

    /// Returns the number of recorded calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no call is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn mark_revoked(&mut self, now: MicroTime, call: CallId) -> CallStatus {
        self.entries.insert(call, LedgerEntry::Revoked);
        self.ended.push(Reverse((now + LEDGER_RETENTION.into(), call)));
        CallStatus::NotRun
    }

    /// Drops the ended calls whose retention time has passed.
    fn drop_expired(&mut self, now: MicroTime) {
        while let Some(&Reverse((until, call))) = self.ended.peek() {
            if until > now {
                return;
            }
            self.ended.pop();
            self.entries.remove(&call);
        }
    }
}
