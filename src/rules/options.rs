//! The terms on which a call is served, whatever set them.

use serde::{Deserialize, Serialize};

use crate::base::wire::CallPriority;

/// Terms of a kind, as a template or an account sets them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindOptions {
    /// Whether calls go ahead of all that are not urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub urgent: Option<bool>,
    /// Worth, 1 to 100.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worth: Option<u8>,
    /// Whether a call may run twice. If not, it needs an idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// Time a call has, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u32>,
    /// Whether a slow call gets a second try beside the first; only for
    /// repeatable calls that make no calls of their own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hedge: Option<bool>,
}

/// The terms on which one call is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// Name of the kind, or `other`.
    pub kind: String,
    /// How the call competes.
    pub priority: CallPriority,
    /// Whether the call may run twice.
    pub repeatable: bool,
    /// Time the call has, in milliseconds.
    pub deadline_ms: u32,
    /// Time within which an answer is worth most, in milliseconds.
    pub objective_ms: u32,
    /// Targets that one call may be sent to, at most.
    pub attempts: u32,
    /// Whether a slow call gets a second try beside the first.
    pub hedge: HedgeRule,
}

/// Whether a slow call gets a second try beside the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeRule {
    /// Never.
    Never,
    /// When it takes long for its target, from the budget of hedges.
    SlowCalls,
    /// While the second can still be within the latency objective, from the
    /// budget of all further tries.
    WithinObjective,
}
