//! The store was away for a moment and came back from a copy. Gateways took the larger revision for the newer one: they dropped what was
//! written after the return, asked without a pause, and followed again only when revisions had passed the old ones.

use std::time::{Duration, Instant};

use platform::fact;
use standin::platform::listener::Mode;
use standin::platform::upstream::Upstream;

use crate::rig;
use crate::traffic::{Fleet, HALLS};

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Bound on a change that was acknowledged, by the users' rule.
const IN_FORCE: Duration = Duration::from_millis(2_500);

/// Changes by which the store falls back.
const LOST: u32 = 400;

/// Time after the return in which calls are counted.
const COUNTED: Duration = Duration::from_secs(5);

/// Most watches of three gateways in that time: two that watch, each at most every quarter of a second.
const MOST_WATCHES: u32 = 50;

/// Most reads of everything after a return: two a region.
const MOST_READS: u32 = 2;

/// Writes to the store that nobody reads.
fn write_noise(fleet: &Fleet) {
    for number in 0..LOST {
        fleet.rig.store.put("noise/key", number.to_string().as_bytes());
    }
}

impl Fleet {
    /// Lets the store be away and come back from `copy`.
    async fn restore(&self, copy: &standin::platform::items::Items) {
        self.door.set(Mode::Busy);
        tokio::time::sleep(AWAY).await;
        self.rig.store.restore(copy);
        self.door.set(Mode::Open);
    }

    /// Waits until every gateway has adopted the newest configuration; returns how long that took.
    async fn adopted(&self) -> Duration {
        let began = Instant::now();
        let version = format!("version={} ", self.rig.version());
        let have = async || {
            let adopted = |g: &rig::Gateway| g.has_logged(&["event=config-adopted", &version]);
            self.gateways.iter().all(adopted)
        };
        rig::until("the newest configuration is adopted", have).await;
        began.elapsed()
    }

    async fn registered(&self) {
        let all = async || {
            let keys = self.rig.store.keys(fact::NODES);
            self.gateways.len() <= keys.len()
        };
        rig::until("all gateways are registered", all).await;
    }
}

fn arrivals(upstream: &Upstream) -> u32 {
    upstream.record().arrivals
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn config_what_is_written_after_a_return_from_a_copy_is_in_force_in_time() {
    let mut fleet = Fleet::start(6).await;
    fleet.registered().await;
    let copy = fleet.rig.store.copy();
    write_noise(&fleet);
    fleet.ask(60.0, Duration::from_secs(1)).await;
    fleet.restore(&copy).await;
    let calls = fleet.rig.store.calls();
    let returned = Instant::now();
    fleet.rig.configure(&rig::routes());
    fleet.rig.enter(&fleet.upstreams[0], "desk", HALLS[0], "draining");
    let took = fleet.adopted().await;
    assert!(took < IN_FORCE, "in force after {took:?}");
    let before = arrivals(&fleet.upstreams[0]);
    let asked = fleet.ask(60.0, Duration::from_secs(1)).await;
    assert_eq!(arrivals(&fleet.upstreams[0]), before, "it leaves");
    assert!(asked.iter().all(|asked| asked.answer.status == 200));
    tokio::time::sleep(COUNTED.saturating_sub(returned.elapsed())).await;
    let now = fleet.rig.store.calls();
    let watches = now.watches - calls.watches;
    assert!(watches <= MOST_WATCHES, "{watches} watches in {COUNTED:?}");
    let reads = now.reads - calls.reads;
    assert!(reads <= MOST_READS, "{reads} reads of everything");
    assert!(fleet.gateways.iter().any(|g| g.has_logged(&["event=store-era-changed", "era=1"])));
}

/// What was acknowledged before holds until it is written again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn config_what_was_known_holds_though_the_copy_is_older() {
    let mut fleet = Fleet::start(6).await;
    let copy = fleet.rig.store.copy();
    let [leaves, evacuated, ended] = [0, 1, 2].map(|index| &fleet.upstreams[index]);
    fleet.rig.enter(leaves, "desk", HALLS[0], "draining");
    fleet.rig.store.put(&format!("{}{}", fact::EVACUATIONS, HALLS[1]), b"{}");
    fleet.rig.store.remove(&format!("{}{}", fact::UPSTREAMS, ended.id));
    let shelf = fleet.rig.upstream("i-late", "shelf", HALLS[0]).await;
    let mut routes = rig::routes();
    routes[0].service = "shelf";
    fleet.rig.configure(&routes);
    fleet.adopted().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    write_noise(&fleet);
    fleet.ask(60.0, Duration::from_millis(500)).await;
    let before: Vec<u32> = fleet.upstreams.iter().map(arrivals).collect();
    fleet.restore(&copy).await;
    let asked = fleet.ask(60.0, Duration::from_millis(1_500)).await;
    let after: Vec<u32> = fleet.upstreams.iter().map(arrivals).collect();
    assert_eq!(before, after, "the configuration in force names another service");
    assert!(
        asked.iter().all(|asked| asked.answer.status == 200),
        "an entry that the copy lacks stays"
    );
    // The operator and the upstreams write again what the store lost.
    fleet.rig.enter(&shelf, "shelf", HALLS[0], "ready");
    let evacuation = format!("{}{}", fact::EVACUATIONS, HALLS[1]);
    fleet.rig.store.put(&evacuation, b"{}");
    fleet.rig.configure(&rig::routes());
    assert!(fleet.adopted().await < IN_FORCE);
    let [leaves, evacuated, ended] = [leaves, evacuated, ended].map(arrivals);
    fleet.ask(60.0, Duration::from_secs(4)).await;
    let now = [0, 1, 2].map(|index| arrivals(&fleet.upstreams[index]));
    assert_eq!(now, [leaves, evacuated, ended], "leaving, evacuated, and ended");
}

/// A gateway that starts after the return, and one whose calls are refused, follow the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn config_two_returns_in_a_second_and_a_gateway_that_starts_meanwhile() {
    let mut fleet = Fleet::start(6).await;
    let copy = fleet.rig.store.copy();
    write_noise(&fleet);
    fleet.ask(60.0, Duration::from_millis(500)).await;
    fleet.restore(&copy).await;
    fleet.start_gateway("n-9", HALLS[0]).await;
    fleet.restore(&copy).await;
    fleet.rig.configure(&rig::routes());
    let took = fleet.adopted().await;
    assert!(took < IN_FORCE, "in force after {took:?}");
    fleet.rig.configure(&rig::routes());
    let took = fleet.adopted().await;
    assert!(took < IN_FORCE, "the next one after {took:?}");
}

/// Leases that the copy lacks are gone, and their numbers may be another's.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn config_gateways_register_again_at_once_where_the_copy_lacks_them() {
    let mut fleet = Fleet::start_with(&[], 2).await;
    let copy = fleet.rig.store.copy();
    for (index, hall) in HALLS.iter().enumerate() {
        fleet.start_gateway(&format!("n-{index}"), hall).await;
    }
    fleet.registered().await;
    fleet.restore(&copy).await;
    let returned = Instant::now();
    assert!(fleet.rig.store.keys(fact::NODES).is_empty());
    fleet.registered().await;
    let took = returned.elapsed();
    assert!(took < IN_FORCE, "registered after {took:?}");
    // Nobody asks for a lease more than once for it.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let entered = |g: &rig::Gateway| {
        let lines = g.lines.lock().expect("no reader panics");
        lines.iter().filter(|line| line.contains("event=registration-lost")).count()
    };
    assert!(fleet.gateways.iter().all(|gateway| entered(gateway) == 1));
}

/// While the store is away all gateways of a region try to reach it, and many of them meet it as soon as it is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn config_a_return_costs_a_region_two_reads_of_everything() {
    let mut fleet = Fleet::start_with(&[HALLS[0]; 9], 2).await;
    fleet.registered().await;
    let copy = fleet.rig.store.copy();
    write_noise(&fleet);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.door.set(Mode::Busy);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let before = fleet.rig.store.calls();
    fleet.rig.store.restore(&copy);
    fleet.door.set(Mode::Open);
    fleet.rig.configure(&rig::routes());
    let took = fleet.adopted().await;
    assert!(took < IN_FORCE, "in force after {took:?}");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let reads = fleet.rig.store.calls().reads - before.reads;
    assert!(reads <= MOST_READS, "{reads} reads of everything");
}
