//! What makes two requests the same one.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A request told by what it asks, not by the id of one attempt.
///
/// Callers, hosts and attempts change; the account, the place that is asked, the method,
/// the path with its query and the body do not. Headers and idempotency keys are left
/// out: they are drawn anew when a caller comes again, and a target that ends over a
/// body ends over it under any key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub u128);

impl RequestDigest {
    /// Hashes the parts of a request.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let hash = hash_parts(parts);
        let (bytes, _) = hash.as_bytes().split_at(size_of::<u128>());
        Self(u128::from_be_bytes(bytes.try_into().unwrap_or_default()))
    }

    /// Reads a digest as [`fmt::Display`] writes it.
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
    /// As text for people, as a number between daemons.
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
        Self::parse(&text).ok_or_else(|| serde::de::Error::custom("not a request's digest"))
    }
}

/// Hashes parts so that no two lists of parts read alike.
pub(crate) fn hash_parts(parts: &[&[u8]]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize()
}
