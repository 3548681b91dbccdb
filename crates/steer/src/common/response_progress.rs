//! Progress of a response: when an upstream is cut off that keeps sending bytes.
//!
//! An upstream may send bytes without end that complete neither a head nor a piece of a body. [`Receipt`] decides
//! on the bytes of a connection, in both roles of a node. [`body_progress`] decides on a body that is passed on while it arrives, and
//! [`give_up`] when a response that has not begun is late.
//!
//! [`body_progress`]: crate::common::body_progress
//! [`give_up`]: crate::dispatch::give_up

use std::time::{Duration, Instant};

/// Size of the buffer into which a connection reads, and so of the longest response head, in bytes.
///
/// Reads of this size cost little per byte, and a gateway can hold one buffer for each request in flight.
pub const BUFFER_BYTES: usize = 128 * 1_024;

/// Maximum number of bytes that a connection may receive before the end of a head, interim responses among
/// them: two buffers, since one may be read with the beginning of the next message.
const MAX_BYTES_BEFORE_HEAD: u64 = 2 * BUFFER_BYTES as u64;

/// Maximum number of bytes that a connection may receive without a piece of a body.
///
/// More than the HTTP library has read of a body while a slow caller takes one piece of it, which is three
/// buffers.
const MAX_BYTES_WITHIN_BODY: u64 = 4 * BUFFER_BYTES as u64;

/// Time from the first byte of a response head to its end after which the connection is closed.
///
/// Longer than the pauses that packet loss causes. The time before the first
/// byte is not limited, because the upstream works on the request then.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Bytes that a connection to an upstream received without progress.
///
/// Progress is the end of a head, or a piece of a body that the reader took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Receipt {
    bytes: u64,
    head_began: Option<Instant>,
    is_head_awaited: bool,
}

impl Receipt {
    /// Records that a request is sent, so that a head is awaited.
    pub fn await_head(&mut self) {
        *self = Self { is_head_awaited: true, ..Self::default() };
    }

    /// Records an interim response, after which the upstream works on the request again.
    pub fn record_interim(&mut self) {
        self.head_began = None;
    }

    /// Records the end of a head or a piece of a body.
    pub fn record_progress(&mut self) {
        *self = Self::default();
    }

    /// Records received bytes; returns whether the connection may receive more.
    pub fn record_bytes(&mut self, bytes: u64, now: Instant) -> bool {
        self.bytes = self.bytes.saturating_add(bytes);
        if self.is_head_awaited && bytes > 0 {
            self.head_began.get_or_insert(now);
        }
        let most = match self.is_head_awaited {
            true => MAX_BYTES_BEFORE_HEAD,
            false => MAX_BYTES_WITHIN_BODY,
        };
        self.bytes <= most
    }

    /// Returns when a head that has begun is late; `None` if none has.
    #[must_use]
    pub fn head_deadline(&self) -> Option<Instant> {
        self.head_began.map(|began| began + HEAD_TIMEOUT)
    }
}
