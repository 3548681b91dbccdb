//! Validation of drains: traffic must be able to leave in time under the cap, and the remaining
//! slots must be sufficient.

use std::collections;
use std::time::Duration;

use super::context;
use super::findings::{Findings, NAME_RULE};
use crate::drain;
use crate::fraction;
use crate::id;
use crate::service;
use crate::snapshot;
use crate::upstream;

/// A drain together with the state that it is validated against.
#[derive(Clone, Copy)]
struct DrainCheck<'a> {
    drain: &'a drain::Drain,
    next: &'a snapshot::Snapshot,
    context: &'a context::Context,
    /// Kind and name of the drain, as used in problems.
    resource: &'a str,
}

/// Validates one drain.
///
/// `is_changed` is false for a drain that was accepted earlier and has not been modified since.
pub(super) fn check(
    drain: &drain::Drain,
    next: &snapshot::Snapshot,
    context: &context::Context,
    is_changed: bool,
    findings: &mut Findings,
) {
    let resource = format!("drain {}", drain.name);
    findings.expect(id::is_valid(drain.name.as_str()), &resource, "name", NAME_RULE);
    findings.expect(drain.start < drain.end, &resource, "end", "expected an end after the start");
    let services = next.services.values().map(|s| &*s.spec);
    let affected: Vec<&service::Service> =
        services.filter(|s| s.upstreams.iter().any(|u| drain.target.contains(u))).collect();
    findings.expect(
        !affected.is_empty(),
        &resource,
        "target",
        "expected a target that holds upstreams",
    );
    // An accepted drain must not become invalid just because time has passed.
    if !is_changed {
        return;
    }
    findings.expect(context.wall < drain.end, &resource, "end", "expected an end in the future");
    let check = DrainCheck { drain, next, context, resource: &resource };
    for service in affected {
        check_lead_time(&check, service, findings);
        check_capacity(&check, service, findings);
    }
}

/// Checks that the service's cap allows the traffic to leave before the drain starts.
///
/// The drain of a whole region moves all of its traffic. The drain of a part of a region moves only
/// the traffic that exceeds the remaining slots of that region.
fn check_lead_time(check: &DrainCheck<'_>, service: &service::Service, findings: &mut Findings) {
    let DrainCheck { drain, next, context, resource } = *check;
    let Some(cap) = next.caps.values().map(|c| &c.spec).find(|c| c.service == service.name) else {
        return;
    };
    let Some((region, share)) = share_to_move(drain, service, context) else { return };
    let needed = cap.time_to_move(share);
    let available = drain.start.duration_since(context.wall).unwrap_or_default();
    if available < needed {
        let message = format!(
            "cap {} moves {} in {}, so moving {share} of service {} out of region {region} takes \
             {}, but the start is {} away",
            cap.name,
            cap.share,
            humantime::format_duration(cap.window),
            service.name,
            humantime::format_duration(needed),
            humantime::format_duration(Duration::from_secs(available.as_secs())),
        );
        findings.add(resource, "start", message);
    }
}

/// Returns the region that must give up the greatest share of its traffic, and that share.
fn share_to_move(
    drain: &drain::Drain,
    service: &service::Service,
    context: &context::Context,
) -> Option<(id::Region, fraction::Fraction)> {
    let no_usage = context::SlotUsage::new();
    let in_use = context.in_use.get(&service.name).unwrap_or(&no_usage);
    let regions: collections::BTreeSet<&id::Region> =
        service.upstreams.iter().map(|u| &u.region).collect();
    let share = |region: &id::Region| {
        let of_region = service.upstreams.iter().filter(|u| u.region == *region);
        let kept = of_region.filter(|u| !drain.target.contains(u)).map(|u| u.slots);
        let kept: u32 = kept.sum();
        let used = in_use.get(region).copied().unwrap_or(0);
        match kept {
            0 => fraction::Fraction::ONE,
            _ => fraction::Fraction::of(used.saturating_sub(kept), used),
        }
    };
    let is_affected = |region: &&id::Region| {
        service.upstreams.iter().any(|u| u.region == **region && drain.target.contains(u))
    };
    let shares =
        regions.into_iter().filter(is_affected).map(|region| (region.clone(), share(region)));
    shares.max_by_key(|(_, share)| *share).filter(|(_, share)| share.0 > 0)
}

/// Checks that the slots that no overlapping drain covers are sufficient for the current usage.
fn check_capacity(check: &DrainCheck<'_>, service: &service::Service, findings: &mut Findings) {
    let DrainCheck { drain, next, context, resource } = *check;
    let drains = next.drains.values().map(|d| &*d.spec);
    let overlapping: Vec<&drain::Drain> = drains.filter(|d| d.overlaps(drain)).collect();
    let is_drained = |u: &&upstream::Upstream| overlapping.iter().any(|d| d.target.contains(u));
    let total: u32 = service.upstreams.iter().map(|u| u.slots).sum();
    let drained: u32 = service.upstreams.iter().filter(is_drained).map(|u| u.slots).sum();
    let remaining = total - drained;
    let in_use: u32 = context.in_use.get(&service.name).into_iter().flatten().map(|(_, n)| n).sum();
    if remaining == 0 || remaining < in_use {
        let message = format!(
            "service {} has {total} slots, {drained} would be drained at the same time and \
             {remaining} left, but {in_use} are in use",
            service.name
        );
        findings.add(resource, "target", message);
    }
}
