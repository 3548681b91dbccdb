//! A failed try: its failure, and what the next try needs.

use model::id;
use model::verdict;
use steer::ownership::heartbeat;

/// How one try failed.
#[derive(Clone, Debug)]
pub struct Failed {
    /// The failure.
    pub failure: verdict::Failure,
    /// The upstream that was asked, if one was.
    pub upstream: Option<id::Upstream>,
    /// How much of its slots the service uses at the owner that refused, if it reported that.
    pub usage: Option<heartbeat::Usage>,
}

impl Failed {
    /// Makes the failure of a try that reached no upstream.
    #[must_use]
    pub fn before(failure: verdict::Failure) -> Self {
        Self { failure, upstream: None, usage: None }
    }
}
