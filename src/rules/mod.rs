//! Configuration of the fleet: services, client accounts, routes and revisions.
//!
//! Files are checked when they are read, and all findings are reported together, each with
//! its position. A revision in force is never replaced by an older one.

pub(crate) mod account;
pub(crate) mod config;
pub(crate) mod config_checks;
pub(crate) mod file_schema;
pub(crate) mod options;
pub(crate) mod revision;
pub(crate) mod route;
