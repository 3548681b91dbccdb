//! One connection to an upstream.
//!
//! Owns the socket and the task that drives it.

use std::net;
use std::time::{Duration, Instant};

use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::net::TcpStream;
use tokio::task;

use crate::common::body;
use crate::common::socket;

/// Longest time a connection may take to come up.
pub const CONNECT_TIME: Duration = Duration::from_millis(350);

/// Time after which bytes that the upstream does not acknowledge break the connection.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_secs(2);

/// A connection to an upstream; dropping it resets it at once, so that nothing more of a request arrives.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests.
    pub sender: http1::SendRequest<body::Body>,
    /// When it was last used.
    pub used: Instant,
    /// How long it may rest.
    pub rest: Duration,
    driver: task::JoinHandle<()>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when it does not come up in time.
    pub async fn open(address: net::SocketAddr) -> std::io::Result<Self> {
        let connect = TcpStream::connect(address);
        let stream = match tokio::time::timeout(CONNECT_TIME, connect).await {
            Ok(stream) => stream?,
            Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
        };
        stream.set_nodelay(true)?;
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME))?;
        socket::probe_when_silent(&stream)?;
        socket::reset_when_closed(&stream)?;
        let (sender, connection) =
            http1::handshake(rt::TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        let driver = task::spawn_local(async move {
            // The exchange that uses the connection gets the same error.
            let _ = connection.await;
        });
        Ok(Self { sender, used: Instant::now(), rest: Duration::ZERO, driver })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
