//! How a try at an upstream ended.

use std::time::Duration;

use model::load;

/// How a try at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It answered, after this time.
    Answered {
        /// Time from sending to the answer.
        latency: Duration,
        /// How many times the work of one request passed until it was done, as far as known.
        crowding: f64,
        /// Load it told.
        load: Option<load::Report>,
    },
    /// It turned the request away without running it.
    TurnedAway {
        /// Load it told.
        load: Option<load::Report>,
    },
    /// Another upstream has its address.
    Replaced,
    /// No connection came up, so nothing was sent.
    NotSent,
    /// The connection broke, or the answer was not one.
    Broken,
    /// The request's time was up.
    TimedOut,
    /// The caller left.
    Abandoned,
}
