//! What a hosted target says of itself: heartbeats and answers to health checks.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::hosted::{HostedState, HostedTarget, lock};
use crate::hosted_behaviour::{HostedBehaviour, respond};
use crate::hosted_client::hosted_call;

pub(crate) fn heartbeat(
    state: &HostedState,
    address: SocketAddr,
    control: SocketAddr,
    condition: &str,
) -> io::Result<u16> {
    let sequence = state.sequence.fetch_add(1, Ordering::Relaxed) + 1;
    send_heartbeat(state, address, control, condition, sequence)
}

pub(crate) fn send_heartbeat(
    state: &HostedState,
    address: SocketAddr,
    control: SocketAddr,
    condition: &str,
    sequence: u64,
) -> io::Result<u16> {
    let mut body = json!({
        "address": address,
        "info": {"service": state.service, "version": "v1", "zone": "z", "slots": 4},
        "status": {
            "state": condition, "sequence": sequence,
            "cold_remaining": format!("{}ms", cold_remaining(state).as_millis()),
        },
    });
    let born = state.born.load(Ordering::Relaxed);
    if born > 0 {
        body["born"] = json!(born);
    }
    let path = format!("/instances/{}/heartbeat", state.name);
    Ok(hosted_call(control, "POST", &path, &[], body.to_string().as_bytes())?.status)
}

/// Returns the time until the target is warm.
fn cold_remaining(state: &HostedState) -> Duration {
    let until = *lock(&state.cold_until);
    until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
}

impl HostedTarget {
    /// Sets how the target responds to health checks; `None` for a correct response.
    pub fn set_health_behaviour(&self, behaviour: Option<HostedBehaviour>) {
        *lock(&self.state.health_behaviour) = behaviour;
    }
}

/// Responds to a health check, which does not count as a run; returns `false` if the connection is
/// to be closed.
pub(crate) fn respond_to_health_check(
    writer: &mut TcpStream,
    state: &HostedState,
) -> io::Result<bool> {
    let behaviour = lock(&state.health_behaviour).clone();
    if let Some(behaviour) = behaviour {
        return respond(writer, &behaviour, "", "");
    }
    writer.write_all(health_response(state).as_bytes())?;
    Ok(true)
}

fn health_response(state: &HostedState) -> String {
    let slowness = state.reported_slowness.load(Ordering::Relaxed);
    let status =
        if state.draining.load(Ordering::Relaxed) { "503 Service Unavailable" } else { "200 OK" };
    format!(
        "HTTP/1.1 {status}\r\nX-Instance-Id: {}\r\nX-Server-Load: 0,0,4,{slowness}\r\nX-Cold-Ms: {}\r\n{}Content-Length: 0\r\n\r\n",
        state.name,
        cold_remaining(state).as_millis(),
        lock(&state.health_headers)
    )
}
