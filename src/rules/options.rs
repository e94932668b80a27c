//! Options of calls: priority, deadline, attempts and hedging.

use serde::{Deserialize, Serialize};

use crate::base::wire::CallPriority;

/// Options of a kind of request, as a template or an account sets them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindOptions {
    /// Whether the calls go before all calls that are not urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub urgent: Option<bool>,
    /// Worth, from 1 to 100.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worth: Option<u8>,
    /// Whether a call may run more than once; otherwise it needs an idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// Time to the deadline of a call, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u32>,
    /// Whether a slow call is hedged by a second attempt; only for repeatable calls that make
    /// no calls of their own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hedge: Option<bool>,
}

/// Options of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// Name of the kind or route of the call, or `other` if its template has no such kind.
    pub kind: String,
    /// Priority of the call.
    pub priority: CallPriority,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Time to the deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Latency objective, in milliseconds; an answer within this time is worth most.
    pub objective_ms: u32,
    /// Maximum number of targets that the call may be sent to.
    pub attempts: u32,
    /// When the call is hedged.
    pub hedge: HedgeRule,
}

/// When a slow call is hedged by a second attempt beside the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeRule {
    /// Never.
    Never,
    /// When the call takes long compared with the average service time of its target. The
    /// attempt counts against the budget of hedges.
    SlowCalls,
    /// While a second attempt can still meet the latency objective. It counts against the
    /// budget of all retries.
    WithinObjective,
}
