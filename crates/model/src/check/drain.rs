//! Rules for planned drains: time enough under the cap, and room for the work that stays.

use std::collections;
use std::time::Duration;

use super::facts;
use super::findings::{Findings, NAME_RULE};
use crate::drain;
use crate::fraction;
use crate::id;
use crate::service;
use crate::snapshot;
use crate::upstream;

/// A drain with what it is checked against.
#[derive(Clone, Copy)]
struct Context<'a> {
    drain: &'a drain::Drain,
    next: &'a snapshot::Snapshot,
    facts: &'a facts::Facts,
    /// The drain, as problems name it.
    who: &'a str,
}

/// Checks one drain; `is_changed` unless it stands as it was accepted before.
pub(super) fn check(
    drain: &drain::Drain,
    next: &snapshot::Snapshot,
    facts: &facts::Facts,
    is_changed: bool,
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
    if !is_changed {
        return;
    }
    found.expect(facts.wall < drain.end, &who, "end", "expected an end in the future");
    let context = Context { drain, next, facts, who: &who };
    for service in hit {
        check_time(&context, service, found);
        check_room(&context, service, found);
    }
}

/// Refuses a drain whose shift the service's cap does not allow before the start.
///
/// A drain of a region moves all of its traffic. One of a part of it moves what the rest of that
/// region cannot hold.
fn check_time(context: &Context<'_>, service: &service::Service, found: &mut Findings) {
    let Context { drain, next, facts, who } = *context;
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
    facts: &facts::Facts,
) -> Option<(id::Region, fraction::Fraction)> {
    let empty = facts::Use::new();
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
fn check_room(context: &Context<'_>, service: &service::Service, found: &mut Findings) {
    let Context { drain, next, facts, who } = *context;
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
