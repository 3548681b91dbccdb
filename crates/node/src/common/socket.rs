//! Options of sockets by which a connection that has fallen silent, or was given up, ends.
//!
//! Owns the options that both roles set, and the times of connections from callers, nodes and operators.

use std::io;
use std::time::Duration;

use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tower::util;

/// Time after which bytes that a client does not acknowledge end its connection.
pub const UNACKNOWLEDGED_TIME: Duration = Duration::from_secs(5);

/// Time between two pings on an HTTP/2 connection whose client is silent.
pub const PING_EVERY: Duration = Duration::from_secs(5);

/// Time after which a ping without an answer ends the connection.
pub const PING_TIME: Duration = Duration::from_secs(5);

/// Silence on a connection to an upstream after which it is probed.
///
/// Measured: docs/measurements/hundreds.md, row "silent upstreams are probed". With 2 s a caller
/// learned of a crash after 5 s, and many deadlines (6 s) came first. Three lost probes must outlast lost packets and a
/// short cut of the network.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Time between two such probes; the operating system takes whole seconds. Measured with [`PROBE_AFTER`].
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection breaks.
const MOST_PROBES: u32 = 3;

/// A socket as the HTTP library holds it.
type Socket = rt::TokioIo<TcpStream>;

/// A connector of the HTTP library whose connections end with a reset.
pub type Connector = util::MapResponse<HttpConnector, fn(Socket) -> Socket>;

/// Makes a connector whose connections end with a reset, as [`reset_when_closed`] says.
#[must_use]
pub fn connector(inner: HttpConnector) -> Connector {
    util::MapResponse::new(inner, |socket: Socket| {
        if let Err(error) = reset_when_closed(socket.inner()) {
            // The connection works; only what is given up on it may arrive later.
            log_not_set(&error);
        }
        socket
    })
}

/// Makes `stream` end with a reset when it is closed, and what is not acknowledged by then is discarded.
///
/// Closing a connection usually leaves what was written to the operating system, which goes on sending it. A
/// request that was given up long ago would then still arrive, at an upstream that has left meanwhile.
/// After a reset nothing more is sent, and the upstream can stop its work.
///
/// # Errors
///
/// Fails when the option cannot be set.
pub fn reset_when_closed(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Probes the other end of `stream` while it is silent, so that the connection breaks soon after its VM is gone.
///
/// An upstream whose VM loses power says nothing; without probes a request that ran there is held until its deadline,
/// and its caller learns nothing until then. An upstream that is only slow answers the probes.
///
/// # Errors
///
/// Fails when the option cannot be set.
pub fn probe_when_silent(stream: &TcpStream) -> io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(MOST_PROBES);
    socket2::SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// Prepares a connection that was accepted: small answers are sent at once, and a client that no longer
/// acknowledges them ends its connection after [`UNACKNOWLEDGED_TIME`].
pub fn accepted(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let set = stream.set_nodelay(true);
    let set = set.and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME)));
    if let Err(error) = set {
        // Usually the client has gone already, which shows when the connection is read.
        log_not_set(&error);
    }
}

fn log_not_set(error: &io::Error) {
    let error = error.to_string();
    log::debug!(error = error.as_str(); "socket-option-not-set");
}
