//! The guards and targets of the model: admission, service and cancellation.

use railspan::{AdmissionAction, AdmissionEvent, CallId, MicroTime, WaitingCall};

use crate::model::FleetModel;
use crate::parts::{AttemptEnd, ModelAttempt, ModelEvent, OrderedLoad, exponential};

impl FleetModel {
    /// Passes an attempt that arrived at a guard to its admission queue.
    pub(super) fn at_guard(&mut self, attempt: u64) {
        let Some(&ModelAttempt { call, target, .. }) = self.attempts.get(&attempt) else { return };
        let Some(call) = self.calls.get(&call) else { return };
        let waiting = WaitingCall {
            call: CallId(u128::from(attempt)),
            account: format!("account-{}", call.account).as_str().into(),
            share: 1,
            priority: call.priority,
            deadline: call.deadline,
            queue_deadline: call.deadline,
            work_us: 0,
            last_target: call.call_attempts.is_last_attempt(),
            nested: false,
        };
        self.step_queue(target, AdmissionEvent::Arrive(waiting));
    }

    /// Steps a guard's admission queue and executes the actions that follow.
    pub(super) fn step_queue(&mut self, target: usize, event: AdmissionEvent) {
        let mut out = Vec::new();
        self.targets[target].queue.step(self.now, event, &mut out);
        self.execute_actions(target, out);
    }

    pub(super) fn execute_actions(&mut self, target: usize, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Start(call) => self.start(target, call.0 as u64),
                AdmissionAction::Refuse { call, .. } => {
                    let load = OrderedLoad(self.targets[target].queue.next_report(self.now));
                    let leaving = self.targets[target].queue.is_closed();
                    self.reply(call.0 as u64, AttemptEnd::Refused { load, leaving });
                }
            }
        }
    }

    /// Starts an attempt at its target; it waits if the true slots are all in use.
    pub(super) fn start(&mut self, target: usize, attempt: u64) {
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

    /// Draws a service time and schedules the end of service.
    pub(super) fn serve(&mut self, target: usize, attempt: u64) {
        let state = &self.targets[target];
        let mean = self.plan.scenario.service_us * state.host_factor * state.burst_factor;
        let service_us = if state.failing {
            500.0
        } else {
            0.4 * mean + exponential(&mut self.streams.service, 0.6 * mean)
        };
        self.schedule(self.now + MicroTime(service_us as u64), ModelEvent::ServiceEnd { attempt });
    }

    /// Starts a second attempt if the first one is still open and the hedge budget allows
    /// it.
    pub(super) fn hedge(&mut self, call: u64, attempt: u64) {
        let Some(state) = self.calls.get(&call) else { return };
        if state.open_attempts != [attempt] || state.call_attempts.is_last_attempt() {
            return;
        }
        if self.entries[state.entry].hedge_budget.try_take() {
            self.result.hedged += 1;
            self.try_call(call);
        }
    }

    /// Cancels an attempt at its guard, since its call has ended.
    pub(super) fn cancel(&mut self, attempt: u64) {
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

    /// Frees a true slot, or gives it to an attempt that waits for one.
    pub(super) fn free_slot(&mut self, target: usize) {
        match self.targets[target].backlog.pop() {
            Some(next) => self.serve(target, next),
            None => self.targets[target].running -= 1,
        }
    }

    /// Ends the service of an attempt at its target and sends the answer.
    pub(super) fn end_service(&mut self, attempt: u64) {
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
        let load = OrderedLoad(self.targets[target].queue.next_report(self.now));
        self.reply(attempt, AttemptEnd::Answered { failed, load });
    }
}
