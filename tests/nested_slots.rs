//! Slots reserved for nested calls: the chained load of `docs/design/hard-load.md` played at one target,
//! in virtual time.

use std::collections::{BTreeSet, HashMap};

use railspan::{
    AdmissionAction, AdmissionEvent, AdmissionQueue, CallId, CallPriority, MicroTime, WaitingCall,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const SLOTS: u16 = 6;

/// Length of a play, in milliseconds.
const PLAY_MS: u64 = 30_000;

/// Share of the runs that make calls, for which they hold their slot without working.
const WAITING_SHARE: f64 = 0.7;

const URGENT: CallPriority = CallPriority { urgent: true, worth: 99 };
const ROUTINE: CallPriority = CallPriority { urgent: false, worth: 98 };

/// Calls of one route at the target.
#[derive(Clone, Copy)]
struct CallKind {
    per_s: f64,
    work_ms: u64,
    /// Time for which a run waits for calls of its own, in [`WAITING_SHARE`] of the runs.
    nested_wait_ms: u64,
    objective_ms: u64,
    deadline_ms: u64,
    priority: CallPriority,
    nested: bool,
}

/// A payout order of a client.
const OUTER: CallKind = CallKind {
    per_s: 20.0,
    work_ms: 130,
    nested_wait_ms: 100,
    objective_ms: 500,
    deadline_ms: 1_200,
    priority: ROUTINE,
    nested: false,
};

/// A call that another target makes for one of its runs.
const NESTED: CallKind = CallKind {
    per_s: 30.0,
    work_ms: 29,
    nested_wait_ms: 0,
    objective_ms: 150,
    deadline_ms: 300,
    priority: ROUTINE,
    nested: true,
};

impl CallKind {
    /// Returns the same calls as the target gets them if it doesn't know that they are nested.
    fn unrecognised(self) -> Self {
        Self { nested: false, ..self }
    }

    /// Returns the slot time that these calls take of each second, in milliseconds.
    fn slot_time(self) -> f64 {
        self.per_s * (self.work_ms as f64 + WAITING_SHARE * self.nested_wait_ms as f64)
    }

    fn call(&self, id: u128, now: MicroTime) -> WaitingCall {
        let margin_ms = self.work_ms * 3 / 2;
        let wait_ms = if self.nested { self.deadline_ms } else { self.objective_ms } - margin_ms;
        WaitingCall {
            call: CallId(id),
            account: "".into(),
            share: 1,
            priority: self.priority,
            deadline: now + MicroTime::from_millis(self.deadline_ms),
            queue_deadline: now + MicroTime::from_millis(wait_ms),
            work_us: self.work_ms as u32 * 1_000,
            last_target: true,
            nested: self.nested,
        }
    }
}

/// What callers got in a play, and what the target ran.
#[derive(Default)]
struct PlayResult {
    /// Share of each kind's calls that were answered before their deadline.
    served: Vec<f64>,
    max_reserved: usize,
    max_running: usize,
}

/// A call at the target.
struct PlayedCall {
    kind: usize,
    deadline_ms: u64,
    waiting: bool,
    started_ms: u64,
    /// Time at which its work is done; it holds its slot longer if it waits for nested calls.
    worked_ms: u64,
}

/// Returns the slowness of the target's host in percent: five times the normal one in a quarter
/// of the periods of 150 ms.
fn slowness(now_ms: u64) -> u16 {
    let period = now_ms / 150;
    let is_slow = (period.wrapping_mul(2_654_435_761) >> 7).is_multiple_of(4);
    if is_slow { 500 } else { 100 }
}

/// Plays calls of all kinds at one target, and checks at each start that the call may start.
fn play(kinds: &[CallKind], seed: u64) -> PlayResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut queue = AdmissionQueue::open(SLOTS);
    let mut calls: HashMap<CallId, PlayedCall> = HashMap::new();
    let mut ends: BTreeSet<(u64, CallId)> = BTreeSet::new();
    let mut result = PlayResult::default();
    let mut arrived = vec![0_u32; kinds.len()];
    let mut answered = vec![0_u32; kinds.len()];
    let mut next_id = 0;
    for now_ms in 0..PLAY_MS {
        let now = MicroTime::from_millis(now_ms);
        let mut events = Vec::new();
        if now_ms % 40 == 0 {
            queue.note_slowness(now, slowness(now_ms));
        }
        while let Some((end_ms, id)) = ends.first().copied() {
            if end_ms > now_ms {
                break;
            }
            ends.pop_first();
            let call = calls.remove(&id).expect("call");
            answered[call.kind] += u32::from(now_ms <= call.deadline_ms);
            let took = Some(MicroTime::from_millis(now_ms - call.started_ms));
            events.push(AdmissionEvent::Finish { call: id, took, failed: false });
        }
        for (index, kind) in kinds.iter().enumerate() {
            if rng.random_bool(kind.per_s / 1_000.0) {
                arrived[index] += 1;
                next_id += 1;
                let call = kind.call(next_id, now);
                let deadline_ms = now_ms + kind.deadline_ms;
                let played = PlayedCall {
                    kind: index,
                    deadline_ms,
                    waiting: false,
                    started_ms: 0,
                    worked_ms: 0,
                };
                calls.insert(call.call, played);
                events.push(AdmissionEvent::Arrive(call));
            }
        }
        events.push(AdmissionEvent::Tick);
        for event in events {
            let before =
                queue.running() - usize::from(matches!(event, AdmissionEvent::Finish { .. }));
            if let AdmissionEvent::Arrive(arriving) = &event
                && let Some(call) = calls.get_mut(&arriving.call)
            {
                call.waiting = true;
            }
            let mut out = Vec::new();
            queue.step(now, event, &mut out);
            let starts = out.iter().filter(|action| matches!(action, AdmissionAction::Start(_)));
            assert!(queue.running() <= usize::from(SLOTS));
            assert_eq!(queue.running(), before + starts.count());
            let mut running = before;
            for action in out {
                match action {
                    AdmissionAction::Refuse { call, .. } => drop(calls.remove(&call)),
                    AdmissionAction::Start(id) => {
                        check_start(&queue, kinds, &calls, id, running);
                        running += 1;
                        let working =
                            calls.values().filter(|call| call.worked_ms > now_ms).count() + 1;
                        let busy = (working as f64 / f64::from(SLOTS) - 0.8).max(0.0) / 0.2;
                        let call = calls.get_mut(&id).expect("call");
                        call.waiting = false;
                        call.started_ms = now_ms;
                        let work_ms = kinds[call.kind].work_ms as f64 * (1.0 + 0.8 * busy);
                        let took_ms = work_ms * f64::from(slowness(now_ms)) / 100.0;
                        call.worked_ms = now_ms + took_ms as u64;
                        let waits = rng.random_bool(WAITING_SHARE);
                        let wait_ms = if waits { kinds[call.kind].nested_wait_ms } else { 0 };
                        ends.insert((call.worked_ms + wait_ms, id));
                    }
                }
            }
        }
        let has_to_wait = queue.running() >= queue.limit() || queue.speed().is_slow();
        assert!(queue.waiting() == 0 || has_to_wait, "a call waits although the limit permits it");
        result.max_reserved = result.max_reserved.max(queue.reserved_slots());
        result.max_running = result.max_running.max(queue.running());
    }
    let shares = answered.iter().zip(&arrived);
    result.served = shares.map(|(got, of)| f64::from(*got) / f64::from((*of).max(1))).collect();
    result
}

/// Checks that a call may start beside `running` others: an outer call below the limit, and a
/// nested one below the limit plus the reserved slots, and beyond the limit only if no more
/// urgent outer call waits for the limit.
fn check_start(
    queue: &AdmissionQueue,
    kinds: &[CallKind],
    calls: &HashMap<CallId, PlayedCall>,
    id: CallId,
    running: usize,
) {
    let kind = &kinds[calls[&id].kind];
    if running < queue.limit() {
        return;
    }
    assert!(kind.nested, "outer call started beside {running} of {}", queue.limit());
    assert!(running < queue.limit() + queue.reserved_slots(), "started beyond the reserved slots");
    // While the host is slow, calls may wait for the end of that instead.
    let goes_before = |call: &&PlayedCall| {
        call.waiting && !kinds[call.kind].nested && kinds[call.kind].priority > kind.priority
    };
    let passed = calls.values().any(|call| goes_before(&call));
    assert!(!passed || queue.speed().is_slow(), "a nested call passed a more urgent outer one");
}

/// Returns the mean share served of each kind over several plays.
fn mean_served(kinds: &[CallKind]) -> Vec<f64> {
    const PLAYS: u64 = 8;
    let mut sums = vec![0.0; kinds.len()];
    for seed in 0..PLAYS {
        for (sum, served) in sums.iter_mut().zip(play(kinds, seed).served) {
            *sum += served / PLAYS as f64;
        }
    }
    sums
}

/// Nested calls were refused behind outer ones, and the work of the runs that made them was lost.
#[test_case(20.0, 0.3; "more outer calls than the target can run")]
#[test_case(5.0, 0.02; "load within the capacity of the target but for slow periods")]
fn more_nested_calls_are_served_and_outer_ones_lose_no_more_than_these_gain(
    per_s: f64,
    min_gain: f64,
) {
    let outer = CallKind { per_s, ..OUTER };
    let plain = mean_served(&[outer, NESTED.unrecognised()]);
    let reserved = mean_served(&[outer, NESTED]);
    assert!(reserved[1] >= plain[1] + min_gain, "nested calls served: {plain:?}, {reserved:?}");
    let gained = (reserved[1] - plain[1]) * NESTED.slot_time();
    let lost = (plain[0] - reserved[0]) * outer.slot_time();
    assert!(lost <= gained, "outer calls served: {plain:?}, {reserved:?}");
}

/// Urgent outer calls would queue behind the nested calls of less urgent runs.
#[test]
fn urgent_outer_calls_are_served_as_if_nested_calls_were_not_recognised() {
    let urgent = CallKind { priority: URGENT, ..OUTER };
    let many = CallKind { per_s: 120.0, ..NESTED };
    let plain = mean_served(&[urgent, many.unrecognised()]);
    let reserved = mean_served(&[urgent, many]);
    assert!(reserved[0] >= plain[0] - 0.03, "urgent calls served: {plain:?}, {reserved:?}");
    assert!(reserved[1] >= plain[1], "nested calls served: {plain:?}, {reserved:?}");
}

/// Slots that stay reserved would be lost to the limit's own measurements.
#[test]
fn slots_are_reserved_for_the_mean_concurrency_of_nested_calls_while_there_are_some() {
    let mut queue = AdmissionQueue::open(SLOTS);
    let mut out = Vec::new();
    let mut reserved_at = Vec::new();
    for now_ms in 0..20_000_u64 {
        let now = MicroTime::from_millis(now_ms);
        // Fifty calls a second of 29 ms each, for 8 s.
        if now_ms % 20 == 0 && now_ms < 8_000 {
            let call = NESTED.call(u128::from(now_ms), now);
            queue.step(now, AdmissionEvent::Arrive(call), &mut out);
        }
        if now_ms % 20 == 9 && (29..8_029).contains(&now_ms) {
            let (call, took) = (CallId(u128::from(now_ms - 29)), Some(MicroTime(29_000)));
            queue.step(now, AdmissionEvent::Finish { call, took, failed: false }, &mut out);
        }
        queue.step(now, AdmissionEvent::Tick, &mut out);
        reserved_at.push(queue.reserved_slots());
    }
    assert_eq!(reserved_at[0], 0, "reserved before the first nested calls were seen");
    assert!(reserved_at[2_000..8_000].iter().all(|reserved| (1..=2).contains(reserved)));
    assert_eq!(reserved_at.last(), Some(&0), "reserved after the last nested call");
    let changes = reserved_at.windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert!(changes <= 4, "{changes} changes under a steady load");
}

/// A target without nested calls must not notice that there could be some.
#[test]
fn without_nested_calls_no_slot_is_reserved_and_the_limit_holds() {
    for seed in 0..4 {
        let result = play(&[OUTER, NESTED.unrecognised()], seed);
        assert_eq!(result.max_reserved, 0);
        assert!(result.max_running <= usize::from(SLOTS));
    }
}
