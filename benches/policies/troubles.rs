//! What goes wrong in the model: bursts, failures, targets that leave and join.

use railspan::{LoadReport, MicroTime};

use crate::model::FleetModel;
use crate::parts::{ModelEvent, exponential, record, target_name};
use crate::scenarios::Trouble;

impl FleetModel {
    pub(super) fn schedule_burst(&mut self, target: usize) {
        let Trouble::Bursts { gap_ms } = self.plan.scenario.trouble else { return };
        let gap = exponential(&mut self.streams.bursts, gap_ms as f64 * 1_000.0);
        self.schedule(self.now + MicroTime(gap as u64), ModelEvent::BurstStart { target });
    }

    pub(super) fn trouble(&mut self, on: bool) {
        let mut out = Vec::new();
        match self.plan.scenario.trouble {
            Trouble::FailFast => self.targets[0].failing = on,
            Trouble::Drain if on => self.targets[0].queue.close(&mut out),
            Trouble::Drain => {
                self.targets[0].queue.reopen();
                self.rejoin(0);
            }
            Trouble::ColdStart if on => {
                self.targets[0].queue.reopen();
                self.targets[0].burst = 4.0;
                self.rejoin(0);
            }
            Trouble::ColdStart => self.targets[0].burst = 1.0,
            _ => {}
        }
        self.carry_out(0, out);
    }

    /// Gossip brings a target back to all entries.
    pub(super) fn rejoin(&mut self, target: usize) {
        for entry in &mut self.entries {
            let mut fresh = record(&self.plan.scenario, target, self.now.0);
            fresh.load = LoadReport { slots: self.plan.scenario.slots, ..LoadReport::default() };
            match entry.service.targets.iter_mut().find(|known| known.name == fresh.name) {
                Some(known) => *known = fresh,
                None => entry.service.targets.push(fresh),
            }
        }
    }

    pub(super) fn forget(&mut self, target: usize) {
        let name = target_name(target);
        for entry in &mut self.entries {
            entry.service.targets.retain(|known| known.name != name);
        }
    }
}
