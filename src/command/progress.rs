//! A progress bar for commands that ask or read much.

use std::time::{Duration, Instant};

use indicatif::ProgressBar;

/// Time after which a command says how far it is; shorter ones need no bar.
const SHOWN_AFTER: Duration = Duration::from_secs(1);

/// How far a command is; shown on standard error, if that is a terminal, once the
/// command has taken [`SHOWN_AFTER`].
#[derive(Debug)]
pub(crate) struct CommandProgress {
    since: Instant,
    total: u64,
    bar: Option<ProgressBar>,
}

impl CommandProgress {
    pub(crate) fn open(total: u64) -> Self {
        Self { since: Instant::now(), total, bar: None }
    }

    /// Says that `done` of the whole is done.
    pub(crate) fn set(&mut self, done: u64) {
        if self.since.elapsed() < SHOWN_AFTER {
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
