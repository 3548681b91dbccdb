//! Result of an attempt at an upstream, with what a node learns from it about the upstream.
//!
//! The gateway reports it at the end of each attempt, and the dispatcher applies it. [`retry`]
//! decides what follows for the request.
//!
//! [`retry`]: crate::dispatch::retry

use std::time::Duration;

use model::load;

use crate::dispatch::seen_objects;

/// Result of an attempt at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The upstream responded.
    Answered {
        /// Time from sending the request to the response.
        latency: Duration,
        /// Estimated ratio of this time to the processing time without queueing.
        crowding: f64,
        /// The request's object, if any.
        object: Option<seen_objects::Object>,
        /// Load that the upstream reported.
        load: Option<load::Report>,
    },
    /// The upstream refused the request without executing it.
    Refused {
        /// Load that the upstream reported.
        load: Option<load::Report>,
    },
    /// The upstream ended or refused the request because this node, which is stopping, had shortened its deadline.
    Curtailed {
        /// Load that the upstream reported.
        load: Option<load::Report>,
    },
    /// Another upstream responded at the upstream's address.
    Replaced,
    /// No connection could be established, so nothing was sent.
    NotSent,
    /// The connection failed after the request was sent, or the response is invalid.
    Broken,
    /// The request's deadline passed.
    TimedOut,
    /// The caller disconnected, or this node is about to exit.
    Abandoned,
}
