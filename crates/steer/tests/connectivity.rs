//! Whether a node can connect to the upstreams of a service, and whom look-ups name then.

use std::collections;
use std::net;
use std::time::{Duration, Instant};

use model::{bounds, discovery, id, route};
use quickcheck::{Arbitrary, Gen, quickcheck};
use steer::dispatch::connectivity::group::{Access, Change, Group};
use steer::dispatch::connectivity::{Scope, report, sample};
use steer::dispatch::fleet::{active_set, lookup};
use steer::dispatch::{dispatcher, position, refusal, request, upstream, urgency};

/// Time after which another check may be due; the rule's own minimum is half of it.
const INTERVAL: Duration = Duration::from_secs(1);

fn upstream(number: usize) -> id::Upstream {
    id::Upstream::new(&format!("i-{number}"))
}

fn lost(now: Instant) -> Group {
    let mut group = Group::default();
    group.suspect();
    group.begin_check(now);
    assert_eq!(group.end_check(false), Some(Change::Lost));
    group
}

#[test]
fn failures_at_two_upstreams_in_a_row_start_a_check() {
    let now = Instant::now();
    let mut group = Group::default();
    group.record_failure(&upstream(0), 5, now);
    group.record_failure(&upstream(0), 5, now);
    assert!(!group.is_check_due(now), "one upstream fails");
    group.record_connection();
    group.record_failure(&upstream(1), 5, now);
    assert!(!group.is_check_due(now), "a connection came up in between");
    group.record_failure(&upstream(2), 5, now);
    assert!(group.is_check_due(now));
}

#[test]
fn the_failure_of_a_group_s_only_upstream_starts_a_check() {
    let now = Instant::now();
    let mut group = Group::default();
    group.record_failure(&upstream(0), 1, now);
    assert!(group.is_check_due(now));
}

#[test]
fn failures_far_apart_start_no_check_and_are_forgotten() {
    let now = Instant::now();
    let mut group = Group::default();
    group.record_failure(&upstream(0), 5, now);
    assert!(!group.is_idle(now));
    let later = now + 10 * INTERVAL;
    assert!(group.is_idle(later));
    group.record_failure(&upstream(1), 5, later);
    assert!(!group.is_check_due(later));
}

#[test]
fn a_check_that_connects_leaves_a_group_reached() {
    let now = Instant::now();
    let mut group = Group::default();
    group.suspect();
    group.begin_check(now);
    assert!(!group.is_check_due(now + INTERVAL), "one check at a time");
    assert_eq!(group.end_check(true), None);
    assert!(group.is_reached() && !group.is_check_due(now + INTERVAL));
}

#[test]
fn a_lost_group_is_used_over_open_connections_that_bring_responses() {
    let now = Instant::now();
    let mut group = lost(now);
    assert_eq!(group.access(now), Access::None);
    group.record_response(now);
    assert_eq!(group.access(now), Access::OpenConnections);
    assert_eq!(group.access(now + 2 * INTERVAL), Access::None);
}

#[test]
fn a_lost_group_is_reached_for_others_after_two_checks() {
    let mut now = Instant::now();
    let mut group = lost(now);
    let results = [true, false, true, true];
    let expected = [None, None, None, Some(Change::Regained)];
    for (result, expected) in results.into_iter().zip(expected) {
        now += INTERVAL;
        assert!(group.is_check_due(now), "checks go on");
        group.begin_check(now);
        assert_eq!(group.end_check(result), expected);
        let access = if result { Access::Full } else { Access::None };
        assert_eq!(group.access(now), access);
    }
    assert!(group.is_reached());
}

/// What happens to a group.
#[derive(Clone, Copy, Debug)]
enum Step {
    Failure(usize),
    Connection,
    Response,
    Wait(u64),
    Check(bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 5 {
            0 => Self::Failure(usize::arbitrary(g) % 4),
            1 => Self::Connection,
            2 => Self::Response,
            3 => Self::Wait(u64::arbitrary(g) % 1_000),
            _ => Self::Check(bool::arbitrary(g)),
        }
    }
}

quickcheck! {
    /// Only a failed check loses a group, only two good ones in a row regain it, and checks are at least 500 ms apart.
    fn checks_alone_decide_whether_a_group_is_reached(steps: Vec<Step>) -> bool {
        let mut now = Instant::now();
        let mut group = Group::default();
        let (mut checked, mut passed): (Option<Instant>, u32) = (None, 0);
        for step in steps {
            let was_reached = group.is_reached();
            match step {
                Step::Failure(number) => group.record_failure(&upstream(number), 4, now),
                Step::Connection => group.record_connection(),
                Step::Response => group.record_response(now),
                Step::Wait(millis) => now += Duration::from_millis(millis),
                Step::Check(_) if !group.is_check_due(now) => {}
                Step::Check(is_connected) => {
                    if checked.is_some_and(|at| now.duration_since(at) < INTERVAL / 2) {
                        return false;
                    }
                    checked = Some(now);
                    group.begin_check(now);
                    group.end_check(is_connected);
                    passed = if is_connected { passed + 1 } else { 0 };
                    let is_reached = if was_reached { is_connected } else { passed >= 2 };
                    if group.is_reached() != is_reached {
                        return false;
                    }
                    continue;
                }
            }
            let has_access = group.access(now) == Access::Full;
            if group.is_reached() != was_reached || (was_reached && !has_access) {
                return false;
            }
        }
        true
    }
}

fn entry(number: usize, hall: &str, service: &str) -> discovery::Entry {
    discovery::Entry {
        id: upstream(number),
        service: id::Service::new(service),
        address: net::SocketAddr::from(([127, 0, 0, 1], 80)),
        hall: id::Hall::new(hall),
        version: None,
        slots: 4,
        state: discovery::State::Ready,
        cold_left: Duration::ZERO,
        born: 0,
    }
}

#[test]
fn a_sample_has_ejected_upstreams_last() {
    let now = Instant::now();
    let new = |number| {
        let entry = entry(number, "north", "desk").into();
        upstream::Upstream::new(entry, id::Region::new("north"), now)
    };
    let mut upstreams: Vec<upstream::Upstream> = (0..12).map(new).collect();
    upstreams[..9].iter_mut().for_each(|u| u.health.record_unreachable(now));
    let taken = sample::take(upstreams.iter(), &mut |end| end - 1, now);
    let ejected: Vec<bool> = taken.iter().map(|u| u.health.is_ejected(now)).collect();
    assert_eq!(ejected, [false, false, false, true]);
}

fn dispatcher(entries: &[discovery::Entry], now: Instant) -> dispatcher::Dispatcher {
    let halls = [("north", "north"), ("south", "south")];
    let position = position::Position {
        node: id::Node::new("n-1"),
        region: id::Region::new("north"),
        halls: halls.iter().map(|(h, r)| (id::Hall::new(h), id::Region::new(r))).collect(),
    };
    let mut dispatcher = dispatcher::Dispatcher::new(position, bounds::Bounds::default());
    dispatcher.set_upstreams(entries.iter().cloned().map(std::sync::Arc::new), now);
    dispatcher
}

fn name(scope: &Scope) -> String {
    format!("{}@{}", scope.service, scope.region)
}

/// Makes the checks that are due, of which those of `connected` groups connect; returns which were made.
fn check(dispatcher: &mut dispatcher::Dispatcher, connected: &[&str], now: Instant) -> Vec<String> {
    let checks = dispatcher.begin_checks(&mut |_| 0, now);
    for check in &checks {
        let is_connected = connected.contains(&name(&check.scope).as_str());
        dispatcher.end_check(&check.scope, is_connected);
    }
    checks.iter().map(|check| name(&check.scope)).collect()
}

/// Two services with two upstreams in each of two regions.
fn entries() -> Vec<discovery::Entry> {
    let halls = ["north", "north", "south", "south"];
    let of_service = |service, first| {
        halls.iter().zip(first..).map(move |(hall, number)| entry(number, hall, service))
    };
    of_service("desk", 0).chain(of_service("shelf", 4)).collect()
}

/// Records failures at both upstreams of desk in north.
fn fail_desk_in_north(dispatcher: &mut dispatcher::Dispatcher, now: Instant) {
    let entries = entries();
    assert!(!dispatcher.record_connection_failure(&entries[0], now));
    assert!(dispatcher.record_connection_failure(&entries[1], now));
}

#[test]
fn a_lost_group_has_related_groups_checked_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&entries(), now);
    fail_desk_in_north(&mut dispatcher, now);
    assert_eq!(check(&mut dispatcher, &[], now), ["desk@north"]);
    assert_eq!(check(&mut dispatcher, &[], now), ["desk@south", "shelf@north"]);
    assert_eq!(check(&mut dispatcher, &[], now), ["shelf@south"]);
    assert!(dispatcher.connectivity_report().is_cut_off);
    let later = now + INTERVAL;
    assert_eq!(check(&mut dispatcher, &["shelf@south"], later).len(), 4, "all are checked again");
    assert!(dispatcher.connectivity_report().is_cut_off, "one good check is not enough");
    check(&mut dispatcher, &["shelf@south"], later + INTERVAL);
    let report = dispatcher.connectivity_report();
    let keys = ["desk", "shelf"].map(|name| report::Key::of(&id::Service::new(name)));
    assert!(!report.reaches(&keys) && report.reaches(&keys[1..]) && !report.reaches_all());
}

fn route(homes: &[&str]) -> route::Route {
    route::Route {
        name: id::Route::new("r"),
        host: "site.example".to_owned(),
        prefix: "/".to_owned(),
        repetition: route::Kind::Idempotent,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(300),
        priority: 0,
        parts: vec![route::Part { service: id::Service::new("desk"), weight: 1 }],
        max_attempts: 2,
        is_sticky: false,
        home_regions: homes.iter().map(|home| id::Region::new(home)).collect(),
        is_public: false,
    }
}

fn choose(
    dispatcher: &mut dispatcher::Dispatcher,
    homes: &[&str],
    now: Instant,
) -> Result<String, refusal::Refusal> {
    let route = route(homes);
    let service = id::Service::new("desk");
    let request = request::Request {
        route: &route,
        service: &service,
        key: 1,
        tried: &[],
        time_left: Duration::from_secs(2),
        homes: &route.home_regions,
        urgency: urgency::Urgency::of(&route, None),
    };
    dispatcher.choose(&request, now).map(|chosen| chosen.entry.hall.to_string())
}

/// Requests try one upstream of a region out of reach after the other, though another region is reached.
#[test]
fn recover_requests_avoid_a_region_out_of_reach() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&entries(), now);
    fail_desk_in_north(&mut dispatcher, now);
    check(&mut dispatcher, &[], now);
    check(&mut dispatcher, &["desk@south", "shelf@north"], now);
    for _ in 0..20 {
        assert_eq!(choose(&mut dispatcher, &[], now).as_deref(), Ok("south"));
    }
    assert!(dispatcher.connectivity_report().reaches_all(), "the service is reached in south");
    let refused = choose(&mut dispatcher, &["north"], now);
    let Err(refusal::Refusal::Unreached { exclusions, .. }) = refused else {
        panic!("{refused:?}")
    };
    assert_eq!((exclusions.unreached, exclusions.outside, exclusions.known), (2, 2, 4));
}

#[test]
fn a_group_without_upstreams_is_not_checked() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&entries(), now);
    fail_desk_in_north(&mut dispatcher, now);
    check(&mut dispatcher, &["desk@south", "shelf@north"], now);
    dispatcher.set_upstreams([].into_iter(), now);
    // Entries that vanish together may have lapsed, so their upstreams are used for a while.
    let later = now + 10 * INTERVAL;
    dispatcher.tick(later);
    assert!(!dispatcher.is_check_due(later));
    assert!(dispatcher.connectivity_report().reaches_all());
}

#[test]
fn upstreams_that_all_fall_silent_start_a_check() {
    let now = Instant::now();
    let entries = entries();
    let mut dispatcher = dispatcher(&entries, now);
    entries[..2].iter().for_each(|entry| _ = dispatcher.sent(&entry.id, true, now));
    assert!(!dispatcher.is_check_due(now + Duration::from_millis(100)));
    assert!(dispatcher.is_check_due(now + 20 * INTERVAL));
}

/// Nodes of three regions, each with whether it reaches the services of the host.
#[derive(Clone, Debug)]
struct Nodes(Vec<(usize, bool)>);

impl Arbitrary for Nodes {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 1 + usize::arbitrary(g) % 8;
        Self((0..count).map(|_| (usize::arbitrary(g) % 3, bool::arbitrary(g))).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().filter(|nodes| !nodes.is_empty()).map(Self))
    }
}

fn named(nodes: &[(usize, bool)], homes: &[usize]) -> collections::BTreeSet<usize> {
    let regions = ["a", "b", "c"].map(id::Region::new);
    let name = id::Node::new("n");
    let report = active_set::Node { name: &name, capacity: 0, requests: 0 };
    let address = |number: u16| net::SocketAddr::from(([127, 0, 0, 1], 1_000 + number));
    let serving: Vec<lookup::Node<'_>> = nodes
        .iter()
        .zip(0..)
        .map(|((region, reaches_services), number)| lookup::Node {
            region: &regions[*region],
            callers: address(number),
            report,
            reaches_services: *reaches_services,
        })
        .collect();
    let homes: Vec<id::Region> = homes.iter().map(|home| regions[*home].clone()).collect();
    let named = lookup::addresses(&regions[0], &homes, &serving, [].into_iter());
    named.iter().map(|address| usize::from(address.port()) - 1_000).collect()
}

quickcheck! {
    /// A look-up names a node that does not reach the services only where none of its region, or of the homes, does.
    fn look_ups_name_nodes_that_reach_the_services(nodes: Nodes) -> bool {
        let Nodes(nodes) = nodes;
        let named = named(&nodes, &[]);
        let reaches = |number: &usize| nodes[*number].1;
        let near = |number: &usize| nodes[*number].0 == 0;
        let all: Vec<usize> = (0..nodes.len()).collect();
        let has_near = all.iter().any(|number| near(number) && reaches(number));
        let expected: collections::BTreeSet<usize> = match () {
            () if has_near => all.into_iter().filter(|n| near(n) && reaches(n)).collect(),
            () if all.iter().any(reaches) => all.into_iter().filter(reaches).collect(),
            () if all.iter().any(near) => all.into_iter().filter(near).collect(),
            () => all.into_iter().collect(),
        };
        named == expected
    }

    /// Callers of a host with homes are not sent to other regions, where their requests must not go.
    fn look_ups_of_hosts_with_homes_stay_there(nodes: Nodes) -> bool {
        let Nodes(nodes) = nodes;
        let is_allowed = |number: &usize| nodes[*number].0 < 2;
        let has_allowed = nodes.iter().any(|(region, _)| *region < 2);
        !has_allowed || named(&nodes, &[1]).iter().all(is_allowed)
    }

    /// Where no node reaches the services, look-ups answer as if all did.
    fn look_ups_name_all_where_all_are_cut_off(nodes: Nodes, home: bool) -> bool {
        let homes: &[usize] = if home { &[1] } else { &[] };
        let set = |reaches| nodes.0.iter().map(|(region, _)| (*region, reaches)).collect::<Vec<_>>();
        named(&set(false), homes) == named(&set(true), homes)
    }
}
