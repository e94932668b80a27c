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
    newest_revision: Option<u64>,
}

impl ReadChain {
    /// Adds a read.
    pub fn record(&mut self, read: StoreRead) {
        let continues = read.after != 0 && read.complete && read.cursor >= read.after;
        let earlier = self.newest_revision.filter(|_revision| continues);
        self.newest_revision = read.revision.filter(|_revision| read.complete).max(earlier);
    }

    /// Returns a revision than which the store held no newer one when the last read started;
    /// `None` if the reads prove none.
    #[must_use]
    pub const fn newest_revision(&self) -> Option<u64> {
        self.newest_revision
    }
}
