//! Settings of a gateway, read from a YAML file.
//!
//! Owns their names and rules; relies on [`settings`] to read the file.

use std::collections;
use std::net;
use std::path;
use std::time::Duration;

use model::bounds;
use model::document;
use model::duration;
use model::id;
use serde::{Deserialize, Serialize};
use steer::dispatch::region::demand;
use steer::dispatch::reservation;
use steer::dispatch::slots;

use crate::common::logging;
use crate::common::settings;
use crate::gateway::dialect;

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Always `gateway`; the settings of an owner have no such field.
    pub role: Role,
    /// The node's name, the same after a restart.
    pub node: id::Node,
    /// Its region.
    pub region: id::Region,
    /// Its hall.
    pub hall: id::Hall,
    /// All halls with their regions.
    pub halls: collections::BTreeMap<id::Hall, id::Region>,
    /// Where it listens.
    pub listen: Listen,
    /// Nodes to ask first, by their addresses for peers; they may be stale.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// The platform's store; configuration and upstreams come from there.
    #[serde(default)]
    pub store: Option<net::SocketAddr>,
    /// The store of yokespoke's own declarations; they come from there instead.
    #[serde(default)]
    pub declarations: Option<net::SocketAddr>,
    /// The processor that its VM gives it.
    #[serde(default)]
    pub processor: Processor,
    /// Bounds of the deployment.
    #[serde(default)]
    pub bounds: Bounds,
    /// Whether splits between regions follow the demand of each region.
    #[serde(default)]
    pub demand_split: DemandSplit,
    /// When requests wait for slots of upstreams.
    #[serde(default)]
    pub slots: Slots,
    /// Whether refused callers are promised room for their return.
    #[serde(default)]
    pub reservations: reservation::Mode,
    /// What is logged.
    #[serde(default)]
    pub log: logging::Level,
}

/// Whether splits between regions follow the demand of each region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DemandSplit {
    /// Where the regions' demand differs by more than a threshold and can be forecast.
    Auto,
    /// Wherever the demand of all regions is known.
    On,
    /// Nowhere: demand is not reported, and equal demand is assumed.
    #[default]
    Off,
}

impl From<DemandSplit> for demand::Mode {
    fn from(setting: DemandSplit) -> Self {
        match setting {
            DemandSplit::Auto => Self::Auto,
            DemandSplit::On => Self::On,
            DemandSplit::Off => Self::Off,
        }
    }
}

/// When requests wait for slots of upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Slots {
    /// At services whose requests are of several urgencies.
    Auto,
    /// At all services.
    On,
    /// At none; this node grants no slots either.
    #[default]
    Off,
}

impl Slots {
    /// Returns the mode of the dispatcher.
    #[must_use]
    pub fn mode(self) -> slots::Mode {
        match self {
            Self::Auto => slots::Mode::Auto,
            Self::On => slots::Mode::On,
            Self::Off => slots::Mode::Off,
        }
    }
}

/// Where configuration and upstreams come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Platform(net::SocketAddr),
    /// Yokespoke's own declarations.
    Declarations(net::SocketAddr),
}

impl Source {
    /// Returns the headers that callers and upstreams use.
    #[must_use]
    pub fn dialect(self) -> dialect::Dialect {
        match self {
            Self::Platform(_) => dialect::Dialect::Platform,
            Self::Declarations(_) => dialect::Dialect::Own,
        }
    }
}

/// Marks the settings of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// An entry node that sends requests straight to upstreams.
    Gateway,
}

/// The addresses on which a gateway listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers' requests.
    pub callers: net::SocketAddr,
    /// For the readiness check.
    pub ready: net::SocketAddr,
    /// For look-ups.
    pub directory: net::SocketAddr,
    /// For other nodes, metrics and the state dump; TCP and UDP.
    pub peers: net::SocketAddr,
}

/// The processor of a VM; a whole core by default.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Processor {
    /// Cores, by their speed.
    pub cores: f64,
    /// Share of them, from 0 to 1.
    pub share: f64,
}

impl Default for Processor {
    fn default() -> Self {
        Self { cores: 1.0, share: 1.0 }
    }
}

impl Processor {
    /// Returns it in thousandths of a core, at least one.
    #[must_use]
    pub fn capacity(self) -> u32 {
        let thousandths = self.cores * self.share * 1_000.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "checked to be positive; a number beyond the type becomes its greatest"
        )]
        let capacity = thousandths.round() as u32;
        capacity.max(1)
    }
}

/// Bounds of the deployment; what is left out or empty takes its default.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Time without disruption after which a node counts as in touch again.
    #[serde(deserialize_with = "duration::optional")]
    contact: Option<Duration>,
    /// Longest time for which an upstream may get new work after its leaving is known.
    #[serde(deserialize_with = "duration::optional")]
    drain: Option<Duration>,
    /// Time from a planned stop to the kill.
    #[serde(deserialize_with = "duration::optional")]
    grace: Option<Duration>,
    /// Longest time for which callers may cache a look-up.
    #[serde(deserialize_with = "duration::optional")]
    lookup_cache: Option<Duration>,
    /// Length of the window in which retries are counted.
    #[serde(deserialize_with = "duration::optional")]
    retry_window: Option<Duration>,
    /// Retries allowed for each request, over the fleet.
    retry_ratio: Option<f64>,
    /// Retries allowed beside those, over the fleet and in one window.
    retry_slack: Option<f64>,
    /// Greatest share of a region's requests that may change region within two seconds.
    greatest_shift: Option<f64>,
    /// Requests over its limit that an organisation may have, over the fleet.
    quota_slack: Option<f64>,
    /// Share of a service's requests that a version may get before it is known to be good.
    expose_share: Option<f64>,
    /// Requests that it may get beyond that share, over the fleet.
    expose_slack: Option<f64>,
    /// Requests that a cold upstream may get within one second, as a multiple of its cold rate.
    cold_overage: Option<f64>,
    /// Requests that it may get within that second beyond those.
    cold_slack: Option<f64>,
    /// Longest time for which a response without a length may be passed on.
    #[serde(deserialize_with = "duration::optional")]
    unsized_response: Option<Duration>,
}

/// The one field by which settings of a gateway are recognised.
#[derive(Deserialize)]
struct Kind {
    role: Option<Role>,
}

impl Settings {
    /// Returns whether `text` holds settings of a gateway.
    #[must_use]
    pub fn is_gateway(text: &str) -> bool {
        serde_yaml_ng::from_str::<Kind>(text).is_ok_and(|kind| kind.role.is_some())
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails with the file, the line and the field at fault.
    pub fn read(file: &path::Path) -> anyhow::Result<Self> {
        settings::read(file, Self::check)
    }

    /// Returns where configuration and upstreams come from; [`Settings::check`] wants exactly one.
    #[must_use]
    pub fn source(&self) -> Source {
        match (self.store, self.declarations) {
            (_, Some(declarations)) => Source::Declarations(declarations),
            (Some(store), None) => Source::Platform(store),
            (None, None) => Source::Platform(net::SocketAddr::from(([0, 0, 0, 0], 0))),
        }
    }

    /// Returns the deployment's bounds, with defaults for what is left out.
    #[must_use]
    pub fn bounds(&self) -> bounds::Bounds {
        let default = bounds::Bounds::default();
        let given = &self.bounds;
        bounds::Bounds {
            contact: given.contact.unwrap_or(default.contact),
            drain: given.drain.unwrap_or(default.drain),
            grace: given.grace.unwrap_or(default.grace),
            lookup_cache: given.lookup_cache.unwrap_or(default.lookup_cache),
            retry_window: given.retry_window.unwrap_or(default.retry_window),
            retry_ratio: given.retry_ratio.unwrap_or(default.retry_ratio),
            retry_slack: given.retry_slack.unwrap_or(default.retry_slack),
            greatest_shift: given.greatest_shift.unwrap_or(default.greatest_shift),
            quota_slack: given.quota_slack.unwrap_or(default.quota_slack),
            expose_share: given.expose_share.unwrap_or(default.expose_share),
            expose_slack: given.expose_slack.unwrap_or(default.expose_slack),
            cold_overage: given.cold_overage.unwrap_or(default.cold_overage),
            cold_slack: given.cold_slack.unwrap_or(default.cold_slack),
            unsized_response: given.unsized_response.unwrap_or(default.unsized_response),
        }
    }

    /// Checks what the types do not say.
    ///
    /// # Errors
    ///
    /// Fails at the first field that breaks a rule.
    pub fn check(&self, file: &str) -> Result<(), document::Error> {
        self.check_source(file)?;
        self.check_place(file)?;
        check_processor(self.processor, file)?;
        check_bounds(&self.bounds(), file)
    }

    fn check_source(&self, file: &str) -> Result<(), document::Error> {
        match self.store.is_some() == self.declarations.is_some() {
            true => {
                Err(settings::fault(file, "store", "expected either `store` or `declarations`"))
            }
            false => Ok(()),
        }
    }

    fn check_place(&self, file: &str) -> Result<(), document::Error> {
        match self.halls.get(&self.hall) {
            Some(region) if *region == self.region => Ok(()),
            Some(region) => {
                let message = format!("expected {region}, the region of hall {}", self.hall);
                Err(settings::fault(file, "region", message))
            }
            None => {
                let message = format!("hall {} is missing", self.hall);
                Err(settings::fault(file, "halls", message))
            }
        }
    }
}

fn check_processor(processor: Processor, file: &str) -> Result<(), document::Error> {
    let fields =
        [("processor.cores", processor.cores, f64::MAX), ("processor.share", processor.share, 1.0)];
    for (field, value, most) in fields {
        if !(value > 0.0 && value <= most) {
            return Err(settings::fault(file, field, format!("{value} is out of range")));
        }
    }
    Ok(())
}

fn check_bounds(bounds: &bounds::Bounds, file: &str) -> Result<(), document::Error> {
    let times = [
        ("bounds.grace", bounds.grace),
        ("bounds.lookup_cache", bounds.lookup_cache),
        ("bounds.retry_window", bounds.retry_window),
        ("bounds.unsized_response", bounds.unsized_response),
    ];
    for (field, time) in times {
        if time.is_zero() {
            return Err(settings::fault(file, field, "expected more than 0s"));
        }
    }
    let shares = [
        ("bounds.retry_ratio", bounds.retry_ratio, f64::INFINITY),
        ("bounds.retry_slack", bounds.retry_slack, f64::INFINITY),
        ("bounds.greatest_shift", bounds.greatest_shift, 1.0),
        ("bounds.quota_slack", bounds.quota_slack, f64::INFINITY),
        ("bounds.expose_share", bounds.expose_share, 1.0),
        ("bounds.expose_slack", bounds.expose_slack, f64::INFINITY),
        ("bounds.cold_overage", bounds.cold_overage, f64::INFINITY),
        ("bounds.cold_slack", bounds.cold_slack, f64::INFINITY),
    ];
    for (field, value, most) in shares {
        if !(0.0..=most).contains(&value) {
            return Err(settings::fault(file, field, format!("{value} is out of range")));
        }
    }
    Ok(())
}
