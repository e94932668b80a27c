//! The guard's state as operators see it.

use serde_json::{Value, json};

use super::GuardDuty;
use super::local_target::LocalTarget;

impl GuardDuty {
    /// Returns the state on which the guard's decisions are based, as JSON.
    pub(super) fn dump(&self) -> Value {
        let targets = self.targets.borrow();
        let now = self.clock.now();
        let targets: Vec<Value> = targets.values().map(|target| target.dump(now)).collect();
        json!({
            "targets": targets,
            "blamed": self.suspects.borrow().blamed(),
            "quotas": self.quotas.dump(),
            "nested_routes": self.nested.dump(now),
            "downstream": self.downstream.borrow().dump(now),
            "call_records": self.ledger.borrow().memory_use(),
            "connections": self.connection_room.memory_use(),
            "body_memory": self.body_room.memory_use(),
            "head_memory": self.head_room.memory_use(),
            "answer_memory": self.answer_room.memory_use(),
            "streams": *self.open_streams.borrow(),
            "stopping": *self.stopping.borrow(),
        })
    }

    /// Returns what the targets of this host state, a line each for operators.
    pub(super) fn describe_statements(&self) -> Vec<String> {
        let targets = self.targets.borrow();
        let describe = |target: &LocalTarget| {
            let name = &target.announcement.target;
            if target.lease.states_leaving() {
                return Some(format!("{name} leaves, as its answers say"));
            }
            let rate = target.queue.rate_limit().stated_rate()?;
            let (running, waiting) = (target.queue.running(), target.queue.waiting());
            Some(format!(
                "{name} takes {} calls a second, as its answers say; {running} run, {waiting} wait",
                rate.per_s()
            ))
        };
        targets.values().filter_map(describe).collect()
    }
}
