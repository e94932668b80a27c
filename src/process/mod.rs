//! The daemon process: start, settings, listeners, reload and planned stop.
//!
//! `daemon` starts the duties and connects them; `admin` and `control` are HTTP interfaces;
//! `adapter` is the interface that the adapter of a deployment's platform implements.

pub(crate) mod adapter;
pub(crate) mod admin;
pub(crate) mod control;
pub(crate) mod daemon;
mod duty_parts;
pub(crate) mod httpd;
pub(crate) mod listen;
pub(crate) mod reload;
pub(crate) mod settings;
pub(crate) mod signals;
pub(crate) mod stop;
