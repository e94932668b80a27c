//! Interface to a deployment's platform: header names, paths and parsers.

use std::time::Duration;

use http::{Method, StatusCode};

use crate::base::clock::MicroTime;
use crate::base::consts::TARGET_LEASE;
use crate::call::headers::HeaderNames;
use crate::decide::cold_start::ColdTerms;
use crate::decide::quota::QuotaTerms;
use crate::duty::target_report::TargetReport;

/// Constant table that adapts railspan to one kind of platform.
#[derive(Debug)]
pub struct DeploymentAdapter {
    /// Header names of the platform.
    pub headers: &'static HeaderNames,
    /// Path at which the platform polls for readiness.
    pub ready_path: &'static str,
    /// Parses a control request of the host's target; `Err` is the response to a bad one.
    pub parse_report: for<'a> fn(&ControlRequest<'a>) -> Result<TargetReport, ControlError>,
    /// Parses the terms that the platform sets for all daemons.
    pub parse_terms: fn(&str) -> ParsedTerms,
}

/// Request of the host's target to the control address of its daemon.
#[derive(Debug)]
pub struct ControlRequest<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path without the query.
    pub path: &'a str,
    /// Complete body.
    pub body: &'a [u8],
}

/// Response to a control request that can't be used.
#[derive(Debug)]
pub struct ControlError {
    /// HTTP status.
    pub status: StatusCode,
    /// Description of the error.
    pub text: String,
}

/// Terms that a deployment's platform sets for all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeploymentTerms {
    /// Retries that all daemons together may make, as a fraction of the calls.
    pub retry_ratio: f64,
    /// Retries that they may make beyond that fraction, in one of the windows over which the
    /// platform counts retries.
    pub retry_slack: f64,
    /// Time for which a target's heartbeat stays valid without another one.
    pub target_lease: Duration,
    /// Whether a revoked token must be refused within [`Self::revoke`] everywhere, also by
    /// daemons that are cut off.
    pub strict_revocation: bool,
    /// Time after the acknowledgement of a configuration in which it has to be in force.
    pub config_deadline: Duration,
    /// Time after the acknowledgement of a revision from which the tokens that it revoked are
    /// refused.
    pub revoke: Duration,
    /// Time from a stop signal until the process is killed.
    pub grace: Duration,
    /// Calls that cold targets may be given beyond their rate.
    pub cold: ColdTerms,
    /// Precision with which the quotas of accounts are enforced.
    pub quota: QuotaTerms,
}

/// Result of parsing terms; a term that can't be parsed keeps its default.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedTerms {
    /// Parsed terms.
    pub terms: DeploymentTerms,
    /// Error messages, one for each term that can't be parsed.
    pub errors: Vec<String>,
}

impl DeploymentTerms {
    /// Returns the bound on the use of revoked tokens, if the deployment sets one.
    pub(crate) fn revocation_bound(&self) -> Option<MicroTime> {
        self.strict_revocation.then(|| self.revoke.into())
    }
}

impl Default for DeploymentTerms {
    /// Returns the terms for a platform that sets none.
    fn default() -> Self {
        Self {
            retry_ratio: 0.1,
            retry_slack: 10.0,
            target_lease: TARGET_LEASE,
            strict_revocation: false,
            config_deadline: Duration::from_secs(2),
            revoke: Duration::from_secs(5),
            grace: Duration::from_secs(6),
            cold: ColdTerms::default(),
            quota: QuotaTerms::default(),
        }
    }
}
