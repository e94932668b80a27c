//! Planned stop of a daemon.

use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::signal::unix::Signal;
use tokio::sync::oneshot;

use crate::duty::events::{EntryEvent, GuardEvent, PeersEvent, PlatformEvent};
use crate::process::adapter::DeploymentTerms;
use crate::process::admin::AdminRings;
use crate::process::settings::DaemonSettings;

/// Time allowed for the notice of the leave to reach some peers.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum wait for the member row to be removed from the platform's table.
const ROW_REMOVAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Fraction of the time between a stop signal and a kill during which callers are asked to
/// use another daemon. It is longer than the platform takes to notice that this one isn't
/// ready.
const DRAIN_FRACTION: f64 = 0.5;

/// Fraction of the time between a stop signal and a kill after which all calls must have ended.
const STOP_FRACTION: f64 = 0.85;

/// Time limits of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopPlan {
    /// Time during which callers are asked to use another daemon but are still served.
    pub(crate) drain: Duration,
    /// Time after which calls in progress are abandoned; includes `drain`.
    pub(crate) limit: Duration,
}

/// Returns the time limits of a stop, from the deployment's terms or the settings.
pub(crate) fn stop_plan(settings: &DaemonSettings, terms: Option<DeploymentTerms>) -> StopPlan {
    match terms {
        Some(terms) => StopPlan {
            drain: terms.grace.mul_f64(DRAIN_FRACTION),
            limit: terms.grace.mul_f64(STOP_FRACTION),
        },
        None => {
            StopPlan { drain: Duration::ZERO, limit: Duration::from_millis(settings.stop_bound_ms) }
        }
    }
}

/// Waits for a stop signal, or for a request by [`RunningDaemon::stop`].
///
/// [`RunningDaemon::stop`]: crate::process::daemon::RunningDaemon::stop
pub(crate) async fn wait_for_stop(
    terminate: &mut Signal,
    interrupt: &mut Signal,
    stop_requested: oneshot::Receiver<()>,
) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        Ok(()) = stop_requested => {}
    }
}

/// Stops all duties: notifies the peers of the leave, finishes the calls, and removes the
/// member row.
pub(crate) async fn stop_duties(rings: &AdminRings, plan: StopPlan, logger: &Logger) {
    let StopPlan { drain, limit } = plan;
    info!(logger, "planned stop"; "bound_ms" => limit.as_millis() as u64);
    let (leave_done, peers_notified) = oneshot::channel();
    let leave_sent = rings.peers.push(PeersEvent::Leave(leave_done)).is_ok();
    // Runs beside the other steps, so that an unavailable platform doesn't delay the stop.
    let (removal_done, row_removed) = oneshot::channel();
    let removal_sent = rings.platform.push(PlatformEvent::RemoveMemberRow(removal_done)).is_ok();
    if rings.entry.push(EntryEvent::Withdraw).is_ok() {
        tokio::time::sleep(drain).await;
    }
    let limit = limit.saturating_sub(drain);
    let (entry_done, entry_stopped) = oneshot::channel();
    let (guard_done, guard_stopped) = oneshot::channel();
    let entry_sent = rings.entry.push(EntryEvent::Stop(entry_done)).is_ok();
    let guard_sent = rings.guard.push(GuardEvent::Stop(guard_done)).is_ok();
    let finished = async { tokio::join!(entry_stopped, guard_stopped) };
    let in_time = tokio::time::timeout(limit, finished).await.is_ok();
    if !in_time {
        warn!(logger, "stop limit reached with calls in progress");
    }
    if leave_sent {
        drop(tokio::time::timeout(LEAVE_TIMEOUT, peers_notified).await);
        tokio::time::sleep(LEAVE_TIMEOUT.saturating_sub(drain)).await;
    }
    if removal_sent {
        drop(tokio::time::timeout(ROW_REMOVAL_TIMEOUT.saturating_sub(drain), row_removed).await);
    }
    info!(logger, "stopped"; "entry" => entry_sent, "guard" => guard_sent, "in_time" => in_time);
}
