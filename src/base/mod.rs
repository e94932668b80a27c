//! Types and utilities that all other folders may use, without any decision logic.
//!
//! Identifiers, time, limits shared by all daemons, messages between daemons and the
//! records in them, connections, metrics and logs. Nothing here imports another folder.

pub(crate) mod call_status;
pub(crate) mod clock;
pub(crate) mod connection_plan;
pub(crate) mod consts;
pub(crate) mod counted_socket;
pub(crate) mod datagram;
pub(crate) mod digest;
pub(crate) mod evacuation;
pub(crate) mod findings;
pub(crate) mod h2io;
pub(crate) mod ids;
pub(crate) mod load_report;
pub(crate) mod log;
pub(crate) mod member;
pub(crate) mod memory_metrics;
pub(crate) mod memory_plan;
pub(crate) mod metrics;
pub(crate) mod segments;
pub(crate) mod suspect;
pub(crate) mod wire;
