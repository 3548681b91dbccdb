//! Snapshots of the complete accepted configuration.

use std::collections;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::cap;
use crate::change;
use crate::drain;
use crate::evacuation;
use crate::id;
use crate::organisation;
use crate::place;
use crate::refusal;
use crate::resource;
use crate::revision;
use crate::route;
use crate::service;

/// Number of operations that are kept for operators who lost a response. At 750 changes a day, this
/// covers about eight hours.
pub const MAX_OPERATIONS: usize = 256;

/// All declarations of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision number; zero before the first change.
    pub revision: revision::Revision,
    /// Most recently accepted operations, oldest first.
    pub operations: collections::VecDeque<Operation>,
    /// Services by name.
    pub services: collections::BTreeMap<id::Service, Stored<service::Service>>,
    /// Places by name.
    pub places: collections::BTreeMap<id::Place, Stored<place::Place>>,
    /// Caps by name.
    pub caps: collections::BTreeMap<id::Cap, Stored<cap::Cap>>,
    /// Drains by name.
    pub drains: collections::BTreeMap<id::Drain, Stored<drain::Drain>>,
    /// Routes by name.
    #[serde(default)]
    pub routes: collections::BTreeMap<id::Route, Stored<route::Route>>,
    /// Evacuations by name.
    #[serde(default)]
    pub evacuations: collections::BTreeMap<id::Evacuation, Stored<evacuation::Evacuation>>,
    /// Organisations by name.
    #[serde(default, skip_serializing_if = "collections::BTreeMap::is_empty")]
    pub organisations: collections::BTreeMap<id::Organisation, Stored<organisation::Organisation>>,
}

/// An accepted change, as kept for queries by its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Id that the operator gave the change.
    pub id: String,
    /// Revision that the change created.
    pub revision: revision::Revision,
}

/// A declaration with the revision that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored<T> {
    /// Revision that last changed the declaration.
    pub revision: revision::Revision,
    /// Content of the declaration.
    pub spec: sync::Arc<T>,
}

impl<T> Stored<T> {
    fn new(revision: revision::Revision, spec: T) -> Self {
        Self { revision, spec: sync::Arc::new(spec) }
    }
}

impl Snapshot {
    /// Returns the revision that an operation created, if it is among the latest
    /// [`MAX_OPERATIONS`].
    #[must_use]
    pub fn operation(&self, id: &str) -> Option<revision::Revision> {
        self.operations.iter().rev().find(|o| o.id == id).map(|o| o.revision)
    }

    /// Returns all resources with their revisions, in the order of [`resource::Kind::ALL`].
    #[must_use]
    pub fn resources(&self) -> Vec<(revision::Revision, resource::Resource)> {
        use resource::Resource;
        let services = self.services.values();
        let places = self.places.values();
        let caps = self.caps.values();
        let drains = self.drains.values();
        let routes = self.routes.values();
        let evacuations = self.evacuations.values();
        let organisations = self.organisations.values();
        services
            .map(|s| (s.revision, Resource::Service((*s.spec).clone())))
            .chain(places.map(|s| (s.revision, Resource::Place((*s.spec).clone()))))
            .chain(caps.map(|s| (s.revision, Resource::Cap((*s.spec).clone()))))
            .chain(drains.map(|s| (s.revision, Resource::Drain((*s.spec).clone()))))
            .chain(routes.map(|s| (s.revision, Resource::Route((*s.spec).clone()))))
            .chain(evacuations.map(|s| (s.revision, Resource::Evacuation((*s.spec).clone()))))
            .chain(organisations.map(|s| (s.revision, Resource::Organisation((*s.spec).clone()))))
            .collect()
    }

    /// Returns one resource with its revision.
    #[must_use]
    pub fn resource(
        &self,
        kind: resource::Kind,
        name: &str,
    ) -> Option<(revision::Revision, resource::Resource)> {
        use resource::Resource;
        match kind {
            resource::Kind::Service => {
                self.services.get(name).map(|s| (s.revision, Resource::Service((*s.spec).clone())))
            }
            resource::Kind::Place => {
                self.places.get(name).map(|s| (s.revision, Resource::Place((*s.spec).clone())))
            }
            resource::Kind::Cap => {
                self.caps.get(name).map(|s| (s.revision, Resource::Cap((*s.spec).clone())))
            }
            resource::Kind::Drain => {
                self.drains.get(name).map(|s| (s.revision, Resource::Drain((*s.spec).clone())))
            }
            resource::Kind::Route => {
                self.routes.get(name).map(|s| (s.revision, Resource::Route((*s.spec).clone())))
            }
            resource::Kind::Evacuation => {
                let stored = self.evacuations.get(name)?;
                Some((stored.revision, Resource::Evacuation((*stored.spec).clone())))
            }
            resource::Kind::Organisation => {
                let stored = self.organisations.get(name)?;
                Some((stored.revision, Resource::Organisation((*stored.spec).clone())))
            }
        }
    }

    /// Applies one step of a change, with the snapshot's revision as that of the change.
    ///
    /// # Errors
    ///
    /// Returns [`refusal::Refusal::Missing`] if a resource to delete does not exist.
    pub(crate) fn apply_step(&mut self, step: &change::Step) -> Result<(), refusal::Refusal> {
        match step {
            change::Step::Put { resource } => {
                self.put(resource);
                Ok(())
            }
            change::Step::Delete { kind, name } => match self.remove(*kind, name) {
                true => Ok(()),
                false => Err(refusal::Refusal::Missing { resource: format!("{kind} {name}") }),
            },
        }
    }

    /// Creates or replaces a resource; an unchanged resource keeps its revision.
    fn put(&mut self, resource: &resource::Resource) {
        let revision = self.revision;
        match resource {
            resource::Resource::Service(spec) => {
                insert(&mut self.services, spec.name.clone(), spec, revision);
            }
            resource::Resource::Place(spec) => {
                insert(&mut self.places, spec.name.clone(), spec, revision);
            }
            resource::Resource::Cap(spec) => {
                insert(&mut self.caps, spec.name.clone(), spec, revision);
            }
            resource::Resource::Drain(spec) => {
                insert(&mut self.drains, spec.name.clone(), spec, revision);
            }
            resource::Resource::Route(spec) => {
                insert(&mut self.routes, spec.name.clone(), spec, revision);
            }
            resource::Resource::Evacuation(spec) => {
                insert(&mut self.evacuations, spec.name.clone(), spec, revision);
            }
            resource::Resource::Organisation(spec) => {
                insert(&mut self.organisations, spec.name.clone(), spec, revision);
            }
        }
    }

    /// Deletes a resource and returns whether it existed.
    fn remove(&mut self, kind: resource::Kind, name: &str) -> bool {
        match kind {
            resource::Kind::Service => self.services.remove(name).is_some(),
            resource::Kind::Place => self.places.remove(name).is_some(),
            resource::Kind::Cap => self.caps.remove(name).is_some(),
            resource::Kind::Drain => self.drains.remove(name).is_some(),
            resource::Kind::Route => self.routes.remove(name).is_some(),
            resource::Kind::Evacuation => self.evacuations.remove(name).is_some(),
            resource::Kind::Organisation => self.organisations.remove(name).is_some(),
        }
    }

    /// Records an accepted operation and drops the oldest ones beyond [`MAX_OPERATIONS`].
    pub(crate) fn record_operation(&mut self, operation: &str) {
        self.operations.push_back(Operation { id: operation.to_owned(), revision: self.revision });
        while self.operations.len() > MAX_OPERATIONS {
            self.operations.pop_front();
        }
    }
}

/// Inserts `spec` with `revision`, unless an equal one is stored already.
fn insert<K: Ord, T: Clone + PartialEq>(
    map: &mut collections::BTreeMap<K, Stored<T>>,
    key: K,
    spec: &T,
    revision: revision::Revision,
) {
    match map.get(&key) {
        Some(stored) if *stored.spec == *spec => {}
        _ => {
            map.insert(key, Stored::new(revision, spec.clone()));
        }
    }
}
