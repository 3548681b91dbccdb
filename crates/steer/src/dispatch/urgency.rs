//! Urgency of a request: that of its organisation, then that of its route, as operators set them.

use model::organisation;
use model::route;

/// How urgent a request is by its organisation, and among those of equal ones by its route; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Priority of its organisation.
    pub organisation: u32,
    /// Priority of its route.
    pub route: u32,
}

impl Urgency {
    /// Returns the urgency of a request of `route`; requests of no organisation count as of the most urgent one.
    #[must_use]
    pub fn of(route: &route::Route, organisation: Option<&organisation::Organisation>) -> Self {
        Self { organisation: organisation.map_or(0, |o| o.priority), route: route.priority }
    }
}
