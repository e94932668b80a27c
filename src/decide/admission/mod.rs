//! Admission control of a target: which calls its guard starts, and in which order.
//!
//! Every event carries the time. The number of running calls is limited to the number at
//! which the target answers the most calls per second, which may be less than its slots.
//! A short queue holds further calls, ordered by priority, then by account (the one that
//! used the least of its share lately first), then by earliest deadline; in overload, by latest
//! deadline instead, which puts the newest calls first. While the host is in a slow period,
//! calls that would be late if they started now wait for its end or are sent on to another
//! target. A cold target starts at most as many calls per second as it can sustain; the
//! queue order decides which. A call that can't be served in time is refused at once, unless
//! it can use capacity that no other call needs.

mod announced;
mod events;
mod forecast;
mod nested_slots;
mod order;
mod refusal;
mod report;

use std::collections::HashMap;

use crate::base::clock::MicroTime;
use crate::base::ids::{AccountName, CallId};
use crate::base::wire::{CallPriority, RefusalReason};
use crate::decide::account_usage::AccountUsage;
use crate::decide::cold_start::ColdStartLimit;
use crate::decide::host_speed::HostSpeed;
use crate::decide::limit::ConcurrencyLimit;
use crate::decide::rate_limit::RateLimit;
use nested_slots::NestedLoad;

pub use events::{AdmissionAction, AdmissionEvent, WaitingCall};

/// Maximum number of waiting calls for each call that may run at once.
const QUEUE_PER_SLOT: usize = 2;

/// A target has spare capacity while it runs fewer calls than its concurrency limit
/// divided by this number.
const SPARE_CAPACITY_DIVISOR: usize = 2;

/// Weight of the newest service time in the moving average.
const SERVICE_WEIGHT: f64 = 0.2;

/// Weight of the newest answer in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;

/// Service time assumed before the first answer, in microseconds.
const INITIAL_SERVICE_US: f64 = 10_000.0;

/// A call that occupies a slot.
#[derive(Clone, Debug)]
struct RunningCall {
    account: AccountName,
    priority: CallPriority,
    nested: bool,
    started_at: MicroTime,
    /// Expected service time on a host of normal speed, in microseconds; zero if unknown.
    work_us: u32,
    /// Slowness factor of the host when it started.
    slowness: f64,
    /// [`AdmissionQueue::running_time_us`] when it started.
    running_time_at_start: f64,
}

/// The admission queue of one target.
///
/// Invariants: an outer call starts only while fewer than `limit` calls run, a nested call only
/// while fewer than `limit` plus the reserved slots do, and both only if the cold-start and rate
/// limits permit it; a call waits only if one of these limits is reached or the host is in a
/// slow period; each arrival gets exactly one `Start` or `Refuse`, unless cancelled.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    limit: ConcurrencyLimit,
    speed: HostSpeed,
    cold_start: ColdStartLimit,
    rate_limit: RateLimit,
    nested_load: NestedLoad,
    /// Integral over time of the number of running calls, in microseconds.
    running_time_us: f64,
    /// Use of the target by client accounts.
    accounts: AccountUsage,
    running: HashMap<CallId, RunningCall>,
    waiting: Vec<WaitingCall>,
    /// Moving average of the service time, in microseconds.
    service_us: f64,
    /// Latest slowness reported by the target, in percent; zero before the first report.
    slowness: u16,
    /// Moving average of the fraction of failed answers.
    failure_rate: f64,
    /// Whether all arrivals are refused, since the target is leaving or may not start calls.
    closed: bool,
    /// Sequence number of the latest load report.
    sequence: u64,
    /// Latest time at which a call reached its queue deadline without a slot.
    last_expiry: Option<MicroTime>,
    /// Time of the latest event.
    now: MicroTime,
}

impl AdmissionQueue {
    /// Creates the queue of a target that can run `slots` calls at once.
    #[must_use]
    pub fn open(slots: u16) -> Self {
        Self {
            limit: ConcurrencyLimit::open(slots),
            speed: HostSpeed::default(),
            cold_start: ColdStartLimit::default(),
            rate_limit: RateLimit::default(),
            nested_load: NestedLoad::default(),
            running_time_us: 0.0,
            accounts: AccountUsage::open(),
            running: HashMap::new(),
            waiting: Vec::new(),
            service_us: INITIAL_SERVICE_US,
            slowness: 0,
            failure_rate: 0.0,
            closed: false,
            sequence: 0,
            last_expiry: None,
            now: MicroTime(0),
        }
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: MicroTime, event: AdmissionEvent, out: &mut Vec<AdmissionAction>) {
        self.advance(now);
        match event {
            AdmissionEvent::Arrive(call) => self.arrive(call, out),
            AdmissionEvent::Finish { call, took, failed } => self.finish(call, took, failed),
            AdmissionEvent::Cancel(call) => {
                self.waiting.retain(|waiting| waiting.call != call);
                // The call may have started just before its caller disconnected.
                self.release_slot(call);
            }
            AdmissionEvent::Tick => {}
        }
        self.expire_waiting(out);
        self.start_waiting(out);
        self.check();
    }

    /// Checks the invariants, in builds with debug assertions.
    fn check(&self) {
        let has_to_wait = |call: &WaitingCall| !self.may_start(call);
        debug_assert!(self.waiting.iter().all(has_to_wait), "a call waits despite a free slot");
        let is_running = |call: &WaitingCall| self.running.contains_key(&call.call);
        debug_assert!(!self.waiting.iter().any(is_running), "a call is both waiting and running");
        debug_assert!(!self.closed || self.waiting.is_empty(), "a call waits in a closed queue");
    }

    /// Refuses all waiting calls and, from now on, all arrivals.
    pub fn close(&mut self, out: &mut Vec<AdmissionAction>) {
        self.closed = true;
        let waiting = std::mem::take(&mut self.waiting);
        for call in waiting {
            out.push(self.refuse(&call, RefusalReason::Leaving));
        }
    }

    /// Accepts calls again after [`Self::close`].
    pub fn reopen(&mut self) {
        self.closed = false;
    }

    /// Returns whether all arrivals are refused.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed
    }

    /// Changes the number of slots.
    pub fn resize(&mut self, slots: u16) {
        self.limit.resize(slots);
    }

    /// Returns the number of calls that may run at once.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit.limit()
    }

    /// Records the slowness that the target reports: the current duration of work, in
    /// percent of the normal one.
    ///
    /// Calls that can start because of it do so in the next [`Self::step`].
    pub fn note_slowness(&mut self, now: MicroTime, percent: u16) {
        self.speed.note_slowness(now, percent);
        self.slowness = percent;
    }

    /// Records an account's use of its quota over the fleet, in thousandths; zero if unknown.
    pub fn note_account(&mut self, now: MicroTime, account: &AccountName, share: u16, usage: u16) {
        self.accounts.record_arrival(now, account, share);
        self.accounts.record_quota_use(now, account, usage);
    }

    /// Returns the use of the target by client accounts.
    #[must_use]
    pub const fn accounts(&self) -> &AccountUsage {
        &self.accounts
    }

    /// Returns the observed speed of the target's host.
    #[must_use]
    pub const fn speed(&self) -> &HostSpeed {
        &self.speed
    }

    /// Returns the limit on starts at a cold target.
    #[must_use]
    pub const fn cold_start(&self) -> &ColdStartLimit {
        &self.cold_start
    }

    /// Returns the limit on starts at a cold target, to update it.
    ///
    /// Calls that can start because of it do so in the next [`Self::step`].
    pub const fn cold_start_mut(&mut self) -> &mut ColdStartLimit {
        &mut self.cold_start
    }

    /// Returns the limit on the rate of starts that the target states.
    #[must_use]
    pub const fn rate_limit(&self) -> &RateLimit {
        &self.rate_limit
    }

    /// Returns the limit on the rate of starts that the target states, to update it.
    ///
    /// Calls that can start because of it do so in the next [`Self::step`].
    pub const fn rate_limit_mut(&mut self) -> &mut RateLimit {
        &mut self.rate_limit
    }

    /// Returns the slowness factor of a running call: that of its host when the call
    /// started. Returns 1 for a call that is not running.
    #[must_use]
    pub fn slowness_of(&self, call: CallId) -> f64 {
        self.running.get(&call).map_or(1.0, |running| running.slowness)
    }

    /// Returns the number of running calls.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Updates the time-dependent state to `now`.
    fn advance(&mut self, now: MicroTime) {
        let elapsed = now.since(self.now).0 as f64;
        self.running_time_us += elapsed * self.running.len() as f64;
        self.limit.advance(now, !self.waiting.is_empty());
        let nested = self.running.values().filter(|running| running.nested).count();
        self.nested_load.advance(now.since(self.now), nested, self.limit.slots());
        self.now = now;
    }

    fn arrive(&mut self, call: WaitingCall, out: &mut Vec<AdmissionAction>) {
        if self.closed {
            out.push(self.refuse(&call, RefusalReason::Leaving));
            return;
        }
        self.accounts.record_arrival(self.now, &call.account, call.share);
        if self.has_capacity_for(&call) && self.is_next(&call) {
            self.arrive_at_free_slot(call, out);
            return;
        }
        if let Some(reason) = self.refusal_on_arrival(&call) {
            out.push(self.refuse(&call, reason));
            return;
        }
        self.waiting.push(call);
        if self.waiting.len() > self.limit() * QUEUE_PER_SLOT {
            self.evict_last(out);
        }
    }

    /// Handles an arrival that could start at once.
    fn arrive_at_free_slot(&mut self, call: WaitingCall, out: &mut Vec<AdmissionAction>) {
        if call.deadline <= self.now {
            out.push(self.refuse(&call, RefusalReason::TooLate));
        } else if !call.last_target && self.speed.is_slow() {
            out.push(self.refuse(&call, RefusalReason::Slow));
        } else if self.should_wait(&call) {
            self.waiting.push(call);
        } else {
            self.start_call(call, out);
        }
    }

    /// Returns whether a call that could start should wait for the end of the host's slow
    /// period. A call that has reached its queue deadline does not wait.
    fn should_wait(&self, call: &WaitingCall) -> bool {
        call.queue_deadline > self.now && self.speed.is_worth_waiting(f64::from(call.work_us))
    }

    /// Frees the slot of a call and updates the statistics, unless it was never dispatched.
    fn finish(&mut self, call: CallId, took: Option<MicroTime>, failed: bool) {
        let Some(ended) = self.release_slot(call) else { return };
        let Some(took) = took else { return };
        self.failure_rate += FAILURE_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
        // The time to a failure says nothing about the time to an answer.
        if !failed {
            self.service_us += SERVICE_WEIGHT * (took.0 as f64 - self.service_us);
            self.record_slowdown(&ended);
        }
    }

    fn release_slot(&mut self, call: CallId) -> Option<RunningCall> {
        let ended = self.running.remove(&call)?;
        self.accounts.record_end(self.now, &ended.account);
        Some(ended)
    }

    /// Passes on to the concurrency limit by which factor an answered call took longer than
    /// normal, apart from the host's slowness.
    fn record_slowdown(&mut self, ended: &RunningCall) {
        let ran = self.now.since(ended.started_at).0 as f64;
        if ended.work_us == 0 || ran <= 0.0 {
            return;
        }
        let concurrency = (self.running_time_us - ended.running_time_at_start) / ran;
        let slowdown = ran / ended.slowness / f64::from(ended.work_us);
        self.limit.record(self.now, concurrency, slowdown);
    }

    /// Removes waiting calls that have reached their queue deadline. Those before their
    /// caller's deadline start if there is spare capacity, since a late answer is better
    /// than none; the others are refused.
    fn expire_waiting(&mut self, out: &mut Vec<AdmissionAction>) {
        let mut index = 0;
        while index < self.waiting.len() {
            if self.waiting[index].queue_deadline > self.now {
                index += 1;
                continue;
            }
            let call = self.waiting.swap_remove(index);
            self.last_expiry = Some(self.now);
            if call.deadline > self.now && self.has_spare_capacity() {
                self.start_call(call, out);
            } else {
                out.push(self.refuse(&call, RefusalReason::TooLate));
            }
        }
    }

    fn has_spare_capacity(&self) -> bool {
        self.running.len() * SPARE_CAPACITY_DIVISOR < self.limit() && self.may_start_now()
    }

    /// Starts waiting calls in queue order while the limits permit it.
    fn start_waiting(&mut self, out: &mut Vec<AdmissionAction>) {
        while !self.waiting.is_empty() && self.may_start_now() {
            let may_start = |&index: &usize| self.may_start(&self.waiting[index]);
            let first = (0..self.waiting.len()).filter(may_start).reduce(|first, index| {
                let before = self.goes_before(&self.waiting[index], &self.waiting[first]);
                if before { index } else { first }
            });
            let Some(first) = first else { return };
            let call = self.waiting.swap_remove(first);
            self.start_call(call, out);
        }
    }

    fn start_call(&mut self, call: WaitingCall, out: &mut Vec<AdmissionAction>) {
        self.accounts.record_start(self.now, &call.account);
        let running = RunningCall {
            account: call.account,
            priority: call.priority,
            nested: call.nested,
            started_at: self.now,
            work_us: call.work_us,
            slowness: self.speed.slowness(),
            running_time_at_start: self.running_time_us,
        };
        self.running.insert(call.call, running);
        self.cold_start.record_start(self.now);
        self.rate_limit.record_start(self.now);
        out.push(AdmissionAction::Start(call.call));
    }
}
