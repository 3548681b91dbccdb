//! Keeps this node's entry in the store, under a lease, so that other nodes find it.

use std::rc;
use std::time::Duration;

use platform::fact;
use platform::store::client;
use platform::store::error;
use platform::store::item;

use crate::gateway::state;

/// Life of the lease without a renewal.
const LEASE_TIME: Duration = Duration::from_secs(12);

/// Time between two renewals.
const RENEWAL: Duration = Duration::from_secs(4);

/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_secs(1);

/// Keeps the entry until the task ends.
pub async fn run(state: rc::Rc<state::State>, client: client::Client) {
    loop {
        match register(&state, &client).await {
            Ok(lease) => keep(&state, &client, lease).await,
            Err(_) => {
                state.store_disturbed();
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Writes the entry under a new lease.
async fn register(state: &state::State, client: &client::Client) -> Result<u64, error::Error> {
    let lease = client.lease(LEASE_TIME).await?;
    let (key, value) = {
        let me = state.me.borrow();
        (fact::node_key(&me.node), serde_json::to_vec(&*me).unwrap_or_default())
    };
    let put = item::Put { key, value, lease };
    client.write(&item::Write { put: vec![put], ..item::Write::default() }).await?;
    Ok(lease)
}

/// Renews the lease until it is over or the entry was taken away.
async fn keep(state: &state::State, client: &client::Client, lease: u64) {
    let me = state.me.borrow().node.clone();
    let key = fact::node_key(&me);
    loop {
        tokio::time::sleep(RENEWAL).await;
        let is_listed = state.replica.borrow().nodes().any(|listed| listed.name == me);
        if !is_listed && state.is_store_reached() {
            log::info!(key = key.as_str(); "registration-lost");
            return;
        }
        match client.keep(lease).await {
            Ok(()) => {}
            Err(error::Error::NoLease) => {
                log::info!(lease; "lease-over");
                return;
            }
            Err(_) => {
                state.store_disturbed();
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
