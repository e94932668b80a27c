//! The operators' command line: one file for each group of subcommands.

pub(crate) mod cli;
pub(crate) mod operator;
pub(crate) mod story;
