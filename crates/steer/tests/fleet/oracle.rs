//! The oracle: the actual requests at each upstream, independent of the nodes' state.

use std::collections;
use std::time::Instant;

use model::id;
use steer::ownership::request;

/// A request that an upstream holds.
#[derive(Clone, Debug)]
pub struct Held {
    /// The node that sent it, by its number and its count of starts.
    pub node: (usize, u64),
    /// The id of the request at that node.
    pub request: request::Id,
    /// When the upstream ends it at the latest.
    pub until: Instant,
}

/// The requests at all upstreams.
#[derive(Debug, Default)]
pub struct Oracle {
    held: collections::BTreeMap<id::Upstream, Vec<Held>>,
}

impl Oracle {
    /// Adds a request; returns an error if the upstream then holds more than `slots`.
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

    /// Removes the requests that upstreams have ended by `now`.
    pub fn expire(&mut self, now: Instant) {
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

    /// Abandons a request, which its upstream notices by `at_latest`.
    pub fn abandon(&mut self, node: (usize, u64), request: request::Id, at_latest: Instant) {
        for held in self.held.values_mut().flatten() {
            if held.node == node && held.request == request {
                held.until = held.until.min(at_latest);
            }
        }
    }

    /// Returns all requests.
    pub fn all(&self) -> Vec<Held> {
        self.held.values().flatten().cloned().collect()
    }

    /// Returns whether any upstream holds requests of a node.
    pub fn holds(&self, node: (usize, u64)) -> bool {
        self.held.values().flatten().any(|held| held.node == node)
    }
}
