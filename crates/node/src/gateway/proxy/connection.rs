//! Connection to an upstream.
//!
//! Owns the socket, the task that drives the connection, and the count of what it receives.
//! [`response_progress`] decides when it has received too much, [`framing`] what bytes after a response mean, and
//! [`peer_silence`] when its peer is gone.

use std::error::Error as _;
use std::io;
use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::client::conn::http1;
use hyper_util::rt;
use steer::common::framing;
use steer::common::peer_silence;
use steer::dispatch::response_progress;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task;

use crate::common::body;
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
    pub meter: sync::Arc<Meter>,
    driver: task::JoinHandle<()>,
}

impl Connection {
    /// Opens a connection. `on_surplus` is called if it ends because the upstream sends more than the
    /// responses to its requests, unless [`Meter::is_cut_short`] tells so of a response that is being read.
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
        let meter = sync::Arc::new(Meter::default());
        let metered = Metered { stream: Watched::new(stream), meter: sync::Arc::clone(&meter) };
        let handshake = http1::Builder::new()
            .max_buf_size(response_progress::BUFFER_BYTES)
            .handshake(rt::TokioIo::new(metered));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let driver = task::spawn_local(drive(connection, sync::Arc::clone(&meter), on_surplus));
        Ok(Self { sender, used: Instant::now(), idle_timeout: Duration::ZERO, meter, driver })
    }
}

/// Drives a connection until it ends.
///
/// An exchange on the connection returns its error; without one, the upstream has sent bytes that belong to no request.
async fn drive(
    mut connection: http1::Connection<rt::TokioIo<Metered>, body::Body>,
    meter: sync::Arc<Meter>,
    on_surplus: impl FnOnce(),
) {
    let ended = (&mut connection).await;
    let rest = connection.into_parts().read_buf;
    match ended {
        _ if meter.record_rest(&rest) => {}
        Err(error) if is_surplus(&error) => on_surplus(),
        Ok(()) | Err(_) => {}
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

/// Counts what a connection receives, and tells when a response head is late or a response cut short.
#[derive(Debug, Default)]
pub struct Meter {
    receipt: sync::Mutex<response_progress::Receipt>,
    /// Notified when the deadline of a head may have changed.
    changed: Notify,
    /// Whether a response is being read.
    is_reading: atomic::AtomicBool,
    /// Whether the response that is being read may be cut short.
    is_cut_short: atomic::AtomicBool,
}

impl Meter {
    /// Records that a request is sent.
    pub fn await_head(&self) {
        self.receipt().await_head();
        self.is_reading.store(true, atomic::Ordering::Relaxed);
    }

    /// Records that the response has been read to its end.
    pub fn record_end(&self) {
        self.is_reading.store(false, atomic::Ordering::Relaxed);
    }

    /// Returns whether bytes that arrived with the end of the response show that it may be cut short.
    ///
    /// The task that drives the connection finds them before the end of the body is handed on.
    #[must_use]
    pub fn is_cut_short(&self) -> bool {
        self.is_cut_short.load(atomic::Ordering::Relaxed)
    }

    /// Records the bytes after the last response of a connection that has ended; returns whether they show that the
    /// response that is being read may be cut short.
    fn record_rest(&self, rest: &[u8]) -> bool {
        let is_reading = self.is_reading.load(atomic::Ordering::Relaxed);
        let is_cut_short = is_reading && framing::is_cut_short(rest);
        self.is_cut_short.store(is_cut_short, atomic::Ordering::Relaxed);
        is_cut_short
    }

    /// Records an interim response.
    pub fn record_interim(&self) {
        self.receipt().record_interim();
        self.changed.notify_one();
    }

    /// Records the end of a head or a piece of a body.
    pub fn record_progress(&self) {
        self.receipt().record_progress();
    }

    /// Waits until a head that has begun is late.
    pub async fn head_late(&self) {
        loop {
            let deadline = self.receipt().head_deadline();
            let changed = self.changed.notified();
            match deadline {
                Some(deadline) if deadline <= Instant::now() => return,
                Some(deadline) => {
                    // Either end is followed by another look.
                    let _ = tokio::time::timeout_at(deadline.into(), changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Records received bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection has received too many without progress.
    fn record_bytes(&self, bytes: usize) -> io::Result<()> {
        let may_receive_more = self.receipt().record_bytes(bytes as u64, Instant::now());
        self.changed.notify_one();
        match may_receive_more {
            true => Ok(()),
            false => Err(io::Error::new(io::ErrorKind::InvalidData, "bytes without end")),
        }
    }

    fn receipt(&self) -> sync::MutexGuard<'_, response_progress::Receipt> {
        self.receipt.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
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

/// A socket whose received bytes are counted.
#[derive(Debug)]
struct Metered {
    stream: Watched,
    meter: sync::Arc<Meter>,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        match read {
            Poll::Ready(Ok(())) => {
                Poll::Ready(self.meter.record_bytes(buffer.filled().len() - before))
            }
            Poll::Ready(Err(_)) | Poll::Pending => read,
        }
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
