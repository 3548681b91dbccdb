//! Sending to a caller: ends a connection whose peer takes no data any more, and no other one.
//!
//! Wraps the socket of a connection. [`send_progress`] decides; [`send_queue`] reads what the peer has acknowledged.

use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use steer::common::send_progress::{self, Verdict};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time;

use crate::common::send_queue;

/// A connection that fails, and is then reset, once its peer takes no data.
#[derive(Debug)]
pub struct Connection<S> {
    stream: S,
    /// `None` if the peer has disconnected before they were read.
    addresses: Option<send_queue::Addresses>,
    written: u64,
    /// Number of bytes that the peer had not acknowledged at the latest check that did not fail.
    unacknowledged: u64,
    /// Whether the operating system took no further data at the last attempt.
    is_blocked: bool,
    progress: send_progress::Progress,
    /// Whether data may be unacknowledged, so that `check` is awaited.
    is_pending: bool,
    check: Pin<Box<time::Sleep>>,
}

/// Returns the addresses of the connection `stream`.
#[must_use]
pub fn addresses(stream: &TcpStream) -> Option<send_queue::Addresses> {
    let (local, peer) = (stream.local_addr().ok()?, stream.peer_addr().ok()?);
    Some(send_queue::Addresses { local, peer })
}

impl<S: AsFd> Connection<S> {
    /// Wraps `stream`, which has these addresses.
    pub fn new(stream: S, addresses: Option<send_queue::Addresses>) -> Self {
        let queue = send_progress::Queue { written: 0, unacknowledged: 0 };
        Self {
            stream,
            addresses,
            written: 0,
            unacknowledged: 0,
            is_blocked: false,
            progress: send_progress::Progress::new(queue, Instant::now()),
            is_pending: false,
            check: Box::pin(time::sleep(Duration::ZERO)),
        }
    }

    /// Checks the progress of the connection.
    fn check(&mut self) -> Verdict {
        let now = Instant::now();
        let told = self.addresses.map(|addresses| addresses.unacknowledged());
        self.unacknowledged = match told {
            Some(Ok(unacknowledged)) => unacknowledged.into(),
            // Where the operating system does not report it, data counts as acknowledged once it has been taken.
            None | Some(Err(send_queue::Error::NotReported)) => u64::from(self.is_blocked),
            Some(Err(send_queue::Error::Failed(_))) => {
                return self.progress.check_failed(self.written, now);
            }
        };
        let (written, unacknowledged) = (self.written, self.unacknowledged);
        self.progress.check(send_progress::Queue { written, unacknowledged }, now)
    }

    /// Records that the operating system took `bytes`.
    fn record_write(&mut self, bytes: usize) {
        self.is_blocked = false;
        self.begin_checks();
        self.written = self.written.saturating_add(bytes as u64);
    }

    /// Records the result of a write.
    fn record(&mut self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &polled {
            Poll::Ready(Ok(bytes)) => self.record_write(*bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.is_blocked = true,
        }
        polled
    }

    fn begin_checks(&mut self) {
        if !self.is_pending {
            let queue = send_progress::Queue { written: self.written, unacknowledged: 0 };
            self.progress = send_progress::Progress::new(queue, Instant::now());
            self.check.as_mut().reset(time::Instant::now() + send_progress::CHECK_PERIOD);
            self.is_pending = true;
        }
    }

    /// Makes the checks that are due, and wakes the task at the next one.
    ///
    /// # Errors
    ///
    /// Fails if the peer takes no data, so that the connection is to be dropped.
    fn poll_check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        while self.is_pending && self.check.as_mut().poll(context).is_ready() {
            match self.check() {
                Verdict::Idle => self.is_pending = false,
                Verdict::Pending => {
                    self.check.as_mut().reset(time::Instant::now() + send_progress::CHECK_PERIOD);
                }
                Verdict::Stalled => return Err(self.reset()),
            }
        }
        Ok(())
    }

    /// Lets the close reset the connection, which frees what the operating system holds for the peer.
    fn reset(&self) -> io::Error {
        let (written, unacknowledged) = (self.written, self.unacknowledged);
        let peer = self.addresses.map(|addresses| addresses.peer.to_string()).unwrap_or_default();
        log::warn!(peer = peer.as_str(), written, unacknowledged; "connection-stalled");
        let socket = socket2::SockRef::from(&self.stream);
        match socket.set_linger(Some(Duration::ZERO)) {
            Ok(()) => io::Error::from(io::ErrorKind::TimedOut),
            Err(error) => error,
        }
    }
}

impl<S: AsFd + AsyncRead + Unpin> AsyncRead for Connection<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_check(context)?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsFd + AsyncWrite + Unpin> AsyncWrite for Connection<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        let polled = self.record(polled);
        self.poll_check(context)?;
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        let polled = self.record(polled);
        self.poll_check(context)?;
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        Poll::Ready(self.poll_check(context))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
