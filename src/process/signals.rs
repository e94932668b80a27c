//! Signals that a daemon handles.

use std::io;

use slog::{Logger, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Streams of the signals that the process receives.
///
/// Invariant: after [`Self::register`], none of the signals has its default action of ending
/// the process.
#[derive(Debug)]
pub(crate) struct DaemonSignals {
    /// `SIGTERM`, which starts a planned stop.
    pub(crate) terminate: Signal,
    /// `SIGINT`, which starts a planned stop.
    pub(crate) interrupt: Signal,
    /// `SIGHUP`, which reloads the settings.
    pub(crate) hangup: Signal,
}

impl DaemonSignals {
    /// Registers the signal handlers; returns `None` if the operating system refuses.
    pub(crate) fn register(logger: &Logger) -> Option<Self> {
        let register = || -> io::Result<Self> {
            Ok(Self {
                terminate: signal(SignalKind::terminate())?,
                interrupt: signal(SignalKind::interrupt())?,
                hangup: signal(SignalKind::hangup())?,
            })
        };
        register().map_err(|error| warn!(logger, "can't handle signals"; "error" => %error)).ok()
    }
}
