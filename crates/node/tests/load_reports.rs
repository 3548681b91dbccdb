//! Load reports: long ones go into several datagrams, and nothing malformed is applied.

use model::id;
use node::gateway::{load_report, loads};
use prost::Message as _;
use steer::dispatch::peer_load;
use steer::dispatch::quota::usage;
use wire::gateway::loads as message;

fn in_flight(count: u32) -> Vec<(peer_load::Key, u32)> {
    (0..count).map(|number| (peer_load::Key(number), 1 + number % 7)).collect()
}

/// Returns the names of a report's parts, and all that they say.
fn read(datagrams: &[Vec<u8>]) -> (Vec<String>, Vec<(peer_load::Key, u32)>) {
    let mut names = Vec::new();
    let mut said = Vec::new();
    for datagram in datagrams {
        assert_eq!(datagram[0], message::MARK);
        assert!(datagram.len() < 16_384, "{} bytes", datagram.len());
        let loads = message::Loads::decode(&datagram[1..]).expect("a report");
        names.push(loads.node);
        said.extend(loads.upstreams.into_iter().map(peer_load::Key).zip(loads.requests));
    }
    (names, said)
}

#[test]
fn a_long_report_is_split_and_nothing_is_cut() {
    let node = id::Node::new("n-1");
    for (count, parts) in [(0, 1), (1, 1), (1_000, 1), (1_001, 2), (10_000, 10)] {
        let sent = in_flight(count);
        let (names, said) = read(&loads::encode(&node, &sent, &[]));
        assert_eq!((names.len(), said), (parts, sent));
        assert_eq!(names[0], "n-1");
        assert!(names[1..].iter().enumerate().all(|(n, name)| *name == format!("n-1#{}", n + 1)));
    }
}

fn usage(key: u32) -> usage::Usage {
    usage::Usage {
        asked: 12.5,
        admitted: 7.25,
        excess: 3.0,
        debt: 40.5,
        is_near: true,
        ..usage::Usage::none(usage::Key(key))
    }
}

#[test]
fn what_organisations_ask_is_read_as_it_was_written() {
    let sent = vec![usage(1), usage(7)];
    let datagrams = loads::encode(&id::Node::new("n-1"), &[], &sent);
    let report = load_report::Report::read(&datagrams[0][1..]).expect("a report");
    assert_eq!(report.usages, sent);
}

#[test]
fn a_node_of_an_earlier_version_counts_as_admitting_what_is_asked() {
    let datagrams = loads::encode(&id::Node::new("n-1"), &[], &[usage(1)]);
    let mut loads = message::Loads::decode(&datagrams[0][1..]).expect("a report");
    (loads.admitted, loads.excess, loads.debts) = (Vec::new(), Vec::new(), Vec::new());
    let report = load_report::Report::read(&loads.encode_to_vec()).expect("a report");
    let expected = usage::Usage { admitted: 12.5, excess: 0.0, debt: 0.0, ..usage(1) };
    assert_eq!(report.usages, [expected]);
    loads.excess = vec![1];
    assert!(load_report::Report::read(&loads.encode_to_vec()).is_err(), "lists of other lengths");
}
