//! Identity of requests by their content.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Identifies a request by its content, independent of caller, host and attempt.
///
/// The digest covers the account, the host name or service that is addressed, the method,
/// the path with its query, and the body. Headers and idempotency keys are left out:
/// callers generate new ones when they retry, and a body that crashes a target does so
/// under any key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub u128);

impl RequestDigest {
    /// Hashes the parts of a request.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        Self::from_hash(&hash_parts(parts))
    }

    /// Hashes the texts of a request and its body, as [`Self::of`] does with the body as the
    /// last part.
    pub(crate) fn of_call(texts: &[&[u8]], body: &[Bytes]) -> Self {
        Self::from_hash(&hash_call(texts, body))
    }

    fn from_hash(hash: &blake3::Hash) -> Self {
        let (bytes, _) = hash.as_bytes().split_at(size_of::<u128>());
        Self(u128::from_be_bytes(bytes.try_into().unwrap_or_default()))
    }

    /// Parses a digest in the format of its [`fmt::Display`] implementation.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().filter(|_| text.len() == 32).map(Self)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Serialize for RequestDigest {
    /// Serialises as text in human-readable formats, and as a number between daemons.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for RequestDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return u128::deserialize(deserializer).map(Self);
        }
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).ok_or_else(|| {
            serde::de::Error::custom("expected a request digest of 32 hexadecimal digits")
        })
    }
}

/// Hashes a list of byte strings, each preceded by its length, so that different lists
/// give different input to the hash.
pub(crate) fn hash_parts(parts: &[&[u8]]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    update_parts(&mut hasher, parts);
    hasher.finalize()
}

/// Hashes byte strings and a body in segments, as [`hash_parts`] does with the body as the last
/// part.
pub(crate) fn hash_call(texts: &[&[u8]], body: &[Bytes]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    update_parts(&mut hasher, texts);
    let length: usize = body.iter().map(Bytes::len).sum();
    hasher.update(&(length as u64).to_le_bytes());
    for segment in body {
        hasher.update(segment);
    }
    hasher.finalize()
}

fn update_parts(hasher: &mut blake3::Hasher, parts: &[&[u8]]) {
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
}
