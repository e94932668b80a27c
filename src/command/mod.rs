//! The operators' command line, with a module for each subcommand.
//!
//! `cli` lists the subcommands, `operator` sends requests to running daemons, and `output`
//! and `progress` are shared by all. The output is rendered by pure functions of the
//! daemons' answers, so that it can be tested without a running fleet.

pub(crate) mod accounts;
pub(crate) mod check;
pub(crate) mod cli;
pub(crate) mod drain;
pub(crate) mod dump;
pub(crate) mod forgive;
pub(crate) mod operator;
pub(crate) mod output;
pub(crate) mod progress;
pub(crate) mod publish;
pub(crate) mod request_trace;
pub(crate) mod status;
pub(crate) mod targets;
pub(crate) mod trace;
