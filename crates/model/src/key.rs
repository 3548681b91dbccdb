//! Keys: secrets by which organisations prove who they are, kept as digests only.
//!
//! A key is turned into its digest where it is read and is then forgotten: no type here holds one. Digests are
//! SHA-256 without a salt, so that every node comes to the same one; keys are random and long, so that a digest does not
//! lead back to its key.

use std::fmt;

use serde::{Deserialize, Serialize, de};
use sha2::Digest as _;

/// Longest key, in bytes. Not measured; keys are some twenty characters, and a longer one costs time to digest.
pub const LONGEST: usize = 256;

/// Bytes of a digest.
const DIGEST_BYTES: usize = 32;

/// Begins a digest in declarations.
const MARK: &str = "sha256:";

/// Hex digits of a digest that are shown in place of all of them.
const SHOWN_DIGITS: usize = 8;

/// SHA-256 of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Digests a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(sha2::Sha256::digest(key).into())
    }

    /// Reads a digest as declarations write it: `sha256:` and 64 hex digits; none when it is not one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix(MARK)?.as_bytes();
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
        f.write_str(MARK)?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.to_string();
        write!(f, "{}…", &text[..MARK.len() + SHOWN_DIGITS])
    }
}

impl Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    /// The error does not repeat the text, which may be a key that was written in place of its digest.
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).ok_or_else(|| {
            de::Error::custom(
                "expected the digest of a key, `sha256:` and 64 hex digits (`yokespoke key digest` prints it)",
            )
        })
    }
}

/// What the head of a request says of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Given {
    /// Nothing.
    None,
    /// A key, by its digest.
    Key(Digest),
    /// No key that any organisation can have: empty, too long, or several.
    Malformed,
}

impl Given {
    /// Returns what the `values` of the field for keys say; keys are digested and not kept.
    pub fn read<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        match (values.next(), values.next()) {
            (None, _) => Self::None,
            (Some(key), None) if (1..=LONGEST).contains(&key.len()) => Self::Key(Digest::of(key)),
            _ => Self::Malformed,
        }
    }
}
