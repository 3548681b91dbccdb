//! Roll-outs of a version of a service: a good one is completed in its period, a bad one is rolled back.

use std::time::{Duration, Instant};

use platform::fact;
use standin::platform::upstream::{Behavior, Upstream};

use crate::rig;
use crate::traffic::{self, Fleet};

const ORDER: &str = r#"{"service":"desk","target_version":"v2","period":"10s"}"#;
const PERIOD: Duration = Duration::from_secs(10);
const PER_SECOND: f64 = 120.0;

/// Starts three gateways, three upstreams of the old version and three of the new one.
async fn start(behavior: Behavior) -> (Fleet, Vec<Upstream>) {
    let fleet = Fleet::start(3).await;
    let mut new = Vec::new();
    for (index, hall) in traffic::HALLS.iter().enumerate() {
        let upstream = fleet.rig.upstream_of(&format!("i-new-{index}"), "v2", hall).await;
        upstream.set(behavior);
        new.push(upstream);
    }
    (fleet, new)
}

fn arrivals(upstreams: &[Upstream]) -> u32 {
    upstreams.iter().map(|upstream| upstream.record().arrivals).sum()
}

/// Returns the state that the operator reads.
fn state(fleet: &Fleet) -> String {
    let copy = fleet.rig.store.copy();
    let record = copy.range(fact::ROLLOUT_RECORDS).pop();
    record.map(|item| String::from_utf8_lossy(&item.value).into_owned()).unwrap_or_default()
}

#[tokio::test]
async fn a_good_version_is_completed_in_its_period_and_costs_no_request() {
    let (fleet, new) = start(Behavior::Sound).await;
    let began = Instant::now();
    fleet.rig.store.put("op/rollout/desk", ORDER.as_bytes());
    let asked = fleet.ask(PER_SECOND, PERIOD).await;
    let state = state(&fleet);
    assert!(state.contains(r#""state":"completed","target_version":"v2""#), "{state}");
    assert!(began.elapsed() < PERIOD + Duration::from_secs(2));
    let failed = asked.iter().filter(|asked| asked.answer.status != 200).count();
    assert_eq!(failed, 0, "of {}", asked.len());
    // The old upstreams stop without draining, and no request fails.
    fleet.upstreams.iter().for_each(Upstream::stop);
    let (old, moved) = (arrivals(&fleet.upstreams), arrivals(&new));
    let asked = fleet.ask(PER_SECOND, Duration::from_secs(1)).await;
    assert!(asked.iter().all(|asked| asked.answer.status == 200));
    assert_eq!(arrivals(&fleet.upstreams), old);
    assert!(arrivals(&new) > moved);
}

#[tokio::test]
async fn a_bad_version_is_rolled_back_after_few_requests() {
    let (fleet, new) = start(Behavior::Lost).await;
    fleet.rig.store.put("op/rollout/desk", ORDER.as_bytes());
    let asked = fleet.ask(PER_SECOND, PERIOD / 2).await;
    let state = state(&fleet);
    assert!(state.contains(r#""state":"rolled_back","target_version":"v2""#), "{state}");
    let exposed = arrivals(&new);
    assert!(exposed > 0);
    // The share that a bad version may get of all requests in the period, at most.
    assert!(f64::from(exposed) <= 0.1 * traffic::count(asked.len()) * 2.0, "{exposed}");
    fleet.ask(PER_SECOND, Duration::from_secs(1)).await;
    assert_eq!(arrivals(&new), exposed);
    rig::until("it is logged why", async || {
        fleet.gateways.iter().any(|gateway| gateway.has_logged(&["event=rollout-bad"]))
    })
    .await;
}
