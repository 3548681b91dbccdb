//! Index: the organisations of one version of the configuration, by their keys.
//!
//! Built when a version is put in force, so that a request finds its organisation with one look, however many there are.

use std::collections;
use std::sync;

use crate::id;
use crate::key;
use crate::organisation;

/// The organisations of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Index {
    by_key: collections::HashMap<key::Digest, sync::Arc<organisation::Organisation>>,
    all: Vec<sync::Arc<organisation::Organisation>>,
}

impl Index {
    /// Makes an index.
    ///
    /// # Errors
    ///
    /// Fails with the names of two organisations that have a key in common.
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

    /// Returns the organisation that has a key.
    #[must_use]
    pub fn find(&self, key: &key::Digest) -> Option<&sync::Arc<organisation::Organisation>> {
        self.by_key.get(key)
    }

    /// Returns every organisation.
    pub fn iter(&self) -> impl Iterator<Item = &sync::Arc<organisation::Organisation>> {
        self.all.iter()
    }
}
