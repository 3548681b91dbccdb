//! Odd entries that other writers leave in the store, beside good ones.

use std::time::{Duration, Instant};

use platform::fact;
use quickcheck::{Arbitrary as _, Gen};
use serde_json::{Value, json};

use crate::odd;
use crate::rig::{self, Gateway, Rig, Route};

/// Seeds that CI plays.
const SEEDS: [u64; 2] = [83_001, 83_002];

/// Entries that are written in one deployment.
const ENTRIES: usize = 60;

/// Entries after which the gateway is looked at.
const BATCH: usize = 10;

/// Size of drawn collections.
const DRAW_SIZE: usize = 40;

/// Time in which an accepted configuration is in force.
const IN_FORCE: Duration = Duration::from_secs(8);

/// Service of the odd upstreams, whose sound parts may be read.
const ODD_SERVICE: &str = "vault";

/// Returns a drawn key, and a value of its kind without anything odd.
fn kind(draw: &mut Gen, number: usize) -> (String, Value) {
    let upstream = json!({
        "service": ODD_SERVICE,
        "address": "127.0.0.1:1",
        "zone": "north-1",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_left": "0ms",
        "call_seq": 1,
        "born": 1,
    });
    let config = json!({
        "version": 1,
        "routes": {
            "columns": ["name", "host", "path_prefix", "kind", "timeout", "service"],
            "rows": [["r-0", "site.example", "/read/", "idempotent", "8s", "desk"]],
        },
        "services": {
            "columns": ["name", "health_path", "max_conns", "cold_start", "cold_per_s"],
            "rows": [["desk", "/health", 100, "1s", 50.0]],
        },
        "limits": { "max_header_bytes": 8192, "header_timeout": "5s", "idle_timeout": "5s" },
        "tenants": {
            "columns": ["name", "api_keys", "priority", "rate_per_s", "burst", "home_regions"],
            "rows": [["acme", ["key"], 0, 10, 10, ["north"]]],
        },
    });
    let node = json!({
        "node": format!("odd-{number}"),
        "incarnation": 1,
        "sequence": 1,
        "region": "north",
        "hall": "north-1",
        "callers": "127.0.0.1:1",
        "peers": "127.0.0.1:1",
        "is_ready": true,
        "is_leaving": false,
        "is_store_reached": false,
        "at": 1,
        "era": 1,
        "capacity": 1000,
        "requests": 10,
    });
    let order = json!({ "service": ODD_SERVICE, "target_version": "v2", "period": "60s" });
    let record = json!({
        "state": "serving", "target_version": "v2", "order": 1, "stage": "ramping"
    });
    let ruling = json!({ "number": 1, "is_held": true, "crashes": 3 });
    let kinds = [
        (format!("{}odd-{number}", fact::UPSTREAMS), upstream.clone()),
        (format!("{}odd-{number}", fact::UPSTREAMS), upstream),
        (fact::CONFIG.to_owned(), config),
        (format!("{}odd-{number}", fact::EVACUATIONS), json!({})),
        (format!("{}odd-{number}", fact::NODES), node),
        (format!("{}{ODD_SERVICE}", fact::ROLLOUT_ORDERS), order.clone()),
        (format!("{}{ODD_SERVICE}", fact::ROLLOUT_RECORDS), record),
        (format!("{}{number:032x}-any", fact::RULINGS), ruling),
        (fact::FLEET.to_owned(), json!(1)),
        (format!("odd/{number}"), json!({ "a": 1 })),
    ];
    let index = usize::arbitrary(draw) % kinds.len();
    kinds[index].clone()
}

/// Returns whether a value is a configuration ahead of `version`, after which the operator's next one would not count:
/// configurations are told from each other by their versions, which rise.
fn is_ahead(key: &str, value: &[u8], version: u64) -> bool {
    match fact::read(key, value) {
        Ok(fact::Fact::Routing(routing)) => routing.version > version,
        Ok(_) | Err(_) => false,
    }
}

/// Checks that `gateway` serves requests, follows a change of the configuration, and uses a new upstream.
async fn check(rig: &mut Rig, gateway: &mut Gateway, batch: usize, written: &[String]) {
    assert!(!gateway.has_ended(), "it ended after {written:?}");
    // The operator's next configuration, with a route that no earlier one has, to a service of its own.
    let (prefix, service) = (format!("/new-{batch}/"), format!("new-{batch}"));
    let new = Route { prefix: prefix.leak(), service: service.leak(), ..rig::routes()[0].clone() };
    let mut routes = rig::routes();
    routes.push(new.clone());
    rig.configure(&routes);
    let upstream = rig.upstream(&format!("i-new-{batch}"), new.service, "north-1").await;
    let written_at = Instant::now();
    loop {
        let mut caller = gateway.caller().await;
        let path = format!("{}a", new.prefix);
        let answer = caller.get(&path, &format!("new-{batch}-{:?}", written_at.elapsed())).await;
        if answer.status == 200 {
            break;
        }
        let waited = written_at.elapsed();
        assert!(waited < IN_FORCE, "{} after {waited:?} and {written:?}", answer.status);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for path in ["/read/a", "/read/b"] {
        let mut caller = gateway.caller().await;
        let answer = caller.get(path, &format!("{path}-{batch}")).await;
        assert_eq!(answer.status, 200, "{path} after {written:?}");
    }
    drop(upstream);
    rig.store.remove(&format!("{}i-new-{batch}", fact::UPSTREAMS));
}

/// Writes drawn entries and looks at a gateway that follows the store, and at one that starts beside them.
async fn play(seed: u64) {
    let mut draw = Gen::from_size_and_seed(DRAW_SIZE, seed);
    let mut rig = Rig::start(&rig::routes()).await;
    let _upstream = rig.upstream("i-good", "desk", "north-1").await;
    let door = rig.store.open().await.expect("the store opens");
    let mut gateway = rig.gateway("n-1", "north-1", &door).await;
    let mut written = Vec::new();
    for number in 0..ENTRIES {
        let (key, sound) = kind(&mut draw, number);
        let value = odd::value(&mut draw, &sound);
        if !is_ahead(&key, &value, rig.version()) {
            rig.store.put(&key, &value);
            written.push(format!("{key} = {}", odd::beginning(&value)));
        }
        if number % BATCH == BATCH - 1 {
            check(&mut rig, &mut gateway, number, &written).await;
        }
    }
    let mut beside = rig.gateway("n-2", "north-1", &door).await;
    check(&mut rig, &mut beside, ENTRIES, &written).await;
    check(&mut rig, &mut gateway, ENTRIES + 1, &written).await;
}

/// Guards against a value that ends each process that reads it, or keeps it from what is written later.
#[tokio::test(flavor = "multi_thread")]
async fn lost_odd_entries_in_the_store_end_no_gateway() {
    let seed = std::env::var("YOKESPOKE_SEED").ok().and_then(|seed| seed.parse().ok());
    let count = std::env::var("YOKESPOKE_SEEDS").ok().and_then(|count| count.parse().ok());
    match seed {
        Some(first) => {
            for seed in first..first + count.unwrap_or(1) {
                println!("seed {seed}");
                play(seed).await;
            }
        }
        None => {
            for seed in SEEDS {
                play(seed).await;
            }
        }
    }
}
