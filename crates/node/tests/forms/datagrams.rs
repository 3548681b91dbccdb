//! Datagrams between gateways: heartbeats, loads and the sums of regions.

use std::net;
use std::time::Duration;

use model::id;
use node::gateway::datagram;
use node::gateway::member;
use prost::Message as _;
use standin::platform::upstream;
use steer::dispatch::connectivity::report;
use steer::dispatch::fleet::repair;
use steer::dispatch::peer_load;
use tokio::net::UdpSocket;
use wire::gateway::{heartbeat, loads};

use crate::fixture;
use crate::rig;
use crate::store;

/// Longest datagram that is looked at, in bytes.
const LONGEST: usize = 2_048;

/// Time between two heartbeats of a stand-in; far less than the silence that ends a life.
const PERIOD: Duration = Duration::from_millis(150);

fn member() -> member::Member {
    member::Member {
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

/// A member as it starts: fields at zero and false are left out of a datagram.
fn fresh() -> member::Member {
    member::Member {
        sequence: 0,
        is_ready: false,
        is_leaving: false,
        is_store_reached: false,
        at: 0,
        ..member()
    }
}

#[test]
fn a_heartbeat() {
    for (name, member) in [("heartbeat.bin", member()), ("heartbeat-fresh.bin", fresh())] {
        fixture::assert_is(name, &datagram::write(&member));
        assert_eq!(datagram::read(&fixture::read(name)), Some(member), "{name}");
    }
    assert_eq!((heartbeat::MARK, loads::MARK), (2, 1));
}

/// The loads that nodes send in the tests below, with their fixtures.
fn sent() -> Vec<(&'static str, loads::Loads)> {
    let desk = peer_load::Key::of(&id::Upstream::new("i-0")).0;
    let shelf = peer_load::Key::of(&id::Upstream::new("i-1")).0;
    let loads = |node: &str, upstreams: &[u32], requests: &[u32]| loads::Loads {
        node: node.to_owned(),
        upstreams: upstreams.to_vec(),
        requests: requests.to_vec(),
        organisations: Vec::new(),
        asked: Vec::new(),
        admitted: Vec::new(),
        excess: Vec::new(),
        debts: Vec::new(),
        sends: None,
        limits: None,
        leavings: None,
        rollouts: Vec::new(),
        demand: None,
        slow: None,
        held: None,
        queued: None,
    };
    vec![
        ("loads-none.bin", loads("n-7", &[], &[])),
        ("loads-of-n-7.bin", loads("n-7", &[desk, shelf], &[3, 300])),
        ("loads-of-s-1.bin", loads("s-1", &[desk], &[2])),
        ("loads-sum-south.bin", loads("+south", &[desk], &[4])),
    ]
}

#[test]
fn loads_and_the_short_names_of_upstreams() {
    for (name, loads) in sent() {
        let mut datagram = vec![loads::MARK];
        datagram.extend(loads.encode_to_vec());
        fixture::assert_is(name, &datagram);
        let read = loads::Loads::decode(&fixture::read(name)[1..]).expect("loads");
        assert_eq!(read, loads, "{name}");
    }
    assert_eq!(peer_load::Key::of(&id::Upstream::new("i-0")).0, 0x_2649_f17b);
}

/// A stand-in of a gateway that takes what the real one sends.
struct Peer {
    socket: UdpSocket,
    gateway: net::SocketAddr,
}

impl Peer {
    async fn start(gateway: &rig::Gateway) -> Self {
        let socket = UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        Self { socket, gateway: gateway.peers }
    }

    async fn send(&self, bytes: &[u8]) {
        self.socket.send_to(bytes, self.gateway).await.expect("it is sent");
    }

    /// Sends a heartbeat of the node called `node`, whose address for peers is this stand-in's.
    async fn heartbeat(&self, node: &str, region: &str, sequence: u64) {
        let sender = member::Member {
            node: id::Node::new(node),
            sequence,
            region: id::Region::new(region),
            callers: ([127, 0, 0, 1], 1).into(),
            peers: self.socket.local_addr().expect("it is bound"),
            is_leaving: false,
            ..member()
        };
        self.send(&datagram::write(&sender)).await;
    }

    /// Returns the next datagram that begins with `mark`; none when none came for a while.
    async fn next(&self, mark: u8) -> Option<Vec<u8>> {
        let mut buffer = vec![0; LONGEST];
        loop {
            let received = tokio::time::timeout(PERIOD, self.socket.recv_from(&mut buffer)).await;
            let (length, _) = received.ok()?.expect("it is received");
            if buffer[0] == mark {
                return Some(buffer[..length].to_vec());
            }
        }
    }
}

#[tokio::test]
async fn a_gateway_sends_its_loads_and_its_heartbeat() {
    let rig = rig::Rig::start(&rig::routes()).await;
    let desk = rig.upstream("i-0", "desk", "north-1").await;
    desk.set(upstream::Behavior::Slow(rig::PATIENCE));
    let door = store::open(&rig).await;
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    let peer = Peer::start(&gateway).await;
    let mut caller = gateway.caller().await;
    let request = crate::client::request("GET", "/read/a", "id", "");
    caller.write(request.as_bytes()).await;
    let mut sequence = 0;
    rig::until("the loads come", async || {
        sequence += 1;
        peer.heartbeat("n-7", "north", sequence).await;
        let Some(datagram) = peer.next(loads::MARK).await else { return false };
        let read = loads::Loads::decode(&datagram[1..]).expect("loads");
        let is_any = !read.upstreams.is_empty();
        if is_any {
            fixture::assert_is("loads-of-n-1.bin", &datagram);
        }
        is_any
    })
    .await;
    rig::until("a heartbeat comes", async || {
        sequence += 1;
        peer.heartbeat("n-7", "north", sequence).await;
        let Some(datagram) = peer.next(heartbeat::MARK).await else { return false };
        let read = datagram::read(&datagram).expect("a heartbeat");
        assert_eq!((read.node.as_str(), read.hall.as_str()), ("n-1", "north-1"));
        assert_eq!((read.callers, read.peers), (gateway.callers, gateway.peers));
        assert_eq!(datagram::write(&read), datagram);
        true
    })
    .await;
}

#[tokio::test]
async fn the_first_node_of_a_region_sends_the_sums_of_regions() {
    let rig = rig::Rig::start(&rig::routes()).await;
    let door = store::open(&rig).await;
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    let others = Peer::start(&gateway).await;
    let rest = Peer::start(&gateway).await;
    let far = Peer::start(&gateway).await;
    let mut sequence = 0;
    let (mut of_north, mut of_others) = (None, None);
    rig::until("both sums come", async || {
        sequence += 1;
        for node in ["n-2", "n-3", "n-4", "n-5", "n-6"] {
            others.heartbeat(node, "north", sequence).await;
        }
        rest.heartbeat("n-7", "north", sequence).await;
        far.heartbeat("s-1", "south", sequence).await;
        for name in ["loads-of-n-7.bin", "loads-of-s-1.bin", "loads-sum-south.bin"] {
            rest.send(&fixture::read(name)).await;
        }
        of_north = sum(&far, "+north", &[3, 300]).await.or(of_north.take());
        of_others = sum(&rest, "+not-north", &[6]).await.or(of_others.take());
        of_north.is_some() && of_others.is_some()
    })
    .await;
    fixture::assert_is("loads-sum-north.bin", &of_north.expect("it came"));
    fixture::assert_is("loads-sum-not-north.bin", &of_others.expect("it came"));
}

/// Returns the next datagram if it is the sum called `node` of these requests.
async fn sum(peer: &Peer, node: &str, requests: &[u32]) -> Option<Vec<u8>> {
    let datagram = peer.next(loads::MARK).await?;
    let loads = loads::Loads::decode(&datagram[1..]).expect("loads");
    (loads.node == node && loads.requests == requests).then_some(datagram)
}
