//! Organisations: whose requests are served, how many, where, and what becomes of their keys.

use std::time::Duration;

use standin::platform::upstream::Upstream;

use crate::client::{self, Answer, Client};
use crate::rig::{self, Gateway, Organisation, Rig};

const KEY: &str = "marked-key-4be17d90aa";
const SECOND_KEY: &str = "marked-key-77c0d1e2f3";
const MARK: &str = "marked-key";

const MAIRIE: Organisation<'_> =
    Organisation { name: "mairie", keys: &[KEY, SECOND_KEY], rate: 0, homes: &[] };

/// Routes of most tests, and a public one.
fn routes() -> Vec<rig::Route> {
    let mut routes = rig::routes();
    routes.push(rig::Route { prefix: "/open/", is_public: true, ..routes[0].clone() });
    routes
}

/// A store, an upstream of the desk and a gateway, with organisations.
async fn desk(organisations: &[Organisation<'_>]) -> (Rig, Upstream, Gateway) {
    let mut rig = Rig::start(&routes()).await;
    rig.configure_organisations(&routes(), organisations);
    let upstream = rig.upstream("i-0", "desk", "north-1").await;
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    (rig, upstream, gateway)
}

async fn ask(caller: &mut Client, path: &str, id: &str, lines: &[&str]) -> Answer {
    caller.write(client::request_with(path, id, lines).as_bytes()).await;
    caller.read().await
}

fn with_key(key: &str) -> String {
    format!("X-Api-Key: {key}")
}

#[tokio::test]
async fn unasked_an_upstream_is_told_the_organisation_and_never_its_key() {
    let (_rig, upstream, gateway) = desk(&[MAIRIE]).await;
    let mut caller = gateway.caller().await;
    let forged = [
        "Yokespoke-Tenant: forged",
        "yokespoke-tenant: forged-again",
        "YOKESPOKE-TENANT: forged-in-capitals",
        "Connection: yokespoke-tenant, x-api-key",
        &with_key(KEY),
    ];
    assert_eq!(ask(&mut caller, "/read/a", "id-1", &forged).await.status, 200);
    let head = upstream.record().heads["id-1"].clone();
    let told: Vec<&str> =
        head.lines().filter(|l| l.to_lowercase().starts_with("yokespoke-tenant")).collect();
    assert_eq!(told, ["yokespoke-tenant: mairie"], "{head}");
    assert!(!head.contains(MARK) && !head.contains("forged"), "{head}");
}

#[tokio::test]
async fn unasked_without_a_valid_key_nothing_runs_on_the_same_connection() {
    let (_rig, upstream, gateway) = desk(&[MAIRIE]).await;
    let mut caller = gateway.caller().await;
    let (given, unknown) = (with_key(KEY), with_key("unknown"));
    let (upper, long) = (with_key(&KEY.to_uppercase()), with_key(&"k".repeat(300)));
    let refused: [&[&str]; 7] = [
        &[],
        &["X-Api-Key:"],
        &[&unknown],
        &[&upper],
        &[&long],
        &[&given, &given],
        &[&given, &unknown],
    ];
    for (number, lines) in refused.into_iter().enumerate() {
        let id = format!("refused-{number}");
        let answer = ask(&mut caller, "/read/a", &id, lines).await;
        assert_eq!(
            (answer.status, answer.header("www-authenticate")),
            (401, Some("ApiKey")),
            "{id}"
        );
        assert!(!answer.text().contains(MARK));
        assert_eq!(
            ask(&mut caller, "/read/a", &format!("served-{number}"), &[&given]).await.status,
            200
        );
    }
    let record = upstream.record();
    assert!(record.ran.keys().all(|id| id.starts_with("served")), "{:?}", record.ran);
    assert_eq!(record.arrivals, 7);
    // Pipelined: each answer is that of its own request.
    let both = client::request_with("/read/a", "p-1", &[])
        + &client::request_with("/read/a", "p-2", &[&given]);
    caller.write(both.as_bytes()).await;
    let (first, second) = (caller.read().await, caller.read().await);
    assert_eq!((first.status, second.status), (401, 200));
    assert_eq!(second.text(), "answer of i-0 to p-2");
}

#[tokio::test]
async fn a_public_route_takes_any_key_or_none_and_names_no_organisation() {
    let (_rig, upstream, gateway) = desk(&[MAIRIE]).await;
    let mut caller = gateway.caller().await;
    let (known, unknown) = (with_key(KEY), with_key("unknown"));
    for (id, lines) in [("none", vec![]), ("known", vec![&*known]), ("unknown", vec![&*unknown])] {
        assert_eq!(ask(&mut caller, "/open/a", id, &lines).await.status, 200, "{id}");
        let head = upstream.record().heads[id].to_lowercase();
        assert!(!head.contains("yokespoke-tenant") && !head.contains("x-api-key"), "{head}");
    }
}

#[tokio::test]
async fn config_a_key_that_is_taken_away_is_refused_on_an_open_connection() {
    let (mut rig, upstream, gateway) = desk(&[MAIRIE]).await;
    let mut caller = gateway.caller().await;
    let (first, second) = (with_key(KEY), with_key(SECOND_KEY));
    assert_eq!(ask(&mut caller, "/read/a", "before", &[&first]).await.status, 200);
    rig.configure_organisations(&routes(), &[Organisation { keys: &[SECOND_KEY], ..MAIRIE }]);
    rig::until("the key is refused", async || {
        ask(&mut caller, "/read/a", "while", &[&first]).await.status == 401
    })
    .await;
    assert_eq!(ask(&mut caller, "/read/a", "second", &[&second]).await.status, 200);
    rig.configure_organisations(&routes(), &[Organisation { keys: &[], ..MAIRIE }]);
    rig::until("no key is left", async || {
        ask(&mut caller, "/read/a", "while", &[&second]).await.status == 401
    })
    .await;
    rig.configure_organisations(&routes(), &[MAIRIE]);
    rig::until("the keys are back", async || {
        ask(&mut caller, "/read/a", "again", &[&first]).await.status == 200
    })
    .await;
    assert!(upstream.record().heads.values().all(|head| !head.contains(MARK)));
}

#[tokio::test]
async fn quota_what_is_over_it_gets_429_with_the_time_to_come_back_and_does_not_run() {
    let limited = Organisation { name: "hotel", keys: &["hotel-key"], rate: 10, homes: &[] };
    let (_rig, upstream, gateway) = desk(&[MAIRIE, limited]).await;
    let mut caller = gateway.caller().await;
    let key = with_key("hotel-key");
    let mut refused = Vec::new();
    for number in 0..60 {
        let id = format!("hotel-{number}");
        let answer = ask(&mut caller, "/read/a", &id, &[&key]).await;
        match answer.status {
            200 => {}
            429 => {
                let after =
                    answer.header("retry-after").and_then(|after| after.parse::<f64>().ok());
                assert!(after.is_some_and(|after| after > 0.0 && after <= 5.0), "{after:?}");
                refused.push(id);
            }
            other => panic!("{other}"),
        }
    }
    assert!(refused.len() > 20, "{} refused", refused.len());
    let record = upstream.record();
    assert!(refused.iter().all(|id| !record.ran.contains_key(id)));
    // The other organisation loses nothing by it.
    let mairie = with_key(KEY);
    for number in 0..20 {
        let answer = ask(&mut caller, "/read/a", &format!("mairie-{number}"), &[&mairie]).await;
        assert_eq!(answer.status, 200);
    }
}

/// Guards against gateways not passing on what a return at another gateway is recognised by.
#[tokio::test]
async fn quota_a_refused_caller_that_comes_as_told_is_served_by_another_gateway() {
    let limited = Organisation { name: "hotel", keys: &["hotel-key"], rate: 20, homes: &[] };
    let mut rig = Rig::start(&routes()).await;
    rig.configure_organisations(&routes(), &[limited]);
    let _upstream = rig.upstream("i-0", "desk", "north-1").await;
    let door = rig.store.open().await.expect("the store opens");
    let more = "reservations: auto\n";
    let gateway = rig.gateway_with("n-1", "north-1", door.address, &[], more).await;
    gateway.wait_ready().await;
    let other = rig.gateway_with("n-2", "north-1", door.address, &[], more).await;
    other.wait_ready().await;
    let mut callers = [gateway.caller().await, other.caller().await];
    let key = with_key("hotel-key");
    let time_left = Duration::from_secs(2);
    let (began, mut number) = (std::time::Instant::now(), 0);
    let mut returns = std::collections::VecDeque::new();
    let (mut as_told, mut served) = (0, 0);
    while began.elapsed() < Duration::from_secs(6) {
        // One first request every 10 ms, at each gateway in turn; a return goes to the other one.
        let due = returns.front().filter(|(_, due, _)| began.elapsed() >= *due).copied();
        number += 1;
        let (at, first, object, is_return) = match due {
            Some((at, _, (first, object))) => {
                returns.pop_front();
                (1 - at, first, object, true)
            }
            None => (number % 2, began.elapsed(), number, false),
        };
        let left = time_left.saturating_sub(began.elapsed() - first).as_millis();
        let (path, id) = (format!("/read/{object}"), format!("hotel-{number}"));
        let text = client::request_with(&path, &id, &[&key]);
        let text = text.replace("Deadline-Ms: 9000", &format!("Deadline-Ms: {left}"));
        callers[at].write(text.as_bytes()).await;
        let answer = callers[at].read().await;
        as_told += u32::from(is_return);
        served += u32::from(is_return && answer.status == 200);
        let after = answer.header("retry-after").and_then(|after| after.parse::<f64>().ok());
        let after = after.map(Duration::from_secs_f64).filter(|after| *after <= time_left / 3);
        if let (false, Some(after)) = (is_return, after) {
            returns.push_back((at, began.elapsed() + after, (first, object)));
        }
        if !is_return {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    println!("{number} requests, {as_told} came as told, {served} of these were served");
    assert!(as_told > 10 && served * 2 > as_told, "{served} of {as_told}");
    let redeemed =
        gateway.metric("reservations_redeemed").await + other.metric("reservations_redeemed").await;
    assert!(redeemed > 0, "{redeemed}");
    assert!(gateway.has_logged(&["reason=over-quota", "returned=first"]));
    assert!(other.has_logged(&["reason=over-quota", "returned=as-told"]) || served == as_told);
}

#[tokio::test]
async fn home_an_organisation_is_served_in_its_regions_or_refused_at_once() {
    let north = Organisation { name: "north", keys: &["north-key"], rate: 0, homes: &["north"] };
    let south = Organisation { name: "south", keys: &["south-key"], rate: 0, homes: &["south"] };
    let (rig, in_north, gateway) = desk(&[north, south]).await;
    let mut caller = gateway.caller().await;
    let (of_north, of_south) = (with_key("north-key"), with_key("south-key"));
    assert_eq!(ask(&mut caller, "/read/a", "north", &[&of_north]).await.status, 200);
    let began = std::time::Instant::now();
    let answer = ask(&mut caller, "/read/a", "south", &[&of_south]).await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some() && began.elapsed() < Duration::from_secs(1));
    let in_south = rig.upstream("i-1", "desk", "south-1").await;
    rig::until("the southern upstream is found", async || {
        ask(&mut caller, "/read/a", "again", &[&of_south]).await.status == 200
    })
    .await;
    assert!(!in_north.record().ran.contains_key("again"));
    assert!(in_south.record().ran.contains_key("again"));
}

#[tokio::test]
async fn no_key_stands_in_anything_that_a_gateway_writes() {
    let (mut rig, upstream, gateway) = desk(&[MAIRIE]).await;
    let mut caller = gateway.caller().await;
    let (known, unknown) = (with_key(KEY), with_key(&format!("{MARK}-unknown")));
    for (id, key) in [("known", &known), ("unknown", &unknown)] {
        ask(&mut caller, "/read/a", id, &[key]).await;
    }
    // A configuration that cannot be read, and one that nobody may have twice.
    rig.store.put("op/config", format!(r#"{{"version":900,"tenants":"{KEY}"}}"#).as_bytes());
    rig::until("the fault is logged", async || gateway.has_logged(&["item-malformed"])).await;
    rig.configure_organisations(&routes(), &[MAIRIE, Organisation { name: "twin", ..MAIRIE }]);
    upstream.stop();
    ask(&mut caller, "/read/a", "failed", &[&known]).await;
    caller.write(format!("GET /read/a HTTP/1.1\r\nX-Api-Key: {KEY}\r\n\r\n").as_bytes()).await;
    assert_eq!(caller.read().await.status, 400);
    for path in ["/metrics", "/dump", "/peer/changes?0", "/peer/changes?1"] {
        let mut peer = Client::connect(gateway.peers).await;
        peer.write(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes()).await;
        assert!(!peer.read().await.text().contains(MARK), "{path}");
    }
    let lines = gateway.lines.lock().expect("no reader panics").clone();
    let leaks: Vec<&String> = lines.iter().filter(|line| line.contains(MARK)).collect();
    assert!(leaks.is_empty(), "{leaks:?}");
    assert!(lines.iter().any(|line| line.contains("reason=unknown-key")));
    assert!(lines.iter().any(|line| line.contains("organisation=mairie")));
    assert!(upstream.record().heads.values().all(|head| !head.contains(MARK)));
}
