//! Calls that a hosted target makes while it runs a request.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::hosted::HostedRun;
use crate::hosted_client::{HostedConnection, HostedResponse};

/// Time after the deadline of a nested call for which the target waits for its answer.
const ANSWER_GRACE: Duration = Duration::from_secs(8);

/// Which requests make a target call another service, and how.
#[derive(Clone, Debug)]
pub struct NestedCallRule {
    /// Prefix of the paths whose requests make a nested call.
    pub prefix: String,
    /// Caller address of the daemon on the target's host.
    pub caller: SocketAddr,
    /// Virtual host of the nested call.
    pub virtual_host: String,
    /// Path prefix of the nested call; its id follows.
    pub path: String,
    /// Deadline of the nested call.
    pub deadline: Duration,
}

/// A nested call as the target saw it.
#[derive(Clone, Debug)]
pub struct NestedCall {
    /// Id of the nested call.
    pub id: String,
    /// Id of the request that the target ran meanwhile.
    pub parent: String,
    /// Request line: method, path and HTTP version.
    pub request_line: String,
    /// Deadline of the nested call.
    pub deadline: Duration,
    /// Time at which the target made the call.
    pub sent: Instant,
    /// End and response; no response if the connection failed.
    pub ended: Option<(Instant, Option<HostedResponse>)>,
}

/// The nested calls of one target.
#[derive(Debug, Default)]
pub struct NestedCalls {
    rule: Mutex<Option<NestedCallRule>>,
    calls: Mutex<Vec<NestedCall>>,
}

impl NestedCalls {
    /// Makes the target call another service while it runs some requests; such a request fails
    /// with 500 if its nested call does.
    pub fn set_rule(&self, rule: NestedCallRule) {
        *lock(&self.rule) = Some(rule);
    }

    /// Returns all nested calls that the target made, in order.
    #[must_use]
    pub fn made(&self) -> Vec<NestedCall> {
        lock(&self.calls).clone()
    }

    /// Makes the nested call of a run, if any; returns `false` if it was not answered with 200.
    pub(crate) fn succeeds(&self, target: &str, run: &HostedRun) -> bool {
        let Some(rule) = lock(&self.rule).clone() else { return true };
        let path = run.request_line.split(' ').nth(1).unwrap_or_default();
        if !path.starts_with(&rule.prefix) {
            return true;
        }
        let mut calls = lock(&self.calls);
        let index = calls.len();
        let id = format!("nested-{target}-{index}");
        let call = NestedCall {
            parent: run.headers.get("x-request-id").cloned().unwrap_or_default(),
            request_line: format!("GET {}{id} HTTP/1.1", rule.path),
            id,
            deadline: rule.deadline,
            sent: Instant::now(),
            ended: None,
        };
        calls.push(call.clone());
        drop(calls);
        let response = rule.make(&call);
        let succeeds = response.as_ref().is_some_and(|response| response.status == 200);
        lock(&self.calls)[index].ended = Some((Instant::now(), response));
        succeeds
    }
}

impl NestedCallRule {
    /// Makes a nested call; returns the response unless the connection fails.
    fn make(&self, call: &NestedCall) -> Option<HostedResponse> {
        let deadline_ms = call.deadline.as_millis().to_string();
        let headers = [
            ("Host", &*self.virtual_host),
            ("X-Request-Id", &*call.id),
            ("X-Deadline-Ms", &*deadline_ms),
        ];
        let path = format!("{}{}", self.path, call.id);
        let mut connection =
            HostedConnection::open(self.caller, call.deadline + ANSWER_GRACE).ok()?;
        connection.call("GET", &path, &headers, b"").ok()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
