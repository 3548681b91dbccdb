//! A response's body that notes in which phase its request is.

use std::io;
use std::pin::Pin;
use std::sync;
use std::task;

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt as _;

use crate::common::body;
use crate::owner::callers::ledger;
use crate::owner::in_flight;
use crate::owner::in_flight::phase;

/// Returns `body`, which keeps its request in flight until it was taken whole, and hands it to `ledger` then.
#[must_use]
pub fn body(
    body: body::Body,
    request: sync::Arc<in_flight::Request>,
    ledger: ledger::Ledger,
) -> body::Body {
    Passing { inner: body, request, ledger, is_whole: false }.boxed_unsync()
}

struct Passing {
    inner: body::Body,
    request: sync::Arc<in_flight::Request>,
    ledger: ledger::Ledger,
    is_whole: bool,
}

impl http_body::Body for Passing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = task::ready!(Pin::new(&mut self.inner).poll_frame(context));
        match &frame {
            Some(Err(_)) => self.request.break_off(),
            None => self.is_whole = true,
            Some(Ok(_)) => {}
        }
        task::Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        if self.is_whole || self.inner.is_end_stream() {
            self.request.enter(phase::Phase::Written);
            self.ledger.add(sync::Arc::clone(&self.request));
        }
    }
}
