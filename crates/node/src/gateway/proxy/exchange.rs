//! One exchange with an upstream: a request, and the whole answer to it.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, header};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use model::load;
use model::routing;

use crate::common::body;
use crate::gateway::dialect;
use crate::gateway::proxy::connection;

/// Largest answer that is read whole before it is passed on, in bytes.
const LARGEST_KEPT: usize = 512 * 1_024;

/// Rest of a connection whose upstream does not say how long it keeps one.
const USUAL_REST: Duration = Duration::from_secs(4);

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

/// An upstream's answer to the request that was sent.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Response<()>,
    /// The body.
    pub bytes: Payload,
    /// What the upstream execution of the request.
    pub execution: dialect::Execution,
    /// Load it told.
    pub load: Option<load::Report>,
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
    dialect: dialect::Dialect,
    rules: Option<&routing::ServiceRules>,
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
    let fault = dialect.fault(&parts.headers, parts.status, request_id);
    let execution = dialect.execution(&parts.headers, parts.status, rules);
    match (fault, execution) {
        (Some(fault), _) => return Err(Failure::Broken(fault.to_owned())),
        (None, dialect::Execution::Unproved) => {
            return Err(Failure::Broken("refusal that proves nothing".to_owned()));
        }
        (None, _) if parts.headers.contains_key(header::CONTENT_ENCODING) => {
            return Err(Failure::Broken("encoded answer".to_owned()));
        }
        (None, _) => {}
    }
    connection.rest = rest(&parts.headers);
    let bytes = read(incoming).await?;
    let load = dialect.load(&parts.headers);
    Ok(Answer { head: Response::from_parts(parts, ()), bytes, execution, load })
}

/// Returns how long a connection may rest after this answer.
fn rest(headers: &HeaderMap) -> Duration {
    let Some(told) = dialect::text(headers, &header::HeaderName::from_static("keep-alive")) else {
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
