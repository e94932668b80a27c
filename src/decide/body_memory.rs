//! Decides which request bodies may take more memory, so that their sum stays within a limit.
//!
//! Every body states the most that it may need. A body gets memory only if all bodies can still
//! be completed one after the other afterwards (the banker's algorithm), so that bodies that are
//! received in part never wait for each other without end. Beside a body that waits, bodies that
//! arrive later get nothing, and those that will miss their deadlines may be given up.
//!
//! In a memory for small bodies those that arrive last go first, and the slowest makes way: a crowd
//! of slow senders then keeps no other body waiting.
//!
//! A body longer than the usual share may use more, as far as it needs it: it is completed once
//! the others are.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::base::consts::MAX_HELD_PAUSE;

/// Time for which a body is received before its rate is known.
const MIN_RATE_TIME: MicroTime = MicroTime::from_millis(1_000);

/// Time for which a small body is received before it may have to make way for others.
const MIN_SMALL_TIME: MicroTime = MicroTime::from_millis(50);

/// Number of a body within one [`BodyMemory`]; later bodies have greater numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct BodyNumber(pub u64);

/// A body that is being received or is kept for its call.
#[derive(Clone, Debug, Serialize)]
struct HeldBody {
    /// Maximum length, in bytes; never less than `held`.
    claim: u64,
    /// Memory that the body has, in bytes.
    held: u64,
    /// Part that has arrived, in bytes.
    received: u64,
    deadline: MicroTime,
    opened_at: MicroTime,
    /// Time at which the last memory was taken.
    progress_at: MicroTime,
    /// Time at which the body began to wait for memory, if it waits.
    waiting_since: Option<MicroTime>,
    /// Time for which the body has waited so far, the present wait excluded.
    waited: MicroTime,
    /// Whether the body is received as a whole.
    complete: bool,
}

/// Memory for the bodies of calls.
///
/// Invariant: the held memory is at most `share`, or the length of the longest body if that is
/// more, and all bodies can be completed in some order if each gives its memory back once it is
/// complete.
#[derive(Clone, Debug, Serialize)]
pub struct BodyMemory {
    /// Limit of the sum of all bodies, in bytes.
    share: u64,
    /// Maximum length of a body, in bytes; not less than `share`.
    capacity: u64,
    /// Sum of the memory of all bodies, in bytes.
    held: u64,
    /// Whether the bodies that arrive last go first.
    newest_first: bool,
    next_number: u64,
    #[serde(skip)]
    bodies: BTreeMap<BodyNumber, HeldBody>,
}

impl BodyMemory {
    /// Creates an empty memory of `capacity` bytes.
    #[must_use]
    pub const fn open(capacity: u64) -> Self {
        Self::open_with_share(capacity, capacity)
    }

    /// Creates an empty memory of `capacity` bytes for small bodies.
    #[must_use]
    pub fn open_for_small(capacity: u64) -> Self {
        Self { newest_first: true, ..Self::open(capacity) }
    }

    /// Creates an empty memory of `share` bytes, and of up to `capacity` bytes for a longer body.
    #[must_use]
    pub const fn open_with_share(share: u64, capacity: u64) -> Self {
        Self {
            share,
            capacity,
            held: 0,
            newest_first: false,
            next_number: 0,
            bodies: BTreeMap::new(),
        }
    }

    /// Returns the limit of the sum of all bodies, in bytes; a longer one may use more.
    #[must_use]
    pub const fn share(&self) -> u64 {
        self.share
    }

    /// Returns the maximum length of a body, in bytes.
    #[must_use]
    pub const fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the sum of the memory of all bodies, in bytes.
    #[must_use]
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Returns the memory of one body, in bytes.
    #[must_use]
    pub fn held_by(&self, number: BodyNumber) -> u64 {
        self.bodies.get(&number).map_or(0, |body| body.held)
    }

    /// Returns how many bodies wait for memory.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.bodies.values().filter(|body| body.waiting_since.is_some()).count()
    }

    /// Adds a body of at most `claim` bytes whose call has a deadline; `None` if it can't be held
    /// even alone.
    pub fn open_body(
        &mut self,
        now: MicroTime,
        claim: u64,
        deadline: MicroTime,
    ) -> Option<BodyNumber> {
        if claim > self.capacity {
            return None;
        }
        let number = BodyNumber(self.next_number);
        self.next_number += 1;
        let body = HeldBody {
            claim,
            held: 0,
            received: 0,
            deadline,
            opened_at: now,
            progress_at: now,
            waiting_since: None,
            waited: MicroTime(0),
            complete: false,
        };
        self.bodies.insert(number, body);
        Some(number)
    }

    /// Records that a body waits for memory that is not free outside of this one.
    pub fn wait(&mut self, now: MicroTime, number: BodyNumber) {
        if let Some(body) = self.bodies.get_mut(&number) {
            body.waiting_since.get_or_insert(now);
        }
    }

    /// Takes memory for a body, up to its claim; returns whether it got the memory. A body that
    /// did not waits from now on.
    pub fn take(&mut self, now: MicroTime, number: BodyNumber, bytes: u64) -> bool {
        let granted = self.may_take(number, bytes);
        let Some(body) = self.bodies.get_mut(&number) else { return false };
        if granted {
            body.held += bytes;
            body.progress_at = now;
            if let Some(since) = body.waiting_since.take() {
                body.waited = body.waited + now.since(since);
            }
            self.held += bytes;
        } else {
            body.waiting_since.get_or_insert(now);
        }
        granted
    }

    /// Records that a part of a body arrived, of `bytes` bytes.
    pub fn note_progress(&mut self, now: MicroTime, number: BodyNumber, bytes: u64) {
        if let Some(body) = self.bodies.get_mut(&number) {
            body.progress_at = now;
            body.received += bytes;
        }
    }

    /// Records that a body is received as a whole: it needs no more memory than it has.
    pub fn complete(&mut self, number: BodyNumber) {
        if let Some(body) = self.bodies.get_mut(&number) {
            body.claim = body.held;
            body.complete = true;
        }
    }

    /// Removes a body and returns its memory.
    pub fn close(&mut self, number: BodyNumber) {
        if let Some(body) = self.bodies.remove(&number) {
            self.held -= body.held;
        }
    }

    /// Returns a body to give up for those that wait: one whose sender pauses, or that will miss
    /// its deadline at the rate at which it has arrived so far. Of several, that with the most
    /// memory.
    #[must_use]
    pub fn find_hopeless(&self, now: MicroTime) -> Option<BodyNumber> {
        if self.waiting() == 0 {
            return None;
        }
        if self.newest_first {
            return self.find_slowest(now);
        }
        let hopeless = |body: &HeldBody| {
            !body.complete && body.waiting_since.is_none() && body.held > 0 && body.is_late(now)
        };
        let candidates = self.bodies.iter().filter(|(_, body)| hopeless(body));
        candidates.max_by_key(|(_, body)| body.held).map(|(number, _)| *number)
    }

    /// Returns whether a body waits and is the one that is to get memory first.
    #[must_use]
    pub fn is_first_waiting(&self, number: BodyNumber) -> bool {
        self.first_waiting() == Some(number)
    }

    /// Returns the waiting body that is to get memory first.
    #[must_use]
    pub fn first_waiting(&self) -> Option<BodyNumber> {
        let mut waiting = self.bodies.iter().filter(|(_, body)| body.waiting_since.is_some());
        let first = if self.newest_first { waiting.next_back() } else { waiting.next() };
        first.map(|(number, _)| *number)
    }

    /// Returns the body that arrives most slowly, if it has had some time.
    fn find_slowest(&self, now: MicroTime) -> Option<BodyNumber> {
        let is_candidate = |body: &HeldBody| {
            let is_receiving = !body.complete && body.held > 0 && body.waiting_since.is_none();
            is_receiving && now.since(body.opened_at) >= MIN_SMALL_TIME
        };
        let candidates = self.bodies.iter().filter(|(_, body)| is_candidate(body));
        let slowness =
            |body: &HeldBody| now.since(body.opened_at).0 as f64 / (body.received + 1) as f64;
        let slowest = candidates.max_by(|(_, a), (_, b)| slowness(a).total_cmp(&slowness(b)));
        slowest.map(|(number, _)| *number)
    }

    fn may_take(&self, number: BodyNumber, bytes: u64) -> bool {
        let Some(body) = self.bodies.get(&number) else { return false };
        let limit = self.share.max(body.claim);
        if self.held + bytes > limit || body.held + bytes > body.claim {
            return false;
        }
        // A large body would never be completed if smaller ones kept passing it.
        let is_behind_another = || {
            let first = self.first_waiting();
            first.is_some_and(
                |first| if self.newest_first { first > number } else { first < number },
            )
        };
        if body.held == 0 && is_behind_another() {
            return false;
        }
        self.can_complete_all(number, bytes)
    }

    /// Returns whether all bodies can be completed in some order once a body has `bytes` more.
    fn can_complete_all(&self, number: BodyNumber, bytes: u64) -> bool {
        // For each body the most that all may hold when it takes the rest of its claim.
        let mut limits: Vec<(u64, u64)> = Vec::with_capacity(self.bodies.len());
        for (other, body) in &self.bodies {
            let held = if *other == number { body.held + bytes } else { body.held };
            if held > 0 {
                limits.push((self.share.max(body.claim) - (body.claim - held), held));
            }
        }
        limits.sort_unstable_by(|a, b| b.cmp(a));
        let mut all_held = self.held + bytes;
        for (limit, held) in limits {
            if all_held > limit {
                return false;
            }
            all_held -= held;
        }
        true
    }
}

impl HeldBody {
    fn is_late(&self, now: MicroTime) -> bool {
        if now.since(self.progress_at).duration() >= MAX_HELD_PAUSE {
            return true;
        }
        let reading = now.since(self.opened_at).since(self.waited);
        if reading < MIN_RATE_TIME {
            return false;
        }
        let left = self.deadline.since(now).0 as f64;
        let rate = self.held as f64 / reading.0 as f64;
        ((self.claim - self.held) as f64) > rate * left
    }
}
