//! Promise: a host that is suspended wakes into the present. Its clock counted the time
//! that its timers did not, so they fire late and each kernel sees one great step.

use std::time::Duration;

use railspan::{
    AdmissionAction, AdmissionEvent, AdmissionQueue, CallId, CallLedger, CallPriority, CallStatus,
    ClockOffset, MicroTime, RefusalReason, TargetCondition, TargetLease, WaitingCall,
};
use test_case::test_case;

const BEFORE: MicroTime = MicroTime::from_millis(1_000);

/// The clock on waking, and by the timers: a second after they were set.
const AWAKE: MicroTime = MicroTime::from_millis(8_000);

fn call(id: u128, deadline: MicroTime) -> WaitingCall {
    WaitingCall {
        call: CallId(id),
        account: "".into(),
        share: 1,
        priority: CallPriority::default(),
        deadline,
        queue_deadline: deadline,
        work_us: 0,
        last_target: true,
    }
}

#[test]
fn a_heartbeat_from_before_is_none_afterwards() {
    let mut lease = TargetLease::open(BEFORE, TargetCondition::Ready, Duration::from_secs(3));
    assert!(lease.is_ready(BEFORE));
    assert!(!lease.is_ready(AWAKE));
    lease.renew(AWAKE, TargetCondition::Ready);
    assert!(lease.is_ready(AWAKE));
}

/// What wakes the guard first may be an end, a new call or its timer.
#[test_case(AdmissionEvent::Tick; "a timer")]
#[test_case(AdmissionEvent::Finish { call: CallId(1), took: None, failed: false }; "an end")]
#[test_case(AdmissionEvent::Arrive(call(9, AWAKE + BEFORE)); "another call")]
fn a_call_that_waited_through_it_is_refused_and_never_starts(first: AdmissionEvent) {
    let mut queue = AdmissionQueue::open(1);
    let mut actions = Vec::new();
    let late = BEFORE + MicroTime::from_millis(500);
    queue.step(BEFORE, AdmissionEvent::Arrive(call(1, AWAKE + AWAKE)), &mut actions);
    queue.step(BEFORE, AdmissionEvent::Arrive(call(2, late)), &mut actions);
    actions.clear();
    queue.step(AWAKE, first, &mut actions);
    queue.step(AWAKE, AdmissionEvent::Tick, &mut actions);
    let refused = |action: &AdmissionAction| {
        matches!(action, AdmissionAction::Refuse { call: CallId(2), reason, .. }
            if *reason == RefusalReason::TooLate)
    };
    assert!(actions.iter().any(refused), "{actions:?}");
    assert!(!actions.contains(&AdmissionAction::Start(CallId(2))), "{actions:?}");
}

/// The memory of fates outlives each deadline that was told before, however long it was.
#[test]
fn a_call_revoked_before_does_not_run_afterwards() {
    let mut ledger = CallLedger::default();
    assert_eq!(ledger.revoke(BEFORE, CallId(1)), CallStatus::NotRun);
    assert!(!ledger.register(AWAKE, CallId(1)));
    assert!(!ledger.try_dispatch(CallId(1)));
}

/// An entry tells a guard when it sent a call by the guard's clock; were the time of a
/// suspension not counted, all calls sent before it would seem to be fresh.
#[test]
fn what_was_sent_before_is_known_to_be_old() {
    let mut offset = ClockOffset::open(BEFORE, BEFORE);
    let sent = offset.remote_time(BEFORE);
    assert_eq!(AWAKE.since(sent), AWAKE.since(BEFORE));
    offset.update(AWAKE, AWAKE);
    assert_eq!(offset.remote_time(AWAKE), AWAKE);
}
