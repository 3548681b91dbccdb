//! Follows the platform's store: reads the whole store, then watches it.
//!
//! [`steer::dispatch::fleet`] decides whether this node watches, how long it waits for a response, and when it calls
//! again after a failure. The state applies the changes.

use std::rc;
use std::time::{Duration, Instant};

use platform::store::client;
use platform::store::error;
use platform::store::position;
use rand::RngExt as _;
use steer::dispatch::fleet::{freshness, store_call, watchers};

use crate::gateway::state;
use crate::gateway::state::update;
use crate::gateway::store_calls;

/// Prefix of all keys.
const ALL_KEYS: &str = "";

/// Content of a response of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Brought {
    /// Changes.
    Changes,
    /// The whole store, because the requested history is compacted or of an earlier era.
    Everything,
    /// No change before the watch ended.
    Nothing,
}

/// Next call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Read the whole store, because this node has no copy.
    Read,
    /// Request the changes since the copy was read, because the copy may be outdated.
    Confirm,
    /// Watch the store.
    Watch(watchers::Place),
    /// None: other nodes watch the store.
    Idle,
}

/// Follows the store until the task ends.
pub async fn run(state: rc::Rc<state::State>, client: client::Client) {
    let mut backoff = store_call::Backoff::default();
    let mut brought = Brought::Changes;
    let began = Instant::now();
    let draw = rand::rng().random_range(0.0..1.0);
    let settle = watchers::settle(state.store_bound(), state.has_seeds(), draw);
    loop {
        let has_settled = began.elapsed() >= settle || state.is_first_listed();
        let step = next_step(&state, has_settled);
        match step {
            Step::Watch(_) => state.set_watching(true),
            Step::Idle if has_settled => state.set_watching(false),
            Step::Read | Step::Confirm | Step::Idle => {}
        }
        let outcome = match step {
            Step::Idle => {
                backoff.reset();
                brought = Brought::Changes;
                tokio::time::sleep(store_call::CHECK_PERIOD).await;
                continue;
            }
            Step::Watch(place) => {
                let wait = wait(&state, place, brought, &backoff);
                watch_or_read(&state, &client, place, wait).await
            }
            // A stale read is sufficient, since the next call and the watch deliver later changes. It costs a
            // tenth of a linearizable one, and a starting fleet makes many.
            Step::Read => read(&state, &client, client::Freshness::Stale).await,
            Step::Confirm => {
                tokio::time::sleep(state.confirmation_turn()).await;
                // A heartbeat may have confirmed the copy meanwhile.
                if state.copy_status() != freshness::Status::Unconfirmed {
                    continue;
                }
                ask(&state, &client, Duration::ZERO).await
            }
        };
        state.hear_store(&client);
        match &outcome {
            Ok(_) if step == Step::Read => state.store_answered(),
            outcome => state
                .store_reached(outcome.as_ref().err().map(|error| error as &dyn std::error::Error)),
        }
        let before =
            std::mem::replace(&mut brought, outcome.as_ref().copied().unwrap_or(Brought::Changes));
        match outcome {
            // Repeated compaction is treated like a failure, to limit the calls to the store.
            Ok(Brought::Everything) if before == Brought::Everything => {
                pause(&state, &mut backoff).await;
            }
            Ok(_) => backoff.reset(),
            Err(_) => pause(&state, &mut backoff).await,
        }
    }
}

/// Returns the next call to the store; `has_settled` is whether this node may already watch it.
fn next_step(state: &state::State, has_settled: bool) -> Step {
    match state.watcher_place() {
        _ if !state.replica.borrow().is_complete() => Step::Read,
        _ if state.copy_status() == freshness::Status::Unconfirmed => Step::Confirm,
        Some(place) if has_settled => Step::Watch(place),
        _ => Step::Idle,
    }
}

async fn pause(state: &state::State, backoff: &mut store_call::Backoff) {
    let draw = rand::rng().random_range(0.0..1.0);
    let pause = backoff.pause(state.store_bound(), state.turn(), draw);
    tokio::time::sleep(pause).await;
}

/// Returns the maximum duration of the next watch; zero after a failure.
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

/// Watches the store; reads the whole store if the history since the last watch is compacted or the era is new.
async fn watch_or_read(
    state: &state::State,
    client: &client::Client,
    place: watchers::Place,
    wait: Duration,
) -> Result<Brought, error::Error> {
    let brought = ask(state, client, wait).await?;
    if brought != Brought::Nothing {
        tokio::time::sleep(place.batch_delay()).await;
    }
    Ok(brought)
}

/// Asks for changes and waits for one for up to `wait`; reads the whole store if a watch cannot tell them.
async fn ask(
    state: &state::State,
    client: &client::Client,
    wait: Duration,
) -> Result<Brought, error::Error> {
    let outcome = match is_followed(state, client) {
        true => watch(state, client, wait).await,
        false => Err(error::Error::Compacted),
    };
    match outcome {
        Err(error::Error::Compacted) => {
            log::info!(after = state.replica.borrow().at().revision; "history-compacted");
            read_once(state, client).await?;
            Ok(Brought::Everything)
        }
        outcome => outcome,
    }
}

/// Reads the whole store, unless this node has got the new era from another node meanwhile.
async fn read_once(state: &state::State, client: &client::Client) -> Result<(), error::Error> {
    if !is_followed(state, client) {
        tokio::time::sleep(state.read_turn()).await;
        if is_followed(state, client) {
            return Ok(());
        }
    }
    read(state, client, client::Freshness::Latest).await.map(|_| ())
}

/// Returns whether this node's copy belongs to the current era of the store.
fn is_followed(state: &state::State, client: &client::Client) -> bool {
    client.era() <= state.replica.borrow().at().era
}

async fn read(
    state: &state::State,
    client: &client::Client,
    freshness: client::Freshness,
) -> Result<Brought, error::Error> {
    let began = Instant::now();
    let call = client.range(ALL_KEYS, freshness, store_call::read_timeout(state.store_bound()));
    let page = state.call_store(store_calls::Kind::Read, call).await?;
    is_current(state, page.position())?;
    state.apply(update::Source::Store, |replica| replica.replace(page));
    if freshness == client::Freshness::Latest {
        state.confirm(began);
    }
    Ok(Brought::Changes)
}

/// Checks that a response does not belong to an earlier era than this node's copy.
fn is_current(state: &state::State, answered: position::Position) -> Result<(), error::Error> {
    let is_over = answered.era < state.store_era() && state.replica.borrow().is_complete();
    match is_over {
        true => Err(error::Error::Lost(format!("of era {}, which is over", answered.era))),
        false => Ok(()),
    }
}

/// Requests changes and waits for one for up to `wait`.
async fn watch(
    state: &state::State,
    client: &client::Client,
    wait: Duration,
) -> Result<Brought, error::Error> {
    let began = Instant::now();
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
    // The store answers a watch when there is a change, or when its time is over.
    state.confirm(if wait.is_zero() { began } else { Instant::now() });
    match has_changes {
        true => Ok(Brought::Changes),
        false => Ok(Brought::Nothing),
    }
}
