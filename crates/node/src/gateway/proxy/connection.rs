//! Connection to an upstream.
//!
//! Owns the socket and the task that drives the connection.

use std::net;
use std::time::{Duration, Instant};

use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::net::TcpStream;
use tokio::task;

use crate::common::body;
use crate::common::socket;

/// Timeout for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Time that sent data may remain unacknowledged before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to an upstream. Dropping it resets the connection, so that no more data of a request is sent.
#[derive(Debug)]
pub struct Connection {
    /// The sending half.
    pub sender: http1::SendRequest<body::Body>,
    /// Time of the latest use.
    pub used: Instant,
    /// Time after which the connection is no longer used when idle; zero if it must not be reused.
    pub idle_timeout: Duration,
    driver: task::JoinHandle<()>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be established within [`CONNECT_TIMEOUT`].
    pub async fn open(address: net::SocketAddr) -> std::io::Result<Self> {
        let connect = TcpStream::connect(address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(stream) => stream?,
            Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
        };
        stream.set_nodelay(true)?;
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        socket::probe_when_silent(&stream)?;
        socket::reset_when_closed(&stream)?;
        let (sender, connection) =
            http1::handshake(rt::TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        let driver = task::spawn_local(async move {
            // The exchange on the connection returns the same error.
            let _ = connection.await;
        });
        Ok(Self { sender, used: Instant::now(), idle_timeout: Duration::ZERO, driver })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
