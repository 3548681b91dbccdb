//! Head timer: bounds how long a caller's connection may rest, and how long the head of a request may take.
//!
//! The HTTP library knows one time for both, which begins when the answer before has been sent. With a short one, a connection
//! that rests is closed while its next request is on the way, and the caller gets no answer; with a long one, a slow head is borne for as
//! long. Here the time of a head begins with its first byte. Owns one connection's times.

use std::io;
use std::pin::Pin;
use std::sync;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// When the first byte came of the head that is awaited; none while the connection rests.
type Began = sync::Arc<sync::Mutex<Option<Instant>>>;

/// Makes a connection, and the timer that the HTTP library is to use with it.
#[must_use]
pub fn watch<S>(stream: S, head_time: Duration, idle_time: Duration) -> (Connection<S>, Timer) {
    let began = Began::default();
    let timer =
        Timer { began: sync::Arc::clone(&began), head_time, idle_time, is_first: true.into() };
    (Connection { stream, began }, timer)
}

/// A caller's connection, which notes when bytes come.
#[derive(Debug)]
pub struct Connection<S> {
    stream: S,
    began: Began,
}

/// Gives out the time of each head.
#[derive(Debug)]
pub struct Timer {
    began: Began,
    head_time: Duration,
    idle_time: Duration,
    is_first: sync::atomic::AtomicBool,
}

/// The time of one head, with the rest before it.
#[derive(Debug)]
struct Wait {
    began: Began,
    since: Instant,
    head_time: Duration,
    idle_time: Duration,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

fn lock(began: &Began) -> sync::MutexGuard<'_, Option<Instant>> {
    began.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl rt::Timer for Timer {
    fn sleep(&self, _: Duration) -> Pin<Box<dyn rt::Sleep>> {
        // What came before the first head was awaited belongs to it; what came since the last one is its body.
        if !self.is_first.swap(false, sync::atomic::Ordering::Relaxed) {
            *lock(&self.began) = None;
        }
        let since = Instant::now();
        Box::pin(Wait {
            began: sync::Arc::clone(&self.began),
            since,
            head_time: self.head_time,
            idle_time: self.idle_time,
            sleep: Box::pin(tokio::time::sleep_until((since + self.idle_time).into())),
        })
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn rt::Sleep>> {
        self.sleep(deadline.saturating_duration_since(Instant::now()))
    }
}

impl rt::Sleep for Wait {}

impl Future for Wait {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let began = *lock(&self.began);
        let ends = began.map_or(self.since + self.idle_time, |began| began + self.head_time);
        let ends = tokio::time::Instant::from(ends);
        if self.sleep.deadline() != ends {
            self.sleep.as_mut().reset(ends);
        }
        self.sleep.as_mut().poll(context)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Connection<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            lock(&self.began).get_or_insert_with(Instant::now);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Connection<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
