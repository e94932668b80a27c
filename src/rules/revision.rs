//! Which configuration is in force in a process.

use std::io::{self, Read};
use std::sync::{Arc, OnceLock};

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use serde::{Deserialize, Serialize};

use crate::rules::config::FleetConfig;

/// Largest body taken from a peer, in bytes.
const MAX_BODY: u64 = 64 << 20;

/// The head row: which body is the newest revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionHead {
    /// Grows by one with each publish.
    pub revision: u64,
    /// BLAKE3 of the body, in hexadecimal; the object's name.
    pub hash: String,
    /// The publish that made this head, to settle a lost answer.
    pub publish: String,
    /// Who published it.
    pub operator: String,
}

/// One revision as it is in force.
#[derive(Clone, Debug)]
pub struct ActiveRevision {
    /// Its head.
    pub head: RevisionHead,
    /// What it sets.
    pub config: Arc<FleetConfig>,
    /// The body as published, to hand to peers.
    pub body: Arc<[u8]>,
    /// The body as it travels, made when a peer first asks for it.
    compressed: Arc<OnceLock<Vec<u8>>>,
}

impl ActiveRevision {
    /// Returns the body in as few bytes as can be had cheaply: they are paid for
    /// between data centres, and the names in it repeat.
    pub(crate) fn compressed_body(&self) -> &[u8] {
        self.compressed.get_or_init(|| {
            let mut compressed = Vec::new();
            let mut encoder = DeflateEncoder::new(&*self.body, Compression::fast());
            // Reading from memory into memory does not fail.
            if encoder.read_to_end(&mut compressed).is_err() {
                compressed.clear();
            }
            compressed
        })
    }
}

/// Reads a body as it travelled.
///
/// # Errors
///
/// Fails on bytes that are no compressed body, and over [`MAX_BODY`].
pub(crate) fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    DeflateDecoder::new(compressed).take(MAX_BODY).read_to_end(&mut body)?;
    Ok(body)
}

/// Why a body was not adopted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptError {
    /// The same or a newer revision is in force.
    Older,
    /// The bytes are not those the head names.
    WrongHash,
    /// The body can't be read.
    Unreadable,
}

/// The configuration of one process.
///
/// Invariant: the revision in force never falls; `wanted` is never below it.
#[derive(Debug, Default)]
pub struct RevisionState {
    active: Option<ActiveRevision>,
    /// The greatest head heard of.
    wanted: Option<RevisionHead>,
}

impl RevisionState {
    /// Returns the revision in force.
    #[must_use]
    pub const fn active(&self) -> Option<&ActiveRevision> {
        self.active.as_ref()
    }

    /// Returns the number of the revision in force, or zero.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.active.as_ref().map_or(0, |active| active.head.revision)
    }

    /// Notes a head; `true` if it is newer than all heard before.
    pub fn note_head(&mut self, head: &RevisionHead) -> bool {
        let known = self.wanted.as_ref().map_or(0, |wanted| wanted.revision);
        let newer = head.revision > known;
        if newer {
            self.wanted = Some(head.clone());
        }
        newer
    }

    /// Returns the head whose body has to be fetched, if any.
    #[must_use]
    pub fn head_to_fetch(&self) -> Option<&RevisionHead> {
        self.wanted.as_ref().filter(|wanted| wanted.revision > self.number())
    }

    /// Puts a body in force if it is the one its head names, and newer.
    ///
    /// # Errors
    ///
    /// Tells why the body was not adopted; nothing changes then.
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
