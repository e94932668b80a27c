//! What operators and callers may ask for: configuration, routes, revisions.
//!
//! Everything is checked when it is read; all findings are reported together,
//! each with its place. A revision in force is never followed by an older one.

pub(crate) mod account;
pub(crate) mod config;
pub(crate) mod config_checks;
pub(crate) mod file_schema;
pub(crate) mod options;
pub(crate) mod revision;
pub(crate) mod route;
