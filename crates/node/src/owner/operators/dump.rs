//! The dump: a process's state on request.

use std::collections;
use std::time::Instant;

use model::id;
use serde::Serialize;

use crate::common::store::client;
use crate::owner::event_loop::message;
use crate::owner::handle;
use crate::owner::stats;

/// The state of a node.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The node with its incarnation.
    pub node: String,
    /// Its region.
    pub region: id::Region,
    /// Its hall.
    pub hall: id::Hall,
    /// Whether it serves callers.
    pub is_ready: bool,
    /// Whether it is stopping.
    pub is_leaving: bool,
    /// The configuration it acts on.
    pub revision: u64,
    /// The table it acts on.
    pub epoch: u64,
    /// The lowest epoch whose shares it may still use.
    pub settled: u64,
    /// Nodes of the region's table, and those whose shares are still reserved.
    #[serde(rename = "seats")]
    pub listed: Vec<String>,
    /// Nodes that departed without proof that they ended.
    pub departed: Vec<String>,
    /// Nodes that are known.
    pub members: Vec<Member>,
    /// Upstreams of this region.
    pub upstreams: Vec<Upstream>,
    /// Services as the planner sees them.
    pub services: Vec<Service>,
    /// Splits as they stand, in per cent.
    pub splits: Vec<Split>,
    /// Requests.
    pub requests: Requests,
    /// Calls to the store.
    pub store: client::Counts,
    /// Figures of the callers' server.
    pub callers: stats::Figures,
}

/// A known node.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// The node with its incarnation.
    pub node: String,
    /// Its region.
    pub region: id::Region,
    /// Whether it may be given work.
    pub is_alive: bool,
    /// Whether it is stopping.
    pub is_leaving: bool,
    /// Milliseconds since it was last seen.
    pub silent_ms: u128,
    /// The configuration it acts on.
    pub revision: u64,
    /// The table it acts on.
    pub epoch: u64,
    /// The lowest epoch whose shares it may still use.
    pub settled: u64,
}

/// One upstream as this node sees it.
#[derive(Clone, Debug, Serialize)]
pub struct Upstream {
    /// The service and the upstream.
    pub upstream: String,
    /// Its owner.
    #[serde(rename = "home")]
    pub owner: Option<String>,
    /// Slots it has.
    pub slots: u32,
    /// Slots this node may use by itself.
    pub usable: u32,
    /// Slots that others granted to this node.
    #[serde(rename = "borrowed")]
    pub held: u32,
    /// Slots that this node granted.
    #[serde(rename = "lent")]
    pub granted: u32,
    /// Slots that new work may use now.
    pub limit: u32,
    /// Slots in use.
    pub in_flight: u32,
    /// Whether a drain or the VM list keeps new work away.
    pub is_drained: bool,
    /// Whether its health allows new work.
    pub is_usable: bool,
    /// Usual time of an answer, in milliseconds.
    pub usual_ms: Option<f64>,
}

/// One service as the planner sees it.
#[derive(Clone, Debug, Serialize)]
pub struct Service {
    /// The service.
    pub service: id::Service,
    /// Requests that wait here.
    pub queued: usize,
    /// Usable slots by region.
    pub capacities: collections::BTreeMap<id::Region, f64>,
    /// Slots in use by region, waiting requests included.
    pub in_use: collections::BTreeMap<id::Region, f64>,
    /// Requests a second by place.
    pub rates: collections::BTreeMap<id::Place, f64>,
}

/// One split.
#[derive(Clone, Debug, Serialize)]
pub struct Split {
    /// The service.
    pub service: id::Service,
    /// The place.
    pub place: id::Place,
    /// Per cent by region.
    pub shares: collections::BTreeMap<id::Region, f64>,
}

/// Requests in this process.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Requests {
    /// Out at owners.
    pub routed: usize,
    /// Running or waiting at this owner.
    pub at_home: usize,
    /// Waiting for a decision.
    pub undecided: usize,
    /// Tickets in use.
    pub tickets: usize,
    /// Asks in their ring.
    pub asks: usize,
    /// Releases in their ring.
    pub releases: usize,
    /// Asks refused because a bound was reached.
    pub refused: u64,
    /// Heartbeats and proposals dropped because a ring was full.
    pub dropped: u64,
}

impl Dump {
    /// Makes the dump of a state.
    #[must_use]
    pub fn new(
        state: &message::State<'_>,
        pressure: handle::Pressure,
        store: client::Counts,
        callers: stats::Figures,
    ) -> Self {
        let core = state.core;
        let me = &core.me;
        let now = state.now;
        let table = core.tables.get(&me.region);
        let listed = table.into_iter().flat_map(|t| &t.listed).map(|s| s.key.to_string());
        let departed = table.into_iter().flat_map(|t| &t.departed).map(|d| d.key.to_string());
        Self {
            node: me.key.to_string(),
            region: me.region.clone(),
            hall: me.hall.clone(),
            is_ready: core.is_ready(now),
            is_leaving: me.is_leaving,
            revision: me.revision.0,
            epoch: me.epoch.0,
            settled: me.settled.0,
            listed: listed.collect(),
            departed: departed.collect(),
            members: members(core, now),
            upstreams: upstreams(core, now),
            services: services(core, now),
            splits: splits(core),
            requests: Requests::new(state, pressure),
            store,
            callers,
        }
    }
}

impl Requests {
    fn new(state: &message::State<'_>, pressure: handle::Pressure) -> Self {
        Self {
            routed: state.core.router.load(),
            at_home: state.core.owner.load(),
            undecided: state.waiting,
            tickets: state.tickets,
            asks: pressure.asks,
            releases: pressure.releases,
            refused: pressure.refused,
            dropped: state.dropped,
        }
    }
}

fn members(core: &steer::ownership::core::Core, now: Instant) -> Vec<Member> {
    let member = |known: &steer::ownership::members::Known| Member {
        node: known.member.key.to_string(),
        region: known.member.region.clone(),
        is_alive: core.is_alive(&known.member.key, now),
        is_leaving: known.member.is_leaving,
        silent_ms: now.saturating_duration_since(known.last_seen).as_millis(),
        revision: known.member.revision.0,
        epoch: known.member.epoch.0,
        settled: known.member.settled.0,
    };
    core.members.iter().map(member).collect()
}

fn upstreams(core: &steer::ownership::core::Core, now: Instant) -> Vec<Upstream> {
    let upstream =
        |(key, u): (&model::upstream::Key, &steer::ownership::owned::Upstream)| Upstream {
            upstream: key.to_string(),
            owner: u.ledger.allotment.owner().map(ToString::to_string),
            slots: u.ledger.slots,
            usable: u.ledger.allotment.usable,
            held: u.ledger.held_slots(now),
            granted: u.ledger.granted_slots(now),
            limit: u.limit(now),
            in_flight: u.ledger.in_flight(),
            is_drained: u.is_drained,
            is_usable: u.health.is_usable(now),
            usual_ms: u.slow_start.latency().seconds().map(|seconds| seconds * 1_000.0),
        };
    core.owner.upstreams.iter().map(upstream).collect()
}

fn services(core: &steer::ownership::core::Core, now: Instant) -> Vec<Service> {
    let service = |(name, measured): (id::Service, steer::ownership::router::Measured)| Service {
        queued: core.owner.queue_len(&name),
        service: name,
        capacities: measured.capacities,
        in_use: measured.in_use,
        rates: measured.rates,
    };
    core.measured(now).into_iter().map(service).collect()
}

fn splits(core: &steer::ownership::core::Core) -> Vec<Split> {
    let per_cent = |share: u32| f64::from(share) / 10_000.0;
    let split = |position: steer::ownership::heartbeat::Position| Split {
        shares: position.split.parts().map(|(r, s)| (r.clone(), per_cent(s))).collect(),
        service: position.service,
        place: position.place,
    };
    core.router.positions().map(split).collect()
}
