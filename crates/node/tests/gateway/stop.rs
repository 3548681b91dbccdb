//! Planned stops and changed settings: nothing is cut off.

use std::time::Duration;

use rustix::process::Signal;
use standin::platform::upstream::Behavior;

use crate::client;
use crate::rig::{self, Rig};

#[tokio::test]
async fn lost_a_planned_stop_cuts_off_no_request() {
    let rig = Rig::start(&rig::routes()).await;
    let upstream = rig.upstream("i-0", "desk", "north-1").await;
    let door = rig.store.open().await.expect("the store opens");
    let mut gateway = rig.gateway("n-1", "north-1", &door).await;
    let mut resting = gateway.caller().await;
    assert_eq!(resting.get("/read/a", "before").await.status, 200);
    upstream.set(Behavior::Slow(Duration::from_millis(1_500)));
    let mut running = gateway.caller().await;
    running.write(client::request("POST", "/write/a", "running", "x").as_bytes()).await;
    rig::until("it runs", async || upstream.record().ran.contains_key("running")).await;
    gateway.signal(Signal::TERM);
    rig::until("it is not ready", async || !gateway.is_ready().await).await;
    // Callers with an open connection, or an old look-up, are still served.
    upstream.set(Behavior::Sound);
    let late = resting.get("/read/a", "late").await;
    assert_eq!((late.status, late.header("connection")), (200, Some("close")));
    assert_eq!(gateway.caller().await.get("/read/a", "new").await.status, 200);
    let answer = running.read().await;
    assert!(answer.is_whole && answer.text() == "answer of i-0 to running", "{answer:?}");
    assert_eq!(gateway.ended().await, Some(0));
    rig::until("the end is logged", async || {
        gateway.has_logged(&["event=gateway-stopped", "done=true"])
    })
    .await;
}

#[tokio::test]
async fn drain_a_stopping_node_leaves_look_ups_at_once() {
    let rig = Rig::start(&rig::routes()).await;
    let door = rig.store.open().await.expect("the store opens");
    let first = rig.gateway("n-1", "north-1", &door).await;
    let second = rig.gateway("n-2", "north-2", &door).await;
    let leaving = second.callers.to_string();
    rig::until("both are named", async || first.look_up().await.contains(&leaving)).await;
    second.signal(Signal::TERM);
    rig::until("it is not named by others", async || !first.look_up().await.contains(&leaving))
        .await;
    assert!(!second.look_up().await.contains(&leaving));
}

#[tokio::test]
async fn lost_changed_settings_touch_no_connection() {
    let rig = Rig::start(&rig::routes()).await;
    let upstream = rig.upstream("i-0", "desk", "north-1").await;
    upstream.set(Behavior::Slow(Duration::from_millis(300)));
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    let mut caller = gateway.caller().await;
    caller.write(client::request("GET", "/read/a", "id-1", "").as_bytes()).await;
    rig::until("it runs", async || upstream.record().ran.contains_key("id-1")).await;
    let settings = std::fs::read_to_string(&gateway.settings).expect("settings are there");
    let changed = settings.replace("retry_slack: 1000", "retry_slack: 7");
    std::fs::write(&gateway.settings, changed).expect("settings are written");
    gateway.signal(Signal::HUP);
    rig::until("they are read", async || {
        gateway.has_logged(&["event=settings-reloaded", "changed=true"])
    })
    .await;
    assert_eq!(caller.read().await.status, 200);
    assert_eq!(caller.get("/read/a", "id-2").await.status, 200);
    std::fs::write(&gateway.settings, "role: gateway\n").expect("settings are written");
    gateway.signal(Signal::HUP);
    rig::until("bad ones are refused", async || gateway.has_logged(&["event=settings-malformed"]))
        .await;
    assert_eq!(caller.get("/read/a", "id-3").await.status, 200);
}
