//! Planned stop of a daemon.

use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::signal::unix::Signal;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

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
const CALLS_FRACTION: f64 = 0.85;

/// Fraction of the time between a stop signal and a kill after which the process exits, even if
/// callers have not read their answers.
const EXIT_FRACTION: f64 = 0.95;

/// Time limits of a planned stop, counted from the stop signal.
///
/// Invariant: `drain` <= `calls_end` <= `exit`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopPlan {
    /// Time during which callers are asked to use another daemon but are still served.
    pub(crate) drain: Duration,
    /// Time after which calls in progress are answered as unknown.
    pub(crate) calls_end: Duration,
    /// Time after which answers that are still being sent are abandoned.
    pub(crate) exit: Duration,
}

/// Returns the time limits of a stop, from the deployment's terms or the settings.
pub(crate) fn stop_plan(settings: &DaemonSettings, terms: Option<DeploymentTerms>) -> StopPlan {
    let Some(terms) = terms else {
        let exit = Duration::from_millis(settings.stop_bound_ms);
        let calls_end = exit.mul_f64(CALLS_FRACTION / EXIT_FRACTION);
        return StopPlan { drain: Duration::ZERO, calls_end, exit };
    };
    StopPlan {
        drain: terms.grace.mul_f64(DRAIN_FRACTION),
        calls_end: terms.grace.mul_f64(CALLS_FRACTION),
        exit: terms.grace.mul_f64(EXIT_FRACTION),
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
    let StopPlan { drain, calls_end, exit } = plan;
    let started_at = Instant::now();
    info!(logger, "planned stop"; "calls_end_ms" => calls_end.as_millis() as u64,
        "exit_ms" => exit.as_millis() as u64);
    let (leave_done, peers_notified) = oneshot::channel();
    let leave_sent = rings.peers.push(PeersEvent::Leave(leave_done)).is_ok();
    // Runs beside the other steps, so that an unavailable platform doesn't delay the stop.
    let (removal_done, row_removed) = oneshot::channel();
    let removal_sent = rings.platform.push(PlatformEvent::RemoveMemberRow(removal_done)).is_ok();
    let calls_end = started_at + calls_end;
    drop(rings.guard.push(GuardEvent::Withdraw { calls_end }));
    if rings.entry.push(EntryEvent::Withdraw { calls_end }).is_ok() {
        sleep(drain).await;
    }
    let (entry_done, entry_stopped) = oneshot::channel();
    let (guard_done, guard_stopped) = oneshot::channel();
    let entry_sent = rings.entry.push(EntryEvent::Stop(entry_done)).is_ok();
    let guard_sent = rings.guard.push(GuardEvent::Stop(guard_done)).is_ok();
    let finished = async { tokio::join!(entry_stopped, guard_stopped) };
    let exit_at = started_at + exit;
    let in_time = timeout_at(exit_at, finished).await.is_ok();
    if !in_time {
        warn!(logger, "stop limit reached with calls in progress");
    }
    if leave_sent {
        let leave_end = exit_at.min(Instant::now() + LEAVE_TIMEOUT);
        drop(timeout_at(leave_end, peers_notified).await);
        sleep_until(exit_at.min(started_at + LEAVE_TIMEOUT)).await;
    }
    if removal_sent {
        let removal_end = exit_at.min(started_at + ROW_REMOVAL_TIMEOUT);
        drop(timeout_at(removal_end, row_removed).await);
    }
    info!(logger, "stopped"; "entry" => entry_sent, "guard" => guard_sent, "in_time" => in_time);
}
