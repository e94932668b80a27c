//! Calls whose bytes cost more between data centres than the calls are worth queue in their own
//! data centre while they can be served there in time, and are not lost to that preference.

use std::collections::BTreeMap;

use railspan::{
    AdmissionAction, AdmissionEvent, AdmissionQueue, BENEFIT_POLICY, CallEstimate, CallId,
    CallPriority, LocalQueueing, MicroTime, ServiceTargets, TargetName, TargetRecord, WaitingCall,
    policy,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Work of a call, in microseconds.
const WORK_US: u64 = 100_000;

/// Time from the arrival of a call to its latency objective.
const OBJECTIVE: MicroTime = MicroTime::from_millis(500);

const SLOTS: u16 = 6;

/// Maximum number of attempts of a call.
const MAX_ATTEMPTS: usize = 3;

/// What the callers of a load got.
#[derive(Debug, Default, PartialEq, Eq)]
struct LoadResult {
    /// Calls that started early enough to be answered within the objective.
    in_time: usize,
    /// Attempts that went to the other data centre.
    crossed: usize,
    refused: usize,
}

/// A service with one target in the own data centre and an idle one in another.
struct ServiceModel {
    targets: ServiceTargets,
    queues: Vec<AdmissionQueue>,
    /// Ends of running calls by time, with the index of the target.
    ends: BTreeMap<(MicroTime, u128), usize>,
    arrivals: Vec<MicroTime>,
    rng: Pcg64Mcg,
    result: LoadResult,
}

impl ServiceModel {
    fn open() -> Self {
        let mut remote = TargetRecord::new("remote".into(), None, SLOTS, MicroTime(0));
        remote.remote = true;
        let local = TargetRecord::new("local".into(), None, SLOTS, MicroTime(0));
        Self {
            targets: ServiceTargets::new(vec![local, remote]),
            queues: vec![AdmissionQueue::open(SLOTS), AdmissionQueue::open(SLOTS)],
            ends: BTreeMap::new(),
            arrivals: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(1),
            result: LoadResult::default(),
        }
    }

    /// Applies an event to a target's queue; returns whether it refused `call`.
    fn step(&mut self, now: MicroTime, index: usize, event: AdmissionEvent, call: u128) -> bool {
        let mut actions = Vec::new();
        self.queues[index].step(now, event, &mut actions);
        let load = self.queues[index].next_report(now);
        self.targets.targets[index].record_report(now, load);
        let mut refused = false;
        for action in actions {
            match action {
                AdmissionAction::Start(started) => {
                    let end = now + MicroTime(WORK_US);
                    self.ends.insert((end, started.0), index);
                    let objective = self.arrivals[started.0 as usize] + OBJECTIVE;
                    self.result.in_time += usize::from(end <= objective);
                }
                AdmissionAction::Refuse { call: ended, .. } if ended.0 == call => refused = true,
                AdmissionAction::Refuse { .. } => self.result.refused += 1,
            }
        }
        refused
    }

    fn advance(&mut self, now: MicroTime) {
        while let Some((&(end, call), &index)) = self.ends.first_key_value()
            && end <= now
        {
            self.ends.remove(&(end, call));
            self.targets.targets[index].finish(end, Some(MicroTime(WORK_US)), false);
            let took = Some(MicroTime(WORK_US));
            let event = AdmissionEvent::Finish { call: CallId(call), took, failed: false };
            self.step(end, index, event, u128::MAX);
        }
    }

    /// Routes a call as an entry does.
    fn call(&mut self, now: MicroTime, crossing_cost: f64) {
        self.advance(now);
        let id = self.arrivals.len() as u128;
        self.arrivals.push(now);
        let objective_us = OBJECTIVE.0 as f64;
        let estimate = CallEstimate { work_us: WORK_US as f64, objective_us, crossing_cost };
        let mut queueing = LocalQueueing::default();
        let mut tried: Vec<TargetName> = Vec::new();
        let policy = policy(BENEFIT_POLICY).expect("policy");
        for attempt in 1..=MAX_ATTEMPTS {
            let elsewhere = queueing.left_out(now, &self.targets.targets, &tried, &estimate);
            let left_out = elsewhere.as_ref().unwrap_or(&tried);
            let chosen = self.targets.choose_for(now, policy, left_out, &estimate, &mut self.rng);
            let Some(index) = chosen else { break };
            let record = &self.targets.targets[index];
            self.result.crossed += usize::from(record.remote);
            tried.push(record.name.clone());
            let untried = self.targets.targets.len() - tried.len();
            let call = WaitingCall {
                call: CallId(id),
                account: "".into(),
                share: 1,
                priority: CallPriority::default(),
                deadline: now + OBJECTIVE + OBJECTIVE,
                queue_deadline: now + OBJECTIVE.since(MicroTime(WORK_US)),
                work_us: WORK_US as u32,
                last_target: elsewhere.is_some() || untried == 0 || attempt == MAX_ATTEMPTS,
                nested: false,
            };
            if !self.step(now, index, AdmissionEvent::Arrive(call), id) {
                return;
            }
            self.targets.targets[index].finish(now, None, false);
        }
        self.result.refused += 1;
    }
}

/// Plays bursts of `burst` calls at once, a second apart.
fn play(burst: usize, crossing_cost: f64) -> LoadResult {
    let mut model = ServiceModel::open();
    for second in 10..20 {
        for _ in 0..burst {
            model.call(MicroTime::from_millis(second * 1_000), crossing_cost);
        }
    }
    model.advance(MicroTime::from_millis(30_000));
    model.result
}

#[test]
fn expensive_calls_queue_nearby_while_they_can_be_in_time() {
    let queued = play(10, 1.2);
    assert_eq!(queued, LoadResult { in_time: 100, crossed: 0, refused: 0 });
}

#[test]
fn cheaper_calls_cross_as_soon_as_the_nearby_target_is_busy() {
    let crossing = play(10, 0.3);
    assert!(crossing.crossed > 0, "{crossing:?}");
    assert_eq!((crossing.in_time, crossing.refused), (100, 0));
}

/// A preference for the own data centre must not leave a target of another one idle.
#[test]
fn expensive_calls_cross_once_they_were_refused_nearby() {
    let queued = play(40, 1.2);
    assert!(queued.crossed > 0, "{queued:?}");
    let without_rule = play(40, 0.999);
    assert!(queued.in_time >= without_rule.in_time, "{queued:?} {without_rule:?}");
}

#[test_case(0.99, |_: &mut TargetRecord| {}; "bytes that cost less than the call is worth")]
#[test_case(5.0, |local: &mut TargetRecord| local.remote = true; "no target nearby")]
#[test_case(5.0, |local: &mut TargetRecord| local.ejected_until = MicroTime(u64::MAX); "nearby target ejected")]
#[test_case(5.0, |local: &mut TargetRecord| local.outstanding = 100; "nearby target too busy")]
fn a_call_does_not_queue_nearby_in_vain(crossing_cost: f64, change: fn(&mut TargetRecord)) {
    let now = MicroTime::from_millis(60_000);
    let left_out = |local: TargetRecord, crossing_cost| {
        let estimate = CallEstimate { work_us: 50_000.0, objective_us: 150_000.0, crossing_cost };
        LocalQueueing::default().left_out(now, &[local], &[], &estimate)
    };
    let mut local = TargetRecord::new("local".into(), None, SLOTS, MicroTime(0));
    // Without the change and at a high cost the call queues nearby.
    assert!(left_out(local.clone(), 5.0).is_some());
    change(&mut local);
    assert_eq!(left_out(local, crossing_cost), None);
}
