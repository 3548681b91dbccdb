//! Which configuration, which upstreams and which halls are in force.

use platform::fact;
use standin::platform::upstream::Behavior;

use crate::rig::{self, Rig, Route};

fn read_by(service: &'static str) -> Vec<Route> {
    let mut routes = rig::routes();
    routes[0].service = service;
    routes
}

#[tokio::test]
async fn config_a_new_version_is_in_force_and_never_goes_back() {
    let mut rig = Rig::start(&read_by("desk")).await;
    let _desk = rig.upstream("i-desk", "desk", "north-1").await;
    let _shelf = rig.upstream("i-shelf", "shelf", "north-1").await;
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    let first = gateway.caller().await.get("/read/a", "id-1").await;
    assert_eq!(first.text(), "answer of i-desk to id-1");
    rig.configure(&read_by("shelf"));
    let mut caller = gateway.caller().await;
    rig::until("the new version is in force", async || {
        caller.get("/read/a", "id-2").await.text() == "answer of i-shelf to id-2"
    })
    .await;
    // An older version under a newer revision, as a faulty operator might write it.
    let old = br#"{"version":1,"routes":{"columns":[],"rows":[]},
        "services":{"columns":[],"rows":[]}}"#;
    rig.store.put(fact::CONFIG, old);
    let marker = rig.store.put("op/marker", b"{}");
    rig::until("the older version was seen", async || {
        gateway.has_logged(&["revision"]) && knows(&gateway, marker).await
    })
    .await;
    assert_eq!(caller.get("/read/a", "id-3").await.text(), "answer of i-shelf to id-3");
}

/// Returns whether a gateway's copy of the store is complete up to `revision`.
async fn knows(gateway: &rig::Gateway, revision: u64) -> bool {
    let mut client = crate::client::Client::connect(gateway.peers).await;
    client.write(b"GET /dump HTTP/1.1\r\nHost: a\r\n\r\n").await;
    let dump: serde_json::Value =
        serde_json::from_slice(&client.read().await.body).expect("the dump is JSON");
    dump["revision"].as_u64().is_some_and(|known| known >= revision)
}

#[tokio::test]
async fn config_what_cannot_be_understood_leaves_the_last_good_version_in_force() {
    let rig = Rig::start(&read_by("desk")).await;
    let _desk = rig.upstream("i-desk", "desk", "north-1").await;
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    rig.store.put(fact::CONFIG, br#"{"version":99,"routes":{"columns":["name"],"rows":[["r"]]}}"#);
    rig.store.put(&format!("{}i-bad", fact::UPSTREAMS), b"{\"service\":7}");
    rig::until("both faults are counted", async || gateway.metric("malformed_items").await == 2)
        .await;
    // The line goes through the log's own thread and a pipe, so it may come after the count.
    rig::until("the fault is logged", async || {
        gateway.has_logged(&["event=item-malformed", "key=op/config"])
    })
    .await;
    assert_eq!(gateway.caller().await.get("/read/a", "id-1").await.status, 200);
}

#[tokio::test]
async fn drain_a_leaving_upstream_gets_no_new_work() {
    let rig = Rig::start(&rig::routes()).await;
    let a = rig.upstream("i-a", "desk", "north-1").await;
    let b = rig.upstream("i-b", "desk", "north-1").await;
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    assert_eq!(gateway.caller().await.get("/read/a", "first").await.status, 200);
    let (leaving, staying) = match a.record().arrivals {
        0 => (&b, &a),
        _ => (&a, &b),
    };
    rig.enter(leaving, "desk", "north-1", "draining");
    rig::until("the other takes the work", async || {
        let _ = gateway.caller().await.get("/read/a", "probe").await;
        staying.record().arrivals > 0
    })
    .await;
    let before = leaving.record().arrivals;
    for index in 0..20 {
        let id = format!("id-{index}");
        assert_eq!(gateway.caller().await.post("/write/a", &id, "x").await.status, 200);
    }
    assert_eq!(leaving.record().arrivals, before);
}

#[tokio::test]
async fn evac_a_hall_that_is_evacuated_gets_nothing_until_it_is_taken_back() {
    let rig = Rig::start(&rig::routes()).await;
    let near = rig.upstream("i-near", "desk", "north-1").await;
    let far = rig.upstream("i-far", "desk", "south-1").await;
    far.set(Behavior::Sound);
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    let key = format!("{}north-1", fact::EVACUATIONS);
    let evacuated = rig.store.put(&key, b"{}");
    rig::until("the evacuation is known", async || knows(&gateway, evacuated).await).await;
    let before = near.record().arrivals;
    for index in 0..20 {
        let id = format!("id-{index}");
        assert_eq!(gateway.caller().await.post("/write/a", &id, "x").await.status, 200);
    }
    assert_eq!((near.record().arrivals, far.record().arrivals), (before, 20));
    rig.store.remove(&key);
    rig::until("it is used again", async || {
        let _ = gateway.caller().await.get("/read/a", "probe").await;
        near.record().arrivals > before
    })
    .await;
}

#[tokio::test]
async fn config_a_watch_whose_history_is_gone_is_caught_up() {
    let mut rig = Rig::start(&read_by("desk")).await;
    let _desk = rig.upstream("i-desk", "desk", "north-1").await;
    let _shelf = rig.upstream("i-shelf", "shelf", "north-1").await;
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    // The store is away while the change is made and its history goes.
    door.set(standin::platform::listener::Mode::Busy);
    rig.store.put("op/wakes-the-watch", b"{}");
    rig::until("the store is lost", async || gateway.has_logged(&["event=store-lost"])).await;
    rig.configure(&read_by("shelf"));
    rig.store.forget();
    door.set(standin::platform::listener::Mode::Open);
    let mut caller = gateway.caller().await;
    rig::until("the new version is in force", async || {
        caller.get("/read/a", "id").await.text() == "answer of i-shelf to id"
    })
    .await;
    rig::until("the compaction is logged", async || {
        gateway.has_logged(&["event=history-compacted"])
    })
    .await;
}

#[tokio::test]
async fn entries_that_lapse_all_at_once_are_used_until_they_should_be_back() {
    let rig = Rig::start(&rig::routes()).await;
    let upstreams = [
        rig.upstream("i-0", "desk", "north-1").await,
        rig.upstream("i-1", "desk", "north-1").await,
        rig.upstream("i-2", "shelf", "north-1").await,
    ];
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    let mut caller = gateway.caller().await;
    assert_eq!(caller.get("/read/a", "id-1").await.status, 200);
    rig.store.remove_all(fact::UPSTREAMS);
    rig::until("the gateway knows", async || {
        gateway.has_logged(&["event=endpoints-lapsed", "lapsed=3"])
    })
    .await;
    assert_eq!(caller.get("/read/a", "id-2").await.status, 200);
    rig.enter(&upstreams[2], "shelf", "north-1", "ready");
    rig::until("those that did not come back are gone", async || {
        caller.get("/read/a", "id-3").await.status == 503
    })
    .await;
    rig.enter(&upstreams[0], "desk", "north-1", "ready");
    rig::until("one is back", async || caller.get("/read/a", "id-4").await.status == 200).await;
}
