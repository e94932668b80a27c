//! Structured logs on standard output, one JSON object a line.
//!
//! The duties append to a buffer that a separate thread writes out. When the buffer is
//! full, lines are dropped and counted, those below warning level first, so that a slow
//! reader of the log never delays a call.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use prometheus::IntCounter;
use slog::{Drain, Level, Logger, OwnedKVList, Record, o};

use crate::base::metrics::DaemonMetrics;

/// Capacity of the buffer, in bytes: about one second of a burst.
const BUFFER_BYTES: usize = 512 << 10;

/// Number of buffered bytes above which lines below warning level are dropped.
const ROUTINE_LIMIT_BYTES: usize = BUFFER_BYTES / 2;

/// Time for which lines are collected into one write.
const WRITE_DELAY: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct LogBuffer {
    bytes: Vec<u8>,
    /// Number of lines dropped since the last write.
    dropped: u64,
}

#[derive(Debug, Default)]
struct SharedBuffer {
    buffer: Mutex<LogBuffer>,
    wake: Condvar,
}

impl SharedBuffer {
    fn lock(&self) -> MutexGuard<'_, LogBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Appends log lines to the buffer.
struct BufferDrain {
    shared: Arc<SharedBuffer>,
    dropped: IntCounter,
}

impl Drain for BufferDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut line = Vec::with_capacity(256);
        // Writing to memory fails only on a value that can't be serialised.
        let rendered = slog_json::Json::default(&mut line).log(record, values).is_ok();
        let mut buffer = self.shared.lock();
        let routine = !record.level().is_at_least(Level::Warning);
        let limit = if routine { ROUTINE_LIMIT_BYTES } else { BUFFER_BYTES };
        if !rendered || buffer.bytes.len() + line.len() > limit {
            buffer.dropped += 1;
            self.dropped.inc();
            return Ok(());
        }
        let was_empty = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(&line);
        drop(buffer);
        if was_empty {
            self.shared.wake.notify_one();
        }
        Ok(())
    }
}

/// Writes the lines left in the buffer when the daemon ends.
#[derive(Clone, Debug)]
pub(crate) struct LogFlusher(Arc<SharedBuffer>);

impl LogFlusher {
    /// Writes the buffered lines.
    pub(crate) fn flush(&self) {
        write_buffered(&self.0);
    }
}

/// Opens a logger that writes to standard output, and its flusher.
///
/// # Errors
///
/// Returns an error if the writing thread can't be started.
pub(crate) fn open(host: &str, metrics: &DaemonMetrics) -> io::Result<(Logger, LogFlusher)> {
    let shared: Arc<SharedBuffer> = Arc::default();
    let (writer, flusher) = (Arc::clone(&shared), LogFlusher(Arc::clone(&shared)));
    std::thread::Builder::new().name("log".to_owned()).spawn(move || run_writer(&writer))?;
    let drain = BufferDrain { shared, dropped: metrics.log_dropped.clone() };
    Ok((Logger::root(drain, o!("host" => host.to_owned())), flusher))
}

/// Writes buffered lines for as long as the process runs.
fn run_writer(shared: &SharedBuffer) {
    loop {
        let mut buffer = shared.lock();
        while buffer.bytes.is_empty() {
            buffer = shared.wake.wait(buffer).unwrap_or_else(PoisonError::into_inner);
        }
        drop(buffer);
        std::thread::sleep(WRITE_DELAY);
        write_buffered(shared);
    }
}

fn write_buffered(shared: &SharedBuffer) {
    let LogBuffer { mut bytes, dropped } = std::mem::take(&mut *shared.lock());
    if dropped > 0 {
        let line = format!("{{\"msg\":\"log lines dropped\",\"count\":{dropped}}}\n");
        bytes.extend_from_slice(line.as_bytes());
    }
    // A failed write can't be reported: standard output is the only log.
    drop(io::stdout().write_all(&bytes));
}
