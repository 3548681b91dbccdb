//! Connections to other nodes, one for each address.
//!
//! Owns them and their windows. Relies on tonic to keep each alive.

use std::collections;
use std::net;
use std::sync;
use std::time::Duration;

use tokio::sync::OnceCell;
use tonic::transport;
use wire::peer::peer_client::PeerClient;

/// Time to make a connection to a node.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Time between two pings on a connection that is in use.
const PING_EVERY: Duration = Duration::from_secs(1);

/// Time after which a ping without an answer breaks the connection.
const PING_TIME: Duration = Duration::from_secs(2);

/// Bytes that may be on the way on one connection between nodes.
///
/// It is also what bounds the small messages that wait to be read: HTTP/2's library closes a
/// connection on which they would take more than half of this, and the head and end of each request
/// that waits for a slot are such. This holds some 16,000 of them, more than streams are allowed.
pub const CONNECTION_WINDOW: u32 = 8 << 20;

/// Bytes that may be on the way on one stream.
pub const STREAM_WINDOW: u32 = 256 << 10;

/// A connection that is made when it is first wanted.
type Connection = sync::Arc<OnceCell<transport::Channel>>;

/// Connections to other nodes, one for each address.
///
/// Requests that want one at the same time wait for the same one. Were each to make its own, all but
/// the last would be dropped, and with them the answers that stream over them.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    open: sync::Arc<sync::Mutex<collections::HashMap<net::SocketAddr, Connection>>>,
}

impl Connections {
    /// Returns a client for the node at `address`, connected.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be made, so that nothing was sent.
    pub async fn client(
        &self,
        address: net::SocketAddr,
    ) -> Result<PeerClient<transport::Channel>, transport::Error> {
        let link = sync::Arc::clone(self.lock().entry(address).or_default());
        let connect = || async { channel(address)?.connect().await };
        let channel = link.get_or_try_init(connect).await?;
        Ok(PeerClient::new(channel.clone()))
    }

    /// Forgets a connection that failed.
    pub fn forget(&self, address: net::SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<net::SocketAddr, Connection>> {
        self.open.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn channel(address: net::SocketAddr) -> Result<transport::Endpoint, transport::Error> {
    let channel = transport::Endpoint::from_shared(format!("http://{address}"))?;
    Ok(channel
        .connect_timeout(CONNECT_TIME)
        .http2_keep_alive_interval(PING_EVERY)
        .keep_alive_timeout(PING_TIME)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .initial_stream_window_size(STREAM_WINDOW)
        .tcp_nodelay(true))
}

/// Returns whether a call failed because no connection could be made, so that it was not sent.
#[must_use]
pub fn was_never_sent(status: &tonic::Status) -> bool {
    let mut error: Option<&(dyn std::error::Error + 'static)> = Some(status);
    while let Some(current) = error {
        if current.is::<tonic::ConnectError>() {
            return true;
        }
        error = current.source();
    }
    false
}
