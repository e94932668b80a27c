//! A call's way: entry, the hop between daemons, guard, target, and back.
//!
//! `entry` takes a caller's call and sends it to a guard; `guard` lets it start, speaks
//! to the target and sends the answer back. Where a call goes and when it starts is
//! decided in `decide`; here bytes move.

pub(crate) mod entry;
pub(crate) mod guard;
pub(crate) mod headers;
pub(crate) mod keepalive;
pub(crate) mod responses;
