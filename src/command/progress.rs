//! Progress bar for long-running commands.

use std::time::{Duration, Instant};

use indicatif::ProgressBar;

/// Time after which a command shows a progress bar; shorter commands need none.
const DISPLAY_DELAY: Duration = Duration::from_secs(1);

/// Progress of a command; shown on standard error, if that is a terminal, once the command
/// has run for [`DISPLAY_DELAY`].
#[derive(Debug)]
pub(crate) struct CommandProgress {
    started_at: Instant,
    total: u64,
    bar: Option<ProgressBar>,
}

impl CommandProgress {
    pub(crate) fn open(total: u64) -> Self {
        Self { started_at: Instant::now(), total, bar: None }
    }

    /// Sets the progress to `done` of the total.
    pub(crate) fn set(&mut self, done: u64) {
        if self.started_at.elapsed() < DISPLAY_DELAY {
            return;
        }
        let bar = self.bar.get_or_insert_with(|| ProgressBar::new(self.total));
        bar.set_position(done);
    }
}

impl Drop for CommandProgress {
    fn drop(&mut self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}
