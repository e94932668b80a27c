//! A fleet under load in virtual time, while one of its targets states a rate: the real kernels
//! of entries and guards, without a network.

use std::collections::{BTreeMap, HashMap};

use railspan::{
    AdmissionAction, AdmissionEvent, AdmissionQueue, BENEFIT_POLICY, CallEstimate, CallId,
    CallPriority, LoadReport, MAX_ATTEMPTS, MicroTime, RateSource, RefusalReason, ServiceTargets,
    StatedRate, TargetName, TargetRecord, WaitingCall, policy,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const TARGETS: usize = 6;
const SLOTS: u16 = 8;

/// Work of a call, its objective, and the time between an entry and a guard, in milliseconds.
const WORK_MS: u64 = 50;
const OBJECTIVE_MS: u64 = 250;
const HOP_MS: u64 = 2;

/// Time for which calls arrive, in milliseconds, and their mean number in each of them: a third
/// of what the targets can serve.
const DURATION_MS: u64 = 12_000;
const CALLS_PER_MS: f64 = 0.32;

/// Interval at which guards send reports, in milliseconds, and the share that is lost.
const REPORT_INTERVAL_MS: u64 = 100;
const LOST_REPORTS: f64 = 0.05;

/// Window over which the calls that reach a target are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// A call on its way.
struct PlayedCall {
    entry: usize,
    sent_ms: u64,
    target: usize,
    tried: Vec<TargetName>,
    /// The tried targets that would not serve another attempt soon.
    unusable: Vec<TargetName>,
    attempts: u32,
    last: bool,
}

/// What happens to a call next.
enum CallStep {
    Choose(CallId),
    Arrive(CallId),
    Finish(CallId),
}

struct PlayedFleet {
    entries: Vec<ServiceTargets>,
    queues: Vec<AdmissionQueue>,
    calls: HashMap<CallId, PlayedCall>,
    steps: BTreeMap<u64, Vec<CallStep>>,
    rng: Pcg64Mcg,
    /// Start times at the first target, in milliseconds.
    limited_starts: Vec<u64>,
    in_time: usize,
    refused: usize,
}

fn name(target: usize) -> TargetName {
    format!("i-{target}").as_str().into()
}

impl PlayedFleet {
    fn open(entries: usize) -> Self {
        let record = |target| TargetRecord::new(name(target), None, SLOTS, MicroTime(0));
        let targets = || ServiceTargets::new((0..TARGETS).map(record).collect());
        Self {
            entries: (0..entries).map(|_| targets()).collect(),
            queues: (0..TARGETS).map(|_| AdmissionQueue::open(SLOTS)).collect(),
            calls: HashMap::new(),
            steps: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(entries as u64),
            limited_starts: Vec::new(),
            in_time: 0,
            refused: 0,
        }
    }

    fn schedule(&mut self, at_ms: u64, step: CallStep) {
        self.steps.entry(at_ms).or_default().push(step);
    }

    fn choose(&mut self, now_ms: u64, id: CallId) {
        let call = self.calls.get_mut(&id).expect("call");
        let remaining_ms = (call.sent_ms + OBJECTIVE_MS).saturating_sub(now_ms);
        let estimate = CallEstimate {
            work_us: WORK_MS as f64 * 1_000.0,
            objective_us: remaining_ms as f64 * 1_000.0,
            crossing_cost: 0.0,
        };
        let now = MicroTime::from_millis(now_ms);
        let targets = &mut self.entries[call.entry];
        let policy = policy(BENEFIT_POLICY).expect("policy");
        call.attempts += 1;
        let last_round = call.attempts == MAX_ATTEMPTS
            || !call.tried.is_empty() && targets.only_limited_left(now, &call.tried);
        if last_round {
            call.tried = targets.left_out_of_last_round(&call.unusable);
        }
        let chosen = targets.choose_for(now, policy, &call.tried, &estimate, &mut self.rng);
        let Some(target) = chosen else {
            self.refused += 1;
            return;
        };
        let others = targets.count_with_room(now, &call.tried, target, &estimate);
        call.last = last_round || others == 0;
        call.tried.push(name(target));
        call.target = target;
        self.schedule(now_ms + HOP_MS, CallStep::Arrive(id));
    }

    fn arrive(&mut self, now_ms: u64, id: CallId) {
        let call = &self.calls[&id];
        let objective_ms = call.sent_ms + OBJECTIVE_MS;
        let waiting = WaitingCall {
            call: id,
            account: "rio-pilots".into(),
            share: 1,
            priority: CallPriority { urgent: false, worth: 1 },
            deadline: MicroTime::from_millis(objective_ms + 1_000),
            queue_deadline: MicroTime::from_millis(objective_ms - WORK_MS),
            work_us: 0,
            last_target: call.last,
            nested: false,
        };
        self.step_queue(now_ms, call.target, AdmissionEvent::Arrive(waiting));
    }

    fn finish(&mut self, now_ms: u64, id: CallId) {
        let call = &self.calls[&id];
        let (target, entry) = (call.target, call.entry);
        self.in_time += usize::from(now_ms + HOP_MS <= call.sent_ms + OBJECTIVE_MS);
        let took = Some(MicroTime::from_millis(WORK_MS));
        self.step_queue(now_ms, target, AdmissionEvent::Finish { call: id, took, failed: false });
        self.return_report(now_ms, entry, target);
    }

    fn step_queue(&mut self, now_ms: u64, target: usize, event: AdmissionEvent) {
        let mut actions = Vec::new();
        self.queues[target].step(MicroTime::from_millis(now_ms), event, &mut actions);
        for action in actions {
            match action {
                AdmissionAction::Start(call) => {
                    if target == 0 {
                        self.limited_starts.push(now_ms);
                    }
                    self.schedule(now_ms + WORK_MS, CallStep::Finish(call));
                }
                AdmissionAction::Refuse { call, reason, .. } => {
                    let played = self.calls.get_mut(&call).expect("call");
                    if !matches!(reason, RefusalReason::Full | RefusalReason::Slow) {
                        played.unusable.push(name(target));
                    }
                    let (entry, last) = (played.entry, played.last);
                    self.return_report(now_ms, entry, target);
                    if last {
                        self.refused += 1;
                    } else {
                        self.schedule(now_ms + HOP_MS, CallStep::Choose(call));
                    }
                }
            }
        }
    }

    /// Records the end of an attempt at its entry, with the report that came along.
    fn return_report(&mut self, now_ms: u64, entry: usize, target: usize) {
        let now = MicroTime::from_millis(now_ms);
        let report = self.queues[target].next_report(now);
        let record = &mut self.entries[entry].targets[target];
        record.record_report(now, report);
        record.finish(now, None, false);
    }

    fn send_reports(&mut self, now_ms: u64) {
        let now = MicroTime::from_millis(now_ms);
        let reports: Vec<LoadReport> =
            self.queues.iter_mut().map(|queue| queue.next_report(now)).collect();
        for entry in &mut self.entries {
            for (record, report) in entry.targets.iter_mut().zip(&reports) {
                if !self.rng.random_bool(LOST_REPORTS) {
                    record.record_report(now, *report);
                }
            }
        }
    }

    /// Plays the load; the first target states `rate` from the start on. Returns the number of
    /// calls.
    fn play(&mut self, rate: StatedRate) -> usize {
        self.queues[0].rate_limit_mut().note_rate(MicroTime(0), Some(rate), RateSource::Call);
        let mut count = 0;
        for now_ms in 1..DURATION_MS + 2_000 {
            if now_ms < DURATION_MS && self.rng.random_bool(CALLS_PER_MS) {
                count += 1;
                let entry = self.rng.random_range(0..self.entries.len());
                let call = PlayedCall {
                    entry,
                    sent_ms: now_ms,
                    target: 0,
                    tried: Vec::new(),
                    unusable: Vec::new(),
                    attempts: 0,
                    last: false,
                };
                self.calls.insert(CallId(count as u128), call);
                self.schedule(now_ms, CallStep::Choose(CallId(count as u128)));
            }
            if now_ms % REPORT_INTERVAL_MS == 0 {
                self.send_reports(now_ms);
            }
            (0..TARGETS).for_each(|target| self.step_queue(now_ms, target, AdmissionEvent::Tick));
            while let Some(step) = self.steps.get_mut(&now_ms).and_then(Vec::pop) {
                match step {
                    CallStep::Choose(call) => self.choose(now_ms, call),
                    CallStep::Arrive(call) => self.arrive(now_ms, call),
                    CallStep::Finish(call) => self.finish(now_ms, call),
                }
            }
        }
        count
    }
}

#[test_case(13; "13 hosts")]
#[test_case(69; "69 hosts")]
#[test_case(295; "295 hosts")]
#[test_case(984; "984 hosts")]
fn a_limited_target_among_six_costs_callers_nothing_at_moderate_load(entries: usize) {
    let rate = StatedRate { per_1000_s: 2_500 };
    let mut fleet = PlayedFleet::open(entries);
    let count = fleet.play(rate);
    let starts = &fleet.limited_starts;
    let within = |start: &u64| {
        starts.iter().filter(|at| **at >= *start && **at < *start + WINDOW_MS).count()
    };
    let most = starts.iter().map(within).max().unwrap_or_default();
    let accepted = 1.5 * rate.per_s() * WINDOW_MS as f64 / 1_000.0 + 5.0;
    assert!(most as f64 <= accepted, "{most} calls in {WINDOW_MS} ms, {accepted} accepted");
    let taken = rate.per_s() * DURATION_MS as f64 / 1_000.0;
    assert!(starts.len() as f64 * 2.0 >= taken, "{} of {taken} calls used", starts.len());
    let in_time = fleet.in_time;
    assert!(in_time * 100 >= count * 99, "{in_time} of {count} calls in time");
    assert_eq!(fleet.refused, 0);
}
