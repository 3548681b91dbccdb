//! Connectivity: checks whether this node reaches the upstreams of a service in a region.
//!
//! Owns the task that makes the checks. [`steer::dispatch::connectivity`] decides when a check is
//! made, which upstreams it asks, and what its result means. A change is announced in an
//! immediate heartbeat.

use std::rc;
use std::time::Instant;

use steer::dispatch::connectivity::check::{Verdict, WORK_TIME};
use steer::dispatch::connectivity::group::Change;
use steer::dispatch::dispatcher::connectivity::Check;
use tokio::task;

use crate::gateway::connection_check;
use crate::gateway::state;

/// Makes the checks that are due until the task ends.
pub async fn run(state: rc::Rc<state::State>) {
    let mut running = task::JoinSet::new();
    loop {
        tokio::select! {
            () = state.check_due.notified() => {}
            Some(_) = running.join_next() => continue,
        }
        let checks =
            state.dispatcher.borrow_mut().begin_checks(&mut connection_check::draw, Instant::now());
        for check in checks {
            running.spawn_local(make(rc::Rc::clone(&state), check));
        }
    }
}

async fn make(state: rc::Rc<state::State>, check: Check) {
    state.metrics.connectivity_checks.add(1);
    let verdict = connection_check::run(&state, &check.targets, check.is_lost).await;
    if verdict == Verdict::Closed {
        let change = state.dispatcher.borrow_mut().record_closed(&check.scope);
        announce(&state, &check, change);
        // Load reports of other nodes that arrive until then show whether the group is at work.
        tokio::time::sleep(WORK_TIME).await;
    }
    let change = state.dispatcher.borrow_mut().end_check(&check.scope, verdict);
    state.check_due.notify_one();
    if verdict == Verdict::Lost {
        state.group_lost.notify_waiters();
    }
    announce(&state, &check, change);
}

/// Logs a change, and announces to other nodes whether the group is reached.
fn announce(state: &state::State, check: &Check, change: Option<Change>) {
    let (service, region) = (check.scope.service.as_str(), check.scope.region.as_str());
    let upstreams = check.targets.len();
    match change {
        None => return,
        Some(Change::Lost) => log::warn!(service, region, upstreams; "service-unreached"),
        Some(Change::Regained) => log::info!(service, region; "service-reached"),
        Some(Change::Busy | Change::Closed | Change::Crowded | Change::Unclear) => {
            let used = matches!(change, Some(Change::Busy | Change::Crowded));
            log::info!(service, region, upstreams, used; "service-silent");
            return;
        }
    }
    state.beat.notify_one();
}
