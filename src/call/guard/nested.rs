//! What the guard knows of the calls that targets make while they serve others.

use std::cell::{Cell, RefCell};

use serde_json::{Value, json};
use slog::info;

use super::GuardDuty;
use super::local_target::LocalTarget;
use crate::base::clock::MicroTime;
use crate::base::consts::WORK_MARGIN;
use crate::base::ids::{ServiceName, TargetName};
use crate::base::member::FleetView;
use crate::base::wire::CallHead;
use crate::decide::nested::{RouteCall, RouteClassifier, ServiceShares};

/// Time for which the host's own target counts as busy after a run whose answer the guard no
/// longer waits for: the run may go on for as long as its host is slow, and make calls.
const ABANDONED_RUN: MicroTime = MicroTime::from_millis(2_000);

/// What a guard finds about one call.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallFinding {
    /// Whether a target made the call.
    pub(super) nested: bool,
    /// Whether only targets call the call's route, as far as known.
    pub(super) nested_route: bool,
}

/// The routes that only targets call, and the state of the host's own target as a caller.
#[derive(Debug, Default)]
pub(super) struct GuardNested {
    classifier: RefCell<RouteClassifier>,
    /// Time until which the host's own target may be running a call that its queue doesn't hold.
    busy_until: Cell<MicroTime>,
}

impl GuardNested {
    /// Updates each service's share of the hosts.
    pub(super) fn set_fleet_view(&self, view: &FleetView) {
        self.classifier.borrow_mut().set_shares(ServiceShares::of(view));
    }

    pub(super) fn dump(&self, now: MicroTime) -> Value {
        json!(self.classifier.borrow().states(now))
    }
}

impl GuardDuty {
    /// Records an arriving call as evidence about its route, and returns what is known of both.
    ///
    /// Where the configuration has accounts, the entry knows by the missing token that a target
    /// made a call. Nothing is learned of the route then, since it says nothing about calls with
    /// a token.
    pub(super) fn find_nested(&self, head: &CallHead) -> CallFinding {
        let config = self.config.borrow();
        if config.as_ref().is_some_and(|config| !config.accounts.is_empty()) {
            return CallFinding { nested: head.origin.nested, nested_route: false };
        }
        let call = RouteCall {
            route: &head.route,
            caller_service: head.origin.service.as_ref(),
            caller_busy: head.origin.busy,
            nested: head.origin.nested,
        };
        let finding = self.nested.classifier.borrow_mut().record(self.clock.now(), &call);
        if finding.changed {
            info!(self.logger, "route classification changed"; "route" => &*head.route,
                "nested" => finding.nested, "caller" => head.origin.service.as_ref().map(ServiceName::as_str),
                "caller_busy" => head.origin.busy, "reported" => head.origin.nested);
        }
        CallFinding { nested: finding.nested, nested_route: finding.nested }
    }

    /// Returns the time by which a nested call must have a slot: its deadline less the time for
    /// its work, since its run can use the answer until then.
    pub(super) fn nested_queue_deadline(head: &CallHead, deadline: MicroTime) -> MicroTime {
        deadline - MicroTime((f64::from(head.work_us) * WORK_MARGIN) as u64)
    }

    /// Updates what the entry of this daemon knows of the host's own target.
    pub(super) fn publish_own_target(&self) {
        let Some(service) = &self.own_service else { return };
        let targets = self.targets.borrow();
        let own = targets.iter().filter(|((of, _), _)| of == service);
        let mut running = 0;
        let mut highest = None;
        for (_, target) in own {
            running += target.running();
            highest = highest.max(target.queue.highest_priority());
        }
        if running == 0 && self.clock.now() < self.nested.busy_until.get() {
            // Keeps the state in which the run was abandoned.
            return;
        }
        self.own_target.set(running, highest.unwrap_or_default());
    }

    /// Records that a call is no longer awaited from a target, which may go on running it.
    pub(super) fn record_abandoned_run(&self) {
        self.nested.busy_until.set(self.clock.now() + ABANDONED_RUN);
    }

    /// Updates the metric of the reserved slots.
    pub(super) fn count_reserved_slots(&self) {
        let targets = self.targets.borrow();
        let reserved: usize = targets.values().map(|target| target.queue.reserved_slots()).sum();
        self.metrics.reserved_slots.set(i64::try_from(reserved).unwrap_or(i64::MAX));
    }

    /// Logs a change of the number of slots that a target's queue reserves for nested calls.
    pub(super) fn log_reserved_slots(
        &self,
        name: &TargetName,
        target: &LocalTarget,
        before: usize,
    ) {
        let reserved = target.queue.reserved_slots();
        if reserved == before {
            return;
        }
        info!(self.logger, "reserved slots changed"; "target" => %name, "reserved" => reserved,
            "before" => before, "limit" => target.queue.limit(),
            "running" => target.queue.running(), "waiting" => target.queue.waiting());
    }
}
