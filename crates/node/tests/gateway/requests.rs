//! What callers get, and what upstreams are made to run, whatever upstreams do.

use std::time::Duration;

use standin::platform::upstream::{Behavior, Upstream};

use crate::client;
use crate::rig::{self, Gateway, Rig};

/// A store, upstreams of the desk and a gateway.
async fn desk(upstreams: usize) -> (Rig, Vec<Upstream>, Gateway) {
    let rig = Rig::start(&rig::routes()).await;
    let mut started = Vec::new();
    for index in 0..upstreams {
        started.push(rig.upstream(&format!("i-{index}"), "desk", "north-1").await);
    }
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    (rig, started, gateway)
}

fn ran(upstreams: &[Upstream], id: &str) -> u32 {
    upstreams.iter().map(|u| u.record().ran.get(id).copied().unwrap_or_default()).sum()
}

#[tokio::test]
async fn unasked_a_request_reaches_its_upstream_unchanged() {
    let (_rig, upstreams, gateway) = desk(1).await;
    let mut caller = gateway.caller().await;
    let answer = caller.post("/upload/a%20b/?q=%2F&r", "id-1", "the whole body").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.text(), "answer of i-0 to id-1");
    assert_eq!(answer.header("yokespoke-response-seal"), Some("seal-id-1"));
    let record = upstreams[0].record();
    assert_eq!(record.bodies["id-1"], b"the whole body");
    let head = &record.heads["id-1"];
    assert!(head.starts_with("POST /upload/a%20b/?q=%2F&r HTTP/1.1\r\n"), "{head}");
    assert!(head.to_lowercase().contains("yokespoke-target-instance: i-0\r\n"), "{head}");
    assert!(head.contains("Yokespoke-Affinity-Key=7"), "{head}");
}

#[tokio::test]
async fn unasked_a_request_hidden_behind_another_does_not_run() {
    let (_rig, upstreams, gateway) = desk(1).await;
    let mut caller = gateway.caller().await;
    let hidden = "GET /read/hidden HTTP/1.1\r\nHost: site.example\r\n\
                  Yokespoke-Request-Id: hidden\r\n\r\n";
    let outer = format!(
        "POST /write/a HTTP/1.1\r\nHost: site.example\r\nYokespoke-Request-Id: outer\r\n\
         Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
        hidden.len() + 5
    );
    caller.write(outer.as_bytes()).await;
    // RFC 9112, section 6.1: the chunks hold, and the connection ends after the answer.
    let answer = caller.read().await;
    assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
    assert_eq!(caller.read().await.status, 0);
    assert_eq!((ran(&upstreams, "outer"), ran(&upstreams, "hidden")), (1, 0));
}

#[tokio::test]
async fn unasked_what_only_this_system_may_say_is_taken_from_callers() {
    let (_rig, upstreams, gateway) = desk(1).await;
    let mut caller = gateway.caller().await;
    let forged = "GET /read/a HTTP/1.1\r\nHost: site.example\r\nYokespoke-Request-Id: id-1\r\n\
                  Yokespoke-Target-Instance: i-9\r\nConnection: yokespoke-request-id, x-own\r\n\
                  X-Own: 1\r\nX-Other: 2\r\n\r\n";
    caller.write(forged.as_bytes()).await;
    assert_eq!(caller.read().await.status, 200);
    let head = upstreams[0].record().heads["id-1"].to_lowercase();
    assert!(head.contains("yokespoke-target-instance: i-0") && !head.contains("i-9"), "{head}");
    assert!(head.contains("x-other: 2") && !head.contains("x-own"), "{head}");
}

#[tokio::test]
async fn mixed_a_surplus_answer_reaches_nobody() {
    let (_rig, upstreams, gateway) = desk(1).await;
    upstreams[0].set(Behavior::Surplus);
    let mut caller = gateway.caller().await;
    for index in 0..20 {
        let id = format!("id-{index}");
        let answer = caller.get("/read/a", &id).await;
        let own = format!("answer of i-0 to {id}");
        assert!(answer.status == 502 || answer.text() == own, "{answer:?}");
    }
}

#[tokio::test]
async fn mixed_an_answer_to_another_request_is_not_passed_on() {
    let (_rig, upstreams, gateway) = desk(1).await;
    upstreams[0].set(Behavior::Crossed);
    let answer = gateway.caller().await.post("/write/a", "id-1", "x").await;
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("yokespoke-response-seal"), None);
}

#[tokio::test]
async fn mixed_an_answer_that_breaks_off_does_not_look_complete() {
    let (_rig, upstreams, gateway) = desk(1).await;
    for manner in [Behavior::Cut, Behavior::Garbage] {
        upstreams[0].set(manner);
        let answer = gateway.caller().await.post("/write/a", &format!("{manner:?}"), "x").await;
        assert_eq!(answer.status, 502, "{manner:?}");
    }
}

#[tokio::test]
async fn mixed_an_answer_without_a_length_is_passed_on_whole() {
    let (_rig, upstreams, gateway) = desk(1).await;
    upstreams[0].set(Behavior::Unframed);
    let answer = gateway.caller().await.get("/read/a", "id-1").await;
    assert!(answer.is_whole && answer.text() == "answer of i-0 to id-1", "{answer:?}");
}

#[tokio::test]
async fn twice_what_may_not_be_repeated_runs_once_when_its_answer_is_lost() {
    let (_rig, upstreams, gateway) = desk(3).await;
    for manner in [Behavior::Lost, Behavior::Cut, Behavior::Crossed, Behavior::UnprovedRefusal] {
        upstreams.iter().for_each(|u| u.set(manner));
        let id = format!("{manner:?}");
        let answer = gateway.caller().await.post("/write/a", &id, "x").await;
        assert_eq!((answer.status, ran(&upstreams, &id)), (502, 1), "{manner:?}");
    }
}

#[tokio::test]
async fn twice_what_may_be_repeated_is_sent_to_another_upstream() {
    let (_rig, upstreams, gateway) = desk(2).await;
    // Whichever upstream the object prefers, its answers are lost.
    assert_eq!(gateway.caller().await.get("/read/a", "first").await.status, 200);
    let preferred = usize::from(upstreams[1].record().ran.contains_key("first"));
    upstreams[preferred].set(Behavior::Lost);
    let answer = gateway.caller().await.get("/read/a", "second").await;
    assert_eq!(answer.status, 200);
    assert_eq!(ran(&upstreams, "second"), 2);
    assert!(gateway.metric("retries").await == 1);
}

#[tokio::test]
async fn refused_a_full_upstream_has_not_run_the_request() {
    let (_rig, upstreams, gateway) = desk(1).await;
    upstreams[0].set(Behavior::Full);
    let answer = gateway.caller().await.post("/write/a", "id-1", "x").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(ran(&upstreams, "id-1"), 0);
}

#[tokio::test]
async fn budget_a_request_goes_to_no_more_upstreams_than_its_route_allows() {
    let (_rig, upstreams, gateway) = desk(4).await;
    upstreams.iter().for_each(|u| u.set(Behavior::Full));
    let answer = gateway.caller().await.get("/read/a", "id-1").await;
    assert_eq!(answer.status, 503);
    let arrivals: u32 = upstreams.iter().map(|u| u.record().arrivals).sum();
    assert_eq!(arrivals, 2);
}

#[tokio::test]
async fn budget_an_upstream_is_handed_no_more_time_than_is_left() {
    let (_rig, upstreams, gateway) = desk(1).await;
    let mut caller = gateway.caller().await;
    let short = client::request("GET", "/read/a", "id-1", "").replace("9000", "1500");
    caller.write(short.as_bytes()).await;
    assert_eq!(caller.read().await.status, 200);
    assert_eq!(caller.get("/read/a", "id-2").await.status, 200);
    let record = upstreams[0].record();
    let handed = |id: &str| -> u64 {
        let head = record.heads[id].to_lowercase();
        let line = head.lines().find_map(|l| l.strip_prefix("yokespoke-deadline-ms: "));
        line.and_then(|l| l.parse().ok()).expect("a deadline is handed on")
    };
    // The caller's own time, and the route's where that is shorter.
    assert!((1..=1_500).contains(&handed("id-1")));
    assert!((1..=8_000).contains(&handed("id-2")));
}

#[tokio::test]
async fn gone_an_upstream_learns_that_the_caller_left() {
    let (_rig, upstreams, gateway) = desk(1).await;
    upstreams[0].set(Behavior::Slow(Duration::from_secs(60)));
    let mut caller = gateway.caller().await;
    caller.write(client::request("GET", "/read/a", "id-1", "").as_bytes()).await;
    rig::until("it runs", async || ran(&upstreams, "id-1") == 1).await;
    drop(caller);
    rig::until("it is given up", async || upstreams[0].record().abandoned == 1).await;
    rig::until("it is counted", async || gateway.metric("abandoned").await == 1).await;
}

#[tokio::test]
async fn config_a_request_is_answered_when_its_route_s_time_is_up() {
    let mut routes = rig::routes();
    routes[0].timeout = "300ms";
    let rig = Rig::start(&routes).await;
    let upstream = rig.upstream("i-0", "desk", "north-1").await;
    upstream.set(Behavior::Slow(Duration::from_secs(60)));
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    assert_eq!(gateway.caller().await.get("/read/a", "id-1").await.status, 504);
    rig::until("it is explained", async || {
        let words = ["event=request-failed", "request=id-1", "reason=timed-out", "i-0:no-answer"];
        gateway.has_logged(&words)
    })
    .await;
}

#[tokio::test]
async fn route_an_address_that_another_upstream_has_runs_nothing() {
    let (_rig, upstreams, gateway) = desk(2).await;
    upstreams.iter().for_each(|u| u.set(Behavior::Replaced));
    let answer = gateway.caller().await.post("/write/a", "id-1", "x").await;
    assert_eq!((answer.status, ran(&upstreams, "id-1")), (503, 0));
    // Both are known not to be there, so neither is asked again.
    let answer = gateway.caller().await.post("/write/a", "id-2", "x").await;
    let misdirected: u32 = upstreams.iter().map(|u| u.record().misdirected).sum();
    assert_eq!((answer.status, misdirected), (503, 2));
}

/// A gateway that ends frees its address, and one of another fleet may take it while callers still go there.
#[tokio::test]
async fn a_request_for_another_fleet_runs_nowhere_and_is_told_so() {
    let (_rig, upstreams, gateway) = desk(1).await;
    let mut caller = gateway.caller().await;
    let head = "POST /write/a HTTP/1.1\r\nHost: another-fleet.example\r\n\
                Yokespoke-Request-Id: id-1\r\nContent-Length: 1\r\n\r\nx";
    caller.write(head.as_bytes()).await;
    assert_eq!((caller.read().await.status, ran(&upstreams, "id-1")), (404, 0));
    // Its connection stays whole for requests that this fleet has a route for.
    assert_eq!(caller.post("/write/a", "id-2", "x").await.status, 200);
}

#[tokio::test]
async fn upstreams_that_cannot_be_reached_cost_no_request() {
    // Whichever of six is left, the object prefers the others to it in one of the rounds.
    for left in 0..6 {
        let (_rig, upstreams, gateway) = desk(6).await;
        let gone = upstreams.iter().enumerate().filter(|(index, _)| *index != left);
        gone.for_each(|(_, upstream)| upstream.stop());
        for index in 0..3 {
            let id = format!("id-{index}");
            let answer = gateway.caller().await.post("/write/a", &id, "x").await;
            assert_eq!((answer.status, ran(&upstreams, &id)), (200, 1), "{left} is left");
        }
    }
}

#[tokio::test]
async fn denied_no_route_is_404_and_no_configuration_is_503() {
    let (rig, _upstreams, gateway) = desk(1).await;
    assert_eq!(gateway.caller().await.get("/nowhere/", "id-1").await.status, 404);
    let nothing = net_address_without_server().await;
    let blind = rig.gateway_at("n-2", "north-1", nothing, &[]).await;
    let answer = blind.caller().await.get("/read/a", "id-2").await;
    assert_eq!(answer.status, 503);
    assert!(!blind.is_ready().await);
}

async fn net_address_without_server() -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("an address")
}

#[tokio::test]
async fn a_body_beyond_the_limit_is_refused_unread() {
    let (_rig, upstreams, gateway) = desk(1).await;
    let mut caller = gateway.caller().await;
    let head = "POST /upload/a HTTP/1.1\r\nHost: site.example\r\nYokespoke-Request-Id: id-1\r\n\
                Content-Length: 99999999999\r\n\r\n";
    caller.write(head.as_bytes()).await;
    assert_eq!(caller.read().await.status, 413);
    assert_eq!(ran(&upstreams, "id-1"), 0);
}

#[tokio::test]
async fn a_large_body_and_a_body_in_chunks_arrive_whole() {
    let (_rig, upstreams, gateway) = desk(1).await;
    let large = "0123456789abcdef".repeat(128 * 1_024);
    let answer = gateway.caller().await.post("/upload/a", "large", &large).await;
    assert_eq!(answer.status, 200);
    assert_eq!(upstreams[0].record().bodies["large"], large.as_bytes());
    let mut caller = gateway.caller().await;
    let chunked = "POST /upload/a HTTP/1.1\r\nHost: site.example\r\nYokespoke-Request-Id: parts\r\n\
                   Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
    caller.write(chunked.as_bytes()).await;
    assert_eq!(caller.read().await.status, 200);
    assert_eq!(upstreams[0].record().bodies["parts"], b"abcdefg");
}
