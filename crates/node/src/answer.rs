//! Answers that a ticket remembers.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// Largest body of an answer that is remembered, in bytes.
pub const LARGEST: usize = 8 * 1_024;

/// A whole answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}
