//! Connection to an upstream.
//!
//! Owns the socket and the task that drives the connection. [`metered`] counts what it receives, and
//! [`peer_silence`] decides when its peer is gone.

use std::error::Error as _;
use std::io;
use std::net;
use std::pin;
use std::sync;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::client::conn::http1;
use steer::common::peer_silence;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task;

use crate::common::body;
use crate::common::metered;
use crate::common::send_queue;
use crate::common::sending;
use crate::common::socket;

/// Timeout for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Errors `ENFILE` and `EMFILE` of Linux: the VM or this process has too many open files.
const FILE_LIMITS: [i32; 2] = [23, 24];

/// A connection to an upstream. Dropping it resets the connection, so that no more data of a request is sent.
#[derive(Debug)]
pub struct Connection {
    /// The sending half.
    pub sender: http1::SendRequest<body::Body>,
    /// Time of the latest use.
    pub used: Instant,
    /// Time after which the connection is no longer used when idle; zero if it must not be reused.
    pub idle_timeout: Duration,
    /// What it received.
    pub meter: sync::Arc<metered::Meter>,
    driver: task::JoinHandle<()>,
}

impl Connection {
    /// Opens a connection. `on_surplus` is called if it ends because the upstream sends more than the
    /// responses to its requests, unless [`metered::Meter::is_cut_short`] tells so of a response that is being read.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be established within [`CONNECT_TIMEOUT`].
    pub async fn open(
        address: net::SocketAddr,
        on_surplus: impl FnOnce() + 'static,
    ) -> io::Result<Self> {
        let connect = TcpStream::connect(address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(stream) => stream?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        stream.set_nodelay(true)?;
        socket::probe_when_silent(&stream)?;
        socket::reset_when_closed(&stream)?;
        let meter = sync::Arc::<metered::Meter>::default();
        let (sender, connection) = metered::handshake(Watched::new(stream), &meter).await?;
        let driver = task::spawn_local(drive(connection, sync::Arc::clone(&meter), on_surplus));
        Ok(Self { sender, used: Instant::now(), idle_timeout: Duration::ZERO, meter, driver })
    }
}

/// Drives a connection until it ends, and calls `on_surplus` if that is for bytes that belong to no request.
async fn drive(
    connection: metered::Connection<Watched>,
    meter: sync::Arc<metered::Meter>,
    on_surplus: impl FnOnce(),
) {
    match metered::drive(connection, &meter).await {
        // An exchange on the connection returns its error, so that there is none here.
        metered::End::Other(Err(error)) if is_surplus(&error) => on_surplus(),
        metered::End::Other(_) | metered::End::CutShort => {}
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Returns whether a connection could not be opened for lack of this node's own resources, which says
/// nothing about the upstream.
#[must_use]
pub fn is_own_shortage(error: &io::Error) -> bool {
    match error.kind() {
        io::ErrorKind::AddrNotAvailable | io::ErrorKind::OutOfMemory => true,
        _ => error.raw_os_error().is_some_and(|code| FILE_LIMITS.contains(&code)),
    }
}

/// Returns whether a connection without an exchange ended because it received bytes.
///
/// It may also end by an error of the socket, which is the source then, or in the middle of a message.
fn is_surplus(error: &hyper::Error) -> bool {
    error.source().is_none() && !error.is_incomplete_message()
}

/// A socket that fails once its peer answers nothing that is sent to it.
#[derive(Debug)]
struct Watched {
    stream: TcpStream,
    /// `None` if the peer has disconnected before they were read.
    addresses: Option<send_queue::Addresses>,
    silence: peer_silence::Silence,
    /// Whether data may be unacknowledged, so that `check` is awaited.
    is_pending: bool,
    check: pin::Pin<Box<tokio::time::Sleep>>,
}

impl Watched {
    fn new(stream: TcpStream) -> Self {
        let addresses = sending::addresses(&stream);
        let silence = peer_silence::Silence::new(Instant::now());
        let check = Box::pin(tokio::time::sleep(Duration::ZERO));
        Self { stream, addresses, silence, is_pending: false, check }
    }

    /// Records that data is written.
    fn begin_checks(&mut self) {
        if !self.is_pending {
            let now = Instant::now();
            self.silence = peer_silence::Silence::new(now);
            self.check.as_mut().reset((now + peer_silence::CHECK_PERIOD).into());
            self.is_pending = true;
        }
    }

    /// Makes the checks that are due, and wakes the task at the next one.
    ///
    /// # Errors
    ///
    /// Fails if the peer is silent.
    fn poll_check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        while self.is_pending && self.check.as_mut().poll(context).is_ready() {
            match self.verdict()? {
                peer_silence::Verdict::Idle => self.is_pending = false,
                peer_silence::Verdict::Pending => {
                    let next = tokio::time::Instant::now() + peer_silence::CHECK_PERIOD;
                    self.check.as_mut().reset(next);
                }
                peer_silence::Verdict::Silent => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
        Ok(())
    }

    fn verdict(&mut self) -> io::Result<peer_silence::Verdict> {
        match self.addresses.map(|addresses| addresses.state()) {
            Some(Ok(state)) => Ok(self.silence.check(state, Instant::now())),
            // It says nothing about the upstream, and is asked again.
            Some(Err(send_queue::Error::Failed(_))) => Ok(peer_silence::Verdict::Pending),
            None | Some(Err(send_queue::Error::NotReported)) => {
                // The system does not tell whether the peer answers, and notices itself if it does not.
                let socket = socket2::SockRef::from(&self.stream);
                socket.set_tcp_user_timeout(Some(peer_silence::TIMEOUT))?;
                Ok(peer_silence::Verdict::Idle)
            }
        }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_check(context)?;
        pin::Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        // A check that is overdue, as after a pause of the process, is about the data before this.
        self.poll_check(context)?;
        self.begin_checks();
        pin::Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        // A check that is overdue, as after a pause of the process, is about the data before this.
        self.poll_check(context)?;
        self.begin_checks();
        pin::Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(pin::Pin::new(&mut self.stream).poll_flush(context))?;
        Poll::Ready(self.poll_check(context))
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
