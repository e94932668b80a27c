//! Memory for the bodies of the calls that an entry or a guard has, with waits for it.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use prometheus::{IntCounter, IntGauge};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

use crate::base::clock::{MicroTime, ProcessClock};
use crate::base::consts::SHORTAGE_CHECK_INTERVAL;
use crate::base::memory_plan::{DutyMemoryUse, MemoryPlan, MemoryUse, SMALL_BODY_BYTES};
use crate::base::metrics::DaemonMetrics;
use crate::decide::body_memory::{BodyMemory, BodyNumber};

/// Which duty keeps the bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodySide {
    Entry,
    Guard,
}

impl BodySide {
    const fn label(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Guard => "guard",
        }
    }
}

/// Which of the two memories a body uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum BodySize {
    Small,
    Large,
}

impl BodySize {
    /// Returns the memory that a body of a length uses.
    pub(crate) const fn of(length: usize) -> Self {
        if length <= SMALL_BODY_BYTES { Self::Small } else { Self::Large }
    }
}

/// Memory of a daemon for its calls, of which the entry and the guard share the part for large
/// bodies.
#[derive(Clone, Debug)]
pub(crate) struct DaemonMemory {
    pub(crate) plan: MemoryPlan,
    /// Sum of the large bodies of both, in bytes; at most that of the plan.
    large_held: Arc<AtomicU64>,
}

impl DaemonMemory {
    /// Creates the memory of a daemon with `memory_mb` MiB, all of it free.
    pub(crate) fn open(memory_mb: u64) -> Self {
        Self { plan: MemoryPlan::of_mib(memory_mb), large_held: Arc::default() }
    }

    /// Takes memory for a large body; returns whether there was enough.
    fn try_take(&self, bytes: u64) -> bool {
        let limit = self.plan.large_bodies();
        let add = |held: u64| Some(held + bytes).filter(|held| *held <= limit);
        self.large_held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }

    fn give_back(&self, bytes: u64) {
        self.large_held.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Memory for all bodies of a duty.
pub(crate) struct BodyRoom {
    clock: ProcessClock,
    small: RefCell<BodyMemory>,
    large: RefCell<BodyMemory>,
    daemon_memory: DaemonMemory,
    /// Tells bodies that are being received that they were given up.
    receivers: RefCell<HashMap<(BodySize, BodyNumber), Rc<Notify>>>,
    /// Wakes the bodies that wait for memory.
    waiters: RefCell<BTreeMap<(BodySize, BodyNumber), Rc<Notify>>>,
    held_bytes: IntGauge,
    waits: IntCounter,
    given_up: IntCounter,
}

/// Memory of one body, which is returned when this is dropped.
pub(crate) struct BodyPermit {
    room: Rc<BodyRoom>,
    size: BodySize,
    number: BodyNumber,
    given_up: Rc<Notify>,
}

impl BodyRoom {
    /// Creates the memory of a duty, all of it free.
    pub(crate) fn open(
        clock: ProcessClock,
        daemon_memory: &DaemonMemory,
        side: BodySide,
        metrics: &Arc<DaemonMetrics>,
    ) -> Rc<Self> {
        let labels = &[side.label()];
        let plan = daemon_memory.plan;
        Rc::new(Self {
            clock,
            small: RefCell::new(BodyMemory::open_for_small(plan.small_bodies())),
            large: RefCell::new(BodyMemory::open_with_share(
                plan.large_bodies_of_each(),
                plan.longest_body(),
            )),
            daemon_memory: daemon_memory.clone(),
            receivers: RefCell::default(),
            waiters: RefCell::default(),
            held_bytes: metrics.memory.body_bytes.with_label_values(labels),
            waits: metrics.memory.body_waits.with_label_values(labels),
            given_up: metrics.memory.bodies_given_up.with_label_values(labels),
        })
    }

    /// Returns the length of the longest body that can be held.
    pub(crate) fn max_length(&self) -> u64 {
        self.large.borrow().capacity()
    }

    /// Adds a body of at most `claim` bytes, which has no memory yet; `None` if it can't be held.
    pub(crate) fn open_body(
        self: &Rc<Self>,
        size: BodySize,
        claim: u64,
        deadline: MicroTime,
    ) -> Option<BodyPermit> {
        let number = self.memory(size).borrow_mut().open_body(self.clock.now(), claim, deadline)?;
        let given_up = Rc::new(Notify::new());
        self.receivers.borrow_mut().insert((size, number), Rc::clone(&given_up));
        Some(BodyPermit { room: Rc::clone(self), size, number, given_up })
    }

    /// Returns limits and current use.
    pub(crate) fn memory_use(&self) -> DutyMemoryUse {
        let describe = |memory: &BodyMemory| MemoryUse {
            limit_bytes: memory.share(),
            held_bytes: memory.held(),
            waiting: memory.waiting(),
        };
        DutyMemoryUse {
            small: describe(&self.small.borrow()),
            large: describe(&self.large.borrow()),
        }
    }

    const fn memory(&self, size: BodySize) -> &RefCell<BodyMemory> {
        match size {
            BodySize::Small => &self.small,
            BodySize::Large => &self.large,
        }
    }

    fn update_gauge(&self) {
        let held = self.small.borrow().held() + self.large.borrow().held();
        self.held_bytes.set(held.cast_signed());
    }

    /// Lets those that wait try again: of the small bodies one, which lets the next one try.
    fn wake_waiters(&self, size: BodySize) {
        let waiters = self.waiters.borrow();
        match size {
            BodySize::Small => {
                let first = self.small.borrow().first_waiting();
                let waiter = first.and_then(|number| waiters.get(&(size, number)));
                if let Some(waiter) = waiter {
                    waiter.notify_one();
                }
            }
            BodySize::Large => {
                let large = waiters.iter().filter(|((size, _), _)| *size == BodySize::Large);
                for (_, waiter) in large {
                    waiter.notify_one();
                }
            }
        }
    }

    /// Gives up a body that keeps others waiting and arrives too slowly, if there is one.
    fn give_up_hopeless(&self, size: BodySize) {
        let hopeless = self.memory(size).borrow().find_hopeless(self.clock.now());
        let Some(number) = hopeless else { return };
        if let Some(receiver) = self.receivers.borrow_mut().remove(&(size, number)) {
            self.given_up.inc();
            receiver.notify_one();
        }
    }
}

impl BodyPermit {
    /// Takes memory if there is some now; returns whether there was.
    pub(crate) fn try_take(&self, bytes: usize) -> bool {
        let (room, bytes) = (&self.room, bytes as u64);
        let now = room.clock.now();
        let mut memory = room.memory(self.size).borrow_mut();
        if self.size == BodySize::Large && !room.daemon_memory.try_take(bytes) {
            memory.wait(now, self.number);
            return false;
        }
        let granted = memory.take(now, self.number, bytes);
        drop(memory);
        if granted {
            room.update_gauge();
        } else if self.size == BodySize::Large {
            room.daemon_memory.give_back(bytes);
        }
        granted
    }

    /// Returns whether the body would fit into the memory of this duty, but the other one uses
    /// too much of what they share.
    pub(crate) fn is_kept_out_by_other(&self, bytes: usize) -> bool {
        let own = self.room.large.borrow().held();
        let memory = &self.room.daemon_memory;
        let other = memory.large_held.load(Ordering::Relaxed).saturating_sub(own);
        self.size == BodySize::Large && bytes as u64 + other > memory.plan.large_bodies()
    }

    /// Returns whether the body has any memory.
    pub(crate) fn has_memory(&self) -> bool {
        self.room.memory(self.size).borrow().held_by(self.number) > 0
    }

    /// Takes memory, for which it waits until `until` at most; returns whether it got any.
    pub(crate) async fn take(&self, bytes: usize, until: Instant) -> bool {
        if self.try_take(bytes) {
            return true;
        }
        self.room.waits.inc();
        let waiter = WaitingBody::open(self);
        let wait = async {
            loop {
                if self.size == BodySize::Large || self.is_first_waiting() {
                    self.room.give_up_hopeless(self.size);
                }
                tokio::select! {
                    () = waiter.woken.notified() => {}
                    () = sleep(SHORTAGE_CHECK_INTERVAL) => {}
                }
                if self.try_take(bytes) {
                    return;
                }
            }
        };
        let taken = timeout_at(until, wait).await.is_ok();
        drop(waiter);
        if taken && self.size == BodySize::Small {
            self.room.wake_waiters(self.size);
        }
        taken
    }

    /// Waits until the body is given up for others.
    pub(crate) async fn wait_given_up(&self) {
        self.given_up.notified().await;
    }

    /// Records that a part of the body arrived.
    pub(crate) fn note_progress(&self, bytes: usize) {
        let now = self.room.clock.now();
        self.room.memory(self.size).borrow_mut().note_progress(now, self.number, bytes as u64);
    }

    fn is_first_waiting(&self) -> bool {
        self.room.memory(self.size).borrow().is_first_waiting(self.number)
    }

    /// Records that the whole body has arrived.
    pub(crate) fn complete(&self) {
        self.room.memory(self.size).borrow_mut().complete(self.number);
        self.room.receivers.borrow_mut().remove(&(self.size, self.number));
        // Others may take what this one has claimed and does not need.
        self.room.wake_waiters(self.size);
    }
}

/// A body that waits for memory until this is dropped.
struct WaitingBody<'a> {
    permit: &'a BodyPermit,
    woken: Rc<Notify>,
}

impl<'a> WaitingBody<'a> {
    fn open(permit: &'a BodyPermit) -> Self {
        let woken = Rc::new(Notify::new());
        let key = (permit.size, permit.number);
        permit.room.waiters.borrow_mut().insert(key, Rc::clone(&woken));
        Self { permit, woken }
    }
}

impl Drop for WaitingBody<'_> {
    fn drop(&mut self) {
        let key = (self.permit.size, self.permit.number);
        self.permit.room.waiters.borrow_mut().remove(&key);
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        let mut memory = self.room.memory(self.size).borrow_mut();
        if self.size == BodySize::Large {
            self.room.daemon_memory.give_back(memory.held_by(self.number));
        }
        memory.close(self.number);
        drop(memory);
        self.room.receivers.borrow_mut().remove(&(self.size, self.number));
        self.room.update_gauge();
        self.room.wake_waiters(self.size);
    }
}
