//! Follows the platform's store: reads it whole, then watches it.
//!
//! Owns the pauses after failed calls. Relies on [`steer::dispatch::fleet::watchers`], through the state, for
//! whether this node watches, and on the state to apply what it reads.

use std::rc;
use std::time::Duration;

use platform::store::client;
use platform::store::error;
use rand::RngExt as _;

use crate::gateway::state;
use crate::gateway::store_calls;

/// Longest time one watch waits. Not measured.
const WAIT: Duration = Duration::from_secs(20);

/// Time in which changes gather before the next watch, since calls are priced. Not measured.
const GATHER: Duration = Duration::from_millis(150);

/// First pause after a failed call. Not measured.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after a failed call. Not measured.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);

/// Prefix of all keys.
const ALL_KEYS: &str = "";

/// Time between two checks whether this node should watch. Not measured.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Follows the store until the task ends.
pub async fn run(state: rc::Rc<state::State>, client: client::Client) {
    let mut pause = FIRST_PAUSE;
    loop {
        let is_complete = state.replica.borrow().is_complete();
        let watches = state.should_watch();
        state.set_watching(watches);
        if is_complete && !watches {
            tokio::time::sleep(CHECK_PERIOD).await;
            continue;
        }
        let outcome = match is_complete {
            true => watch_or_read(&state, &client).await,
            false => read(&state, &client).await,
        };
        state.store_reached(outcome.as_ref().err().map(|error| error as &dyn std::error::Error));
        match outcome {
            Ok(()) => pause = FIRST_PAUSE,
            Err(_) => {
                tokio::time::sleep(jittered(pause)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Watches; reads everything when the store dropped the history since the last watch.
async fn watch_or_read(state: &state::State, client: &client::Client) -> Result<(), error::Error> {
    match watch(state, client).await {
        Err(error::Error::Compacted) => {
            log::info!(after = state.replica.borrow().at(); "history-compacted");
            read(state, client).await
        }
        outcome => outcome,
    }
}

async fn read(state: &state::State, client: &client::Client) -> Result<(), error::Error> {
    let call = client.range(ALL_KEYS);
    let page = state.call_store(store_calls::Kind::Read, call).await?;
    state.apply(state::Source::Store, |replica| replica.replace(page));
    Ok(())
}

async fn watch(state: &state::State, client: &client::Client) -> Result<(), error::Error> {
    let after = state.replica.borrow().at();
    let call = client.watch(ALL_KEYS, after, WAIT);
    let page = state.call_store(store_calls::Kind::Watch, call).await?;
    let has_changes = !page.items.is_empty();
    state.apply(state::Source::Store, |replica| replica.merge(page));
    if has_changes {
        tokio::time::sleep(GATHER).await;
    }
    Ok(())
}

/// Spreads pauses, so that nodes that failed together do not call together.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}
