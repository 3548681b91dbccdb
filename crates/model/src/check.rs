//! Rules that an accepted configuration keeps, within a resource and across resources.

use std::collections;
use std::time::{Duration, SystemTime};

use crate::cap;
use crate::check_route;
use crate::drain;
use crate::fraction;
use crate::id;
use crate::place;
use crate::refusal;
use crate::service;
use crate::snapshot;
use crate::upstream;

/// Most upstreams one service may declare.
const MOST_UPSTREAMS: usize = 4096;

/// Most slots one upstream may declare.
const MOST_SLOTS: u32 = 4096;

/// Connections that a home may hold beside those in use: eight idle ones in each of two duties, one
/// for probes, and a few that are closing.
const SPARE_CONNECTIONS: u32 = 24;

/// Longest deadline a service may declare; homes wait that long after a hand-over in doubt.
pub const LONGEST_DEADLINE: Duration = Duration::from_secs(60);

/// What a check needs to know beside the declarations.
#[derive(Clone, Debug)]
pub struct Facts {
    /// The time of day.
    pub wall: SystemTime,
    /// Slots in use by each service in each region, as last measured.
    pub in_use: collections::BTreeMap<id::Service, Use>,
}

/// Slots in use by region.
pub type Use = collections::BTreeMap<id::Region, u32>;

impl Facts {
    /// Makes facts without any measurement.
    #[must_use]
    pub fn at(wall: SystemTime) -> Self {
        Self { wall, in_use: collections::BTreeMap::new() }
    }
}

/// Checks `next`, which is to follow `previous`.
///
/// # Errors
///
/// Refuses with every rule that does not hold.
pub fn check(
    next: &snapshot::Snapshot,
    previous: &snapshot::Snapshot,
    facts: &Facts,
) -> Result<(), refusal::Refusal> {
    let mut found = Findings::default();
    for stored in next.services.values() {
        check_service(&stored.spec, &mut found);
    }
    check_hosts(next, &mut found);
    for stored in next.places.values() {
        check_place(&stored.spec, &mut found);
    }
    check_blocks(next, &mut found);
    for stored in next.caps.values() {
        check_cap(&stored.spec, next, &mut found);
    }
    check_one_cap_a_service(next, &mut found);
    for stored in next.drains.values() {
        let changed =
            previous.drains.get(&stored.spec.name).map(|s| s.revision) != Some(stored.revision);
        check_drain(&stored.spec, next, facts, changed, &mut found);
    }
    for stored in next.routes.values() {
        check_route::check(&stored.spec, next, &mut found);
    }
    check_route::check_unique(next, &mut found);
    for stored in next.evacuations.values() {
        check_route::check_evacuation(&stored.spec, next, &mut found);
    }
    match found.problems.is_empty() {
        true => Ok(()),
        false => Err(refusal::Refusal::Invalid { problems: found.problems }),
    }
}

/// Problems found so far.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    problems: Vec<refusal::Problem>,
}

impl Findings {
    pub(crate) fn add(&mut self, resource: &str, field: &str, message: String) {
        self.problems.push(refusal::Problem {
            resource: resource.to_owned(),
            field: field.to_owned(),
            message,
        });
    }

    pub(crate) fn expect(&mut self, holds: bool, resource: &str, field: &str, message: &str) {
        if !holds {
            self.add(resource, field, message.to_owned());
        }
    }
}

pub(crate) const NAME_RULE: &str = "expected 1 to 63 letters, digits, `-`, `_` or `.`";

fn check_service(service: &service::Service, found: &mut Findings) {
    let who = format!("service {}", service.name);
    found.expect(id::is_valid(service.name.as_str()), &who, "name", NAME_RULE);
    let host_ok = !service.host.is_empty() && !service.host.contains([' ', '/', ':']);
    found.expect(host_ok, &who, "host", "expected a host name without port");
    let deadline_ok = !service.deadline.is_zero() && service.deadline <= LONGEST_DEADLINE;
    found.expect(deadline_ok, &who, "deadline", "expected more than 0s and at most 60s");
    found.expect(service.hold <= service.deadline, &who, "hold", "expected at most the deadline");
    let count = service.upstreams.len();
    found.expect(count <= MOST_UPSTREAMS, &who, "upstreams", "expected at most 4096 upstreams");
    let mut names = collections::BTreeSet::new();
    let mut addresses = collections::BTreeSet::new();
    for (index, upstream) in service.upstreams.iter().enumerate() {
        let field = format!("upstreams[{index}]");
        check_upstream(upstream, &who, &field, found);
        let fresh = names.insert(&upstream.name);
        found.expect(fresh, &who, &format!("{field}.name"), "expected a name of its own");
        let fresh = addresses.insert(upstream.address);
        found.expect(fresh, &who, &format!("{field}.address"), "expected an address of its own");
    }
    for (index, pattern) in service.once.iter().chain(&service.repeatable).enumerate() {
        let field = format!("patterns[{index}]");
        let ok = !pattern.method.is_empty() && pattern.path.starts_with('/');
        found.expect(ok, &who, &field, "expected a method and a path that starts with `/`");
    }
}

fn check_upstream(upstream: &upstream::Upstream, who: &str, field: &str, found: &mut Findings) {
    let names = [upstream.name.as_str(), upstream.region.as_str(), upstream.hall.as_str()];
    found.expect(names.iter().all(|n| id::is_valid(n)), who, field, NAME_RULE);
    let slots_ok = (1..=MOST_SLOTS).contains(&upstream.slots);
    found.expect(slots_ok, who, &format!("{field}.slots"), "expected 1 to 4096");
    let connections_ok = upstream.connections >= upstream.slots + SPARE_CONNECTIONS;
    found.expect(
        connections_ok,
        who,
        &format!("{field}.connections"),
        "expected at least 24 more connections than slots",
    );
}

fn check_hosts(next: &snapshot::Snapshot, found: &mut Findings) {
    let mut hosts = collections::BTreeMap::new();
    for stored in next.services.values() {
        let host = stored.spec.host.to_ascii_lowercase();
        if let Some(other) = hosts.insert(host, &stored.spec.name) {
            let who = format!("service {}", stored.spec.name);
            found.add(&who, "host", format!("service {other} has the same host"));
        }
    }
}

fn check_place(place: &place::Place, found: &mut Findings) {
    let who = format!("place {}", place.name);
    found.expect(id::is_valid(place.name.as_str()), &who, "name", NAME_RULE);
    found.expect(!place.blocks.is_empty(), &who, "blocks", "expected at least one client block");
    found.expect(!place.links.is_empty(), &who, "links", "expected at least one link");
    let mut regions = collections::BTreeSet::new();
    for (index, link) in place.links.iter().enumerate() {
        let field = format!("links[{index}]");
        let fresh = regions.insert(&link.region);
        found.expect(fresh, &who, &format!("{field}.region"), "expected one link to a region");
        let limit_ok = link.limit != Some(0);
        found.expect(limit_ok, &who, &format!("{field}.limit"), "expected more than 0 a second");
    }
}

fn check_blocks(next: &snapshot::Snapshot, found: &mut Findings) {
    let mut owners: collections::HashMap<ipnet::IpNet, &id::Place> = collections::HashMap::new();
    for stored in next.places.values() {
        for block in &stored.spec.blocks {
            if let Some(other) = owners.insert(block.trunc(), &stored.spec.name) {
                let who = format!("place {}", stored.spec.name);
                found.add(&who, "blocks", format!("{block} belongs to place {other} too"));
            }
        }
    }
}

fn check_cap(cap: &cap::Cap, next: &snapshot::Snapshot, found: &mut Findings) {
    let who = format!("cap {}", cap.name);
    found.expect(id::is_valid(cap.name.as_str()), &who, "name", NAME_RULE);
    let known = next.services.contains_key(&cap.service);
    found.expect(known, &who, "service", "expected a declared service");
    found.expect(cap.share.0 > 0, &who, "share", "expected more than 0 per cent");
    let window_ok = cap.window >= Duration::from_secs(1);
    found.expect(window_ok, &who, "window", "expected at least 1s");
    let lost_ok = cap.lost_share.is_none_or(|lost| lost >= cap.share);
    found.expect(lost_ok, &who, "lost_share", "expected at least `share`");
}

fn check_one_cap_a_service(next: &snapshot::Snapshot, found: &mut Findings) {
    let mut owners = collections::BTreeMap::new();
    for stored in next.caps.values() {
        if let Some(other) = owners.insert(&stored.spec.service, &stored.spec.name) {
            let who = format!("cap {}", stored.spec.name);
            found.add(&who, "service", format!("cap {other} binds the same service"));
        }
    }
}

fn check_drain(
    drain: &drain::Drain,
    next: &snapshot::Snapshot,
    facts: &Facts,
    changed: bool,
    found: &mut Findings,
) {
    let who = format!("drain {}", drain.name);
    found.expect(id::is_valid(drain.name.as_str()), &who, "name", NAME_RULE);
    found.expect(drain.start < drain.end, &who, "end", "expected an end after the start");
    let services = next.services.values().map(|s| &*s.spec);
    let hit: Vec<&service::Service> =
        services.filter(|s| s.upstreams.iter().any(|u| drain.target.holds(u))).collect();
    found.expect(!hit.is_empty(), &who, "target", "expected a target that holds upstreams");
    // A drain that was accepted earlier is not refused again because time went on.
    if !changed {
        return;
    }
    found.expect(facts.wall < drain.end, &who, "end", "expected an end in the future");
    for service in hit {
        check_drain_time(drain, service, next, facts, &who, found);
        check_drain_room(drain, service, next, facts, &who, found);
    }
}

/// Refuses a drain whose shift the service's cap does not allow before the start.
///
/// A drain of a region moves all of its traffic. One of a part of it moves what the rest of that
/// region cannot hold.
fn check_drain_time(
    drain: &drain::Drain,
    service: &service::Service,
    next: &snapshot::Snapshot,
    facts: &Facts,
    who: &str,
    found: &mut Findings,
) {
    let Some(cap) = next.caps.values().map(|c| &c.spec).find(|c| c.service == service.name) else {
        return;
    };
    let Some((region, share)) = share_to_move(drain, service, facts) else { return };
    let needed = cap.time_to_move(share);
    let left = drain.start.duration_since(facts.wall).unwrap_or_default();
    if left < needed {
        let message = format!(
            "cap {} moves {} in {}, so moving {share} of service {} out of region {region} takes \
             {}, but the start is {} away",
            cap.name,
            cap.share,
            humantime::format_duration(cap.window),
            service.name,
            humantime::format_duration(needed),
            humantime::format_duration(Duration::from_secs(left.as_secs())),
        );
        found.add(who, "start", message);
    }
}

/// Returns the region that must lose the greatest share of its traffic, with that share.
fn share_to_move(
    drain: &drain::Drain,
    service: &service::Service,
    facts: &Facts,
) -> Option<(id::Region, fraction::Fraction)> {
    let empty = Use::new();
    let in_use = facts.in_use.get(&service.name).unwrap_or(&empty);
    let regions: collections::BTreeSet<&id::Region> =
        service.upstreams.iter().map(|u| &u.region).collect();
    let share = |region: &id::Region| {
        let of_region = service.upstreams.iter().filter(|u| u.region == *region);
        let kept = of_region.filter(|u| !drain.target.holds(u)).map(|u| u.slots);
        let kept: u32 = kept.sum();
        let used = in_use.get(region).copied().unwrap_or(0);
        match kept {
            0 => fraction::Fraction::ONE,
            _ => fraction::Fraction::of(used.saturating_sub(kept), used),
        }
    };
    let hit = |region: &&id::Region| {
        service.upstreams.iter().any(|u| u.region == **region && drain.target.holds(u))
    };
    let shares = regions.into_iter().filter(hit).map(|region| (region.clone(), share(region)));
    shares.max_by_key(|(_, share)| *share).filter(|(_, share)| share.0 > 0)
}

/// Refuses a drain that leaves too few slots for the work that runs now, other drains counted.
fn check_drain_room(
    drain: &drain::Drain,
    service: &service::Service,
    next: &snapshot::Snapshot,
    facts: &Facts,
    who: &str,
    found: &mut Findings,
) {
    let drains = next.drains.values().map(|d| &*d.spec);
    let together: Vec<&drain::Drain> = drains.filter(|d| d.overlaps(drain)).collect();
    let drained = |u: &&upstream::Upstream| together.iter().any(|d| d.target.holds(u));
    let all: u32 = service.upstreams.iter().map(|u| u.slots).sum();
    let gone: u32 = service.upstreams.iter().filter(drained).map(|u| u.slots).sum();
    let left = all - gone;
    let in_use: u32 = facts.in_use.get(&service.name).into_iter().flatten().map(|(_, n)| n).sum();
    if left == 0 || left < in_use {
        let message = format!(
            "service {} has {all} slots, {gone} would be drained at the same time and {left} \
             left, but {in_use} are in use",
            service.name
        );
        found.add(who, "target", message);
    }
}
