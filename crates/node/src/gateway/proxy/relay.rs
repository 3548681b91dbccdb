//! Passes an upstream's answer on to the caller.
//!
//! Owns the task that streams what is too long to be read whole first.

use std::io;
use std::rc;
use std::time::Instant;

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};
use steer::dispatch::{give_up, outcome};
use tokio::sync::mpsc;
use tokio_stream::wrappers;

use crate::common::body;
use crate::gateway::proxy::attempt;
use crate::gateway::proxy::connection;
use crate::gateway::proxy::crash;
use crate::gateway::proxy::head;
use crate::gateway::state;

/// Pieces of a body that wait for the caller; when they are full the upstream waits.
const WAITING: usize = 4;

/// A try whose answer is passed on while it arrives.
#[derive(Debug)]
pub struct Passed {
    /// What the gateway's tasks share.
    pub state: rc::Rc<state::State>,
    /// The try.
    pub attempt: attempt::Attempt,
    /// The request.
    pub sent: crash::Sent,
}

/// How much of an answer was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Extent {
    /// All of it.
    Whole,
    /// What the caller stayed for.
    Part,
}

/// Makes the caller's answer of an upstream's head and body.
#[must_use]
pub fn answer(upstream: Response<()>, body: body::Body) -> Response<body::Body> {
    let (mut parts, ()) = upstream.into_parts();
    head::clean_answer(&mut parts.headers);
    Response::from_parts(parts, body)
}

/// Returns a body that goes on with what still arrives; an end too early, or a stall, cuts it off.
///
/// The connection and the try live until the answer has ended or the caller has left.
#[must_use]
pub fn rest(
    first: Bytes,
    incoming: Incoming,
    connection: connection::Connection,
    passed: Passed,
) -> body::Body {
    let (sender, receiver) = mpsc::channel::<io::Result<Frame<Bytes>>>(WAITING);
    tokio::task::spawn_local(async move {
        let _held = connection;
        let Passed { state, attempt, sent } = passed;
        let passed_on = pass_on(first, incoming, attempt.deadline(), &sender).await;
        if let Ok(Extent::Whole) = passed_on {
            state.record_success(&sent.fingerprint);
        }
        if let Err(error) = passed_on {
            let (upstream, cause) = (attempt.upstream.id.as_str(), error.to_string());
            log::info!(upstream, error = cause.as_str(); "answer-cut-off");
            attempt.end(outcome::Outcome::Broken);
            // Fails when the caller has left.
            let _ = sender.send(Err(error)).await;
            crash::check(&state, sent).await;
        }
    });
    StreamBody::new(wrappers::ReceiverStream::new(receiver)).boxed_unsync()
}

/// Passes on `first` and what still arrives, until the answer ends or the caller leaves.
///
/// # Errors
///
/// Fails when the answer breaks off or stalls.
async fn pass_on(
    first: Bytes,
    mut incoming: Incoming,
    deadline: Instant,
    sender: &mpsc::Sender<io::Result<Frame<Bytes>>>,
) -> io::Result<Extent> {
    let mut next = Some(Frame::data(first));
    while let Some(piece) = next {
        if sender.send(Ok(piece)).await.is_err() {
            return Ok(Extent::Part);
        }
        let stall_deadline = give_up::stall_deadline(deadline, Instant::now());
        let frame = tokio::select! {
            frame = tokio::time::timeout_at(stall_deadline.into(), incoming.frame()) => frame,
            () = sender.closed() => return Ok(Extent::Part),
        };
        next = frame?.transpose().map_err(io::Error::other)?;
    }
    Ok(Extent::Whole)
}
