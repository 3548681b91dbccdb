//! Homes: the regions that may serve a request, by its route and by its organisation.
//!
//! Owns nothing. Where both name regions, both bind: a request of an organisation goes to a region that its route may
//! use too, or nowhere.

use std::borrow;

use model::id;
use model::organisation;
use model::route;

/// Regions that may serve a request; all when empty.
pub type Homes<'a> = borrow::Cow<'a, [id::Region]>;

/// Returns the regions that may serve a request; none when no region may.
#[must_use]
pub fn of<'a>(
    route: &'a route::Route,
    organisation: Option<&'a organisation::Organisation>,
) -> Option<Homes<'a>> {
    let of_route = route.home_regions.as_slice();
    let of_organisation = organisation.map_or(&[][..], |o| o.home_regions.as_slice());
    match (of_route, of_organisation) {
        (homes, []) | ([], homes) => Some(borrow::Cow::Borrowed(homes)),
        (first, second) => {
            let both = first.iter().filter(|region| second.contains(region)).cloned();
            let both: Vec<id::Region> = both.collect();
            (!both.is_empty()).then_some(borrow::Cow::Owned(both))
        }
    }
}
