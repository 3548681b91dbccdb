//! The examples of `examples/`, moved to loopback addresses.
//!
//! It owns the declarations and the load that the demo starts from; it relies on the model's reader.

use std::collections;
use std::net;
use std::time::Duration;

use model::cap;
use model::document;
use model::fraction;
use model::id;
use model::resource;
use model::service;

use crate::args;

/// Share of the slots that the demo's load keeps busy, when every region is up.
const USE: f64 = 0.5;

/// An example, ready to be started.
#[derive(Debug)]
pub struct Example {
    /// Its name.
    pub name: &'static str,
    /// Its declarations, with loopback addresses.
    pub resources: Vec<resource::Resource>,
    /// Its regions, with two halls each.
    pub regions: Vec<id::Region>,
    /// Where each place's callers send from.
    pub sources: Vec<Source>,
    /// What they ask for.
    pub loads: Vec<Load>,
}

/// The callers of one place.
#[derive(Clone, Debug)]
pub struct Source {
    /// The place.
    pub place: id::Place,
    /// The address they send from.
    pub from: net::IpAddr,
}

/// The load of one service.
#[derive(Clone, Debug)]
pub struct Load {
    /// The service.
    pub service: id::Service,
    /// Its host.
    pub host: String,
    /// The path of requests that must run at most once, if it has such.
    pub once: Option<String>,
    /// Usual time of a request at its upstreams, in milliseconds.
    pub time_ms: u32,
    /// Requests a second over all places.
    pub rate: f64,
}

const DIAGNE: [(&str, &str); 4] = [
    ("services.yaml", include_str!("../../../../../examples/diagne/services.yaml")),
    ("places.yaml", include_str!("../../../../../examples/diagne/places.yaml")),
    ("caps.yaml", include_str!("../../../../../examples/diagne/caps.yaml")),
    ("routes.yaml", include_str!("../../../../../examples/diagne/routes.yaml")),
];

const TAF: [(&str, &str); 4] = [
    ("services.yaml", include_str!("../../../../../examples/taf/services.yaml")),
    ("places.yaml", include_str!("../../../../../examples/taf/places.yaml")),
    ("caps.yaml", include_str!("../../../../../examples/taf/caps.yaml")),
    ("routes.yaml", include_str!("../../../../../examples/taf/routes.yaml")),
];

impl Example {
    /// Reads an example and moves it to loopback.
    ///
    /// # Errors
    ///
    /// Fails when the example is malformed.
    pub fn load(which: args::Example) -> anyhow::Result<Self> {
        let (name, files) = match which {
            args::Example::Diagne => ("diagne", DIAGNE),
            args::Example::Taf => ("taf", TAF),
        };
        let mut resources = Vec::new();
        for (file, text) in files {
            resources.extend(document::read_resources(file, text)?);
        }
        let mut example = Self {
            name,
            resources: Vec::new(),
            regions: Vec::new(),
            sources: Vec::new(),
            loads: Vec::new(),
        };
        let mut vms = Vms::default();
        for resource in resources {
            let moved = example.take(resource, &mut vms);
            example.resources.push(moved);
        }
        Ok(example)
    }

    /// Returns the declared services.
    pub fn services(&self) -> impl Iterator<Item = &service::Service> {
        self.resources.iter().filter_map(|resource| match resource {
            resource::Resource::Service(service) => Some(service),
            _ => None,
        })
    }

    /// Returns the declared caps.
    pub fn caps(&self) -> impl Iterator<Item = &cap::Cap> {
        self.resources.iter().filter_map(|resource| match resource {
            resource::Resource::Cap(cap) => Some(cap),
            _ => None,
        })
    }

    /// Returns the least time in which every cap lets all traffic move.
    pub fn time_to_move(&self) -> Duration {
        let whole = fraction::Fraction::ONE;
        self.caps().map(|cap| cap.time_to_move(whole)).max().unwrap_or_default()
    }

    /// Moves one resource, noting what the demo needs of it.
    fn take(&mut self, resource: resource::Resource, vms: &mut Vms) -> resource::Resource {
        match resource {
            resource::Resource::Service(mut service) => {
                for upstream in &mut service.upstreams {
                    upstream.address = vms.moved(upstream.address);
                    if !self.regions.contains(&upstream.region) {
                        self.regions.push(upstream.region.clone());
                    }
                }
                self.loads.push(load_of(&service, self.loads.len()));
                resource::Resource::Service(service)
            }
            resource::Resource::Place(mut place) => {
                let number = u8::try_from(self.sources.len() + 1).unwrap_or(u8::MAX);
                let block = net::Ipv4Addr::new(127, 10, number, 0);
                let from = net::Ipv4Addr::new(127, 10, number, 7).into();
                place.blocks = match ipnet::Ipv4Net::new(block, 24) {
                    Ok(block) => vec![ipnet::IpNet::V4(block)],
                    Err(_) => Vec::new(),
                };
                self.sources.push(Source { place: place.name.clone(), from });
                resource::Resource::Place(place)
            }
            other => other,
        }
    }
}

/// Loopback addresses that stand for VMs, in the order in which they are met.
#[derive(Debug, Default)]
struct Vms {
    moved: collections::BTreeMap<net::SocketAddr, net::SocketAddr>,
}

impl Vms {
    fn moved(&mut self, address: net::SocketAddr) -> net::SocketAddr {
        let number = self.moved.len();
        *self.moved.entry(address).or_insert_with(|| {
            let low = u8::try_from(number % 250 + 1).unwrap_or(1);
            let high = u8::try_from(number / 250 + 2).unwrap_or(2);
            (net::Ipv4Addr::new(127, 0, high, low), address.port()).into()
        })
    }
}

fn load_of(service: &service::Service, number: usize) -> Load {
    // Later services of the examples are slower, as photos and recordings are.
    let time_ms = 60 * u32::try_from(number + 1).unwrap_or(1);
    let slots: u32 = service.upstreams.iter().map(|u| u.slots).sum();
    Load {
        service: service.name.clone(),
        host: service.host.clone(),
        once: service.once.first().map(|pattern| pattern.path.clone()),
        time_ms,
        rate: USE * f64::from(slots) * 1_000.0 / f64::from(time_ms),
    }
}
