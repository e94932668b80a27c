//! Expected wait at targets that may start only a few calls a second, as an entry sees it.

use super::selection::TargetRecord;
use crate::base::clock::MicroTime;
use crate::base::load_report::StartAllowance;

/// Maximum benefit subtracted for competition over the last starts at a target: a refusal costs
/// the time to go to the target and back.
const CONTENTION_WEIGHT: f64 = 0.05;

impl TargetRecord {
    /// Returns the expected time for which a call sent now would wait to start, because the
    /// target is cold or states the rate that it takes, in microseconds.
    pub(crate) fn start_wait_us(&self, now: MicroTime) -> f64 {
        self.allowance_wait_us(self.load.cold, now).max(self.rate_wait_us(now))
    }

    /// Returns the part of [`Self::start_wait_us`] that is due to the target's stated rate.
    pub(crate) fn rate_wait_us(&self, now: MicroTime) -> f64 {
        self.allowance_wait_us(self.load.rate, now)
    }

    /// Returns whether the target has a limited rate and at most one start left, as far as known.
    pub(crate) fn has_contested_start(&self) -> bool {
        self.load.rate.is_some_and(|rate| self.starts_left(rate) < 2.0)
    }

    /// Returns the benefit subtracted for the risk that calls of other entries start at the
    /// target first: the fewer starts are left, the more entries compete for each.
    ///
    /// With `competes`, a limited rate costs nothing while there are starts left.
    pub(crate) fn contention_cost(&self, competes: bool) -> f64 {
        let rate = self.load.rate.filter(|rate| !competes || self.starts_left(*rate) < 1.0);
        let allowances = [self.load.cold, rate].into_iter().flatten();
        let costs =
            allowances.map(|allowance| CONTENTION_WEIGHT / (1.0 + self.starts_left(allowance)));
        costs.fold(0.0, f64::max)
    }

    /// Returns how many calls may still start: the reported allowance minus the calls sent since
    /// the report.
    fn starts_left(&self, allowance: StartAllowance) -> f64 {
        let sent = self.outstanding.saturating_sub(self.outstanding_at_report);
        (f64::from(allowance.available) - f64::from(sent)).max(0.0)
    }

    fn allowance_wait_us(&self, allowance: Option<StartAllowance>, now: MicroTime) -> f64 {
        let Some(allowance) = allowance.filter(|known| self.starts_left(*known) < 1.0) else {
            return 0.0;
        };
        let age = now.since(self.reported_at).0 as f64;
        (f64::from(allowance.next_ms) * 1_000.0 - age).max(0.0)
    }
}
