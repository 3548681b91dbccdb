//! Connections to upstreams that end with a reset.
//!
//! Owns the one socket option that both roles set for it. Closing a connection usually leaves what was written
//! to the operating system, which goes on sending it. A request that was given up long ago would then still
//! arrive, at an upstream that has left meanwhile. After a reset nothing more is sent, and the upstream learns
//! that nobody waits for its answer.

use std::io;
use std::time::Duration;

use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt;
use tokio::net::TcpStream;
use tower::util;

/// A socket as the HTTP library holds it.
type Socket = rt::TokioIo<TcpStream>;

/// A connector of the HTTP library whose connections end with a reset.
pub type Connector = util::MapResponse<HttpConnector, fn(Socket) -> Socket>;

/// Makes a connector whose connections end with a reset.
#[must_use]
pub fn connector(inner: HttpConnector) -> Connector {
    util::MapResponse::new(inner, |socket: Socket| {
        if let Err(error) = when_closed(socket.inner()) {
            // The connection works; only what is given up on it may arrive later.
            let error = error.to_string();
            log::debug!(error = error.as_str(); "reset-not-set");
        }
        socket
    })
}

/// Makes `stream` end with a reset when it is closed, and what is not acknowledged by then is discarded.
///
/// # Errors
///
/// Fails when the option cannot be set.
pub fn when_closed(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
