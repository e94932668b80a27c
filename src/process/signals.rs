//! The signals that a daemon handles.

use std::io;

use slog::{Logger, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a daemon is told by its process's signals.
///
/// Invariant: from [`Self::catch`] on none of them ends the process by its default.
#[derive(Debug)]
pub(crate) struct DaemonSignals {
    /// Stop as planned.
    pub(crate) terminate: Signal,
    pub(crate) interrupt: Signal,
    /// The settings may have changed.
    pub(crate) hang_up: Signal,
}

impl DaemonSignals {
    /// Handles the signals from now on; nothing where the system does not let it.
    pub(crate) fn catch(logger: &Logger) -> Option<Self> {
        let handle = || -> io::Result<Self> {
            Ok(Self {
                terminate: signal(SignalKind::terminate())?,
                interrupt: signal(SignalKind::interrupt())?,
                hang_up: signal(SignalKind::hangup())?,
            })
        };
        handle().map_err(|error| warn!(logger, "can't handle signals"; "error" => %error)).ok()
    }
}
