//! Regions: the share of each region and how fast it changes.

use std::time::{Duration, Instant};

use model::id;
use quickcheck::quickcheck;
use steer::common::round_robin;
use steer::dispatch::region::share;
use steer::dispatch::{dispatcher, peer_load, refusal, slow_start_owner};

use crate::setup;

#[test]
fn home_only_home_regions_serve_routes_naming_some() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &setup::six_upstreams(), now);
    let homes = setup::route(&["south"]);
    for key in 0..100 {
        let chosen = setup::choose(&mut dispatcher, &homes, key, now).expect("south is idle");
        assert_eq!(chosen.hall.as_str(), "s-1");
        dispatcher.sent(&chosen.id, true, now);
        dispatcher.ended(&chosen, setup::answered(), Duration::from_millis(100), now);
    }
    let elsewhere: Vec<_> =
        setup::six_upstreams().into_iter().filter(|e| e.hall.as_str() != "s-1").collect();
    setup::set(&mut dispatcher, &elsewhere, now);
    let exclusions = refusal::Exclusions { known: 4, outside: 4, ..refusal::Exclusions::default() };
    assert_eq!(
        setup::choose(&mut dispatcher, &homes, 1, now),
        Err(refusal::Refusal::NoUpstream(exclusions))
    );
}

#[test]
fn shift_share_of_failing_region_moves_within_the_bound() {
    let began = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let all = setup::six_upstreams();
    setup::set(&mut dispatcher, &all, began);
    let _ = setup::choose(&mut dispatcher, &setup::route(&[]), 0, began);
    let share = |d: &dispatcher::Dispatcher| {
        let north = id::Region::new("north");
        d.splits().next().map_or(0, |(_, split)| split.share(&north))
    };
    let before = share(&dispatcher);
    // Removes half of the region's slots.
    setup::set(&mut dispatcher, &all[1..], began);
    let mut shares = vec![before];
    for tick in 1..=200 {
        dispatcher.tick(began + Duration::from_millis(100) * tick);
        shares.push(share(&dispatcher));
    }
    assert!(shares.last() < shares.first(), "the share must have moved");
    // The default bound is a tenth per two seconds, that is, per twenty ticks.
    let fastest = shares.windows(21).map(|w| w[0].abs_diff(w[20])).max();
    assert!(fastest <= Some(100_000), "{fastest:?}");
}

#[test]
fn shift_few_requests_leave_a_congested_region() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &setup::six_upstreams(), now);
    let congestion: Vec<_> = ["i-0", "i-1"]
        .iter()
        .map(|name| (peer_load::Key::of(&id::Upstream::new(name)), 30))
        .collect();
    dispatcher.set_peer_load(id::Node::new("m"), congestion, now);
    let mut in_south = 0;
    let asked = 300;
    for key in 0..asked {
        if let Ok(chosen) =
            setup::choose(&mut dispatcher, &setup::route(&["north", "south"]), key, now)
            && chosen.hall.as_str() == "s-1"
        {
            in_south += 1;
        }
    }
    // North has half of the slots of the home regions, so its target share is all of its own
    // demand. A bound of a tenth lets 3 in 100 requests leave, plus a small burst.
    assert!((1..=asked * 3 / 100 + 3).contains(&in_south), "{in_south}");
}

#[test]
fn a_region_keeps_what_its_slots_can_serve() {
    let capacity = |region: &str, slots| share::Capacity { region: id::Region::new(region), slots };
    let capacities = [capacity("a", 12.0), capacity("b", 48.0), capacity("c", 60.0)];
    let share =
        |split: &steer::common::split::Split, region: &str| split.share(&id::Region::new(region));
    let small = share::target(&id::Region::new("a"), &capacities, None);
    assert_eq!(share(&small, "a"), 300_000);
    // The rest goes to spare slots: 8 of 28 to b and 20 of 28 to c.
    assert!(share(&small, "b").abs_diff(200_000) <= 2 && share(&small, "c").abs_diff(500_000) <= 2);
    let large = share::target(&id::Region::new("c"), &capacities, None);
    assert_eq!(share(&large, "c"), 1_000_000);
    assert!(share::target(&id::Region::new("a"), &[capacity("a", 0.0)], None).is_empty());
}

quickcheck! {
    fn round_robin_keeps_every_share_within_its_lead(weights: Vec<u8>, wants: Vec<u8>) -> bool {
        let weights: Vec<(usize, f64)> =
            weights.iter().take(5).enumerate().map(|(k, w)| (k, f64::from(*w))).collect();
        let total: f64 = weights.iter().map(|(_, w)| w).sum();
        let lead = 5.0;
        let mut rotation = round_robin::RoundRobin::default();
        let mut taken = vec![0.0; weights.len()];
        for (turn, want) in wants.iter().enumerate() {
            let wanted: Vec<usize> = weights.iter().filter(|(_, w)| *w > 0.0).map(|(k, _)| *k)
                .filter(|k| k % 2 == usize::from(*want) % 2).collect();
            let Some(key) = rotation.prefer(&weights, &wanted, lead) else { return total <= 0.0 };
            taken[key] += 1.0;
            let turns = turn as f64 + 1.0;
            let is_bounded = weights.iter().all(|(k, w)| {
                taken[*k] - turns * w / total <= lead + 1.0
            });
            if !is_bounded || weights[key].1 <= 0.0 {
                return false;
            }
        }
        true
    }

    fn all_nodes_agree_on_cold_upstream_owner(names: Vec<u16>, upstream: u16) -> bool {
        let nodes: Vec<id::Node> = names.iter().map(|n| id::Node::new(&n.to_string())).collect();
        let upstream = id::Upstream::new(&upstream.to_string());
        let forward = slow_start_owner::owner(&upstream, nodes.iter());
        let backward = slow_start_owner::owner(&upstream, nodes.iter().rev());
        forward == backward && forward.is_some() != nodes.is_empty()
    }
}
