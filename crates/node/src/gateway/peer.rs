//! Client of other nodes: fetches changes from their copies of the store.
//!
//! Makes the call and limits its time and size; [`extracts`] decodes the response.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt;
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
    tokio::time::timeout(EXCHANGE_TIME, exchange(peer, after)).await?
}

async fn exchange(
    peer: net::SocketAddr,
    after: position::Position,
) -> anyhow::Result<extract::Extract> {
    let stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await?;
    let request = Request::get(format!("{CHANGES}?{after}"))
        .header(http::header::HOST, peer.to_string())
        .body(Empty::<Bytes>::new())?;
    let exchange = async {
        let answer = sender.send_request(request).await?;
        anyhow::ensure!(answer.status().is_success(), "status {}", answer.status());
        let body = Limited::new(answer.into_body(), LARGEST_ANSWER);
        let bytes = body.collect().await.map_err(|error| anyhow::anyhow!(error))?.to_bytes();
        Ok(extracts::decode(&bytes)?)
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
