//! Planned stop: when a stopping node closes its callers' connections and exits.
//!
//! Look-ups no longer return a stopping node, but it continues to serve callers with an older
//! look-up result, as far as [`response_times`] expect their requests to end before the node exits.
//! Afterwards it accepts no further connections and closes idle ones. It exits once nothing is open, or
//! shortly before it would be killed, which [`grace`] determines.
//!
//! [`response_times`]: crate::common::response_times
//! [`grace`]: crate::common::grace

use std::time::{Duration, Instant};

use crate::common::grace;
use crate::dispatch::curtailment;

/// Time during which callers with an older look-up result may still connect.
///
/// Three times the maximum lifetime of a look-up result (1 s), which some callers exceed, plus a
/// margin.
const LOOKUP_EXPIRY: Duration = Duration::from_millis(3_300);

/// Time before the kill at which idle connections are closed.
const CLOSE_BEFORE_KILL: Duration = Duration::from_millis(1_500);

/// Time before the kill at which the process exits, even with open requests.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(150);

/// Time before the exit at which a request whose body is incomplete is refused at the latest, so that its response
/// reaches the caller and the caller can close.
pub const REFUSAL_BEFORE_EXIT: Duration = Duration::from_millis(300);

/// Interval at which open connections and requests are checked.
pub const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Connections and requests that callers have open at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Open {
    /// Number of connections.
    pub connections: usize,
    /// Number of requests in flight, including those whose response is still being passed on.
    pub requests: usize,
    /// Number of connections that have ended with a response which their callers may not have yet.
    pub unconfirmed: usize,
    /// Whether connections are still accepted and kept open.
    pub is_listening: bool,
}

/// Next step of a stopping node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Continue to serve requests.
    Serve,
    /// Close each connection after its current request, and idle ones at once.
    Close,
    /// Exit the process.
    End {
        /// Whether every request has ended.
        is_done: bool,
    },
}

/// Times of the stop of a node.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// When the signal to stop was seen, from which look-ups no longer return the node.
    seen: Instant,
    grace: grace::Grace,
}

impl Schedule {
    /// Plans a stop whose signal arrived at `arrived` at the earliest, and was seen at `seen`; the kill follows
    /// `allowed` after it arrived.
    #[must_use]
    pub fn new(arrived: Instant, seen: Instant, allowed: Duration) -> Self {
        Self { seen, grace: grace::Grace::new(arrived, seen, allowed) }
    }

    /// Leaves `delay` before the earliest kill, by which the process may pass on a response late.
    pub fn allow_for(&mut self, delay: Duration) {
        self.grace.allow_for(delay);
    }

    /// Returns when requests that are still accepted must have ended.
    #[must_use]
    pub fn latest_end(&self) -> Instant {
        self.grace.usable_until() - EXIT_BEFORE_KILL
    }

    /// Returns when the node exits at the latest.
    #[must_use]
    pub fn exit(&self) -> Instant {
        self.grace.latest_end() - EXIT_BEFORE_KILL
    }

    /// Returns between which times the node exits while requests are in flight.
    #[must_use]
    pub fn exits(&self) -> curtailment::Exit {
        curtailment::Exit { earliest: self.latest_end(), latest: self.exit() }
    }

    /// Returns the step at `now`.
    #[must_use]
    pub fn step(&self, now: Instant, open: Open) -> Step {
        let may_callers_connect = now < self.seen + LOOKUP_EXPIRY;
        match open {
            Open { connections: 0, is_listening: false, .. } => Step::End { is_done: true },
            Open { requests: 0, unconfirmed: 0, .. }
                if now + EXIT_BEFORE_KILL >= self.grace.earliest_end() =>
            {
                Step::End { is_done: true }
            }
            _ if now >= self.exit() => Step::End { is_done: open.requests == 0 },
            _ if now + CLOSE_BEFORE_KILL >= self.grace.usable_until() => Step::Close,
            Open { requests: 0, .. } if !may_callers_connect => Step::Close,
            _ => Step::Serve,
        }
    }
}
