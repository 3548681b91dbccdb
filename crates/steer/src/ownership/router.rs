//! The duty of an entry: which region, by the split, and which owner there, by its load.

use std::collections;
use std::time::{Duration, Instant, SystemTime};

use model::fraction;
use model::id;
use model::member;
use model::snapshot;
use model::table;
use model::verdict;

use crate::common::ramp;
use crate::common::split;
use crate::ownership::action;
use crate::ownership::budget;
use crate::ownership::heartbeat;
use crate::ownership::owners;
use crate::ownership::planner;
use crate::ownership::request;
use crate::ownership::retry;
use crate::ownership::rotation;
use crate::ownership::summaries;

/// Usual time of an answer before one was measured, in seconds.
const FIRST_GUESS: f64 = 0.05;

/// Homes of its own region that an entry asks for a slot that is free at once.
const PROBES: usize = 3;

/// When a caller may ask again after no owner could be reached: nodes are suspected, and regional
/// tables rewritten, within about this time.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// The entry's duty.
#[derive(Debug, Default)]
pub struct Router {
    rotations: collections::BTreeMap<(id::Service, id::Place), rotation::Rotation>,
    owners: collections::BTreeMap<(id::Service, id::Region), Vec<owners::Owner>>,
    /// What owners and regions told of themselves.
    pub summaries: summaries::Summaries,
    routed: collections::HashMap<request::Id, Routed>,
    budgets: collections::BTreeMap<id::Service, budget::Budget>,
    outstanding: collections::BTreeMap<(id::Service, id::Node), u32>,
    told: collections::BTreeMap<(id::Service, id::Node), Told>,
}

/// What an owner told last of its use, less what this entry had out there.
#[derive(Clone, Copy, Debug)]
struct Told {
    others: u32,
    usable: u32,
    at: Instant,
}

/// A request that is out at an owner.
#[derive(Debug)]
struct Routed {
    service: id::Service,
    region: Option<id::Region>,
    owner: Option<id::Node>,
    tried: Vec<id::Node>,
    /// Homes that had no slot free at once.
    busy: usize,
    /// Whether any try so far may have run.
    so_far: verdict::Verdict,
}

/// A request that wants a region and an owner.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The request.
    pub request: request::Id,
    /// The service.
    pub service: id::Service,
    /// The caller's place.
    pub place: id::Place,
    /// The region, when another entry has chosen it.
    pub region: Option<id::Region>,
}

/// What the planner of one service works from, for reading and for the dump.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// Usable slots by region.
    pub capacities: collections::BTreeMap<id::Region, f64>,
    /// Slots in use by region, waiting requests included.
    pub in_use: collections::BTreeMap<id::Region, f64>,
    /// Requests a second by place.
    pub rates: collections::BTreeMap<id::Place, f64>,
}

impl Router {
    /// Takes in an owner's summary.
    pub fn hear(&mut self, summary: &heartbeat::Summary, now: Instant) {
        if self.summaries.hear(summary, now) {
            let busy = summary.in_flight + summary.queued;
            let usage = heartbeat::Usage { busy, usable: summary.usable };
            self.used(&summary.key.node, &summary.service, usage, now);
        }
    }

    /// Finds the owners of every service anew.
    pub fn find_owners(
        &mut self,
        snapshot: &snapshot::Snapshot,
        tables: &collections::BTreeMap<id::Region, std::sync::Arc<table::Table>>,
        is_alive: &dyn Fn(&member::Key) -> bool,
    ) {
        self.owners.clear();
        for stored in snapshot.services.values() {
            for (region, table) in tables {
                let owners = owners::find(table, &stored.spec, is_alive);
                if !owners.is_empty() {
                    self.owners.insert((stored.spec.name.clone(), region.clone()), owners);
                }
            }
        }
    }

    /// Decides where a request goes.
    pub fn route(&mut self, ask: Ask, view: &View<'_>, out: &mut Vec<action::Action>) {
        let region = match ask.region {
            Some(region) => Some(region),
            None => {
                self.budgets.entry(ask.service.clone()).or_default().earn();
                self.next_region(&ask.service, &ask.place, view)
            }
        };
        let routed = Routed {
            service: ask.service,
            region,
            owner: None,
            tried: Vec::new(),
            busy: 0,
            so_far: verdict::Verdict::NotRun,
        };
        self.send(ask.request, routed, view, out);
    }

    /// Notes how much of its slots a service uses at an owner, as it told with an answer.
    pub fn used(
        &mut self,
        owner: &id::Node,
        service: &id::Service,
        usage: heartbeat::Usage,
        now: Instant,
    ) {
        let own = self.outstanding(service, owner);
        let others = usage.busy.saturating_sub(own);
        let key = (service.clone(), owner.clone());
        self.told.insert(key, Told { others, usable: usage.usable, at: now });
    }

    /// Returns the owner that a request was sent to last.
    #[must_use]
    pub fn owner_of(&self, request: request::Id) -> Option<&id::Node> {
        self.routed.get(&request).and_then(|routed| routed.owner.as_ref())
    }

    /// Notes that a routed request is over.
    pub fn returned(&mut self, request: request::Id) {
        self.take(request);
    }

    /// Routes a request again that failed, in the region its split gave it, or refuses it.
    pub fn failed(
        &mut self,
        request: request::Id,
        failure: verdict::Failure,
        repetition: model::service::Repetition,
        view: &View<'_>,
        out: &mut Vec<action::Action>,
    ) {
        let Some(mut routed) = self.take(request) else { return };
        let last = failure;
        let failure = last.after_tries(routed.so_far);
        routed.so_far = failure.verdict;
        routed.busy += usize::from(failure.reason == verdict::Reason::Busy);
        let tries = u32::try_from(routed.tried.len() - routed.busy).unwrap_or(u32::MAX);
        let budget = self.budgets.entry(routed.service.clone()).or_default();
        match retry::may_retry(last, repetition, tries, budget) {
            true => self.send(request, routed, view, out),
            false => out.push(action::Action::Refuse { request, failure }),
        }
    }

    /// Plans every rotation's target and moves its split toward it.
    pub fn plan(&mut self, view: &View<'_>) {
        for stored in view.snapshot.services.values() {
            let measured = self.measure(&stored.spec, view);
            let limit = limit(view, &stored.spec);
            let demands = demands(&stored.spec, &measured, view);
            for (place, target) in planner::plan(&measured.capacities, &demands) {
                let key = (stored.spec.name.clone(), place);
                let rotation = self
                    .rotations
                    .entry(key)
                    .or_insert_with(|| rotation::Rotation::new(target.clone()));
                rotation.advance(&target, limit, view.now);
            }
        }
        let known =
            |(service, _): &(id::Service, id::Place)| view.snapshot.services.contains_key(service);
        self.rotations.retain(|key, _| known(key));
        self.summaries.forget(view.now);
        self.outstanding.retain(|_, count| *count > 0);
        self.told
            .retain(|_, told| view.now.saturating_duration_since(told.at) < summaries::OWNER_LIFE);
    }

    /// Starts a rotation where a peer's stands; one that has a position already keeps it.
    pub fn adopt(&mut self, position: &heartbeat::Position) {
        let key = (position.service.clone(), position.place.clone());
        let start = || rotation::Rotation::new(position.split.clone());
        self.rotations.entry(key).or_insert_with(start);
    }

    /// Returns where every split stands.
    pub fn positions(&self) -> impl Iterator<Item = heartbeat::Position> {
        self.rotations.iter().map(|((service, place), rotation)| heartbeat::Position {
            service: service.clone(),
            place: place.clone(),
            split: rotation.position().clone(),
        })
    }

    /// Returns how many requests are out at owners.
    #[must_use]
    pub fn load(&self) -> usize {
        self.routed.len()
    }

    /// Returns what is measured of a service.
    #[must_use]
    pub fn measure(&self, service: &model::service::Service, view: &View<'_>) -> Measured {
        let mut measured = Measured::default();
        for upstream in &service.upstreams {
            measured.capacities.entry(upstream.region.clone()).or_insert(0.0);
        }
        let mut reported: collections::BTreeSet<&id::Region> = collections::BTreeSet::new();
        for (summary, is_fresh) in self.summaries.regions_of(&service.name, view.now) {
            for (place, rate) in &summary.rates {
                *measured.rates.entry(place.clone()).or_insert(0.0) += f64::from(*rate) / 1_000.0;
            }
            if !is_fresh {
                continue;
            }
            reported.insert(&summary.region);
            let usable = f64::from(summary.usable);
            measured.capacities.insert(summary.region.clone(), usable);
            let in_use = f64::from(summary.in_flight + summary.queued);
            measured.in_use.insert(summary.region.clone(), in_use);
        }
        for (region, capacity) in &mut measured.capacities {
            let declared = declared_slots(service, region, view);
            let has_owners = self.owners.contains_key(&(service.name.clone(), region.clone()));
            match (reported.contains(region), has_owners) {
                (true, true) => *capacity = capacity.min(declared),
                // Nothing was said yet, as when a fleet starts: the declaration stands.
                (false, true) => *capacity = declared,
                (_, false) => *capacity = 0.0,
            }
        }
        measured
    }

    fn next_region(
        &mut self,
        service: &id::Service,
        place: &id::Place,
        view: &View<'_>,
    ) -> Option<id::Region> {
        let key = (service.clone(), place.clone());
        let first = || rotation::Rotation::new(first_position(service, place, view));
        self.rotations.entry(key).or_insert_with(first).next_region()
    }

    fn send(
        &mut self,
        request: request::Id,
        mut routed: Routed,
        view: &View<'_>,
        out: &mut Vec<action::Action>,
    ) {
        let Some((region, owner, may_wait)) = self.pick(&routed, view) else {
            let failure = verdict::Failure::not_run(verdict::Reason::NoRegion).after(RETRY_AFTER);
            let failure = failure.after_tries(routed.so_far);
            return out.push(action::Action::Refuse { request, failure });
        };
        let node = &owner.key.node;
        *self.outstanding.entry((routed.service.clone(), node.clone())).or_insert(0) += 1;
        routed.owner = Some(node.clone());
        routed.tried.push(node.clone());
        self.routed.insert(request, routed);
        let owners::Owner { key: owner, peers, .. } = owner;
        out.push(action::Action::Forward { request, region, owner, peers, may_wait });
    }

    fn take(&mut self, request: request::Id) -> Option<Routed> {
        let routed = self.routed.remove(&request)?;
        if let Some(owner) = &routed.owner {
            let key = (routed.service.clone(), owner.clone());
            if let Some(count) = self.outstanding.get_mut(&key) {
                *count = count.saturating_sub(1);
            }
        }
        Some(routed)
    }

    /// Returns the owner in the request's region that has the least work for its slots, and whether
    /// the request may wait there.
    ///
    /// Homes that were not tried come first. In its own region an entry asks up to [`PROBES`] owners
    /// for a slot that is free at once before it lets the request wait at the least loaded. Another
    /// region is too far for that; there the node it is sent to does so.
    fn pick(&self, routed: &Routed, view: &View<'_>) -> Option<(id::Region, owners::Owner, bool)> {
        let region = routed.region.clone()?;
        let owners = self.owners.get(&(routed.service.clone(), region.clone()))?;
        let may_wait = region != *view.region || routed.busy >= PROBES.min(owners.len() - 1);
        let was_tried = |owner: &owners::Owner| {
            let is_waiting = may_wait && routed.busy > 0;
            !is_waiting && routed.tried.contains(&owner.key.node)
        };
        let cost = |owner: &owners::Owner| self.cost(&routed.service, owner, view.now);
        let best = owners.iter().min_by(|a, b| {
            was_tried(a).cmp(&was_tried(b)).then_with(|| cost(a).total_cmp(&cost(b)))
        })?;
        Some((region, best.clone(), may_wait))
    }

    /// Returns the use that one more request would bring an owner to.
    ///
    /// What this entry sent is counted exactly; what others sent is known from the last summary.
    fn cost(&self, service: &id::Service, owner: &owners::Owner, now: Instant) -> f64 {
        let key = (service.clone(), owner.key.node.clone());
        let own = self.outstanding.get(&key).copied().unwrap_or(0);
        let told = self.told.get(&key);
        let fresh = told.filter(|t| now.saturating_duration_since(t.at) < summaries::OWNER_LIFE);
        let (others, usable) = fresh.map_or((0, owner.weight), |t| (t.others, t.usable));
        f64::from(own + others + 1) / f64::from(usable).max(0.1)
    }

    fn outstanding(&self, service: &id::Service, node: &id::Node) -> u32 {
        self.outstanding.get(&(service.clone(), node.clone())).copied().unwrap_or(0)
    }
}

/// What planning looks at.
pub struct View<'a> {
    /// The configuration.
    pub snapshot: &'a snapshot::Snapshot,
    /// Whether a node may be given work.
    pub is_alive: &'a dyn Fn(&member::Key) -> bool,
    /// Whether all nodes of a region have been silent for so long that it counts as lost.
    pub is_lost: &'a dyn Fn(&id::Region) -> bool,
    /// The region of this node.
    pub region: &'a id::Region,
    /// The time.
    pub now: Instant,
    /// The time of day, for drains.
    pub wall: SystemTime,
}

impl std::fmt::Debug for View<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("View").field("now", &self.now).finish_non_exhaustive()
    }
}

/// Returns the slots that a region declares, less those that a drain takes soon.
///
/// A drain counts from as early before its start as its service's cap needs to move everything.
fn declared_slots(service: &model::service::Service, region: &id::Region, view: &View<'_>) -> f64 {
    let caps = view.snapshot.caps.values();
    let cap = caps.into_iter().find(|c| c.spec.service == service.name);
    let lead = cap.map_or(Duration::ZERO, |c| {
        // The ramp uses a little less than the cap, and plans once a heartbeat.
        c.spec.time_to_move(fraction::Fraction::ONE) + c.spec.window
    });
    let soon = |d: &model::drain::Drain| d.start <= view.wall + lead && view.wall < d.end;
    let drains: Vec<&model::drain::Drain> =
        view.snapshot.drains.values().map(|d| &*d.spec).filter(|d| soon(d)).collect();
    let in_region = service.upstreams.iter().filter(|u| u.region == *region);
    let kept = in_region.filter(|u| !drains.iter().any(|d| d.target.holds(u)));
    kept.map(|u| f64::from(u.slots)).sum()
}

/// Returns what each place asks of a service.
fn demands(
    service: &model::service::Service,
    measured: &Measured,
    view: &View<'_>,
) -> Vec<planner::Demand> {
    let rate: f64 = measured.rates.values().sum();
    let in_use: f64 = measured.in_use.values().sum();
    let seconds = if rate > 0.1 { (in_use / rate).max(0.001) } else { FIRST_GUESS };
    let demand = |place: &model::place::Place| {
        let served = place.nearest().into_iter().filter(|l| owners::serves(service, &l.region));
        let links = served.map(|link| {
            let limit = link.limit.map_or(f64::INFINITY, |limit| f64::from(limit) * seconds);
            (link.region.clone(), limit)
        });
        let rate = measured.rates.get(&place.name).copied().unwrap_or(0.0);
        planner::Demand { place: place.name.clone(), slots: rate * seconds, links: links.collect() }
    };
    view.snapshot.places.values().map(|stored| demand(&stored.spec)).collect()
}

/// Returns the limit that binds a service's splits now; while one of its regions is lost, the
/// cap's part for that holds.
fn limit(view: &View<'_>, service: &model::service::Service) -> Option<ramp::Limit> {
    let caps = view.snapshot.caps.values();
    let cap = caps.into_iter().find(|c| c.spec.service == service.name)?;
    let is_lost = service.upstreams.iter().any(|u| (view.is_lost)(&u.region));
    Some(ramp::Limit::of(&cap.spec, is_lost))
}

/// Returns where a rotation starts that neither planner nor peer has placed: the nearest region.
fn first_position(service: &id::Service, place: &id::Place, view: &View<'_>) -> split::Split {
    let Some(service) = view.snapshot.services.get(service) else {
        return split::Split::default();
    };
    let place = view.snapshot.places.get(place).map(|p| &p.spec);
    let nearest = place.into_iter().flat_map(|p| p.nearest()).map(|l| &l.region);
    let any = service.spec.upstreams.iter().map(|u| &u.region);
    let mut wished = nearest.chain([view.region]).chain(any);
    match wished.find(|region| owners::serves(&service.spec, region)) {
        Some(region) => split::Split::new(&[(region.clone(), 1.0)]),
        None => split::Split::default(),
    }
}
