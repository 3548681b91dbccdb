//! Updates: what changed of the configuration, the upstreams and the evacuations, and where it comes from.

use std::collections;
use std::sync;

use model::discovery;
use model::id;
use model::routing;

/// Source of a configuration or discovery update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// A node of this node's region.
    NearPeer,
    /// A node of another region.
    FarPeer,
    /// Yokespoke's own declarations.
    Declarations,
}

impl Source {
    /// Returns the source as the log key `source` holds it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::NearPeer => "peer",
            Self::FarPeer => "far-peer",
            Self::Declarations => "declarations",
        }
    }
}

/// A change of upstreams.
#[derive(Clone, Debug)]
pub enum Upstreams {
    /// All that there are.
    All(Vec<sync::Arc<discovery::Entry>>),
    /// Those that changed; the others stay as they are.
    Changed {
        /// Entries that were written.
        written: Vec<sync::Arc<discovery::Entry>>,
        /// Upstreams whose entries were removed.
        removed: Vec<id::Upstream>,
    },
}

/// A change of configuration, upstreams or evacuations.
#[derive(Clone, Debug)]
pub struct Update {
    /// Where it comes from, for the log.
    pub source: Source,
    /// The source's revision.
    pub revision: u64,
    /// The configuration, if it changed.
    pub routing: Option<sync::Arc<routing::Routing>>,
    /// The upstreams, if any changed.
    pub upstreams: Option<Upstreams>,
    /// All evacuated halls, if any changed.
    pub evacuated: Option<collections::BTreeSet<id::Hall>>,
}
