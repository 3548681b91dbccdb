//! One exchange with an upstream: a request, and the whole answer to it.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use model::endpoint;
use platform::headers;

use crate::body;
use crate::gateway::proxy::connection;

/// Largest answer that is read whole before it is passed on, in bytes.
const LARGEST_KEPT: usize = 512 * 1_024;

/// Rest of a connection whose upstream does not say how long it keeps one.
const USUAL_REST: Duration = Duration::from_secs(4);

/// Statuses that promise callers that the request has not run; an upstream's are passed on as such
/// only with its word for it.
const PROMISES: [StatusCode; 3] =
    [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

/// Time before an upstream closes a resting connection at which it is no longer used.
const REST_MARGIN: Duration = Duration::from_millis(1_200);

/// How an exchange ended without an answer to the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    NotSent(String),
    /// It was sent, and what became of it is not known.
    Broken(String),
}

/// The body of an answer.
#[derive(Debug)]
pub enum Payload {
    /// All of them.
    Whole(Bytes),
    /// The first of them; the rest is still arriving.
    Partial(Bytes, Incoming),
}

/// What an upstream made of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It ran it, or may have.
    Ran,
    /// It did not run it.
    NotRun,
    /// It did not run it, since it is not the upstream that was meant.
    Replaced,
}

/// An upstream's answer to the request that was sent.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Response<()>,
    /// The body.
    pub bytes: Payload,
    /// What the upstream made of the request.
    pub kind: Kind,
    /// Load it told.
    pub load: Option<endpoint::Load>,
}

/// Sends a request on `connection` and reads the answer.
///
/// # Errors
///
/// Fails when no whole answer to this request came.
pub async fn run(
    connection: &mut connection::Connection,
    request: Request<body::Body>,
    request_id: &str,
) -> Result<Answer, Failure> {
    let response = connection.sender.try_send_request(request).await.map_err(|mut error| {
        let is_sent = error.take_message().is_none();
        let cause = error.into_error().to_string();
        match is_sent {
            true => Failure::Broken(cause),
            false => Failure::NotSent(cause),
        }
    })?;
    let (parts, incoming) = response.into_parts();
    check(&parts.headers, parts.status, request_id)?;
    connection.rest = rest(&parts.headers);
    let bytes = read(incoming).await?;
    let kind = kind(&parts.headers, parts.status);
    let load = text(&parts.headers, &headers::LOAD).and_then(headers::load);
    Ok(Answer { head: Response::from_parts(parts, ()), bytes, kind, load })
}

/// Checks that an answer belongs to the request and is the upstream's own.
fn check(headers: &HeaderMap, status: StatusCode, request_id: &str) -> Result<(), Failure> {
    let broken = |cause: &str| Err(Failure::Broken(cause.to_owned()));
    if text(headers, &headers::REQUEST_ID).unwrap_or_default() != request_id {
        return broken("answer to another request");
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return broken("encoded answer");
    }
    if status.is_success() && !headers.contains_key(headers::SEAL) {
        return broken("success without a seal");
    }
    if PROMISES.contains(&status) && !headers.contains_key(headers::NOT_EXECUTED) {
        return broken("refusal that proves nothing");
    }
    Ok(())
}

fn kind(headers: &HeaderMap, status: StatusCode) -> Kind {
    match (status, headers.contains_key(headers::NOT_EXECUTED)) {
        (StatusCode::MISDIRECTED_REQUEST, _) => Kind::Replaced,
        (status, true) if !status.is_success() => Kind::NotRun,
        _ => Kind::Ran,
    }
}

/// Returns how long a connection may rest after this answer.
fn rest(headers: &HeaderMap) -> Duration {
    let Some(told) = text(headers, &header::HeaderName::from_static("keep-alive")) else {
        return USUAL_REST;
    };
    let seconds = told.split(',').find_map(|part| {
        let (name, value) = part.trim().split_once('=')?;
        (name.trim() == "timeout").then(|| value.trim().parse::<u64>().ok())?
    });
    seconds.map_or(USUAL_REST, |s| Duration::from_secs(s).saturating_sub(REST_MARGIN))
}

async fn read(mut incoming: Incoming) -> Result<Payload, Failure> {
    let mut read = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|error| Failure::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        read.extend_from_slice(&data);
        if read.len() > LARGEST_KEPT {
            return Ok(Payload::Partial(read.freeze(), incoming));
        }
    }
    Ok(Payload::Whole(read.freeze()))
}

fn text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
