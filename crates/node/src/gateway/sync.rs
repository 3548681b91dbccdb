//! Follows the platform's store: reads it whole, then watches it.

use std::rc;
use std::time::Duration;

use platform::store::client;
use platform::store::error;
use rand::RngExt as _;

use crate::gateway::state;

/// Longest time one watch waits.
const WAIT: Duration = Duration::from_secs(20);

/// Time in which changes gather before the next watch; calls are priced.
const GATHER: Duration = Duration::from_millis(150);

/// First pause after a call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after a call that failed.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);

/// All keys.
const EVERYTHING: &str = "";

/// Time between two looks at whether this node should watch.
const WATCH_LOOK: Duration = Duration::from_millis(250);

/// Follows the store until the task ends.
pub async fn run(state: rc::Rc<state::State>, client: client::Client) {
    let mut pause = FIRST_PAUSE;
    loop {
        let is_complete = state.replica.borrow().is_complete();
        if is_complete && !state.should_watch() {
            tokio::time::sleep(WATCH_LOOK).await;
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

/// Watches; reads everything when the history since the last news is gone.
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
    let page = client.range(EVERYTHING).await?;
    state.learn(state::Source::Store, |replica| replica.replace(page));
    Ok(())
}

async fn watch(state: &state::State, client: &client::Client) -> Result<(), error::Error> {
    let after = state.replica.borrow().at();
    let page = client.watch(EVERYTHING, after, WAIT).await?;
    let has_news = !page.items.is_empty();
    state.learn(state::Source::Store, |replica| replica.merge(page));
    if has_news {
        tokio::time::sleep(GATHER).await;
    }
    Ok(())
}

/// Spreads pauses, so that nodes that failed together do not call together.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}
