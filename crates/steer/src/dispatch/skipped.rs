//! Skipped upstreams: upstreams that a request passes over because their limits are exhausted.
//!
//! Lives for one choice of an upstream. [`upstream_limit`] decides whether an upstream admits the
//! request; if not, the choice is repeated without it.
//!
//! [`upstream_limit`]: crate::dispatch::upstream_limit

use std::time::Duration;

use model::id;

use crate::dispatch::candidate;
use crate::dispatch::refusal;

/// Maximum number of upstreams that a request skips; equals `selection::MAX_CANDIDATES`.
const MAX_SKIPPED: usize = 8;

/// Upstreams skipped by one request.
#[derive(Clone, Debug, Default)]
pub struct Skipped {
    /// The upstreams, most preferred first.
    pub upstreams: Vec<id::Upstream>,
    first_hall: Option<id::Hall>,
    retry_after: Option<Duration>,
}

impl Skipped {
    /// Adds an upstream whose limit admits requests again after `retry_after`.
    pub fn add(&mut self, upstream: &candidate::Candidate, retry_after: Duration) {
        self.first_hall.get_or_insert_with(|| upstream.entry.hall.clone());
        self.upstreams.push(upstream.entry.id.clone());
        let earliest = self.retry_after.map_or(retry_after, |known| known.min(retry_after));
        self.retry_after = Some(earliest);
    }

    /// Returns whether an upstream was skipped.
    #[must_use]
    pub fn contains(&self, upstream: &id::Upstream) -> bool {
        self.upstreams.contains(upstream)
    }

    /// Returns whether no further upstreams may be skipped.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.upstreams.len() >= MAX_SKIPPED
    }

    /// Returns the hall of the first skipped upstream.
    #[must_use]
    pub fn first_hall(&self) -> Option<&id::Hall> {
        self.first_hall.as_ref()
    }

    /// Returns the refusal for a request that no other upstream may take.
    #[must_use]
    pub fn refusal(&self) -> refusal::Refusal {
        let retry_after = self.retry_after.unwrap_or_default();
        refusal::Refusal::Limited { retry_after, upstreams: self.upstreams.clone() }
    }
}
