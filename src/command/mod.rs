//! The operators' command line, a file for each subcommand.
//!
//! `cli` names them; `operator` asks running daemons; `output` and `progress` are what
//! all share. What a command prints is made by functions of what was asked, so that it
//! can be tried on fleets that do not run.

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
