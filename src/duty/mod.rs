//! What the duties of a daemon share: threads, rings, and what they tell each other.
//!
//! It knows what is told, not who tells it, so that no duty needs another one's
//! modules. A ring is bounded; one that is full hands the message back.

pub(crate) mod events;
pub(crate) mod readiness;
pub(crate) mod ring;
pub(crate) mod target_report;
pub(crate) mod threads;
