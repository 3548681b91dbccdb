//! Reads the platform's VM list once a second.
//!
//! Owns the last list. Relies on plain HTTP; an unreadable list leaves the last one in force.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt;
use steer::ownership::event;
use steer::ownership::vms;

use crate::owner::handle;

/// Time between two reads. Not measured.
const EVERY: Duration = Duration::from_secs(1);

/// Time for an answer. Not measured.
const CALL_TIME: Duration = Duration::from_secs(2);

/// Largest list, in bytes.
const LARGEST: usize = 4 << 20;

/// Reads the list at `address` for ever and hands each new one to the decisions.
pub async fn run(address: net::SocketAddr, handle: handle::Handle) {
    let http: legacy::Client<HttpConnector, Empty<Bytes>> =
        legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    let mut last = vms::List::default();
    loop {
        let list = tokio::time::timeout(CALL_TIME, read(&http, address)).await.ok().flatten();
        match list {
            Some(list) if list != last => {
                last = list.clone();
                handle.send(event::Event::Vms { list });
            }
            // The same list, or one that cannot be read: the last one stays in force.
            _ => {}
        }
        tokio::time::sleep(EVERY).await;
    }
}

async fn read(
    http: &legacy::Client<HttpConnector, Empty<Bytes>>,
    address: net::SocketAddr,
) -> Option<vms::List> {
    let uri = format!("http://{address}/vms").parse().ok()?;
    let response = http.get(uri).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = Limited::new(response.into_body(), LARGEST).collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
