//! Follows the platform's store: reads it whole, then watches it.
//!
//! Relies on [`steer::dispatch::fleet`] for whether this node watches, how long it waits for an answer, and when
//! it calls again after a failure; and on the state to apply what it reads.

use std::rc;
use std::time::{Duration, Instant};

use platform::store::client;
use platform::store::error;
use platform::store::position;
use rand::RngExt as _;
use steer::dispatch::fleet::{store_call, watchers};

use crate::gateway::state;
use crate::gateway::state::update;
use crate::gateway::store_calls;

/// Prefix of all keys.
const ALL_KEYS: &str = "";

/// What an answer of the store brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Brought {
    /// Changes.
    Changes,
    /// Everything, since the history that was asked for is gone or of an earlier era.
    Everything,
    /// No change within the time of the watch.
    Nothing,
}

/// Follows the store until the task ends.
pub async fn run(state: rc::Rc<state::State>, client: client::Client) {
    let mut backoff = store_call::Backoff::default();
    let mut brought = Brought::Changes;
    let began = Instant::now();
    let draw = rand::rng().random_range(0.0..1.0);
    let settle = watchers::settle(state.store_bound(), state.has_seeds(), draw);
    loop {
        let is_complete = state.replica.borrow().is_complete();
        let place = state.watcher_place().filter(|_| began.elapsed() >= settle);
        state.set_watching(place.is_some());
        let outcome = match (is_complete, place) {
            (true, None) => {
                backoff.reset();
                brought = Brought::Changes;
                tokio::time::sleep(store_call::CHECK_PERIOD).await;
                continue;
            }
            (true, Some(place)) => {
                let wait = wait(&state, place, brought, &backoff);
                watch_or_read(&state, &client, place, wait).await
            }
            // An old copy will do to begin with: the watch, or other nodes, bring what changed since. A fleet that
            // starts together reads all items once for each node, which was half of its calls of a calm day.
            (false, _) => read(&state, &client, client::Freshness::Stale).await,
        };
        state.hear_store(&client);
        state.store_reached(outcome.as_ref().err().map(|error| error as &dyn std::error::Error));
        let before =
            std::mem::replace(&mut brought, outcome.as_ref().copied().unwrap_or(Brought::Changes));
        match outcome {
            // A store that drops its history again and again gets no more calls than one that fails.
            Ok(Brought::Everything) if before == Brought::Everything => {
                pause(&state, &mut backoff).await;
            }
            Ok(_) => backoff.reset(),
            Err(_) => pause(&state, &mut backoff).await,
        }
    }
}

async fn pause(state: &state::State, backoff: &mut store_call::Backoff) {
    let draw = rand::rng().random_range(0.0..1.0);
    let pause = backoff.pause(state.store_bound(), state.turn(), draw);
    tokio::time::sleep(pause).await;
}

/// Returns how long the next watch waits for a change: not at all after a failure.
fn wait(
    state: &state::State,
    place: watchers::Place,
    brought: Brought,
    backoff: &store_call::Backoff,
) -> Duration {
    let bound = state.store_bound();
    match brought {
        _ if backoff.has_failed() => Duration::ZERO,
        Brought::Changes | Brought::Everything => {
            store_call::watch_after_change(bound, place.watch_share())
        }
        Brought::Nothing => store_call::watch(bound),
    }
}

/// Watches; reads everything when the store dropped the history since the last watch, or was restored from a copy.
async fn watch_or_read(
    state: &state::State,
    client: &client::Client,
    place: watchers::Place,
    wait: Duration,
) -> Result<Brought, error::Error> {
    let outcome = match is_followed(state, client) {
        true => watch(state, client, place, wait).await,
        false => Err(error::Error::Compacted),
    };
    match outcome {
        Err(error::Error::Compacted) => {
            log::info!(after = state.replica.borrow().at().revision; "history-compacted");
            read_once(state, client).await?;
            tokio::time::sleep(place.batch_delay()).await;
            Ok(Brought::Everything)
        }
        outcome => outcome,
    }
}

/// Reads everything, unless another node has read a new era meanwhile and this one has taken it from there.
async fn read_once(state: &state::State, client: &client::Client) -> Result<(), error::Error> {
    if !is_followed(state, client) {
        tokio::time::sleep(state.read_turn()).await;
        if is_followed(state, client) {
            return Ok(());
        }
    }
    read(state, client, client::Freshness::Latest).await.map(|_| ())
}

/// Returns whether this node's copy is of the store's era.
fn is_followed(state: &state::State, client: &client::Client) -> bool {
    client.era() <= state.replica.borrow().at().era
}

async fn read(
    state: &state::State,
    client: &client::Client,
    freshness: client::Freshness,
) -> Result<Brought, error::Error> {
    let call = client.range(ALL_KEYS, freshness, store_call::read_timeout(state.store_bound()));
    let page = state.call_store(store_calls::Kind::Read, call).await?;
    is_current(state, page.position())?;
    state.apply(update::Source::Store, |replica| replica.replace(page));
    Ok(Brought::Changes)
}

/// Checks that an answer was not long on its way: one of an earlier era says nothing to a node that knows more.
fn is_current(state: &state::State, answered: position::Position) -> Result<(), error::Error> {
    let is_over = answered.era < state.store_era() && state.replica.borrow().is_complete();
    match is_over {
        true => Err(error::Error::Lost(format!("of era {}, which is over", answered.era))),
        false => Ok(()),
    }
}

/// Asks for changes, and waits for one for as long as `wait`.
async fn watch(
    state: &state::State,
    client: &client::Client,
    place: watchers::Place,
    wait: Duration,
) -> Result<Brought, error::Error> {
    let after = state.replica.borrow().at().revision;
    let bound = state.store_bound();
    let answer = match wait.is_zero() {
        true => store_call::answer_timeout(bound),
        false => store_call::watch_answer_timeout(bound),
    };
    let call = client.watch(ALL_KEYS, after, wait, answer);
    let page = state.call_store(store_calls::Kind::Watch, call).await?;
    is_current(state, page.position())?;
    if page.era > state.replica.borrow().at().era {
        return Err(error::Error::Compacted);
    }
    let has_changes = !page.items.is_empty();
    state.apply(update::Source::Store, |replica| replica.merge(page));
    if !has_changes {
        return Ok(Brought::Nothing);
    }
    tokio::time::sleep(place.batch_delay()).await;
    Ok(Brought::Changes)
}
