//! Handling of calls, from the caller to the target and back.
//!
//! `entry` accepts calls from callers and sends each to the guard of a chosen target;
//! `guard` starts the call at its target and returns the answer. These modules do the I/O;
//! `decide` chooses the target and when a call starts.

pub(crate) mod answer_room;
pub(crate) mod body_room;
pub(crate) mod call_body;
pub(crate) mod checked_connector;
pub(crate) mod checked_socket;
pub(crate) mod entry;
pub(crate) mod guard;
pub(crate) mod guard_body;
pub(crate) mod head_room;
pub(crate) mod headers;
pub(crate) mod keepalive;
pub(crate) mod responses;
