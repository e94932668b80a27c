//! Load of a target, and what the target states about itself, as its guard reports them.

use serde::{Deserialize, Serialize};

use crate::base::clock::MicroTime;

/// Load of a target, as its guard knows it at the time of the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of calls running in the target. Exact, since the guard is its only client.
    pub in_flight: u16,
    /// Number of calls waiting at the guard.
    pub queued: u16,
    /// Number of calls that the target may run at once: its concurrency limit, which is at
    /// most its slots.
    pub slots: u16,
    /// Smoothed service time of a call at the target, in microseconds.
    pub service_us: u32,
    /// Time that work currently takes, in percent of the normal time; zero if the target does not
    /// report it.
    pub slowness: u16,
    /// Smoothed failure rate of answers, in thousandths.
    #[serde(rename = "failing")]
    pub failure_permille: u16,
    /// Sequence number, which grows with every report of one guard incarnation.
    pub sequence: u64,
    /// Time of the report, by the guard's clock.
    #[serde(rename = "told")]
    pub reported_at: MicroTime,
    /// Calls that a cold target may still be given, or `None` if the target is warm.
    pub cold: Option<StartAllowance>,
    /// Calls that a target with a limited rate may still be given, or `None` if there is no
    /// limit.
    pub rate: Option<StartAllowance>,
    /// What the target states about itself, or `None` if it has not answered this guard yet.
    pub statement: Option<TargetStatement>,
}

/// Calls that may still be started at a target that takes only a few a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartAllowance {
    /// Number of calls that may begin now.
    #[serde(rename = "now")]
    pub available: u16,
    /// Time from the start of these until one more may begin, in milliseconds.
    pub next_ms: u16,
}

/// Rate of calls that a target states it takes from the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StatedRate {
    /// Calls per 1000 seconds.
    pub per_1000_s: u32,
}

impl StatedRate {
    /// Parses a decimal number of calls per second, such as `7.1`; `None` if it is none.
    ///
    /// Rounds down; a rate over the representable one becomes that.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let per_s: f64 = text.parse().ok().filter(|_| is_decimal)?;
        // A small excess keeps decimals whose binary form is just below them.
        Some(Self { per_1000_s: (per_s * 1_000.0 + 1e-6) as u32 })
    }

    /// Returns the rate in calls per second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        f64::from(self.per_1000_s) / 1_000.0
    }
}

/// What a target states about itself in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatement {
    /// Rate of calls that the target takes; `None` if it states none.
    pub rate: Option<StatedRate>,
    /// Whether the target leaves and takes no new calls.
    pub leaving: bool,
}
