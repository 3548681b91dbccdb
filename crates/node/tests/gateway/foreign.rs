//! A node of another fleet gets the address of one that is gone. It was taken for one of this fleet, since nothing in a heartbeat or an
//! extract says whose it is: each fleet adopted the other's configuration and upstreams, and ran its callers' requests there.

use std::time::Duration;

use node::gateway::extracts;
use platform::fact;
use platform::store::item;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use wire::gateway::extract;

use crate::rig::{self, Rig};
use crate::silence;
use crate::traffic::{HALLS, PATH};

/// Time after which a fleet's nodes know each other.
const KNOWN: Duration = Duration::from_secs(8);

/// Time for which both fleets run beside each other; some heartbeats of every node.
const BESIDE: Duration = Duration::from_secs(3);

/// Entries that the other fleet's store has seen more, so that its nodes are ahead by revisions.
const AHEAD: usize = 40;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn mixed_a_node_at_an_address_of_another_fleet_keeps_to_its_own_upstreams() {
    let (ours, theirs) = (Rig::start(&rig::routes()).await, Rig::start(&rig::routes()).await);
    let our_upstream = ours.upstream("i-0", "desk", HALLS[0]).await;
    let their_upstream = theirs.upstream("i-0", "desk", HALLS[0]).await;
    let our_door = ours.store.open().await.expect("the store opens");
    let their_door = theirs.store.open().await.expect("the store opens");
    let stays = theirs.gateway("n-1", HALLS[0], &their_door).await;
    let goes = theirs.gateway_at("n-2", HALLS[0], their_door.address, &[stays.peers]).await;
    goes.wait_ready().await;
    let mut stranger = ours.gateway("n-3", HALLS[0], &our_door).await;
    tokio::time::sleep(KNOWN).await;
    let freed = goes.peers;
    drop(goes);
    stranger.peers = freed;
    let stranger = stranger.restart().await;
    for _ in 0..AHEAD {
        theirs.enter(&their_upstream, "desk", HALLS[0], "ready");
    }
    tokio::time::sleep(BESIDE).await;
    for number in 0..20 {
        let answer = stranger.caller().await.get(PATH, &format!("ours-{number}")).await;
        assert_eq!(answer.status, 200);
        let answer = stays.caller().await.get(PATH, &format!("theirs-{number}")).await;
        assert_eq!(answer.status, 200);
    }
    for (upstream, names) in [(&our_upstream, "ours-"), (&their_upstream, "theirs-")] {
        let ran: Vec<String> = upstream.record().ran.into_keys().collect();
        assert_eq!(ran.len(), 20, "{ran:?}");
        assert!(ran.iter().all(|id| id.starts_with(names)), "{ran:?}");
    }
}

/// A node's heartbeats do not say of which fleet it is, since it has just started; its copy of the store does.
#[tokio::test]
async fn config_a_copy_of_another_fleets_store_is_not_taken() {
    let ours = Rig::start(&rig::routes()).await;
    let upstream = ours.upstream("i-0", "desk", HALLS[0]).await;
    let door = ours.store.open().await.expect("the store opens");
    let gateway = ours.gateway("n-3", HALLS[0], &door).await;
    rig::until("the fleet has a number", async || gateway.has_logged(&["event=fleet-known"])).await;
    let listener = TcpListener::bind((ours.store.ip(), 0)).await.expect("a port is free");
    let address = listener.local_addr().expect("it listens");
    let beats = tokio::spawn(silence::beat(address, gateway.peers));
    let copies = tokio::spawn(serve_foreign_copy(listener));
    rig::until("its copy was asked for", async || {
        gateway.has_logged(&["event=extract-of-another-fleet"])
    })
    .await;
    let answer = gateway.caller().await.get(PATH, "ours").await;
    assert_eq!((answer.status, upstream.record().arrivals), (200, 1));
    beats.abort();
    copies.abort();
}

/// Answers each connection with a copy of a store that holds nothing but another fleet's number.
async fn serve_foreign_copy(listener: TcpListener) {
    let number = item::Item {
        key: fact::FLEET.to_owned(),
        value: b"7".to_vec(),
        revision: 1,
        is_removed: false,
        lease: 0,
        era: 0,
    };
    let page = item::Page { items: vec![number], more: false, at: u64::MAX / 2, era: 0 };
    let copy = extracts::encode(&extract::Extract { page, is_whole: true, fleet: 7 });
    let copy = copy.expect("an extract can be written");
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut request = [0; 2_048];
        // A request that does not come whole is answered all the same.
        let _ = stream.read(&mut request).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", copy.len());
        let _ = stream.write_all(&[head.as_bytes(), &copy].concat()).await;
    }
}
