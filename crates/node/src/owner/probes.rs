//! Probes the upstreams that this node owns for their health and load.
//!
//! Owns the period. Relies on each service's `report` path; an upstream without an answer counts as one
//! missed probe.

use std::collections;
use std::net;
use std::sync;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt;
use model::upstream;
use platform::framing;
use steer::ownership::event;
use steer::ownership::report;
use tokio::sync::Semaphore;

use crate::owner::handle;

/// Time between two probes of one upstream. Not measured.
const EVERY: Duration = Duration::from_secs(1);

/// Time for an answer. Not measured.
const PROBE_TIME: Duration = Duration::from_millis(800);

/// Probes that may be out at once. Not measured.
const PROBES: usize = 32;

/// Largest report, in bytes.
const LARGEST: usize = 64 * 1_024;

/// The HTTP library's client, for probes.
pub type Http = legacy::Client<HttpConnector, Empty<Bytes>>;

/// Probes for ever each upstream that this node owns or still runs requests at.
pub async fn run(handle: handle::Handle) {
    let http: Http =
        legacy::Client::builder(rt::TokioExecutor::new()).pool_max_idle_per_host(1).build_http();
    let permits = sync::Arc::new(Semaphore::new(PROBES));
    loop {
        let probed = handle.look(|state| probed(state.core)).await.unwrap_or_default();
        let view = handle.view();
        for (upstream, address) in probed {
            let service = view.config.snapshot.services.get(&upstream.service);
            let Some(path) = service.and_then(|s| s.spec.report.clone()) else { continue };
            let Ok(permit) = sync::Arc::clone(&permits).acquire_owned().await else { return };
            let (http, handle) = (http.clone(), handle.clone());
            tokio::spawn(async move {
                let probe = tokio::time::timeout(PROBE_TIME, probe(&http, address, &path));
                let report = probe.await.ok().flatten();
                handle.send(event::Event::Probed { upstream, report });
                drop(permit);
            });
        }
        tokio::time::sleep(EVERY).await;
    }
}

/// Returns the upstreams that this node owns or still runs requests at.
fn probed(
    core: &steer::ownership::core::Core,
) -> collections::BTreeMap<upstream::Key, net::SocketAddr> {
    let upstreams = core.owner.upstreams.iter();
    let owner =
        |u: &steer::ownership::owned::Upstream| u.ledger.allotment.owner() == Some(&core.me.key);
    let used = upstreams.filter(|(_, u)| owner(u) || u.ledger.in_flight() > 0);
    used.map(|(key, u)| (key.clone(), u.address)).collect()
}

/// Probes the upstream at `address` once; `None` if it reports nothing that can be read.
pub async fn probe(http: &Http, address: net::SocketAddr, path: &str) -> Option<report::Report> {
    let uri = format!("http://{address}{path}").parse().ok()?;
    let mut response = http.get(uri).await.ok()?;
    framing::check(&Method::GET, &mut response).ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = Limited::new(response.into_body(), LARGEST).collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
