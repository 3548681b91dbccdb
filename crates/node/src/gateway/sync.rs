//! Follows the platform's store: reads it whole, then watches it.
//!
//! Relies on [`steer::dispatch::fleet`] for whether this node watches, how long it waits for an answer, and when
//! it calls again after a failure; and on the state to apply what it reads.

use std::rc;
use std::time::Duration;

use platform::store::client;
use platform::store::error;
use rand::RngExt as _;
use steer::dispatch::fleet::store_call;

use crate::gateway::state;
use crate::gateway::store_calls;

/// Time in which changes gather before the next watch, since calls are priced. Not measured.
const GATHER: Duration = Duration::from_millis(150);

/// Prefix of all keys.
const ALL_KEYS: &str = "";

/// Time between two checks whether this node should watch. Not measured.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Follows the store until the task ends.
pub async fn run(state: rc::Rc<state::State>, client: client::Client) {
    let mut backoff = store_call::Backoff::default();
    loop {
        let is_complete = state.replica.borrow().is_complete();
        let watches = state.should_watch();
        state.set_watching(watches);
        if is_complete && !watches {
            backoff.reset();
            tokio::time::sleep(CHECK_PERIOD).await;
            continue;
        }
        let outcome = match is_complete {
            true => watch_or_read(&state, &client, backoff.has_failed()).await,
            false => read(&state, &client).await,
        };
        state.store_reached(outcome.as_ref().err().map(|error| error as &dyn std::error::Error));
        match outcome {
            Ok(()) => backoff.reset(),
            Err(_) => {
                let draw = rand::rng().random_range(0.0..1.0);
                tokio::time::sleep(backoff.pause(state.contact(), state.turn(), draw)).await;
            }
        }
    }
}

/// Watches; reads everything when the store dropped the history since the last watch.
async fn watch_or_read(
    state: &state::State,
    client: &client::Client,
    has_failed: bool,
) -> Result<(), error::Error> {
    match watch(state, client, has_failed).await {
        Err(error::Error::Compacted) => {
            log::info!(after = state.replica.borrow().at(); "history-compacted");
            read(state, client).await
        }
        outcome => outcome,
    }
}

async fn read(state: &state::State, client: &client::Client) -> Result<(), error::Error> {
    let call = client.range(ALL_KEYS, store_call::read(state.contact()));
    let page = state.call_store(store_calls::Kind::Read, call).await?;
    state.apply(state::Source::Store, |replica| replica.replace(page));
    Ok(())
}

/// Asks for changes, and waits for one unless the latest call has failed.
async fn watch(
    state: &state::State,
    client: &client::Client,
    has_failed: bool,
) -> Result<(), error::Error> {
    let after = state.replica.borrow().at();
    let contact = state.contact();
    let (wait, answer) = match has_failed {
        true => (Duration::ZERO, store_call::answer(contact)),
        false => (store_call::watch(contact), store_call::watch_answer(contact)),
    };
    let call = client.watch(ALL_KEYS, after, wait, answer);
    let page = state.call_store(store_calls::Kind::Watch, call).await?;
    let has_changes = !page.items.is_empty();
    state.apply(state::Source::Store, |replica| replica.merge(page));
    if has_changes {
        tokio::time::sleep(GATHER).await;
    }
    Ok(())
}
