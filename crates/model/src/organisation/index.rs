//! Index of the organisations of one configuration version by their keys.
//!
//! The index is built when a version takes effect, so that finding the organisation of a request is
//! a single hash lookup, however many organisations there are.

use std::collections;
use std::sync;

use crate::id;
use crate::key;
use crate::organisation;

/// The organisations of one configuration version, indexed by key digest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Index {
    by_key: collections::HashMap<key::Digest, sync::Arc<organisation::Organisation>>,
    all: Vec<sync::Arc<organisation::Organisation>>,
}

impl Index {
    /// Builds the index.
    ///
    /// # Errors
    ///
    /// Returns the names of two organisations that share a key.
    pub fn new(
        organisations: impl Iterator<Item = organisation::Organisation>,
    ) -> Result<Self, (id::Organisation, id::Organisation)> {
        let all: Vec<_> = organisations.map(sync::Arc::new).collect();
        let mut by_key = collections::HashMap::new();
        for organisation in &all {
            for key in &organisation.keys {
                let other = by_key.insert(*key, sync::Arc::clone(organisation));
                match other {
                    Some(other) if other.name != organisation.name => {
                        return Err((other.name.clone(), organisation.name.clone()));
                    }
                    _ => {}
                }
            }
        }
        Ok(Self { by_key, all })
    }

    /// Returns the organisation that owns `key`.
    #[must_use]
    pub fn find(&self, key: &key::Digest) -> Option<&sync::Arc<organisation::Organisation>> {
        self.by_key.get(key)
    }

    /// Iterates over all organisations.
    pub fn iter(&self) -> impl Iterator<Item = &sync::Arc<organisation::Organisation>> {
        self.all.iter()
    }
}
