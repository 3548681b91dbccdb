//! Several gateways: what they learn from each other, and whom look-ups name.

use std::net;
use std::time::Duration;

use platform::fact;
use prost::Message as _;
use standin::platform::listener::Mode;
use tokio::net::UdpSocket;
use wire::gateway::{heartbeat, loads as message};

use crate::rig::{self, Rig};

/// Time in which further lines of the same moment arrive; less than the second after which one more may be logged.
const LATE_LINES: Duration = Duration::from_millis(200);

#[tokio::test]
async fn recover_a_node_that_the_store_turns_away_learns_from_its_peers() {
    for mode in [Mode::Busy, Mode::Many, Mode::Silent] {
        let mut rig = Rig::start(&rig::routes()).await;
        let _desk = rig.upstream("i-desk", "desk", "north-1").await;
        let _shelf = rig.upstream("i-shelf", "shelf", "north-1").await;
        let open = rig.store.open().await.expect("the store opens");
        let other = rig.store.open().await.expect("the store opens");
        let served = rig.gateway("n-1", "north-1", &open).await;
        other.set(mode);
        // It starts while it is turned away, so all it knows comes from the other node.
        let turned_away = rig.gateway_at("n-2", "north-1", other.address, &[served.peers]).await;
        turned_away.wait_ready().await;
        let mut routes = rig::routes();
        routes[0].service = "shelf";
        rig.configure(&routes);
        let mut caller = turned_away.caller().await;
        rig::until("the new version is in force", async || {
            caller.get("/read/a", "id").await.text() == "answer of i-shelf to id"
        })
        .await;
        rig::until("it is logged that a peer told it", async || {
            turned_away.has_logged(&["event=config-adopted", "source=peer"])
        })
        .await;
    }
}

#[tokio::test]
async fn directory_a_dead_node_is_no_longer_named() {
    let rig = Rig::start(&rig::routes()).await;
    let door = rig.store.open().await.expect("the store opens");
    let first = rig.gateway("n-1", "north-1", &door).await;
    let second = rig.gateway("n-2", "north-2", &door).await;
    let gone = second.callers.to_string();
    rig::until("both are named", async || {
        let named = first.look_up().await;
        named.contains(&gone) && named.contains(&first.callers.to_string())
    })
    .await;
    drop(second);
    rig::until("the dead one is not", async || !first.look_up().await.contains(&gone)).await;
}

#[tokio::test]
async fn directory_nodes_of_another_region_are_named_only_when_there_are_no_nearer_ones() {
    let rig = Rig::start(&rig::routes()).await;
    let door = rig.store.open().await.expect("the store opens");
    let south = rig.gateway("s-1", "south-1", &door).await;
    assert!(south.look_up().await.contains(&south.callers.to_string()));
    let north = rig.gateway("n-1", "north-1", &door).await;
    rig::until("only the near one is named", async || {
        let named = south.look_up().await;
        named.contains(&north.callers.to_string()) && !named.contains(&south.callers.to_string())
    })
    .await;
}

#[tokio::test]
async fn a_registration_that_is_taken_away_is_written_again() {
    let rig = Rig::start(&rig::routes()).await;
    let door = rig.store.open().await.expect("the store opens");
    let _gateway = rig.gateway("n-1", "north-1", &door).await;
    let is_listed = || rig.store.keys(fact::NODES) == ["nodes/n-1"];
    rig::until("it is registered", async || is_listed()).await;
    rig.store.remove("nodes/n-1");
    rig::until("it is registered again", async || is_listed()).await;
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_does_not_keep_a_node_from_serving() {
    let rig = Rig::start(&rig::routes()).await;
    let _desk = rig.upstream("i-desk", "desk", "north-1").await;
    let door = rig.store.open().await.expect("the store opens");
    door.set(Mode::LosesWrites);
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    assert_eq!(gateway.caller().await.get("/read/a", "id").await.status, 200);
    door.set(Mode::Open);
    rig::until("it is registered", async || rig.store.keys(fact::NODES) == ["nodes/n-1"]).await;
}

#[tokio::test]
async fn a_node_that_starts_from_an_old_copy_learns_what_changed_since() {
    let mut rig = Rig::start(&rig::routes()).await;
    let desk = rig.upstream("i-desk", "desk", "north-1").await;
    rig.store.age();
    let _shelf = rig.upstream("i-shelf", "shelf", "north-1").await;
    rig.enter(&desk, "desk", "north-1", "draining");
    let mut routes = rig::routes();
    routes[0].service = "shelf";
    rig.configure(&routes);
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    rig::until("what changed is in force", async || {
        gateway.caller().await.get("/read/a", "id").await.text().contains("i-shelf")
    })
    .await;
    let calls = rig.store.calls();
    assert_eq!((calls.reads, calls.stale_reads), (0, 1), "{calls:?}");
}

#[tokio::test]
async fn a_node_that_starts_again_takes_over_its_registration() {
    let rig = Rig::start(&rig::routes()).await;
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    let is_listed = || rig.store.keys(fact::NODES) == ["nodes/n-1"];
    rig::until("it is registered", async || is_listed()).await;
    let before = rig.store.calls();
    let _gateway = gateway.restart().await;
    rig::until("its lease is renewed", async || rig.store.calls().renewals > before.renewals).await;
    assert_eq!(rig.store.calls().writes, before.writes);
    assert!(is_listed());
}

#[tokio::test]
async fn malformed_datagrams_are_dropped_counted_and_logged_once_a_second() {
    let rig = Rig::start(&rig::routes()).await;
    let _desk = rig.upstream("i-desk", "desk", "north-1").await;
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    let socket = UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let stranger = message::Loads { node: "n-9".to_owned(), ..message::Loads::default() };
    let uneven = message::Loads {
        node: "+a".to_owned(),
        upstreams: vec![1, 2],
        requests: vec![3],
        ..message::Loads::default()
    };
    let loads = |loads: &message::Loads| [vec![message::MARK], loads.encode_to_vec()].concat();
    let datagrams = [
        vec![],
        vec![250, 1, 2],
        vec![heartbeat::MARK, 255, 255],
        vec![message::MARK, 10, 200],
        vec![message::MARK; 17_000],
        loads(&stranger),
        loads(&uneven),
    ];
    for datagram in &datagrams {
        socket.send_to(datagram, gateway.peers).await.expect("it is sent");
    }
    let count = datagrams.len() as u64;
    rig::until("all are counted", async || gateway.metric("malformed_datagrams").await == count)
        .await;
    assert_eq!(gateway.caller().await.get("/read/a", "id").await.status, 200);
    // Lines are written by a thread of the gateway's and read by one of the test's.
    let is_logged = async || gateway.has_logged(&["event=datagram-malformed"]);
    rig::until("one is logged", is_logged).await;
    tokio::time::sleep(LATE_LINES).await;
    let lines = gateway.lines.lock().expect("no reader panics");
    let logged = lines.iter().filter(|line| line.contains("event=datagram-malformed"));
    assert_eq!(logged.count(), 1);
}

#[tokio::test]
async fn directory_a_large_region_names_its_strongest_nodes() {
    let rig = Rig::start(&rig::routes()).await;
    let door = rig.store.open().await.expect("the store opens");
    let mut strong: Vec<rig::Gateway> = Vec::new();
    for index in 0..9 {
        let seeds: Vec<_> = strong.first().map(|first| first.peers).into_iter().collect();
        let name = format!("n-{index}");
        strong.push(rig.gateway_at(&name, "north-1", door.address, &seeds).await);
    }
    let seeds = [strong[0].peers];
    let weak = "processor:\n  share: 0.1\n";
    // The first by name, which is no reason to name it.
    let weak = [
        rig.gateway_with("a-1", "north-1", door.address, &seeds, weak).await,
        rig.gateway_with("a-2", "north-2", door.address, &seeds, weak).await,
    ];
    for asked in [&strong[4], &weak[0]] {
        rig::until("the nine strong ones are named, and no other", async || {
            let named = asked.look_up().await;
            let is_named = |node: &rig::Gateway| named.contains(&node.callers.to_string());
            strong.iter().all(is_named) && !weak.iter().any(is_named)
        })
        .await;
    }
    // Whatever a caller asks of one that is not named is served.
    let _desk = rig.upstream("i-desk", "desk", "north-1").await;
    rig::until("the weak one serves", async || {
        weak[1].caller().await.get("/read/a", "id").await.status == 200
    })
    .await;
}
