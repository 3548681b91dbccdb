//! Load reports: long ones go into several datagrams, and nothing malformed is applied.

use model::id;
use node::gateway::loads;
use prost::Message as _;
use steer::dispatch::peer_load;
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
