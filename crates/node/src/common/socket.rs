//! Socket options that close unresponsive connections.
//!
//! Defines the options that both roles set, and the timeouts of connections from callers, nodes and
//! operators.

use std::io;
use std::time::Duration;

use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt;
use socket2::{SockFilter, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tower::util;

/// Time that data sent to an operator may remain unacknowledged before its connection is closed.
///
/// Linux also closes a connection whose peer reads steadily, if the peer's window is small for that long; see
/// [`send_progress`](steer::common::send_progress). Therefore callers' connections have no such timeout.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between pings on an idle HTTP/2 connection.
pub const PING_EVERY: Duration = Duration::from_secs(5);

/// Timeout of a ping, after which the connection is closed.
pub const PING_TIME: Duration = Duration::from_secs(5);

/// Idle time on a connection to an upstream after which the first keep-alive probe is sent.
///
/// With 2 s, a caller would learn of a crash after 5 s, when many deadlines have passed.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Interval between probes; the operating system accepts whole seconds only.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection is closed: one, so that it is closed after 2 s of silence, as
/// one is whose data gets no answer ([`peer_silence`](steer::common::peer_silence)).
const MAX_PROBES: u32 = 1;

/// Classic BPF program for a TCP socket that drops segments with the SYN flag, which lies in byte 13 of the header.
const DROP_SYN: [SockFilter; 4] = [
    // ldb [13]
    SockFilter::new(0x30, 0, 0, 13),
    // jset #2
    SockFilter::new(0x45, 0, 1, 2),
    // ret #0
    SockFilter::new(0x06, 0, 0, 0),
    // ret #-1
    SockFilter::new(0x06, 0, 0, u32::MAX),
];

/// A socket as the HTTP library holds it.
type Socket = rt::TokioIo<TcpStream>;

/// A connector of the HTTP library whose connections end with a reset.
pub type Connector = util::MapResponse<HttpConnector, fn(Socket) -> Socket>;

/// Creates a connector whose connections are reset when closed, see [`reset_when_closed`].
#[must_use]
pub fn connector(inner: HttpConnector) -> Connector {
    util::MapResponse::new(inner, |socket: Socket| {
        if let Err(error) = reset_when_closed(socket.inner()) {
            // The connection works, but data of an abandoned request may still be sent.
            log_not_set(&error);
        }
        socket
    })
}

/// Makes `stream` send a reset when it is closed and discard data that is not acknowledged by then.
///
/// Usually the operating system continues to send written data after a connection is closed. An
/// abandoned request would then still arrive, possibly at an upstream that is leaving. After a
/// reset no more data is sent, and the upstream can stop its work.
///
/// # Errors
///
/// Fails if the option cannot be set.
pub fn reset_when_closed(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Enables keep-alive probes on `stream`, so that it is closed soon after the other VM fails.
///
/// The VM of an upstream that loses power sends nothing. Without probes, a request in flight there
/// would wait until its deadline. An upstream that is only slow acknowledges the probes.
///
/// # Errors
///
/// Fails if the option cannot be set.
pub fn probe_when_silent(stream: &TcpStream) -> io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket2::SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// Makes `listener` ignore new connections, while handshakes in progress go on.
///
/// Between the last accept and the close of a listener a connection may be established, which the close resets. A
/// client that is ignored repeats its SYN after a second, and is refused then.
///
/// # Errors
///
/// Fails if the operating system allows no filter.
pub fn ignore_new_connections(listener: &TcpListener) -> io::Result<()> {
    socket2::SockRef::from(listener).attach_filter(&DROP_SYN)
}

/// Prepares an operator's connection as [`accepted`] does; it is closed if the operator does not acknowledge data
/// for [`TCP_USER_TIMEOUT`].
pub fn accepted_from_operator(stream: &TcpStream) {
    accepted(stream);
    let set = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    if let Err(error) = set {
        // As in `accepted`.
        log_not_set(&error);
    }
}

/// Prepares an accepted connection: small responses are sent immediately.
///
/// [`sending`](crate::common::sending) closes it if the client takes no data.
pub fn accepted(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        // Usually the client has disconnected, which the next read reports.
        log_not_set(&error);
    }
}

/// Logs that an option is not set, with which a connection works nevertheless.
pub fn log_not_set(error: &io::Error) {
    let error = error.to_string();
    log::debug!(error = error.as_str(); "socket-option-not-set");
}
