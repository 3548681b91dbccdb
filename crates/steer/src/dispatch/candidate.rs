//! Candidate: the best upstream of a region for a request, with its time estimates.
//!
//! Created by [`selection`], compared by [`overflow`] and checked by [`admission`].
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
use crate::dispatch::slots;

/// The best upstream of a region for a request, with its time estimates.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The upstream's entry in service discovery.
    pub entry: sync::Arc<discovery::Entry>,
    /// The request's object and whether the upstream probably has it cached; `None` if the request
    /// has no object.
    pub object: Option<seen_objects::Object>,
    /// Time the request would queue there.
    pub wait: seconds::Seconds,
    /// Longest time it may queue.
    pub max_wait: seconds::Seconds,
    /// Mean processing time of the service's upstreams.
    pub work: seconds::Seconds,
    /// Mean time until the response, including the network latency and whether the upstream
    /// probably has the object cached.
    pub mean_latency: seconds::Seconds,
    /// Conservative estimate of the time until the response.
    pub cautious_latency: seconds::Seconds,
    /// Age of the upstream's latest load report.
    pub load_age: Duration,
    /// The object's preferred upstream, if it was skipped because it is leaving or resting.
    pub avoided: Option<id::Upstream>,
    /// Better upstreams that were skipped because their limits are exhausted.
    pub skipped: Vec<id::Upstream>,
    /// The slot that the request needs before it is sent; `None` if it is sent immediately.
    pub slot: Option<slots::Need>,
}
