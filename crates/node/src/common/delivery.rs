//! Delivery of responses: when the kernel has taken all bytes of a response, or its connection ended before.
//!
//! Wraps the body of each response and the stream of its connection. The HTTP library drops a body once it has
//! encoded all of it, and flushes the stream only when its own buffer is empty. Therefore the kernel has taken
//! a response at the first flush after its body was dropped.

use std::cell;
use std::fmt;
use std::io;
use std::pin;
use std::rc;
use std::sync;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task;

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt as _;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::common::body;

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The kernel has taken all of its bytes.
    Delivered,
    /// The connection ended before.
    Undelivered,
    /// Its body ended with an error, and the connection with it.
    CutOff,
}

/// What the HTTP library has done with a body.
#[derive(Debug, Default)]
struct Mark {
    /// Whether the body was dropped.
    is_dropped: AtomicBool,
    /// Whether the body ended with an error.
    is_cut_off: AtomicBool,
}

/// Progress of a response.
#[derive(Clone, Debug)]
pub struct Progress(sync::Arc<Mark>);

impl Progress {
    /// Returns whether the HTTP library has encoded the whole response.
    #[must_use]
    pub fn is_written(&self) -> bool {
        self.0.is_dropped.load(Ordering::Acquire)
    }
}

/// A body that marks when the HTTP library drops it.
struct Marked {
    body: body::Body,
    mark: sync::Arc<Mark>,
}

impl http_body::Body for Marked {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<Frame<Bytes>>>> {
        let polled = pin::Pin::new(&mut self.body).poll_frame(context);
        if let task::Poll::Ready(Some(Err(_))) = polled {
            self.mark.is_cut_off.store(true, Ordering::Release);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Marked {
    fn drop(&mut self) {
        self.mark.is_dropped.store(true, Ordering::Release);
    }
}

/// A response that is not delivered yet.
struct Pending {
    mark: sync::Arc<Mark>,
    on_end: Box<dyn FnOnce(End)>,
}

impl Pending {
    fn end(self, end: End) {
        let is_cut_off = self.mark.is_cut_off.load(Ordering::Acquire);
        (self.on_end)(if is_cut_off { End::CutOff } else { end });
    }
}

/// The responses of one connection that are not delivered yet.
#[derive(Clone, Default)]
pub struct Ledger {
    pending: rc::Rc<cell::RefCell<Vec<Pending>>>,
    written: rc::Rc<cell::Cell<u64>>,
}

impl Ledger {
    /// Returns `body`, wrapped so that `on_end` is called once its response has ended, and its progress.
    pub fn track(
        &self,
        body: body::Body,
        on_end: impl FnOnce(End) + 'static,
    ) -> (body::Body, Progress) {
        let mark = sync::Arc::new(Mark::default());
        let pending = Pending { mark: sync::Arc::clone(&mark), on_end: Box::new(on_end) };
        self.pending.borrow_mut().push(pending);
        let body = Marked { body, mark: sync::Arc::clone(&mark) };
        (body.boxed_unsync(), Progress(mark))
    }

    /// Returns whether every response so far has been delivered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.borrow().is_empty()
    }

    /// Returns the number of bytes that the stream has taken.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written.get()
    }
}

impl Observer for Ledger {
    fn wrote(&self, bytes: usize) {
        self.written.set(self.written.get().saturating_add(bytes as u64));
    }

    /// Ends the responses that were encoded before a flush.
    fn flushed(&self) {
        let is_written = |pending: &mut Pending| pending.mark.is_dropped.load(Ordering::Acquire);
        let ended: Vec<Pending> = self.pending.borrow_mut().extract_if(.., is_written).collect();
        ended.into_iter().for_each(|pending| pending.end(End::Delivered));
    }

    /// Ends the responses that were not delivered when the connection ended.
    fn closed(&self) {
        let ended = self.pending.take();
        ended.into_iter().for_each(|pending| pending.end(End::Undelivered));
    }
}

impl fmt::Debug for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ledger").field("pending", &self.pending.borrow().len()).finish()
    }
}

/// Observes which bytes of a connection the kernel takes, and its end.
pub trait Observer {
    /// The kernel has taken so many bytes of a write.
    fn wrote(&self, _bytes: usize) {}

    /// The kernel has taken all that the HTTP library has encoded so far.
    fn flushed(&self);

    /// The connection has ended.
    fn closed(&self);
}

/// The stream of a connection, which notifies an observer of its flushes and its end.
#[derive(Debug)]
pub struct Stream<S, O: Observer> {
    inner: S,
    observer: O,
}

impl<S, O: Observer> Stream<S, O> {
    /// Wraps the stream of a connection.
    #[must_use]
    pub fn new(inner: S, observer: O) -> Self {
        Self { inner, observer }
    }
}

impl<S: AsyncRead + Unpin, O: Observer + Unpin> AsyncRead for Stream<S, O> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin, O: Observer + Unpin> AsyncWrite for Stream<S, O> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.inner).poll_write(context, bytes);
        if let task::Poll::Ready(Ok(bytes)) = polled {
            self.observer.wrote(bytes);
        }
        polled
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.inner).poll_write_vectored(context, pieces);
        if let task::Poll::Ready(Ok(bytes)) = polled {
            self.observer.wrote(bytes);
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let polled = pin::Pin::new(&mut self.inner).poll_flush(context);
        if let task::Poll::Ready(Ok(())) = polled {
            self.observer.flushed();
        }
        polled
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

impl<S, O: Observer> Drop for Stream<S, O> {
    fn drop(&mut self) {
        self.observer.closed();
    }
}
