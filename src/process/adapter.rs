//! What a deployment's platform brings: names, calls and their reading.

use std::time::Duration;

use http::{Method, StatusCode};

use crate::base::consts::TARGET_LEASE;
use crate::call::headers::HeaderNames;
use crate::decide::cold_start::ColdTerms;
use crate::decide::quota::QuotaTerms;
use crate::duty::target_report::TargetReport;

/// The adapter of one kind of platform; a table that never changes.
#[derive(Debug)]
pub struct DeploymentAdapter {
    /// The platform's names of the headers.
    pub headers: &'static HeaderNames,
    /// Path at which the platform asks for readiness.
    pub ready_path: &'static str,
    /// Reads a call of the host's target; `Err` is the answer to a bad one.
    pub parse_report: for<'a> fn(&ControlRequest<'a>) -> Result<TargetReport, ControlError>,
    /// Reads the terms that the platform sets for all daemons.
    pub parse_terms: fn(&str) -> ParsedTerms,
}

/// A call of the host's target to its daemon.
#[derive(Debug)]
pub struct ControlRequest<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path without the query.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// An answer to a call that can't be used.
#[derive(Debug)]
pub struct ControlError {
    /// HTTP status.
    pub status: StatusCode,
    /// What is wrong, for a person.
    pub text: String,
}

/// Terms that a deployment's platform sets for all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeploymentTerms {
    /// Further tries that all daemons may make, as a share of the calls.
    pub retry_ratio: f64,
    /// Further tries beyond that share, in one window of the platform's.
    pub retry_slack: f64,
    /// Time a target's heartbeat stays valid without a further one.
    pub target_lease: Duration,
    /// Time from a stop signal until the process is killed.
    pub grace: Duration,
    /// What cold targets are given beyond their rate.
    pub cold: ColdTerms,
    /// How exactly quotas of accounts are kept.
    pub quota: QuotaTerms,
}

/// Terms as they were read; what could not be read is left at its default.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedTerms {
    /// The terms.
    pub terms: DeploymentTerms,
    /// What is wrong with the text, a line each, for a person.
    pub errors: Vec<String>,
}

impl Default for DeploymentTerms {
    /// Returns terms that suit a platform which sets none.
    fn default() -> Self {
        Self {
            retry_ratio: 0.1,
            retry_slack: 10.0,
            target_lease: TARGET_LEASE,
            grace: Duration::from_secs(6),
            cold: ColdTerms::default(),
            quota: QuotaTerms::default(),
        }
    }
}
