//! Values in the two stores: a gateway's own entry, configurations and the tables of regions.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use model::{cap, drain, epoch, evacuation, fraction, id, member, place, revision, route};
use model::{service, snapshot, table, upstream};
use node::common::store::accept;
use node::common::store::edge;
use node::gateway;
use steer::dispatch::connectivity::report;
use steer::dispatch::fleet::repair;
use steer::ownership::vms;

use crate::fixture;

fn key(node: &str, incarnation: u64) -> member::Key {
    member::Key { node: id::Node::new(node), incarnation }
}

/// A table with every field set.
pub fn table() -> table::Table {
    table::Table {
        region: id::Region::new("dakar"),
        epoch: epoch::Epoch(12),
        listed: vec![member::Listed {
            key: key("dakar-0", u64::MAX),
            hall: id::Hall::new("dakar-1"),
            peers: ([10, 1, 0, 1], 8_002).into(),
            callers: "[fd00::1]:8001".parse().expect("an address"),
            settled: epoch::Epoch(11),
        }],
        departed: vec![member::Departed {
            key: key("dakar-1", 2),
            peers: ([10, 1, 0, 2], 8_002).into(),
            settled: epoch::Epoch(10),
            last: epoch::Epoch(11),
        }],
        past: vec![table::PastEpoch {
            epoch: epoch::Epoch(11),
            keys: vec![key("dakar-0", 1), key("dakar-1", 2)],
        }],
    }
}

fn service() -> service::Service {
    let pattern = |method: &str, path: &str| service::Pattern {
        method: method.to_owned(),
        path: path.to_owned(),
    };
    service::Service {
        name: id::Service::new("catalogue"),
        host: "catalogue.example".to_owned(),
        deadline: Duration::from_millis(2_500),
        hold: Duration::from_millis(300),
        repeatable: vec![pattern("GET", "/")],
        once: vec![pattern("POST", "/handover")],
        shed: vec![429],
        report: Some("/report".to_owned()),
        upstreams: vec![upstream::Upstream {
            name: id::Upstream::new("u-1"),
            region: id::Region::new("dakar"),
            hall: id::Hall::new("dakar-1"),
            address: ([10, 2, 0, 1], 80).into(),
            slots: 4,
            connections: 28,
        }],
    }
}

fn place() -> place::Place {
    let link = |region: &str, delay, limit| place::Link {
        region: id::Region::new(region),
        delay: Duration::from_millis(delay),
        limit,
    };
    let block = |text: &str| text.parse().expect("a block");
    place::Place {
        name: id::Place::new("coast"),
        blocks: vec![block("10.9.0.0/16"), block("fd09::/32")],
        links: vec![link("dakar", 12, Some(500)), link("thies", 20, None)],
    }
}

fn cap() -> cap::Cap {
    cap::Cap {
        name: id::Cap::new("slow"),
        service: id::Service::new("catalogue"),
        share: fraction::Fraction(125_000),
        window: Duration::from_secs(60),
        lost_share: Some(fraction::Fraction::from_percent(50)),
    }
}

fn drain(name: &str, target: drain::Target) -> drain::Drain {
    let at = |seconds| SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
    drain::Drain {
        name: id::Drain::new(name),
        target,
        start: at(1_790_000_000),
        end: at(1_790_003_600),
    }
}

fn route(name: &str, repetition: route::Kind) -> route::Route {
    route::Route {
        name: id::Route::new(name),
        host: "find.example".to_owned(),
        prefix: format!("/{name}/"),
        repetition,
        timeout: Duration::from_secs(3),
        target_latency: Duration::from_millis(400),
        priority: 2,
        parts: vec![route::Part { service: id::Service::new("catalogue"), weight: 90 }],
        max_attempts: 2,
        is_sticky: true,
        home_regions: vec![id::Region::new("dakar")],
        is_public: false,
    }
}

/// A configuration with every kind of resource, and every field set.
fn snapshot() -> snapshot::Snapshot {
    fn stored<T>(revision: u64, spec: T) -> snapshot::Stored<T> {
        snapshot::Stored { revision: revision::Revision(revision), spec: spec.into() }
    }
    let targets = [
        drain("d-region", drain::Target::Region(id::Region::new("dakar"))),
        drain("d-hall", drain::Target::Hall(id::Hall::new("dakar-1"))),
        drain("d-upstream", drain::Target::Upstream(id::Upstream::new("u-1"))),
    ];
    let routes = [
        route("read", route::Kind::Idempotent),
        route("write", route::Kind::NonIdempotent),
        route("upload", route::Kind::Upload),
    ];
    let evacuation =
        evacuation::Evacuation { name: id::Evacuation::new("e"), hall: id::Hall::new("dakar-2") };
    let operation = |id: &str, revision| snapshot::Operation {
        id: id.to_owned(),
        revision: revision::Revision(revision),
    };
    snapshot::Snapshot {
        revision: revision::Revision(31),
        operations: [operation("op-1", 30), operation("op-2", 31)].into(),
        services: [(id::Service::new("catalogue"), stored(1, service()))].into(),
        places: [(id::Place::new("coast"), stored(2, place()))].into(),
        caps: [(id::Cap::new("slow"), stored(3, cap()))].into(),
        drains: targets.map(|d| (d.name.clone(), stored(4, d))).into(),
        routes: routes.map(|r| (r.name.clone(), stored(5, r))).into(),
        evacuations: [(evacuation.name.clone(), stored(6, evacuation))].into(),
        organisations: [].into(),
    }
}

#[test]
fn a_region_s_table() {
    fixture::assert_json("table.json", &table());
    fixture::assert_json("table-empty.json", &table::Table::empty(&id::Region::new("dakar")));
}

#[test]
fn a_configuration() {
    assert_eq!(accept::KEY, "config");
    fixture::assert_json("snapshot.json", &snapshot());
    let bytes = Bytes::from(fixture::read("snapshot.json"));
    let standing = accept::parse(&edge::Value { revision: 8, bytes }).expect("a configuration");
    assert_eq!((standing.version, &*standing.snapshot), (8, &snapshot()));
    fixture::assert_json("snapshot-empty.json", &snapshot::Snapshot::default());
}

/// Values from before a field was there: what is left out takes its default.
#[test]
fn values_of_older_nodes_are_read() {
    let read: snapshot::Snapshot =
        serde_json::from_slice(&fixture::read("snapshot-old.json")).expect("a configuration");
    let (routes, evacuations) = Default::default();
    assert_eq!(read, snapshot::Snapshot { routes, evacuations, ..snapshot() });
    let read: gateway::member::Member =
        serde_json::from_slice(&fixture::read("member-old.json")).expect("a member");
    assert_eq!(read, gateway::member::Member { is_store_reached: false, ..member() });
}

fn member() -> gateway::member::Member {
    gateway::member::Member {
        node: id::Node::new("entry-north-1"),
        incarnation: 1_790_000_000_000,
        sequence: 40,
        region: id::Region::new("north"),
        hall: id::Hall::new("north-2"),
        callers: ([10, 1, 0, 34], 8_548).into(),
        peers: "[fd00::1]:8549".parse().expect("an address"),
        is_ready: true,
        is_leaving: true,
        is_store_reached: true,
        at: 412,
        era: 0,
        capacity: 0,
        requests: 0,
        leavings: repair::Digest::default(),
        fleet: None,
        connectivity: report::Report::default(),
        copy: None,
    }
}

#[test]
fn a_gateway_s_own_entry() {
    fixture::assert_json("member.json", &member());
}

#[test]
fn the_platform_s_list_of_vms() {
    let vm = |last, state| (std::net::IpAddr::from([10, 1, 0, last]), state);
    let vms = [vm(1, vms::State::Live), vm(2, vms::State::Leaving)].into();
    fixture::assert_json("vms.json", &vms::List { vms });
}
