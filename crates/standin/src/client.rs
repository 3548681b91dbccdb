//! A plain HTTP client that can send from a chosen address of this machine.
//!
//! It owns its connections, and refuses broken responses as a node does.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt;
use platform::framing;

/// Time to make a connection; not measured.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Largest body of an answer that is read whole, in bytes.
const LARGEST_ANSWER: usize = 64 * 1_024 * 1_024;

/// A client with its own connections.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Makes a client that sends from `from`, or from any address.
    #[must_use]
    pub fn new(from: Option<net::IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIME));
        connector.set_local_address(from);
        connector.set_nodelay(true);
        let inner = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the answer with its whole body.
    ///
    /// # Errors
    ///
    /// Fails when there is no connection, no whole answer, or one of more than 64 MB.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> anyhow::Result<Response<Bytes>> {
        let (head, body) = self.open(request).await?.into_parts();
        let body = Limited::new(body, LARGEST_ANSWER).collect().await;
        let body = body.map_err(|error| anyhow::anyhow!(error))?.to_bytes();
        Ok(Response::from_parts(head, body))
    }

    /// Sends a request and returns the answer as soon as its head is read.
    ///
    /// # Errors
    ///
    /// Fails when there is no connection, or no answer.
    pub async fn open(
        &self,
        request: Request<Full<Bytes>>,
    ) -> anyhow::Result<Response<hyper::body::Incoming>> {
        let method = request.method().clone();
        let mut response = self.inner.request(request).await?;
        framing::check(&method, &mut response)?;
        Ok(response)
    }
}
