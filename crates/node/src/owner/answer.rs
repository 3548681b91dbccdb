//! Answers that a ticket remembers.

use std::io;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use futures_util::stream;
use http::{HeaderMap, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt as _, BodyStream, StreamBody};

use crate::common::body;

/// Largest body of an answer that is remembered, in bytes.
pub const LARGEST: usize = 8 * 1_024;

/// A whole answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// A body, as far as it can be remembered.
#[derive(Debug)]
pub enum Taken {
    /// It has ended.
    Whole(Bytes),
    /// It is longer than [`LARGEST`]; what was read comes first again.
    Longer(body::Body),
}

/// Reads a body to its end, or until it is too long to be remembered.
///
/// # Errors
///
/// Fails when the body breaks off.
pub async fn take(mut body: body::Body) -> io::Result<Taken> {
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        read.extend_from_slice(&data);
        if read.len() > LARGEST {
            let first = stream::iter([Ok(Frame::data(read.freeze()))]);
            let rest = BodyStream::new(body);
            return Ok(Taken::Longer(StreamBody::new(first.chain(rest)).boxed_unsync()));
        }
    }
    Ok(Taken::Whole(read.freeze()))
}
