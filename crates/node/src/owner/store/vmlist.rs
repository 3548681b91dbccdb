//! Reads the platform's VM list once a second.
//!
//! Owns the last list. Relies on plain HTTP; an unreadable list leaves the last one in force.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt;
use platform::framing;
use steer::ownership::event;
use steer::ownership::vms;

use crate::owner::handle;

/// Time between two reads. Not measured.
const EVERY: Duration = Duration::from_secs(1);

/// Time for an answer. Not measured.
const CALL_TIME: Duration = Duration::from_secs(2);

/// Largest list, in bytes.
const LARGEST: usize = 4 << 20;

/// The HTTP library's client, for calls without a body.
pub type Client = legacy::Client<HttpConnector, Empty<Bytes>>;

/// Reads the list at `address` for ever and hands each new one to the decisions.
pub async fn run(address: net::SocketAddr, handle: handle::Handle) {
    let http: Client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    let mut last = vms::List::default();
    let mut is_read = true;
    loop {
        let read = tokio::time::timeout(CALL_TIME, read(&http, address)).await;
        let read = read.unwrap_or_else(|elapsed| Err(elapsed.into()));
        match &read {
            Ok(list) if *list != last => {
                last = list.clone();
                // Nothing repeats it: the next list may be the same.
                handle.deliver(event::Event::Vms { list: list.clone() }).await;
            }
            Ok(_) => {}
            // The last list stays in force. The first of several failures is logged.
            Err(error) if is_read => {
                let error = format!("{error:#}");
                log::warn!(error = error.as_str(); "vms-not-read");
            }
            Err(_) => {}
        }
        is_read = read.is_ok();
        tokio::time::sleep(EVERY).await;
    }
}

/// Reads the list at `address` once.
///
/// # Errors
///
/// Fails if there is no response, or one that is no list.
pub async fn read(http: &Client, address: net::SocketAddr) -> anyhow::Result<vms::List> {
    let mut response = http.get(format!("http://{address}/vms").parse()?).await?;
    framing::check(&Method::GET, &mut response)?;
    anyhow::ensure!(response.status().is_success(), "status {}", response.status());
    let body = Limited::new(response.into_body(), LARGEST).collect().await;
    let body = body.map_err(|error| anyhow::anyhow!(error))?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}
