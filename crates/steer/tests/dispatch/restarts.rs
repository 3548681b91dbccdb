//! Fleet-wide limits that are divided between nodes, while nodes restart and lose their state.

use std::time::{Duration, Instant};

use model::{bounds, id};
use steer::dispatch::dispatcher::Dispatcher;
use steer::dispatch::{position, slow_start_owner};

use crate::setup;

/// Number of nodes in the fleet.
const NODES: u64 = 12;

/// Retry budget of a deployment: a fifth of the requests plus a fixed number of retries.
const RATIO: f64 = 0.2;
const SLACK: f64 = 64.0;

/// Request rate of a service with little traffic.
const REQUESTS_PER_SECOND: u64 = 5;

fn node(number: u64) -> Dispatcher {
    let bounds =
        bounds::Bounds { retry_ratio: RATIO, retry_slack: SLACK, ..bounds::Bounds::default() };
    let position = position::Position {
        node: id::Node::new(&format!("n-{number}")),
        region: id::Region::new("north"),
        halls: setup::halls(),
    };
    let mut dispatcher = Dispatcher::new(position, bounds);
    let owners = slow_start_owner::Owners::default();
    let nodes = usize::try_from(NODES).expect("a few nodes");
    dispatcher.set_nodes(owners, nodes, Instant::now());
    dispatcher
}

/// Guards against each restarted node having its full part of the slack again, which gave a service
/// with little traffic more retries than the fleet may send while twelve nodes were restarted in
/// turn.
#[test]
fn rolling_restart_of_fleet_keeps_the_retry_budget() {
    let start = Instant::now();
    let service = id::Service::new("desk");
    let entry = setup::entry("i-0", "n-1");
    let mut nodes: Vec<Dispatcher> = (0..NODES).map(node).collect();
    let mut retries = Vec::new();
    // Every node has its full slack when the restarts, one per node within a window, begin.
    for millis in 0..50_000_u64 {
        let now = start + Duration::from_millis(millis);
        let number = (millis / 500).wrapping_sub(70);
        if millis % 500 == 0 && number < NODES {
            nodes[usize::try_from(number).expect("a few nodes")] = node(number);
        }
        let turn = usize::try_from(millis % NODES).expect("a few nodes");
        setup::set(&mut nodes[turn], std::slice::from_ref(&entry), now);
        if millis % (1_000 / REQUESTS_PER_SECOND) == 0 {
            nodes[turn].sent(&entry.id, true, now);
        }
        if nodes[turn].may_retry(&service, now) {
            retries.push(now);
        }
    }
    let window = bounds::Bounds::default().retry_window;
    let within = |first: &Instant| {
        retries.iter().filter(|at| (*first..*first + window).contains(at)).count()
    };
    let most = retries.iter().map(within).max().unwrap_or(0);
    #[expect(clippy::cast_precision_loss, reason = "some tens")]
    let granted = (REQUESTS_PER_SECOND * 10) as f64 * RATIO + SLACK;
    let most = most as f64;
    assert!(most <= granted, "{most} retries in a window, at most {granted} allowed");
}

/// The owner restarts four times per second, and the upstream must still get no more than its rate
/// and the permitted margin.
#[test]
fn cold_upstream_is_not_overloaded_by_restarting_owner() {
    let start = Instant::now();
    let mut cold = setup::entry("i-0", "n-1");
    cold.cold_left = Duration::from_secs(3);
    let mut sent = Vec::new();
    let mut owner = None;
    for millis in 0..2_000 {
        let now = start + Duration::from_millis(millis);
        if millis % 250 == 0 {
            let mut dispatcher = setup::dispatcher("n");
            dispatcher.configure(setup::rules(10.0));
            setup::set(&mut dispatcher, std::slice::from_ref(&cold), now);
            owner = Some(dispatcher);
        }
        let Some(dispatcher) = &mut owner else { continue };
        if let Ok(chosen) = setup::choose(dispatcher, &setup::route(&[]), millis, now) {
            dispatcher.sent(&chosen.id, true, now);
            dispatcher.ended(&chosen, setup::answered(), Duration::from_millis(1), now);
            sent.push(now);
        }
    }
    let second = Duration::from_secs(1);
    let within =
        |first: &Instant| sent.iter().filter(|at| (*first..*first + second).contains(at)).count();
    let most = sent.iter().map(within).max().unwrap_or(0);
    // Ten per second, a margin of half as many, and eight more.
    assert!(most <= 23, "{most} requests in one second");
}
