//! Tried: how the tries of one request ended, as [`retry`] and log lines see it.
//!
//! Owns the text of the log key `tries`. Relies on nothing.
//!
//! [`retry`]: crate::dispatch::retry

use std::fmt;

use model::id;

/// What came of a try before the request's deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered with this status.
    Answered(u16),
    /// The upstream refused the request and has not run it.
    TurnedAway,
    /// Another upstream answers at its address; the request has not run.
    Replaced,
    /// Nothing was sent, with the cause.
    NotSent(String),
    /// The request was sent and may have run, with the cause.
    Broken(String),
}

/// How a try ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// With this outcome, before the deadline.
    Outcome(Outcome),
    /// The deadline passed while the connection was opened.
    NoConnection,
    /// The deadline passed while the answer was awaited.
    NoAnswer,
}

impl fmt::Display for End {
    /// Writes the end as the log key `tries` holds it.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Outcome(Outcome::Answered(status)) => write!(formatter, "{status}"),
            Self::Outcome(Outcome::TurnedAway) => formatter.write_str("turned-away"),
            Self::Outcome(Outcome::Replaced) => formatter.write_str("replaced"),
            Self::Outcome(Outcome::NotSent(cause) | Outcome::Broken(cause)) => {
                formatter.write_str(cause)
            }
            Self::NoConnection => formatter.write_str("no-connection"),
            Self::NoAnswer => formatter.write_str("no-answer"),
        }
    }
}

/// A try that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    /// The upstream.
    pub upstream: id::Upstream,
    /// How it ended.
    pub end: End,
}
