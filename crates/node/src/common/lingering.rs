//! Lingering close: ends the writing half of a connection, then discards what its peer sends until the peer closes.
//!
//! A socket that is closed while bytes wait in it unread sends a reset, which may drop an answer before the peer
//! has read it. The peer's close also shows that it has received everything, and so does its acknowledgement of all
//! bytes where the operating system reports it. Works below the HTTP library, which calls [`AsyncWrite::poll_shutdown`] at
//! the end of a connection.

use std::io;
use std::mem;
use std::pin::Pin;
use std::sync;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use steer::common::{acknowledgement, surplus};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time;

use crate::common::send_queue;

/// Time for which the peer's close is awaited, unless the peer has not acknowledged everything, or the process stops
/// and the peer may not have its response.
///
/// Two successive losses of the last segment on a slow path delay the close by up to 1.4 s.
pub const LINGER_TIME: Duration = Duration::from_secs(2);

/// Maximum number of connections of a group that linger at the same time; further ones are closed at once, unless
/// the process stops and their peers may not have their responses.
pub const MAX_LINGERING: usize = 256;

/// Interval at which a connection is checked whose peer has not acknowledged everything.
const ACKNOWLEDGEMENT_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Period of [`BYTES_PER_PERIOD`].
const PERIOD: Duration = Duration::from_millis(20);

/// Number of bytes that the connections of a group discard in each period, so that peers that send without end
/// cost little processor time.
const BYTES_PER_PERIOD: usize = 256 * 1_024;

/// Minimum number of bytes that a connection discards in each period.
const MIN_BYTES: usize = 1_024;

/// Size of the buffer that bytes are discarded from.
const BUFFER_BYTES: usize = 8_192;

/// Connections that share the bounds on lingering.
#[derive(Clone, Debug, Default)]
pub struct Group {
    lingering: sync::Arc<AtomicUsize>,
    /// Lingering connections whose peers may not have their responses while the process stops.
    unconfirmed: sync::Arc<AtomicUsize>,
    /// When the process began to stop; not set unless it is stopping.
    stopping: sync::Arc<sync::OnceLock<time::Instant>>,
}

impl Group {
    /// Returns the number of connections that linger.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lingering.load(Ordering::Relaxed)
    }

    /// Returns the number of lingering connections whose peers may not have their responses while the process stops:
    /// bytes were written since the stop began, or are not acknowledged.
    #[must_use]
    pub fn unconfirmed(&self) -> usize {
        self.unconfirmed.load(Ordering::Relaxed)
    }

    /// Records that the process stops: from now on, connections on which bytes are written linger until their peers
    /// close.
    pub fn begin_stop(&self) {
        // Fails if the stop began before, with its own time.
        let _ = self.stopping.set(time::Instant::now());
    }

    fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Counts a connection, on which bytes were written last at `written`, as lingering; `None` if too many do
    /// and its peer has had its response for long.
    fn enter(
        &self,
        written: Option<time::Instant>,
        addresses: Option<send_queue::Addresses>,
    ) -> Option<Place> {
        let is_written_late = self.stopping.get().is_some_and(|began| written >= Some(*began));
        let before = self.lingering.fetch_add(1, Ordering::Relaxed);
        let group = self.clone();
        let acknowledgement = acknowledgement::Acknowledgement::new();
        let is_unconfirmed = false;
        let mut place =
            Place { group, addresses, acknowledgement, is_written_late, is_unconfirmed };
        place.update();
        (place.is_unconfirmed || before < MAX_LINGERING).then_some(place)
    }
}

/// Counts a connection as lingering until it is dropped.
#[derive(Debug)]
struct Place {
    group: Group,
    addresses: Option<send_queue::Addresses>,
    acknowledgement: acknowledgement::Acknowledgement,
    /// Whether bytes were written since the stop began.
    is_written_late: bool,
    /// Whether it is counted as one whose peer may not have its response while the process stops.
    is_unconfirmed: bool,
}

impl Place {
    /// Returns whether the peer has not acknowledged everything; `false` where the operating system does not report it.
    fn is_unacknowledged(&mut self) -> bool {
        match self.addresses.map(|addresses| addresses.unacknowledged()) {
            Some(Ok(bytes)) => self.acknowledgement.record(bytes == 0),
            None | Some(Err(send_queue::Error::NotReported)) => self.acknowledgement.record(true),
            Some(Err(send_queue::Error::Failed(_))) => {
                self.acknowledgement.record_failure(Instant::now());
            }
        }
        !self.acknowledgement.is_complete()
    }

    /// Updates whether the peer may not have its response while the process stops.
    fn update(&mut self) {
        let is_unconfirmed =
            self.is_written_late || (self.group.is_stopping() && self.is_unacknowledged());
        let count = &self.group.unconfirmed;
        count.fetch_add(usize::from(is_unconfirmed), Ordering::Relaxed);
        count.fetch_sub(usize::from(self.is_unconfirmed), Ordering::Relaxed);
        self.is_unconfirmed = is_unconfirmed;
    }

    /// Returns the number of bytes that this connection may discard in a period.
    fn allowance(&self) -> usize {
        (BYTES_PER_PERIOD / self.group.count().max(1)).max(MIN_BYTES)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.group.lingering.fetch_sub(1, Ordering::Relaxed);
        self.group.unconfirmed.fetch_sub(usize::from(self.is_unconfirmed), Ordering::Relaxed);
    }
}

/// A connection that lingers when it is shut down.
#[derive(Debug)]
pub struct Connection<S> {
    stream: S,
    group: Group,
    addresses: Option<send_queue::Addresses>,
    /// When bytes were written last.
    written: Option<time::Instant>,
    phase: Phase,
}

/// How far a connection has been shut down.
#[derive(Debug)]
enum Phase {
    Open,
    Lingering(Linger),
    Closed,
}

impl<S> Connection<S> {
    /// Wraps `stream`.
    pub fn new(stream: S, group: Group) -> Self {
        Self { stream, group, addresses: None, written: None, phase: Phase::Open }
    }

    /// Lets the connection linger until its peer has acknowledged everything. It has these addresses.
    #[must_use]
    pub fn with_addresses(self, addresses: Option<send_queue::Addresses>) -> Self {
        Self { addresses, ..self }
    }

    /// Records that bytes are written.
    fn record_write(&mut self) {
        self.written = Some(time::Instant::now());
    }
}

/// Discards what the peer of a connection sends.
#[derive(Debug)]
struct Linger {
    place: Place,
    /// Whether the peer had not acknowledged everything at the last check; `None` before the first one.
    is_unacknowledged: Option<bool>,
    /// Fires at the next check, and when lingering may end even if the peer has not closed.
    end: Pin<Box<time::Sleep>>,
    /// Fires when the current period ends.
    period: Pin<Box<time::Sleep>>,
    /// Number of bytes that may still be discarded in the current period.
    allowance: usize,
    /// Bytes that were discarded.
    surplus: surplus::Surplus,
}

impl Linger {
    fn new(place: Place) -> Self {
        let allowance = place.allowance();
        let end = Box::pin(time::sleep(ACKNOWLEDGEMENT_CHECK_PERIOD));
        let period = Box::pin(time::sleep(PERIOD));
        let surplus = surplus::Surplus::default();
        Self { place, is_unacknowledged: None, end, period, allowance, surplus }
    }

    /// Returns whether lingering ends although the peer has not closed.
    ///
    /// A peer that sends without end does not read its response. The close of another one whose response was written
    /// since the process began to stop is awaited for as long as the process lives.
    fn poll_end(&mut self, context: &mut Context<'_>) -> bool {
        while self.end.as_mut().poll(context).is_ready() {
            if self.surplus.is_endless(Instant::now()) {
                return true;
            }
            self.place.update();
            if self.place.is_written_late {
                return false;
            }
            let is_unacknowledged = self.place.is_unacknowledged();
            let before = self.is_unacknowledged.replace(is_unacknowledged);
            let time = match (is_unacknowledged, before) {
                (true, _) => ACKNOWLEDGEMENT_CHECK_PERIOD,
                (false, None) => LINGER_TIME - ACKNOWLEDGEMENT_CHECK_PERIOD,
                // What acknowledged the bytes may be a relay, which still has to pass on its last ones.
                (false, Some(true)) => LINGER_TIME,
                (false, Some(false)) => return true,
            };
            self.end.as_mut().reset(time::Instant::now() + time);
        }
        false
    }

    /// Discards bytes; ready when the peer has closed, the connection has failed or the time has passed.
    fn poll_discard(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        context: &mut Context<'_>,
    ) -> Poll<()> {
        if self.poll_end(context) {
            return Poll::Ready(());
        }
        loop {
            if self.allowance == 0 {
                ready!(self.period.as_mut().poll(context));
                self.period.as_mut().reset(time::Instant::now() + PERIOD);
                self.allowance = self.place.allowance();
            }
            let mut buffer = [mem::MaybeUninit::uninit(); BUFFER_BYTES];
            let mut buffer = ReadBuf::uninit(&mut buffer[..self.allowance.min(BUFFER_BYTES)]);
            let read = ready!(Pin::new(&mut *stream).poll_read(context, &mut buffer));
            match read {
                Ok(()) if !buffer.filled().is_empty() => {
                    self.allowance -= buffer.filled().len();
                    self.surplus.record(Instant::now());
                }
                // The peer has closed, or nothing can reach it any more.
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Connection<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Connection<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.record_write();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.record_write();
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { stream, group, addresses, written, phase } = &mut *self;
        loop {
            match phase {
                Phase::Open => {
                    ready!(Pin::new(&mut *stream).poll_shutdown(context))?;
                    *phase = group
                        .enter(*written, *addresses)
                        .map_or(Phase::Closed, |place| Phase::Lingering(Linger::new(place)));
                }
                Phase::Lingering(linger) => {
                    ready!(linger.poll_discard(stream, context));
                    *phase = Phase::Closed;
                }
                Phase::Closed => return Poll::Ready(Ok(())),
            }
        }
    }
}
