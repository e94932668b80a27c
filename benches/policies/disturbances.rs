//! Disturbances in the model: bursts, failures, and targets that leave and join.

use railspan::{LoadReport, MicroTime};

use crate::model::FleetModel;
use crate::parts::{ModelEvent, exponential, target_name, target_record};
use crate::scenarios::Disturbance;

impl FleetModel {
    /// Schedules the next burst on a target, in scenarios with bursts.
    pub(super) fn schedule_burst(&mut self, target: usize) {
        let Disturbance::Bursts { gap_ms } = self.plan.scenario.disturbance else { return };
        let gap = exponential(&mut self.streams.bursts, gap_ms as f64 * 1_000.0);
        self.schedule(self.now + MicroTime(gap as u64), ModelEvent::BurstStart { target });
    }

    /// Starts or ends the scenario's disturbance, apart from bursts and overload.
    pub(super) fn set_disturbance(&mut self, on: bool) {
        let mut out = Vec::new();
        match self.plan.scenario.disturbance {
            Disturbance::FailFast => self.targets[0].failing = on,
            Disturbance::Drain if on => self.targets[0].queue.close(&mut out),
            Disturbance::Drain => {
                self.targets[0].queue.reopen();
                self.add_to_entries(0);
            }
            Disturbance::ColdStart if on => {
                self.targets[0].queue.reopen();
                self.targets[0].burst_factor = 4.0;
                self.add_to_entries(0);
            }
            Disturbance::ColdStart => self.targets[0].burst_factor = 1.0,
            _ => {}
        }
        self.execute_actions(0, out);
    }

    /// Adds a target to all entries, as gossip does when it joins, or resets its record.
    pub(super) fn add_to_entries(&mut self, target: usize) {
        for entry in &mut self.entries {
            let mut new_record = target_record(&self.plan.scenario, target, self.now.0);
            new_record.load =
                LoadReport { slots: self.plan.scenario.slots, ..LoadReport::default() };
            match entry.service.targets.iter_mut().find(|known| known.name == new_record.name) {
                Some(known) => *known = new_record,
                None => entry.service.targets.push(new_record),
            }
        }
    }

    /// Removes a target from all entries.
    pub(super) fn remove_from_entries(&mut self, target: usize) {
        let name = target_name(target);
        for entry in &mut self.entries {
            entry.service.targets.retain(|known| known.name != name);
        }
    }
}
