//! What every other folder may use: words, numbers and means without a decision.
//!
//! Names and identities, clocks, figures that all daemons agree on, messages
//! between daemons, rings between duties, metrics and logs. Nothing here imports
//! another folder, but for the outcome that a message carries.

pub(crate) mod clock;
pub(crate) mod consts;
pub(crate) mod duty;
pub(crate) mod findings;
pub(crate) mod ids;
pub(crate) mod log;
pub(crate) mod metrics;
pub(crate) mod ring;
pub(crate) mod socket;
pub(crate) mod wire;
