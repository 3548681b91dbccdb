//! Messages between nodes: every message with every field set, and the paths of the calls.

use std::collections;
use std::io;
use std::sync;
use std::time::Duration;

use model::epoch;
use model::id;
use model::member;
use model::revision;
use model::upstream;
use node::owner::peers::convert;
use node::owner::peers::forwarder;
use prost::Message;
use steer::common::split;
use steer::ownership::heartbeat;
use wire::peer;
use wire::peer::peer_client::PeerClient;

use crate::fixture;
use crate::stored;

fn key(node: &str, incarnation: u64) -> member::Key {
    member::Key { node: id::Node::new(node), incarnation }
}

fn member() -> heartbeat::Member {
    heartbeat::Member {
        key: key("dakar-0", 0x_fedc_ba98_7654_3210),
        region: id::Region::new("dakar"),
        hall: id::Hall::new("dakar-1"),
        callers: ([10, 1, 0, 1], 8_001).into(),
        peers: ([10, 1, 0, 1], 8_002).into(),
        operators: "[fd00::1]:8003".parse().expect("an address"),
        sequence: 9,
        revision: revision::Revision(31),
        epoch: epoch::Epoch(12),
        settled: epoch::Epoch(11),
        is_leaving: true,
    }
}

fn summary(node: &str) -> heartbeat::Summary {
    heartbeat::Summary {
        key: key(node, 5),
        region: id::Region::new("dakar"),
        service: id::Service::new("catalogue"),
        sequence: 6,
        usable: 40,
        in_flight: 7,
        queued: 2,
        rates: vec![(id::Place::new("coast"), 1_500), (id::Place::new("inland"), 300)],
    }
}

fn update() -> heartbeat::Update {
    heartbeat::Update {
        members: vec![member()],
        liveness: vec![heartbeat::Liveness { key: key("thies-0", 3), sequence: 77 }],
        summaries: vec![summary("dakar-0")],
        regions: vec![summary("thies-0")],
        tables: vec![sync::Arc::new(stored::table())],
    }
}

fn lease(slots: u32) -> heartbeat::Lease {
    let upstream = upstream::Key {
        service: id::Service::new("catalogue"),
        upstream: id::Upstream::new("u-1"),
    };
    heartbeat::Lease { upstream, slots, tail: Duration::from_millis(3_000) }
}

fn request() -> heartbeat::Request {
    let region = |name, number| (id::Region::new(name), epoch::Epoch(number));
    heartbeat::Request {
        sender: member(),
        update: update(),
        epochs: collections::BTreeMap::from([region("dakar", 12), region("thies", 4)]),
        wants_leases: true,
        held: vec![lease(2)],
        wants_positions: true,
    }
}

fn reply() -> heartbeat::Reply {
    let parts = [(id::Region::new("dakar"), 750_000), (id::Region::new("thies"), 250_000)];
    heartbeat::Reply {
        sender: member(),
        update: update(),
        leases: vec![lease(3)],
        term: Duration::from_millis(1_200),
        positions: vec![heartbeat::Position {
            service: id::Service::new("catalogue"),
            place: id::Place::new("coast"),
            split: split::Split::from_parts(collections::BTreeMap::from(parts)),
        }],
    }
}

#[test]
fn the_two_halves_of_a_beat() {
    fixture::assert_is("beat-request.bin", &convert::request_out(request()).encode_to_vec());
    let read = peer::BeatRequest::decode(fixture::read("beat-request.bin").as_slice());
    assert_eq!(convert::request_in(read.expect("a beat")), Some(request()));
    fixture::assert_is("beat-reply.bin", &convert::reply_out(reply()).encode_to_vec());
    let read = peer::BeatReply::decode(fixture::read("beat-reply.bin").as_slice());
    assert_eq!(convert::reply_in(read.expect("a reply")), Some(reply()));
}

#[test]
fn the_call_for_a_configuration() {
    let request = peer::FetchRequest { newer_than: 30 };
    let reply = peer::FetchReply { revision: 31, document: b"{}".to_vec() };
    assert_messages("fetch-request.bin", &[request]);
    assert_messages("fetch-reply.bin", &[reply]);
}

fn headers() -> Vec<peer::Header> {
    let header =
        |name: &str, value: &[u8]| peer::Header { name: name.to_owned(), value: value.to_vec() };
    vec![header("accept", b"*/*"), header("x-raw", b"\xff\x80")]
}

fn request_head(duty: peer::Duty) -> peer::RequestHead {
    peer::RequestHead {
        duty: duty.into(),
        service: "catalogue".to_owned(),
        method: "POST".to_owned(),
        path: "/handover?a=b".to_owned(),
        headers: headers(),
        remaining_ms: 2_500,
        place: "coast".to_owned(),
        avoid: vec!["u-1".to_owned(), "u-2".to_owned()],
        ticket: "1-2-3-dakar-0".to_owned(),
        may_wait: true,
    }
}

fn usage() -> peer::Usage {
    let usage = heartbeat::Usage { busy: 3, usable: 8 };
    assert_eq!(convert::usage_in(convert::usage_out(usage)), usage);
    convert::usage_out(usage)
}

#[test]
fn a_request_on_its_way_to_its_home() {
    use peer::upload::Part;
    let duties =
        [peer::Duty::Unspecified, peer::Duty::Home, peer::Duty::Ticket, peer::Duty::Region];
    let heads = duties.map(|duty| Part::Head(request_head(duty)));
    let rest = [Part::Data(b"a body".to_vec()), Part::End(peer::End {})];
    let parts: Vec<peer::Upload> =
        heads.into_iter().chain(rest).map(|part| peer::Upload { part: Some(part) }).collect();
    assert_messages("upload.bin", &parts);
}

#[test]
fn an_answer_on_its_way_back() {
    use peer::download::Part;
    let failure = |verdict: peer::Verdict| {
        Part::Failure(peer::Failure {
            verdict: verdict.into(),
            reason: "full".to_owned(),
            retry_after_ms: 250,
            upstream: "u-1".to_owned(),
            usage: Some(usage()),
        })
    };
    let parts: Vec<peer::Download> = [
        Part::Go(peer::Go { upstream: "u-1".to_owned(), usage: Some(usage()) }),
        Part::Head(peer::ResponseHead { status: 201, headers: headers() }),
        Part::Data(b"an answer".to_vec()),
        Part::End(peer::End {}),
        failure(peer::Verdict::Unspecified),
        failure(peer::Verdict::NotRun),
        failure(peer::Verdict::MayHaveRun),
    ]
    .map(|part| peer::Download { part: Some(part) })
    .into();
    assert_messages("download.bin", &parts);
}

#[test]
fn headers_in_messages() {
    let map = forwarder::headers(&headers());
    assert_eq!(map["x-raw"].as_bytes(), b"\xff\x80");
    assert_eq!(forwarder::header_list(&map), headers());
}

/// Fails unless the messages, each after its length, are the fixture in both directions.
#[track_caller]
fn assert_messages<M: Message + Default + PartialEq + std::fmt::Debug>(name: &str, messages: &[M]) {
    let written: Vec<u8> =
        messages.iter().flat_map(Message::encode_length_delimited_to_vec).collect();
    fixture::assert_is(name, &written);
    let expected = fixture::read(name);
    let mut rest = expected.as_slice();
    for message in messages {
        let read = M::decode_length_delimited(&mut rest).expect("a message");
        assert_eq!(&read, message, "{name}");
    }
    assert!(rest.is_empty(), "{name}");
}

#[tokio::test]
async fn the_paths_of_the_calls() {
    let (paths, mut called) = tokio::sync::mpsc::unbounded_channel();
    let service = tower::service_fn(move |request: http::Request<tonic::body::Body>| {
        let _ = paths.send(request.uri().path().to_owned());
        async { Err::<http::Response<tonic::body::Body>, _>(io::Error::other("recorded")) }
    });
    let mut client = PeerClient::new(service);
    let _ = client.carry(tokio_stream::iter([peer::Upload::default()])).await;
    let _ = client.beat(peer::BeatRequest::default()).await;
    let _ = client.fetch(peer::FetchRequest::default()).await;
    for path in ["Carry", "Beat", "Fetch"] {
        let expected = format!("/yokespoke.peer.v1.Peer/{path}");
        assert_eq!(called.recv().await, Some(expected));
    }
    assert_eq!(wire::peer::peer_server::SERVICE_NAME, "yokespoke.peer.v1.Peer");
}
