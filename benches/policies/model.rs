//! Runs railspan's selection, admission and retry code in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use hdrhistogram::Histogram;
use railspan::{
    AdmissionEvent, AdmissionQueue, AttemptResult, CallAttempts, CallPriority, LoadReport,
    MicroTime, ProbeBudget, RetryBudget, RetryDecision, SelectionPolicy, ServiceTargets,
    hedge_after,
};
use rand::RngExt;

use crate::parts::{
    AttemptEnd, ModelAttempt, ModelCall, ModelEntry, ModelEvent, ModelStreams, ModelTarget,
    OrderedLoad, arrival_rate_per_us, exponential, target_index, target_name, target_record,
};
use crate::scenarios::{Disturbance, Scenario};

/// Interval at which a guard checks its deadlines, in microseconds.
const GUARD_TICK_US: u64 = 20_000;

/// Bytes of a load probe and its reply together.
const PROBE_BYTES: u32 = 120;

/// Share of urgent calls in percent, and the worth of urgent and of ordinary calls.
const URGENT_PERCENT: u32 = 20;
const URGENT_WORTH: u8 = 10;
const ORDINARY_WORTH: u8 = 3;

/// Probe budget of an entry.
#[derive(Clone, Copy, Debug)]
pub struct ModelBudget {
    pub messages_per_s: u32,
    pub bytes_per_s: u32,
}

/// Parameters of a run of the model.
#[derive(Clone, Copy, Debug)]
pub struct ModelPlan {
    pub scenario: Scenario,
    pub policy: &'static SelectionPolicy,
    /// Probe budget; without one, no load probes are sent.
    pub budget: Option<ModelBudget>,
    /// Whether slow calls get a second attempt.
    pub hedging: bool,
    /// Approximate number of calls of the run.
    pub calls: u64,
    pub seed: u64,
}

/// Result of a run.
#[derive(Debug)]
pub struct ModelResult {
    /// Latencies in microseconds; a call not served in time counts with its full deadline.
    pub latencies: Histogram<u64>,
    /// Urgent calls: total worth served in time, and offered.
    pub urgent_worth: (u64, u64),
    /// Ordinary calls: total worth served in time, and offered.
    pub ordinary_worth: (u64, u64),
    pub calls: u64,
    /// Calls whose last attempt was refused.
    pub refused: u64,
    pub retried: u64,
    pub hedged: u64,
    /// Number of load probes and their replies, and their bytes.
    pub probe_messages: u64,
    pub probe_bytes: u64,
    /// Calls served in time, and calls offered, in each third of the run.
    pub thirds: [(u64, u64); 3],
}

/// The model of one service.
pub struct FleetModel {
    pub(super) plan: ModelPlan,
    pub(super) streams: ModelStreams,
    pub(super) now: MicroTime,
    pub(super) end: MicroTime,
    pub(super) queue: BinaryHeap<Reverse<(MicroTime, u64, ModelEvent)>>,
    pub(super) sequence: u64,
    pub(super) entries: Vec<ModelEntry>,
    pub(super) targets: Vec<ModelTarget>,
    pub(super) calls: HashMap<u64, ModelCall>,
    pub(super) attempts: HashMap<u64, ModelAttempt>,
    pub(super) result: ModelResult,
}

impl FleetModel {
    pub fn run(plan: ModelPlan) -> ModelResult {
        let scenario = plan.scenario;
        let mut model = Self::open(plan);
        model.schedule(MicroTime(0), ModelEvent::CallArrival);
        for target in 0..model.targets.len() {
            model.schedule(MicroTime(GUARD_TICK_US), ModelEvent::GuardTick { target });
            if let Disturbance::Bursts { .. } = scenario.disturbance {
                model.schedule_burst(target);
            }
        }
        let third = MicroTime(model.end.0 / 3);
        model.schedule(third, ModelEvent::DisturbanceStart);
        model.schedule(third + third, ModelEvent::DisturbanceEnd);
        if scenario.disturbance == Disturbance::ColdStart {
            model.targets[0].queue.close(&mut Vec::new());
            model.remove_from_entries(0);
        }
        while let Some(Reverse((at, _, event))) = model.queue.pop() {
            model.now = at;
            if at > model.end && model.calls.is_empty() {
                break;
            }
            model.handle(event);
        }
        model.finish()
    }

    pub(super) fn open(plan: ModelPlan) -> Self {
        let scenario = plan.scenario;
        let targets: Vec<ModelTarget> = (0..scenario.targets)
            .map(|index| {
                let has_wrong_slots = scenario.disturbance == Disturbance::WrongSlots && index == 0;
                ModelTarget {
                    queue: AdmissionQueue::open(scenario.slots),
                    slots: if has_wrong_slots { scenario.slots / 2 } else { scenario.slots },
                    host_factor: if index % 2 == 0 { 1.0 } else { scenario.old_host_factor },
                    burst_factor: 1.0,
                    failing: false,
                    running: 0,
                    backlog: Vec::new(),
                }
            })
            .collect();
        let rate = arrival_rate_per_us(&scenario);
        let limits = plan.budget.unwrap_or(ModelBudget { messages_per_s: 0, bytes_per_s: 0 });
        let entries = (0..scenario.entries).map(|_| ModelEntry {
            service: ServiceTargets::new(
                (0..scenario.targets).map(|index| target_record(&scenario, index, 0)).collect(),
            ),
            retry_budget: RetryBudget::open(),
            probe_budget: ProbeBudget::open(limits.messages_per_s, limits.bytes_per_s),
            hedge_budget: RetryBudget::open_hedges(),
        });
        Self {
            plan,
            streams: ModelStreams::open(plan.seed),
            now: MicroTime(0),
            end: MicroTime((plan.calls as f64 / rate) as u64),
            queue: BinaryHeap::new(),
            sequence: 0,
            entries: entries.collect(),
            targets,
            calls: HashMap::new(),
            attempts: HashMap::new(),
            result: ModelResult {
                latencies: Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds"),
                urgent_worth: (0, 0),
                ordinary_worth: (0, 0),
                calls: 0,
                refused: 0,
                retried: 0,
                hedged: 0,
                probe_messages: 0,
                probe_bytes: 0,
                thirds: [(0, 0); 3],
            },
        }
    }

    pub(super) fn schedule(&mut self, at: MicroTime, event: ModelEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    pub(super) fn draw_hop_latency(&mut self) -> MicroTime {
        let mean = self.plan.scenario.hop_us as f64;
        MicroTime((mean * self.streams.network.random_range(0.5..1.5)) as u64)
    }

    pub(super) fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::CallArrival => self.new_call(),
            ModelEvent::AtGuard { attempt } => self.at_guard(attempt),
            ModelEvent::ServiceEnd { attempt } => self.end_service(attempt),
            ModelEvent::AtEntry { attempt, end } => self.at_entry(attempt, &end),
            ModelEvent::Hedge { call, attempt } => self.hedge(call, attempt),
            ModelEvent::Cancel { attempt } => self.cancel(attempt),
            ModelEvent::Probe { entry, target } => {
                let load = OrderedLoad(self.targets[target].queue.next_report(self.now));
                let at = self.now + self.draw_hop_latency();
                self.schedule(at, ModelEvent::ProbeReply { entry, target, load });
            }
            ModelEvent::ProbeReply { entry, target, load } => self.set_load(entry, target, load.0),
            ModelEvent::GuardTick { target } => {
                self.step_queue(target, AdmissionEvent::Tick);
                if self.now < self.end || !self.calls.is_empty() {
                    let at = self.now + MicroTime(GUARD_TICK_US);
                    self.schedule(at, ModelEvent::GuardTick { target });
                }
            }
            ModelEvent::BurstStart { target } => {
                self.targets[target].burst_factor = self.streams.bursts.random_range(2.0..10.0);
                let length = self.streams.bursts.random_range(5_000..200_000);
                self.schedule(self.now + MicroTime(length), ModelEvent::BurstEnd { target });
            }
            ModelEvent::BurstEnd { target } => {
                self.targets[target].burst_factor = 1.0;
                self.schedule_burst(target);
            }
            ModelEvent::DisturbanceStart => self.set_disturbance(true),
            ModelEvent::DisturbanceEnd => self.set_disturbance(false),
        }
    }

    pub(super) fn new_call(&mut self) {
        if self.now >= self.end {
            return;
        }
        let mut gap = 1.0 / arrival_rate_per_us(&self.plan.scenario);
        if let Disturbance::Overload(overload_percent) = self.plan.scenario.disturbance
            && self.third() == 1
        {
            gap *= f64::from(self.plan.scenario.load) / f64::from(overload_percent);
        }
        let gap = exponential(&mut self.streams.calls, gap) as u64;
        self.schedule(self.now + MicroTime(gap), ModelEvent::CallArrival);

        let urgent = self.streams.calls.random_range(0..100) < URGENT_PERCENT;
        let worth = if urgent { URGENT_WORTH } else { ORDINARY_WORTH };
        let id = self.result.calls;
        self.result.calls += 1;
        let third = self.third();
        self.result.thirds[third].1 += 1;
        self.worth_totals(urgent).1 += u64::from(worth);
        let call = ModelCall {
            entry: self.streams.calls.random_range(0..self.entries.len()),
            call_attempts: CallAttempts::open(true, railspan::MAX_ATTEMPTS),
            tried: Vec::new(),
            leaving_targets: Vec::new(),
            priority: CallPriority { urgent, worth },
            started: self.now,
            deadline: self.now + MicroTime::from_millis(self.plan.scenario.deadline_ms),
            account: self.streams.calls.random_range(0..2),
            open_attempts: Vec::new(),
        };
        self.calls.insert(id, call);
        self.try_call(id);
    }

    pub(super) fn third(&self) -> usize {
        ((self.now.0 * 3 / self.end.0.max(1)) as usize).min(2)
    }

    const fn worth_totals(&mut self, urgent: bool) -> &mut (u64, u64) {
        if urgent { &mut self.result.urgent_worth } else { &mut self.result.ordinary_worth }
    }

    pub(super) fn try_call(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let entry = call.entry;
        if call.call_attempts.is_last_attempt() {
            // A full target may still have the shortest queue; leaving ones stay excluded.
            call.tried.retain(|name| call.leaving_targets.contains(name));
        }
        let service = &mut self.entries[entry].service;
        let Some(index) =
            service.choose(self.now, self.plan.policy, &call.tried, &mut self.streams.policy)
        else {
            if call.open_attempts.is_empty() {
                self.end_call(id, false);
            }
            return;
        };
        let name = service.targets[index].name.clone();
        let hedge_delay = hedge_after(service.targets[index].service_us());
        let target = target_index(&name);
        call.tried.push(name);
        self.sequence += 1;
        let attempt = self.sequence;
        let sent = self.now;
        call.open_attempts.push(attempt);
        if self.plan.budget.is_some() {
            self.probe(entry);
        }
        self.attempts.insert(
            attempt,
            ModelAttempt { call: id, target, sent, started: None, answered: false },
        );
        if self.plan.hedging && self.calls[&id].open_attempts.len() == 1 {
            self.schedule(sent + hedge_delay, ModelEvent::Hedge { call: id, attempt });
        }
        let at = self.now + self.draw_hop_latency();
        self.schedule(at, ModelEvent::AtGuard { attempt });
    }

    pub(super) fn probe(&mut self, entry: usize) {
        let targets = &self.entries[entry].service.targets;
        let target =
            target_index(&targets[self.streams.policy.random_range(0..targets.len())].name);
        if self.entries[entry].probe_budget.try_take(self.now, 2, PROBE_BYTES) {
            self.result.probe_messages += 2;
            self.result.probe_bytes += u64::from(PROBE_BYTES);
            let at = self.now + self.draw_hop_latency();
            self.schedule(at, ModelEvent::Probe { entry, target });
        }
    }

    pub(super) fn reply(&mut self, attempt: u64, end: AttemptEnd) {
        if let Some(attempt) = self.attempts.get_mut(&attempt) {
            attempt.answered = true;
        }
        let at = self.now + self.draw_hop_latency();
        self.schedule(at, ModelEvent::AtEntry { attempt, end });
    }

    pub(super) fn set_load(&mut self, entry: usize, target: usize, load: LoadReport) {
        let now = self.now;
        if let Some(record) = self.entries[entry].service.find(&target_name(target)) {
            record.record_report(now, load);
        }
    }

    pub(super) fn at_entry(&mut self, attempt: u64, end: &AttemptEnd) {
        let Some(ModelAttempt { call: id, target, sent, .. }) = self.attempts.remove(&attempt)
        else {
            return;
        };
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let entry = &mut self.entries[call.entry];
        let (load, latency, failed) = match end {
            AttemptEnd::Answered { failed, load } => (load.0, Some(now.since(sent)), *failed),
            AttemptEnd::Refused { load, leaving } => (load.0, None, *leaving),
        };
        if let Some(record) = entry.service.find(&target_name(target)) {
            record.record_report(now, load);
            record.finish(now, latency, failed);
        }
        let attempt_result = match end {
            AttemptEnd::Answered { .. } => AttemptResult::Answered,
            AttemptEnd::Refused { .. } => AttemptResult::Refused,
        };
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.open_attempts.retain(|open| *open != attempt);
        if matches!(end, AttemptEnd::Refused { leaving: true, .. }) {
            call.leaving_targets.push(target_name(target));
        }
        let in_time = now < call.deadline;
        match call.call_attempts.record(attempt_result, in_time, &mut entry.retry_budget) {
            RetryDecision::Deliver => {
                entry.hedge_budget.record_success();
                self.end_call(id, !failed);
            }
            // Another attempt is still open and may be answered.
            _ if !call.open_attempts.is_empty() => {}
            RetryDecision::Retry => {
                self.result.retried += 1;
                self.try_call(id);
            }
            RetryDecision::ReportNotRun | RetryDecision::ReportUnknown => {
                self.result.refused += 1;
                self.end_call(id, false);
            }
        }
    }

    /// Counts a call, with its full deadline if it was not served, and cancels its attempts.
    pub(super) fn end_call(&mut self, id: u64, answered: bool) {
        let Some(call) = self.calls.remove(&id) else { return };
        for &attempt in &call.open_attempts {
            let target = self.attempts.get(&attempt).map(|attempt| attempt.target);
            let record = target
                .and_then(|target| self.entries[call.entry].service.find(&target_name(target)));
            if let Some(record) = record {
                record.finish(self.now, None, false);
            }
            let at = self.now + self.draw_hop_latency();
            self.schedule(at, ModelEvent::Cancel { attempt });
        }
        let deadline = call.deadline.since(call.started);
        let took = self.now.since(call.started);
        let served = answered && took <= deadline;
        let latency = if served { took } else { deadline };
        self.result.latencies.saturating_record(latency.0.max(1));
        if served {
            let worth = u64::from(call.priority.worth);
            self.worth_totals(call.priority.urgent).0 += worth;
            let third = (call.started.0 * 3 / self.end.0.max(1)) as usize;
            self.result.thirds[third.min(2)].0 += 1;
        }
    }

    pub(super) fn finish(mut self) -> ModelResult {
        let unfinished: Vec<u64> = self.calls.keys().copied().collect();
        for id in unfinished {
            self.end_call(id, false);
        }
        self.result
    }
}
