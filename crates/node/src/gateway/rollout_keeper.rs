//! Records the stages of roll-outs in the store, where every node finds them.
//!
//! Owns the calls for it. Relies on [`progress`] for which stage comes next, and on the store's conditions, so
//! that of two nodes that would record two outcomes one fails.

use std::rc;
use std::time::{Duration, Instant};

use model::rollout;
use platform::stages;
use platform::store::client;
use steer::dispatch::fleet::{representatives, store_call};
use steer::dispatch::rollout::progress;

use crate::gateway::state;
use crate::gateway::store_calls;

/// Time between two looks whether a stage is due.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Time by which each further representative of a region waits longer for the one before it to write.
const TURN: Duration = Duration::from_millis(500);

/// A stage that is due, and since when.
#[derive(Clone, Debug)]
struct Due {
    record: rollout::Record,
    since: Instant,
}

/// Records stages until the task ends.
pub async fn run(state: rc::Rc<state::State>, client: client::Client) {
    let mut due: Option<Due> = None;
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        let now = Instant::now();
        due = next(&state, now).map(|record| match due.take() {
            Some(known) if known.record == record => known,
            _ => Due { record, since: now },
        });
        let Some(known) = &due else { continue };
        if now.saturating_duration_since(known.since) < turn(&state, now) {
            continue;
        }
        let revision = state.replica.borrow().rollout_revision(&known.record.service);
        let write = stages::put(&known.record, revision);
        let call = client.write(&write, store_call::answer_timeout(state.store_bound()));
        // The record of calls logs a failure. A condition that does not hold means that another node was first.
        let _ = state.call_store(store_calls::Kind::Rollout, call).await;
        due = None;
    }
}

/// Returns how long this node waits for others to record a stage that is due.
fn turn(state: &state::State, now: Instant) -> Duration {
    let last = u32::try_from(representatives::PER_REGION).unwrap_or(u32::MAX);
    TURN * state.representative_place(now).unwrap_or(last)
}

/// Returns the next stage that is to be recorded of any roll-out.
fn next(state: &state::State, now: Instant) -> Option<rollout::Record> {
    if !state.replica.borrow().is_complete() {
        return None;
    }
    let dispatcher = state.dispatcher.borrow();
    dispatcher.rollouts().iter().find_map(|rollout| {
        let upstreams = dispatcher.rollout_upstreams(&rollout.order, now);
        let stage = progress::next(rollout.standing(now), upstreams)?;
        Some(rollout::Record {
            service: rollout.order.service.clone(),
            target: rollout.order.target.clone(),
            order: rollout.order.number,
            stage,
        })
    })
}
