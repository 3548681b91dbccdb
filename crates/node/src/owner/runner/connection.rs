//! Connection to an upstream.
//!
//! Owns the socket and the task that drives the connection. [`framing`] decides what bytes after a response mean.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time::{Duration, Instant};

use hyper::client::conn::http1;
use hyper_util::rt;
use steer::common::framing;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

use crate::common::body;
use crate::common::socket;

/// Time to make a connection to an upstream.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// The task of a connection.
type Driver = http1::Connection<rt::TokioIo<TcpStream>, body::Body>;

/// A connection to an upstream.
///
/// It closes after the exchange in progress once it is dropped, and at once where that is given up.
#[derive(Debug)]
pub(super) struct Connection {
    /// The sending half.
    pub(super) sender: http1::SendRequest<body::Body>,
    /// The upstream's address.
    pub(super) address: net::SocketAddr,
    /// Since when it is idle, or when it was opened.
    pub(super) idle_since: Instant,
    is_cut_short: sync::Arc<atomic::AtomicBool>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be established within [`CONNECT_TIME`].
    pub(super) async fn open(address: net::SocketAddr, now: Instant) -> io::Result<Self> {
        let connect = time::timeout(CONNECT_TIME, TcpStream::connect(address));
        let stream = connect.await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        if let Err(error) = socket::reset_when_closed(&stream) {
            // The connection works, but data of an abandoned request may still be sent.
            socket::log_not_set(&error);
        }
        let handshake = http1::handshake(rt::TokioIo::new(stream));
        let (sender, driver) = handshake.await.map_err(io::Error::other)?;
        let is_cut_short = sync::Arc::<atomic::AtomicBool>::default();
        task::spawn(drive(driver, sync::Arc::clone(&is_cut_short)));
        Ok(Self { sender, address, idle_since: now, is_cut_short })
    }

    /// Returns whether bytes that arrived with the end of the latest response show that it may be cut short.
    ///
    /// The task that drives the connection runs on the thread of the exchange, and finds them before the end of the
    /// body is handed on.
    pub(super) fn is_cut_short(&self) -> bool {
        self.is_cut_short.load(atomic::Ordering::Relaxed)
    }
}

/// Drives a connection until it ends.
async fn drive(mut driver: Driver, is_cut_short: sync::Arc<atomic::AtomicBool>) {
    // An exchange on the connection returns its error.
    let _ = (&mut driver).await;
    let rest = driver.into_parts().read_buf;
    is_cut_short.store(framing::is_cut_short(&rest), atomic::Ordering::Relaxed);
}
