//! Passes an upstream's answer on to the caller.
//!
//! Owns the task that streams what is too long to be read whole first.

use std::io;

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::mpsc;
use tokio_stream::wrappers;

use crate::common::body;
use crate::gateway::proxy::attempt;
use crate::gateway::proxy::connection;
use crate::gateway::proxy::head;

/// Pieces of a body that wait for the caller; when they are full the upstream waits. Not measured.
const WAITING: usize = 4;

/// Makes the caller's answer of an upstream's head and body.
#[must_use]
pub fn answer(upstream: Response<()>, body: body::Body) -> Response<body::Body> {
    let (mut parts, ()) = upstream.into_parts();
    head::clean_answer(&mut parts.headers);
    Response::from_parts(parts, body)
}

/// Returns a body that goes on with what still arrives; an end too early cuts it off.
///
/// The connection and the try live until the answer has ended or the caller has left.
#[must_use]
pub fn rest(
    first: Bytes,
    mut incoming: Incoming,
    connection: connection::Connection,
    attempt: attempt::Attempt,
) -> body::Body {
    let (sender, receiver) = mpsc::channel::<io::Result<Frame<Bytes>>>(WAITING);
    tokio::task::spawn_local(async move {
        let _held = (connection, attempt);
        let mut next = Some(Ok(Frame::data(first)));
        while let Some(piece) = next {
            let is_cut = piece.is_err();
            if sender.send(piece).await.is_err() || is_cut {
                return;
            }
            next = tokio::select! {
                frame = incoming.frame() => frame.map(|f| f.map_err(io::Error::other)),
                () = sender.closed() => return,
            };
        }
    });
    StreamBody::new(wrappers::ReceiverStream::new(receiver)).boxed_unsync()
}
