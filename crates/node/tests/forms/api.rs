//! What operators and callers exchange with a node: changes, outcomes, items, dumps, look-ups.

use std::time::Duration;

use model::{change, evacuation, id, refusal, resource, revision};
use node::common::store::accept;
use node::common::store::client;
use node::owner::callers::lookup;
use node::owner::operators::{dump, status};
use node::owner::stats;
use steer::ownership::report;
use steer::ownership::ticket;

use crate::fixture;

fn resource() -> resource::Resource {
    let (name, hall) = (id::Evacuation::new("e"), id::Hall::new("dakar-2"));
    resource::Resource::Evacuation(evacuation::Evacuation { name, hall })
}

#[test]
fn a_change() {
    let delete = change::Step::Delete { kind: resource::Kind::Drain, name: "d".to_owned() };
    let change = change::Change {
        operation: "op-1".to_owned(),
        expected: Some(revision::Revision(30)),
        steps: vec![change::Step::Put { resource: resource() }, delete],
    };
    fixture::assert_json("change.json", &change);
}

#[test]
fn the_outcomes_of_changes() {
    let problem = refusal::Problem {
        resource: "service s".to_owned(),
        field: "upstreams[0].slots".to_owned(),
        message: "expected more than 0".to_owned(),
    };
    let (expected, found) = (revision::Revision(30), revision::Revision(31));
    let refused = |refusal| accept::Outcome::Refused { refusal };
    let outcomes = vec![
        accept::Outcome::Accepted { revision: found },
        refused(refusal::Refusal::Invalid { problems: vec![problem] }),
        refused(refusal::Refusal::Conflict { expected, found }),
        refused(refusal::Refusal::Missing { resource: "drain d".to_owned() }),
        accept::Outcome::Unknown { operation: "op-1".to_owned() },
        accept::Outcome::Unavailable,
    ];
    fixture::assert_json("outcomes.json", &outcomes);
}

#[test]
fn items_and_operations() {
    let lagging = vec![id::Node::new("dakar-0")];
    let item = status::Item {
        revision: revision::Revision(31),
        in_force: false,
        lagging: lagging.clone(),
        resource: resource(),
    };
    fixture::assert_json("item.json", &item);
    let operation = status::Operation {
        operation: "op-1".to_owned(),
        revision: revision::Revision(31),
        in_force: false,
        lagging,
    };
    fixture::assert_json("operation.json", &operation);
}

#[test]
fn words_of_kinds() {
    let words = resource::Kind::ALL.map(|kind| (kind.as_str(), kind.plural()));
    let expected = [
        ("service", "services"),
        ("place", "places"),
        ("cap", "caps"),
        ("drain", "drains"),
        ("route", "routes"),
        ("evacuation", "evacuations"),
        ("organisation", "organisations"),
    ];
    assert_eq!(words, expected);
}

#[test]
fn the_answer_to_a_look_up() {
    let node = lookup::Node {
        node: id::Node::new("dakar-0"),
        region: id::Region::new("dakar"),
        address: ([10, 1, 0, 1], 8_001).into(),
    };
    let answer = lookup::Answer {
        service: id::Service::new("catalogue"),
        host: "catalogue.example".to_owned(),
        place: id::Place::new("coast"),
        nodes: vec![node],
        cache_ms: 300,
        ticket: "1-2-3-dakar-0".to_owned(),
    };
    let written = serde_json::to_vec(&answer).expect("it can be written");
    fixture::assert_is("lookup.json", &written);
    assert_eq!(lookup::PATH, "/yokespoke/v1/lookup");
}

#[test]
fn a_ticket() {
    let ticket = ticket::Ticket {
        node: id::Node::new("dakar-0"),
        incarnation: 0x_abc,
        issued_ms: 255,
        nonce: u64::MAX,
    };
    assert_eq!(ticket.to_string(), "abc-ff-ffffffffffffffff-dakar-0");
    assert_eq!(ticket::Ticket::parse("abc-ff-ffffffffffffffff-dakar-0"), Some(ticket));
}

#[test]
fn an_upstream_s_report() {
    let report =
        report::Report { draining: true, in_flight: 3, uptime_ms: Some(9), slots: Some(4) };
    fixture::assert_json("report.json", &report);
    assert_eq!(serde_json::from_str::<report::Report>("{}").ok(), Some(report::Report::default()));
}

fn figures() -> stats::Figures {
    let stats = stats::Stats::new();
    stats.lookup();
    let failure = model::verdict::Failure::not_run(model::verdict::Reason::Full);
    stats.request(Duration::from_millis(20), None);
    stats.request(Duration::from_millis(20), Some(&failure));
    stats.figures()
}

fn of_upstream() -> dump::Upstream {
    dump::Upstream {
        upstream: "catalogue/u-1".to_owned(),
        owner: Some("dakar-0#1".to_owned()),
        slots: 1,
        usable: 2,
        held: 3,
        granted: 4,
        limit: 5,
        in_flight: 6,
        is_drained: true,
        is_usable: true,
        usual_ms: Some(1.5),
    }
}

fn of_member() -> dump::Member {
    dump::Member {
        node: "dakar-0#1".to_owned(),
        region: id::Region::new("dakar"),
        is_alive: true,
        is_leaving: true,
        silent_ms: 1,
        revision: 2,
        epoch: 3,
        settled: 4,
    }
}

fn of_requests() -> dump::Requests {
    dump::Requests {
        routed: 1,
        at_home: 2,
        undecided: 3,
        tickets: 4,
        asks: 5,
        releases: 6,
        refused: 7,
        dropped: 8,
    }
}

#[test]
fn a_node_s_dump() {
    let region = || id::Region::new("dakar");
    let (service, place) = (id::Service::new("catalogue"), id::Place::new("coast"));
    let planned = dump::Service {
        service: service.clone(),
        queued: 1,
        capacities: [(region(), 2.0)].into(),
        in_use: [(region(), 3.0)].into(),
        rates: [(place.clone(), 4.0)].into(),
    };
    let dump = dump::Dump {
        node: "dakar-0#1".to_owned(),
        region: region(),
        hall: id::Hall::new("dakar-1"),
        is_ready: true,
        is_leaving: true,
        revision: 1,
        epoch: 2,
        settled: 3,
        listed: vec!["dakar-0#1".to_owned()],
        departed: vec!["dakar-1#1".to_owned()],
        members: vec![of_member()],
        upstreams: vec![of_upstream()],
        services: vec![planned],
        splits: vec![dump::Split { service, place, shares: [(region(), 100.0)].into() }],
        requests: of_requests(),
        store: client::Counts { gets: 1, watches: 2, puts: 3, failures: 4 },
        callers: figures(),
    };
    let written = serde_json::to_vec_pretty(&dump).expect("it can be written");
    fixture::assert_is("state.json", &written);
}
