//! A list of VMs that lags behind them, over HTTP as `GET /vms`.
//!
//! It owns the list and its lag; it relies on [`crate::control`] for its outages.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time::Duration;

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing;
use serde::{Deserialize, Serialize};

use crate::control;
use crate::server;

/// The list as it is answered: the standing of each VM by its address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// `live` or `leaving`.
    pub vms: collections::BTreeMap<net::IpAddr, Standing>,
}

/// The standing of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It runs.
    Live,
    /// It will stop.
    Leaving,
}

/// A running VM list.
#[derive(Debug)]
pub struct Vms {
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its faults.
    pub faults: sync::Arc<control::Faults>,
    list: sync::Arc<sync::Mutex<List>>,
    lag: Duration,
    server: server::Server,
}

type Shared = (sync::Arc<control::Faults>, sync::Arc<sync::Mutex<List>>);

impl Vms {
    /// Starts an empty list that shows changes after `lag`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub async fn start(address: net::SocketAddr, lag: Duration) -> io::Result<Self> {
        let faults = sync::Arc::new(control::Faults::default());
        let list = sync::Arc::new(sync::Mutex::new(List::default()));
        let shared: Shared = (sync::Arc::clone(&faults), sync::Arc::clone(&list));
        let router = axum::Router::new().route("/vms", routing::get(show)).with_state(shared);
        let server =
            server::Server::start(address, router, server::MANY, sync::Arc::default()).await?;
        Ok(Self { address: server.address, faults, list, lag, server })
    }

    /// Lists VMs at once, as at the start of a test.
    pub fn fill(&self, addresses: impl IntoIterator<Item = net::IpAddr>) {
        let mut list = self.list.lock().unwrap_or_else(sync::PoisonError::into_inner);
        list.vms.extend(addresses.into_iter().map(|address| (address, Standing::Live)));
    }

    /// Changes a VM's standing; none takes it off the list. The change shows after the lag.
    pub fn set(&self, address: net::IpAddr, standing: Option<Standing>) {
        let list = sync::Arc::clone(&self.list);
        let lag = self.lag;
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            let mut list = list.lock().unwrap_or_else(sync::PoisonError::into_inner);
            match standing {
                Some(standing) => list.vms.insert(address, standing),
                None => list.vms.remove(&address),
            };
        });
    }

    /// Stops the list.
    pub fn stop(&self) {
        self.server.stop();
    }
}

async fn show(State((faults, list)): State<Shared>) -> Result<Json<List>, StatusCode> {
    match faults.is_out() {
        true => Err(StatusCode::SERVICE_UNAVAILABLE),
        false => {
            let list = list.lock().unwrap_or_else(sync::PoisonError::into_inner);
            Ok(Json(list.clone()))
        }
    }
}
