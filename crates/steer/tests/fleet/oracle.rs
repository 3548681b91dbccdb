//! The oracle: what upstreams hold in truth, whatever any node believes.

use std::collections;
use std::time::Instant;

use model::id;
use steer::ownership::request;

/// A request that an upstream holds.
#[derive(Clone, Debug)]
pub struct Held {
    /// The node that sent it, by number and start.
    pub node: (usize, u64),
    /// The request, by that node's name for it.
    pub request: request::Id,
    /// When the upstream lets it go at the latest.
    pub until: Instant,
}

/// What all upstreams hold.
#[derive(Debug, Default)]
pub struct Oracle {
    held: collections::BTreeMap<id::Upstream, Vec<Held>>,
}

impl Oracle {
    /// Adds a request, and says so when the upstream then holds more than `slots`.
    pub fn begin(
        &mut self,
        upstream: &id::Upstream,
        held: Held,
        slots: usize,
    ) -> Result<(), String> {
        let all = self.held.entry(upstream.clone()).or_default();
        all.push(held);
        match all.len() > slots {
            true => Err(format!("{upstream} holds {} requests of {slots}: {all:?}", all.len())),
            false => Ok(()),
        }
    }

    /// Removes what upstreams let go by `now`.
    pub fn pass(&mut self, now: Instant) {
        for all in self.held.values_mut() {
            all.retain(|held| now < held.until);
        }
    }

    /// Removes a request that has ended.
    pub fn end(&mut self, node: (usize, u64), request: request::Id) {
        for all in self.held.values_mut() {
            all.retain(|held| held.node != node || held.request != request);
        }
    }

    /// Lets the upstream notice later that a request was given up.
    pub fn give_up(&mut self, node: (usize, u64), request: request::Id, at_latest: Instant) {
        for held in self.held.values_mut().flatten() {
            if held.node == node && held.request == request {
                held.until = held.until.min(at_latest);
            }
        }
    }

    /// Returns every request that is held.
    pub fn all(&self) -> Vec<Held> {
        self.held.values().flatten().cloned().collect()
    }

    /// Returns whether a node holds requests.
    pub fn holds(&self, node: (usize, u64)) -> bool {
        self.held.values().flatten().any(|held| held.node == node)
    }
}
