//! Decisions about calls: target selection, admission, concurrency limits, quotas, retries.
//!
//! Every module is a pure state machine: plain structs that get the current time and an
//! event, without a clock, sockets or a runtime. Tests can therefore replay events in any
//! order. These modules depend on `base` alone.

pub(crate) mod account_demand;
pub(crate) mod account_usage;
pub(crate) mod admission;
pub(crate) mod answer_check;
pub(crate) mod benefit;
pub(crate) mod body_memory;
pub(crate) mod call_ledger;
pub(crate) mod clock_offset;
pub(crate) mod cold_start;
pub(crate) mod commit_backoff;
pub(crate) mod connection_account;
pub(crate) mod crash_suspects;
pub(crate) mod crossing;
pub(crate) mod downstream;
pub(crate) mod host_speed;
pub(crate) mod known_statements;
pub(crate) mod lease;
pub(crate) mod limit;
pub(crate) mod nested;
pub(crate) mod probe_budget;
pub(crate) mod quota;
pub(crate) mod rate_limit;
pub(crate) mod read_schedule;
pub(crate) mod registry;
pub(crate) mod report_pacer;
pub(crate) mod retry;
pub(crate) mod revocation;
pub(crate) mod running_requests;
pub(crate) mod selection;
pub(crate) mod start_wait;
pub(crate) mod target_incarnation;
