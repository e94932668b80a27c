//! The admission queues of a host's targets: events, periodic checks and decisions.

use std::rc::Rc;
use std::time::Duration;

use slog::info;

use super::{GuardDuty, health};
use crate::base::ids::{ServiceName, TargetName};
use crate::decide::admission::{AdmissionAction, AdmissionEvent};

/// Interval between checks of leases, deadlines, load changes and stale health reports.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

impl GuardDuty {
    /// Applies an event to a target's admission queue and executes the resulting actions.
    pub(crate) fn step_queue(&self, key: &(ServiceName, TargetName), event: AdmissionEvent) {
        let mut actions = Vec::new();
        if let Some(target) = self.targets.borrow_mut().get_mut(key) {
            let (before, reserved) = (target.queue.limit(), target.queue.reserved_slots());
            target.queue.step(self.clock.now(), event, &mut actions);
            let limit = target.queue.limit();
            if limit != before {
                info!(self.logger, "concurrency limit changed"; "target" => %key.1,
                    "limit" => limit, "before" => before,
                    "running" => target.queue.running(),
                    "waiting" => target.queue.waiting());
            }
            self.log_reserved_slots(&key.1, target, reserved);
        }
        self.publish_own_target();
        self.execute_actions(actions);
    }

    /// Passes the decisions of an admission queue to the calls that wait for them.
    pub(crate) fn execute_actions(&self, actions: Vec<AdmissionAction>) {
        for action in actions {
            let (call, decision) = match action {
                AdmissionAction::Start(call) => (call, Ok(())),
                AdmissionAction::Refuse { call, reason, retry_after_ms } => {
                    (call, Err((reason, retry_after_ms)))
                }
            };
            if let Some(waiter) = self.waiters.borrow_mut().remove(&call) {
                _ = waiter.send(decision);
            }
        }
    }

    pub(super) async fn tick(self: Rc<Self>) {
        let mut timer = tokio::time::interval(TICK_INTERVAL);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            let mut actions = Vec::new();
            let now = self.clock.now();
            for ((_, name), target) in self.targets.borrow_mut().iter_mut() {
                let reserved = target.queue.reserved_slots();
                target.queue.step(now, AdmissionEvent::Tick, &mut actions);
                self.log_reserved_slots(name, target, reserved);
            }
            self.publish_own_target();
            self.count_reserved_slots();
            self.execute_actions(actions);
            self.log_downstream_changes(now);
            self.log_forgotten_records();
            self.apply_leases();
            self.notify_watchers(now);
            health::check_stale_targets(&self, now);
        }
    }
}
