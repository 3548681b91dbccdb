//! Planned stop: carries out the steps that [`steer::dispatch::stop`] decides.
//!
//! Relies on the counts of what callers have open; `close` ends each caller's connection after its request.

use std::cell;
use std::rc;
use std::time::Instant;

use steer::common::responsiveness;
use steer::dispatch::stop;
use tokio::sync::watch;

use crate::gateway::proxy::server;
use crate::gateway::state;
use crate::gateway::stop_report;

/// How a stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Whether every request had ended.
    pub is_done: bool,
    /// What was left unfinished.
    pub remainder: stop_report::Remainder,
}

/// Stops as planned after a signal that arrived at `arrived` at the earliest.
pub async fn run(
    state: &rc::Rc<state::State>,
    open: &rc::Rc<server::Open>,
    close: &watch::Sender<bool>,
    turns: &cell::Cell<responsiveness::Turns>,
    arrived: Instant,
) -> Outcome {
    let grace = state.settings.borrow().bounds().grace;
    let mut schedule = stop::Schedule::new(arrived, Instant::now(), grace);
    let mut report = stop_report::Report::start(open, arrived);
    let mut is_listening = true;
    state.leave(schedule.exits());
    state.beat.notify_one();
    loop {
        tokio::time::sleep(stop::CHECK_PERIOD).await;
        let now = Instant::now();
        schedule.allow_for(turns.get().longest_delay(now));
        state.leave(schedule.exits());
        report.tick(schedule.latest_end(), now);
        let (connections, requests) = (open.connections(), open.requests.len());
        let unconfirmed = open.lingering.unconfirmed();
        let open = stop::Open { connections, requests, unconfirmed, is_listening };
        match schedule.step(now, open) {
            stop::Step::Serve => {}
            stop::Step::Close => {
                close_connections(close);
                is_listening = false;
            }
            stop::Step::End { is_done } => {
                close_connections(close);
                let remainder = report.end(Instant::now());
                return Outcome { is_done, remainder };
            }
        }
    }
}

fn close_connections(close: &watch::Sender<bool>) {
    // Fails only when the server and all connections have ended, which is what it is for.
    let _ = close.send(true);
}
