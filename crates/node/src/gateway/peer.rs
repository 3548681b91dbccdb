//! Client of other nodes: makes calls to them and limits their time and size.
//!
//! Fetches changes from their copies of the store, which [`extracts`] decodes.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt;
use platform::framing;
use platform::store::position;
use tokio::net::TcpStream;
use wire::gateway::extract;

use crate::gateway::extracts;

/// Path under which nodes serve changes; the query is the position to start after.
pub const CHANGES: &str = "/peer/changes";

/// Timeout of an exchange, including the connection.
const EXCHANGE_TIME: Duration = Duration::from_millis(1_500);

/// Maximum size of a response, in bytes.
const LARGEST_ANSWER: usize = 16 * 1_024 * 1_024;

/// Fetches the changes after `after` from the node at `peer`.
///
/// # Errors
///
/// Fails if the node does not respond in time or its response cannot be decoded.
pub async fn fetch(
    peer: net::SocketAddr,
    after: position::Position,
) -> anyhow::Result<extract::Extract> {
    let bytes = get(peer, &format!("{CHANGES}?{after}"), EXCHANGE_TIME).await?;
    Ok(extracts::decode(&bytes)?)
}

/// Requests `target`, a path with its query, from the node at `peer`, and returns the body of the response.
///
/// # Errors
///
/// Fails if the node does not respond with success within `timeout`.
pub async fn get(peer: net::SocketAddr, target: &str, timeout: Duration) -> anyhow::Result<Bytes> {
    tokio::time::timeout(timeout, exchange(peer, target)).await?
}

async fn exchange(peer: net::SocketAddr, target: &str) -> anyhow::Result<Bytes> {
    let stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await?;
    let request = Request::get(target)
        .header(http::header::HOST, peer.to_string())
        .body(Empty::<Bytes>::new())?;
    let exchange = async {
        let mut answer = sender.send_request(request).await?;
        framing::check(&Method::GET, &mut answer)?;
        anyhow::ensure!(answer.status().is_success(), "status {}", answer.status());
        let body = Limited::new(answer.into_body(), LARGEST_ANSWER);
        Ok(body.collect().await.map_err(|error| anyhow::anyhow!(error))?.to_bytes())
    };
    tokio::pin!(connection);
    tokio::pin!(exchange);
    tokio::select! {
        answer = &mut exchange => answer,
        ended = &mut connection => match ended {
            Ok(()) => exchange.await,
            Err(error) => Err(error.into()),
        },
    }
}
