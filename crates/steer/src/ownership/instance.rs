//! Instances: an upstream named together with its service.

use std::fmt;

use model::id;

/// The fleet-wide key of an upstream, whose own name is unique in its service only.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The service.
    pub service: id::Service,
    /// The upstream.
    pub upstream: id::Upstream,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.upstream)
    }
}
