//! The store of declarations: what any client of it must offer.
//!
//! Owns the results of its calls, which say whether a write may have taken effect.

use std::fmt;
use std::future;
use std::time::Duration;

use bytes::Bytes;

/// A value with the revision that wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The store's revision of the value.
    pub revision: u64,
    /// The bytes.
    pub bytes: Bytes,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Put {
    /// It took effect at this revision.
    Written(u64),
    /// Another revision stands; nothing was written.
    Conflict,
}

/// Why a call has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It did not take effect.
    Refused,
    /// It may have taken effect.
    Lost,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "the store did not take the call",
            Self::Lost => "the store's answer was lost",
        })
    }
}

impl std::error::Error for Error {}

/// A key-value store with compare-and-swap and watches.
pub trait Store: Send + Sync + 'static {
    /// Reads a value.
    fn get(&self, key: &str) -> impl future::Future<Output = Result<Option<Value>, Error>> + Send;

    /// Waits for a value past revision `after`; none when `wait` passes before there is one.
    fn next(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl future::Future<Output = Result<Option<Value>, Error>> + Send;

    /// Writes a value if revision `expect` stands; 0 stands for no value.
    fn put(
        &self,
        key: &str,
        bytes: Bytes,
        expect: u64,
    ) -> impl future::Future<Output = Result<Put, Error>> + Send;
}
