//! Infrastructure that the duties of a daemon share: threads, ring buffers and events.
//!
//! A duty is one of the daemon's event loops: entry, guard, peers, platform or admin. The
//! events are defined here, independent of who sends them, so that no duty depends on the
//! modules of another one. Ring buffers are bounded: a full one returns the message to the
//! sender.

pub(crate) mod confirmation;
pub(crate) mod connections;
pub(crate) mod events;
pub(crate) mod own_target;
pub(crate) mod readiness;
pub(crate) mod ring;
pub(crate) mod target_report;
pub(crate) mod threads;
