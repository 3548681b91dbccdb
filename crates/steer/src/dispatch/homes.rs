//! Home regions: the regions that may serve a request, as configured for its route and organisation.
//!
//! Stateless. If both the route and the organisation name home regions, only regions named by both
//! may serve the request.

use std::borrow;

use model::id;
use model::organisation;
use model::route;

/// Regions that may serve a request; empty means all regions.
pub type Homes<'a> = borrow::Cow<'a, [id::Region]>;

/// Returns the regions that may serve a request, or `None` if the route and the organisation have no
/// home region in common.
#[must_use]
pub fn of<'a>(
    route: &'a route::Route,
    organisation: Option<&'a organisation::Organisation>,
) -> Option<Homes<'a>> {
    let of_route = route.home_regions.as_slice();
    let of_organisation = organisation.map_or(&[][..], |o| o.home_regions.as_slice());
    match (of_route, of_organisation) {
        (homes, []) | ([], homes) => Some(borrow::Cow::Borrowed(homes)),
        (route_homes, organisation_homes) => {
            let common =
                route_homes.iter().filter(|region| organisation_homes.contains(region)).cloned();
            let common: Vec<id::Region> = common.collect();
            (!common.is_empty()).then_some(borrow::Cow::Owned(common))
        }
    }
}
