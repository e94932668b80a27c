//! Admission queue of a target under arbitrary sequences of events.

#[path = "common/seeded.rs"]
mod seeded;

use std::collections::{HashMap, HashSet};

use proptest::prelude::*;
use railspan::{
    AdmissionAction, AdmissionEvent, AdmissionQueue, CallId, CallPriority, MicroTime,
    RefusalReason, WaitingCall,
};
use seeded::seeded;
use test_case::test_case;

/// One step of a random sequence; `index` selects one of the present calls.
#[derive(Clone, Debug)]
enum Step {
    Arrive { account: u8, urgent: bool, worth: u8, remaining_us: u64 },
    Finish { index: usize, failed: bool },
    Cancel { index: usize },
    AdvanceTime { us: u64 },
    Leave,
    Rejoin,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u8..4, any::<bool>(), 1_u8..5, 0_u64..60_000)
            .prop_map(|(account, urgent, worth, remaining_us)| Step::Arrive { account, urgent, worth, remaining_us }),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(index, failed)| Step::Finish { index, failed }),
        1 => any::<usize>().prop_map(|index| Step::Cancel { index }),
        3 => (0_u64..20_000).prop_map(|us| Step::AdvanceTime { us }),
        1 => Just(Step::Leave),
        1 => Just(Step::Rejoin),
    ]
}

fn waiting_call(id: u128, account: u8, priority: CallPriority, deadline: MicroTime) -> WaitingCall {
    WaitingCall {
        call: CallId(id),
        account: format!("account-{account}").as_str().into(),
        share: 1,
        priority,
        deadline,
        queue_deadline: deadline,
        work_us: 0,
        last_target: true,
        nested: false,
    }
}

proptest! {
    #![proptest_config(seeded(300))]

    /// No call starts after its deadline, above the limit or while the target leaves, and calls wait
    /// only while the limit is reached.
    #[test]
    fn every_call_is_started_or_refused_once(slots in 1_u16..6, steps in proptest::collection::vec(step(), 1..200)) {
        let mut queue = AdmissionQueue::open(slots);
        let mut now = MicroTime(0);
        let mut waiting: HashMap<CallId, MicroTime> = HashMap::new();
        let mut running: Vec<CallId> = Vec::new();
        let mut decided: HashSet<CallId> = HashSet::new();
        for (number, step) in steps.into_iter().enumerate() {
            let mut out = Vec::new();
            match step {
                Step::Arrive { account, urgent, worth, remaining_us } => {
                    let deadline = now + MicroTime(remaining_us);
                    let call = waiting_call(number as u128, account, CallPriority { urgent, worth }, deadline);
                    waiting.insert(call.call, deadline);
                    let state_before = format!("{queue:?}");
                    let forecast = queue.check_arrival(now, &call);
                    prop_assert_eq!(state_before, format!("{:?}", queue), "a check changed the queue");
                    queue.step(now, AdmissionEvent::Arrive(call.clone()), &mut out);
                    let refused = out.iter().find_map(|action| match action {
                        AdmissionAction::Refuse { call: refused, reason, retry_after_ms } if *refused == call.call => {
                            Some((*reason, *retry_after_ms))
                        }
                        _ => None,
                    });
                    prop_assert_eq!(forecast, refused, "the check and the arrival differ");
                }
                Step::Finish { index, failed } if !running.is_empty() => {
                    let call = running.swap_remove(index % running.len());
                    let took = Some(MicroTime(3_000));
                    queue.step(now, AdmissionEvent::Finish { call, took, failed }, &mut out);
                }
                Step::Cancel { index } if !waiting.is_empty() => {
                    let mut calls: Vec<CallId> = waiting.keys().copied().collect();
                    calls.sort_unstable();
                    let call = calls[index % calls.len()];
                    waiting.remove(&call);
                    queue.step(now, AdmissionEvent::Cancel(call), &mut out);
                }
                Step::AdvanceTime { us } => {
                    now = now + MicroTime(us);
                    queue.step(now, AdmissionEvent::Tick, &mut out);
                }
                Step::Leave => queue.close(&mut out),
                Step::Rejoin => queue.reopen(),
                Step::Finish { .. } | Step::Cancel { .. } => {}
            }
            for action in out {
                let (AdmissionAction::Start(call) | AdmissionAction::Refuse { call, .. }) = action;
                let deadline = waiting.remove(&call);
                prop_assert!(deadline.is_some(), "decision about a call that no longer waits");
                prop_assert!(decided.insert(call), "two decisions about one call");
                if let AdmissionAction::Start(call) = action {
                    prop_assert!(deadline > Some(now), "started after its deadline");
                    prop_assert!(!queue.is_closed(), "started while the target leaves");
                    prop_assert!(running.len() < queue.limit(), "started beyond the limit");
                    running.push(call);
                }
            }
            prop_assert!(queue.limit() <= usize::from(slots));
            prop_assert!(running.len() <= queue.limit());
            prop_assert_eq!(queue.running(), running.len());
            prop_assert_eq!(queue.waiting(), waiting.len());
            prop_assert!(waiting.is_empty() || running.len() == queue.limit());
        }
    }

    /// A full queue refuses the call of lowest priority: no call left waiting ranks below one
    /// refused at the same time.
    #[test]
    fn calls_of_the_lowest_priority_are_refused_first(priorities in proptest::collection::vec((any::<bool>(), 1_u8..20), 5..60)) {
        let mut queue = AdmissionQueue::open(1);
        let far_deadline = MicroTime(u64::MAX / 2);
        let mut waiting: HashMap<CallId, CallPriority> = HashMap::new();
        for (number, (urgent, worth)) in priorities.into_iter().enumerate() {
            let priority = CallPriority { urgent, worth };
            let call = waiting_call(number as u128, 0, priority, far_deadline);
            waiting.insert(call.call, priority);
            let mut out = Vec::new();
            queue.step(MicroTime(0), AdmissionEvent::Arrive(call), &mut out);
            for action in out {
                match action {
                    AdmissionAction::Start(call) => { waiting.remove(&call); }
                    AdmissionAction::Refuse { call, reason, retry_after_ms } => {
                        let refused = waiting.remove(&call);
                        prop_assert!(matches!(reason, RefusalReason::Full | RefusalReason::Outranked));
                        prop_assert!(retry_after_ms > 0);
                        prop_assert!(waiting.values().all(|&left| Some(left) >= refused));
                    }
                }
            }
        }
    }

    /// While one account has many calls waiting, another one gets its share of the slots.
    #[test]
    fn a_burst_of_one_account_leaves_another_its_share(burst in 20_usize..60, slots in 2_u16..8) {
        let mut queue = AdmissionQueue::open(slots);
        let far_deadline = MicroTime(u64::MAX / 2);
        let priority = CallPriority { urgent: false, worth: 1 };
        let mut running: Vec<CallId> = Vec::new();
        let mut quiet_started = 0;
        let mut next_number = 0_u128;
        let mut offer = |queue: &mut AdmissionQueue, account, running: &mut Vec<CallId>, quiet_started: &mut usize| {
            let call = waiting_call(next_number * 2 + u128::from(account), account, priority, far_deadline);
            next_number += 1;
            let mut out = Vec::new();
            queue.step(MicroTime(0), AdmissionEvent::Arrive(call), &mut out);
            record_started(&out, running, quiet_started);
        };
        for _ in 0..burst {
            offer(&mut queue, 0, &mut running, &mut quiet_started);
        }
        // The quiet account always has one call waiting, the busy one many.
        for _ in 0..40 {
            offer(&mut queue, 1, &mut running, &mut quiet_started);
            offer(&mut queue, 0, &mut running, &mut quiet_started);
            let call = running.remove(0);
            let mut out = Vec::new();
            let took = Some(MicroTime(1_000));
            queue.step(MicroTime(0), AdmissionEvent::Finish { call, took, failed: false }, &mut out);
            record_started(&out, &mut running, &mut quiet_started);
        }
        prop_assert!(quiet_started >= 12, "the quiet account started only {quiet_started} of 40 calls");
    }
}

/// Records the started calls; odd ids belong to the quiet account.
fn record_started(out: &[AdmissionAction], running: &mut Vec<CallId>, quiet_started: &mut usize) {
    for action in out {
        if let AdmissionAction::Start(call) = action {
            running.push(*call);
            *quiet_started += usize::from(call.0 % 2 == 1);
        }
    }
}

/// The estimated wait for a slot follows from the running calls and those ahead in the queue.
#[test]
fn a_call_that_cannot_start_in_time_is_refused_at_once() {
    let mut queue = AdmissionQueue::open(1);
    let priority = CallPriority { urgent: false, worth: 1 };
    let offer = |queue: &mut AdmissionQueue, id: u128, now_ms: u64, queue_deadline_ms: u64| {
        let mut call = waiting_call(id, 0, priority, MicroTime::from_millis(1_000));
        call.queue_deadline = MicroTime::from_millis(queue_deadline_ms);
        call.work_us = 50_000;
        let mut out = Vec::new();
        queue.step(MicroTime::from_millis(now_ms), AdmissionEvent::Arrive(call), &mut out);
        out
    };
    assert_eq!(offer(&mut queue, 1, 0, 100), [AdmissionAction::Start(CallId(1))]);
    // The slot becomes free at 50 ms, but this call would have to start by 40 ms.
    let refused = offer(&mut queue, 2, 10, 40);
    assert!(matches!(
        refused[..],
        [AdmissionAction::Refuse { reason: RefusalReason::TooLate, .. }]
    ));
    // A call that may start until 60 ms waits; the one behind it can't start by 90 ms.
    assert!(offer(&mut queue, 3, 10, 60).is_empty());
    let refused = offer(&mut queue, 4, 10, 90);
    assert!(matches!(
        refused[..],
        [AdmissionAction::Refuse { reason: RefusalReason::TooLate, .. }]
    ));
    // On a host that is four times slower than normal a call takes 200 ms.
    queue.note_slowness(MicroTime::from_millis(10), 400);
    let refused = offer(&mut queue, 5, 10, 200);
    assert!(matches!(
        refused[..],
        [AdmissionAction::Refuse { reason: RefusalReason::TooLate, .. }]
    ));
}

/// A caller may disconnect at the moment its call gets a slot.
#[test]
fn a_call_cancelled_as_it_starts_frees_its_slot() {
    let mut queue = AdmissionQueue::open(1);
    let mut out = Vec::new();
    let deadline = MicroTime::from_millis(100);
    let call = |id| AdmissionEvent::Arrive(waiting_call(id, 0, CallPriority::default(), deadline));
    queue.step(MicroTime(0), call(1), &mut out);
    assert_eq!(out, [AdmissionAction::Start(CallId(1))]);
    queue.step(MicroTime(1), AdmissionEvent::Cancel(CallId(1)), &mut out);
    assert_eq!(queue.running(), 0);
    out.clear();
    queue.step(MicroTime(2), call(2), &mut out);
    assert_eq!(out, [AdmissionAction::Start(CallId(2))]);
}

/// Creates the queue of a target whose host is five times slower for a quarter of the time, in
/// periods of 150 ms; its latest report is of a slow period.
fn slow_queue(slots: u16) -> AdmissionQueue {
    let mut queue = AdmissionQueue::open(slots);
    for period in 0..=40_u64 {
        let percent = if period % 4 == 0 { 500 } else { 100 };
        queue.note_slowness(MicroTime::from_millis(period * 150), percent);
    }
    queue
}

/// Start of the last slow period of [`slow_queue`], in milliseconds.
const SLOW_PERIOD_START_MS: u64 = 40 * 150;

/// Offers a call with 200 ms of work and returns the resulting actions.
fn offer_work(
    queue: &mut AdmissionQueue,
    id: u128,
    now_ms: u64,
    queue_deadline_ms: u64,
    last_target: bool,
) -> Vec<AdmissionAction> {
    let deadline = MicroTime::from_millis(SLOW_PERIOD_START_MS + 2_000);
    let mut call = waiting_call(id, 0, CallPriority::default(), deadline);
    call.queue_deadline = MicroTime::from_millis(queue_deadline_ms);
    call.work_us = 200_000;
    call.last_target = last_target;
    let mut out = Vec::new();
    queue.step(MicroTime::from_millis(now_ms), AdmissionEvent::Arrive(call), &mut out);
    out
}

#[test]
fn a_call_with_another_target_is_refused_while_the_host_is_slow() {
    let mut queue = slow_queue(8);
    let actions =
        offer_work(&mut queue, 1, SLOW_PERIOD_START_MS, SLOW_PERIOD_START_MS + 300, false);
    assert!(matches!(actions[..], [AdmissionAction::Refuse { reason: RefusalReason::Slow, .. }]));
}

/// A caller that retries during the same slow period would be refused again.
#[test]
fn a_refusal_on_a_slow_host_states_when_the_slow_period_ends() {
    let mut queue = slow_queue(8);
    let retry_after = |queue: &mut AdmissionQueue, after_ms: u64| {
        let now_ms = SLOW_PERIOD_START_MS + after_ms;
        let actions = offer_work(queue, u128::from(after_ms), now_ms, now_ms + 300, false);
        let [AdmissionAction::Refuse { retry_after_ms, .. }] = actions[..] else {
            panic!("{actions:?}")
        };
        retry_after_ms
    };
    // Slow periods last about 150 ms here, and no call runs.
    let first_ms = retry_after(&mut queue, 0);
    assert!((100..=200).contains(&first_ms), "{first_ms} ms");
    let later_ms = retry_after(&mut queue, 60);
    assert!(
        later_ms + 55 <= first_ms && later_ms >= 5,
        "{later_ms} ms later, {first_ms} ms at first"
    );
}

#[test]
fn a_call_without_another_target_waits_for_the_end_of_the_slow_period() {
    let mut queue = slow_queue(8);
    assert!(
        offer_work(&mut queue, 1, SLOW_PERIOD_START_MS, SLOW_PERIOD_START_MS + 300, true)
            .is_empty()
    );
    let now = MicroTime::from_millis(SLOW_PERIOD_START_MS + 120);
    queue.note_slowness(now, 100);
    let mut out = Vec::new();
    queue.step(now, AdmissionEvent::Tick, &mut out);
    assert_eq!(out, [AdmissionAction::Start(CallId(1))]);
}

#[test]
fn a_call_at_its_queue_deadline_starts_if_slots_are_spare() {
    let mut queue = slow_queue(8);
    let queue_deadline_ms = SLOW_PERIOD_START_MS + 100;
    assert!(offer_work(&mut queue, 1, SLOW_PERIOD_START_MS, queue_deadline_ms, true).is_empty());
    let mut out = Vec::new();
    queue.step(MicroTime::from_millis(queue_deadline_ms), AdmissionEvent::Tick, &mut out);
    assert_eq!(out, [AdmissionAction::Start(CallId(1))]);
}

/// Simulates calls to a target on a host of varying speed, none of which has another target,
/// and counts those answered in time.
#[test_case(20, 0.92; "load within the capacity of the slots")]
#[test_case(10, 0.50; "burst above the capacity of the slots")]
fn most_calls_are_in_time_on_a_host_of_varying_speed(interval_ms: u64, min_fraction: f64) {
    const OBJECTIVE_MS: u64 = 600;
    let mut queue = AdmissionQueue::open(18);
    // End time, id and start time of the running calls.
    let mut running: Vec<(u64, CallId, u64)> = Vec::new();
    let mut arrived: HashMap<CallId, u64> = HashMap::new();
    let (mut calls, mut in_time) = (0_u32, 0_u32);
    let mut percent = 100;
    // A fixed, irregular sequence of periods, a quarter of them slow.
    let is_slow = |period: u64| (period.wrapping_mul(2_654_435_761) >> 7).is_multiple_of(4);
    for now_ms in 0..20_000_u64 {
        let now = MicroTime::from_millis(now_ms);
        let mut out = Vec::new();
        if now_ms % 150 == 0 {
            percent = if is_slow(now_ms / 150) { 500 } else { 100 };
        }
        if now_ms % 40 == 0 {
            queue.note_slowness(now, percent);
        }
        running.sort_unstable();
        while running.first().is_some_and(|(end, ..)| *end <= now_ms) {
            let (_, call, started_ms) = running.remove(0);
            let took = Some(MicroTime::from_millis(now_ms - started_ms));
            queue.step(now, AdmissionEvent::Finish { call, took, failed: false }, &mut out);
            in_time += u32::from(now_ms - arrived[&call] <= OBJECTIVE_MS);
        }
        if now_ms % interval_ms == 0 {
            calls += 1;
            let mut call = waiting_call(
                u128::from(calls),
                0,
                CallPriority::default(),
                now + MicroTime::from_millis(2_500),
            );
            call.queue_deadline = now + MicroTime::from_millis(300);
            call.work_us = 200_000;
            arrived.insert(call.call, now_ms);
            queue.step(now, AdmissionEvent::Arrive(call), &mut out);
        }
        queue.step(now, AdmissionEvent::Tick, &mut out);
        for action in out {
            if let AdmissionAction::Start(call) = action {
                running.push((now_ms + 200 * u64::from(percent) / 100, call, now_ms));
            }
        }
    }
    let fraction = f64::from(in_time) / f64::from(calls);
    assert!(fraction > min_fraction, "{in_time} of {calls} calls in time");
}
