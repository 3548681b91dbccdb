//! Outcome: how a try at an upstream ended, as far as it changes what a node knows of the upstream.
//!
//! Made by the gateway at the end of each try, and applied by the dispatcher. What follows for the request
//! is decided by [`retry`].
//!
//! [`retry`]: crate::dispatch::retry

use std::time::Duration;

use model::load;

use crate::dispatch::seen_objects;

/// How a try at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It answered.
    Answered {
        /// Time from sending to the answer.
        latency: Duration,
        /// How many times the work of one request passed until it was done, as far as known.
        crowding: f64,
        /// The request's object; none when it has none.
        object: Option<seen_objects::Object>,
        /// Load that it reported.
        load: Option<load::Report>,
    },
    /// It refused the request without running it.
    TurnedAway {
        /// Load that it reported.
        load: Option<load::Report>,
    },
    /// Another upstream answers at its address.
    Replaced,
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The connection broke, or the answer is not valid.
    Broken,
    /// The request's deadline passed.
    TimedOut,
    /// The caller left.
    Abandoned,
}
