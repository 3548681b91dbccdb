//! Bodies of requests and answers, streamed both ways.

use std::io;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::combinators;
use http_body_util::{Empty, Full};
use hyper::body::Incoming;

/// A body on its way. An error cuts it off, so that a short body is never taken for a whole one.
pub type Body = combinators::UnsyncBoxBody<Bytes, io::Error>;

/// Largest body that is read before it is sent on, so that it can be sent again, in bytes.
pub const LARGEST_KEPT: usize = 64 * 1_024;

/// Returns a body without bytes.
#[must_use]
pub fn empty() -> Body {
    Empty::new().map_err(never).boxed_unsync()
}

/// Returns a body of `bytes`.
#[must_use]
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(never).boxed_unsync()
}

/// Returns a body as it arrives.
#[must_use]
pub fn incoming(body: Incoming) -> Body {
    body.map_err(io::Error::other).boxed_unsync()
}

/// Returns `body`, which holds `guard` until it has been sent or is dropped.
#[must_use]
pub fn holding<G: Send + 'static>(body: Body, guard: G) -> Body {
    let held = body.map_frame(move |frame| {
        let _ = &guard;
        frame
    });
    held.boxed_unsync()
}

fn never(never: std::convert::Infallible) -> io::Error {
    match never {}
}

/// A request's body, as far as it can be sent again.
#[derive(Debug)]
pub enum Source {
    /// Read whole, so that it can be sent any number of times.
    Kept(Bytes),
    /// Still arriving; it can be sent once.
    Streamed(Body),
    /// Sent already.
    Spent,
}

impl Source {
    /// Returns whether it can be sent (again).
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !matches!(self, Self::Spent)
    }

    /// Takes the body for sending; a kept one stays.
    pub fn take(&mut self) -> Body {
        match self {
            Self::Kept(bytes) => full(bytes.clone()),
            Self::Streamed(_) => match std::mem::replace(self, Self::Spent) {
                Self::Streamed(body) => body,
                _ => empty(),
            },
            Self::Spent => empty(),
        }
    }
}

/// Returns a body of `first` and then `rest` as it arrives.
#[must_use]
pub fn after(first: Bytes, rest: Incoming) -> Body {
    let first = http_body::Frame::data(first);
    let stream = futures_util::StreamExt::chain(
        futures_util::stream::once(std::future::ready(Ok(first))),
        http_body_util::BodyStream::new(rest.map_err(io::Error::other)),
    );
    http_body_util::StreamBody::new(stream).boxed_unsync()
}
