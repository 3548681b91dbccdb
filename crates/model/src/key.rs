//! API keys of organisations, stored as digests only.
//!
//! A key is hashed as soon as it is read, and no type of this module stores a plain key. Digests
//! are unsalted SHA-256, so that every node computes the same digest. Keys are long and random, so
//! they cannot be recovered from their digests.

use std::fmt;

use serde::{Deserialize, Serialize, de};
use sha2::Digest as _;

/// Maximum length of a key, which bounds the time spent on hashing. Keys have about twenty
/// characters.
pub const MAX_BYTES: usize = 256;

/// Length of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// Prefix of a digest in declarations.
const DIGEST_PREFIX: &str = "sha256:";

/// Number of hex digits of a digest that its `Debug` output shows.
const DEBUG_DIGITS: usize = 8;

/// SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(sha2::Sha256::digest(key).into())
    }

    /// Parses a digest as written in declarations, `sha256:` and 64 hex digits; returns `None` for
    /// any other text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix(DIGEST_PREFIX)?.as_bytes();
        if digits.len() != DIGEST_BYTES * 2 || !digits.iter().all(u8::is_ascii_hexdigit) {
            return None;
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks(2)) {
            let pair = std::str::from_utf8(pair).ok()?;
            *byte = u8::from_str_radix(pair, 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(DIGEST_PREFIX)?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.to_string();
        write!(f, "{}…", &text[..DIGEST_PREFIX.len() + DEBUG_DIGITS])
    }
}

impl Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    /// Deserializes a digest. The error does not repeat the text, which may be a plain key written
    /// by mistake instead of its digest.
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).ok_or_else(|| {
            de::Error::custom(
                "expected the digest of a key, `sha256:` and 64 hex digits (`yokespoke key digest` prints it)",
            )
        })
    }
}

/// The key that a request presents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// The request has no key.
    None,
    /// Digest of the key.
    Key(Digest),
    /// The key is empty, too long, or given several times, so no organisation can have it.
    Malformed,
}

impl Credential {
    /// Reads the values of the header field for keys; only the digest of a key is kept.
    pub fn read<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        match (values.next(), values.next()) {
            (None, _) => Self::None,
            (Some(key), None) if (1..=MAX_BYTES).contains(&key.len()) => Self::Key(Digest::of(key)),
            _ => Self::Malformed,
        }
    }
}
