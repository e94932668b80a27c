//! The planned stop of a daemon.

use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::signal::unix::Signal;
use tokio::sync::oneshot;

use crate::duty::events::{EntryEvent, GuardEvent, PeersEvent, PlatformEvent};
use crate::process::adapter::DeploymentTerms;
use crate::process::admin::AdminRings;
use crate::process::settings::DaemonSettings;

/// Time for the good-bye to reach some peers.
const GOODBYE: Duration = Duration::from_millis(300);

/// Longest wait to withdraw from the table.
const WITHDRAW: Duration = Duration::from_secs(2);

/// Part of the time between a stop signal and a kill in which callers are
/// asked to go elsewhere: longer than the platform takes to notice.
const LINGER_PART: f64 = 0.5;

/// Part of that time after which all calls must have ended.
const STOP_PART: f64 = 0.85;

/// How long a planned stop may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopPlan {
    /// Time for callers to go elsewhere, while those that come are served.
    pub(crate) linger: Duration,
    /// Time after which calls under way are given up.
    pub(crate) bound: Duration,
}

/// Returns how long a stop may take, by the deployment's terms or the settings.
pub(crate) fn stop_plan(settings: &DaemonSettings, terms: Option<DeploymentTerms>) -> StopPlan {
    match terms {
        Some(terms) => StopPlan {
            linger: terms.grace.mul_f64(LINGER_PART),
            bound: terms.grace.mul_f64(STOP_PART),
        },
        None => StopPlan {
            linger: Duration::ZERO,
            bound: Duration::from_millis(settings.stop_bound_ms),
        },
    }
}

/// Waits for a signal, or for the handle's request.
pub(crate) async fn wait_for_stop(
    terminate: &mut Signal,
    interrupt: &mut Signal,
    stopped: oneshot::Receiver<()>,
) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        Ok(()) = stopped => {}
    }
}

/// Stops all duties in order: say good-bye, finish the calls, withdraw.
pub(crate) async fn stop_all(rings: &AdminRings, plan: StopPlan, logger: &Logger) {
    let StopPlan { linger, bound } = plan;
    info!(logger, "planned stop"; "bound_ms" => bound.as_millis() as u64);
    let (said, goodbye) = oneshot::channel();
    let leave = rings.peers.push(PeersEvent::Leave(said)).is_ok();
    // Beside the rest: a platform that is away must not hold up the end.
    let (withdrawn, gone) = oneshot::channel();
    let withdraw = rings.platform.push(PlatformEvent::Leave(withdrawn)).is_ok();
    if rings.entry.push(EntryEvent::Withdraw).is_ok() {
        tokio::time::sleep(linger).await;
    }
    let bound = bound.saturating_sub(linger);
    let (entry_done, entry_stopped) = oneshot::channel();
    let (guard_done, guard_stopped) = oneshot::channel();
    let entry = rings.entry.push(EntryEvent::Stop(entry_done)).is_ok();
    let guard = rings.guard.push(GuardEvent::Stop(guard_done)).is_ok();
    let finished = async { tokio::join!(entry_stopped, guard_stopped) };
    let in_time = tokio::time::timeout(bound, finished).await.is_ok();
    if !in_time {
        warn!(logger, "stop bound passed with calls under way");
    }
    if leave {
        drop(tokio::time::timeout(GOODBYE, goodbye).await);
        tokio::time::sleep(GOODBYE.saturating_sub(linger)).await;
    }
    if withdraw {
        drop(tokio::time::timeout(WITHDRAW.saturating_sub(linger), gone).await);
    }
    info!(logger, "stopped"; "entry" => entry, "guard" => guard, "in_time" => in_time);
}
