//! Entries, guards and targets in virtual time, around the real kernels.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use hdrhistogram::Histogram;
use railspan::{
    AdmissionAction, AdmissionEvent, AdmissionQueue, CallCourse, CallId, CallPriority, LoadReport,
    MicroTime, NextStep, ProbeBudget, RetryBudget, SelectionPolicy, ServiceTargets, TargetName,
    TargetRecord, TryEnd, WaitingCall, hedge_after,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenarios::{Scenario, Trouble};

/// Interval at which a guard looks at its deadlines, in microseconds.
const GUARD_TICK_US: u64 = 20_000;

/// Bytes of a measuring message and its reply together.
const PROBE_BYTES: u32 = 120;

/// Share of calls that are urgent, in hundredths, and the worths.
const URGENT_SHARE: u32 = 20;
const URGENT_WORTH: u8 = 10;
const ORDINARY_WORTH: u8 = 3;

/// What measuring may cost an entry in a second.
#[derive(Clone, Copy, Debug)]
pub struct ModelBudget {
    pub messages_per_s: u32,
    pub bytes_per_s: u32,
}

/// What one run of the model is made of.
#[derive(Clone, Copy, Debug)]
pub struct ModelPlan {
    pub scenario: Scenario,
    pub policy: &'static SelectionPolicy,
    /// What measuring may cost, or nothing for no measuring.
    pub budget: Option<ModelBudget>,
    /// Whether slow calls get a second try.
    pub hedging: bool,
    /// Calls of the run, about.
    pub calls: u64,
    pub seed: u64,
}

/// One line of the table.
#[derive(Debug)]
pub struct ModelResult {
    /// Latency of each call in microseconds; an unserved one counts its deadline.
    pub latencies: Histogram<u64>,
    /// Worth served in time, and worth offered, of urgent calls.
    pub urgent: (u64, u64),
    /// The same of ordinary calls.
    pub ordinary: (u64, u64),
    /// Calls in all, refused for good, and attempts after the first.
    pub calls: u64,
    pub refused: u64,
    pub retried: u64,
    pub hedged: u64,
    /// Measuring messages and their bytes.
    pub probe_messages: u64,
    pub probe_bytes: u64,
    /// Calls served in time in each third of the run, and offered.
    pub thirds: [(u64, u64); 3],
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Call,
    AtGuard { attempt: u64 },
    Done { attempt: u64 },
    AtEntry { attempt: u64, end: AttemptEnd },
    Hedge { call: u64, attempt: u64 },
    Cancel { attempt: u64 },
    Probe { entry: usize, target: usize },
    ProbeReply { entry: usize, target: usize, load: OrderedLoad },
    GuardTick { target: usize },
    BurstStart { target: usize },
    BurstEnd { target: usize },
    TroubleStart,
    TroubleEnd,
}

/// A load report as part of an event; its order has no meaning.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OrderedLoad(LoadReport);

impl PartialOrd for OrderedLoad {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for OrderedLoad {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptEnd {
    Answered { failed: bool, load: OrderedLoad },
    Refused { load: OrderedLoad, leaving: bool },
}

struct ModelCall {
    entry: usize,
    course: CallCourse,
    tried: Vec<TargetName>,
    /// Of those, the ones that are leaving.
    gone: Vec<TargetName>,
    priority: CallPriority,
    began: MicroTime,
    deadline: MicroTime,
    account: u8,
    /// Attempts under way.
    open: Vec<u64>,
}

struct ModelAttempt {
    call: u64,
    target: usize,
    sent: MicroTime,
    /// When the target began it, if it did.
    started: Option<MicroTime>,
    /// Whether the guard has answered; the answer may still be on its way.
    answered: bool,
}

struct ModelEntry {
    service: ServiceTargets,
    retry_budget: RetryBudget,
    probe_budget: ProbeBudget,
    hedge_budget: RetryBudget,
}

struct ModelTarget {
    queue: AdmissionQueue,
    slots: u16,
    factor: f64,
    burst: f64,
    failing: bool,
    running: u16,
    /// Started calls that wait for a true slot.
    backlog: Vec<u64>,
}

/// Random numbers, a stream for each use, so that a policy's draws change
/// neither the calls that come nor the bursts that hit.
struct ModelStreams {
    calls: Pcg64Mcg,
    bursts: Pcg64Mcg,
    service: Pcg64Mcg,
    network: Pcg64Mcg,
    policy: Pcg64Mcg,
}

impl ModelStreams {
    fn open(seed: u64) -> Self {
        let stream = |number| Pcg64Mcg::seed_from_u64(seed * 10 + number);
        Self {
            calls: stream(0),
            bursts: stream(1),
            service: stream(2),
            network: stream(3),
            policy: stream(4),
        }
    }
}

/// The model of one service.
pub struct FleetModel {
    plan: ModelPlan,
    streams: ModelStreams,
    now: MicroTime,
    end: MicroTime,
    queue: BinaryHeap<Reverse<(MicroTime, u64, ModelEvent)>>,
    sequence: u64,
    entries: Vec<ModelEntry>,
    targets: Vec<ModelTarget>,
    calls: HashMap<u64, ModelCall>,
    attempts: HashMap<u64, ModelAttempt>,
    result: ModelResult,
}

impl FleetModel {
    /// Runs a scenario as planned.
    pub fn run(plan: ModelPlan) -> ModelResult {
        let scenario = plan.scenario;
        let mut model = Self::open(plan);
        model.schedule(MicroTime(0), ModelEvent::Call);
        for target in 0..model.targets.len() {
            model.schedule(MicroTime(GUARD_TICK_US), ModelEvent::GuardTick { target });
            if let Trouble::Bursts { .. } = scenario.trouble {
                model.schedule_burst(target);
            }
        }
        let third = MicroTime(model.end.0 / 3);
        model.schedule(third, ModelEvent::TroubleStart);
        model.schedule(third + third, ModelEvent::TroubleEnd);
        if scenario.trouble == Trouble::ColdStart {
            model.targets[0].queue.leave(&mut Vec::new());
            model.forget(0);
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

    fn open(plan: ModelPlan) -> Self {
        let scenario = plan.scenario;
        let targets: Vec<ModelTarget> = (0..scenario.targets)
            .map(|index| {
                let wrong = scenario.trouble == Trouble::WrongSlots && index == 0;
                ModelTarget {
                    queue: AdmissionQueue::open(scenario.slots),
                    slots: if wrong { scenario.slots / 2 } else { scenario.slots },
                    factor: if index % 2 == 0 { 1.0 } else { scenario.old_factor },
                    burst: 1.0,
                    failing: false,
                    running: 0,
                    backlog: Vec::new(),
                }
            })
            .collect();
        let rate = rate_per_us(&scenario);
        let limits = plan.budget.unwrap_or(ModelBudget { messages_per_s: 0, bytes_per_s: 0 });
        let entries = (0..scenario.entries).map(|_| ModelEntry {
            service: ServiceTargets::new(
                (0..scenario.targets).map(|index| record(&scenario, index, 0)).collect(),
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
                urgent: (0, 0),
                ordinary: (0, 0),
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

    fn schedule(&mut self, at: MicroTime, event: ModelEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn hop(&mut self) -> MicroTime {
        let mean = self.plan.scenario.hop_us as f64;
        MicroTime((mean * self.streams.network.random_range(0.5..1.5)) as u64)
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Call => self.new_call(),
            ModelEvent::AtGuard { attempt } => self.at_guard(attempt),
            ModelEvent::Done { attempt } => self.done(attempt),
            ModelEvent::AtEntry { attempt, end } => self.at_entry(attempt, &end),
            ModelEvent::Hedge { call, attempt } => self.hedge(call, attempt),
            ModelEvent::Cancel { attempt } => self.cancel(attempt),
            ModelEvent::Probe { entry, target } => {
                let load = OrderedLoad(self.targets[target].queue.load(self.now));
                let at = self.now + self.hop();
                self.schedule(at, ModelEvent::ProbeReply { entry, target, load });
            }
            ModelEvent::ProbeReply { entry, target, load } => self.hear(entry, target, load.0),
            ModelEvent::GuardTick { target } => {
                self.step_queue(target, AdmissionEvent::Tick);
                if self.now < self.end || !self.calls.is_empty() {
                    let at = self.now + MicroTime(GUARD_TICK_US);
                    self.schedule(at, ModelEvent::GuardTick { target });
                }
            }
            ModelEvent::BurstStart { target } => {
                self.targets[target].burst = self.streams.bursts.random_range(2.0..10.0);
                let length = self.streams.bursts.random_range(5_000..200_000);
                self.schedule(self.now + MicroTime(length), ModelEvent::BurstEnd { target });
            }
            ModelEvent::BurstEnd { target } => {
                self.targets[target].burst = 1.0;
                self.schedule_burst(target);
            }
            ModelEvent::TroubleStart => self.trouble(true),
            ModelEvent::TroubleEnd => self.trouble(false),
        }
    }

    fn schedule_burst(&mut self, target: usize) {
        let Trouble::Bursts { gap_ms } = self.plan.scenario.trouble else { return };
        let gap = exponential(&mut self.streams.bursts, gap_ms as f64 * 1_000.0);
        self.schedule(self.now + MicroTime(gap as u64), ModelEvent::BurstStart { target });
    }

    fn trouble(&mut self, on: bool) {
        let mut out = Vec::new();
        match self.plan.scenario.trouble {
            Trouble::FailFast => self.targets[0].failing = on,
            Trouble::Drain if on => self.targets[0].queue.leave(&mut out),
            Trouble::Drain => {
                self.targets[0].queue.rejoin();
                self.rejoin(0);
            }
            Trouble::ColdStart if on => {
                self.targets[0].queue.rejoin();
                self.targets[0].burst = 4.0;
                self.rejoin(0);
            }
            Trouble::ColdStart => self.targets[0].burst = 1.0,
            _ => {}
        }
        self.carry_out(0, out);
    }

    /// Gossip brings a target back to all entries.
    fn rejoin(&mut self, target: usize) {
        for entry in &mut self.entries {
            let mut fresh = record(&self.plan.scenario, target, self.now.0);
            fresh.load = LoadReport { slots: self.plan.scenario.slots, ..LoadReport::default() };
            match entry.service.targets.iter_mut().find(|known| known.name == fresh.name) {
                Some(known) => *known = fresh,
                None => entry.service.targets.push(fresh),
            }
        }
    }

    fn forget(&mut self, target: usize) {
        let name = target_name(target);
        for entry in &mut self.entries {
            entry.service.targets.retain(|known| known.name != name);
        }
    }

    fn new_call(&mut self) {
        if self.now >= self.end {
            return;
        }
        let mut gap = 1.0 / rate_per_us(&self.plan.scenario);
        if let Trouble::Overload(load) = self.plan.scenario.trouble
            && self.third() == 1
        {
            gap *= f64::from(self.plan.scenario.load) / f64::from(load);
        }
        let gap = exponential(&mut self.streams.calls, gap) as u64;
        self.schedule(self.now + MicroTime(gap), ModelEvent::Call);

        let urgent = self.streams.calls.random_range(0..100) < URGENT_SHARE;
        let worth = if urgent { URGENT_WORTH } else { ORDINARY_WORTH };
        let id = self.result.calls;
        self.result.calls += 1;
        let third = self.third();
        self.result.thirds[third].1 += 1;
        self.offered(urgent).1 += u64::from(worth);
        let call = ModelCall {
            entry: self.streams.calls.random_range(0..self.entries.len()),
            course: CallCourse::open(true, railspan::MAX_ATTEMPTS),
            tried: Vec::new(),
            gone: Vec::new(),
            priority: CallPriority { urgent, worth },
            began: self.now,
            deadline: self.now + MicroTime::from_millis(self.plan.scenario.deadline_ms),
            account: self.streams.calls.random_range(0..2),
            open: Vec::new(),
        };
        self.calls.insert(id, call);
        self.try_call(id);
    }

    fn third(&self) -> usize {
        ((self.now.0 * 3 / self.end.0.max(1)) as usize).min(2)
    }

    const fn offered(&mut self, urgent: bool) -> &mut (u64, u64) {
        if urgent { &mut self.result.urgent } else { &mut self.result.ordinary }
    }

    fn try_call(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let entry = call.entry;
        if call.course.is_last_try() {
            // Where it was full there may be the shortest queue all the same.
            call.tried.retain(|name| call.gone.contains(name));
        }
        let service = &mut self.entries[entry].service;
        let Some(index) =
            service.choose(self.now, self.plan.policy, &call.tried, &mut self.streams.policy)
        else {
            if call.open.is_empty() {
                self.end_call(id, false);
            }
            return;
        };
        let name = service.targets[index].name.clone();
        let patience = hedge_after(service.targets[index].service_us());
        let target = target_index(&name);
        call.tried.push(name);
        self.sequence += 1;
        let attempt = self.sequence;
        let sent = self.now;
        call.open.push(attempt);
        if self.plan.budget.is_some() {
            self.probe(entry);
        }
        self.attempts.insert(
            attempt,
            ModelAttempt { call: id, target, sent, started: None, answered: false },
        );
        if self.plan.hedging && self.calls[&id].open.len() == 1 {
            self.schedule(sent + patience, ModelEvent::Hedge { call: id, attempt });
        }
        let at = self.now + self.hop();
        self.schedule(at, ModelEvent::AtGuard { attempt });
    }

    fn probe(&mut self, entry: usize) {
        let targets = &self.entries[entry].service.targets;
        let target =
            target_index(&targets[self.streams.policy.random_range(0..targets.len())].name);
        if self.entries[entry].probe_budget.take(self.now, 2, PROBE_BYTES) {
            self.result.probe_messages += 2;
            self.result.probe_bytes += u64::from(PROBE_BYTES);
            let at = self.now + self.hop();
            self.schedule(at, ModelEvent::Probe { entry, target });
        }
    }

    fn at_guard(&mut self, attempt: u64) {
        let Some(&ModelAttempt { call, target, .. }) = self.attempts.get(&attempt) else { return };
        let Some(call) = self.calls.get(&call) else { return };
        let waiting = WaitingCall {
            call: CallId(u128::from(attempt)),
            account: format!("account-{}", call.account).as_str().into(),
            share: 1,
            priority: call.priority,
            deadline: call.deadline,
            give_up: call.deadline,
            work_us: 0,
            last: call.course.is_last_try(),
        };
        self.step_queue(target, AdmissionEvent::Arrive(waiting));
    }

    fn step_queue(&mut self, target: usize, event: AdmissionEvent) {
        let mut out = Vec::new();
        self.targets[target].queue.step(self.now, event, &mut out);
        self.carry_out(target, out);
    }

    fn carry_out(&mut self, target: usize, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Start(call) => self.start(target, call.0 as u64),
                AdmissionAction::Refuse { call, .. } => {
                    let load = OrderedLoad(self.targets[target].queue.load(self.now));
                    let leaving = self.targets[target].queue.is_leaving();
                    self.reply(call.0 as u64, AttemptEnd::Refused { load, leaving });
                }
            }
        }
    }

    fn start(&mut self, target: usize, attempt: u64) {
        if let Some(attempt) = self.attempts.get_mut(&attempt) {
            attempt.started = Some(self.now);
        }
        let state = &mut self.targets[target];
        if state.running >= state.slots {
            state.backlog.push(attempt);
            return;
        }
        state.running += 1;
        self.serve(target, attempt);
    }

    fn serve(&mut self, target: usize, attempt: u64) {
        let state = &self.targets[target];
        let mean = self.plan.scenario.service_us * state.factor * state.burst;
        let took = if state.failing {
            500.0
        } else {
            0.4 * mean + exponential(&mut self.streams.service, 0.6 * mean)
        };
        self.schedule(self.now + MicroTime(took as u64), ModelEvent::Done { attempt });
    }

    /// Starts a second attempt if the first one is still under way.
    fn hedge(&mut self, call: u64, attempt: u64) {
        let Some(state) = self.calls.get(&call) else { return };
        if state.open != [attempt] || state.course.is_last_try() {
            return;
        }
        if self.entries[state.entry].hedge_budget.take() {
            self.result.hedged += 1;
            self.try_call(call);
        }
    }

    /// The guard hears that nobody waits for an attempt any more.
    fn cancel(&mut self, attempt: u64) {
        let Some(ModelAttempt { target, started, answered, .. }) = self.attempts.remove(&attempt)
        else {
            return;
        };
        if answered {
            return;
        }
        let call = CallId(u128::from(attempt));
        if started.is_none() {
            self.step_queue(target, AdmissionEvent::Cancel(call));
            return;
        }
        let state = &mut self.targets[target];
        if let Some(index) = state.backlog.iter().position(|waiting| *waiting == attempt) {
            state.backlog.swap_remove(index);
        } else {
            self.free_slot(target);
        }
        let event = AdmissionEvent::Finish { call, took: None, failed: false };
        self.step_queue(target, event);
    }

    fn free_slot(&mut self, target: usize) {
        match self.targets[target].backlog.pop() {
            Some(next) => self.serve(target, next),
            None => self.targets[target].running -= 1,
        }
    }

    fn done(&mut self, attempt: u64) {
        let Some(&ModelAttempt { target, started: Some(started), .. }) =
            self.attempts.get(&attempt)
        else {
            return;
        };
        let failed = self.targets[target].failing;
        let event = AdmissionEvent::Finish {
            call: CallId(u128::from(attempt)),
            took: Some(self.now.since(started)),
            failed,
        };
        self.free_slot(target);
        self.step_queue(target, event);
        let load = OrderedLoad(self.targets[target].queue.load(self.now));
        self.reply(attempt, AttemptEnd::Answered { failed, load });
    }

    fn reply(&mut self, attempt: u64, end: AttemptEnd) {
        if let Some(attempt) = self.attempts.get_mut(&attempt) {
            attempt.answered = true;
        }
        let at = self.now + self.hop();
        self.schedule(at, ModelEvent::AtEntry { attempt, end });
    }

    fn hear(&mut self, entry: usize, target: usize, load: LoadReport) {
        let now = self.now;
        if let Some(record) = self.entries[entry].service.find(&target_name(target)) {
            record.hear(now, load);
        }
    }

    fn at_entry(&mut self, attempt: u64, end: &AttemptEnd) {
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
            record.hear(now, load);
            record.finish(now, latency, failed);
        }
        let try_end = match end {
            AttemptEnd::Answered { .. } => TryEnd::Answered,
            AttemptEnd::Refused { .. } => TryEnd::Refused,
        };
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.open.retain(|open| *open != attempt);
        if matches!(end, AttemptEnd::Refused { leaving: true, .. }) {
            call.gone.push(target_name(target));
        }
        let in_time = now < call.deadline;
        match call.course.step(try_end, in_time, &mut entry.retry_budget) {
            NextStep::Deliver => {
                entry.hedge_budget.succeed();
                self.end_call(id, !failed);
            }
            // The other attempt may still bring an answer.
            _ if !call.open.is_empty() => {}
            NextStep::TryAgain => {
                self.result.retried += 1;
                self.try_call(id);
            }
            NextStep::TellNotRun | NextStep::TellUnknown => {
                self.result.refused += 1;
                self.end_call(id, false);
            }
        }
    }

    /// Books a call; one that was not served counts its whole deadline.
    fn end_call(&mut self, id: u64, answered: bool) {
        let Some(call) = self.calls.remove(&id) else { return };
        for &attempt in &call.open {
            let target = self.attempts.get(&attempt).map(|attempt| attempt.target);
            let record = target
                .and_then(|target| self.entries[call.entry].service.find(&target_name(target)));
            if let Some(record) = record {
                record.finish(self.now, None, false);
            }
            let at = self.now + self.hop();
            self.schedule(at, ModelEvent::Cancel { attempt });
        }
        let deadline = call.deadline.since(call.began);
        let took = self.now.since(call.began);
        let served = answered && took <= deadline;
        let counted = if served { took } else { deadline };
        self.result.latencies.saturating_record(counted.0.max(1));
        if served {
            let worth = u64::from(call.priority.worth);
            self.offered(call.priority.urgent).0 += worth;
            let third = (call.began.0 * 3 / self.end.0.max(1)) as usize;
            self.result.thirds[third.min(2)].0 += 1;
        }
    }

    fn finish(mut self) -> ModelResult {
        let left: Vec<u64> = self.calls.keys().copied().collect();
        for id in left {
            self.end_call(id, false);
        }
        self.result
    }
}

fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    let uniform: f64 = rng.random_range(1e-9..1.0);
    -uniform.ln() * mean
}

/// Returns the calls in a microsecond that make the scenario's load.
fn rate_per_us(scenario: &Scenario) -> f64 {
    let speed =
        |index: usize| if index.is_multiple_of(2) { 1.0 } else { 1.0 / scenario.old_factor };
    let speeds: f64 = (0..scenario.targets).map(speed).sum();
    let capacity = speeds * f64::from(scenario.slots) / scenario.service_us;
    capacity * f64::from(scenario.load) / 100.0
}

fn record(scenario: &Scenario, index: usize, joined: u64) -> TargetRecord {
    TargetRecord::new(target_name(index), None, scenario.slots, MicroTime(joined))
}

fn target_name(index: usize) -> TargetName {
    format!("{index}").as_str().into()
}

fn target_index(name: &TargetName) -> usize {
    name.as_str().parse().unwrap_or(0)
}
