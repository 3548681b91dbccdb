//! Datagrams of slots, and the slots in load reports: what is decoded is what was encoded, and nothing malformed is
//! applied.

use std::time::Duration;

use ::wire::gateway::loads as loads_message;
use ::wire::gateway::slots as wire;
use model::id;
use node::gateway::load_report;
use node::gateway::loads;
use node::gateway::slots::datagram::{Answer, Ask, Asker, Datagram, Malformed, Release};
use prost::Message as _;
use steer::dispatch::peer_load;
use steer::dispatch::slots::message::{self, Id, Reply};
use steer::dispatch::urgency;

const UPSTREAM: peer_load::Key = peer_load::Key(0x_2649_f17b);

fn asker() -> Asker {
    Asker { node: id::Node::new("s-3"), peers: "[fd00::3]:8549".parse().expect("an address") }
}

fn ask(id: u64) -> message::Ask {
    message::Ask {
        id: Id(id),
        upstream: UPSTREAM,
        urgency: urgency::Urgency { organisation: 2, route: 1 },
        organisation: 77,
        max_wait: Duration::from_micros(180_500),
        work: Duration::from_millis(130),
        time_left: Duration::from_millis(1_900),
    }
}

fn answer(id: u64, reply: Reply) -> Answer {
    Answer { id: Id(id), upstream: UPSTREAM, reply }
}

/// A datagram with every kind of content.
fn sample() -> Datagram {
    let mut datagram = Datagram::new(id::Node::new("n-1"));
    datagram.asks.push(Ask { ask: ask(u64::MAX), asker: None });
    datagram.asks.push(Ask { ask: ask(0), asker: Some(asker()) });
    datagram.releases.push(Release { id: Id(5), upstream: UPSTREAM, asker: None });
    datagram.releases.push(Release { id: Id(6), upstream: UPSTREAM, asker: Some(asker()) });
    let refused = Reply::Refused { retry_after: Duration::from_millis(240), position: 31 };
    let replies = [Reply::Granted, Reply::Queued, refused, Reply::Declined];
    datagram.answers.extend(replies.into_iter().enumerate().map(|(n, r)| answer(n as u64, r)));
    datagram
}

#[test]
fn a_datagram_is_decoded_as_it_was_encoded() {
    let bytes = sample().encode();
    assert_eq!((bytes[0], wire::MARK), (5, 5));
    assert_eq!(Datagram::decode(&bytes[1..]), Ok(sample()));
}

/// Guards against times whose sum with the present overflows: a wait without a bound has the greatest duration.
#[test]
fn unbounded_times_are_limited() {
    let mut datagram = sample();
    datagram.asks[0].ask.max_wait = Duration::MAX;
    let decoded = Datagram::decode(&datagram.encode()[1..]).expect("a datagram");
    assert_eq!(decoded.asks[0].ask.max_wait, Duration::from_secs(3_600));
    let mut message = wire::Slots::decode(&sample().encode()[1..]).expect("a message");
    message.asks[0].time_left = u64::MAX;
    let decoded = Datagram::decode(&message.encode_to_vec()).expect("a datagram");
    assert_eq!(decoded.asks[0].ask.time_left, Duration::from_secs(3_600));
}

/// Guards against half a datagram being applied: every proper prefix is rejected as a whole.
#[test]
fn every_truncated_datagram_is_malformed() {
    let bytes = sample().encode();
    for length in 1..bytes.len() {
        assert!(Datagram::decode(&bytes[1..length]).is_err(), "{length} of {} bytes", bytes.len());
    }
}

#[test]
fn malformed_content_is_named() {
    let message = || wire::Slots::decode(&sample().encode()[1..]).expect("a message");
    let decode = |message: &wire::Slots| Datagram::decode(&message.encode_to_vec());
    let mut nameless = message();
    nameless.node.clear();
    assert_eq!(decode(&nameless), Err(Malformed::NoSender));
    let mut elsewhere = message();
    elsewhere.asks[1].asker =
        Some(wire::Asker { node: "s-3".to_owned(), peers: "nowhere".to_owned() });
    assert_eq!(decode(&elsewhere), Err(Malformed::Address("nowhere".to_owned())));
    let mut anonymous = message();
    anonymous.releases[1].asker =
        Some(wire::Asker { node: String::new(), peers: "[::1]:1".to_owned() });
    assert_eq!(decode(&anonymous), Err(Malformed::NoSender));
    for reply in [0, 5, -1] {
        let mut unknown = message();
        unknown.answers[0].reply = reply;
        assert_eq!(decode(&unknown), Err(Malformed::Reply(reply)));
    }
}

quickcheck::quickcheck! {
    /// Guards against panics on input from the network.
    fn random_bytes_never_panic(bytes: Vec<u8>) -> bool {
        let _ = Datagram::decode(&bytes);
        let _ = load_report::Report::read(&bytes);
        true
    }

    /// Guards against panics on input that is nearly valid.
    fn one_changed_byte_never_panics(position: usize, value: u8) -> bool {
        let mut bytes = sample().encode();
        let position = 1 + position % (bytes.len() - 1);
        bytes[position] = value;
        let _ = Datagram::decode(&bytes[1..]);
        true
    }
}

fn counts(count: u32) -> Vec<(peer_load::Key, u32)> {
    (0..count).map(|number| (peer_load::Key(number), 1 + number % 9)).collect()
}

/// Guards against counts that are lost where a report takes several datagrams.
#[test]
fn held_slots_and_queues_are_reported_in_as_many_datagrams_as_needed() {
    let sent =
        loads::Content { held: counts(600), queued: counts(251), ..loads::Content::default() };
    let datagrams = loads::encode(&id::Node::new("n-1"), &sent);
    let (mut held, mut queued) = (Vec::new(), Vec::new());
    for datagram in &datagrams {
        assert!(datagram.len() < 16_384, "{} bytes", datagram.len());
        let report = load_report::Report::read(&datagram[1..]).expect("a report");
        held.extend(report.content.held);
        queued.extend(report.content.queued);
    }
    assert_eq!((datagrams.len(), held, queued), (3, sent.held, sent.queued));
}

#[test]
fn uneven_lists_of_held_slots_and_queues_are_malformed() {
    let uneven = || Some(loads_message::Counts { upstreams: vec![1, 2], counts: vec![3] });
    let held = loads_message::Loads { held: uneven(), ..loads_message::Loads::default() };
    let queued = loads_message::Loads { queued: uneven(), ..loads_message::Loads::default() };
    for loads in [held, queued] {
        let read = load_report::Report::read(&loads.encode_to_vec());
        assert_eq!(read, Err(load_report::Malformed::Uneven(2, 1)));
    }
}

/// The fields of load reports that every earlier build has.
#[derive(Clone, PartialEq, prost::Message)]
struct EarlierLoads {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(fixed32, repeated, tag = "2")]
    upstreams: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    requests: Vec<u32>,
}

/// Guards against a fleet of two builds in which the earlier one cannot decode the reports of the later one.
#[test]
fn an_earlier_build_ignores_held_slots_and_queues() {
    let sent = loads::Content {
        requests: vec![(UPSTREAM, 3)],
        held: vec![(UPSTREAM, 2)],
        queued: vec![(UPSTREAM, 9)],
        ..loads::Content::default()
    };
    let datagrams = loads::encode(&id::Node::new("n-1"), &sent);
    let read = EarlierLoads::decode(&datagrams[0][1..]).expect("a report");
    assert_eq!((read.upstreams, read.requests), (vec![UPSTREAM.0], vec![3]));
}

/// Guards against traffic where no slot is used: a report without slots is the same as that of an earlier build.
#[test]
fn a_report_without_slots_has_no_bytes_for_them() {
    let sent = loads::Content { requests: vec![(UPSTREAM, 3)], ..loads::Content::default() };
    let datagrams = loads::encode(&id::Node::new("n-1"), &sent);
    let earlier =
        EarlierLoads { node: "n-1".to_owned(), upstreams: vec![UPSTREAM.0], requests: vec![3] };
    assert_eq!(datagrams[0][1..], earlier.encode_to_vec());
}
