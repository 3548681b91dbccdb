//! An answer's body that is passed on while it arrives.
//!
//! Owns when the slot is given back: at the body's end, when it breaks off, at the deadline, or when
//! whoever reads it stops; and that the connection is used again after the body's end. [`body_progress`] decides when
//! the upstream is too slow.

use std::future::Future as _;
use std::io;
use std::pin::Pin;
use std::task;
use std::time::Instant;

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use model::bounds;
use steer::common::body_progress;
use steer::ownership::request;
use tokio::time;

use crate::common::metered;
use crate::owner::handle;
use crate::owner::handle::offered;
use crate::owner::runner;
use crate::owner::runner::connection;
use crate::owner::runner::pool;

/// An answer's body that holds its slot until it ends, or until its deadline.
///
/// A caller that reads slowly may take longer than the deadline.
pub(super) struct Guarded {
    inner: Incoming,
    /// The connection that the body arrives on; `None` once the body has ended.
    connection: Option<connection::Connection>,
    pool: pool::Pool,
    offered: Option<offered::Offered>,
    handle: handle::Handle,
    progress: body_progress::Stream,
    /// Since when the upstream is awaited; `None` while the caller is.
    awaited: Option<Instant>,
    /// Fires at the deadline.
    deadline: Pin<Box<time::Sleep>>,
    /// Fires when the body is cut off unless more of it arrives.
    cut_off: Pin<Box<time::Sleep>>,
}

impl Guarded {
    /// Guards `inner`, which arrives on `connection` and whose request has this deadline.
    pub(super) fn new(
        inner: Incoming,
        connection: connection::Connection,
        offered: offered::Offered,
        deadline: Instant,
        runner: &runner::Runner,
    ) -> Self {
        let (pool, handle) = (runner.pool.clone(), runner.handle.clone());
        let now = handle.now();
        let end = now + bounds::Bounds::default().unsized_response;
        let progress = body_progress::Stream::new(deadline, inner.size_hint().exact(), end);
        let left = deadline.saturating_duration_since(now);
        let deadline = Box::pin(time::sleep(left));
        let cut_off = Box::pin(time::sleep(left));
        let mut guarded = Self {
            inner,
            connection: Some(connection),
            pool,
            offered: Some(offered),
            handle,
            progress,
            awaited: None,
            deadline,
            cut_off,
        };
        if guarded.inner.is_end_stream() {
            guarded.release_connection();
        }
        guarded
    }

    /// Keeps the connection for another request, now that the body has ended.
    fn release_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.meter.record_end();
            self.pool.put(connection);
        }
    }

    /// Records that a piece of the body, or its end, has arrived.
    ///
    /// # Errors
    ///
    /// Fails if the body is cut short, which is known before its last piece is handed on.
    fn receive(&self) -> io::Result<()> {
        let Some(connection) = &self.connection else { return Ok(()) };
        connection.meter.record_progress();
        match connection.meter.is_cut_short() {
            true => Err(io::Error::new(io::ErrorKind::InvalidData, metered::CUT_SHORT)),
            false => Ok(()),
        }
    }

    fn end(&mut self, outcome: request::Outcome) {
        if let Some(offered) = self.offered.take() {
            offered.done(outcome);
        }
    }

    /// Gives the slot back once the deadline has passed, by which leases of slots end.
    fn release_late_slot(&mut self, context: &mut task::Context<'_>) {
        if self.offered.is_some() && self.deadline.as_mut().poll(context).is_ready() {
            self.end(request::Outcome::Abandoned);
        }
    }

    /// Returns whether the upstream, awaited since `since`, is cut off at `now`.
    fn is_cut_off(
        &mut self,
        since: Instant,
        now: Instant,
        context: &mut task::Context<'_>,
    ) -> bool {
        let left = self.progress.cut_off(since).saturating_duration_since(now);
        self.cut_off.as_mut().reset(time::Instant::now() + left);
        self.cut_off.as_mut().poll(context).is_ready()
    }

    /// Records a frame that was awaited since `since` and arrived at `now`.
    fn record(
        &mut self,
        frame: Option<&Result<Frame<Bytes>, hyper::Error>>,
        since: Instant,
        now: Instant,
    ) {
        match frame {
            Some(Ok(frame)) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.progress.record_piece(bytes, since, now);
                if self.inner.is_end_stream() {
                    self.end(request::Outcome::Answered);
                    self.release_connection();
                }
            }
            Some(Err(_)) => self.end(request::Outcome::Broken),
            None => {
                self.end(request::Outcome::Answered);
                self.release_connection();
            }
        }
    }
}

impl http_body::Body for Guarded {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        let now = this.handle.now();
        let since = *this.awaited.get_or_insert(now);
        if let task::Poll::Ready(frame) = Pin::new(&mut this.inner).poll_frame(context) {
            this.awaited = None;
            if let Err(error) = this.receive() {
                this.end(request::Outcome::Broken);
                return task::Poll::Ready(Some(Err(error)));
            }
            this.record(frame.as_ref(), since, now);
            return task::Poll::Ready(frame.map(|frame| frame.map_err(io::Error::other)));
        }
        this.release_late_slot(context);
        match this.is_cut_off(since, now, context) {
            true => {
                this.end(request::Outcome::Abandoned);
                task::Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())))
            }
            false => task::Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for Guarded {
    fn drop(&mut self) {
        let outcome = match self.inner.is_end_stream() {
            true => request::Outcome::Answered,
            false => request::Outcome::Abandoned,
        };
        self.end(outcome);
    }
}
