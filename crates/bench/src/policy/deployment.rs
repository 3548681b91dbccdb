//! The two deployments, read from `examples/`.

use std::time::Duration;

use model::cap;
use model::document;
use model::id;
use model::place;
use model::resource;
use model::service;

/// A deployment with the service that is measured.
#[derive(Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// The service.
    pub service: service::Service,
    /// Its cap, longer than in the example, as an operator would set it.
    pub cap: cap::Cap,
    /// One place for each region, nearest to it.
    pub places: Vec<place::Place>,
    /// Its regions.
    pub regions: Vec<id::Region>,
    /// One-way delay between a client and its nearest region.
    pub client: Duration,
    /// One-way delay between halls.
    pub hall: Duration,
    /// One-way delay between regions.
    pub region: Duration,
}

impl Deployment {
    /// Reads the lost-and-found registry.
    ///
    /// # Errors
    ///
    /// Fails when its declarations are malformed.
    pub fn diagne() -> anyhow::Result<Self> {
        let services = include_str!("../../../../examples/diagne/services.yaml");
        let places = include_str!("../../../../examples/diagne/places.yaml");
        let delays = [3_000, 1_000, 12_000].map(Duration::from_micros);
        Self::read("diagne", "catalogue", services, places, delays)
    }

    /// Reads the conference bridge.
    ///
    /// # Errors
    ///
    /// Fails when its declarations are malformed.
    pub fn taf() -> anyhow::Result<Self> {
        let services = include_str!("../../../../examples/taf/services.yaml");
        let places = include_str!("../../../../examples/taf/places.yaml");
        let delays = [1_000, 500, 35_000].map(Duration::from_micros);
        Self::read("taf", "rhestr", services, places, delays)
    }

    fn read(
        name: &'static str,
        service: &str,
        services: &str,
        places: &str,
        delays: [Duration; 3],
    ) -> anyhow::Result<Self> {
        let all = document::read_resources("services.yaml", services)?;
        let found = all.into_iter().find_map(|resource| match resource {
            resource::Resource::Service(found) if found.name.as_str() == service => Some(found),
            _ => None,
        });
        let service = found.ok_or_else(|| anyhow::anyhow!("no service {service}"))?;
        let mut kept: Vec<place::Place> = Vec::new();
        for resource in document::read_resources("places.yaml", places)? {
            let resource::Resource::Place(place) = resource else { continue };
            let nearest = |p: &place::Place| p.nearest().first().map(|l| l.region.clone());
            if kept.iter().all(|other| nearest(other) != nearest(&place)) {
                kept.push(place);
            }
        }
        let mut regions: Vec<id::Region> = Vec::new();
        for upstream in &service.upstreams {
            if !regions.contains(&upstream.region) {
                regions.push(upstream.region.clone());
            }
        }
        let cap = cap::Cap {
            name: id::Cap::new("pace"),
            service: service.name.clone(),
            share: model::fraction::Fraction::from_percent(25),
            window: Duration::from_secs(2),
            lost_share: Some(model::fraction::Fraction::ONE),
        };
        let [client, hall, region] = delays;
        Ok(Self { name, service, cap, places: kept, regions, client, hall, region })
    }

    /// Returns the slots of a region.
    #[must_use]
    pub fn slots(&self, region: &id::Region) -> u32 {
        let of_region = self.service.upstreams.iter().filter(|u| u.region == *region);
        of_region.map(|u| u.slots).sum()
    }
}
