//! Candidate: the best upstream of a region for a request, with what is expected of it.
//!
//! Owns nothing. Made by [`selection`]; compared by [`overflow`] and judged by [`admission`].
//!
//! [`admission`]: crate::dispatch::admission
//! [`overflow`]: crate::dispatch::overflow
//! [`selection`]: crate::dispatch::selection

use std::sync;
use std::time::Duration;

use model::discovery;
use model::id;

use crate::dispatch::seconds;
use crate::dispatch::seen_objects;

/// The best upstream of a region for a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The upstream's entry.
    pub entry: sync::Arc<discovery::Entry>,
    /// The request's object, with what the upstream is expected to know of it; none when it has none.
    pub object: Option<seen_objects::Object>,
    /// Time the request would wait there.
    pub wait: seconds::Seconds,
    /// Longest time that it may wait.
    pub max_wait: seconds::Seconds,
    /// Mean time that upstreams of the service work on a request.
    pub work: seconds::Seconds,
    /// Mean time until the answer, by what the upstream is expected to know of the object and by the way there.
    pub done: seconds::Seconds,
    /// Cautious estimate of the time until the answer.
    pub expected: seconds::Seconds,
    /// Age of the latest load that the upstream reported.
    pub load_age: Duration,
    /// The upstream that the request's object prefers, where it said that it leaves, or rests.
    pub avoided: Option<id::Upstream>,
    /// Upstreams that came before it, and whose limits are used up.
    pub skipped: Vec<id::Upstream>,
}
