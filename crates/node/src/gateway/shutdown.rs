//! Planned stops: a node leaves look-ups, serves on while callers may still come, and ends.

use std::rc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::gateway::proxy::server;
use crate::gateway::state;

/// Time for which callers that looked the node up may still come; some keep an answer for three
/// times its life.
const CALLERS_COME: Duration = Duration::from_millis(3_300);

/// Time before the kill at which resting connections are ended.
const CLOSE_BEFORE: Duration = Duration::from_millis(1_500);

/// Time before the kill at which the process ends whatever it holds.
const END_BEFORE: Duration = Duration::from_millis(150);

/// Time between two looks at what is left.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Stops as planned; returns whether every request had ended.
pub async fn run(
    state: &rc::Rc<state::State>,
    open: &rc::Rc<server::Open>,
    close: &watch::Sender<bool>,
) -> bool {
    let began = Instant::now();
    let grace = state.settings.borrow().bounds().grace;
    state.leave();
    state.beat.notify_one();
    let close_at = grace.saturating_sub(CLOSE_BEFORE);
    let end_at = grace.saturating_sub(END_BEFORE);
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let elapsed = began.elapsed();
        let is_quiet = open.connections() == 0 && elapsed >= CALLERS_COME;
        if is_quiet {
            return true;
        }
        if elapsed >= close_at || (elapsed >= CALLERS_COME && open.requests() == 0) {
            let _ = close.send(true);
        }
        if elapsed >= end_at {
            return open.requests() == 0;
        }
    }
}
