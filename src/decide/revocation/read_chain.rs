//! What a daemon's reads of the store prove about its newest revision.

/// One read of the operator's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreRead {
    /// Version of the store after which changes were read; zero for the whole state.
    pub after: u64,
    /// Version of the store to which the read extends; zero if it has lost the history.
    pub cursor: u64,
    /// Whether the newest configuration was read, if it changed.
    pub complete: bool,
    /// Revision of the configuration that was read, if there was a valid one.
    pub revision: Option<u64>,
}

/// Series of reads, each of which continues where the one before it ended.
///
/// An invalid configuration revokes nothing, so a series that has shown a valid one before goes
/// on to prove it. A series that begins with an invalid one proves nothing, because the last valid
/// one may be newer than that in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadChain {
    /// Version of the store up to which it has been read.
    cursor: u64,
    /// Whether the series began with the whole state and has had no gap since.
    is_gapless: bool,
    newest_revision: Option<u64>,
}

impl ReadChain {
    /// Adds a read.
    pub fn record(&mut self, read: StoreRead) {
        let is_whole = read.after == 0;
        let continues = !is_whole && read.complete && read.cursor >= read.after;
        let earlier = self.newest_revision.filter(|_revision| continues);
        self.newest_revision = read.revision.filter(|_revision| read.complete).max(earlier);
        self.is_gapless = if is_whole { read.complete } else { self.is_gapless && continues };
        self.cursor = read.cursor;
    }

    /// Returns the version of the store after which the next read continues; zero for the whole
    /// state.
    ///
    /// A series with a gap starts again with the whole state: reads of changes alone would show a
    /// revision only once the next one is published, and until then prove none. The whole state is
    /// read once, even if its configuration is invalid.
    #[must_use]
    pub const fn next_position(&self) -> u64 {
        if self.is_gapless { self.cursor } else { 0 }
    }

    /// Returns a revision than which the store held no newer one when the last read started;
    /// `None` if the reads prove none.
    #[must_use]
    pub const fn newest_revision(&self) -> Option<u64> {
        self.newest_revision
    }
}
