//! Registration: this node's entry in the store, by which other nodes discover it.
//!
//! Owns the lease of the entry. A process that restarts soon takes over the entry and lease of its predecessor, which
//! saves writes to the store.

use std::rc;
use std::time::{Duration, Instant};

use platform::fact;
use platform::store::client;
use platform::store::error;
use platform::store::item;
use platform::store::lease;
use steer::dispatch::fleet::store_call;

use crate::gateway::state;
use crate::gateway::store_calls;

/// Time to live of the lease; three renewal intervals.
const LEASE_TIME: Duration = Duration::from_secs(12);

/// Interval between renewals.
const RENEWAL: Duration = Duration::from_secs(4);

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_secs(1);

/// Interval between checks for the copy of the store at the start.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Registers and renews until the task ends.
pub async fn run(state: rc::Rc<state::State>, client: client::Client) {
    if let Some(lease) = left_behind(&state).await {
        log::info!(lease = lease.number; "registration-taken-over");
        renew(&state, &client, lease, Duration::ZERO).await;
    }
    loop {
        match register(&state, &client).await {
            Ok(lease) => renew(&state, &client, lease, RENEWAL).await,
            // `call_store` has logged the failure.
            Err(_) => {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Returns the lease of the entry of this node's previous process, if its addresses are unchanged.
///
/// Waits for the copy of the store, but not longer than the timeout of a read.
async fn left_behind(state: &state::State) -> Option<lease::Held> {
    let began = Instant::now();
    while !state.replica.borrow().is_complete() {
        if began.elapsed() >= store_call::read_timeout(state.store_bound()) {
            return None;
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
    let (replica, me) = (state.replica.borrow(), state.me.borrow());
    let own = replica.nodes().find(|listed| listed.name == me.node)?;
    let is_true = own.member.as_ref().is_some_and(|member| member.stands_where(&me));
    let held = lease::Held { number: own.lease, era: own.era };
    (is_true && own.lease != 0 && own.era == replica.at().era).then_some(held)
}

/// Returns the lease in the current era; `None` if the restored store lacks this node's entry under it.
fn carried_over(state: &state::State, lease: lease::Held) -> Option<lease::Held> {
    let (replica, me) = (state.replica.borrow(), state.me.borrow());
    let era = replica.at().era;
    if lease.era == era {
        return Some(lease);
    }
    let mut nodes = replica.nodes();
    let own = nodes.find(|listed| listed.name == me.node && listed.lease == lease.number)?;
    (own.era == era).then_some(lease::Held { era, ..lease })
}

/// Writes the entry with a new lease.
async fn register(
    state: &state::State,
    client: &client::Client,
) -> Result<lease::Held, error::Error> {
    let time = store_call::answer_timeout(state.store_bound());
    let call = client.lease(LEASE_TIME, time);
    let lease = state.call_store(store_calls::Kind::Lease, call).await?;
    let (key, value) = {
        let me = state.me.borrow();
        let value = serde_json::to_vec(&*me).expect("a member is plain text and numbers");
        (fact::node_key(&me.node), value)
    };
    let put = item::Put { key, value, lease: lease.number };
    let write = item::Write { put: vec![put], ..item::Write::default() };
    let call = client.write(&write, time);
    state.call_store(store_calls::Kind::Entry, call).await?;
    Ok(lease)
}

/// Renews the lease after `pause` and then periodically, until it has expired or the entry is removed.
async fn renew(state: &state::State, client: &client::Client, lease: lease::Held, pause: Duration) {
    let me = state.me.borrow().node.clone();
    let key = fact::node_key(&me);
    let (mut pause, mut lease) = (pause, lease);
    loop {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = state.era_changed.notified() => {}
        }
        pause = RENEWAL;
        if state.store_era() > state.replica.borrow().at().era {
            // The copy of the store shows later whether the lease is still valid.
            pause = CHECK_PERIOD;
            continue;
        }
        let is_listed = state.replica.borrow().nodes().any(|listed| listed.name == me);
        lease = match carried_over(state, lease) {
            Some(lease) if is_listed || !state.is_store_known() => lease,
            _ => {
                log::info!(key = key.as_str(); "registration-lost");
                return;
            }
        };
        let call = client.renew(lease, store_call::answer_timeout(state.store_bound()));
        match state.call_store(store_calls::Kind::Renewal, call).await {
            Ok(()) => {}
            Err(error::Error::NoLease) => {
                log::info!(lease = lease.number; "lease-over");
                return;
            }
            // The record of calls has logged it.
            Err(_) => {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
