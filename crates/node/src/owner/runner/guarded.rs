//! An answer's body that holds its slot until it ends.
//!
//! Owns when the slot is given back: at the body's end, when it breaks off, at the deadline, or when
//! whoever reads it stops.

use std::future::Future as _;
use std::io;
use std::pin::Pin;
use std::task;
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use steer::ownership::request;

use crate::owner::handle::offered;

/// An answer's body that holds its slot until it ends.
pub(super) struct Guarded {
    inner: Incoming,
    offered: Option<offered::Offered>,
    deadline: Pin<Box<tokio::time::Sleep>>,
}

impl Guarded {
    /// Guards `inner`, whose exchange must end within `left`.
    pub(super) fn new(inner: Incoming, offered: offered::Offered, left: Duration) -> Self {
        Self { inner, offered: Some(offered), deadline: Box::pin(tokio::time::sleep(left)) }
    }

    fn end(&mut self, outcome: request::Outcome) {
        if let Some(offered) = self.offered.take() {
            offered.done(outcome);
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
        if let task::Poll::Ready(frame) = Pin::new(&mut this.inner).poll_frame(context) {
            return task::Poll::Ready(match frame {
                Some(Ok(frame)) => {
                    if this.inner.is_end_stream() {
                        this.end(request::Outcome::Answered);
                    }
                    Some(Ok(frame))
                }
                Some(Err(error)) => {
                    this.end(request::Outcome::Broken);
                    Some(Err(io::Error::other(error)))
                }
                None => {
                    this.end(request::Outcome::Answered);
                    None
                }
            });
        }
        if this.deadline.as_mut().poll(context).is_ready() && this.offered.is_some() {
            this.end(request::Outcome::Abandoned);
            return task::Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        task::Poll::Pending
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
