//! Access to the platform's store, and the rows and objects kept there.
//!
//! `table` defines the interface that a platform adapter implements; `publish` publishes
//! configuration revisions; `claim` defines the claims that make a keyed call run at most
//! once; `blamed_requests` stores the requests that may not be sent to any target. The
//! duty that reads and writes the store is in `durable`.

pub(crate) mod blamed_requests;
pub(crate) mod claim;
pub(crate) mod publish;
pub(crate) mod table;
