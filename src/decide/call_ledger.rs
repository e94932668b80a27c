//! At-most-once execution: the status of each call in its guard and in the claim table.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use serde::Serialize;

use crate::base::call_status::{CallStatus, ClaimRow, ClaimState, RecordedAnswer};
use crate::base::clock::MicroTime;
use crate::base::consts::LEDGER_RETENTION;
use crate::base::ids::CallId;
use crate::base::memory_plan::{DEFAULT_MEMORY_MB, MemoryPlan};

/// Time after the deadline of a repeatable call in which its entry may still query its status:
/// longer than the timeout of such a query.
const STATUS_QUERY_GRACE: MicroTime = MicroTime::from_millis(2_000);

/// Memory of one recorded call without its answer, in bytes: its slots in the map and in the
/// order of expiry, with what both keep free for growth.
const ENTRY_BYTES: u64 = 192;

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
enum EntryState {
    /// Received, but not dispatched.
    Waiting,
    /// Revoked or refused: must never be dispatched.
    Revoked,
    /// Dispatched, but not ended.
    Running,
    /// Ended with this status.
    Done(Box<CallStatus>),
}

#[derive(Clone, Debug)]
struct LedgerEntry {
    /// Time at which the call was sent, by the guard's clock, if its entry stated it.
    sent: Option<MicroTime>,
    state: EntryState,
}

impl LedgerEntry {
    const fn has_ended(&self) -> bool {
        matches!(self.state, EntryState::Revoked | EntryState::Done(_))
    }

    /// Returns the memory of the entry, in bytes.
    fn cost(&self) -> u64 {
        match &self.state {
            EntryState::Done(status) => ENTRY_BYTES + status_bytes(status),
            _ => ENTRY_BYTES,
        }
    }
}

/// Returns the memory of a status on the heap, in bytes.
fn status_bytes(status: &CallStatus) -> u64 {
    let recorded = match status {
        CallStatus::Answered(answer) => {
            answer.body.as_ref().map_or(0, Vec::len)
                + answer.content_type.as_ref().map_or(0, String::len)
        }
        _ => 0,
    };
    (size_of::<CallStatus>() + recorded) as u64
}

/// Memory of a ledger, as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LedgerUse {
    /// Number of recorded calls.
    pub calls: usize,
    /// Limit of their memory, in bytes.
    pub limit_bytes: u64,
    /// Their memory, in bytes.
    pub held_bytes: u64,
    /// Number of ended calls that were forgotten before their retention had passed.
    pub forgotten_early: u64,
    /// Time up to which calls that were sent may be forgotten, by the guard's clock.
    pub forgotten_until: Option<MicroTime>,
}

/// Status of the calls that a guard received in its current incarnation.
///
/// Invariants: a revoked call is never dispatched; a call is dispatched at most once; a call that
/// was dispatched is never reported as not run. The entry of a revoked or finished call is kept for
/// [`LEDGER_RETENTION`], that of a finished repeatable call until its status can no longer be
/// queried. If the memory does not suffice for that, those that were sent first are forgotten
/// earlier; a call that was sent no later than any of these is not dispatched, since it may be a
/// copy of one of them, and its status is unknown.
#[derive(Debug)]
pub struct CallLedger {
    /// Limit of the memory of all entries, in bytes.
    limit: u64,
    /// Memory of all entries, in bytes.
    held: u64,
    entries: HashMap<CallId, LedgerEntry>,
    /// Ended calls with the time from which on their entries may be dropped, earliest first.
    ended: BinaryHeap<Reverse<(MicroTime, CallId)>>,
    /// Latest sending time of a call that was forgotten early.
    forgotten_until: Option<MicroTime>,
    forgotten_early: u64,
    /// Whether a call that ran and whose sending time is unknown was forgotten early.
    forgot_undated: bool,
}

impl Default for CallLedger {
    fn default() -> Self {
        Self::open(MemoryPlan::of_mib(DEFAULT_MEMORY_MB).call_records())
    }
}

impl CallLedger {
    /// Creates an empty ledger with a limit on its memory, in bytes.
    #[must_use]
    pub fn open(limit: u64) -> Self {
        Self {
            limit,
            held: 0,
            entries: HashMap::new(),
            ended: BinaryHeap::new(),
            forgotten_until: None,
            forgotten_early: 0,
            forgot_undated: false,
        }
    }

    /// Records the arrival of a call that was sent at `sent`; returns `false` if the call must not
    /// run.
    ///
    /// A call must not run if its id is known, because it is a late copy, a repeat or a revoked
    /// call, if it may be a copy of one that was forgotten, or if the ledger is full of calls that
    /// have not ended.
    pub fn register(&mut self, now: MicroTime, call: CallId, sent: Option<MicroTime>) -> bool {
        self.drop_expired(now);
        if self.entries.contains_key(&call) || !self.make_room(ENTRY_BYTES) {
            return false;
        }
        if self.may_be_forgotten(sent) {
            return false;
        }
        self.insert(call, LedgerEntry { sent, state: EntryState::Waiting });
        true
    }

    /// Requests permission to dispatch a call; returns `true` at most once for each call.
    pub fn try_dispatch(&mut self, call: CallId) -> bool {
        match self.entries.get_mut(&call) {
            Some(LedgerEntry { state: state @ EntryState::Waiting, .. }) => {
                *state = EntryState::Running;
                true
            }
            _ => false,
        }
    }

    /// Ensures that a call that is not dispatched yet never will be, and returns its status.
    ///
    /// The status of an unknown call is `Unknown` if the call may have run and been forgotten, or
    /// if the revocation can't be recorded for lack of memory.
    pub fn revoke(&mut self, now: MicroTime, call: CallId, sent: Option<MicroTime>) -> CallStatus {
        self.drop_expired(now);
        match self.entries.get(&call).map(|entry| &entry.state) {
            Some(EntryState::Running) => return CallStatus::Running,
            Some(EntryState::Done(status)) => return CallStatus::clone(status),
            Some(EntryState::Revoked) => return CallStatus::NotRun,
            Some(EntryState::Waiting) => return self.mark_revoked(now, call, sent),
            None => {}
        }
        let has_room = self.make_room(ENTRY_BYTES);
        if !has_room || self.may_be_forgotten(sent) {
            return CallStatus::Unknown;
        }
        self.mark_revoked(now, call, sent)
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
        self.end(call, status, deadline.max(now) + STATUS_QUERY_GRACE);
    }

    /// Records the end of a call that must run at most once, for repeats that query its status.
    pub fn finish(&mut self, now: MicroTime, call: CallId, status: CallStatus) {
        self.end(call, status, now + LEDGER_RETENTION.into());
    }

    /// Returns whether a call has arrived and is neither dispatched nor revoked.
    #[must_use]
    pub fn is_waiting(&self, call: CallId) -> bool {
        self.entries.get(&call).is_some_and(|entry| matches!(entry.state, EntryState::Waiting))
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

    /// Returns limit and current use of the memory.
    #[must_use]
    pub fn memory_use(&self) -> LedgerUse {
        LedgerUse {
            calls: self.entries.len(),
            limit_bytes: self.limit,
            held_bytes: self.held,
            forgotten_early: self.forgotten_early,
            forgotten_until: self.forgotten_until,
        }
    }

    fn mark_revoked(
        &mut self,
        now: MicroTime,
        call: CallId,
        sent: Option<MicroTime>,
    ) -> CallStatus {
        self.insert(call, LedgerEntry { sent, state: EntryState::Revoked });
        self.ended.push(Reverse((now + LEDGER_RETENTION.into(), call)));
        CallStatus::NotRun
    }

    fn end(&mut self, call: CallId, status: CallStatus, until: MicroTime) {
        let sent = self.entries.get(&call).and_then(|entry| entry.sent);
        self.insert(call, LedgerEntry { sent, state: EntryState::Done(Box::new(status)) });
        self.ended.push(Reverse((until, call)));
        self.make_room(0);
    }

    fn insert(&mut self, call: CallId, entry: LedgerEntry) {
        self.held += entry.cost();
        if let Some(previous) = self.entries.insert(call, entry) {
            self.held -= previous.cost();
        }
    }

    fn remove(&mut self, call: CallId) -> Option<LedgerEntry> {
        let entry = self.entries.remove(&call)?;
        self.held -= entry.cost();
        Some(entry)
    }

    /// Returns whether a call that is not recorded may have been forgotten early.
    fn may_be_forgotten(&self, sent: Option<MicroTime>) -> bool {
        match sent {
            Some(sent) => self.forgotten_until.is_some_and(|until| sent <= until),
            None => self.forgot_undated || self.forgotten_until.is_some(),
        }
    }

    /// Forgets ended calls, those that were sent first, until there is memory; returns whether
    /// there is.
    fn make_room(&mut self, bytes: u64) -> bool {
        if self.held + bytes <= self.limit {
            return true;
        }
        let ended = self.entries.iter().filter(|(_, entry)| entry.has_ended());
        let mut oldest: Vec<_> = ended.map(|(call, entry)| (entry.sent, *call)).collect();
        oldest.sort_unstable();
        // A quarter at a time, so that the search is rare.
        let target = self.limit / 4 * 3;
        for (sent, call) in oldest {
            if self.held + bytes <= target {
                break;
            }
            self.remove(call);
            self.forgotten_early += 1;
            match sent {
                Some(sent) => self.forgotten_until = self.forgotten_until.max(Some(sent)),
                None => self.forgot_undated = true,
            }
        }
        let entries = &self.entries;
        self.ended
            .retain(|Reverse((_, call))| entries.get(call).is_some_and(LedgerEntry::has_ended));
        self.held + bytes <= self.limit
    }

    /// Drops the ended calls whose retention time has passed.
    fn drop_expired(&mut self, now: MicroTime) {
        while let Some(&Reverse((until, call))) = self.ended.peek() {
            if until > now {
                return;
            }
            self.ended.pop();
            self.remove(call);
        }
    }
}
