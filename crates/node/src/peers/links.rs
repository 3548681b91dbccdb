//! Links: the connections to other nodes' faces for peers.

use std::collections;
use std::net;
use std::sync;
use std::time::Duration;

use tonic::transport;
use wire::peer::peer_client::PeerClient;

/// Time to make a connection to a node.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Time between two pings on a connection that is in use.
const PING_EVERY: Duration = Duration::from_secs(1);

/// Time after which a ping without an answer breaks the connection.
const PING_TIME: Duration = Duration::from_secs(2);

/// Connections to other nodes, one for each address.
#[derive(Clone, Debug, Default)]
pub struct Links {
    open: sync::Arc<sync::Mutex<collections::HashMap<net::SocketAddr, transport::Channel>>>,
}

impl Links {
    /// Returns a client for the node at `address`, connected.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be made, so that nothing was sent.
    pub async fn client(
        &self,
        address: net::SocketAddr,
    ) -> Result<PeerClient<transport::Channel>, transport::Error> {
        let open = self.lock().get(&address).cloned();
        if let Some(channel) = open {
            return Ok(PeerClient::new(channel));
        }
        let channel = endpoint(address)?.connect().await?;
        self.lock().insert(address, channel.clone());
        Ok(PeerClient::new(channel))
    }

    /// Forgets a connection that failed.
    pub fn forget(&self, address: net::SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<net::SocketAddr, transport::Channel>> {
        self.open.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn endpoint(address: net::SocketAddr) -> Result<transport::Endpoint, transport::Error> {
    let endpoint = transport::Endpoint::from_shared(format!("http://{address}"))?;
    Ok(endpoint
        .connect_timeout(CONNECT_TIME)
        .http2_keep_alive_interval(PING_EVERY)
        .keep_alive_timeout(PING_TIME)
        .http2_adaptive_window(true)
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
