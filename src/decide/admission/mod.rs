//! Which calls a guard lets into its target, and in which order.
//!
//! Pure: every event carries the time. As many calls run as the target answers
//! fastest, which may be fewer than it has slots; a short queue holds the rest,
//! ordered by priority, then by the account that is furthest below its share,
//! then by deadline; in overload the newest first. While the host is in a slow
//! spell, calls that would begin in it and be late wait until it is over, or are
//! sent on to another target. At a target that is cold no more begin in a second
//! than it bears; the order of the queue decides which. What can't be served in
//! time is refused at once, but for room that nobody else needs.

mod events;
mod forecast;
mod order;

use std::collections::HashMap;

use crate::base::clock::MicroTime;
use crate::base::ids::{AccountName, CallId};
use crate::base::wire::{LoadReport, RefusalReason};
use crate::decide::cold_start::ColdGate;
use crate::decide::host_speed::HostSpeed;
use crate::decide::limit::ConcurrencyLimit;

pub use events::{AdmissionAction, AdmissionEvent, WaitingCall};

/// Waiting calls for each slot of the target.
const QUEUE_PER_SLOT: usize = 2;

/// A call that may still try another target queues only behind the slots'
/// number divided by this.
const SHORT_QUEUE_PART: usize = 4;

/// A target has room to spare while no more than one in this many of the calls
/// that it may run do.
const SPARE_PART: usize = 2;

/// Weight of the newest service time in the smoothed one.
const SERVICE_WEIGHT: f64 = 0.2;

/// Weight of the newest answer in the smoothed share of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// Service time assumed before the first answer, in microseconds.
const FIRST_SERVICE_US: f64 = 10_000.0;

/// A call that has a slot.
#[derive(Clone, Debug)]
struct RunningCall {
    account: AccountName,
    /// When it got its slot.
    since: MicroTime,
    /// Its usual work, in microseconds; zero if unknown.
    work_us: u32,
    /// Slowness of the host when it got its slot.
    slowness: f64,
    /// [`AdmissionQueue::crowd`] when it got its slot.
    crowd_then: f64,
}

/// The admission queue of one target.
///
/// Invariants: a call starts only while fewer than `limit` run and a cold target
/// has room, and waits only while that many do, there is no such room, or the host
/// is in a slow spell; each arrival gets exactly one `Start` or `Refuse`, unless
/// cancelled.
#[derive(Debug)]
pub struct AdmissionQueue {
    limit: ConcurrencyLimit,
    speed: HostSpeed,
    cold: ColdGate,
    /// Running calls, summed up over time, in microseconds.
    crowd: f64,
    running: HashMap<CallId, RunningCall>,
    waiting: Vec<WaitingCall>,
    service_us: f64,
    /// As the target told it last, in percent; zero if it never did.
    slowness: u16,
    failing: f64,
    leaving: bool,
    sequence: u64,
    /// When a call last waited in vain.
    in_vain: Option<MicroTime>,
    /// The time of the last event.
    now: MicroTime,
}

impl AdmissionQueue {
    /// Opens the queue of a target that runs `slots` calls at once.
    #[must_use]
    pub fn open(slots: u16) -> Self {
        Self {
            limit: ConcurrencyLimit::open(slots),
            speed: HostSpeed::default(),
            cold: ColdGate::default(),
            crowd: 0.0,
            running: HashMap::new(),
            waiting: Vec::new(),
            service_us: FIRST_SERVICE_US,
            slowness: 0,
            failing: 0.0,
            leaving: false,
            sequence: 0,
            in_vain: None,
            now: MicroTime(0),
        }
    }

    /// Takes one event and appends what follows from it.
    pub fn step(&mut self, now: MicroTime, event: AdmissionEvent, out: &mut Vec<AdmissionAction>) {
        self.pass(now);
        match event {
            AdmissionEvent::Arrive(call) => self.arrive(call, out),
            AdmissionEvent::Finish { call, took, failed } => self.finish(call, took, failed),
            AdmissionEvent::Cancel(call) => {
                self.waiting.retain(|waiting| waiting.call != call);
                // It may have been started at the very moment its caller left.
                self.running.remove(&call);
            }
            AdmissionEvent::Tick => {}
        }
        self.expire(out);
        self.start(out);
        self.check();
    }

    /// Checks the invariants, in builds with debug assertions.
    fn check(&self) {
        let full = !self.has_room();
        let held = |call: &WaitingCall| full || self.should_wait(call);
        debug_assert!(self.waiting.iter().all(held), "a call waits beside a free slot");
        let runs = |call: &WaitingCall| self.running.contains_key(&call.call);
        debug_assert!(!self.waiting.iter().any(runs), "a call waits and runs");
        debug_assert!(!self.leaving || self.waiting.is_empty(), "a call waits for a leaver");
    }

    /// Refuses all that waits, and all that comes, from now on.
    pub fn leave(&mut self, out: &mut Vec<AdmissionAction>) {
        self.leaving = true;
        let waiting = std::mem::take(&mut self.waiting);
        for call in waiting {
            out.push(self.refuse(call.call, RefusalReason::Leaving));
        }
    }

    /// Opens the queue again after [`Self::leave`].
    pub fn rejoin(&mut self) {
        self.leaving = false;
    }

    /// Tells whether the target is leaving.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Changes the number of slots.
    pub fn resize(&mut self, slots: u16) {
        self.limit.resize(slots);
    }

    /// Returns how many calls may run at once.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit.limit()
    }

    /// Returns the load for the next message to an entry.
    pub fn load(&mut self, now: MicroTime) -> LoadReport {
        self.sequence += 1;
        LoadReport { reported_at: now, ..self.peek() }
    }

    /// Returns the load as the last message told it, or newer.
    #[must_use]
    pub fn peek(&self) -> LoadReport {
        LoadReport {
            in_flight: self.running.len() as u16,
            queued: self.waiting.len() as u16,
            slots: self.limit() as u16,
            service_us: self.service_us as u32,
            slowness: self.slowness,
            failure_permille: (self.failing * 1_000.0) as u16,
            sequence: self.sequence,
            reported_at: self.now,
            cold: self.cold.room(self.now),
        }
    }

    /// Notes how long work takes at this moment, in percent of the usual.
    ///
    /// Calls that waited for this start with the next [`Self::step`].
    pub fn note_slowness(&mut self, now: MicroTime, percent: u16) {
        self.speed.note(now, percent);
        self.slowness = percent;
    }

    /// Returns the speed of the target's host.
    #[must_use]
    pub const fn speed(&self) -> &HostSpeed {
        &self.speed
    }

    /// Returns what is known of whether the target is cold.
    #[must_use]
    pub const fn cold(&self) -> &ColdGate {
        &self.cold
    }

    /// Returns the same to note what was heard; calls that waited for it start with
    /// the next [`Self::step`].
    pub const fn cold_mut(&mut self) -> &mut ColdGate {
        &mut self.cold
    }

    /// Returns how much longer than usual a running call takes, since it began in
    /// a slow spell of the host.
    #[must_use]
    pub fn slowness_of(&self, call: CallId) -> f64 {
        self.running.get(&call).map_or(1.0, |running| running.slowness)
    }

    /// Returns how many calls run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many calls wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Reckons up to `now` what runs.
    fn pass(&mut self, now: MicroTime) {
        let passed = now.since(self.now).0 as f64;
        self.crowd += passed * self.running.len() as f64;
        self.limit.pass(now, !self.waiting.is_empty());
        self.now = now;
    }

    fn arrive(&mut self, call: WaitingCall, out: &mut Vec<AdmissionAction>) {
        if self.leaving {
            out.push(self.refuse(call.call, RefusalReason::Leaving));
            return;
        }
        if self.has_room() && self.waiting.is_empty() {
            self.arrive_at_free_slot(call, out);
            return;
        }
        let ahead = self.waiting.iter().filter(|other| !self.goes_before(&call, other));
        let cold = self.cold.wait_behind(self.now, ahead.clone().count());
        if cold > MicroTime(0) && !call.last {
            out.push(self.refuse(call.call, RefusalReason::Cold));
            return;
        }
        if self.now + self.wait_behind(ahead).max(cold) >= call.give_up {
            out.push(self.refuse(call.call, RefusalReason::TooLate));
            return;
        }
        if !call.last && self.waiting.len() >= self.short_queue() {
            out.push(self.refuse(call.call, RefusalReason::Full));
            return;
        }
        self.waiting.push(call);
        if self.waiting.len() > self.limit() * QUEUE_PER_SLOT {
            self.evict(out);
        }
    }

    fn arrive_at_free_slot(&mut self, call: WaitingCall, out: &mut Vec<AdmissionAction>) {
        if call.deadline <= self.now {
            out.push(self.refuse(call.call, RefusalReason::TooLate));
        } else if !call.last && self.speed.is_slow() {
            out.push(self.refuse(call.call, RefusalReason::Slow));
        } else if self.should_wait(&call) {
            self.waiting.push(call);
        } else {
            self.begin(call, out);
        }
    }

    /// Tells whether a call that could start should wait for the host to be
    /// faster. One that is late anyway starts.
    fn should_wait(&self, call: &WaitingCall) -> bool {
        call.give_up > self.now && self.speed.is_worth_waiting(f64::from(call.work_us))
    }

    /// Tells whether one more call may begin, as far as slots and a cold target go.
    fn has_room(&self) -> bool {
        self.running.len() < self.limit() && self.cold.has_room(self.now)
    }

    fn short_queue(&self) -> usize {
        self.limit() / SHORT_QUEUE_PART
    }

    fn finish(&mut self, call: CallId, took: Option<MicroTime>, failed: bool) {
        let Some(ended) = self.running.remove(&call) else { return };
        let Some(took) = took else { return };
        self.failing += FAILURE_WEIGHT * (f64::from(u8::from(failed)) - self.failing);
        // A fast failure says nothing of how long an answer takes.
        if !failed {
            self.service_us += SERVICE_WEIGHT * (took.0 as f64 - self.service_us);
            self.note_stretch(&ended);
        }
    }

    /// Tells the limit how much longer than usual an answered call took.
    fn note_stretch(&mut self, ended: &RunningCall) {
        let ran = self.now.since(ended.since).0 as f64;
        if ended.work_us == 0 || ran <= 0.0 {
            return;
        }
        let beside = (self.crowd - ended.crowd_then) / ran;
        let stretch = ran / ended.slowness / f64::from(ended.work_us);
        self.limit.note(self.now, beside, stretch);
    }

    /// Refuses what waited in vain; starts it where there is room to spare, since
    /// a late answer is better than none.
    fn expire(&mut self, out: &mut Vec<AdmissionAction>) {
        let mut index = 0;
        while index < self.waiting.len() {
            if self.waiting[index].give_up > self.now {
                index += 1;
                continue;
            }
            let call = self.waiting.swap_remove(index);
            self.in_vain = Some(self.now);
            if call.deadline > self.now && self.has_room_to_spare() {
                self.begin(call, out);
            } else {
                out.push(self.refuse(call.call, RefusalReason::TooLate));
            }
        }
    }

    fn has_room_to_spare(&self) -> bool {
        self.running.len() * SPARE_PART < self.limit() && self.cold.has_room(self.now)
    }

    fn start(&mut self, out: &mut Vec<AdmissionAction>) {
        while self.has_room() {
            let ready = |&index: &usize| !self.should_wait(&self.waiting[index]);
            let first = (0..self.waiting.len()).filter(ready).reduce(|first, index| {
                let before = self.goes_before(&self.waiting[index], &self.waiting[first]);
                if before { index } else { first }
            });
            let Some(first) = first else { return };
            let call = self.waiting.swap_remove(first);
            self.begin(call, out);
        }
    }

    fn begin(&mut self, call: WaitingCall, out: &mut Vec<AdmissionAction>) {
        let running = RunningCall {
            account: call.account,
            since: self.now,
            work_us: call.work_us,
            slowness: self.speed.slowness(),
            crowd_then: self.crowd,
        };
        self.running.insert(call.call, running);
        self.cold.begin(self.now);
        out.push(AdmissionAction::Start(call.call));
    }

    fn refuse(&self, call: CallId, reason: RefusalReason) -> AdmissionAction {
        AdmissionAction::Refuse { call, reason, retry_after_ms: self.retry_after_ms() }
    }
}
