//! Request bodies, buffered before they are sent so that they can be sent again.
//!
//! Limits the buffered size, with a lower limit while many requests are in flight.

use bytes::{Bytes, BytesMut};
use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use crate::common::body;

/// Maximum size of a body that is buffered completely, in bytes.
const MAX_BUFFERED_BYTES: usize = 1_024 * 1_024;

/// The same while more than [`MANY_REQUESTS`] requests are in flight, in bytes.
const MAX_BUFFERED_BYTES_OF_MANY: usize = 64 * 1_024;

/// Number of requests in flight above which only small bodies are buffered, which limits the memory.
const MANY_REQUESTS: usize = 64;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The body is larger than the limit for callers.
    TooLarge,
    /// The body ended before its declared length.
    Cut,
}

/// A request body.
#[derive(Debug)]
pub enum Body {
    /// Buffered completely; it can be sent any number of times.
    Kept(Bytes),
    /// Buffered in part; it can be sent once.
    Partial(Bytes, Incoming),
    /// Already sent.
    Spent,
}

impl Body {
    /// Reads a body and buffers it completely if its size allows that while `in_flight` requests
    /// are in flight.
    ///
    /// # Errors
    ///
    /// Fails if the body is cut off or larger than `most` bytes.
    pub async fn read(mut incoming: Incoming, most: u64, in_flight: usize) -> Result<Self, Fault> {
        if incoming.is_end_stream() {
            return Ok(Self::Kept(Bytes::new()));
        }
        if incoming.size_hint().lower() > most {
            return Err(Fault::TooLarge);
        }
        let largest_kept = match in_flight {
            ..=MANY_REQUESTS => MAX_BUFFERED_BYTES,
            _ => MAX_BUFFERED_BYTES_OF_MANY,
        };
        let mut read = BytesMut::new();
        while let Some(frame) = incoming.frame().await {
            let Ok(data) = frame.map_err(|_| Fault::Cut)?.into_data() else { continue };
            read.extend_from_slice(&data);
            if read.len() as u64 > most {
                return Err(Fault::TooLarge);
            }
            if read.len() > largest_kept {
                return Ok(Self::Partial(read.freeze(), incoming));
            }
        }
        Ok(Self::Kept(read.freeze()))
    }

    /// Returns whether the body can still be sent.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !matches!(self, Self::Spent)
    }

    /// Returns the buffered part of the body.
    #[must_use]
    pub fn beginning(&self) -> Bytes {
        match self {
            Self::Kept(bytes) | Self::Partial(bytes, _) => bytes.clone(),
            Self::Spent => Bytes::new(),
        }
    }

    /// Returns the body for sending. A completely buffered one can be sent again.
    pub fn take(&mut self) -> body::Body {
        if let Self::Kept(bytes) = self {
            return match bytes.is_empty() {
                true => body::empty(),
                false => body::full(bytes.clone()),
            };
        }
        match std::mem::replace(self, Self::Spent) {
            Self::Partial(first, rest) => body::after(first, rest),
            Self::Kept(_) | Self::Spent => body::empty(),
        }
    }
}
