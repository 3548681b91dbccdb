//! What gateways tell each other of crashes, as datagrams.

use std::time::{Duration, Instant};

use model::fingerprint::{Caller, Content, Fingerprint, Scope};
use model::id;
use node::gateway::quarantine_report::{Malformed, encode, read};
use prost::Message as _;
use steer::dispatch::quarantine::report::Report;
use steer::dispatch::quarantine::ruling::Ruling;
use steer::dispatch::quarantine::sighting::{Crash, Service, Sighting, Start};
use wire::gateway::quarantine as message;

/// Largest datagram that gateways read, in bytes.
const LARGEST: usize = 16_384;

fn request(number: u8) -> Fingerprint {
    let content = Content::from_bytes(&[number; 16]).expect("a content");
    Fingerprint { content, caller: Caller::from_number(u64::from(number)) }
}

fn news(now: Instant, pieces: u8) -> Report {
    let ago = |millis| now - Duration::from_millis(millis);
    let sighting = |number: u8| Sighting {
        fingerprint: request(number),
        crash: Crash {
            start: Start(u64::from(number)),
            service: Service(7),
            upstreams: 20,
            at: ago(40),
        },
        sent: ago(100),
    };
    let ruling = Ruling {
        number: 1_800_000_000_000,
        is_held: true,
        crashes: 4,
        since: ago(2_000),
        last_request: ago(30),
    };
    let any = Scope { caller: None, ..Scope::from(request(1)) };
    Report {
        sightings: (0..pieces).map(sighting).collect(),
        cleared: vec![request(3)],
        rulings: vec![(any, ruling), (Scope::from(request(2)), ruling)],
    }
}

#[test]
fn news_arrive_as_they_were_told_in_datagrams_that_are_read() {
    let now = Instant::now() + Duration::from_secs(100);
    let told = news(now, 200);
    let datagrams = encode(&id::Node::new("n-1"), &told, now);
    assert_eq!(datagrams.len(), 4);
    let mut heard = Report::default();
    for datagram in &datagrams {
        assert!(datagram.len() < LARGEST, "{} bytes", datagram.len());
        let (mark, rest) = datagram.split_first().expect("a mark");
        assert_eq!(*mark, message::MARK);
        let (node, part) = read(rest, now).expect("it can be read");
        assert_eq!(node, id::Node::new("n-1"));
        heard.sightings.extend(part.sightings);
        heard.cleared.extend(part.cleared);
        heard.rulings.extend(part.rulings);
    }
    assert_eq!(heard, told);
    assert!(encode(&id::Node::new("n-1"), &Report::default(), now).is_empty());
}

#[test]
fn a_datagram_that_says_too_little_is_refused_with_what_is_wrong() {
    let now = Instant::now();
    let read = |news: &message::Report| read(&news.encode_to_vec(), now).map(|_| ());
    let named = |content: Vec<u8>, caller| Some(message::Request { content, caller });
    let sighting = |request| message::Report {
        sightings: vec![message::Sighting { request, ..message::Sighting::default() }],
        ..message::Report::default()
    };
    assert_eq!(read(&sighting(None)), Err(Malformed::NoRequest));
    assert_eq!(read(&sighting(named(vec![1; 15], Some(1)))), Err(Malformed::Content(15)));
    assert_eq!(read(&sighting(named(vec![1; 16], None))), Err(Malformed::NoCaller));
    assert_eq!(read(&sighting(named(vec![1; 16], Some(1)))), Ok(()));
    let garbage = node::gateway::quarantine_report::read(&[0xff; 40], now);
    assert!(matches!(garbage, Err(Malformed::NotReadable(_))), "{garbage:?}");
}

/// Ages beyond any that matters are cut, so that no sender makes a node add up times that it cannot hold.
#[test]
fn an_age_beyond_all_that_matters_is_cut() {
    let now = Instant::now();
    let message = message::Report {
        sightings: vec![message::Sighting {
            request: Some(message::Request { content: vec![1; 16], caller: Some(1) }),
            sent_ms: u64::MAX,
            crashed_ms: u64::MAX,
            ..message::Sighting::default()
        }],
        ..message::Report::default()
    };
    let (_, news) = read(&message.encode_to_vec(), now).expect("it can be read");
    let age = now.saturating_duration_since(news.sightings[0].crash.at);
    assert!(age <= Duration::from_secs(48 * 3_600), "{age:?}");
}
