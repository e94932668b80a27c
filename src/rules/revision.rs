//! Revisions of the configuration, and the one in force in a process.

use std::io::{self, Read};
use std::sync::{Arc, OnceLock};

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use serde::{Deserialize, Serialize};

use crate::rules::config::FleetConfig;

/// Maximum size of a decompressed body that is accepted from a peer, in bytes.
const MAX_BODY: u64 = 64 << 20;

/// Head of a revision; the head row in the table is that of the newest revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionHead {
    /// Number of the revision, which grows by one with each publish.
    pub revision: u64,
    /// BLAKE3 hash of the body, in hexadecimal; it is also the name of the stored object.
    pub hash: String,
    /// Id of the publish that wrote this head, by which a publisher that got no answer finds
    /// out whether its write took effect.
    pub publish: String,
    /// Operator who published the revision.
    pub operator: String,
}

/// Revision in force.
#[derive(Clone, Debug)]
pub struct ActiveRevision {
    /// Head of the revision.
    pub head: RevisionHead,
    /// Decoded configuration.
    pub config: Arc<FleetConfig>,
    /// Body as published, to send to peers.
    pub body: Arc<[u8]>,
    /// Compressed body, made when a peer first requests it.
    compressed: Arc<OnceLock<Vec<u8>>>,
}

impl ActiveRevision {
    /// Returns the body, compressed at the lowest level.
    ///
    /// Traffic between data centres is charged for, and the body repeats many names.
    pub(crate) fn compressed_body(&self) -> &[u8] {
        self.compressed.get_or_init(|| {
            let mut compressed = Vec::new();
            let mut encoder = DeflateEncoder::new(&*self.body, Compression::fast());
            // Compressing from memory to memory does not fail.
            if encoder.read_to_end(&mut compressed).is_err() {
                compressed.clear();
            }
            compressed
        })
    }
}

/// Decompresses a body.
///
/// A body over [`MAX_BODY`] is cut off there, so that its hash does not match its head.
///
/// # Errors
///
/// Returns an error if the bytes are not a compressed body.
pub(crate) fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    DeflateDecoder::new(compressed).take(MAX_BODY).read_to_end(&mut body)?;
    Ok(body)
}

/// Reason for which a body was not adopted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptError {
    /// The same or a newer revision is in force.
    Older,
    /// The body's hash is not the one in the head.
    WrongHash,
    /// The body can't be decoded.
    Unreadable,
}

/// Configuration state of one process.
///
/// Invariant: the number of the revision in force never decreases, and `newest` is never
/// older than it.
#[derive(Debug, Default)]
pub struct RevisionState {
    active: Option<ActiveRevision>,
    /// Newest head seen so far.
    newest: Option<RevisionHead>,
}

impl RevisionState {
    /// Returns the revision in force.
    #[must_use]
    pub const fn active(&self) -> Option<&ActiveRevision> {
        self.active.as_ref()
    }

    /// Returns the number of the revision in force, or zero if there is none.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.active.as_ref().map_or(0, |active| active.head.revision)
    }

    /// Notes a head; returns whether it is newer than all heads seen before.
    pub fn note_head(&mut self, head: &RevisionHead) -> bool {
        let known = self.newest.as_ref().map_or(0, |newest| newest.revision);
        let newer = head.revision > known;
        if newer {
            self.newest = Some(head.clone());
        }
        newer
    }

    /// Returns the newest head if its body is not in force yet.
    #[must_use]
    pub fn head_to_fetch(&self) -> Option<&RevisionHead> {
        self.newest.as_ref().filter(|newest| newest.revision > self.number())
    }

    /// Puts a body in force if its hash is the one in the head and its revision is newer.
    ///
    /// # Errors
    ///
    /// Returns why the body was not adopted; nothing changes in that case.
    pub fn adopt(
        &mut self,
        head: &RevisionHead,
        body: &[u8],
    ) -> Result<&ActiveRevision, AdoptError> {
        if head.revision <= self.number() {
            return Err(AdoptError::Older);
        }
        if blake3::hash(body).to_hex().as_str() != head.hash {
            return Err(AdoptError::WrongHash);
        }
        let config = serde_json::from_slice(body).map_err(|_unreadable| AdoptError::Unreadable)?;
        self.note_head(head);
        let active = ActiveRevision {
            head: head.clone(),
            config: Arc::new(config),
            body: Arc::from(body),
            compressed: Arc::default(),
        };
        Ok(self.active.insert(active))
    }
}
