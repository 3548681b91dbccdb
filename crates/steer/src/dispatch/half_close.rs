//! Half-close: whether a caller that has ended its sending half waits for its response or has left.
//!
//! A FIN comes in both cases. Interim responses distinguish them: the operating system of a caller that has closed its
//! socket responds to data with a reset, that of one that waits with an acknowledgement. They are repeated, because a
//! caller that waits may close later without a further sign. Within a response nothing can be inserted; there its
//! own data shows it, and where none is sent for a while, the caller is taken to have left, so that its upstream
//! can stop.

use std::time::{Duration, Instant};

/// Interval at which a connection whose caller has ended its sending half is checked.
pub const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Interval between interim responses.
///
/// With the check period and a round trip, a request is given up within half a second of its caller's close.
const PROBE_PERIOD: Duration = Duration::from_millis(300);

/// Time without an acknowledgement, or without data of a response, after which a caller has left.
///
/// Enough for one retransmission, for which Linux waits 200 ms and a round trip.
const SILENCE: Duration = Duration::from_millis(400);

/// State of a connection at a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Number of bytes of responses that were written since the connection began.
    pub written: u64,
    /// Number of bytes that the caller has not acknowledged.
    pub unacknowledged: u64,
    /// Whether part of a response may have been written, so that no interim response can be.
    pub is_response_begun: bool,
}

/// What follows from a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The connection is checked again after [`CHECK_PERIOD`].
    Wait,
    /// An interim response is sent.
    Probe,
    /// The caller has left, and its connection ends.
    End,
}

/// A caller that has ended its sending half.
#[derive(Clone, Copy, Debug)]
pub struct HalfClose {
    written: u64,
    /// When data was last on its way or written.
    active: Instant,
    probed: Option<Instant>,
    /// Number of bytes that were unacknowledged then. As many at the next time mean that none came through.
    awaited: Option<u64>,
    /// Number of bytes that were unacknowledged at the latest check that did not fail.
    known: Option<u64>,
}

impl HalfClose {
    /// Begins when the end of the sending half is seen at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { written: 0, active: now, probed: None, awaited: None, known: None }
    }

    /// Returns what follows from the state at `now`.
    #[must_use]
    pub fn check(&mut self, sent: Sent, now: Instant) -> Step {
        self.known = Some(sent.unacknowledged);
        match sent.is_response_begun {
            true => self.check_response(sent, now),
            false => self.check_probe(sent.unacknowledged, now),
        }
    }

    /// Returns what follows from the state at `now` if it could not be asked how many bytes are unacknowledged.
    ///
    /// That says nothing about the caller. Interim responses go on, because sending one fails once the caller has
    /// reset the connection, unless earlier data may be left for which there is no room beside it.
    #[must_use]
    pub fn check_failed(&mut self, written: u64, is_response_begun: bool, now: Instant) -> Step {
        self.active = now;
        self.written = written;
        let is_due = self.probed.is_none_or(|probed| now >= probed + PROBE_PERIOD);
        if is_response_begun || self.known != Some(0) || !is_due {
            return Step::Wait;
        }
        self.probed = Some(now);
        self.awaited = None;
        Step::Probe
    }

    fn check_response(&mut self, sent: Sent, now: Instant) -> Step {
        if sent.unacknowledged > 0 || sent.written != self.written {
            self.written = sent.written;
            self.active = now;
        }
        match now.saturating_duration_since(self.active) < SILENCE {
            true => Step::Wait,
            false => Step::End,
        }
    }

    fn check_probe(&mut self, unacknowledged: u64, now: Instant) -> Step {
        self.active = now;
        let time = if unacknowledged == 0 { PROBE_PERIOD } else { SILENCE };
        if self.probed.is_some_and(|probed| now < probed + time) {
            return Step::Wait;
        }
        if unacknowledged > 0 && self.awaited.is_some_and(|awaited| unacknowledged >= awaited) {
            return Step::End;
        }
        self.probed = Some(now);
        self.awaited = Some(unacknowledged);
        match unacknowledged {
            0 => Step::Probe,
            // The end of an earlier response serves as well.
            _ => Step::Wait,
        }
    }
}
