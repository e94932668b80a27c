//! Structured logs: one JSON object a line, for changes of state only.

use slog::{Drain, Logger, o};

/// Opens a logger that writes to standard error.
pub(crate) fn open(host: &str) -> Logger {
    let json = slog_json::Json::default(std::io::stderr());
    let drain = slog_async::Async::new(json.fuse()).build().fuse();
    Logger::root(drain, o!("host" => host.to_owned()))
}
