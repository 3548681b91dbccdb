//! Extracts of a gateway's copy of the store, and the call by which another gateway gets them.

use std::io;
use std::net;

use node::gateway::extracts;
use node::gateway::peer;
use platform::store::item;
use standin::platform::listener;
use tokio::io::{AsyncBufReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::{TcpListener, TcpStream};
use wire::gateway::extract;

use crate::client;
use crate::fixture;
use crate::rig;
use crate::store;

/// Length from which extracts are compressed, in bytes.
const COMPRESSED_FROM: usize = 16 * 1_024;

fn item(key: &str, revision: u64, value: Option<&str>) -> item::Item {
    item::Item {
        key: key.to_owned(),
        value: value.unwrap_or_default().as_bytes().to_vec(),
        revision,
        is_removed: value.is_none(),
        lease: 0,
        era: 0,
    }
}

/// An extract of changes, with one of each kind of item.
fn changes() -> extract::Extract {
    let items = vec![
        item("op/config", 3, Some(r#"{"version":7}"#)),
        item("op/evacuate/north-1", 4, Some("")),
        item("servers/i-1", 5, Some("{}")),
        item("servers/i-0", 6, None),
    ];
    extract::Extract {
        page: item::Page { items, more: false, at: 6, era: 0 },
        is_whole: false,
        fleet: 0,
    }
}

/// A whole copy that is long enough to be compressed.
fn whole() -> extract::Extract {
    let entry = |n: u64| item(&format!("servers/i-{n:03}"), n, Some(&"entry ".repeat(9)));
    let items = (1..=200).map(entry).collect();
    extract::Extract {
        page: item::Page { items, more: true, at: 200, era: 0 },
        is_whole: true,
        fleet: 0,
    }
}

fn same(a: &extract::Extract, b: &extract::Extract) -> bool {
    (&a.page, a.is_whole) == (&b.page, b.is_whole)
}

#[test]
fn a_short_extract_is_plain_json() {
    fixture::assert_is("extract.json", &extracts::encode(&changes()).expect("it is encoded"));
    let read = extracts::decode(&fixture::read("extract.json")).expect("an extract");
    assert!(same(&read, &changes()), "{read:?}");
}

/// The compressed bytes themselves are the library's; what is pinned is that they are gzip.
#[test]
fn a_long_extract_is_compressed_json() {
    let written = extracts::encode(&whole()).expect("it is encoded");
    assert_eq!(written[..3], [0x1f, 0x8b, 8]);
    let read = extracts::decode(&fixture::read("extract.json.gz")).expect("an extract");
    assert!(same(&read, &whole()), "{read:?}");
    let mut text = Vec::new();
    let mut decoder = flate2::read::GzDecoder::new(written.as_slice());
    io::Read::read_to_end(&mut decoder, &mut text).expect("gzip");
    assert_eq!(text, serde_json::to_vec(&whole()).expect("an extract can be written"));
}

#[test]
fn extracts_are_compressed_from_sixteen_kilobytes_on() {
    let of_key = |length: usize| {
        let items = vec![item(&"k".repeat(length), 1, Some(""))];
        let page = item::Page { items, more: false, at: 1, era: 0 };
        let extract = extract::Extract { page, is_whole: true, fleet: 0 };
        let length = serde_json::to_vec(&extract).expect("it can be written").len();
        (length, extracts::encode(&extract).expect("it is encoded"))
    };
    let (around, _) = of_key(0);
    let (length, plain) = of_key(COMPRESSED_FROM - around - 1);
    assert_eq!((length, plain[0]), (COMPRESSED_FROM - 1, b'{'));
    let (length, compressed) = of_key(COMPRESSED_FROM - around);
    assert_eq!((length, compressed[0]), (COMPRESSED_FROM, 0x1f));
}

async fn ask(peers: net::SocketAddr, target: &str) -> client::Answer {
    let mut client = client::Client::connect(peers).await;
    client.write(format!("GET {target} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes()).await;
    client.read().await
}

#[tokio::test]
async fn the_call_for_changes_and_its_statuses() {
    assert_eq!(peer::CHANGES, "/peer/changes");
    let rig = rig::Rig::start(&rig::routes()).await;
    let door = store::open(&rig).await;
    let closed = store::open(&rig).await;
    closed.set(listener::Mode::Busy);
    let complete = rig.gateway("n-1", "north-1", &door).await;
    let empty = rig.gateway_at("n-2", "north-1", closed.address, &[]).await;
    assert_eq!(ask(empty.peers, "/peer/changes?0").await.status, 503);
    for wrong in ["/peer/changes", "/peer/changes?", "/peer/changes?x", "/peer/changes?after=0"] {
        assert_eq!(ask(complete.peers, wrong).await.status, 400, "{wrong}");
    }
    assert_eq!(ask(complete.peers, "/peer/else").await.status, 404);
    let answer = ask(complete.peers, "/peer/changes?0").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("content-type"), Some("application/octet-stream"));
    let extract = extracts::decode(&answer.body).expect("an extract");
    assert!(extract.is_whole && extract.page.items.iter().any(|item| item.key == "op/config"));
    let after = ask(complete.peers, &format!("/peer/changes?{}", extract.page.at)).await;
    assert!(!extracts::decode(&after.body).expect("an extract").is_whole);
}

/// A gateway that the store turns away asks its seed, here a stand-in that answers with a fixture.
#[tokio::test]
async fn a_gateway_asks_for_changes_and_takes_the_fixture() {
    let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let seed = listener.local_addr().expect("it listens");
    let rig = rig::Rig::start(&[]).await;
    let door = store::open(&rig).await;
    door.set(listener::Mode::Busy);
    let gateway = rig.gateway_at("n-1", "north-1", door.address, &[seed]).await;
    let (stream, _) = listener.accept().await.expect("the gateway connects");
    let (asked, mut stream) = head(stream).await;
    assert_eq!(asked, format!("GET /peer/changes?0 HTTP/1.1\r\nhost: {seed}\r\n\r\n"));
    let body = fixture::read("extract-of-a-deployment.json");
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(&[answer.into_bytes(), body].concat()).await.expect("the gateway reads");
    gateway.wait_ready().await;
    let again = ask(gateway.peers, "/peer/changes?0").await;
    assert_eq!(
        again.text(),
        String::from_utf8_lossy(&fixture::read("extract-of-a-deployment.json"))
    );
}

async fn head(stream: TcpStream) -> (String, BufReader<TcpStream>) {
    let mut stream = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        stream.read_line(&mut head).await.expect("a line");
    }
    (head, stream)
}
