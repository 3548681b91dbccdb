//! Latest limit that each upstream announced.
//!
//! Observations come from this node's own responses and from reports of other nodes, in any order;
//! the observation with the latest response time applies. Reports hold ages instead of times, so
//! that clocks need not be synchronised.

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use model::limit;

use crate::dispatch::peer_load;

/// Largest number of upstreams with an observation, so that reports cannot exhaust the memory.
const MAX_UPSTREAMS: usize = 16_384;

/// Time for which an observation without effect is kept, so that an older observation that arrives
/// later is recognised as outdated.
const RETENTION: Duration = Duration::from_secs(10);

/// Latest observation of one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The limit; `None` if the upstream no longer announces one.
    pub limit: Option<limit::Rate>,
    /// When the upstream responded.
    pub at: Instant,
    /// Since when the upstream has announced a limit without interruption, whatever its rate.
    pub since: Instant,
    /// Node that reported the observation; `None` for this node's own responses.
    pub by: Option<id::Node>,
}

/// Change of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Limit before the change.
    pub before: Option<limit::Rate>,
    /// Limit after the change.
    pub now: Option<limit::Rate>,
}

/// Latest observation of each upstream.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    by_upstream: collections::HashMap<peer_load::Key, Observation>,
}

impl Observations {
    /// Returns the latest observation of an upstream, if any.
    #[must_use]
    pub fn get(&self, upstream: peer_load::Key) -> Option<&Observation> {
        self.by_upstream.get(&upstream)
    }

    /// Returns the latest observation of each upstream.
    pub fn iter(&self) -> impl Iterator<Item = (peer_load::Key, &Observation)> {
        self.by_upstream.iter().map(|(upstream, known)| (*upstream, known))
    }

    /// Returns how many upstreams have a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        self.by_upstream.values().filter(|known| known.limit.is_some()).count()
    }

    /// Records an observation made at `at`; returns the change if it is the latest observation and
    /// changes the limit.
    ///
    /// The absence of a limit is not recorded for an upstream without an earlier observation.
    pub fn record(
        &mut self,
        upstream: peer_load::Key,
        limit: Option<limit::Rate>,
        at: Instant,
        by: Option<&id::Node>,
    ) -> Option<Change> {
        let known = self.by_upstream.get(&upstream);
        let is_redundant = known.is_none() && limit.is_none();
        let is_full = known.is_none() && self.by_upstream.len() >= MAX_UPSTREAMS;
        if is_redundant || is_full || known.is_some_and(|known| at < known.at) {
            return None;
        }
        let before = known.and_then(|known| known.limit);
        let since = match (known, before) {
            (Some(known), Some(_)) => known.since,
            _ => at,
        };
        self.by_upstream.insert(upstream, Observation { limit, at, since, by: by.cloned() });
        (before != limit).then_some(Change { before, now: limit })
    }

    /// Removes the limit of an upstream that restarted; older observations no longer apply.
    pub fn clear(&mut self, upstream: peer_load::Key, now: Instant) {
        if self.by_upstream.contains_key(&upstream) {
            self.record(upstream, None, now, None);
        }
    }

    /// Removes limits that ended long ago and limits of upstreams that are no longer known; returns
    /// their upstreams.
    pub fn expire(
        &mut self,
        is_known: impl Fn(peer_load::Key) -> bool,
        now: Instant,
    ) -> Vec<peer_load::Key> {
        let is_expired = |upstream: &peer_load::Key, known: &mut Observation| {
            let is_recent = now.saturating_duration_since(known.at) < RETENTION;
            !is_recent && (known.limit.is_none() || !is_known(*upstream))
        };
        self.by_upstream.extract_if(is_expired).map(|(upstream, _)| upstream).collect()
    }
}
