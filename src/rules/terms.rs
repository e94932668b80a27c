//! The terms on which a call is served, whatever set them.

use crate::base::wire::CallPriority;

/// The terms on which one call is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallTerms {
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
    BesideSlow,
    /// While the second can still be within the latency objective, from the
    /// budget of all further tries.
    WithinObjective,
}
