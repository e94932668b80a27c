//! A guard's questions to its own target: who are you, and how slow is work now?
//!
//! Answers carry the same report, but a target whose work has just become slow
//! answers late. A question is asked only when no report came for a while and
//! calls run or came lately; it is answered at once and costs little, but not
//! nothing.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use slog::info;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::base::clock::MicroTime;
use crate::base::ids::{ServiceName, TargetName};
use crate::call::guard::GuardDuty;
use crate::call::guard::cold::ColdSource;
use crate::call::guard::target_call;
use crate::call::headers::{self, HeaderNames};
use crate::decide::lease::TargetCondition;
use crate::duty::target_report::{TargetAnnouncement, TargetReport};

/// Time after its last call that a target counts as in use.
const IN_USE: MicroTime = MicroTime::from_millis(1_000);

/// Time between two questions to a target that counts as cold until it answers: as
/// often as one that is in use is asked at most.
const DOUBTED_AFTER: MicroTime = MicroTime::from_millis(40);

/// Longest wait for the answer; it comes at once or is of no use.
const ANSWER_WITHIN: Duration = Duration::from_millis(300);

/// Time between two questions to a target that was not heard of since the start.
const FIND_EVERY: Duration = Duration::from_millis(100);

/// Questions at the start, until heartbeats are waited for instead.
const FIND_TRIES: u32 = 30;

/// Asks targets in use whose slowness is not known any more.
pub(crate) fn ask_stale(duty: &Rc<GuardDuty>, now: MicroTime) {
    let mut targets = duty.targets.borrow_mut();
    for (key, target) in targets.iter_mut() {
        let doubted = target.queue.cold().is_doubted() && target.queue.cold().is_cold(now);
        let used = now.since(target.used) < IN_USE || target.running() > 0 || doubted;
        let after = if doubted { DOUBTED_AFTER } else { target.queue.speed().stale_after() };
        let stale = now.since(target.slowness_heard) >= after;
        if !(used && stale && target.is_open()) {
            continue;
        }
        let Some(path) = duty.health_path() else { return };
        // Counts as heard, so that the next question comes after the answer.
        target.slowness_heard = now;
        let address = target.announcement.address;
        tokio::task::spawn_local(ask_one(Rc::clone(duty), key.clone(), address, path));
    }
}

async fn ask_one(
    duty: Rc<GuardDuty>,
    key: (ServiceName, TargetName),
    address: SocketAddr,
    path: String,
) {
    let Some(answer) = ask(&duty, address, &path).await else {
        duty.doubt(&key);
        return;
    };
    let names = duty.names;
    let by = names.running_target.and_then(|name| headers::text(&answer.headers, name));
    if by.is_some_and(|name| name != key.1.as_str()) {
        return;
    }
    duty.hear_cold(&key, cold_left(&answer.headers, names), ColdSource::Answer);
    if let Some(percent) = target_call::slowness(&answer.headers, names).filter(|_| answer.good) {
        duty.note_slowness(&key, percent);
    }
}

/// Reads how much longer a target stays cold; one that says nothing is not.
fn cold_left(answer: &HeaderMap, names: &HeaderNames) -> Duration {
    let text = names.cold_left_ms.and_then(|name| headers::text(answer, name));
    let left_ms = text.and_then(|text| text.trim().parse::<f64>().ok()).unwrap_or_default();
    Duration::try_from_secs_f64(left_ms / 1_000.0).unwrap_or_default()
}

/// Finds the target of this host at the daemon's start, before its heartbeat.
pub(crate) async fn find_target(duty: Rc<GuardDuty>, service: ServiceName, address: SocketAddr) {
    for _ in 0..FIND_TRIES {
        if !duty.targets.borrow().is_empty() {
            return;
        }
        if let Some(path) = duty.health_path()
            && let Some(answer) = ask(&duty, address, &path).await.filter(|answer| answer.good)
            && let Some(announcement) = read_announcement(&duty, &answer.headers, &service, address)
            && duty.targets.borrow().is_empty()
        {
            info!(duty.logger, "target found"; "target" => %announcement.target);
            let cold = cold_left(&answer.headers, duty.names);
            duty.take_report(TargetReport::Alive { announcement, born: None, sequence: 0, cold });
            return;
        }
        tokio::time::sleep(FIND_EVERY).await;
    }
}

fn read_announcement(
    duty: &GuardDuty,
    answer: &HeaderMap,
    service: &ServiceName,
    address: SocketAddr,
) -> Option<TargetAnnouncement> {
    let name = headers::text(answer, duty.names.running_target?)?;
    let slots = target_call::slots(answer, duty.names)?;
    Some(TargetAnnouncement {
        service: service.clone(),
        target: TargetName::from(name),
        address,
        slots,
        condition: TargetCondition::Ready,
    })
}

/// Whether a target that lost a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetProof {
    /// It answers, so it lost the connection alone.
    Runs,
    /// Nobody listens at its address, or another target does.
    Ended,
    /// It can't be told from one that stands still.
    None,
}

/// Asks a target whether it is still the one that it was.
pub(super) async fn prove(duty: &GuardDuty, key: &(ServiceName, TargetName)) -> TargetProof {
    let address = duty.targets.borrow().get(key).map(|target| target.announcement.address);
    let Some(address) = address else { return TargetProof::Ended };
    if let Some(path) = duty.health_path()
        && let Some(answer) = ask(duty, address, &path).await
    {
        let name = duty.names.running_target;
        let by = name.and_then(|name| headers::text(&answer.headers, name));
        let same = by.is_none_or(|by| by == key.1.as_str());
        return if same { TargetProof::Runs } else { TargetProof::Ended };
    }
    match TcpStream::connect(address).await {
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => TargetProof::Ended,
        Ok(_) if duty.health_path().is_none() => TargetProof::Runs,
        _ => TargetProof::None,
    }
}

/// A target's answer to a question for its health.
struct HealthAnswer {
    headers: HeaderMap,
    /// Whether it says that it is well.
    good: bool,
}

/// Asks a target for its health; nothing if it can't be reached in time.
async fn ask(duty: &GuardDuty, address: SocketAddr, path: &str) -> Option<HealthAnswer> {
    duty.metrics.health_requests.inc();
    let make_request = || {
        let request = Request::get(path).header(http::header::HOST, address.to_string());
        request.body(Full::new(Bytes::new())).ok()
    };
    let asked = async {
        let (response, connection) = duty.pool.send(address, make_request, true).await.ok()?;
        let (parts, body) = response.into_parts();
        body.collect().await.ok()?;
        connection.release(&parts.headers);
        Some(HealthAnswer { good: parts.status.is_success(), headers: parts.headers })
    };
    timeout(ANSWER_WITHIN, asked).await.ok()?
}
