//! Health checks of a guard's own target, which return its identity and its current
//! slowness.
//!
//! Answers to calls carry the same information, but arrive late from a target that has just
//! become slow, whereas a health check is answered at once. It is cheap but not free, so it is
//! sent only if the known slowness is out of date and the target is in use, or if the target may
//! have turned cold under the calls that started since it last said that it is warm.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, Request};
use http_body_util::BodyExt;
use slog::info;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::base::clock::MicroTime;
use crate::base::ids::{ServiceName, TargetName};
use crate::call::call_body::CallBody;
use crate::call::guard::GuardDuty;
use crate::call::guard::cold_targets::ColdSource;
use crate::call::guard::target_call;
use crate::call::guard::target_connections::TargetFailure;
use crate::call::headers::{self, HeaderNames};
use crate::decide::lease::TargetCondition;
use crate::decide::rate_limit::RateSource;
use crate::duty::target_report::{TargetAnnouncement, TargetReport};

/// Time for which a target counts as in use after its last call.
const IN_USE_WINDOW: MicroTime = MicroTime::from_millis(1_000);

/// Interval between health checks of a target that is assumed cold until it answers: as short
/// as the shortest interval for targets in use.
const ASSUMED_COLD_CHECK_INTERVAL: MicroTime = MicroTime::from_millis(40);

/// Maximum wait for the answer to a health check: a later one would be out of date.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between attempts to discover the target after the daemon's start.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of attempts to discover the target; after them the guard waits for its
/// heartbeat.
const MAX_DISCOVERY_ATTEMPTS: u32 = 30;

/// Sends health checks to targets in use whose last known slowness is out of date.
pub(crate) fn check_stale_targets(duty: &Rc<GuardDuty>, now: MicroTime) {
    let mut targets = duty.targets.borrow_mut();
    for (key, target) in targets.iter_mut() {
        let assumed_cold =
            target.queue.cold_start().is_assumed_cold() && target.queue.cold_start().is_cold(now);
        let in_use =
            now.since(target.last_call_at) < IN_USE_WINDOW || target.running() > 0 || assumed_cold;
        let interval = if assumed_cold {
            ASSUMED_COLD_CHECK_INTERVAL
        } else {
            target.queue.speed().stale_after()
        };
        let rate_interval = target.queue.rate_limit().check_interval();
        let in_use = in_use || rate_interval.is_some();
        let interval = rate_interval.map_or(interval, |rate| rate.max(interval));
        let stale = now.since(target.slowness_updated_at) >= interval;
        // A health check counts towards the rate that a target states.
        let confirms = rate_interval.is_none() && target.queue.cold_start().should_ask(now);
        if !(in_use && (stale || confirms) && target.is_open()) {
            continue;
        }
        let Some(path) = duty.health_path() else { return };
        // Counts as updated, so that the next check comes after the answer to this one.
        target.slowness_updated_at = now;
        target.queue.rate_limit_mut().record_health_check(now);
        target.queue.cold_start_mut().note_asked(now);
        let address = target.announcement.address;
        tokio::task::spawn_local(check_target(Rc::clone(duty), key.clone(), address, path, now));
    }
}

/// Sends a health check to a target and applies its answer; without one, the target counts as
/// cold. An answer says what the target was at `asked_at` or later.
async fn check_target(
    duty: Rc<GuardDuty>,
    key: (ServiceName, TargetName),
    address: SocketAddr,
    path: String,
    asked_at: MicroTime,
) {
    let Some(answer) = fetch_health(&duty, address, &path).await else {
        duty.assume_cold(&key);
        return;
    };
    let names = duty.header_names;
    let responder =
        names.responding_target.and_then(|name| headers::get_str(&answer.headers, name));
    if responder.is_some_and(|name| name != key.1.as_str()) {
        return;
    }
    duty.note_statements(&key, &answer.headers, RateSource::HealthCheck);
    let cold_remaining = parse_cold_remaining(&answer.headers, names);
    if cold_remaining.is_zero() && responder.is_some() {
        duty.confirm_warm(&key, asked_at);
    }
    duty.update_cold_remaining(&key, cold_remaining, ColdSource::Answer);
    if let Some(percent) =
        target_call::parse_slowness(&answer.headers, names).filter(|_| answer.healthy)
    {
        duty.update_slowness(&key, percent);
    }
}

/// Reads how much longer a target stays cold; zero if the header is missing or invalid.
fn parse_cold_remaining(answer_headers: &HeaderMap, names: &HeaderNames) -> Duration {
    let text = names.cold_remaining_ms.and_then(|name| headers::get_str(answer_headers, name));
    let remaining_ms = text.and_then(|text| text.trim().parse::<f64>().ok()).unwrap_or_default();
    Duration::try_from_secs_f64(remaining_ms / 1_000.0).unwrap_or_default()
}

/// Discovers the target of this host at the daemon's start, before its first heartbeat.
pub(crate) async fn discover_target(
    duty: Rc<GuardDuty>,
    service: ServiceName,
    address: SocketAddr,
) {
    for _ in 0..MAX_DISCOVERY_ATTEMPTS {
        if !duty.targets.borrow().is_empty() {
            return;
        }
        if let Some(path) = duty.health_path()
            && let Some(answer) =
                fetch_health(&duty, address, &path).await.filter(|answer| answer.healthy)
            && let Some(announcement) = read_announcement(&duty, &answer.headers, &service, address)
            && duty.targets.borrow().is_empty()
        {
            info!(duty.logger, "target discovered"; "target" => %announcement.target);
            let cold_remaining = parse_cold_remaining(&answer.headers, duty.header_names);
            let key = (service, announcement.target.clone());
            duty.handle_report(TargetReport::Alive {
                announcement,
                started_at_ms: None,
                sequence: 0,
                cold_remaining,
            });
            duty.note_statements(&key, &answer.headers, RateSource::HealthCheck);
            return;
        }
        tokio::time::sleep(DISCOVERY_INTERVAL).await;
    }
}

/// Makes a target's announcement from the headers of a health check's answer.
fn read_announcement(
    duty: &GuardDuty,
    answer_headers: &HeaderMap,
    service: &ServiceName,
    address: SocketAddr,
) -> Option<TargetAnnouncement> {
    let name = headers::get_str(answer_headers, duty.header_names.responding_target?)?;
    let slots = target_call::parse_slots(answer_headers, duty.header_names)?;
    Some(TargetAnnouncement {
        service: service.clone(),
        target: TargetName::from(name),
        address,
        slots,
        condition: TargetCondition::Ready,
    })
}

/// Result of a liveness check of a target that lost a call or accepted no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetLiveness {
    /// The target answers; only the connection was lost.
    Running,
    /// Nothing listens at its address, or another target does.
    Ended,
    /// The target gave no answer; it may have ended or be stalled.
    Unknown,
}

/// Checks whether a target still runs at its address.
pub(super) async fn check_liveness(
    duty: &GuardDuty,
    key: &(ServiceName, TargetName),
) -> TargetLiveness {
    let address = duty.targets.borrow_mut().get_mut(key).map(|target| {
        target.queue.rate_limit_mut().record_health_check(duty.clock.now());
        target.announcement.address
    });
    let Some(address) = address else { return TargetLiveness::Ended };
    if let Some(path) = duty.health_path()
        && let Some(answer) = fetch_health(duty, address, &path).await
    {
        let name = duty.header_names.responding_target;
        let responder = name.and_then(|name| headers::get_str(&answer.headers, name));
        let is_same = responder.is_none_or(|responder| responder == key.1.as_str());
        return if is_same { TargetLiveness::Running } else { TargetLiveness::Ended };
    }
    match TcpStream::connect(address).await {
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => TargetLiveness::Ended,
        Ok(_) if duty.health_path().is_none() => TargetLiveness::Running,
        _ => TargetLiveness::Unknown,
    }
}

/// A target's answer to a health check.
struct HealthAnswer {
    headers: HeaderMap,
    /// Whether the target reports itself as healthy.
    healthy: bool,
}

/// Sends a health check to a target; returns `None` if it gives no answer in time.
async fn fetch_health(duty: &GuardDuty, address: SocketAddr, path: &str) -> Option<HealthAnswer> {
    duty.metrics.health_requests.inc();
    let make_request = || {
        let request = Request::get(path).header(http::header::HOST, address.to_string());
        request.body(CallBody::default().request_body()).ok()
    };
    let exchange = async {
        let (response, connection) = duty.connections.send(address, make_request, true).await?;
        let (parts, mut body) = response.into_parts();
        while let Some(frame) = body.frame().await {
            frame.map_err(|error| TargetFailure::of_answer(&error))?;
        }
        connection.release(&parts.headers);
        Ok(HealthAnswer { healthy: parts.status.is_success(), headers: parts.headers })
    };
    match timeout(HEALTH_TIMEOUT, exchange).await.ok()? {
        Ok(answer) => Some(answer),
        Err(TargetFailure::Invalid(fault)) => {
            duty.record_invalid_answer(&address, "", fault);
            None
        }
        Err(TargetFailure::NotSent | TargetFailure::Broken) => None,
    }
}
