//! What an operator's command asks of running daemons.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde_json::Value;
use snafu::Snafu;
use tokio::time::timeout;

use crate::base::digest::RequestDigest;
use crate::base::ids::{CentreName, HostName, ServiceName, TargetName};
use crate::base::member::{FleetView, MemberRecord, MemberState};
use crate::command::progress::CommandProgress;

/// Longest wait for one daemon.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest answer taken from a daemon, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// Longest time for all daemons together; those that did not answer by then are shown
/// so.
const STATUS_WITHIN: Duration = Duration::from_secs(5);

/// Daemons asked at once: of a fleet of a thousand, half of it silent, the others are
/// all asked within [`STATUS_WITHIN`].
const ASKED_AT_ONCE: usize = 512;

/// Why a daemon did not do what it was asked.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// It can't be reached, or gave no answer in time.
    #[snafu(display("{daemon} can't be reached: {reason}"))]
    Unreachable {
        /// Its admin address.
        daemon: SocketAddr,
        /// What was seen.
        reason: String,
    },
    /// It refused.
    #[snafu(display("{daemon} refused: {reason}"))]
    Refused {
        /// Its admin address.
        daemon: SocketAddr,
        /// What it said.
        reason: String,
    },
    /// No daemon has such a target.
    #[snafu(display("no target `{target}`; `railspan targets` lists them"))]
    NoTarget {
        /// The name asked for.
        target: String,
    },
}

/// One target as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TargetLine {
    /// Its service.
    pub service: ServiceName,
    /// Its name.
    pub target: TargetName,
    /// Its host.
    pub host: HostName,
    /// The host's data centre.
    pub data_centre: CentreName,
    /// What is believed of the host's daemon.
    pub daemon: MemberState,
    /// Whether it takes new work.
    pub ready: bool,
    /// Calls it runs at once.
    pub slots: u16,
}

/// What became of the question to a host's daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostCondition {
    /// It serves calls.
    Serving,
    /// It answers, but takes no calls.
    NotReady,
    /// It gave no answer in time.
    NoAnswer,
    /// The fleet takes it for dead, so it was not asked.
    Down,
    /// It stopped as planned, so it was not asked.
    Left,
}

/// Where a revision is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HostStatus {
    /// The host.
    pub host: HostName,
    /// Its data centre.
    pub data_centre: CentreName,
    /// What is believed of its daemon.
    pub daemon: MemberState,
    /// What became of the question to it.
    pub condition: HostCondition,
    /// The revision in force, or none if it could not be asked or has none.
    pub revision: Option<u64>,
    /// Whether it serves calls.
    pub ready: bool,
    /// Whether it could not reach the platform's store when it last tried.
    pub store_lost: bool,
    /// Whether it holds its data centre for evacuated.
    pub evacuated: bool,
    /// Requests that it sends to no target, since they end targets.
    pub blamed: Vec<RequestDigest>,
}

/// Returns all members that a daemon knows.
///
/// # Errors
///
/// Fails when the daemon can't be reached.
pub async fn read_members(daemon: SocketAddr) -> Result<FleetView, OperatorError> {
    let value = ask(Method::GET, daemon, "/members").await?;
    let unreadable =
        |error: serde_json::Error| OperatorError::Refused { daemon, reason: error.to_string() };
    serde_json::from_value(value).map_err(unreadable)
}

/// Returns all targets that a daemon knows.
///
/// # Errors
///
/// Fails when the daemon can't be reached.
pub async fn list_targets(daemon: SocketAddr) -> Result<Vec<TargetLine>, OperatorError> {
    let view = read_members(daemon).await?;
    let mut lines = Vec::new();
    for member in &view.members {
        lines.extend(member.targets.iter().map(|target| TargetLine {
            service: target.service.clone(),
            target: target.name.clone(),
            host: member.host.clone(),
            data_centre: member.data_centre.clone(),
            daemon: member.state,
            ready: target.ready && member.is_up(),
            slots: target.slots,
        }));
    }
    lines.sort_by(|a, b| {
        let left = (&a.service, &a.data_centre, &a.target);
        left.cmp(&(&b.service, &b.data_centre, &b.target))
    });
    Ok(lines)
}

/// Asks every daemon which revision is in force there, for at most [`STATUS_WITHIN`].
///
/// # Errors
///
/// Fails when the first daemon can't be reached; others show as not having answered.
pub(crate) async fn read_status(daemon: SocketAddr) -> Result<Vec<HostStatus>, OperatorError> {
    let view = read_members(daemon).await?;
    let mut hosts: Vec<HostStatus> = view.members.iter().map(unasked).collect();
    let asked = view.members.iter().enumerate().filter(|(_, member)| member.is_up());
    let asked = asked.map(|(index, member)| async move {
        (index, ask(Method::GET, member.admin, "/status").await.ok())
    });
    let answers = futures::stream::iter(asked).buffer_unordered(ASKED_AT_ONCE);
    let mut answers = std::pin::pin!(answers.take_until(tokio::time::sleep(STATUS_WITHIN)));
    let mut progress = CommandProgress::open(hosts.len() as u64);
    for done in 1.. {
        let Some((index, answer)) = answers.next().await else { break };
        progress.set(done);
        if let Some(answer) = answer {
            take_answer(&mut hosts[index], &answer);
        }
    }
    hosts.sort_by(|a, b| a.host.cmp(&b.host));
    Ok(hosts)
}

/// Returns what the fleet believes of a host before it is asked.
fn unasked(member: &MemberRecord) -> HostStatus {
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
        evacuated: false,
        blamed: Vec::new(),
    }
}

fn take_answer(host: &mut HostStatus, answer: &Value) {
    host.revision = answer["in_force"].as_u64();
    host.ready = answer["ready"] == Value::Bool(true);
    let evacuated = answer["evacuated"].as_array();
    host.evacuated =
        evacuated.is_some_and(|all| all.iter().any(|name| name == host.data_centre.as_str()));
    let blamed = answer["blamed"].as_array().into_iter().flatten();
    let digests = blamed.filter_map(|notice| RequestDigest::parse(notice["digest"].as_str()?));
    host.blamed = digests.collect();
    host.condition = if host.ready { HostCondition::Serving } else { HostCondition::NotReady };
}

/// Returns the state of one daemon.
///
/// # Errors
///
/// Fails when the daemon can't be reached.
pub async fn dump(daemon: SocketAddr) -> Result<Value, OperatorError> {
    ask(Method::GET, daemon, "/state").await
}

/// Drains a target, wherever it is, or takes that back.
///
/// # Errors
///
/// Fails when no daemon has the target, or its daemon can't be reached.
pub async fn drain(daemon: SocketAddr, target: &str, on: bool) -> Result<HostName, OperatorError> {
    let view = read_members(daemon).await?;
    let has = |notice: &crate::base::member::AdvertisedTarget| notice.name.as_str() == target;
    let member = view.serving().find(|member| member.targets.iter().any(has));
    let member = member.ok_or_else(|| OperatorError::NoTarget { target: target.to_owned() })?;
    let path = format!("/drain?target={target}&on={on}");
    ask(Method::POST, member.admin, &path).await?;
    Ok(member.host.clone())
}

/// Lets a request reach targets again that was found to end them.
///
/// # Errors
///
/// Fails when the daemon can't be reached, or knows no such request.
pub async fn forgive(daemon: SocketAddr, digest: RequestDigest) -> Result<(), OperatorError> {
    ask(Method::POST, daemon, &format!("/forgive?request={digest}")).await.map(drop)
}

/// Tells a daemon that a revision was published.
///
/// # Errors
///
/// Fails when the daemon can't be reached; it hears of the revision all the
/// same, only later.
pub async fn hint(daemon: SocketAddr) -> Result<(), OperatorError> {
    ask(Method::POST, daemon, "/hint").await.map(drop)
}

/// Returns an address that the argument parser made sure of.
pub(crate) fn daemon_address(address: Option<SocketAddr>) -> SocketAddr {
    address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
}

async fn ask(method: Method, daemon: SocketAddr, path: &str) -> Result<Value, OperatorError> {
    let unreachable = |reason: String| OperatorError::Unreachable { daemon, reason };
    let (status, body) = timeout(DAEMON_TIMEOUT, exchange(method, daemon, path))
        .await
        .map_err(|elapsed| unreachable(elapsed.to_string()))?
        .map_err(|error| unreachable(error.to_string()))?;
    let value: Value =
        serde_json::from_slice(&body).map_err(|error| unreachable(error.to_string()))?;
    if status.is_success() {
        return Ok(value);
    }
    let reason = value["error"].as_str().unwrap_or("no reason given").to_owned();
    Err(OperatorError::Refused { daemon, reason })
}

async fn exchange(
    method: Method,
    daemon: SocketAddr,
    path: &str,
) -> Result<(StatusCode, Bytes), Box<dyn std::error::Error + Send + Sync>> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{daemon}{path}");
    let request = Request::builder().method(method).uri(uri).body(Empty::new())?;
    let response = client.request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER).collect().await?;
    Ok((status, body.to_bytes()))
}
