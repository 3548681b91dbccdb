//! Request fingerprints, which identify repeated requests under different request ids and at any
//! node.
//!
//! Two requests are the same if they have the same content and come from the same caller. Both
//! parts are hashed with SHA-256: nobody can forge a request with the fingerprint of someone
//! else's, and neither paths nor bodies can be recovered from logs or from messages between nodes.
//! Keys of organisations are not part of a fingerprint.

use std::fmt;
use std::net;
use std::ops;

use sha2::Digest as _;

/// Length of the hash of a request's content.
const CONTENT_BYTES: usize = 16;

/// Leading bytes of a SHA-256 hash that are kept as a 64-bit number.
const NUMBER_BYTES: usize = 8;

/// Length of the prefix of a body that is hashed. A node always buffers this much of a body that it
/// streams.
pub const BODY_BYTES: usize = 64 * 1_024;

/// Caller part of a [`Scope`] that matches any caller.
const ANY_CALLER: &str = "any";

/// The parts of a request that identify its content.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Requested host.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Name of the organisation that sends the request.
    pub organisation: Option<&'a str>,
    /// Body, or the first [`BODY_BYTES`] of a longer body.
    pub body: &'a [u8],
    /// Declared length of the body, in bytes.
    pub length: Option<u64>,
}

/// The properties of a caller that identify it.
#[derive(Clone, Copy, Debug)]
pub struct CallerIdentity {
    /// Source address of the connection.
    pub address: net::IpAddr,
    /// Hash of the object that the caller's cookie names.
    pub object: Option<u64>,
}

/// Hash of a request's content without its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Head(u64);

/// Hash of a request's content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Content {
    head: Head,
    body: u64,
}

/// Hash of the caller that sends a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(u64);

/// Identifies a request by content and caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint {
    /// Hash of the content.
    pub content: Content,
    /// Hash of the caller.
    pub caller: Caller,
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(content: &RequestContent<'_>, caller: &CallerIdentity) -> Self {
        Self { content: Content::of(content), caller: Caller::of(caller) }
    }

    /// Returns a 64-bit hash for distributing requests over upstreams.
    #[must_use]
    pub fn affinity_hash(&self) -> u64 {
        self.content.head.0 ^ self.content.body ^ self.caller.0
    }
}

impl Content {
    fn of(content: &RequestContent<'_>) -> Self {
        let head = content.head();
        let mut hash = sha2::Sha256::new();
        hash.update(head.0.to_be_bytes());
        hash.update(content.length.unwrap_or_default().to_be_bytes());
        hash.update(&content.body[..content.body.len().min(BODY_BYTES)]);
        Self { head, body: first_number(&hash.finalize()) }
    }

    /// Decodes the hash; returns `None` for a wrong number of bytes.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let bytes: [u8; CONTENT_BYTES] = bytes.try_into().ok()?;
        let (head, body) = bytes.split_at(CONTENT_BYTES / 2);
        Some(Self { head: Head(first_number(head)), body: first_number(body) })
    }

    /// Encodes the hash.
    #[must_use]
    pub fn to_bytes(self) -> [u8; CONTENT_BYTES] {
        let mut bytes = [0; CONTENT_BYTES];
        let (head, body) = bytes.split_at_mut(CONTENT_BYTES / 2);
        head.copy_from_slice(&self.head.0.to_be_bytes());
        body.copy_from_slice(&self.body.to_be_bytes());
        bytes
    }

    /// Returns the range of all contents with this head, for ordered maps and sets.
    #[must_use]
    pub fn range_with_head(head: Head) -> ops::RangeInclusive<Self> {
        Self { head, body: u64::MIN }..=Self { head, body: u64::MAX }
    }
}

impl RequestContent<'_> {
    /// Computes the hash of everything but the body.
    ///
    /// Most requests already differ in it, and it is cheaper to compute than the whole content
    /// hash.
    #[must_use]
    pub fn head(&self) -> Head {
        let mut hash = sha2::Sha256::new();
        let organisation = self.organisation.unwrap_or_default();
        for part in [self.method, self.host, self.target, organisation] {
            // The length prefix keeps different lists of parts from hashing the same bytes.
            hash.update(part.len().to_be_bytes());
            hash.update(part);
        }
        Head(first_number(&hash.finalize()))
    }
}

/// Returns the first eight bytes of a hash as a big-endian number.
fn first_number(hash: &[u8]) -> u64 {
    hash.iter().take(NUMBER_BYTES).fold(0, |number, byte| number << 8 | u64::from(*byte))
}

impl Caller {
    fn of(caller: &CallerIdentity) -> Self {
        let mut hash = sha2::Sha256::new();
        hash.update(caller.address.to_string());
        // A caller without an object hashes differently from a caller with any object.
        if let Some(object) = caller.object {
            hash.update(object.to_be_bytes());
        }
        Self(first_number(&hash.finalize()))
    }

    /// Creates the hash from its numeric value.
    #[must_use]
    pub fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Returns the numeric value of the hash.
    #[must_use]
    pub fn as_number(self) -> u64 {
        self.0
    }
}

impl fmt::Debug for Content {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl fmt::Display for Content {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:016x}", self.head.0, self.body)
    }
}

impl fmt::Debug for Caller {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl fmt::Display for Caller {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.content, self.caller)
    }
}

/// The set of requests that a decision applies to: one content, from one caller or from any.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Scope {
    /// Hash of the content.
    pub content: Content,
    /// Hash of the caller; `None` for any caller.
    pub caller: Option<Caller>,
}

impl Scope {
    /// Parses the format that [`fmt::Display`] writes; returns `None` for any other text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (content, caller) = text.split_once('-')?;
        let caller = match caller {
            ANY_CALLER => None,
            digits => Some(Caller(parse_hex(digits)?)),
        };
        if content.len() != CONTENT_BYTES * 2 || !content.is_ascii() {
            return None;
        }
        let (high, low) = content.split_at(CONTENT_BYTES);
        let content = Content { head: Head(parse_hex(high)?), body: parse_hex(low)? };
        Some(Self { content, caller })
    }
}

impl From<Fingerprint> for Scope {
    fn from(fingerprint: Fingerprint) -> Self {
        Self { content: fingerprint.content, caller: Some(fingerprint.caller) }
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.caller {
            Some(caller) => write!(formatter, "{}-{caller}", self.content),
            None => write!(formatter, "{}-{ANY_CALLER}", self.content),
        }
    }
}

/// Parses exactly sixteen hex digits; returns `None` for any other text.
fn parse_hex(digits: &str) -> Option<u64> {
    let is_hex = digits.len() == 16 && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(digits, 16).ok().filter(|_| is_hex)
}
