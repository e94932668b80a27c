//! A model of services that call each other, in virtual time, whose targets throttle the starts
//! of their runs.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use railspan::{CallPriority, DownstreamThrottle, MicroTime, ServiceName, StartDecision};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time without a permitted start after which the next start of a route must be permitted.
const MAX_START_INTERVAL_US: u64 = 500_000;

/// Interval at which the refused shares are sampled, in microseconds.
const SAMPLE_US: u64 = 100_000;

/// Longest wait for a slot, in microseconds.
const MAX_WAIT_US: u64 = 120_000;

/// Least time before its deadline at which a refused caller returns, in microseconds.
const MIN_REST_US: u64 = 300_000;

/// Time after which a caller returns that found all slots taken, in microseconds.
const FULL_RETRY_US: u64 = 100_000;

/// Deadlines of callers' and nested calls, in microseconds.
const OUTER_DEADLINE_US: u64 = 1_000_000;
const NESTED_DEADLINE_US: u64 = 300_000;

/// A service of the model.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    pub targets: usize,
    pub slots: usize,
    pub work_us: u64,
    /// Work of a nested call, in microseconds.
    pub nested_work_us: u64,
    /// Service that runs call, the number of these calls, and the share of the runs that make
    /// them.
    pub calls: Option<(usize, u32, f64)>,
    /// Whether a run makes its calls at once, otherwise one after the other.
    pub concurrent: bool,
    /// Callers' calls per second.
    pub per_s: f64,
    pub worth: u8,
}

/// What callers got of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceOutcome {
    pub offered: u32,
    pub served: u32,
    /// Calls whose runs failed.
    pub failed: u32,
    /// Calls refused by the throttle.
    pub throttled: u32,
}

/// Refused share at a target at one time.
#[derive(Clone, Copy, Debug)]
pub struct ShareSample {
    pub at: u64,
    pub target: usize,
    pub share: f64,
    /// Time since the latest call of the target's runs that was not answered.
    pub quiet_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrive(usize),
    /// A refused caller returns: service, deadline.
    Return(usize, u64),
    HalfDone(usize),
    WorkDone(usize),
    Expire(usize),
    Sample,
}

#[derive(Debug)]
struct ModelCall {
    service: usize,
    target: usize,
    parent: Option<usize>,
    deadline: u64,
    running: bool,
    waiting: bool,
    /// Calls that the run has still to make, and those that have not ended.
    calls_left: u32,
    calls_open: u32,
}

#[derive(Default)]
struct ModelTarget {
    throttle: DownstreamThrottle,
    running: usize,
    queue: VecDeque<usize>,
    permitted_at: Option<u64>,
    /// Time of the latest call of the target's runs that was not answered.
    call_failed_at: Option<u64>,
}

/// The model; callers call at random times.
pub struct CallGraph {
    pub plans: Vec<ServicePlan>,
    pub throttles: bool,
    /// Factor by which work takes longer, by service, target and time.
    pub slowness: fn(usize, usize, u64) -> u64,
    pub outcomes: Vec<ServiceOutcome>,
    /// Samples of the refused shares at the targets of each service.
    pub shares: Vec<Vec<ShareSample>>,
    pub now: u64,
    targets: Vec<Vec<ModelTarget>>,
    calls: Vec<ModelCall>,
    events: BinaryHeap<Reverse<(u64, u64, ModelEvent)>>,
    sequence: u64,
    rng: Pcg64Mcg,
    /// Draws the arrivals alone, so that these are the same with and without the throttle.
    arrival_rngs: Vec<Pcg64Mcg>,
}

fn service_name(service: usize) -> ServiceName {
    ServiceName::from(format!("service-{service}").as_str())
}

impl CallGraph {
    pub fn open(plans: &[ServicePlan], throttles: bool, seed: u64) -> Self {
        let open_targets =
            |plan: &ServicePlan| (0..plan.targets).map(|_| ModelTarget::default()).collect();
        let mut graph = Self {
            plans: plans.to_vec(),
            throttles,
            slowness: |_, _, _| 1,
            outcomes: vec![ServiceOutcome::default(); plans.len()],
            shares: vec![Vec::new(); plans.len()],
            now: 0,
            targets: plans.iter().map(open_targets).collect(),
            calls: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            arrival_rngs: (0..plans.len() as u64)
                .map(|service| Pcg64Mcg::seed_from_u64(seed ^ (service + 1) << 32))
                .collect(),
        };
        (0..plans.len()).for_each(|service| graph.schedule(0, ModelEvent::Arrive(service)));
        graph.schedule(0, ModelEvent::Sample);
        graph
    }

    fn schedule(&mut self, after: u64, event: ModelEvent) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    /// Runs the model up to a time, in microseconds.
    pub fn run_until(&mut self, end: u64) {
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at < end) {
            let Some(Reverse((at, _, event))) = self.events.pop() else { return };
            self.now = at;
            match event {
                ModelEvent::Arrive(service) => self.arrive(service),
                ModelEvent::Return(service, deadline) => self.request(service, deadline),
                ModelEvent::HalfDone(call) => self.proceed(call),
                ModelEvent::WorkDone(call) => self.end(call, true),
                ModelEvent::Expire(call) if self.calls[call].waiting => self.end(call, false),
                ModelEvent::Expire(_) => {}
                ModelEvent::Sample => self.sample(),
            }
        }
        self.now = end;
    }

    fn sample(&mut self) {
        for (service, plan) in self.plans.iter().enumerate() {
            let Some((callee, ..)) = plan.calls else { continue };
            for (index, target) in self.targets[service].iter_mut().enumerate() {
                // Also forgets what was not used for long.
                target.throttle.take_changes(MicroTime(self.now));
                let share =
                    target.throttle.refused_share(MicroTime(self.now), &service_name(callee));
                let quiet_us = target.call_failed_at.map_or(u64::MAX, |at| self.now - at);
                self.shares[service].push(ShareSample {
                    at: self.now,
                    target: index,
                    share,
                    quiet_us,
                });
            }
        }
        self.schedule(SAMPLE_US, ModelEvent::Sample);
    }

    /// A caller's call arrives; a call that the throttle refuses tries one more target.
    fn arrive(&mut self, service: usize) {
        let per_s = self.plans[service].per_s;
        let until_next =
            -self.arrival_rngs[service].random::<f64>().max(1e-9).ln() / per_s.max(1e-3);
        self.schedule((until_next * 1e6) as u64, ModelEvent::Arrive(service));
        if self.now == 0 || per_s <= 0.0 {
            return;
        }
        self.outcomes[service].offered += 1;
        self.request(service, self.now + OUTER_DEADLINE_US);
    }

    fn request(&mut self, service: usize, deadline: u64) {
        let mut retry_after = MicroTime(0);
        for _ in 0..2 {
            let target = self.choose(service);
            match self.may_start(service, target, false) {
                None => return self.offer(service, target, None, deadline),
                Some(delay) => retry_after = delay,
            }
        }
        self.outcomes[service].throttled += 1;
        self.come_back(service, deadline, retry_after.0);
    }

    /// A refused caller returns after a delay if its deadline permits.
    fn come_back(&mut self, service: usize, deadline: u64, after: u64) {
        if self.now + after + MIN_REST_US < deadline {
            self.schedule(after, ModelEvent::Return(service, deadline));
        }
    }

    /// Returns the less loaded of two random targets.
    fn choose(&mut self, service: usize) -> usize {
        let count = self.targets[service].len();
        let (one, other) = (self.rng.random_range(0..count), self.rng.random_range(0..count));
        let load = |target: usize| {
            let target = &self.targets[service][target];
            target.running + target.queue.len()
        };
        if load(other) < load(one) { other } else { one }
    }

    fn may_start(&mut self, service: usize, target: usize, nested: bool) -> Option<MicroTime> {
        let priority = CallPriority { urgent: false, worth: self.plans[service].worth };
        let target = &mut self.targets[service][target];
        if !self.throttles {
            return None;
        }
        let route = if nested { "nested" } else { "outer" };
        let now = MicroTime(self.now);
        let decision = target.throttle.request_start(now, route, priority, nested);
        let permitted = decision == StartDecision::Permit;
        assert!(permitted || !nested, "a nested run was refused");
        assert!(
            permitted || target.call_failed_at.is_some(),
            "refused though all calls were answered"
        );
        let since = target.permitted_at.map_or(u64::MAX, |at| self.now - at);
        assert!(permitted || since < MAX_START_INTERVAL_US, "starts stopped for {since} us");
        if permitted && !nested {
            target.permitted_at = Some(self.now);
        }
        match decision {
            StartDecision::Permit => None,
            StartDecision::Refuse { retry_after } => Some(retry_after),
        }
    }

    fn offer(&mut self, service: usize, target: usize, parent: Option<usize>, deadline: u64) {
        let call = self.calls.len();
        let (running, waiting, calls_left, calls_open) = (false, false, 0, 0);
        self.calls.push(ModelCall {
            service,
            target,
            parent,
            deadline,
            running,
            waiting,
            calls_left,
            calls_open,
        });
        let slots = self.plans[service].slots;
        let state = &mut self.targets[service][target];
        if state.running < slots {
            self.start(call);
        } else if state.queue.len() < 2 * slots {
            self.calls[call].waiting = true;
            let left = deadline.saturating_sub(self.now);
            let wait = if parent.is_some() {
                left.saturating_sub(self.plans[service].nested_work_us)
            } else {
                MAX_WAIT_US.min(left)
            };
            let nested = |waiting: &usize| self.calls[*waiting].parent.is_some();
            let state = &mut self.targets[service][target];
            let position = if parent.is_some() {
                state.queue.iter().take_while(|w| nested(w)).count()
            } else {
                state.queue.len()
            };
            state.queue.insert(position, call);
            self.schedule(wait, ModelEvent::Expire(call));
        } else {
            self.end(call, false);
        }
    }

    fn start(&mut self, call: usize) {
        let (service, target) = (self.calls[call].service, self.calls[call].target);
        let calls_left = match self.plans[service].calls {
            Some((_, count, share)) if self.rng.random_bool(share) => count,
            _ => 0,
        };
        let state = &mut self.calls[call];
        (state.running, state.waiting, state.calls_left) = (true, false, calls_left);
        let route = if state.parent.is_some() { "nested" } else { "outer" };
        let target = &mut self.targets[service][target];
        target.running += 1;
        target.throttle.begin_run(MicroTime(self.now), route);
        self.work(call, ModelEvent::HalfDone(call));
    }

    /// Does half of the work of a run.
    fn work(&mut self, call: usize, then: ModelEvent) {
        let ModelCall { service, target, parent, .. } = self.calls[call];
        let plan = &self.plans[service];
        let work_us = if parent.is_some() { plan.nested_work_us } else { plan.work_us };
        let slowness = (self.slowness)(service, target, self.now);
        self.schedule(work_us / 2 * slowness, then);
    }

    /// Makes the next call of a run, or does the rest of its work.
    fn proceed(&mut self, call: usize) {
        let ModelCall { service, deadline, calls_left, .. } = self.calls[call];
        let plan = &self.plans[service];
        let Some((callee, ..)) = plan.calls.filter(|_| calls_left > 0) else {
            self.work(call, ModelEvent::WorkDone(call));
            return;
        };
        let count = if plan.concurrent { calls_left } else { 1 };
        self.calls[call].calls_left -= count;
        self.calls[call].calls_open = count;
        for _ in 0..count {
            let target = self.choose(callee);
            self.may_start(callee, target, true);
            self.offer(callee, target, Some(call), deadline.min(self.now + NESTED_DEADLINE_US));
        }
    }

    /// Ends a call; `answered` says whether its run came to its end.
    fn end(&mut self, call: usize, answered: bool) {
        let ModelCall { service, target, parent, deadline, running, .. } = self.calls[call];
        let answered = answered && self.now <= deadline;
        let route = if parent.is_some() { "nested" } else { "outer" };
        let state = &mut self.targets[service][target];
        state.queue.retain(|waiting| *waiting != call);
        (self.calls[call].waiting, self.calls[call].running) = (false, false);
        if running {
            state.running -= 1;
            state.throttle.end_run(MicroTime(self.now), route, Some(!answered));
            if let Some(next) = state.queue.pop_front() {
                self.start(next);
            }
        }
        let Some(parent) = parent else {
            let outcome = &mut self.outcomes[service];
            outcome.served += u32::from(answered);
            outcome.failed += u32::from(running && !answered);
            if !running {
                self.come_back(service, deadline, FULL_RETRY_US);
            }
            return;
        };
        let caller = &self.calls[parent];
        let caller_target = &mut self.targets[caller.service][caller.target];
        let throttle = &mut caller_target.throttle;
        throttle.record_call(MicroTime(self.now), &service_name(service), answered);
        if !answered {
            caller_target.call_failed_at = Some(self.now);
        }
        // A run that has ended with a failure ignores its other calls.
        if !self.calls[parent].running {
            return;
        }
        self.calls[parent].calls_open -= 1;
        if !answered {
            self.end(parent, false);
        } else if self.calls[parent].calls_open == 0 {
            self.proceed(parent);
        }
    }
}
