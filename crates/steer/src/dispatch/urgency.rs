//! Urgency of a request, by the configured priorities of its organisation and its route.

use model::organisation;
use model::route;

/// Urgency of a request: its organisation's priority, then its route's; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Priority of the organisation.
    pub organisation: u32,
    /// Priority of the route.
    pub route: u32,
}

impl Urgency {
    /// Returns the urgency of a request of `route`.
    ///
    /// Requests without an organisation are treated like those of the most urgent organisation.
    #[must_use]
    pub fn of(route: &route::Route, organisation: Option<&organisation::Organisation>) -> Self {
        Self { organisation: organisation.map_or(0, |o| o.priority), route: route.priority }
    }
}
