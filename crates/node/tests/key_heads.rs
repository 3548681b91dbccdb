//! Keys in raw heads: whatever a caller writes, an upstream sees no key and no name but the one that the gateway sets.

use std::net;
use std::time::{Duration, Instant};

use http::{HeaderName, HeaderValue, Request, request};
use model::{id, key};
use node::gateway::dialect::Dialect;
use node::gateway::proxy::head;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const CALLER: net::IpAddr = net::IpAddr::V4(net::Ipv4Addr::LOCALHOST);
const MARK: &str = "marked";
const MOST_HEADERS: usize = 64;

/// A line of a head.
#[derive(Clone, Debug)]
enum Line {
    /// A key, with the letters of its field's name in these cases, and spaces around its value.
    Key { cases: u16, length: usize, spaces: usize },
    /// A forged name of an organisation.
    Organisation { cases: u16 },
    /// Fields that are to concern this connection only.
    Connection(Vec<bool>),
    /// Something else.
    Other(u8),
}

impl Arbitrary for Line {
    fn arbitrary(g: &mut Gen) -> Self {
        let lengths = [0, 1, 20, key::MAX_BYTES - MARK.len(), key::MAX_BYTES, 4_000];
        match u8::arbitrary(g) % 5 {
            0 | 1 => Self::Key {
                cases: u16::arbitrary(g),
                length: *g.choose(&lengths).expect("there are some"),
                spaces: usize::arbitrary(g) % 4,
            },
            2 => Self::Organisation { cases: u16::arbitrary(g) },
            3 => Self::Connection(Vec::arbitrary(g)),
            _ => Self::Other(u8::arbitrary(g)),
        }
    }
}

/// Writes a name with the letters in the cases that the bits say.
fn cased(name: &str, cases: u16) -> String {
    let letter = |(index, c): (usize, char)| match cases >> (index % 16) & 1 {
        0 => c.to_ascii_lowercase(),
        _ => c.to_ascii_uppercase(),
    };
    name.chars().enumerate().map(letter).collect()
}

fn value(length: usize) -> String {
    match length {
        0 => String::new(),
        length => format!("{MARK}{}", "k".repeat(length)),
    }
}

impl Line {
    fn text(&self) -> String {
        match self {
            Self::Key { cases, length, spaces } => {
                let pad = " ".repeat(*spaces);
                format!("{}:{pad}{}{pad}", cased("x-api-key", *cases), value(*length))
            }
            Self::Organisation { cases } => {
                format!("{}: {MARK}-forged", cased("yokespoke-tenant", *cases))
            }
            Self::Connection(listed) => {
                let name = |of_key: &bool| if *of_key { "X-Api-Key" } else { "Yokespoke-Tenant" };
                let names: Vec<&str> = listed.iter().map(name).collect();
                format!("Connection: {}", names.join(", "))
            }
            Self::Other(number) => format!("X-Other-{number}: {number}"),
        }
    }
}

/// Reads a head as a server does.
fn parse(lines: &[Line]) -> request::Parts {
    let lines: String = lines.iter().map(|line| line.text() + "\r\n").collect();
    let raw = format!("GET /a HTTP/1.1\r\nHost: site.example\r\n{lines}\r\n");
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    assert!(parsed.parse(raw.as_bytes()).expect("the head is HTTP").is_complete());
    let mut request = Request::builder().uri("/a");
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).expect("a name");
        request = request.header(name, HeaderValue::from_bytes(header.value).expect("a value"));
    }
    request.body(()).expect("a request").into_parts().0
}

/// Says what a head gives, by its lines alone.
fn expected(lines: &[Line]) -> key::Credential {
    let keys: Vec<usize> = lines
        .iter()
        .filter_map(|line| match line {
            Line::Key { length, .. } => Some(*length),
            _ => None,
        })
        .collect();
    match keys.as_slice() {
        [] => key::Credential::None,
        [length] if *length > 0 && value(*length).len() <= key::MAX_BYTES => {
            key::Credential::Key(key::Digest::of(value(*length).as_bytes()))
        }
        _ => key::Credential::Malformed,
    }
}

fn holds(mut lines: Vec<Line>) -> bool {
    lines.truncate(MOST_HEADERS / 2);
    let read = head::Head::read(parse(&lines), CALLER, Instant::now(), Dialect::Platform);
    let read = read.expect("the head is clear");
    let organisation = id::Organisation::new("mairie");
    let sent = |organisation| {
        let upstream = id::Upstream::new("i-0");
        read.to_upstream(&upstream, Duration::from_secs(1), organisation, ())
    };
    let (named, unnamed) = (sent(Some(&organisation)), sent(None));
    let told: Vec<&HeaderValue> = named.headers().get_all("yokespoke-tenant").iter().collect();
    read.key == expected(&lines)
        && told == ["mairie"]
        && !unnamed.headers().contains_key("yokespoke-tenant")
        && !format!("{:?}", named.headers()).contains(MARK)
        && !format!("{read:?}").contains(MARK)
}

#[test]
fn no_head_leaks_a_key_or_forges_an_organisation() {
    QuickCheck::new().tests(2_000).quickcheck(holds as fn(Vec<Line>) -> bool);
}
