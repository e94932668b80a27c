//! The admission queue of a target, under any order of events.

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

#[derive(Clone, Debug)]
enum Step {
    Arrive { account: u8, urgent: bool, worth: u8, left_us: u64 },
    Finish { pick: usize, failed: bool },
    Cancel { pick: usize },
    Pass { us: u64 },
    Leave,
    Rejoin,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u8..4, any::<bool>(), 1_u8..5, 0_u64..60_000)
            .prop_map(|(account, urgent, worth, left_us)| Step::Arrive { account, urgent, worth, left_us }),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(pick, failed)| Step::Finish { pick, failed }),
        1 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
        3 => (0_u64..20_000).prop_map(|us| Step::Pass { us }),
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
    }
}

proptest! {
    #![proptest_config(seeded(300))]

    #[test]
    fn every_call_is_started_or_refused_once(slots in 1_u16..6, steps in proptest::collection::vec(step(), 1..200)) {
        let mut queue = AdmissionQueue::open(slots);
        let mut now = MicroTime(0);
        let mut open: HashMap<CallId, MicroTime> = HashMap::new();
        let mut running: Vec<CallId> = Vec::new();
        let mut ended: HashSet<CallId> = HashSet::new();
        for (number, step) in steps.into_iter().enumerate() {
            let mut out = Vec::new();
            match step {
                Step::Arrive { account, urgent, worth, left_us } => {
                    let deadline = now + MicroTime(left_us);
                    let call = waiting_call(number as u128, account, CallPriority { urgent, worth }, deadline);
                    open.insert(call.call, deadline);
                    queue.step(now, AdmissionEvent::Arrive(call), &mut out);
                }
                Step::Finish { pick, failed } if !running.is_empty() => {
                    let call = running.swap_remove(pick % running.len());
                    let took = Some(MicroTime(3_000));
                    queue.step(now, AdmissionEvent::Finish { call, took, failed }, &mut out);
                }
                Step::Cancel { pick } if !open.is_empty() => {
                    let mut calls: Vec<CallId> = open.keys().copied().collect();
                    calls.sort_unstable();
                    let call = calls[pick % calls.len()];
                    open.remove(&call);
                    queue.step(now, AdmissionEvent::Cancel(call), &mut out);
                }
                Step::Pass { us } => {
                    now = now + MicroTime(us);
                    queue.step(now, AdmissionEvent::Tick, &mut out);
                }
                Step::Leave => queue.close(&mut out),
                Step::Rejoin => queue.reopen(),
                Step::Finish { .. } | Step::Cancel { .. } => {}
            }
            for action in out {
                let (AdmissionAction::Start(call) | AdmissionAction::Refuse { call, .. }) = action;
                let deadline = open.remove(&call);
                prop_assert!(deadline.is_some(), "an answer for a call that waits no more");
                prop_assert!(ended.insert(call), "two answers for one call");
                if let AdmissionAction::Start(call) = action {
                    prop_assert!(deadline > Some(now), "started after its deadline");
                    prop_assert!(!queue.is_closed(), "started while leaving");
                    prop_assert!(running.len() < queue.limit(), "started beyond the limit");
                    running.push(call);
                }
            }
            prop_assert!(queue.limit() <= usize::from(slots));
            prop_assert!(running.len() <= queue.limit());
            prop_assert_eq!(queue.running(), running.len());
            prop_assert_eq!(queue.waiting(), open.len());
            prop_assert!(open.is_empty() || running.len() == queue.limit());
        }
    }

    /// A full queue sheds the least worth: what waits is never worth less than
    /// what was shed at the same moment.
    #[test]
    fn the_least_worth_is_shed_first(worths in proptest::collection::vec((any::<bool>(), 1_u8..20), 5..60)) {
        let mut queue = AdmissionQueue::open(1);
        let far = MicroTime(u64::MAX / 2);
        let mut waiting: HashMap<CallId, CallPriority> = HashMap::new();
        for (number, (urgent, worth)) in worths.into_iter().enumerate() {
            let priority = CallPriority { urgent, worth };
            let call = waiting_call(number as u128, 0, priority, far);
            waiting.insert(call.call, priority);
            let mut out = Vec::new();
            queue.step(MicroTime(0), AdmissionEvent::Arrive(call), &mut out);
            for action in out {
                match action {
                    AdmissionAction::Start(call) => { waiting.remove(&call); }
                    AdmissionAction::Refuse { call, reason, retry_after_ms } => {
                        let shed = waiting.remove(&call);
                        prop_assert!(matches!(reason, RefusalReason::Full | RefusalReason::Outranked));
                        prop_assert!(retry_after_ms > 0);
                        prop_assert!(waiting.values().all(|&left| Some(left) >= shed));
                    }
                }
            }
        }
    }

    /// One account's burst does not keep another from its share.
    #[test]
    fn a_burst_leaves_another_account_its_share(burst in 20_usize..60, slots in 2_u16..8) {
        let mut queue = AdmissionQueue::open(slots);
        let far = MicroTime(u64::MAX / 2);
        let priority = CallPriority { urgent: false, worth: 1 };
        let mut running: Vec<CallId> = Vec::new();
        let mut quiet_started = 0;
        let mut next = 0_u128;
        let mut offer = |queue: &mut AdmissionQueue, account, running: &mut Vec<CallId>, quiet: &mut usize| {
            let call = waiting_call(next * 2 + u128::from(account), account, priority, far);
            next += 1;
            let mut out = Vec::new();
            queue.step(MicroTime(0), AdmissionEvent::Arrive(call), &mut out);
            collect(&out, running, quiet);
        };
        for _ in 0..burst {
            offer(&mut queue, 0, &mut running, &mut quiet_started);
        }
        // The quiet account always has one call waiting, the other one many.
        for _ in 0..40 {
            offer(&mut queue, 1, &mut running, &mut quiet_started);
            offer(&mut queue, 0, &mut running, &mut quiet_started);
            let call = running.remove(0);
            let mut out = Vec::new();
            let took = Some(MicroTime(1_000));
            queue.step(MicroTime(0), AdmissionEvent::Finish { call, took, failed: false }, &mut out);
            collect(&out, &mut running, &mut quiet_started);
        }
        prop_assert!(quiet_started >= 12, "only {quiet_started} of 40");
    }
}

/// Notes what was started; odd calls are the quiet account's.
fn collect(out: &[AdmissionAction], running: &mut Vec<CallId>, quiet: &mut usize) {
    for action in out {
        if let AdmissionAction::Start(call) = action {
            running.push(*call);
            *quiet += usize::from(call.0 % 2 == 1);
        }
    }
}

/// What a slot's wait is foreseen from: the calls that run, and those ahead.
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
    // The slot comes free at 50 ms; this one would have to start by 40.
    let refused = offer(&mut queue, 2, 10, 40);
    assert!(matches!(
        refused[..],
        [AdmissionAction::Refuse { reason: RefusalReason::TooLate, .. }]
    ));
    // By 60 it can, and the next one behind it can't.
    assert!(offer(&mut queue, 3, 10, 60).is_empty());
    let refused = offer(&mut queue, 4, 10, 90);
    assert!(matches!(
        refused[..],
        [AdmissionAction::Refuse { reason: RefusalReason::TooLate, .. }]
    ));
    // On a host that is four times slower than usual a call takes 200 ms.
    queue.note_slowness(MicroTime::from_millis(10), 400);
    let refused = offer(&mut queue, 5, 10, 200);
    assert!(matches!(
        refused[..],
        [AdmissionAction::Refuse { reason: RefusalReason::TooLate, .. }]
    ));
}

/// A caller may leave at the very moment its call gets a slot.
#[test]
fn a_call_that_is_cancelled_as_it_starts_gives_its_slot_back() {
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

/// A host that is slow for a quarter of the time, and so is the time of a call
/// that begins then.
fn slow_queue(slots: u16) -> AdmissionQueue {
    let mut queue = AdmissionQueue::open(slots);
    for spell in 0..=40_u64 {
        let percent = if spell % 4 == 0 { 500 } else { 100 };
        queue.note_slowness(MicroTime::from_millis(spell * 150), percent);
    }
    queue
}

/// When [`slow_queue`] has heard its last word, which is slow.
const SLOW_SINCE_MS: u64 = 40 * 150;

fn offer_work(
    queue: &mut AdmissionQueue,
    id: u128,
    now_ms: u64,
    queue_deadline_ms: u64,
    last_target: bool,
) -> Vec<AdmissionAction> {
    let deadline = MicroTime::from_millis(SLOW_SINCE_MS + 2_000);
    let mut call = waiting_call(id, 0, CallPriority::default(), deadline);
    call.queue_deadline = MicroTime::from_millis(queue_deadline_ms);
    call.work_us = 200_000;
    call.last_target = last_target;
    let mut out = Vec::new();
    queue.step(MicroTime::from_millis(now_ms), AdmissionEvent::Arrive(call), &mut out);
    out
}

#[test]
fn a_call_is_sent_on_while_the_host_is_slow() {
    let mut queue = slow_queue(8);
    let sent_on = offer_work(&mut queue, 1, SLOW_SINCE_MS, SLOW_SINCE_MS + 300, false);
    assert!(matches!(sent_on[..], [AdmissionAction::Refuse { reason: RefusalReason::Slow, .. }]));
}

/// Who comes back before the spell is over is sent on again.
#[test]
fn a_call_that_is_sent_on_is_told_when_the_slow_spell_ends() {
    let mut queue = slow_queue(8);
    let told = |queue: &mut AdmissionQueue, after_ms: u64| {
        let now_ms = SLOW_SINCE_MS + after_ms;
        let sent_on = offer_work(queue, u128::from(after_ms), now_ms, now_ms + 300, false);
        let [AdmissionAction::Refuse { retry_after_ms, .. }] = sent_on[..] else {
            panic!("{sent_on:?}")
        };
        retry_after_ms
    };
    // Spells last some 150 ms here, and no call runs.
    let at_first = told(&mut queue, 0);
    assert!((100..=200).contains(&at_first), "{at_first}");
    let later = told(&mut queue, 60);
    assert!(later + 55 <= at_first && later >= 5, "{later} of {at_first}");
}

#[test]
fn a_call_with_no_other_target_waits_until_the_host_is_fast_again() {
    let mut queue = slow_queue(8);
    assert!(offer_work(&mut queue, 1, SLOW_SINCE_MS, SLOW_SINCE_MS + 300, true).is_empty());
    let now = MicroTime::from_millis(SLOW_SINCE_MS + 120);
    queue.note_slowness(now, 100);
    let mut out = Vec::new();
    queue.step(now, AdmissionEvent::Tick, &mut out);
    assert_eq!(out, [AdmissionAction::Start(CallId(1))]);
}

#[test]
fn a_call_that_waited_in_vain_starts_where_there_is_room_to_spare() {
    let mut queue = slow_queue(8);
    let queue_deadline_ms = SLOW_SINCE_MS + 100;
    assert!(offer_work(&mut queue, 1, SLOW_SINCE_MS, queue_deadline_ms, true).is_empty());
    let mut out = Vec::new();
    queue.step(MicroTime::from_millis(queue_deadline_ms), AdmissionEvent::Tick, &mut out);
    assert_eq!(out, [AdmissionAction::Start(CallId(1))]);
}

/// Plays calls at a host whose speed shifts, all of them with this target alone
/// to go to, and counts those answered in time.
#[test_case(20, 0.92; "load that the slots bear")]
#[test_case(10, 0.50; "a burst over what they bear")]
fn most_calls_are_in_time_on_a_host_whose_speed_shifts(every_ms: u64, part: f64) {
    const OBJECTIVE_MS: u64 = 600;
    let mut queue = AdmissionQueue::open(18);
    let mut ends: Vec<(u64, CallId, u64)> = Vec::new();
    let mut arrived: HashMap<CallId, u64> = HashMap::new();
    let (mut calls, mut in_time) = (0_u32, 0_u32);
    let mut percent = 100;
    // A fixed run of spells: a quarter of them slow, never two patterns alike.
    let is_slow = |spell: u64| (spell.wrapping_mul(2_654_435_761) >> 7).is_multiple_of(4);
    for now_ms in 0..20_000_u64 {
        let now = MicroTime::from_millis(now_ms);
        let mut out = Vec::new();
        if now_ms % 150 == 0 {
            percent = if is_slow(now_ms / 150) { 500 } else { 100 };
        }
        if now_ms % 40 == 0 {
            queue.note_slowness(now, percent);
        }
        ends.sort_unstable();
        while ends.first().is_some_and(|(end, ..)| *end <= now_ms) {
            let (_, call, began_ms) = ends.remove(0);
            let took = Some(MicroTime::from_millis(now_ms - began_ms));
            queue.step(now, AdmissionEvent::Finish { call, took, failed: false }, &mut out);
            in_time += u32::from(now_ms - arrived[&call] <= OBJECTIVE_MS);
        }
        if now_ms % every_ms == 0 {
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
                ends.push((now_ms + 200 * u64::from(percent) / 100, call, now_ms));
            }
        }
    }
    let share = f64::from(in_time) / f64::from(calls);
    assert!(share > part, "{in_time} of {calls} in time");
}
