//! At most once: what became of each call, in a guard and in the table.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use crate::base::call_status::{CallStatus, ClaimRow, ClaimState, RecordedAnswer};
use crate::base::clock::MicroTime;
use crate::base::consts::{LEDGER_CAPACITY, LEDGER_RETENTION};
use crate::base::ids::CallId;

/// Time after the deadline of a call that may run twice in which its entry may
/// still ask for its status: longer than such a question waits for its answer.
const ASKED_LATE: MicroTime = MicroTime::from_millis(2_000);

/// What a repeat that finds a claim makes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowVerdict<'a> {
    /// The key was used for another request.
    OtherRequest,
    /// The earlier call ran; this is its answer.
    Answered(&'a RecordedAnswer),
    /// Nobody will learn more.
    Lost,
    /// The guard that holds the claim knows, or can still stop the call.
    AskGuard,
}

impl ClaimRow {
    /// Tells what a repeat of the request with this hash makes of the row.
    #[must_use]
    pub fn verdict(&self, fingerprint: &str) -> RowVerdict<'_> {
        if self.fingerprint != fingerprint {
            return RowVerdict::OtherRequest;
        }
        match &self.state {
            ClaimState::Answered(answer) => RowVerdict::Answered(answer),
            ClaimState::Unknown => RowVerdict::Lost,
            ClaimState::Started => RowVerdict::AskGuard,
        }
    }
}

#[derive(Clone, Debug)]
enum LedgerEntry {
    /// Received, not dispatched.
    Waiting,
    /// Revoked or refused: must never be dispatched.
    Dead,
    Running,
    Done(Box<CallStatus>),
}

/// A guard's memory of the calls it received in this life.
///
/// Invariants: a dead call is never dispatched; a call is dispatched at most
/// once; an entry is forgotten only after [`LEDGER_RETENTION`].
#[derive(Debug, Default)]
pub struct CallLedger {
    entries: HashMap<CallId, LedgerEntry>,
    /// Calls by the time they may be forgotten, oldest first.
    ended: BinaryHeap<Reverse<(MicroTime, CallId)>>,
}

impl CallLedger {
    /// Notes the arrival of a call; `false` if it is known already.
    ///
    /// A known id is a late copy, a repeat or a revoked call: it must not run.
    pub fn arrive(&mut self, now: MicroTime, call: CallId) -> bool {
        self.forget(now);
        if self.entries.len() >= LEDGER_CAPACITY || self.entries.contains_key(&call) {
            return false;
        }
        self.entries.insert(call, LedgerEntry::Waiting);
        true
    }

    /// Asks leave to dispatch; granted at most once for each call.
    pub fn dispatch(&mut self, call: CallId) -> bool {
        match self.entries.get_mut(&call) {
            Some(entry @ LedgerEntry::Waiting) => {
                *entry = LedgerEntry::Running;
                true
            }
            _ => false,
        }
    }

    /// Makes sure that a call not yet dispatched never will be.
    ///
    /// Returns its status. `Unknown` where the memory is full, since then the
    /// revocation itself could not be kept.
    pub fn revoke(&mut self, now: MicroTime, call: CallId) -> CallStatus {
        self.forget(now);
        match self.entries.get(&call) {
            Some(LedgerEntry::Running) => CallStatus::Running,
            Some(LedgerEntry::Done(status)) => CallStatus::clone(status),
            Some(LedgerEntry::Dead) => CallStatus::NotRun,
            Some(LedgerEntry::Waiting) => self.bury(now, call),
            None if self.entries.len() < LEDGER_CAPACITY => self.bury(now, call),
            None => CallStatus::Unknown,
        }
    }

    /// Notes the end of a call that may run twice.
    ///
    /// Its status is asked for by an entry that did not get the answer, until the
    /// deadline; to keep each call for longer would fill the memory.
    pub fn release(
        &mut self,
        now: MicroTime,
        call: CallId,
        status: CallStatus,
        deadline: MicroTime,
    ) {
        let until = deadline.max(now) + ASKED_LATE;
        self.entries.insert(call, LedgerEntry::Done(Box::new(status)));
        self.ended.push(Reverse((until, call)));
    }

    /// Notes the end of a call that was dispatched, for repeats that ask.
    pub fn finish(&mut self, now: MicroTime, call: CallId, status: CallStatus) {
        self.entries.insert(call, LedgerEntry::Done(Box::new(status)));
        self.ended.push(Reverse((now + LEDGER_RETENTION.into(), call)));
    }

    /// Tells whether a call waits to be dispatched.
    #[must_use]
    pub fn is_waiting(&self, call: CallId) -> bool {
        matches!(self.entries.get(&call), Some(LedgerEntry::Waiting))
    }

    /// Returns how many calls are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no call is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn bury(&mut self, now: MicroTime, call: CallId) -> CallStatus {
        self.entries.insert(call, LedgerEntry::Dead);
        self.ended.push(Reverse((now + LEDGER_RETENTION.into(), call)));
        CallStatus::NotRun
    }

    fn forget(&mut self, now: MicroTime) {
        while let Some(&Reverse((until, call))) = self.ended.peek() {
            if until > now {
                return;
            }
            self.ended.pop();
            self.entries.remove(&call);
        }
    }
}
