//! Load reports of a target's admission queue.

use super::AdmissionQueue;
use crate::base::clock::MicroTime;
use crate::base::load_report::{LoadReport, TargetStatement};

impl AdmissionQueue {
    /// Returns a load report with a new sequence number, for the next message to an entry.
    pub fn next_report(&mut self, now: MicroTime) -> LoadReport {
        self.sequence += 1;
        LoadReport { reported_at: now, ..self.current_report() }
    }

    /// Returns the current load under the sequence number of the last report.
    #[must_use]
    pub fn current_report(&self) -> LoadReport {
        LoadReport {
            in_flight: self.running.len() as u16,
            queued: self.waiting.len() as u16,
            slots: self.limit() as u16,
            service_us: self.service_us as u32,
            slowness: self.slowness,
            failure_permille: (self.failure_rate * 1_000.0) as u16,
            sequence: self.sequence,
            reported_at: self.now,
            cold: self.cold_start.allowance(self.now),
            rate: self.rate_limit.allowance(self.now, self.waiting.len()),
            statement: self.statement(),
        }
    }

    /// Returns what the target states about its rate; `None` if it has not answered yet.
    fn statement(&self) -> Option<TargetStatement> {
        let rate = self.rate_limit.stated_rate();
        self.rate_limit.is_heard().then_some(TargetStatement { rate, leaving: false })
    }

    /// Returns the sequence number of the latest load report.
    pub(crate) const fn report_sequence(&self) -> u64 {
        self.sequence
    }

    /// Continues the sequence numbers of an earlier queue of the same target, so that entries
    /// don't take the reports of this one for older ones.
    pub(crate) const fn continue_reports(&mut self, sequence: u64) {
        self.sequence = sequence;
    }
}
