//! Keeps the fleet's number in the store, by which its nodes know each other.
//!
//! Owns the call for it. The first node to write draws the number; the store then keeps it, and a node that knows it writes it
//! again where the store came back from a copy without it.

use std::rc;
use std::time::{Duration, Instant};

use model::id;
use platform::fleet;
use platform::store::client;
use rand::RngExt as _;
use steer::dispatch::fleet::store_call;

use crate::gateway::state;
use crate::gateway::store_calls;

/// Time between two looks whether the store lacks the number.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Time for which the store lacks the number before the first representative of a region writes it.
const FIRST_TURN: Duration = Duration::from_millis(750);

/// Time by which a node that does not know the number waits longer, since another one may: two numbers would part the fleet.
const UNKNOWN_TURN: Duration = Duration::from_secs(4);

/// Time by which each further representative waits longer for the one before it.
const TURN: Duration = Duration::from_millis(600);

/// Writes the number whenever the store lacks it, until the task ends.
pub async fn run(state: rc::Rc<state::State>, client: client::Client) {
    let mut lacking_since = None;
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        let now = Instant::now();
        if !state.replica.borrow().lacks_fleet() {
            lacking_since = None;
            continue;
        }
        let since = *lacking_since.get_or_insert(now);
        let known = state.fleet();
        let first = if known.is_some() { FIRST_TURN } else { FIRST_TURN + UNKNOWN_TURN };
        let is_due = |place| now.saturating_duration_since(since) >= first + TURN * place;
        if !state.representative_place(now).is_some_and(is_due) {
            continue;
        }
        let number = known.unwrap_or_else(|| id::Fleet(rand::rng().random()));
        let write = fleet::creation(number);
        let call = client.write(&write, store_call::answer_timeout(state.store_bound()));
        // The record of calls logs a failure. A condition that does not hold means that another node was first.
        let _ = state.call_store(store_calls::Kind::Fleet, call).await;
        lacking_since = None;
    }
}
