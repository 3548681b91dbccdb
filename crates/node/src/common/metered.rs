//! HTTP connection to an upstream whose received bytes are counted.
//!
//! Owns the count, which the task of the connection and its exchanges share. [`response_progress`] decides when the
//! connection has received too much, [`framing`] what bytes after a response mean.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task::{Context, Poll};
use std::time::Instant;

use hyper::client::conn::http1;
use hyper_util::rt;
use steer::common::{framing, response_progress};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

use crate::common::body;

/// Text for log lines on a response that is followed by bytes that begin no other one.
pub const CUT_SHORT: &str = "more bytes than its length";

/// Text for log lines on a response whose head has begun and does not end.
pub const LATE_HEAD: &str = "late end of the head";

/// What drives the connection over a socket.
pub type Connection<S> = http1::Connection<rt::TokioIo<Metered<S>>, body::Body>;

/// Why a connection ended.
#[derive(Debug)]
pub enum End {
    /// Bytes show that the response that is being read may be cut short, which [`Meter::is_cut_short`] tells.
    CutShort,
    /// By its peer, its exchange or an error.
    Other(hyper::Result<()>),
}

/// Begins HTTP/1.1 on a socket.
///
/// # Errors
///
/// Fails if the HTTP library refuses the socket.
pub async fn handshake<S: AsyncRead + AsyncWrite + Unpin>(
    stream: S,
    meter: &sync::Arc<Meter>,
) -> io::Result<(http1::SendRequest<body::Body>, Connection<S>)> {
    let metered = Metered { stream, meter: sync::Arc::clone(meter) };
    let handshake = http1::Builder::new()
        .max_buf_size(response_progress::BUFFER_BYTES)
        .handshake(rt::TokioIo::new(metered));
    handshake.await.map_err(io::Error::other)
}

/// Drives a connection until it ends.
///
/// It must run on the thread of the exchanges, so that these see what it finds with the end of a response.
pub async fn drive<S: AsyncRead + AsyncWrite + Unpin>(
    mut connection: Connection<S>,
    meter: &Meter,
) -> End {
    let ended = (&mut connection).await;
    let rest = connection.into_parts().read_buf;
    match meter.record_rest(&rest) {
        true => End::CutShort,
        false => End::Other(ended),
    }
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

/// A socket whose received bytes are counted.
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    meter: sync::Arc<Meter>,
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
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

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
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
