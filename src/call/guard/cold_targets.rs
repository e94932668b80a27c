//! Updates to the cold state of a guard's targets: from their heartbeats and health
//! checks, and after an evacuation of the data centre.

use std::time::Duration;

use slog::info;

use super::GuardDuty;
use super::local_target::LocalTarget;
use crate::base::clock::MicroTime;
use crate::base::ids::{ServiceName, TargetName};
use crate::decide::admission::AdmissionEvent;

/// Source of an update to a target's cold state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ColdSource {
    /// A heartbeat, which may arrive late.
    Heartbeat,
    /// The target's answer to a health check.
    Answer,
}

impl GuardDuty {
    /// Updates the maximum call rates of cold targets from the configuration.
    pub(super) fn update_cold_rates(&self) {
        for target in self.targets.borrow_mut().values_mut() {
            self.update_cold_rate(target);
        }
    }

    pub(super) fn update_cold_rate(&self, target: &mut LocalTarget) {
        let config = self.config.borrow();
        let start =
            config.as_ref().and_then(|config| config.cold_start(&target.announcement.service));
        let max_rate = start
            .map(|start| self.cold_terms.get().max_rate(f64::from(start.per_1000_s) / 1_000.0));
        // The rate that a cold target sustains is unknown until the first configuration, so the
        // lowest limit applies until then.
        let max_rate = if config.is_some() { max_rate } else { Some(0) };
        let names = self.header_names;
        let is_checked = config.as_ref().is_some_and(|config| {
            config.health_path(&target.announcement.service).is_some()
                && self.is_own_service(&target.announcement.service)
        });
        let limit = target.queue.cold_start_mut();
        limit.set_max_rate(max_rate);
        limit.set_can_be_asked(
            is_checked && names.cold_remaining_ms.is_some() && names.responding_target.is_some(),
        );
    }

    /// Records that a target's answer to the health check sent at `asked_at` says that it is warm.
    pub(super) fn confirm_warm(&self, key: &(ServiceName, TargetName), asked_at: MicroTime) {
        if let Some(target) = self.targets.borrow_mut().get_mut(key) {
            target.queue.cold_start_mut().confirm_warm(asked_at);
        }
    }

    /// Applies a target's report of how much longer it stays cold; zero means that it is warm.
    pub(super) fn update_cold_remaining(
        &self,
        key: &(ServiceName, TargetName),
        cold_remaining: Duration,
        source: ColdSource,
    ) {
        let now = self.clock.now();
        let config = self.config.borrow();
        let start = config.as_ref().and_then(|config| config.cold_start(&key.0));
        if let Some(target) = self.targets.borrow_mut().get_mut(key) {
            let limit = target.queue.cold_start_mut();
            let was_cold = limit.is_cold(now);
            let remaining = MicroTime::from(cold_remaining);
            if let Some(start) = start.filter(|_| !cold_remaining.is_zero()) {
                limit.note_cold_start(
                    now,
                    remaining,
                    MicroTime::from_millis(u64::from(start.lasts_ms)),
                );
            }
            match source {
                ColdSource::Heartbeat => limit.note_heartbeat(now, remaining),
                ColdSource::Answer => limit.note_health_answer(now, remaining),
            }
            if was_cold != limit.is_cold(now) {
                info!(self.logger, "cold state changed"; "target" => %key.1,
                    "cold" => !was_cold, "left_ms" => remaining.ceil_millis(),
                    "source" => ?source);
            }
        }
        drop(config);
        self.step_queue(key, AdmissionEvent::Tick);
    }

    /// Treats an unreachable target as cold, since it may have restarted.
    pub(super) fn assume_cold(&self, key: &(ServiceName, TargetName)) {
        let now = self.clock.now();
        if let Some(target) = self.targets.borrow_mut().get_mut(key) {
            target.queue.cold_start_mut().assume_cold(now);
        }
    }

    /// Sets whether the host's data centre is evacuated; no call starts here while it is.
    ///
    /// The targets may be cold after an evacuation, so they count as cold until they report
    /// otherwise.
    pub(super) fn set_evacuated(&self, evacuated: bool) {
        if self.evacuated.replace(evacuated) == evacuated {
            return;
        }
        info!(self.logger, "evacuation changed"; "evacuated" => evacuated);
        let now = self.clock.now();
        for target in self.targets.borrow_mut().values_mut() {
            target.queue.cold_start_mut().assume_cold(now);
        }
        self.apply_leases();
    }
}
