//! Relay of an upstream's response to the caller.
//!
//! Owns the task that streams a body that is too long to be buffered.

use std::io;
use std::rc;
use std::time::Instant;

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use steer::common::body_progress;
use steer::dispatch::outcome;
use tokio::sync::mpsc;
use tokio_stream::wrappers;

use crate::common::body;
use crate::common::metered;
use crate::gateway::proxy::attempt;
use crate::gateway::proxy::connection;
use crate::gateway::proxy::crash;
use crate::gateway::proxy::head;
use crate::gateway::state;

/// Maximum number of frames buffered for a slow caller; no more are read from the upstream until
/// the caller has taken one.
const MAX_BUFFERED_FRAMES: usize = 4;

/// An attempt whose response is streamed to the caller.
#[derive(Debug)]
pub struct Passed {
    /// State of the gateway.
    pub state: rc::Rc<state::State>,
    /// The attempt.
    pub attempt: attempt::Attempt,
    /// The request.
    pub sent: crash::Sent,
}

/// How much of a response was relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Extent {
    /// The complete response.
    Whole,
    /// A part of it, because the caller disconnected.
    Part,
}

/// Creates the response to the caller from an upstream's head and body.
#[must_use]
pub fn answer(upstream: Response<()>, body: body::Body) -> Response<body::Body> {
    let (mut parts, ()) = upstream.into_parts();
    head::clean_answer(&mut parts.headers);
    Response::from_parts(parts, body)
}

/// Returns a body that streams the remainder; an early end or a stall of the upstream's body cuts it off.
///
/// The connection and the attempt are kept until the response has ended or the caller has disconnected.
#[must_use]
pub fn rest(
    first: Bytes,
    incoming: Incoming,
    connection: connection::Connection,
    passed: Passed,
) -> body::Body {
    let (sender, receiver) = mpsc::channel::<io::Result<Frame<Bytes>>>(MAX_BUFFERED_FRAMES);
    let Passed { state, attempt, sent } = passed;
    let end = attempt.began() + state.settings.borrow().bounds().unsized_response;
    let length = incoming.size_hint().exact();
    let stream = body_progress::Stream::new(attempt.deadline(), length, end);
    tokio::task::spawn_local(async move {
        let passed_on = pass_on(first, incoming, &connection.meter, stream, &sender).await;
        if let Ok(Extent::Whole) = passed_on {
            state.record_success(&sent.fingerprint);
        }
        if let Err(error) = passed_on {
            let (upstream, cause) = (attempt.upstream.id.as_str(), error.to_string());
            log::info!(upstream, error = cause.as_str(); "answer-cut-off");
            attempt.end(outcome::Outcome::Broken);
            // Fails if the caller has disconnected.
            let _ = sender.send(Err(error)).await;
            crash::check(&state, sent).await;
        }
    });
    StreamBody::new(wrappers::ReceiverStream::new(receiver)).boxed_unsync()
}

/// Relays `first` and the remainder until the response ends or the caller disconnects.
///
/// # Errors
///
/// Fails if the response breaks off or is cut off.
async fn pass_on(
    first: Bytes,
    mut incoming: Incoming,
    meter: &metered::Meter,
    mut stream: body_progress::Stream,
    sender: &mpsc::Sender<io::Result<Frame<Bytes>>>,
) -> io::Result<Extent> {
    let mut next = Some(Frame::data(first));
    while let Some(piece) = next {
        if sender.send(Ok(piece)).await.is_err() {
            return Ok(Extent::Part);
        }
        let since = Instant::now();
        let cut_off = stream.cut_off(since);
        if cut_off <= since {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let frame = tokio::select! {
            frame = tokio::time::timeout_at(cut_off.into(), incoming.frame()) => frame,
            () = sender.closed() => return Ok(Extent::Part),
        };
        next = frame?.transpose().map_err(io::Error::other)?;
        meter.record_progress();
        // Known before the last piece is passed on, without which the response does not look complete.
        if meter.is_cut_short() {
            return Err(io::Error::new(io::ErrorKind::InvalidData, metered::CUT_SHORT));
        }
        let bytes = next.as_ref().and_then(Frame::data_ref).map_or(0, Bytes::len);
        stream.record_piece(bytes, since, Instant::now());
    }
    meter.record_end();
    Ok(Extent::Whole)
}
