//! Cold upstreams: one node alone sends to each, at less than the rate that it bears.

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use xxhash_rust::xxh3;

/// Part of the rate that is used, so that two nodes that both believe themselves the owner stay
/// inside what is allowed.
const USED: f64 = 0.75;

/// Requests that may be sent at once.
const BURST: f64 = 2.0;

/// Time for which an upstream counts as cold beyond what was told.
const MARGIN: Duration = Duration::from_millis(300);

/// Limits what a cold upstream is sent.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    until: Option<Instant>,
    tokens: f64,
    filled: Instant,
}

impl Limiter {
    /// Starts warm.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { until: None, tokens: BURST, filled: now }
    }

    /// Notes that the upstream is cold for `left` more.
    pub fn cold_for(&mut self, left: Duration, now: Instant) {
        if left.is_zero() {
            return;
        }
        let until = now + left + MARGIN;
        self.until = Some(self.until.map_or(until, |before| before.max(until)));
    }

    /// Returns whether the upstream is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns whether one more request may be sent at `rate` a second.
    #[must_use]
    pub fn has_room(&self, rate: f64, now: Instant) -> bool {
        self.tokens_at(rate, now) >= 1.0
    }

    /// Takes the room of one request.
    pub fn take(&mut self, rate: f64, now: Instant) {
        self.tokens = (self.tokens_at(rate, now) - 1.0).max(0.0);
        self.filled = now;
    }

    fn tokens_at(&self, rate: f64, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.filled).as_secs_f64();
        (self.tokens + age * rate * USED).min(BURST)
    }
}

/// The nodes among which cold upstreams are shared out.
///
/// A node of the upstream's own region owns it, so nodes need to agree with those of their region only.
/// Where no node stands in that region, the listed nodes of all regions share its upstreams.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    /// Living nodes of this node's region, itself included.
    pub near: Vec<id::Node>,
    /// Nodes that are listed, by region.
    pub listed: collections::BTreeMap<id::Region, Vec<id::Node>>,
}

impl Owners {
    /// Returns the node that alone may send to cold upstream `upstream` of `region`, as a node of
    /// `own` sees it; none when it is one of another region.
    #[must_use]
    pub fn of(
        &self,
        upstream: &id::Upstream,
        region: &id::Region,
        own: &id::Region,
    ) -> Option<&id::Node> {
        match self.listed.get(region) {
            _ if region == own => owner(upstream, self.near.iter()),
            Some(nodes) if !nodes.is_empty() => None,
            _ => owner(upstream, self.listed.values().flatten().chain(&self.near)),
        }
    }
}

/// Returns the node that alone may send to cold upstream `upstream`.
pub fn owner<'a>(
    upstream: &id::Upstream,
    nodes: impl Iterator<Item = &'a id::Node>,
) -> Option<&'a id::Node> {
    let seed = xxh3::xxh3_64(upstream.as_str().as_bytes());
    nodes.max_by_key(|node| xxh3::xxh3_64_with_seed(node.as_str().as_bytes(), seed))
}
