//! Keeps rulings on requests that crash upstreams in the store, so that they outlast the processes of the fleet.
//!
//! Owns the calls for it. Rulings are in force without the store, by the reports of nodes to each other; a node that starts finds them
//! in its copy of the store before it serves anybody, also where every process was replaced at once.

use std::rc;
use std::time::{Duration, Instant};

use model::fingerprint::Scope;
use platform::rulings;
use platform::store::client;
use steer::dispatch::fleet::store_call;
use steer::dispatch::quarantine::ruling::Ruling;

use crate::gateway::kept_ruling::{self, Kept};
use crate::gateway::state;
use crate::gateway::store_calls;

/// Time between two looks for rulings that the store lacks.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Time by which each further representative of a region waits longer for the one before it to write.
const TURN: Duration = Duration::from_millis(600);

/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_secs(1);

/// A difference between the rulings in force and the store.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Difference {
    /// The store lacks a ruling, or has an older one of this revision.
    Lacks(Scope, Kept, u64),
    /// The store has one of this revision that is no longer of use.
    Outlived(Scope, u64),
}

/// Writes and removes rulings until the task ends.
pub async fn run(state: rc::Rc<state::State>, client: client::Client) {
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        let Some(difference) = difference(&state, Instant::now()) else { continue };
        let write = match difference {
            Difference::Lacks(scope, kept, revision) => {
                let value = serde_json::to_vec(&kept).expect("a ruling is numbers");
                rulings::put(&scope, value, revision)
            }
            Difference::Outlived(scope, revision) => rulings::removal(&scope, revision),
        };
        let call = client.write(&write, store_call::answer_timeout(state.store_bound()));
        // The record of calls logs a failure. A condition that does not hold means that another node was first.
        let written = state.call_store(store_calls::Kind::Ruling, call).await;
        if written.is_err() {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Returns what this node is to change in the store, if it is its turn.
fn difference(state: &state::State, now: Instant) -> Option<Difference> {
    let quarantine = state.quarantine.borrow();
    let replica = state.replica.borrow();
    if !replica.is_complete() {
        return None;
    }
    let turn = TURN * state.representative_place(now)?;
    // What the store holds since before it was restored from a copy, it may not hold any more.
    let era = replica.at().era;
    let stands = |kept: &&kept_ruling::Entry| kept.position.era == era;
    let lacks = |(scope, ruling): (&Scope, &Ruling)| {
        let kept = replica.rulings().filter(stands).find(|kept| kept.scope == *scope);
        let is_due = now.saturating_duration_since(ruling.since) >= turn;
        let is_worth =
            ruling.remaining(now).is_some() || kept.is_some_and(|kept| kept.kept.is_held);
        let is_newer = kept.is_none_or(|kept| {
            kept.kept.number < ruling.number && kept.kept.is_held != ruling.is_held
        });
        let revision = kept.map_or(0, |kept| kept.position.revision);
        (is_due && is_worth && is_newer)
            .then(|| Difference::Lacks(*scope, Kept::of(ruling), revision))
    };
    let outlived = |kept: &kept_ruling::Entry| {
        let ruling = quarantine.ruling(&kept.scope);
        let is_over = ruling.is_none_or(|ruling| ruling.is_over(now));
        is_over.then_some(Difference::Outlived(kept.scope, kept.position.revision))
    };
    let lacking = quarantine.rulings().find_map(lacks);
    lacking.or_else(|| replica.rulings().filter(stands).find_map(outlived))
}
