//! Requests from the operators' commands to running daemons.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::Snafu;
use tokio::time::timeout;

use crate::base::digest::RequestDigest;
use crate::base::ids::{CentreName, HostName, ServiceName, TargetName};
use crate::base::member::{FleetView, MemberRecord, MemberState};
use crate::base::memory_plan::DutyMemoryUse;
use crate::call::checked_connector::{CheckedConnector, describe_error};
use crate::command::progress::CommandProgress;
use crate::decide::connection_account::ConnectionUse;

/// Maximum time for a request to one daemon.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum length of a daemon's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Maximum time for the status requests to all daemons; daemons that have not answered by
/// then are shown without an answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of concurrent status requests: enough to reach all responsive daemons
/// within [`STATUS_TIMEOUT`] if half of a fleet of a thousand does not respond.
const MAX_CONCURRENT_REQUESTS: usize = 512;

/// Why a request to a daemon failed.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The daemon can't be reached, or gave no valid answer in time.
    #[snafu(display("can't reach {daemon}: {reason}"))]
    Unreachable {
        /// Admin address of the daemon.
        daemon: SocketAddr,
        /// Description of the error.
        reason: String,
    },
    /// The daemon refused the request.
    #[snafu(display("{daemon} refused the request: {reason}"))]
    Refused {
        /// Admin address of the daemon.
        daemon: SocketAddr,
        /// Reason that the daemon gave.
        reason: String,
    },
    /// No daemon has a target of this name.
    #[snafu(display("unknown target `{target}`; list the targets with `railspan targets`"))]
    NoTarget {
        /// Name of the target.
        target: String,
    },
}

/// State of one target, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TargetStatus {
    /// Service that the target offers.
    pub service: ServiceName,
    /// Name of the target.
    pub target: TargetName,
    /// Host of the target.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: CentreName,
    /// State of the host's daemon, as the fleet sees it.
    pub daemon: MemberState,
    /// Whether the target accepts new calls.
    pub ready: bool,
    /// Maximum number of calls that the target runs at once.
    pub slots: u16,
}

/// Result of the status request to a host's daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostCondition {
    /// The daemon serves calls.
    Serving,
    /// The daemon answers, but accepts no calls.
    NotReady,
    /// The daemon gave no answer in time.
    NoAnswer,
    /// The fleet considers the daemon dead, so no request was sent.
    Down,
    /// The daemon stopped as planned, so no request was sent.
    Left,
}

/// Whether a daemon serves requests with a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TokenCondition {
    /// Requests with a valid token are served.
    Served,
    /// They are refused, because the daemon can't confirm that no token was revoked.
    Unconfirmed,
}

/// Status of one host, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HostStatus {
    /// Name of the host.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: CentreName,
    /// State of the host's daemon, as the fleet sees it.
    pub daemon: MemberState,
    /// Result of the status request to the daemon.
    pub condition: HostCondition,
    /// Revision in force; `None` if the daemon has none or gave no answer.
    pub revision: Option<u64>,
    /// Whether the daemon serves calls.
    pub ready: bool,
    /// Whether the daemon's last attempt to reach the platform's store failed.
    pub store_lost: bool,
    /// Whether the daemon serves requests with a token, as far as known.
    pub tokens: TokenCondition,
    /// Whether the daemon considers its data centre evacuated.
    pub evacuated: bool,
    /// Requests that are blamed for crashing targets, which the daemon sends to no target.
    pub blamed: Vec<RequestDigest>,
    /// What the host's targets state in their answers: names, and rates or that they leave.
    pub statements: Vec<String>,
    /// Use of the memory for the bodies of requests to the daemon's entry.
    pub body_memory: DutyMemoryUse,
    /// Connections of callers, and what they may hold.
    pub connections: ConnectionUse,
}

/// Returns all members of the fleet that a daemon knows.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached.
pub async fn read_members(daemon: SocketAddr) -> Result<FleetView, OperatorError> {
    let value = request_json(Method::GET, daemon, "/members").await?;
    let unreadable =
        |error: serde_json::Error| OperatorError::Refused { daemon, reason: error.to_string() };
    serde_json::from_value(value).map_err(unreadable)
}

/// Returns all targets that a daemon knows.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached.
pub async fn list_targets(daemon: SocketAddr) -> Result<Vec<TargetStatus>, OperatorError> {
    let view = read_members(daemon).await?;
    let mut statuses = Vec::new();
    for member in &view.members {
        statuses.extend(member.targets.iter().map(|target| TargetStatus {
            service: target.service.clone(),
            target: target.name.clone(),
            host: member.host.clone(),
            data_centre: member.data_centre.clone(),
            daemon: member.state,
            ready: target.ready && member.is_up(),
            slots: target.slots,
        }));
    }
    statuses.sort_by(|a, b| {
        let left = (&a.service, &a.data_centre, &a.target);
        left.cmp(&(&b.service, &b.data_centre, &b.target))
    });
    Ok(statuses)
}

/// Requests the status of every daemon and waits for at most [`STATUS_TIMEOUT`].
///
/// # Errors
///
/// Returns an error if `daemon` can't be reached. Others that can't be reached are shown without an
/// answer.
pub(crate) async fn read_status(daemon: SocketAddr) -> Result<Vec<HostStatus>, OperatorError> {
    let view = read_members(daemon).await?;
    let mut hosts: Vec<HostStatus> = view.members.iter().map(initial_status).collect();
    query_members(&view, "/status", |index, answer| apply_answer(&mut hosts[index], &answer)).await;
    hosts.sort_by(|a, b| a.host.cmp(&b.host));
    Ok(hosts)
}

/// Requests a page of every daemon and waits for at most [`STATUS_TIMEOUT`]; calls `apply` with
/// each page that can be read. Returns the number of daemons in the fleet.
///
/// # Errors
///
/// Returns an error if `daemon` can't be reached. Others that can't be reached are left out.
pub(crate) async fn query_fleet<T: DeserializeOwned>(
    daemon: SocketAddr,
    path: &str,
    mut apply: impl FnMut(T),
) -> Result<usize, OperatorError> {
    let view = read_members(daemon).await?;
    query_members(&view, path, |_, answer| {
        if let Ok(page) = serde_json::from_value(answer) {
            apply(page);
        }
    })
    .await;
    Ok(view.members.len())
}

/// Requests a page of every member that is up; calls `apply` with the member's position and the
/// answer of each that answers in time.
async fn query_members(view: &FleetView, path: &str, mut apply: impl FnMut(usize, Value)) {
    let members = view.members.iter().enumerate().filter(|(_, member)| member.is_up());
    let requests = members.map(|(index, member)| async move {
        (index, request_json(Method::GET, member.admin, path).await.ok())
    });
    let answers = futures::stream::iter(requests).buffer_unordered(MAX_CONCURRENT_REQUESTS);
    let mut answers = std::pin::pin!(answers.take_until(tokio::time::sleep(STATUS_TIMEOUT)));
    let mut progress = CommandProgress::open(view.members.len() as u64);
    for done in 1.. {
        let Some((index, answer)) = answers.next().await else { break };
        progress.set(done);
        if let Some(answer) = answer {
            apply(index, answer);
        }
    }
}

/// Returns the status of a host before its daemon has answered.
fn initial_status(member: &MemberRecord) -> HostStatus {
    HostStatus {
        host: member.host.clone(),
        data_centre: member.data_centre.clone(),
        daemon: member.state,
        condition: match member.state {
            MemberState::Alive | MemberState::Suspect => HostCondition::NoAnswer,
            MemberState::Dead => HostCondition::Down,
            MemberState::Left => HostCondition::Left,
        },
        revision: None,
        ready: false,
        store_lost: member.store_lost,
        tokens: TokenCondition::Served,
        evacuated: false,
        blamed: Vec::new(),
        statements: Vec::new(),
        body_memory: DutyMemoryUse::default(),
        connections: ConnectionUse::default(),
    }
}

/// Fills in a host's status from its daemon's answer.
fn apply_answer(host: &mut HostStatus, answer: &Value) {
    host.revision = answer["in_force"].as_u64();
    host.ready = answer["ready"] == Value::Bool(true);
    if answer["unconfirmed"] == Value::Bool(true) {
        host.tokens = TokenCondition::Unconfirmed;
    }
    let evacuated = answer["evacuated"].as_array();
    host.evacuated =
        evacuated.is_some_and(|all| all.iter().any(|name| name == host.data_centre.as_str()));
    let blamed = answer["blamed"].as_array().into_iter().flatten();
    let digests = blamed.filter_map(|request| RequestDigest::parse(request["digest"].as_str()?));
    host.blamed = digests.collect();
    let statements = answer["statements"].as_array().into_iter().flatten();
    host.body_memory = DutyMemoryUse::deserialize(&answer["body_memory"]).unwrap_or_default();
    host.connections = ConnectionUse::deserialize(&answer["connection_memory"]).unwrap_or_default();
    host.statements = statements.filter_map(|text| text.as_str().map(str::to_owned)).collect();
    host.condition = if host.ready { HostCondition::Serving } else { HostCondition::NotReady };
}

/// Returns the state of one daemon.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached.
pub async fn dump(daemon: SocketAddr) -> Result<Value, OperatorError> {
    request_json(Method::GET, daemon, "/state").await
}

/// Starts (`drained`) or ends the drain of a target and returns its host.
///
/// # Errors
///
/// Returns an error if no daemon has the target, or its daemon can't be reached.
pub async fn drain(
    daemon: SocketAddr,
    target: &str,
    drained: bool,
) -> Result<HostName, OperatorError> {
    let view = read_members(daemon).await?;
    let has =
        |advertised: &crate::base::member::AdvertisedTarget| advertised.name.as_str() == target;
    let member = view.serving().find(|member| member.targets.iter().any(has));
    let member = member.ok_or_else(|| OperatorError::NoTarget { target: target.to_owned() })?;
    let path = format!("/drain?target={target}&on={drained}");
    request_json(Method::POST, member.admin, &path).await?;
    Ok(member.host.clone())
}

/// Clears a request that is blamed for crashing targets, so that it may reach targets again.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached, or doesn't suspect the request.
pub async fn forgive(daemon: SocketAddr, digest: RequestDigest) -> Result<(), OperatorError> {
    request_json(Method::POST, daemon, &format!("/forgive?request={digest}")).await.map(drop)
}

/// Notifies a daemon that a revision was published.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached; it still finds the revision, only later.
pub async fn hint(daemon: SocketAddr) -> Result<(), OperatorError> {
    request_json(Method::POST, daemon, "/hint").await.map(drop)
}

/// Returns the value of an address option that the argument parser requires.
pub(crate) fn required_address(address: Option<SocketAddr>) -> SocketAddr {
    address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
}

/// Sends a request to a daemon and returns the JSON of its response.
async fn request_json(
    method: Method,
    daemon: SocketAddr,
    path: &str,
) -> Result<Value, OperatorError> {
    let unreachable = |reason: String| OperatorError::Unreachable { daemon, reason };
    let (status, body) = timeout(DAEMON_TIMEOUT, send_request(method, daemon, path))
        .await
        .map_err(|elapsed| unreachable(elapsed.to_string()))?
        .map_err(|error| unreachable(describe_error(&*error)))?;
    let value: Value =
        serde_json::from_slice(&body).map_err(|error| unreachable(error.to_string()))?;
    if status.is_success() {
        return Ok(value);
    }
    let reason = value["error"].as_str().unwrap_or("no reason given").to_owned();
    Err(OperatorError::Refused { daemon, reason })
}

/// Sends an HTTP request and returns the status and body of the response.
async fn send_request(
    method: Method,
    daemon: SocketAddr,
    path: &str,
) -> Result<(StatusCode, Bytes), Box<dyn std::error::Error + Send + Sync>> {
    let connector = CheckedConnector(HttpConnector::new());
    let client = Client::builder(TokioExecutor::new()).build::<_, Empty<Bytes>>(connector);
    let uri = format!("http://{daemon}{path}");
    let request = Request::builder().method(method).uri(uri).body(Empty::new())?;
    let response = client.request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await?;
    Ok((status, body.to_bytes()))
}
