//! What a planned stop means for the calls of an entry.
//!
//! A call that would not end in time is not started any more: it is refused while its caller can
//! still go to another daemon. One that runs is awaited until all calls must have ended.

use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode};
use slog::info;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

use super::EntryDuty;
use crate::base::consts::{REVOKE_MARGIN, WORK_MARGIN};
use crate::call::entry::intake::CallerCall;
use crate::call::responses::{self, ResponseBody};

/// Retry delay for calls that a stopping daemon refuses, in milliseconds; other daemons serve them
/// at once.
const STOPPING_RETRY_MS: u32 = 50;

impl EntryDuty {
    /// Asks callers to use other daemons; calls must have ended by `calls_end`.
    pub(super) fn withdraw(&self, calls_end: Instant) {
        self.calls_end.send_replace(Some(calls_end));
        self.update_readiness();
    }

    /// Returns whether callers are asked to use another daemon.
    pub(super) fn is_withdrawn(&self) -> bool {
        self.calls_end.borrow().is_some()
    }

    /// Waits until all calls must have ended; for ever unless the daemon stops.
    pub(super) async fn wait_for_calls_end(&self) {
        self.wait_until_before_calls_end(Duration::ZERO).await;
    }

    /// Waits until a call could probably not be finished any more if it started; for ever unless
    /// the daemon stops.
    pub(super) async fn wait_for_latest_start(&self, call: &CallerCall) {
        self.wait_until_before_calls_end(self.stop_margin(call)).await;
    }

    /// Returns the time for which a call may still wait for its start, or `None` unless the daemon
    /// stops.
    pub(super) fn time_to_start(&self, call: &CallerCall) -> Option<Duration> {
        let calls_end = (*self.calls_end.borrow())?;
        let left = calls_end.saturating_duration_since(Instant::now());
        Some(left.saturating_sub(self.stop_margin(call)))
    }

    /// Returns the time that a call needs from its start to the end of its answer.
    fn stop_margin(&self, call: &CallerCall) -> Duration {
        let work_us = self.route_stats.borrow().work_us(&call.options) * WORK_MARGIN;
        REVOKE_MARGIN + Duration::from_micros(work_us as u64)
    }

    async fn wait_until_before_calls_end(&self, margin: Duration) {
        let mut calls_end = self.calls_end.subscribe();
        let known = calls_end.wait_for(Option::is_some).await.map(|end| *end);
        match known {
            Ok(Some(end)) => sleep_until(end.checked_sub(margin).unwrap_or(end)).await,
            _ => std::future::pending().await,
        }
    }

    /// Stops accepting connections and waits until the open ones have closed.
    pub(super) async fn stop(self: Rc<Self>, done: oneshot::Sender<()>) {
        info!(self.logger, "entry stopping"; "connections" => *self.caller_connections.borrow());
        self.stopping.send_replace(true);
        let mut connections = self.caller_connections.subscribe();
        // Fails only if the duty itself is gone.
        drop(connections.wait_for(|count| *count == 0).await);
        _ = done.send(());
    }
}

/// Makes the response to a request that was not received completely before the stop.
pub(super) fn refuse_incomplete() -> Response<ResponseBody> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut response = responses::not_run(status, "stopping", STOPPING_RETRY_MS);
    responses::set_connection_close(&mut response);
    response
}
