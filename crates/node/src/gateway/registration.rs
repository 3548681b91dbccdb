//! Registration: this node's entry in the store, under a lease, by which other nodes find it.
//!
//! Owns the lease. Relies on the state for the entry's value, and for whether the store still lists it.

use std::rc;
use std::time::Duration;

use platform::fact;
use platform::store::client;
use platform::store::error;
use platform::store::item;
use steer::dispatch::fleet::store_call;

use crate::gateway::state;
use crate::gateway::store_calls;

/// Life of the lease without a renewal. Not measured; three renewals.
const LEASE_TIME: Duration = Duration::from_secs(12);

/// Time between two renewals. Not measured.
const RENEWAL: Duration = Duration::from_secs(4);

/// Pause after a failed call. Not measured.
const PAUSE: Duration = Duration::from_secs(1);

/// Registers and renews until the task ends.
pub async fn run(state: rc::Rc<state::State>, client: client::Client) {
    loop {
        match register(&state, &client).await {
            Ok(lease) => renew(&state, &client, lease).await,
            // The record of calls has logged it.
            Err(_) => {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Writes the entry under a new lease.
async fn register(state: &state::State, client: &client::Client) -> Result<u64, error::Error> {
    let time = store_call::answer(state.store_bound());
    let call = client.lease(LEASE_TIME, time);
    let lease = state.call_store(store_calls::Kind::Lease, call).await?;
    let (key, value) = {
        let me = state.me.borrow();
        let value = serde_json::to_vec(&*me).expect("a member is plain text and numbers");
        (fact::node_key(&me.node), value)
    };
    let put = item::Put { key, value, lease };
    let write = item::Write { put: vec![put], ..item::Write::default() };
    let call = client.write(&write, time);
    state.call_store(store_calls::Kind::Entry, call).await?;
    Ok(lease)
}

/// Renews the lease until it has expired or the entry is gone.
async fn renew(state: &state::State, client: &client::Client, lease: u64) {
    let me = state.me.borrow().node.clone();
    let key = fact::node_key(&me);
    loop {
        tokio::time::sleep(RENEWAL).await;
        let is_listed = state.replica.borrow().nodes().any(|listed| listed.name == me);
        if !is_listed && state.is_store_known() {
            log::info!(key = key.as_str(); "registration-lost");
            return;
        }
        let call = client.renew(lease, store_call::answer(state.store_bound()));
        match state.call_store(store_calls::Kind::Renewal, call).await {
            Ok(()) => {}
            Err(error::Error::NoLease) => {
                log::info!(lease; "lease-over");
                return;
            }
            // The record of calls has logged it.
            Err(_) => {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
