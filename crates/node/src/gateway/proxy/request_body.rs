//! Bodies of requests, read before they are sent on, so that they can be sent again.
//!
//! Owns the bounds on what is buffered, which fall when many requests are in flight.

use bytes::{Bytes, BytesMut};
use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use crate::common::body;

/// Largest body that is read whole before it is sent on, in bytes.
const LARGEST_KEPT: usize = 1_024 * 1_024;

/// Largest body that is read whole while many requests are in flight, in bytes.
const LARGEST_KEPT_IN_CROWD: usize = 64 * 1_024;

/// Requests in flight above which only small bodies are buffered, so that memory stays bounded.
const CROWD: usize = 64;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is larger than callers may send.
    TooLarge,
    /// It ended before its declared end.
    Cut,
}

/// A request's body, as far as it can be sent again.
#[derive(Debug)]
pub enum Body {
    /// Read whole.
    Kept(Bytes),
    /// Read in part; it can be sent once.
    Partial(Bytes, Incoming),
    /// Sent already.
    Spent,
}

impl Body {
    /// Reads a body, whole if it is not too large to buffer beside those of the requests
    /// `in_flight`.
    ///
    /// # Errors
    ///
    /// Fails when it breaks off or is larger than `most` bytes.
    pub async fn read(mut incoming: Incoming, most: u64, in_flight: usize) -> Result<Self, Fault> {
        if incoming.is_end_stream() {
            return Ok(Self::Kept(Bytes::new()));
        }
        if incoming.size_hint().lower() > most {
            return Err(Fault::TooLarge);
        }
        let largest_kept = match in_flight {
            ..=CROWD => LARGEST_KEPT,
            _ => LARGEST_KEPT_IN_CROWD,
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

    /// Returns whether it can be sent (again).
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !matches!(self, Self::Spent)
    }

    /// Returns the beginning of the body; all of it where it is kept.
    #[must_use]
    pub fn beginning(&self) -> Bytes {
        match self {
            Self::Kept(bytes) | Self::Partial(bytes, _) => bytes.clone(),
            Self::Spent => Bytes::new(),
        }
    }

    /// Takes the body for sending; a kept one stays.
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
