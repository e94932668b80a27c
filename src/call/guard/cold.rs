//! What a guard hears of whether its targets are cold, and an evacuation of its data
//! centre, after which they are.

use std::time::Duration;

use slog::info;

use super::GuardDuty;
use super::local_target::LocalTarget;
use crate::base::clock::MicroTime;
use crate::base::ids::{ServiceName, TargetName};
use crate::decide::admission::AdmissionEvent;

/// Who told that a target is cold, or that it is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ColdSource {
    /// A heartbeat, which may be late.
    Heartbeat,
    /// The target's answer to a question for its health.
    Answer,
}

impl GuardDuty {
    /// Sets what each target bears while it is cold, as the configuration says.
    pub(super) fn bound_cold_targets(&self) {
        for target in self.targets.borrow_mut().values_mut() {
            self.bound_cold_target(target);
        }
    }

    pub(super) fn bound_cold_target(&self, target: &mut LocalTarget) {
        let config = self.config.borrow();
        let start =
            config.as_ref().and_then(|config| config.cold_start(&target.announcement.service));
        let bound = start
            .map(|start| self.cold_terms.get().max_rate(f64::from(start.per_1000_s) / 1_000.0));
        // Before the first configuration nobody knows what a cold target bears.
        let bound = if config.is_some() { bound } else { Some(0) };
        target.queue.cold_start_mut().set_max_rate(bound);
    }

    /// Notes how much longer a target says to stay cold.
    pub(super) fn hear_cold(
        &self,
        key: &(ServiceName, TargetName),
        left: Duration,
        source: ColdSource,
    ) {
        let now = self.clock.now();
        let config = self.config.borrow();
        let start = config.as_ref().and_then(|config| config.cold_start(&key.0));
        if let Some(target) = self.targets.borrow_mut().get_mut(key) {
            let gate = target.queue.cold_start_mut();
            let before = gate.is_cold(now);
            let told = MicroTime::from(left);
            if let Some(start) = start.filter(|_| !left.is_zero()) {
                gate.note_cold_start(now, told, MicroTime::from_millis(u64::from(start.lasts_ms)));
            }
            match source {
                ColdSource::Heartbeat => gate.note_heartbeat(now, told),
                ColdSource::Answer => gate.note_health_answer(now, told),
            }
            if before != gate.is_cold(now) {
                info!(self.logger, "cold"; "target" => %key.1, "cold" => !before,
                    "left_ms" => told.ceil_millis(), "source" => ?source);
            }
        }
        drop(config);
        self.step_queue(key, AdmissionEvent::Tick);
    }

    /// Takes a target for cold that can't be reached: it may have started anew.
    pub(super) fn doubt(&self, key: &(ServiceName, TargetName)) {
        let now = self.clock.now();
        if let Some(target) = self.targets.borrow_mut().get_mut(key) {
            target.queue.cold_start_mut().assume_cold(now);
        }
    }

    /// Begins nothing new on this host from now on, or does so again.
    ///
    /// Its targets may be cold afterwards, so they count as cold until they say
    /// otherwise.
    pub(super) fn evacuate(&self, evacuated: bool) {
        if self.evacuated.replace(evacuated) == evacuated {
            return;
        }
        info!(self.logger, "evacuation"; "evacuated" => evacuated);
        let now = self.clock.now();
        for target in self.targets.borrow_mut().values_mut() {
            target.queue.cold_start_mut().assume_cold(now);
        }
        self.check_leases();
    }
}
