//! The daemon as a process: start, settings, addresses, reload, planned stop.
//!
//! `daemon` puts the duties together; `adapter` is what a deployment's platform fills in.

pub(crate) mod adapter;
pub(crate) mod admin;
pub(crate) mod control;
pub(crate) mod daemon;
pub(crate) mod httpd;
pub(crate) mod listen;
pub(crate) mod reload;
pub(crate) mod settings;
pub(crate) mod signals;
pub(crate) mod stop;
