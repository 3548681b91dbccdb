//! Declared resources and their kinds.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::cap;
use crate::drain;
use crate::evacuation;
use crate::organisation;
use crate::place;
use crate::route;
use crate::service;

/// A declared resource of any kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Resource {
    /// A service.
    Service(service::Service),
    /// A place.
    Place(place::Place),
    /// A cap.
    Cap(cap::Cap),
    /// A drain.
    Drain(drain::Drain),
    /// A route.
    Route(route::Route),
    /// An evacuation.
    Evacuation(evacuation::Evacuation),
    /// An organisation.
    Organisation(organisation::Organisation),
}

impl Resource {
    /// Returns the resource's kind.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Service(_) => Kind::Service,
            Self::Place(_) => Kind::Place,
            Self::Cap(_) => Kind::Cap,
            Self::Drain(_) => Kind::Drain,
            Self::Route(_) => Kind::Route,
            Self::Evacuation(_) => Kind::Evacuation,
            Self::Organisation(_) => Kind::Organisation,
        }
    }

    /// Returns the resource's name.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Service(service) => service.name.as_str(),
            Self::Place(place) => place.name.as_str(),
            Self::Cap(cap) => cap.name.as_str(),
            Self::Drain(drain) => drain.name.as_str(),
            Self::Route(route) => route.name.as_str(),
            Self::Evacuation(evacuation) => evacuation.name.as_str(),
            Self::Organisation(organisation) => organisation.name.as_str(),
        }
    }
}

/// A kind of resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Services.
    Service,
    /// Places.
    Place,
    /// Caps.
    Cap,
    /// Drains.
    Drain,
    /// Routes.
    Route,
    /// Evacuations.
    Evacuation,
    /// Organisations.
    Organisation,
}

impl Kind {
    /// All kinds, ordered so that each kind comes after those that it refers to.
    pub const ALL: [Self; 7] = [
        Self::Service,
        Self::Place,
        Self::Cap,
        Self::Drain,
        Self::Route,
        Self::Evacuation,
        Self::Organisation,
    ];

    /// Returns the name of the kind as written in declarations.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Place => "place",
            Self::Cap => "cap",
            Self::Drain => "drain",
            Self::Route => "route",
            Self::Evacuation => "evacuation",
            Self::Organisation => "organisation",
        }
    }

    /// Returns the plural name used in the paths of the resource API.
    #[must_use]
    pub fn plural(self) -> &'static str {
        match self {
            Self::Service => "services",
            Self::Place => "places",
            Self::Cap => "caps",
            Self::Drain => "drains",
            Self::Route => "routes",
            Self::Evacuation => "evacuations",
            Self::Organisation => "organisations",
        }
    }

    /// Parses a singular or plural name of a kind.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|k| k.as_str() == text || k.plural() == text)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
