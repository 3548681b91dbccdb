//! Slots: under contention, gateways send to an upstream only while they hold one of its slots, which one of them grants.
//!
//! Without slots, each gateway estimates the free slots of an upstream from load reports that are older than the work
//! takes, so that a fifth of the requests were turned away by upstreams at the worst load.

use std::net;
use std::sync;
use std::time::{Duration, Instant};

use model::id;
use node::gateway::datagram;
use node::gateway::member;
use node::gateway::slots::datagram::{Answer, Ask, Asker, Datagram, Release};
use rand::RngExt as _;
use standin::platform::listener::Listener;
use standin::platform::upstream::{Behavior, Upstream};
use steer::dispatch::connectivity::report;
use steer::dispatch::fleet::repair;
use steer::dispatch::peer_load;
use steer::dispatch::slots::message::{self, Id, Reply};
use steer::dispatch::slow_start_owner;
use steer::dispatch::urgency;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpStream, UdpSocket};

use crate::client;
use crate::rig::{self, Gateway, Rig};

/// Requests that the upstream runs at once, as in the entries of the rig.
const SLOTS: u32 = 4;

/// Requests that wait at the upstream; it turns the rest away.
const QUEUE: u32 = 4;

/// Time that the upstream works on a request: 40 requests a second.
const WORK: Duration = Duration::from_millis(100);

/// Twice what the upstream can run.
const TOO_MANY: f64 = 80.0;

/// Longest time until a request without an urgent route is answered or refused.
const LONGEST: Duration = Duration::from_secs(3);

/// Setting by which the services with routes of several priorities use slots.
const AUTO: &str = "slots: auto\n";

/// Name of the upstream.
const UPSTREAM: &str = "i-0";

/// Two gateways and one upstream.
struct Pair {
    _rig: Rig,
    _door: sync::Arc<Listener>,
    upstream: Upstream,
    /// The gateway that owns the upstream's slots.
    owner: Gateway,
    /// The other gateway.
    other: Gateway,
}

/// Returns a configuration with an urgent route, `/buy/`, and another one.
fn config() -> serde_json::Value {
    let columns = [
        "name",
        "host",
        "path_prefix",
        "kind",
        "timeout",
        "target_latency",
        "priority",
        "max_attempts",
        "service",
    ];
    let row = |name: &str, prefix: &str, target: &str, priority: u32| {
        serde_json::json!([
            name,
            "site.example",
            prefix,
            "idempotent",
            "8s",
            target,
            priority,
            2,
            "desk"
        ])
    };
    serde_json::json!({
        "routes": {
            "columns": columns,
            "rows": [row("buy", "/buy/", "400ms", 0), row("read", "/read/", "1500ms", 1)],
        },
        "services": { "columns": ["name", "max_conns"], "rows": [["desk", 100]] },
    })
}

impl Pair {
    /// Starts both gateways with these lines of settings.
    async fn start(of_owner: &str, of_other: &str) -> Self {
        let mut rig = Rig::start(&rig::routes()).await;
        rig.put(config());
        let upstream = rig.upstream(UPSTREAM, "desk", "north-1").await;
        upstream.run_at_once(SLOTS, QUEUE, WORK);
        let door = rig.store.open().await.expect("the store opens");
        let names = ["n-0", "n-1"].map(id::Node::new);
        let owner = slow_start_owner::owner(&id::Upstream::new(UPSTREAM), names.iter());
        let owner = owner.expect("there are nodes").clone();
        let mut gateways = Vec::new();
        for name in &names {
            let more = if *name == owner { of_owner } else { of_other };
            let seeds: Vec<_> = gateways.iter().map(|gateway: &Gateway| gateway.peers).collect();
            let started = rig.gateway_with(name.as_str(), "north-1", door.address, &seeds, more);
            let started = started.await;
            started.wait_ready().await;
            gateways.push(started);
        }
        for gateway in &gateways {
            rig::until("both gateways know each other", async || {
                dump(gateway).await["peers_alive"].as_array().is_some_and(|peers| peers.len() == 1)
            })
            .await;
        }
        let is_first_owner = names[0] == owner;
        let (second, first) = (gateways.pop(), gateways.pop());
        let (first, second) = (first.expect("two gateways"), second.expect("two gateways"));
        let (owner, other) = if is_first_owner { (first, second) } else { (second, first) };
        Self { _rig: rig, _door: door, upstream, owner, other }
    }

    /// Requests `path` at each of these gateways for `time`, together so many times a second.
    async fn load(
        gateways: &[&Gateway],
        path: &'static str,
        per_second: f64,
        time: Duration,
    ) -> Vec<Ended> {
        let pause = Duration::from_secs_f64(1.0 / per_second);
        let began = Instant::now();
        let mut requests = tokio::task::JoinSet::new();
        for number in 0.. {
            let at = began + pause * number;
            if at.duration_since(began) >= time {
                break;
            }
            tokio::time::sleep_until(at.into()).await;
            let address = gateways[usize::try_from(number).expect("few") % gateways.len()].callers;
            let id = format!("{}-{number}", path.replace('/', ""));
            requests.spawn(request(address, path, id));
        }
        requests.join_all().await
    }
}

/// What became of a request.
#[derive(Clone, Debug)]
struct Ended {
    at: Instant,
    took: Duration,
    status: u16,
    retry_after: Option<String>,
}

/// Sends one request on a connection of its own; a gateway that is gone gives status 0.
async fn request(address: net::SocketAddr, path: &str, id: String) -> Ended {
    let at = Instant::now();
    let head = client::request("GET", path, &id, "");
    let write = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(head.as_bytes()).await?;
        std::io::Result::Ok(stream)
    };
    let answer = match write.await {
        Ok(stream) => client::Client::over(stream).read().await,
        Err(_) => client::Answer::default(),
    };
    let retry_after = answer.header("retry-after").map(str::to_owned);
    Ended { at, took: at.elapsed(), status: answer.status, retry_after }
}

async fn get(gateway: &Gateway, path: &str) -> String {
    let mut client = client::Client::connect(gateway.peers).await;
    client.write(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes()).await;
    client.read().await.text()
}

async fn dump(gateway: &Gateway) -> serde_json::Value {
    serde_json::from_str(&get(gateway, "/dump").await).expect("JSON")
}

/// Returns how many slots are held and asks are queued at an owner.
async fn owned(gateway: &Gateway) -> u64 {
    let dump = dump(gateway).await;
    let upstreams = dump["slots"].as_array().into_iter().flatten();
    let count = |shown: &serde_json::Value, name| shown[name].as_u64().expect("a number");
    upstreams.map(|shown| count(shown, "held") + count(shown, "queued")).sum()
}

/// Returns a figure of slots, summed over its labels; 0 where none is shown, as before the first ask.
async fn figure(gateway: &Gateway, name: &str) -> u64 {
    let text = get(gateway, "/metrics").await;
    let (plain, labelled) =
        (format!("yokespoke_slots_{name} "), format!("yokespoke_slots_{name}{{"));
    let lines = text.lines().filter(|l| l.starts_with(&plain) || l.starts_with(&labelled));
    let value = |line: &str| line.rsplit_once(' ').and_then(|(_, value)| value.parse::<u64>().ok());
    lines.map(|line| value(line).expect("a number")).sum()
}

fn count(ended: &[Ended], status: u16) -> usize {
    ended.iter().filter(|ended| ended.status == status).count()
}

fn median(ended: &[Ended]) -> Duration {
    let answered = ended.iter().filter(|ended| ended.status == 200);
    let mut times: Vec<Duration> = answered.map(|ended| ended.took).collect();
    times.sort_unstable();
    times[times.len() / 2]
}

/// Guards against upstreams that turn requests away because gateways send more than they can run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_an_upstream_turns_none_away_and_urgent_requests_go_first() {
    let pair = Pair::start(AUTO, AUTO).await;
    let both = [&pair.owner, &pair.other];
    let timed_out = async || {
        figure(both[0], "timed_out_total").await + figure(both[1], "timed_out_total").await
    };
    let urgent = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        for gateway in both {
            assert!(figure(gateway, "asked_total").await > 0, "asks began");
        }
        let before = (pair.upstream.record().turned_away, timed_out().await);
        (before, Pair::load(&both, "/buy/a", 10.0, Duration::from_secs(4)).await)
    };
    let reads = Pair::load(&both, "/read/a", TOO_MANY, Duration::from_secs(6));
    let (reads, (before, urgent)) = tokio::join!(reads, urgent);
    let turned_away = pair.upstream.record().turned_away - before.0;
    // On an overloaded machine, asks may time out, and their requests go without a slot.
    let without = timed_out().await - before.1;
    assert!(u64::from(turned_away) <= without, "{turned_away} turned away, {without} timed out");
    assert_eq!(count(&urgent, 200), urgent.len(), "every urgent request is answered");
    assert!(median(&urgent) < median(&reads), "{:?}, {:?}", median(&urgent), median(&reads));
    let (answered, refused) = (count(&reads, 200), count(&reads, 503));
    assert_eq!(answered + refused, reads.len(), "each is answered or refused as not run");
    // 40 a second for 6 s, of which 40 are urgent.
    assert!(answered >= 150, "{answered} reads are answered");
    assert!(refused > 0, "what cannot be run is refused");
    let refusals = reads.iter().filter(|ended| ended.status == 503);
    assert!(refusals.clone().all(|ended| ended.retry_after.is_some()), "told when to come back");
    assert!(reads.iter().all(|ended| ended.took < LONGEST));
    let is_told = |gateway: &Gateway| {
        gateway.has_logged(&["reason=overloaded", "owner=n-", "max_wait_ms=", "position="])
    };
    rig::until("the line of a refused request names the owner", async || {
        both.into_iter().any(is_told)
    })
    .await;
    let held: u64 = figure(&pair.owner, "held").await + figure(&pair.other, "held").await;
    assert!(held <= u64::from(SLOTS + 1), "{held} held after the end");
}

/// Guards against slots that are kept after the end of the load, also where callers leave while they wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_all_come_back_when_callers_leave() {
    let pair = Pair::start("slots: on\n", "slots: on\n").await;
    let both = [&pair.owner, &pair.other];
    let callers = both.map(|gateway| {
        let address = gateway.callers;
        let mut requests = tokio::task::JoinSet::new();
        for number in 0..30 {
            requests.spawn(async move {
                // Callers come again until they leave, so that the queue lasts until it has been seen.
                for round in 0.. {
                    request(address, "/read/a", format!("left-{number}-{round}")).await;
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            });
        }
        requests
    });
    rig::until("slots are held and asks are queued", async || {
        let shown = dump(&pair.owner).await;
        shown["slots"][0]["queued"].as_u64().is_some_and(|queued| queued > 0)
    })
    .await;
    drop(callers);
    rig::until("all slots are free and no ask waits", async || {
        let mut left = owned(&pair.owner).await;
        for gateway in both {
            left += figure(gateway, "held").await + figure(gateway, "queue_length").await;
        }
        left == 0
    })
    .await;
    // Load reports of the time before are up to a second old.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let ended = request(pair.other.callers, "/read/a", "after".to_owned()).await;
    assert_eq!(ended.status, 200);
}

/// Guards against a slot that is released when the head of a long answer arrives, although the upstream still works on it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_are_held_until_a_streamed_answer_has_ended() {
    let mut rig = Rig::start(&rig::routes()).await;
    rig.put(config());
    let upstream = rig.upstream(UPSTREAM, "desk", "north-1").await;
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway_with("n-0", "north-1", door.address, &[], AUTO).await;
    gateway.wait_ready().await;
    let ended = request(gateway.callers, "/read/a", "first".to_owned()).await;
    assert_eq!(ended.status, 200, "the gateway knows the upstream");
    upstream.set(Behavior::Streamed(Duration::from_millis(700)));
    let mut requests = tokio::task::JoinSet::new();
    // The first ones need no slot, the next ones get one, and the last one waits.
    for number in 0..SLOTS + 2 {
        requests.spawn(request(gateway.callers, "/read/a", format!("long-{number}")));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let shown = &dump(&gateway).await["slots"][0];
    let [held, others, queued] =
        ["held", "others", "queued"].map(|name| shown[name].as_u64().expect("a number"));
    assert!(held > 0, "{shown}");
    assert_eq!((held + others, queued), (u64::from(SLOTS + 1), 1), "{shown}");
    let ended = requests.join_all().await;
    assert_eq!(count(&ended, 200), ended.len());
    rig::until("all slots are free", async || owned(&gateway).await == 0).await;
}

/// Guards against requests that fail with the owner: they go without a slot until another node owns the upstream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_requests_go_on_when_the_owner_is_killed() {
    let Pair { _rig, _door, upstream: _upstream, owner, other } = Pair::start(AUTO, AUTO).await;
    let kill = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(figure(&other, "granted_total").await > 0, "the owner grants");
        drop(owner);
        Instant::now()
    };
    let time = Duration::from_secs(6);
    let survivor = [&other];
    let load = Pair::load(&survivor, "/read/a", TOO_MANY, time);
    let (ended, killed_at) = tokio::join!(load, kill);
    let (answered, refused) = (count(&ended, 200), count(&ended, 503));
    assert_eq!(answered + refused, ended.len(), "each is answered or refused as not run");
    assert!(ended.iter().all(|ended| ended.took < LONGEST));
    for second in 0..3 {
        let from = killed_at + Duration::from_secs(second);
        let within = |ended: &&Ended| (from..from + Duration::from_secs(1)).contains(&ended.at);
        let answered = ended.iter().filter(within).filter(|ended| ended.status == 200).count();
        assert!(answered >= 10, "{answered} of those sent in second {second} after the kill");
    }
    let owned = figure(&other, "owner_granted_total").await;
    assert!(owned > 0, "the other gateway grants the slots now");
}

/// Guards against slots that a dead gateway keeps, which would leave the upstream idle.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_of_a_killed_gateway_come_back() {
    let Pair { _rig, _door, upstream: _upstream, owner, other } = Pair::start(AUTO, AUTO).await;
    let both = [owner.callers, other.callers];
    let kill = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(figure(&other, "granted_total").await > 0, "the gateway holds slots");
        drop(other);
    };
    let load = async {
        let mut requests = tokio::task::JoinSet::new();
        let began = Instant::now();
        for number in 0..160_u32 {
            let at = began + Duration::from_millis(25) * number;
            tokio::time::sleep_until(at.into()).await;
            let address = both[usize::try_from(number).expect("few") % 2];
            requests.spawn(request(address, "/read/a", format!("two-{number}")));
        }
        requests.join_all().await;
    };
    tokio::join!(load, kill);
    let began = Instant::now();
    rig::until("all slots are free", async || owned(&owner).await == 0).await;
    // The deadline of the requests is 8 s after they began, and leases last at least as long.
    assert!(began.elapsed() < Duration::from_secs(6), "after {:?}", began.elapsed());
    let ended = Pair::load(&[&owner], "/read/a", 20.0, Duration::from_secs(1)).await;
    assert_eq!(count(&ended, 200), ended.len());
}

/// Guards against a fleet that serves only while all of its gateways use slots.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_a_pair_of_which_one_has_none_serves() {
    for (of_owner, of_other) in [("slots: off\n", "slots: on\n"), ("slots: on\n", "slots: off\n")] {
        let pair = Pair::start(of_owner, of_other).await;
        let both = [&pair.owner, &pair.other];
        let ended = Pair::load(&both, "/read/a", TOO_MANY, Duration::from_secs(3)).await;
        let (answered, refused) = (count(&ended, 200), count(&ended, 503));
        assert_eq!(answered + refused, ended.len(), "each is answered or refused as not run");
        assert!(answered >= 60, "{answered} of 120 that the upstream can run");
        let (off, on) = match of_owner.contains("off") {
            true => (&pair.owner, &pair.other),
            false => (&pair.other, &pair.owner),
        };
        assert_eq!(figure(off, "asked_total").await, 0, "a gateway without slots never asks");
        assert!(figure(on, "asked_total").await > 0);
    }
}

/// Guards against asks that get lost between regions: they go to the first representative of the upstream's region, which
/// forwards them, and the owner answers the gateway that asked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_asks_reach_the_owner_in_another_region() {
    let mut rig = Rig::start(&rig::routes()).await;
    rig.put(config());
    let names = ["n-0", "n-1"].map(id::Node::new);
    let of_second = |id: &String| {
        let owner = slow_start_owner::owner(&id::Upstream::new(id), names.iter());
        owner == Some(&names[1])
    };
    let name = (0..).map(|number| format!("i-{number}")).find(of_second).expect("a name");
    let upstream = rig.upstream(&name, "desk", "north-1").await;
    upstream.run_at_once(SLOTS, QUEUE, WORK);
    let door = rig.store.open().await.expect("the store opens");
    let mut gateways = Vec::new();
    for (gateway, hall) in [("n-0", "north-1"), ("n-1", "north-1"), ("s-1", "south-1")] {
        let seeds: Vec<_> = gateways.iter().map(|gateway: &Gateway| gateway.peers).collect();
        let started = rig.gateway_with(gateway, hall, door.address, &seeds, AUTO).await;
        started.wait_ready().await;
        gateways.push(started);
    }
    for gateway in &gateways {
        rig::until("the gateways know each other", async || {
            dump(gateway).await["peers_alive"].as_array().is_some_and(|peers| peers.len() == 2)
        })
        .await;
    }
    let far = [&gateways[2]];
    let ended = Pair::load(&far, "/read/a", TOO_MANY, Duration::from_secs(4)).await;
    let (answered, refused) = (count(&ended, 200), count(&ended, 503));
    assert_eq!(answered + refused, ended.len(), "each is answered or refused as not run");
    assert!(answered >= 80, "{answered} of 160 that the upstream can run");
    assert!(figure(&gateways[0], "forwarded_total").await > 0);
    let granted = figure(&gateways[1], "owner_granted_total").await;
    assert!(granted > 0 && figure(&gateways[2], "granted_total").await > granted / 2);
}

/// Guards against a default that sends messages where the requests of a service are of one urgency.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_are_not_asked_for_where_nothing_calls_for_them() {
    let rig = Rig::start(&rig::routes()).await;
    let upstream = rig.upstream(UPSTREAM, "desk", "north-1").await;
    upstream.run_at_once(SLOTS, QUEUE, WORK);
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway_with("n-0", "north-1", door.address, &[], AUTO).await;
    gateway.wait_ready().await;
    Pair::load(&[&gateway], "/read/a", TOO_MANY, Duration::from_secs(1)).await;
    assert!(!get(&gateway, "/metrics").await.contains("yokespoke_slots_"));
    assert!(dump(&gateway).await["slots"].is_null());
}

/// A stand-in of another gateway, which sends heartbeats and datagrams of slots.
struct Peer {
    socket: UdpSocket,
    gateway: net::SocketAddr,
    sequence: u64,
}

impl Peer {
    async fn start(gateway: &Gateway) -> Self {
        let socket = UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        Self { socket, gateway: gateway.peers, sequence: 0 }
    }

    fn address(&self) -> net::SocketAddr {
        self.socket.local_addr().expect("it is bound")
    }

    async fn send(&self, bytes: &[u8]) {
        self.socket.send_to(bytes, self.gateway).await.expect("it is sent");
    }

    /// Sends a heartbeat; a gateway that is not ready owns no slots.
    async fn heartbeat(&mut self, node: &str, is_ready: bool) {
        self.sequence += 1;
        let member = member::Member {
            node: id::Node::new(node),
            incarnation: 1_790_000_000_000,
            sequence: self.sequence,
            region: id::Region::new("north"),
            hall: id::Hall::new("north-1"),
            callers: self.address(),
            peers: self.address(),
            is_ready,
            is_leaving: false,
            is_store_reached: false,
            at: 0,
            era: 0,
            capacity: 1_000,
            requests: 0,
            leavings: repair::Digest::default(),
            fleet: None,
            connectivity: report::Report::default(),
            copy: None,
        };
        self.send(&datagram::write(&member)).await;
    }

    async fn ask(&self, id: u64, upstream: &str, asker: Option<Asker>) {
        let mut datagram = Datagram::new(id::Node::new("n-7"));
        let ask = message::Ask {
            id: Id(id),
            upstream: peer_load::Key::of(&id::Upstream::new(upstream)),
            urgency: urgency::Urgency::default(),
            organisation: 0,
            max_wait: Duration::from_millis(600),
            work: WORK,
            time_left: Duration::from_secs(2),
        };
        datagram.asks.push(Ask { ask, asker });
        self.send(&datagram.encode()).await;
    }

    async fn release(&self, id: u64) {
        let mut datagram = Datagram::new(id::Node::new("n-7"));
        let upstream = peer_load::Key::of(&id::Upstream::new(UPSTREAM));
        datagram.releases.push(Release { id: Id(id), upstream, asker: None });
        self.send(&datagram.encode()).await;
    }

    /// Returns the next datagram of slots.
    async fn next(&self) -> Datagram {
        let mut buffer = vec![0; 2_048];
        let next = async {
            loop {
                let (length, _) = self.socket.recv_from(&mut buffer).await.expect("it is received");
                if buffer[0] == wire::gateway::slots::MARK {
                    return Datagram::decode(&buffer[1..length]).expect("a datagram of slots");
                }
            }
        };
        tokio::time::timeout(LONGEST, next).await.expect("a datagram comes")
    }

    /// Returns the next ask of the gateway.
    async fn next_ask(&self) -> Id {
        loop {
            if let Some(ask) = self.next().await.asks.first() {
                return ask.ask.id;
            }
        }
    }

    async fn reply(&self, id: Id, upstream: &str, reply: Reply) {
        let mut datagram = Datagram::new(id::Node::new("n-7"));
        let upstream = peer_load::Key::of(&id::Upstream::new(upstream));
        datagram.answers.push(Answer { id, upstream, reply });
        self.send(&datagram.encode()).await;
    }

    /// Waits until an ask was released so many times.
    async fn released(&self, id: Id, times: usize) {
        let mut seen = 0;
        while seen < times {
            let releases = self.next().await.releases;
            seen += releases.iter().filter(|release| release.id == id).count();
        }
    }

    /// Returns the next answer: the ask and its reply.
    async fn answer(&self) -> (u64, Reply) {
        let datagram = self.next().await;
        let [Answer { id, reply, .. }] = datagram.answers[..] else { panic!("{datagram:?}") };
        (id.0, reply)
    }
}

/// What is kept while a test runs.
type Deployment = (Rig, sync::Arc<Listener>, Upstream);

/// Starts one gateway with one upstream, which has a stand-in as its peer.
async fn with_peer() -> (Deployment, Gateway, Peer) {
    let mut rig = Rig::start(&rig::routes()).await;
    rig.put(config());
    let upstream = rig.upstream(UPSTREAM, "desk", "north-1").await;
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway_with("n-0", "north-1", door.address, &[], AUTO).await;
    gateway.wait_ready().await;
    let mut peer = Peer::start(&gateway).await;
    rig::until("the peer is known", async || {
        peer.heartbeat("n-7", false).await;
        dump(&gateway).await["peers_alive"] == serde_json::json!(["n-7"])
    })
    .await;
    ((rig, door, upstream), gateway, peer)
}

/// Guards against an owner that grants more slots than there are, or forgets asks in its queue.
#[tokio::test]
async fn slots_an_owner_grants_queues_and_refuses() {
    let (_deployment, gateway, peer) = with_peer().await;
    let most = u64::from(SLOTS + 1);
    for id in 0..most {
        peer.ask(id, UPSTREAM, None).await;
        assert_eq!(peer.answer().await, (id, Reply::Granted));
    }
    peer.ask(most, UPSTREAM, None).await;
    assert_eq!(peer.answer().await, (most, Reply::Queued), "no slot is free");
    let shown = &dump(&gateway).await["slots"][0];
    assert_eq!((shown["held"].as_u64(), shown["queued"].as_u64()), (Some(most), Some(1)));
    peer.release(0).await;
    assert_eq!(peer.answer().await, (most, Reply::Granted), "the slot that was released");
    peer.ask(most + 1, UPSTREAM, None).await;
    assert_eq!(peer.answer().await, (most + 1, Reply::Queued));
    let began = Instant::now();
    let (id, reply) = peer.answer().await;
    assert!(matches!(reply, Reply::Refused { .. }) && id == most + 1, "{id}: {reply:?}");
    assert!(began.elapsed() >= Duration::from_millis(400), "after its maximum wait, not before");
    peer.ask(most + 2, "i-unknown", None).await;
    assert_eq!(peer.answer().await, (most + 2, Reply::Declined), "the upstream is unknown");
}

/// Guards against an owner whose answers or silence the asking gateway misreads: a grant is used and released, and the
/// release repeated; a queued ask without another answer is refused; an ask without any answer goes without a slot.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_a_gateway_follows_the_owner_and_outlasts_its_silence() {
    let mut rig = Rig::start(&rig::routes()).await;
    rig.put(config());
    let nodes = ["n-0", "n-7"].map(id::Node::new);
    let of_peer = |id: &String| {
        let owner = slow_start_owner::owner(&id::Upstream::new(id), nodes.iter());
        owner == Some(&nodes[1])
    };
    let name = (0..).map(|number| format!("i-{number}")).find(of_peer).expect("a name");
    let upstream = rig.upstream(&name, "desk", "north-1").await;
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway_with("n-0", "north-1", door.address, &[], AUTO).await;
    gateway.wait_ready().await;
    let mut peer = Peer::start(&gateway).await;
    rig::until("the peer is known", async || {
        peer.heartbeat("n-7", true).await;
        dump(&gateway).await["peers_alive"] == serde_json::json!(["n-7"])
    })
    .await;
    // The dispatcher takes over new nodes with its next tick.
    tokio::time::sleep(Duration::from_millis(400)).await;
    peer.heartbeat("n-7", true).await;
    upstream.set(Behavior::Slow(Duration::from_millis(600)));
    let send = |id: &str| tokio::spawn(request(gateway.callers, "/read/a", id.to_owned()));
    for number in 0..SLOTS {
        drop(send(&format!("first-{number}")));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let granted = send("granted");
    let of_granted = peer.next_ask().await;
    peer.reply(of_granted, &name, Reply::Granted).await;
    let queued = send("queued");
    let of_queued = peer.next_ask().await;
    peer.reply(of_queued, &name, Reply::Queued).await;
    let silent = send("silent");
    let of_silent = peer.next_ask().await;
    peer.released(of_silent, 1).await;
    peer.heartbeat("n-7", true).await;
    assert_eq!(granted.await.expect("it ends").status, 200);
    peer.released(of_granted, 2).await;
    assert_eq!(silent.await.expect("it ends").status, 200, "sent without a slot");
    let queued = queued.await.expect("it ends");
    assert_eq!(queued.status, 503);
    assert!(queued.retry_after.is_some() && queued.took < Duration::from_millis(1_500));
    assert_eq!(figure(&gateway, "timed_out_total").await, 1);
    rig::until("the line of the refused request is read", async || {
        gateway.has_logged(&["request=queued", "owner=n-7", "position=unknown"])
    })
    .await;
}

/// Guards against a forwarded ask whose answer goes to the node that forwarded it.
#[tokio::test]
async fn slots_a_forwarded_ask_is_answered_where_it_came_from() {
    let (_deployment, gateway, peer) = with_peer().await;
    let far = Peer::start(&gateway).await;
    let asker = Asker { node: id::Node::new("s-3"), peers: far.address() };
    peer.ask(1, UPSTREAM, Some(asker)).await;
    assert_eq!(far.answer().await, (1, Reply::Granted));
}

/// Guards against input from the network that changes state or ends the process.
#[tokio::test]
async fn slots_random_and_truncated_datagrams_change_nothing() {
    let (_deployment, gateway, peer) = with_peer().await;
    let mut whole = Datagram::new(id::Node::new("n-7"));
    let ask = message::Ask {
        id: Id(9),
        upstream: peer_load::Key::of(&id::Upstream::new(UPSTREAM)),
        urgency: urgency::Urgency::default(),
        organisation: 0,
        max_wait: WORK,
        work: WORK,
        time_left: LONGEST,
    };
    whole.asks.push(Ask { ask, asker: None });
    let whole = whole.encode();
    let mut sent = 0;
    for length in 1..whole.len() {
        peer.send(&whole[..length]).await;
        sent += 1;
    }
    for length in 1..100 {
        let mut bytes = vec![wire::gateway::slots::MARK];
        bytes.extend((0..length).map(|_| rand::rng().random::<u8>()));
        peer.send(&bytes).await;
        sent += 1;
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let mut stranger = Datagram::decode(&whole[1..]).expect("a datagram");
    stranger.node = id::Node::new("n-unknown");
    peer.send(&stranger.encode()).await;
    sent += 1;
    rig::until("all are counted", async || gateway.metric("malformed_datagrams").await == sent)
        .await;
    assert!(dump(&gateway).await["slots"].is_null(), "nothing is held or queued");
    assert!(!get(&gateway, "/metrics").await.contains("yokespoke_slots_"));
    assert_eq!(gateway.caller().await.get("/read/a", "id").await.status, 200);
}
