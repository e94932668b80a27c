//! Structured logs: one JSON object a line, on standard output.
//!
//! A duty only appends to a buffer; a thread of its own writes it out. A full
//! buffer drops lines and counts them, routine lines first, so that a slow
//! reader never holds up a call.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use prometheus::IntCounter;
use slog::{Drain, Level, Logger, OwnedKVList, Record, o};

use crate::base::metrics::DaemonMetrics;

/// Bytes that wait to be written, at most; a burst's worth of a second or so.
const MAX_WAITING: usize = 512 << 10;

/// Bytes up to which lines below a warning are taken.
const MAX_ROUTINE: usize = MAX_WAITING / 2;

/// Time over which lines are gathered into one write.
const GATHER: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct LogBuffer {
    bytes: Vec<u8>,
    /// Lines dropped since the last write.
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

/// Appends lines to the buffer.
struct BufferDrain {
    shared: Arc<SharedBuffer>,
    dropped: IntCounter,
}

impl Drain for BufferDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut line = Vec::with_capacity(256);
        // Writing to memory can fail only on a value that can't be rendered.
        let rendered = slog_json::Json::default(&mut line).log(record, values).is_ok();
        let mut buffer = self.shared.lock();
        let routine = !record.level().is_at_least(Level::Warning);
        let limit = if routine { MAX_ROUTINE } else { MAX_WAITING };
        if !rendered || buffer.bytes.len() + line.len() > limit {
            buffer.dropped += 1;
            self.dropped.inc();
            return Ok(());
        }
        let first = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(&line);
        drop(buffer);
        if first {
            self.shared.wake.notify_one();
        }
        Ok(())
    }
}

/// What still has to be written when the daemon ends.
#[derive(Clone, Debug)]
pub(crate) struct LogFlusher(Arc<SharedBuffer>);

impl LogFlusher {
    /// Writes the lines that were gathered last.
    pub(crate) fn write(&self) {
        write_gathered(&self.0);
    }
}

/// Opens a logger that writes to standard output, and its tail.
///
/// # Errors
///
/// Fails when the writing thread can't be had.
pub(crate) fn open(host: &str, metrics: &DaemonMetrics) -> io::Result<(Logger, LogFlusher)> {
    let shared: Arc<SharedBuffer> = Arc::default();
    let (writer, tail) = (Arc::clone(&shared), LogFlusher(Arc::clone(&shared)));
    std::thread::Builder::new().name("log".to_owned()).spawn(move || write_always(&writer))?;
    let drain = BufferDrain { shared, dropped: metrics.log_dropped.clone() };
    Ok((Logger::root(drain, o!("host" => host.to_owned())), tail))
}

/// Writes what was gathered, for as long as the process runs.
fn write_always(shared: &SharedBuffer) {
    loop {
        let mut buffer = shared.lock();
        while buffer.bytes.is_empty() {
            buffer = shared.wake.wait(buffer).unwrap_or_else(PoisonError::into_inner);
        }
        drop(buffer);
        std::thread::sleep(GATHER);
        write_gathered(shared);
    }
}

fn write_gathered(shared: &SharedBuffer) {
    let LogBuffer { mut bytes, dropped } = std::mem::take(&mut *shared.lock());
    if dropped > 0 {
        let line = format!("{{\"msg\":\"log lines dropped\",\"count\":{dropped}}}\n");
        bytes.extend_from_slice(line.as_bytes());
    }
    // Nobody may read; there is no other place to tell that.
    drop(io::stdout().write_all(&bytes));
}
