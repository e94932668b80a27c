//! Record of what was sent, answered and run, in the order of time.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines of a record, each with the time since the start of the case.
#[derive(Clone, Debug)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    /// Starts an empty record.
    #[must_use]
    pub fn open() -> Self {
        Self { started_at: Instant::now(), lines: Arc::default() }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Adds a line with the present time.
    pub fn add(&self, line: String) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push((self.now(), line));
    }

    /// Adds a line and prints it.
    pub fn note(&self, line: &str) {
        println!("{:8.3} {line}", self.now().as_secs_f64());
        self.add(line.to_owned());
    }

    /// Writes all lines to a file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be written.
    pub fn write(&self, file: &str) -> io::Result<()> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let mut sorted: Vec<&(Duration, String)> = lines.iter().collect();
        sorted.sort_by_key(|(at, _)| *at);
        let text: String =
            sorted.iter().map(|(at, line)| format!("{:8.3} {line}\n", at.as_secs_f64())).collect();
        std::fs::write(file, text)
    }
}
